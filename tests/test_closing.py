"""Closes that cross with what a client sends: the answer written last is not destroyed, nothing taken goes unanswered."""

import socket

import pytest
from platform_harness import BODY, PlatformHarness, head
from gateway_site import GatewaySite, RawClient, post, chat, status

from lapiswing.loop import Clock, Listener, Loop, Stream, listen_socket

MS = 1000


def to_the_end(sock, turn, most=4000):
    """-> (all that came, whether the end was a clean one)."""
    got = b""
    sock.setblocking(False)
    for _ in range(most):
        turn()
        try:
            data = sock.recv(65536)
        except BlockingIOError:
            continue
        except ConnectionResetError:
            return got, False
        if not data:
            return got, True
        got += data
    raise AssertionError("no end came")


SENT_ON = {
    "a body too long": head("a1", Content_Length="400000") + b"x" * 150_000,
    "a head too long": b"GET / HTTP/1.1\r\n" + b"a: b\r\n" * 20_000,
    "noise": b"\x00 noise\r\n\r\n" * 10_000,
    "bad requests behind a bad one": (head("a1", Req_Kind="x") + BODY) * 200,
}


@pytest.mark.parametrize("name", SENT_ON)
def test_an_error_is_not_destroyed_by_what_its_client_still_sends(tmp_path, name):
    """A close over unread bytes resets the connection; the error that was just written can go with it."""
    with PlatformHarness(tmp_path) as harness:
        client = harness.client(SENT_ON[name])
        got, clean = to_the_end(client.sock, lambda: harness.loop.turn(1000))
        assert 400 <= int(got[9:12]) < 500 and clean
        harness.until(lambda: not harness.node.server.connections)


def test_a_client_that_sends_on_without_end_is_cut_off(tmp_path):
    with PlatformHarness(tmp_path) as harness:
        client, sent = harness.client(head("a1", Content_Length=str(60 << 20))), 0
        began = harness.loop.clock.now_us()
        while sent < 60 << 20:
            try:
                sent += client.sock.send(b"x" * 65536)
            except BlockingIOError:
                harness.loop.turn(1000)
            except OSError:
                break
        assert sent < 8 << 20 and harness.loop.clock.now_us() - began < 3_000_000
        harness.until(lambda: not harness.node.server.connections)


def test_a_lingering_close_is_bounded_in_time_and_makes_room(tmp_path):
    with PlatformHarness(tmp_path, sockets=128) as harness:
        silent = [harness.client(head("a1", Content_Length="400000")) for _ in range(harness.node.clients)]
        for client in silent:
            harness.until(lambda client=client: client.status == 413)
        assert len(harness.node.server.connections) == harness.node.clients  # none of them closes its side
        began = harness.loop.clock.now_us()
        assert harness.ask("b1").wait_answer().status == 200  # room is made of those
        assert harness.loop.clock.now_us() - began < 500 * MS
        harness.until(lambda: not harness.node.server.connections - {c for c in harness.node.server.connections if c.served})


def test_a_request_that_came_in_as_idle_connections_are_closed_is_answered(tmp_path):
    with PlatformHarness(tmp_path, ("both",)) as harness:
        kept, rests = harness.ask("a0").wait_answer(), harness.ask("a1").wait_answer()
        kept.got = b""
        harness.node.stopping = harness.core.draining = True
        kept.send(head("a2") + BODY)  # in the kernel, not read yet
        harness.node.server.drain()
        got, _ = to_the_end(kept.sock, lambda: harness.loop.turn(1000))
        assert got.startswith(b"HTTP/1.1 503") and b"connection: close" in got.lower()
        assert to_the_end(rests.sock, lambda: harness.loop.turn(1000))[1]


def test_requests_in_the_accept_queue_are_answered_as_the_port_closes(tmp_path):
    with PlatformHarness(tmp_path, ("both",)) as harness:
        stopped = []
        harness.loop.stop = lambda: stopped.append(1)
        harness.node.stopping = harness.core.draining = harness.node.server.closing = True
        queued = [harness.ask(f"a{i}") for i in range(100)]  # connected and sent; the gateway has not accepted them
        assert not harness.node.server.connections
        harness.node.close_port()
        for client in queued:
            assert client.wait_answer().status == 503
        harness.until(lambda: stopped)


