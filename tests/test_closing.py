"""Connections closed while their client sends: the last answer is not destroyed, and no accepted request goes unanswered."""

import socket

import pytest
from gateway_site import GatewaySite, RawClient, chat, post, status
from platform_harness import BODY, PlatformHarness, head

from lapiswing.loop import Clock, Listener, Loop, Stream, listen_socket

MS = 1000


def read_to_end(sock, turn, max_turns=4000):
    """-> (everything received, whether the connection ended without a reset)."""
    got = b""
    sock.setblocking(False)
    for _ in range(max_turns):
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
    raise AssertionError("the connection did not end")


OVERLONG = {
    "a body too long": head("a1", Content_Length="400000") + b"x" * 150_000,
    "a head too long": b"GET / HTTP/1.1\r\n" + b"a: b\r\n" * 20_000,
    "noise": b"\x00 noise\r\n\r\n" * 10_000,
    "invalid requests behind an invalid one": (head("a1", Req_Kind="x") + BODY) * 200,
}


@pytest.mark.parametrize("name", OVERLONG)
def test_an_error_answer_is_not_destroyed_by_further_input(tmp_path, name):
    """Closing with unread input resets the connection, which can destroy the error answer just written."""
    with PlatformHarness(tmp_path) as harness:
        client = harness.client(OVERLONG[name])
        got, clean = read_to_end(client.sock, lambda: harness.loop.turn(1000))
        assert 400 <= int(got[9:12]) < 500 and clean
        harness.until(lambda: not harness.node.server.connections)


def test_a_client_that_never_stops_sending_is_disconnected(tmp_path):
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
        silent = [harness.client(head("a1", Content_Length="400000")) for _ in range(harness.node.max_clients)]
        for client in silent:
            harness.until(lambda client=client: client.status == 413)
        assert len(harness.node.server.connections) == harness.node.max_clients  # none of the clients closes its side
        began = harness.loop.clock.now_us()
        assert harness.ask("b1").wait_answer().status == 200  # lingering connections are closed to make room
        assert harness.loop.clock.now_us() - began < 500 * MS
        harness.until(lambda: not harness.node.server.connections - {c for c in harness.node.server.connections if c.served})


def test_a_request_that_arrives_as_idle_connections_are_closed_is_answered(tmp_path):
    with PlatformHarness(tmp_path, ("both",)) as harness:
        active, idle = harness.ask("a0").wait_answer(), harness.ask("a1").wait_answer()
        active.got = b""
        harness.node.stopping = harness.core.draining = True
        active.send(head("a2") + BODY)  # received by the kernel, not read yet
        harness.node.server.drain()
        got, _ = read_to_end(active.sock, lambda: harness.loop.turn(1000))
        assert got.startswith(b"HTTP/1.1 503") and b"connection: close" in got.lower()
        assert read_to_end(idle.sock, lambda: harness.loop.turn(1000))[1]


def test_requests_in_the_accept_queue_are_answered_as_the_port_closes(tmp_path):
    with PlatformHarness(tmp_path, ("both",)) as harness:
        stopped = []
        harness.loop.stop = lambda: stopped.append(1)
        harness.node.stopping = harness.core.draining = harness.node.server.closing = True
        queued = [harness.ask(f"a{i}") for i in range(100)]  # connected and sent, but not accepted yet
        assert not harness.node.server.connections
        harness.node.close_port()
        for client in queued:
            assert client.wait_answer().status == 503
        harness.until(lambda: stopped)


def test_a_partly_received_request_is_waited_for_before_the_program_ends(tmp_path):
    with PlatformHarness(tmp_path, ("both",)) as harness:
        stopped = []
        harness.loop.stop = lambda: stopped.append(1)
        data = head("a1") + BODY
        client, incomplete = harness.client(data[:-40]), harness.client(data[:40])
        harness.until(lambda: len(harness.node.server.connections) == 2)
        harness.node.stop()
        harness.loop.run_until(lambda: False, 700 * MS)
        assert not stopped
        client.send(data[-40:])
        assert client.wait_answer().status == 503
        began = harness.loop.clock.now_us()
        harness.until(lambda: stopped)  # one that is never completed does not delay the end for good
        assert harness.loop.clock.now_us() - began < 2_500_000
        incomplete.close()


def test_a_request_right_after_the_last_event_of_a_stream_is_answered_while_stopping(tmp_path):
    """The stream began before the stop, so its client was not told that the connection would close."""
    with PlatformHarness(tmp_path, ("both",)) as harness:
        harness.platform.servers["s-1"].pause_us = 50 * MS
        client = harness.ask("a1")
        harness.until(lambda: client.status)
        harness.node.stop()
        client.send(head("a2") + BODY)
        got, _ = read_to_end(client.sock, lambda: harness.loop.turn(1000))
        got = client.got + got
        assert got.count(b"HTTP/1.1 200") == 1 and got.count(b"HTTP/1.1 503") == 1
        assert got.index(b"[DONE]") < got.index(b"HTTP/1.1 503")


def test_the_chat_front_lingers_too():
    with GatewaySite() as place:
        raw = RawClient(place, post(chat()).replace(b"Content-Length: ", b"Content-Length: 99999") + b"y" * 100_000)
        got, clean = read_to_end(raw.sock, lambda: place.loop.turn(1000))
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


def test_input_read_while_lingering_does_not_reach_the_owner():
    loop = Loop(Clock())
    streams = []
    listener = Listener(loop, listen_socket("127.0.0.1", 0), lambda stream, peer: streams.append(stream))
    client = socket.create_connection(listener.address)
    loop.run_until(lambda: streams)
    owner = streams[0].owner = Owner()
    client.sendall(b"one")
    loop.run_until(lambda: owner.data)
    streams[0].write(b"bye")
    streams[0].close(linger_us=200 * MS)
    client.sendall(b"two")
    loop.run_until(lambda: False, 50 * MS)
    assert owner.data == b"one" and not owner.closed and client.recv(9) == b"bye" and client.recv(9) == b""
    client.close()
    loop.run_until(lambda: owner.closed)
    assert owner.closed == [None] and isinstance(streams[0], Stream) and not loop.timers[0][2].call
    listener.close()
    loop.close()


def test_events_reach_the_client_without_delay(tmp_path):
    """Within 0.3 s of being written by the server: here each event arrives before the next one is written."""
    with PlatformHarness(tmp_path, ("both",)) as harness:
        server = harness.platform.servers["s-1"]
        server.events, server.pause_us = 5, 100 * MS
        client, seen = harness.ask("a1"), []

        def all_seen():
            count = client.receive().count(b'"content"')
            if count > len(seen):
                seen.extend([harness.loop.clock.now_us()] * (count - len(seen)))
            return len(seen) == 5

        harness.until(all_seen)
        gaps = [b - a for a, b in zip(seen, seen[1:])]
        assert min(gaps) > 50 * MS and max(gaps) < 300 * MS, gaps
        assert client.wait_answer().status == 200


def test_a_request_that_arrives_as_its_connection_times_out_is_answered(tmp_path):
    """Both in one turn, with the check for time-outs first."""
    with PlatformHarness(tmp_path, ("both", "both")) as harness:
        client = harness.client()
        harness.until(lambda: harness.node.server.connections)
        (conn,) = harness.node.server.connections
        client.send(head("a1") + BODY)
        conn.check_timeouts(conn.opened_us + 3_000_000)
        assert client.wait_answer().status == 200
        conn.check_timeouts(harness.loop.now + 200_000_000)  # without unread input it does close
        harness.until(lambda: not harness.node.server.connections)
        client.close()
