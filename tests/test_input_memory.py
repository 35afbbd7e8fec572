"""What is kept of all peers' input together is bounded, and usual requests are served while peers stop halfway."""

import tracemalloc

from gateway_site import GatewaySite
from platform_harness import BODY, PlatformHarness, head
from test_websocket import close_code, frame, opened

from lapiswing.fleet.transport import Streams
from lapiswing.loop import Clock, Loop, connect

FULL_BYTES = 256 * 1024  # of the longest body
PAYLOAD = b'{"messages": ["%b"]}'


class HalfClients:
    """Clients that send a head and all but the last byte of a body, and stay."""

    def __init__(self, harness, count, body_bytes=FULL_BYTES):
        self.harness = harness
        self.clients, self.unsent = [], {}
        for number in range(count):
            client = harness.client()
            request = head(f"half{number}", Content_Length=body_bytes) + b"x" * (body_bytes - 1)
            self.clients.append(client)
            self.unsent[client] = memoryview(request)

    def sent(self):
        """Sends more of each request. -> whether all have been sent or answered."""
        for client, rest in list(self.unsent.items()):
            try:
                rest = rest[client.sock.send(rest) :]
            except BlockingIOError:
                pass
            except OSError:
                rest = b""
            self.unsent[client] = rest
            if not rest or client.status:
                del self.unsent[client]
        return not self.unsent

    def refused(self):
        """-> how many have got an error."""
        return sum(client.status == 503 for client in self.clients)


def kept_bytes(harness):
    return harness.node.server.account.unfinished_bytes


