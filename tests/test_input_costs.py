"""What a peer sends costs a bounded number of steps for its size, and unreadable numbers are its own fault."""

import socket
import tracemalloc

import pytest
from gateway_site import GatewaySite, RawClient, chat, post, status
from platform_harness import PlatformHarness, head
from test_websocket import frame, opened

from lapiswing.chat import EventParser
from lapiswing.gateway.fronts import websocket
from lapiswing.http1.client import MAX_INTERIM_ANSWERS, ClientConnection, ClientExchange
from lapiswing.loop import Stream
from lapiswing.node.discovery import MAX_LIST_COMMAS, MAX_ROWS, decode_list


@pytest.mark.parametrize("extra", ("prompt_len=" + "9" * 5000, "prompt_len=\u00b2", "," * 5000))
def test_unreadable_numbers_are_the_clients_fault(tmp_path, extra):
    """Guards against an internal error (500) where `int` refuses what `isdigit` allows."""
    with PlatformHarness(tmp_path) as harness:
        request = head("a1", b"{}", Req_Extra=extra).decode().encode("latin-1") + b"{}"
        assert harness.client(request).wait_answer().status == 400
        assert not harness.loop.errors


def test_a_deadline_of_thousands_of_digits_is_the_clients_fault():
    with GatewaySite() as site:
        assert status(RawClient(site, post(chat(), X_Request_Timeout_Ms="9" * 5000)).until()) == 400
        assert not site.loop.errors


class InterimHandler:
    """Keeps how an exchange with a server ended."""

    failed = status = None

    def on_head(self, status, fields):
        self.status = status

    def on_body(self, data):
        pass

    def on_end(self):
        pass

    def on_fail(self, stage, why):
        self.failed = why


@pytest.mark.parametrize("count, ended", ((MAX_INTERIM_ANSWERS, False), (MAX_INTERIM_ANSWERS + 1, True)))
def test_interim_answers_of_a_server_are_limited(tmp_path, count, ended):
    """Guards against a server whose endless 1xx answers are copied and parsed again and again."""
    with PlatformHarness(tmp_path) as harness:
        handler, pool = InterimHandler(), harness.node.pool
        sock, other = socket.socketpair()
        connection = ClientConnection(pool, ("127.0.0.1", 1), Stream(harness.loop, sock))
        pool.open_count[connection.address] = 1
        pool.all.add(connection)
        connection.start(ClientExchange(pool, connection.address, lambda: b"GET / HTTP/1.1\r\n\r\n", b"", handler))
        connection.stream.flush()  # an answer that comes before its request is refused for that alone
        connection.on_data(b"HTTP/1.1 103 x\r\n\r\n" * count + b"HTTP/1.1 204 x\r\n\r\n")
        assert (handler.failed is not None) == ended
        assert (handler.status is None) == ended
        other.close()


def test_tiny_frames_of_a_session_take_turns_with_other_connections():
    """Guards against a read of thousands of frames, each of which costs far more than its few bytes."""
    with GatewaySite() as site:
        raw, turns = opened(site), []
        raw.sock.setblocking(True)
        raw.sock.sendall(frame(9, b"") * 2000)
        raw.sock.setblocking(False)
        site.until(lambda: raw.read().count(b"\x8a\x00") >= 1 and (turns.append(1) or raw.got.count(b"\x8a\x00") == 2000))
        assert len(turns) >= 2000 // websocket.MAX_EVENTS_PER_CALL


def test_an_event_in_small_pieces_is_not_searched_again_and_again():
    """Guards against an event of a megabyte whose every piece costs a copy of all that has come."""
    parser, size = EventParser(1 << 20), 1 << 19
    tracemalloc.start()
    for _ in range(size // 64):
        before = tracemalloc.get_traced_memory()[0]
        tracemalloc.reset_peak()
        assert parser.feed(b"x" * 64) == []
        if len(parser.rest) % 4096 == 0 and len(parser.rest) > 65536:
            assert tracemalloc.get_traced_memory()[1] - before < len(parser.rest) // 2
    tracemalloc.stop()
    assert parser.feed(b"\n\n") == []


@pytest.mark.parametrize("piece", (1, 2, 3, 100))
def test_events_in_pieces_with_either_line_end(piece):
    data = b'data: {"a":1}\r\n\r\ndata: 2\r\ndata: 3\r\n\r\n: comment\n\ndata: 4\n\n\ndata: 5\n\n'
    parser, found = EventParser(1 << 20), []
    for start in range(0, len(data), piece):
        found += parser.feed(data[start : start + piece])
    assert found == [b'{"a":1}', b"2 3", b"4", b"5"]


@pytest.mark.parametrize("rows", (b"1" + b",1" * (MAX_LIST_COMMAS + 1), b"{}" + b",{}" * MAX_ROWS))
def test_a_list_far_longer_than_any_fleets_is_refused(rows):
    answer = b'{"index":1,"snapshot":true,"endpoints":[%b]}' % rows
    tracemalloc.start()
    with pytest.raises(ValueError):
        decode_list(answer)
    peak = tracemalloc.get_traced_memory()[1]
    tracemalloc.stop()
    assert peak < 4 << 20
