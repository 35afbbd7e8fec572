"""Once a client has closed its connection, no further attempt is made for its request, whatever stage it is in."""

import itertools
import json
import socket
import struct
import time

import pytest
from platform_harness import BODY, SETTINGS, PlatformHarness, head

from lapiswing.http1 import client as http1_client
from lapiswing.interface import Server as Row

MS = 1000
PIPELINED = head("p1") + BODY


def fin(client):
    client.close()


def reset(client):
    client.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    client.close()


def behind_pipelined(client):
    client.send(PIPELINED)
    client.close()


def flood(client, data=PIPELINED * (300 * 1024 // len(PIPELINED))):
    """Sends more than is buffered behind an open request, but less than what gets the connection closed."""
    client.send_in_turns(data)


def behind_a_flood(client):
    flood(client)
    client.close()


CLOSINGS = {"FIN": fin, "RST": reset, "behind a pipelined request": behind_pipelined, "behind a flood": behind_a_flood}


def attempts(harness):
    """-> when the last byte of each attempt reached a server."""
    return [at_us for s in harness.platform.servers.values() for at_us, row in zip(s.seen_us, s.seen) if row[0] == b"POST"]


def leave_and_check(harness, client, how):
    """Closes the connection, runs the loop past every time-out and checks that no attempt came more than 50 ms later."""
    CLOSINGS[how](client)
    left_us = harness.loop.clock.now_us()
    harness.loop.run_until(lambda: False, 220 * MS)
    late = [at_us - left_us for at_us in attempts(harness) if at_us > left_us + 50 * MS]
    assert not late, late
    harness.wait_settled()


def send_until_blocked(client, requests):
    """Sends as much as the kernel takes while the gateway reads nothing. -> the number of bytes."""
    sent = 0
    unsent = memoryview(b"")
    try:
        while True:
            unsent = unsent or memoryview(next(requests))
            size = client.sock.send(unsent)
            unsent, sent = unsent[size:], sent + size
    except BlockingIOError:
        return sent


LARGE = json.dumps({"messages": [{"role": "user", "content": "x" * 60_000}]}).encode()


@pytest.mark.parametrize("closing", ["FIN", "RST"])
@pytest.mark.parametrize("body", [BODY, LARGE], ids=["small requests", "large requests"])
@pytest.mark.parametrize("used", [True, False], ids=["used connection", "new connection"])
def test_nothing_is_sent_for_a_client_that_left_with_megabytes_unread(tmp_path, used, body, closing):
    """The gateway was held up while they came; the client's leaving shows only behind all of them."""
    with PlatformHarness(tmp_path, ("both",)) as harness:
        client = harness.client()
        if used:
            client.send(head("a0") + BODY)
            client.wait_answer()
        already = len(attempts(harness))
        assert send_until_blocked(client, (head(f"b{i}", body) + body for i in itertools.count())) > 1 << 20
        CLOSINGS[closing](client)
        time.sleep(0.15)
        harness.loop.run_until(lambda: False, 400 * MS)
        assert len(attempts(harness)) == already
        harness.wait_settled()


class LateConnect(http1_client.connect):
    """A connection that is established late."""

    def __init__(self, loop, address, timeout_us, done, **options):
        self.late_loop = loop
        super().__init__(loop, address, timeout_us, done, **options)

    def on_ready(self, mask):
        self.loop.watch(self.sock, 0, None)
        self.late_loop.call_later(150 * MS, self.establish, mask)

    def establish(self, mask):
        if self.done is not None:
            super().on_ready(mask)


@pytest.fixture(params=[True, False], ids=["cancel", "no-cancel"])
def cancel(request, monkeypatch):
    """With and without the setting that allows running attempts to be cancelled."""
    monkeypatch.setitem(SETTINGS, "Limits", {**SETTINGS["Limits"], "Cancel": request.param})


@pytest.mark.parametrize("how", CLOSINGS)
def test_leaves_before_its_request_is_parsed(tmp_path, how, cancel):
    with PlatformHarness(tmp_path) as harness:
        client = harness.ask("a1")
        leave_and_check(harness, client, how)
        assert not attempts(harness) and not harness.core.reqs


@pytest.mark.parametrize("how", CLOSINGS)
def test_leaves_while_its_prefill_runs(tmp_path, how, cancel):
    with PlatformHarness(tmp_path) as harness:
        reader = harness.platform.servers["s-1"]
        reader.read_us = 200 * MS
        client = harness.ask("a1")
        harness.until(lambda: reader.seen)
        leave_and_check(harness, client, how)
        assert len(attempts(harness)) == 1


@pytest.mark.parametrize("how", CLOSINGS)
def test_leaves_as_its_prefill_ends(tmp_path, how, cancel):
    with PlatformHarness(tmp_path) as harness:
        reader = harness.platform.servers["s-1"]
        client = harness.ask("a1")

        def fault(exchange):  # its answer and the client's close reach the gateway in the same turn
            if exchange.method != b"POST":
                return False
            reader.states.add("a1")
            exchange.json(202, {"cached_tokens": 0})
            exchange.conn.stream.flush()
            CLOSINGS[how](client)
            return True

        reader.fault = fault
        harness.until(lambda: reader.seen)
        harness.loop.run_until(lambda: False, 220 * MS)
        assert len(attempts(harness)) == 1
        harness.wait_settled()


@pytest.mark.parametrize("how", CLOSINGS)
def test_leaves_while_a_connection_is_being_established(tmp_path, how, cancel, monkeypatch):
    monkeypatch.setattr(http1_client, "connect", LateConnect)
    with PlatformHarness(tmp_path) as harness:
        client = harness.ask("a1")
        harness.until(lambda: harness.core.counts["forwards"])
        leave_and_check(harness, client, how)
        assert not attempts(harness)


@pytest.mark.parametrize("how", CLOSINGS)
def test_leaves_while_a_retry_waits_for_its_connection(tmp_path, how, cancel, monkeypatch):
    with PlatformHarness(tmp_path, ("both", "both")) as harness:

        def fault(exchange):
            if exchange.method != b"POST":
                return False
            monkeypatch.setattr(http1_client, "connect", LateConnect)
            exchange.respond(503, b"", more=[(b"srv-declined", b"1")])
            return True

        for server in harness.platform.servers.values():
            server.fault = fault
        client = harness.ask("a1")
        harness.until(lambda: harness.core.counts["forwards"] == 2)
        leave_and_check(harness, client, how)
        assert len(attempts(harness)) == 1


@pytest.mark.parametrize("how", CLOSINGS)
def test_leaves_while_a_list_of_1024_servers_is_applied(tmp_path, how, cancel):
    """Applying the list blocks the loop for longer than a client that has gone may still be served."""
    with PlatformHarness(tmp_path, ("both", "both")) as harness:
        rows = harness.node.server_list
        client = harness.ask("a1")
        harness.until(lambda: harness.node.server.connections)
        listed = list(rows.rows.values())
        rows.rows |= {f"x-{i}": Row(f"x-{i}", 0, 0, 2, 1.0, 0, "draining") for i in range(1022)}
        submit = harness.core.submit

        def submit_with_list(spec, listener):  # list and request arrive in one turn; the client leaves while the list is applied
            req = submit(spec, listener)
            harness.node.on_list_change()
            on_servers = harness.core.router.on_servers

            def slow(*args):
                on_servers(*args)
                CLOSINGS[how](client)

            harness.core.router.on_servers = slow
            harness.core.events.insert(0, harness.core.events.pop())
            return req

        harness.core.submit = submit_with_list
        harness.until(lambda: len(harness.core.router.servers) == 1024)
        harness.loop.run_until(lambda: False, 220 * MS)
        assert not attempts(harness) and listed
        harness.wait_settled()


@pytest.mark.parametrize("how", CLOSINGS)
def test_leaves_while_its_stream_is_paused(tmp_path, how, cancel):
    """The client reads nothing, so reading from the server is paused; when the client leaves, the attempt is cancelled."""
    with PlatformHarness(tmp_path, ("both",)) as harness:
        server = harness.platform.servers["s-1"]
        server.events, server.pause_us = 100_000, 0
        server.event = lambda number, of=type(server).event: of(number).replace(b"w", b"w" * 2000, 1)
        client = harness.client()
        client.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        harness.until(lambda: harness.node.server.connections)
        (conn,) = harness.node.server.connections
        conn.stream.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        client.send(head("a1") + BODY)
        harness.until(lambda: any(r.paused for r in harness.core.reqs.values()))
        CLOSINGS[how](client)
        harness.until(lambda: not harness.core.reqs, 1_000_000)
        assert len(attempts(harness)) == 1


def test_input_behind_an_open_request_is_bounded(tmp_path):
    """If reading simply stopped at the limit, the client's leaving would go unnoticed. Each request gets one answer, in order: what
    was not kept is refused. A client that sends on beyond all limits is disconnected."""
    with PlatformHarness(tmp_path, ("both",)) as harness:
        harness.platform.servers["s-1"].pause_us = 100 * MS
        client = harness.ask("a1")
        harness.until(lambda: client.status)
        count = 20
        client.send(b"".join(head(f"p{i}", Req_Deadline="30.000") + BODY for i in range(count)))
        harness.until(lambda: client.receive().count(b"0\r\n\r\n") == 1 + count, 30_000 * MS)
        assert client.got.count(b"HTTP/1.1 200") == 1 + count == len(attempts(harness)) and not client.closed
        client.close()
        harness.until(lambda: not harness.node.server.connections)
        before = len(attempts(harness))
        client = harness.ask("b1")
        harness.until(lambda: client.status)
        count, body = 40, json.dumps({"messages": [{"role": "user", "content": "x" * 16_000}]}).encode()
        flood(client, b"".join(head(f"c{i}", body, Req_Deadline="30.000") + body for i in range(count)))
        harness.platform.servers["s-1"].pause_us = 2 * MS
        harness.until(lambda: len(client.statuses()) == 1 + count, 30_000 * MS)
        served = client.statuses().count(200)
        assert client.statuses() == [200] * served + [503] * (1 + count - served) and 16 <= served <= 18
        assert len(attempts(harness)) == before + served and not client.closed
        client.send(head("d1") + BODY)  # as after any answer
        harness.until(lambda: len(client.statuses()) == 2 + count)
        assert client.statuses()[-1] == 200
        client = harness.ask("a2")
        harness.until(lambda: client.status)
        (conn,) = harness.node.server.connections
        sent = 0
        try:
            while sent < 8 << 20:  # far beyond the limit: it is disconnected
                client.sock.setblocking(False)
                try:
                    sent += client.sock.send(PIPELINED * 20)
                except BlockingIOError:
                    pass
                harness.loop.turn(1000)
                assert len(conn.buffer) <= harness.node.server.limits.pipelined_bytes
        except OSError:
            pass
        assert sent < 8 << 20 and not harness.node.server.connections
        harness.wait_settled()