def test_half_a_request_is_waited_for_before_the_program_ends(tmp_path):
    with PlatformHarness(tmp_path, ("both",)) as harness:
        stopped = []
        harness.loop.stop = lambda: stopped.append(1)
        data = head("a1") + BODY
        client, never = harness.client(data[:-40]), harness.client(data[:40])
        harness.until(lambda: len(harness.node.server.connections) == 2)
        harness.node.stop()
        harness.loop.run_until(lambda: False, 700 * MS)
        assert not stopped
        client.send(data[-40:])
        assert client.wait_answer().status == 503
        began = harness.loop.clock.now_us()
        harness.until(lambda: stopped)  # one that never comes does not keep it for good
        assert harness.loop.clock.now_us() - began < 2_500_000
        never.close()


def test_a_request_right_behind_the_last_event_of_a_stream_is_answered_while_stopping(tmp_path):
    """The stream began before the stop, so its client was not told that the connection would end."""
    with PlatformHarness(tmp_path, ("both",)) as harness:
        harness.platform.servers["s-1"].pause_us = 50 * MS
        client = harness.ask("a1")
        harness.until(lambda: client.status)
        harness.node.stop()
        client.send(head("a2") + BODY)
        got, _ = to_the_end(client.sock, lambda: harness.loop.turn(1000))
        got = client.got + got
        assert got.count(b"HTTP/1.1 200") == 1 and got.count(b"HTTP/1.1 503") == 1
        assert got.index(b"[DONE]") < got.index(b"HTTP/1.1 503")


def test_the_chat_front_lingers_too():
    with GatewaySite() as place:
        raw = RawClient(place, post(chat()).replace(b"Content-Length: ", b"Content-Length: 99999") + b"y" * 100_000)
        got, clean = to_the_end(raw.sock, lambda: place.loop.turn(1000))
        assert status(got) == 413 and clean


class Owner:
    def __init__(self):
        self.data, self.closed = b"", []

    def on_data(self, data):
        self.data += data

    def on_eof(self):
        self.data += b"|"

    def on_closed(self, why):
        self.closed.append(why)


def test_nothing_read_while_lingering_reaches_the_owner():
    loop = Loop(Clock())
    streams = []
    listener = Listener(loop, listen_socket("127.0.0.1", 0), lambda stream, peer: streams.append(stream))
    near = socket.create_connection(listener.address)
    loop.run_until(lambda: streams)
    owner = streams[0].owner = Owner()
    near.sendall(b"one")
    loop.run_until(lambda: owner.data)
    streams[0].write(b"bye")
    streams[0].close(linger_us=200 * MS)
    near.sendall(b"two")
    loop.run_until(lambda: False, 50 * MS)
    assert owner.data == b"one" and not owner.closed and near.recv(9) == b"bye" and near.recv(9) == b""
    near.close()
    loop.run_until(lambda: owner.closed)
    assert owner.closed == [None] and isinstance(streams[0], Stream) and not loop.timers[0][2].call
    listener.close()
    loop.close()


def test_events_reach_the_client_as_they_come(tmp_path):
    """Not later than 0.3 s after the server wrote them: here each of them before the next one is written."""
    with PlatformHarness(tmp_path, ("both",)) as harness:
        server = harness.platform.servers["s-1"]
        server.events, server.pause_us = 5, 100 * MS
        client, seen = harness.ask("a1"), []

        def look():
            count = client.receive().count(b'"content"')
            if count > len(seen):
                seen.extend([harness.loop.clock.now_us()] * (count - len(seen)))
            return len(seen) == 5

        harness.until(look)
        gaps = [b - a for a, b in zip(seen, seen[1:])]
        assert min(gaps) > 50 * MS and max(gaps) < 300 * MS, gaps
        assert client.wait_answer().status == 200


def test_a_request_that_comes_as_its_connection_is_given_up_as_silent_is_answered(tmp_path):
    """Both in one turn, the look at silent connections first."""
    with PlatformHarness(tmp_path, ("both", "both")) as harness:
        client = harness.client()
        harness.until(lambda: harness.node.server.connections)
        (conn,) = harness.node.server.connections
        client.send(head("a1") + BODY)
        conn.check_timeouts(conn.opened_us + 3_000_000)
        assert client.wait_answer().status == 200
        conn.check_timeouts(harness.loop.now + 200_000_000)  # with nothing on its way it does close
        harness.until(lambda: not harness.node.server.connections)
        client.close()
