"""A turn of the loop has a budget, and input costs a bounded number of steps, so that no peer holds up the others for long."""

import socket
import sys

import pytest
from platform_harness import PlatformHarness, head

from lapiswing.http1.wire import MAX_EMPTY_LINES, MAX_FIELDS
from lapiswing.loop import Loop, Stream
from lapiswing.loop.clock import ManualClock
from lapiswing.loop.core import CLIENT_BUDGET_US, TRUSTED_BUDGET_US

EVENT_US = 2000  # cost of one event in these tests
READY = b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n"


class Peer:
    """One end of a socket pair on a loop; handling its input costs time of a manual clock."""

    def __init__(self, loop, handled, name, from_client=True, cost_us=EVENT_US):
        self.loop, self.handled, self.name, self.cost_us = loop, handled, name, cost_us
        sock, self.other = socket.socketpair()
        self.stream = Stream(loop, sock, self)
        self.stream.from_client = from_client
        self.since_us = None

    def on_data(self, data):
        self.handled.append(self.name)
        self.since_us = self.loop.ready_since_us
        self.loop.clock.advance(self.cost_us)

    def on_closed(self, why):
        self.other.close()


@pytest.fixture
def loop():
    loop = Loop(ManualClock())
    yield loop
    loop.close()


def test_a_turn_ends_once_clients_have_used_its_budget(loop):
    handled = []
    peers = [Peer(loop, handled, number) for number in range(12)]
    for peer in peers:
        peer.other.send(b"x")
    before_us = loop.clock.now_us()
    loop.turn(0)
    assert loop.clock.now_us() - before_us <= CLIENT_BUDGET_US + EVENT_US
    assert loop.turns_over_budget == 1
    while len(handled) < len(peers):
        loop.turn(0)
    assert sorted(handled) == list(range(12))


def test_timers_and_trusted_sockets_are_served_in_each_turn(loop):
    handled = []
    for number in range(12):
        Peer(loop, handled, number).other.send(b"x")
    Peer(loop, handled, "server", from_client=False).other.send(b"x")
    loop.call_at(loop.clock.now_us(), handled.append, "timer")
    loop.turn(0)
    assert handled[0] == "server" and handled[-1] == "timer"
    assert len(handled) < 12


def test_trusted_sockets_can_not_keep_clients_waiting(loop):
    handled = []
    for number in range(12):
        Peer(loop, handled, number, from_client=False, cost_us=TRUSTED_BUDGET_US).other.send(b"x")
    Peer(loop, handled, "client").other.send(b"x")
    loop.turn(0)
    assert "client" in handled


def test_those_that_have_cost_the_least_go_first(loop):
    """Guards against a cheap request that waits behind all the costly ones in each turn."""
    handled = []
    costly = [Peer(loop, handled, number) for number in range(12)]
    while len(set(handled)) < len(costly):
        for peer in costly:
            peer.other.send(b"x")
        loop.turn(0)
    Peer(loop, handled, "new").other.send(b"x")
    del handled[:]
    loop.turn(0)
    assert handled[0] == "new"


def test_input_that_has_waited_counts_from_when_it_came(loop):
    """Guards against a deadline that is stated too late: the wait for a turn with time left belongs to the request."""
    handled = []
    peers = [Peer(loop, handled, number) for number in range(12)]
    for peer in peers:
        peer.other.send(b"x")
    came_us = loop.now
    while len(handled) < len(peers):
        loop.turn(0)
    assert all(peer.since_us <= came_us + EVENT_US for peer in peers)


def test_the_work_on_a_body_does_not_depend_on_its_bytes(tmp_path):
    """Guards against a step for each line end in a chunked body: 150 bodies of 256 KiB of them stopped the gateway for 20 s."""
    size, calls = 262144, []
    with PlatformHarness(tmp_path) as harness:
        request = head("a1", Content_Length=None, Transfer_Encoding="chunked")
        client = harness.client()
        client.sock.setblocking(False)
        unsent = memoryview(request + b"%x\r\n" % size + b"\n" * size + b"\r\n0\r\n\r\n")

        def answered():
            nonlocal unsent
            try:
                unsent = unsent[client.sock.send(unsent) :] if unsent else unsent
            except BlockingIOError:
                pass
            return client.ended()

        sys.setprofile(lambda *event: calls.append(event[1]) if event[1] in ("call", "c_call") else None)
        try:
            harness.until(answered)
        finally:
            sys.setprofile(None)
        assert client.status == 400
        assert len(calls) < size // 10


def test_many_requests_in_one_read_take_turns_with_other_connections(tmp_path):
    """Guards against thousands of small requests behind each other that are answered in one turn."""
    with PlatformHarness(tmp_path) as harness:
        many = harness.client(READY * 1500)
        harness.until(lambda: many.receive())
        one = harness.client(READY).wait_answer()
        assert one.status == 200
        assert many.receive().count(b"HTTP/1.1 200") < 1500
        harness.until(lambda: many.receive().count(b"HTTP/1.1 200") == 1500)


def test_input_that_waits_for_its_turn_is_bounded(tmp_path):
    """Guards against a connection that is read faster than its requests are handled."""
    with PlatformHarness(tmp_path) as harness:
        client, kept = harness.client(), []
        client.sock.setblocking(False)
        limit = harness.node.server.limits.pipelined_bytes

        def send():
            try:
                client.sock.send(READY * 2000)
            except BlockingIOError:
                pass
            kept.extend(len(connection.buffer) for connection in harness.node.server.connections)

        for _ in range(300):
            send()
            client.receive()
            harness.loop.turn(0)
        assert max(kept) < 2 * limit


def test_time_outs_that_fall_due_together_take_turns(tmp_path):
    """Guards against hundreds of late requests that are all answered 408 in one turn."""
    with PlatformHarness(tmp_path) as harness:
        clients = [harness.client(READY[:-2]) for _ in range(40)]
        connections = harness.node.server.connections
        harness.until(lambda: sum(connection.phase == "head" for connection in connections) == 40)
        for connection in connections:
            connection.opened_us -= 10_000_000
        harness.node.server.sweep()
        assert not any(client.status for client in clients)
        harness.until(lambda: all(client.status == 408 for client in clients))


def test_empty_lines_before_a_request_are_limited(tmp_path):
    with PlatformHarness(tmp_path) as harness:
        assert harness.client(b"\r\n" * MAX_EMPTY_LINES + READY).wait_answer().status == 200
        assert harness.client(b"\r\n" * 30_000).wait_answer().status == 400


def test_header_fields_are_limited(tmp_path):
    with PlatformHarness(tmp_path) as harness:
        start = READY[:-2]
        assert harness.client(start + b"a:\r\n" * (MAX_FIELDS - 2) + b"\r\n").wait_answer().status == 200
        assert harness.client(start + b"a:\r\n" * (MAX_FIELDS + 1) + b"\r\n").wait_answer().status == 431
