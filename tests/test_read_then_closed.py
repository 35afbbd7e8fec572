"""A request that was read gets an answer before its connection is closed, and its time counts from its arrival."""

import socket

import pytest
from platform_harness import BODY, PlatformHarness, head
from test_closing import to_the_end

from lapiswing.loop import Clock, Listener, Loop, listen_socket

MS = 1000
LONG_BODY = BODY.replace(b"x" * 400, b"x" * 20_000)  # an ordinary prompt is longer than a few KB


class SkippingClock(Clock):
    """Real time and what a test adds to it, as a busy turn does."""

    def __init__(self):
        self.skipped_us = 0

    def now_us(self):
        return super().now_us() + self.skipped_us

    def skip(self, us):
        self.skipped_us += us


def statuses(got):
    return [int(part[:3]) for part in got.split(b"HTTP/1.1 ")[1:]]


def test_what_was_read_behind_an_answered_request_is_answered_while_stopping(tmp_path):
    with PlatformHarness(tmp_path, ("both",)) as harness:
        kept = harness.ask("a0").wait_answer()
        kept.got = b""
        harness.node.stopping = harness.core.draining = harness.node.server.closing = True
        kept.send((head("a1") + BODY) * 3)  # one read for the three
        got, clean = to_the_end(kept.sock, lambda: harness.loop.turn(1000))
        assert statuses(got) == [503] * 3 and clean
        assert got.lower().count(b"connection: close") == 1


@pytest.mark.parametrize("body", [BODY, LONG_BODY], ids=["short", "long"])
def test_requests_behind_an_open_one_are_answered(tmp_path, body):
    """Past 4 KB they were read, thrown away and closed over."""
    with PlatformHarness(tmp_path, ("both",)) as harness:
        harness.platform.servers["s-1"].pause_us = 20 * MS
        client = harness.ask("a1")
        harness.until(lambda: client.status)
        for i in range(5):
            client.send(head(f"b{i}", body) + body)
        harness.until(lambda: client.receive().count(b"0\r\n\r\n") == 6)
        assert statuses(client.got) == [200] * 6


def test_what_all_connections_keep_behind_open_requests_is_bounded(tmp_path):
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


def test_half_a_request_that_makes_room_is_refused_and_not_dropped(tmp_path):
    with PlatformHarness(tmp_path, ("both",), sockets=128) as harness:
        half = [harness.client(head(f"a{i}") + BODY[:40]) for i in range(harness.node.clients)]
        harness.until(lambda: sum(c.phase == "body" for c in harness.node.server.connections) == len(half))
        harness.loop.run_until(lambda: False, 600 * MS)
        assert harness.ask("b1").wait_answer().status == 200
        harness.until(lambda: any(client.status for client in half))
        assert {client.status for client in half} <= {None, 503}


def test_a_request_on_a_connection_that_there_is_no_place_for_is_answered():
    from lapiswing.http1 import Server

    loop = Loop(Clock())
    listener = Listener(loop, listen_socket("127.0.0.1", 0), lambda stream, peer: None, 0)
    listener.on_refused = Server.answer_refused
    client = socket.create_connection(listener.address)
    client.sendall(head("a1") + BODY)
    quiet = socket.create_connection(listener.address)
    loop.run_until(lambda: listener.refused == 2, 1_000_000)
    got, clean = to_the_end(client, lambda: loop.turn(1000))
    assert statuses(got) == [503] and clean
    assert to_the_end(quiet, lambda: loop.turn(1000)) == (b"", True)
    listener.close()
    loop.close()


def in_time(told, asked_us, within_us, slack_us=150 * MS):
    return all(seconds * 1e6 <= asked_us + within_us - at_us + slack_us for seconds, at_us in told)


def test_a_request_behind_an_open_one_tells_what_is_left_since_it_came(tmp_path):
    with PlatformHarness(tmp_path, ("both",)) as harness:
        harness.platform.servers["s-1"].pause_us = 150 * MS
        client = harness.ask("a1")
        harness.until(lambda: client.status)
        told, asked_us = harness.record_deadlines(), harness.loop.clock.now_us()
        client.send(head("a2", Req_Deadline="2.500") + BODY)
        harness.until(lambda: told)
        assert told[0][1] - asked_us > 300 * MS  # it did wait
        assert in_time(told, asked_us, 2_500 * MS), told


@pytest.mark.parametrize("kept", [False, True], ids=["new connection", "kept connection"])
def test_a_request_that_came_in_during_a_long_turn_tells_what_is_left(tmp_path, kept):
    clock = SkippingClock()
    with PlatformHarness(tmp_path, ("both",), loop=Loop(clock)) as harness:
        client = harness.ask("a0").wait_answer()
        told = harness.record_deadlines()
        asked_us = clock.now_us()
        if kept:
            client.got = b""
            harness.loop.soon(client.send, head("a1", Req_Deadline="2.000") + BODY)
        else:
            harness.loop.soon(lambda: setattr(harness, "late", harness.ask("a1", Req_Deadline="2.000")))
        harness.loop.soon(clock.skip, 600 * MS)  # behind the client's bytes, in the same turn
        harness.until(lambda: told)
        assert in_time(told, asked_us, 2_000 * MS), told


def test_a_request_in_pieces_tells_what_is_left_since_its_first(tmp_path):
    clock = SkippingClock()
    with PlatformHarness(tmp_path, ("both",), loop=Loop(clock)) as harness:
        data = head("a1", Req_Deadline="3.000") + BODY
        told, asked_us = harness.record_deadlines(), clock.now_us()
        client = harness.client(data[:100])
        harness.until(lambda: any(c.phase == "head" for c in harness.node.server.connections))
        clock.skip(700 * MS)
        client.send(data[100:])
        harness.until(lambda: told)
        assert in_time(told, asked_us, 3_000 * MS), told
