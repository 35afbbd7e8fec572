"""Valid and invalid HTTP/1.1 requests (RFC 9112) on the gateway's port, and limits on connections and descriptors."""

import os
import resource

import pytest
from gateway_site import GatewaySite, RawClient, chat, post, status

GET = b"GET /v1/models HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer demo\r\n"
POST = b"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer demo\r\n"

BAD = {
    "both lengths": (POST + b"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400),
    "two lengths": (POST + b"Content-Length: 5\r\nContent-Length: 5\r\n\r\nhello", 400),
    "a list of lengths": (POST + b"Content-Length: 5, 5\r\n\r\nhello", 400),
    "a signed length": (POST + b"Content-Length: +5\r\n\r\nhello", 400),
    "bare LF": (GET[:-2] + b"\n\n", 400),
    "LF among CR LF": (b"GET /v1/models HTTP/1.1\r\nHost: x\nX: y\r\n\r\n", 400),
    "folded line": (GET + b"X-A: b\r\n c\r\n\r\n", 400),
    "space before colon": (POST + b"Content-Length : 5\r\n\r\nhello", 400),
    "NUL in a value": (GET + b"X-A: b\x00c\r\n\r\n", 400),
    "no Host": (b"GET /v1/models HTTP/1.1\r\n\r\n", 400),
    "two Hosts": (GET + b"Host: y\r\n\r\n", 400),
    "two codings": (POST + b"Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n", 501),
    "coding twice": (POST + b"Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n\r\n0\r\n\r\n", 501),
    "chunked in 1.0": (POST.replace(b"1.1", b"1.0") + b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400),
    "bad chunk size": (POST + b"Transfer-Encoding: chunked\r\n\r\nzz\r\nhello\r\n0\r\n\r\n", 400),
    "chunk longer than its size": (POST + b"Transfer-Encoding: chunked\r\n\r\n3\r\nhello\r\n0\r\n\r\n", 400),
    "HTTP/2 preface": (b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", 400),
    "not HTTP": (b"\x16\x03\x01\x02\x00\x01\r\n\r\n", 400),
    "long head": (GET + b"X: " + b"a" * 40000 + b"\r\n\r\n", 431),
    "long body": (POST + b"Content-Length: 99999999\r\n\r\n", 413),
    "unknown expectation": (POST + b"Expect: tea\r\nContent-Length: 2\r\n\r\n{}", 417),
    "not JSON": (post(b"{"), 400),
    "not an object": (post(b"[]"), 400),
    "no messages": (post({"model": "question"}), 400),
    "a wrong type": (post(chat(max_tokens="many")), 400),
    "a picture": (post({"model": "question", "messages": [{"role": "user", "content": [{"type": "image_url"}]}]}), 400),
    "two choices": (post(chat(n=2)), 400),
    "unknown model": (post(chat("nope")), 404),
    "unknown path": (b"GET /nope HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", 404),
    "wrong method": (b"GET /v1/chat/completions HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", 405),
    "unknown key": (post(chat()).replace(b"Bearer demo", b"Bearer nope"), 401),
    "bad deadline": (post(chat(), X_Request_Timeout_Ms="soon"), 400),
    "empty idempotency key": (post(chat(), Idempotency_Key=""), 400),
    "unknown group": (post(chat(), X_Endpoint_Group="nope"), 400),
}


@pytest.fixture(scope="module")
def place():
    with GatewaySite() as place:
        yield place


@pytest.mark.parametrize("name", BAD)
def test_invalid_requests_are_refused(place, name):
    data, want = BAD[name]
    before = len(place.rows("arrive"))
    got = RawClient(place, data).until()
    assert status(got) == want and got.count(b"HTTP/1.1 ") == 1 and b'"error"' in got
    assert len(place.rows("arrive")) == before


def test_a_successful_answer_has_no_retry_header(place):
    assert b"x-should-retry" not in RawClient(place, post(chat())).until()


def test_pipelined_requests_are_answered_in_order(place):
    one = GET + b"\r\n"
    chunked = POST + b"Transfer-Encoding: chunked\r\n\r\n"
    body = post(chat(stream=False, tokens=3)).split(b"\r\n\r\n", 1)[1]
    chunked += b"%x\r\n%b\r\n1;ext=1\r\n%b\r\n0\r\nTrailer: x\r\n\r\n" % (len(body) - 1, body[:-1], body[-1:])
    got = RawClient(place, one + chunked + one + post(chat(tokens=2))).until()
    assert got.count(b"HTTP/1.1 200") == 4
    assert got.index(b'"list"') < got.index(b'"chat.completion"') < got.rindex(b'"list"') < got.index(b"[DONE]")


def test_a_request_that_arrives_byte_by_byte_is_answered(place):
    raw = RawClient(place)
    for byte in post(chat(tokens=2)):
        raw.sock.send(bytes([byte]))
        place.loop.turn(0)
    assert raw.until().endswith(b"data: [DONE]\n\n\r\n0\r\n\r\n")


def test_an_answer_to_head_has_no_body(place):
    got = RawClient(place, GET.replace(b"GET", b"HEAD") + b"Connection: close\r\n\r\n").until()
    assert status(got) == 200 and got.endswith(b"\r\n\r\n") and b"content-length: 0" not in got


def test_expect_100_continue(place):
    head, body = post(chat(tokens=2)).split(b"\r\n\r\n", 1)
    raw = RawClient(place, head + b"\r\nExpect: 100-continue\r\n\r\n")
    raw.until(lambda got: got == b"HTTP/1.1 100 Continue\r\n\r\n")
    raw.sock.sendall(body)
    assert b"[DONE]" in raw.until()


def test_an_answer_to_http_1_0_ends_with_the_connection(place):
    got = RawClient(place, post(chat(tokens=2)).replace(b"HTTP/1.1", b"HTTP/1.0")).until()
    assert b"transfer-encoding" not in got and got.endswith(b"data: [DONE]\n\n")


def test_a_slow_head_times_out():
    with GatewaySite(listen="head_ms: 200") as place:
        assert status(RawClient(place, b"GET / HTTP/1.1\r\nHos").until()) == 408


def test_running_out_of_descriptors_stops_neither_the_loop_nor_the_service():
    with GatewaySite() as place:
        soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
        try:
            raws = [RawClient(place) for _ in range(3)]
            place.turn_for(30)
            # From here on nothing can be opened: waiting connections are accepted with the spare descriptor and closed.
            late = [connecting_socket(place) for _ in range(3)]
            lowest = os.dup(0)
            os.close(lowest)
            resource.setrlimit(resource.RLIMIT_NOFILE, (lowest, hard))
            place.until(lambda: place.gateway.listener.refused >= 1)
        finally:
            resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))
        for sock in late:
            sock.close()
        raws[0].sock.sendall(post(chat(tokens=2)))
        assert b"[DONE]" in raws[0].until()


def connecting_socket(place):
    import socket

    sock = socket.socket()
    sock.setblocking(False)
    sock.connect_ex(("127.0.0.1", place.port))
    return sock


def test_connections_beyond_the_limit_are_closed_and_the_others_served():
    with GatewaySite(listen="connections: 3") as place:
        raws = [RawClient(place) for _ in range(3)]
        place.until(lambda: len(place.gateway.server.connections) == 3)
        extra = RawClient(place)
        extra.until()
        raws[0].sock.sendall(post(chat(tokens=2)))
        assert b"[DONE]" in raws[0].until()
        assert status(RawClient(place, post(chat(tokens=2))).until()) == 200  # the slot of the first connection is free again