def test_half_requests_are_refused_beyond_the_limit_of_all(tmp_path):
    """Guards against hundreds of half requests, each within its limit, that take the process over its memory."""
    with PlatformHarness(tmp_path) as harness:
        tracemalloc.start()
        half = HalfClients(harness, 60)
        harness.until(half.sent)
        limit = harness.node.server.limits.all_unfinished_bytes
        peak = tracemalloc.get_traced_memory()[1]
        tracemalloc.stop()
        assert peak < 60 * FULL_BYTES + limit * 3 // 2  # what the clients of this test keep, and the limit
        assert kept_bytes(harness) <= limit
        harness.until(lambda: half.refused() >= 60 - limit // FULL_BYTES)
        assert harness.ask("usual").wait_answer().status == 200
        assert half.refused() < 60  # those within the limit have their time
        harness.until(lambda: not harness.node.server.at_limit)
        logged = [fields["state"] for event, fields in harness.log.lines if event == "incomplete requests refused"]
        assert logged == ["begins", "over"]


def test_a_usual_request_that_comes_slowly_is_spared(tmp_path):
    with PlatformHarness(tmp_path) as harness:
        slow = harness.client(head("slow") + BODY[:-1])
        harness.until(lambda: kept_bytes(harness))
        half = HalfClients(harness, 60)
        harness.until(lambda: half.sent() and half.refused())
        slow.send(BODY[-1:])
        assert slow.wait_answer().status == 200


def test_those_without_progress_for_the_longest_are_refused_first(tmp_path):
    with PlatformHarness(tmp_path) as harness:
        first = HalfClients(harness, 10)
        harness.until(lambda: first.sent() and kept_bytes(harness) > 10 * (FULL_BYTES - 1))
        then = HalfClients(harness, 25)
        harness.until(lambda: then.sent() and first.refused() + then.refused())
        assert first.refused() > 0 and then.refused() == 0


def test_the_account_is_empty_once_all_have_ended(tmp_path):
    with PlatformHarness(tmp_path) as harness:
        half = HalfClients(harness, 40)
        behind = harness.ask("behind")
        behind.send(head("next") + BODY[:30])
        chunked = harness.client(head("chunked", Content_Length=None, Transfer_Encoding="chunked") + b"40\r\n" + b"x" * 40)
        harness.until(lambda: half.sent() and kept_bytes(harness) > 20 * FULL_BYTES)
        for client in (*half.clients, behind, chunked):
            client.close()
        harness.until(lambda: not harness.node.server.connections)
        account = harness.node.server.account
        assert (account.unfinished_bytes, account.pipelined_bytes) == (0, 0)


def test_small_pieces_of_a_body_cost_no_more_than_their_bytes(tmp_path):
    """Guards against a list of pieces, each of which costs twenty times its two bytes."""
    with PlatformHarness(tmp_path) as harness:
        harness.client(head("a1", Content_Length=FULL_BYTES))
        harness.until(lambda: kept_bytes(harness))
        (connection,) = harness.node.server.connections
        tracemalloc.start()
        for _ in range(20_000):
            connection.on_data(bytes([120, 121]))
        used = tracemalloc.get_traced_memory()[0]
        tracemalloc.stop()
        assert used < 2 * 40_000


def test_bodies_of_open_requests_are_bounded(tmp_path):
    with PlatformHarness(tmp_path) as harness:
        for server in harness.platform.servers.values():
            server.fault = lambda exchange: True  # never answers
        body = PAYLOAD % (b"x" * (FULL_BYTES - 100))
        limit, count = 2 << 20, 12
        harness.core.limits = harness.core.limits._replace(open_bytes=limit)
        clients = [harness.client(head(f"r{number}", body, Req_Deadline="1.500") + body) for number in range(count)]
        refused = count - limit // (FULL_BYTES + 1000)
        harness.until(lambda: harness.core.counts["out of memory"] >= refused)
        assert limit - FULL_BYTES < harness.core.open_bytes <= limit
        harness.until(lambda: all(client.status for client in clients))
        assert all(b"etry-" in client.got for client in clients if client.status == 503)
        harness.until(lambda: not harness.core.reqs)
        assert harness.core.open_bytes == 0


def test_answers_that_can_not_be_passed_on_are_bounded_for_all_servers(tmp_path):
    """Guards against servers that each send a long beginning without an event."""
    with PlatformHarness(tmp_path, roles=("both", "both")) as harness:
        kept = harness.node.servers.kept
        kept.limit = 100_000
        opening = b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n"
        block = b": " + b"x" * 30_000 + b"\n\n"

        def send_comments(exchange):
            exchange.conn.stream.write(opening + b"%x\r\n%b\r\n" % (len(block), block) * 2)
            return True

        for server in harness.platform.servers.values():
            server.fault = send_comments
        clients = [harness.ask(f"r{number}", Req_Deadline="1.500") for number in range(8)]
        harness.until(lambda: kept.refused or all(client.status for client in clients))
        assert kept.refused and kept.used <= kept.limit
        harness.until(lambda: all(client.ended() for client in clients) and not harness.core.reqs)
        assert kept.used == 0


def test_a_usual_stream_in_pieces_is_not_cut_while_others_use_up_the_memory(tmp_path):
    """A part of an event is small; its stream was cut because spoilt ones had taken all that there is for parts."""
    with PlatformHarness(tmp_path, roles=("both", "both")) as harness:
        server, other = harness.platform.servers.values()
        kept = harness.node.servers.kept
        parts = [server.event(0)[:20], server.event(0)[20:] + b"data: [DONE]\n\n"]

        def send_in_parts(exchange):
            exchange.begin(200, [])
            exchange.send(server.event(0) + parts[0])
            harness.loop.call_later(100_000, lambda: (exchange.send(parts[1]), exchange.end()))
            return True

        server.fault = other.fault = send_in_parts
        kept.limit = 0  # as if other attempts had taken it all
        client = harness.ask("a1").wait_answer()
        assert client.status == 200 and not client.truncated


def test_incomplete_messages_of_sessions_are_bounded():
    with GatewaySite() as site:
        budget = site.gateway.sessions.partial_messages
        budget.limit = 50_000
        first, second = opened(site), opened(site)
        first.sock.sendall(frame(1, b"x" * 30_000, fin=False))
        site.until(lambda: budget.used)
        second.sock.sendall(frame(1, b"x" * 30_000, fin=False))
        assert close_code(second.until()) == 1013
        first.left()
        site.until(lambda: budget.used == 0)


def test_incomplete_messages_of_the_fleet_link_are_bounded():
    loop = Loop(Clock())
    transport = Streams(loop, "127.0.0.1", 0, lambda data: None)
    transport.incomplete.limit = 50_000
    streams = []
    for number in (1, 2):
        connect(loop, ("127.0.0.1", transport.port), 1_000_000, lambda stream, why: streams.append(stream))
        assert loop.run_until(lambda number=number: len(streams) == number)
        streams[-1].owner = Silent()
        streams[-1].write((40_000).to_bytes(4, "big") + b"x" * 30_000)
        assert loop.run_until(lambda: transport.incomplete.used >= 30_000)
    assert loop.run_until(lambda: len(transport.inbound) == 1)
    streams[0].abort()
    assert loop.run_until(lambda: not transport.inbound)
    assert transport.incomplete.used == 0
    transport.close()
    loop.close()


class Silent:
    """Owner of a stream that ignores what happens."""

    def on_data(self, data):
        pass

    def on_eof(self):
        pass

    def on_closed(self, why):
        pass
