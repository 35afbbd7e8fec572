"""A request that has been received is answered before its connection is closed, and its deadline counts from its arrival."""

import socket

import pytest
from platform_harness import BODY, PlatformHarness, head
from test_closing import read_to_end

from lapiswing.loop import Clock, Listener, Loop, listen_socket

MS = 1000
LONG_BODY = BODY.replace(b"x" * 400, b"x" * 20_000)  # ordinary prompts are longer than a few KB


class SkippingClock(Clock):
    """Real time plus what a test adds, like a turn that takes long."""

    def __init__(self):
        self.skipped_us = 0

    def now_us(self):
        return super().now_us() + self.skipped_us

    def skip(self, us):
        self.skipped_us += us


def statuses(got):
    return [int(part[:3]) for part in got.split(b"HTTP/1.1 ")[1:]]


def test_pipelined_requests_that_were_read_are_answered_while_stopping(tmp_path):
    with PlatformHarness(tmp_path, ("both",)) as harness:
        client = harness.ask("a0").wait_answer()
        client.got = b""
        harness.node.stopping = harness.core.draining = harness.node.server.closing = True
        client.send((head("a1") + BODY) * 3)  # the three arrive in one read
        got, clean = read_to_end(client.sock, lambda: harness.loop.turn(1000))
        assert statuses(got) == [503] * 3 and clean
        assert got.lower().count(b"connection: close") == 1


@pytest.mark.parametrize("body", [BODY, LONG_BODY], ids=["short", "long"])
def test_requests_behind_an_open_one_are_answered(tmp_path, body):
    """Beyond 4 KB they used to be discarded and the connection closed."""
    with PlatformHarness(tmp_path, ("both",)) as harness:
        harness.platform.servers["s-1"].pause_us = 20 * MS
        client = harness.ask("a1")
        harness.until(lambda: client.status)
        for i in range(5):
            client.send(head(f"b{i}", body) + body)
        harness.until(lambda: client.receive().count(b"0\r\n\r\n") == 6)
        assert statuses(client.got) == [200] * 6


def test_the_total_input_buffered_behind_open_requests_is_bounded(tmp_path):
    with PlatformHarness(tmp_path, ("both",)) as harness:
        server = harness.node.server
        server.limits = type(server.limits)(**{**vars(server.limits), "all_pipelined_bytes": 100_000})
        harness.platform.servers["s-1"].pause_us = 300 * MS
        clients = [harness.ask(f"a{i}") for i in range(10)]
        for client in clients:
            harness.until(lambda client=client: client.status)
        for client in clients:
            client.send(head("b", LONG_BODY) + LONG_BODY)
            harness.loop.turn(1000)
        harness.until(lambda: sum(c.discarded_bytes > 0 for c in server.connections) >= 5)
        assert sum(len(c.buffer) for c in server.connections) < 100_000 + len(LONG_BODY) + 1000
        for client in clients:
            client.close()
        harness.wait_settled()


def test_a_partial_request_closed_to_make_room_is_refused_rather_than_dropped(tmp_path):
    with PlatformHarness(tmp_path, ("both",), sockets=128) as harness:
        partial = [harness.client(head(f"a{i}") + BODY[:40]) for i in range(harness.node.max_clients)]
        harness.until(lambda: sum(c.phase == "body" for c in harness.node.server.connections) == len(partial))
        harness.loop.run_until(lambda: False, 600 * MS)
        assert harness.ask("b1").wait_answer().status == 200
        harness.until(lambda: any(client.status for client in partial))
        assert {client.status for client in partial} <= {None, 503}


def test_a_request_on_a_connection_beyond_the_limit_is_answered():
    from lapiswing.http1 import Server

    loop = Loop(Clock())
    listener = Listener(loop, listen_socket("127.0.0.1", 0), lambda stream, peer: None, 0)
    listener.on_refused = Server.answer_refused
    client = socket.create_connection(listener.address)
    client.sendall(head("a1") + BODY)
    silent = socket.create_connection(listener.address)
    loop.run_until(lambda: listener.refused == 2, 1_000_000)
    got, clean = read_to_end(client, lambda: loop.turn(1000))
    assert statuses(got) == [503] and clean
    assert read_to_end(silent, lambda: loop.turn(1000)) == (b"", True)
    listener.close()
    loop.close()


def within_deadline(deadlines, asked_us, within_us, slack_us=150 * MS):
    return all(seconds * 1e6 <= asked_us + within_us - at_us + slack_us for seconds, at_us in deadlines)


def test_the_deadline_of_a_pipelined_request_counts_from_its_arrival(tmp_path):
    with PlatformHarness(tmp_path, ("both",)) as harness:
        harness.platform.servers["s-1"].pause_us = 150 * MS
        client = harness.ask("a1")
        harness.until(lambda: client.status)
        deadlines, asked_us = harness.record_deadlines(), harness.loop.clock.now_us()
        client.send(head("a2", Req_Deadline="2.500") + BODY)
        harness.until(lambda: deadlines)
        assert deadlines[0][1] - asked_us > 300 * MS  # it did wait
        assert within_deadline(deadlines, asked_us, 2_500 * MS), deadlines


@pytest.mark.parametrize("reused", [False, True], ids=["new connection", "reused connection"])
def test_the_deadline_of_a_request_that_arrived_during_a_long_turn_counts_from_its_arrival(tmp_path, reused):
    clock = SkippingClock()
    with PlatformHarness(tmp_path, ("both",), loop=Loop(clock)) as harness:
        client = harness.ask("a0").wait_answer()
        deadlines = harness.record_deadlines()
        asked_us = clock.now_us()
        if reused:
            client.got = b""
            harness.loop.soon(client.send, head("a1", Req_Deadline="2.000") + BODY)
        else:
            harness.loop.soon(lambda: setattr(harness, "late", harness.ask("a1", Req_Deadline="2.000")))
        harness.loop.soon(clock.skip, 600 * MS)  # after the client's bytes, in the same turn
        harness.until(lambda: deadlines)
        assert within_deadline(deadlines, asked_us, 2_000 * MS), deadlines


def test_the_deadline_of_a_request_in_pieces_counts_from_the_first(tmp_path):
    clock = SkippingClock()
    with PlatformHarness(tmp_path, ("both",), loop=Loop(clock)) as harness:
        data = head("a1", Req_Deadline="3.000") + BODY
        deadlines, asked_us = harness.record_deadlines(), clock.now_us()
        client = harness.client(data[:100])
        harness.until(lambda: any(c.phase == "head" for c in harness.node.server.connections))
        clock.skip(700 * MS)
        client.send(data[100:])
        harness.until(lambda: deadlines)
        assert within_deadline(deadlines, asked_us, 3_000 * MS), deadlines
