"""When a kept connection to a server may be used again: an answer must never be taken for that to another request."""

import socket

import pytest

from lapiswing.http1 import SETTLE_US, Pool
from lapiswing.http1.client import ClientConnection
from lapiswing.loop import Listener, Loop, Stream, listen_socket
from lapiswing.loop.clock import ManualClock

ANSWER = b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nfirst"
SECOND = ANSWER.replace(b"first", b"other")


class Recorder:
    """Handler of an exchange that records what it was given; reading a body costs time of the clock."""

    def __init__(self, clock, body_cost_us=0):
        self.clock, self.body_cost_us = clock, body_cost_us
        self.body, self.ended, self.stage = b"", False, None

    def on_head(self, status, fields):
        pass

    def on_body(self, data):
        self.body += data
        self.clock.advance(self.body_cost_us)

    def on_end(self):
        self.ended = True

    def on_fail(self, stage, why):
        self.stage = stage


class Server:
    """A pool with one connection, whose other end is driven by the test."""

    def __init__(self):
        self.clock = ManualClock()
        self.loop = Loop(self.clock)
        self.pool = Pool(self.loop, settle_us=SETTLE_US)
        self.accepted = []
        self.listener = Listener(self.loop, listen_socket("127.0.0.1", 0), self.accept)
        self.address = self.listener.address
        sock, self.other = socket.socketpair()
        self.connection = ClientConnection(self.pool, self.address, Stream(self.loop, sock))
        self.pool.open_count[self.address] = 1
        self.pool.all.add(self.connection)

    def accept(self, stream, _peer):
        self.accepted.append(AnsweringServer(stream))

    def first_answer(self, cost_us=0):
        """Has the connection serve a first request; handling its answer takes `cost_us`."""
        handler = Recorder(self.clock, cost_us)
        self.connection.reusable = True
        self.pool.idle[self.address] = [self.connection]
        self.clock.advance(SETTLE_US)
        self.ask(handler)
        self.loop.turn(0)
        self.other.recv(4096)
        self.other.send(ANSWER)
        self.loop.turn(0)
        assert handler.ended and self.idle() == [self.connection]

    def idle(self):
        return self.pool.idle.get(self.address, [])

    def ask(self, handler):
        return self.pool.request(self.address, b"GET", b"/", [], b"", handler)

    def close(self):
        self.pool.close()
        self.listener.close()
        for server in self.accepted:
            server.stream.abort()
        self.other.close()
        self.loop.close()


@pytest.fixture
def server():
    server = Server()
    yield server
    server.close()


def test_the_rest_counts_from_the_end_of_the_answer_and_not_of_the_turns_beginning(server):
    """Guards against a second answer that is served to another client after a turn longer than the rest (review, case 1)."""
    server.first_answer(cost_us=SETTLE_US + 5000)
    server.loop.turn(0)
    assert server.pool.take_idle(server.address) is None
    server.clock.advance(SETTLE_US)
    assert server.pool.take_idle(server.address) is server.connection


def test_a_second_answer_that_came_while_the_process_was_stopped_is_seen(server):
    server.first_answer()
    server.other.send(SECOND)
    server.clock.advance(10 * SETTLE_US)  # no turn of the loop meanwhile
    assert server.pool.take_idle(server.address) is None
    assert server.connection.stream.closed


def test_the_first_piece_of_a_second_answer_ends_the_connection(server):
    server.first_answer()
    server.other.send(SECOND[:1])
    server.loop.turn(0)
    assert server.connection.stream.closed


def test_a_second_answer_between_choice_and_sending_is_not_taken_for_the_answer(server):
    """Guards against the rest of a turn, in which the connection is chosen and the request not sent yet."""
    server.first_answer()
    server.clock.advance(SETTLE_US)
    handler = Recorder(server.clock)
    server.ask(handler)
    server.other.send(SECOND)
    assert server.loop.run_until(lambda: handler.ended or handler.stage)
    assert handler.body == b"first" and len(server.accepted) == 1  # by a new connection
    assert server.other.recv(4096) == b""  # nothing of the request was sent on the kept one


@pytest.mark.parametrize("arrives", (SECOND, b""))
def test_what_is_read_before_the_request_is_sent_leads_to_a_new_connection(server, arrives):
    """Guards against a server that is blamed, or a request given up, where a kept connection ended before anything was sent."""
    server.first_answer()
    server.clock.advance(SETTLE_US)
    handler = Recorder(server.clock)
    server.ask(handler)
    server.connection.on_data(arrives) if arrives else server.connection.on_eof()
    assert handler.stage is None
    assert server.loop.run_until(lambda: handler.ended or handler.stage)
    assert handler.body == b"first" and len(server.accepted) == 1


def test_a_queued_request_gets_a_new_connection_where_connections_rest():
    """Guards against a request that is started right behind another one's answer, without any rest."""
    loop = Loop(ManualClock())
    pool = Pool(loop, max_per_address=1, settle_us=SETTLE_US)
    accepted = []
    listener = Listener(loop, listen_socket("127.0.0.1", 0), lambda stream, peer: accepted.append(AnsweringServer(stream)))
    handlers = [Recorder(loop.clock) for _ in range(2)]
    for handler in handlers:
        pool.request(listener.address, b"GET", b"/", [], b"", handler)
    assert loop.run_until(lambda: all(handler.ended for handler in handlers))
    assert len(accepted) == 2
    pool.close()
    listener.close()
    for server in accepted:
        server.stream.abort()
    loop.close()


class AnsweringServer:
    """Answers whatever it reads."""

    def __init__(self, stream):
        self.stream = stream
        stream.owner = self

    def on_data(self, data):
        self.stream.write(ANSWER)

    def on_eof(self):
        self.stream.close()

    def on_closed(self, why):
        pass
