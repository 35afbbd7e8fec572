"""Clients that write their requests slowly are served; those that stop are ended in time."""

import json

import pytest
from platform_harness import PlatformHarness, head

MS, S = 1000, 1_000_000
BODY = json.dumps({"messages": [{"role": "user", "content": "x" * 4000}]}).encode()
OWED_US = 3 * S  # by when the platform's clients are owed an error or a close


def write_slowly(harness, client, data, took_us, pieces=20):
    """Writes `data` in equal parts over some time; stops once the connection has ended."""
    size = -(-len(data) // pieces)
    for number in range(pieces):
        if client.status is not None:
            return
        client.send(data[number * size : (number + 1) * size])
        harness.loop.run_until(lambda: client.status is not None, took_us // pieces)


@pytest.mark.parametrize("used", [False, True], ids=["new connection", "used connection"])
@pytest.mark.parametrize("chunked", [False, True], ids=["length", "chunks"])
def test_a_request_that_is_written_slowly_is_served(tmp_path, used, chunked):
    with PlatformHarness(tmp_path, ("both",)) as harness:
        client = harness.client()
        if used:
            client.send(head("a0", BODY) + BODY)
            client.wait_answer().got = b""
        framing = {"Content_Length": None, "Transfer_Encoding": "chunked"} if chunked else {}
        body = b"".join(b"%x\r\n%b\r\n" % (100, BODY[i : i + 100].ljust(100)) for i in range(0, len(BODY), 100)) + b"0\r\n\r\n"
        client.send(head("a1", BODY, Req_Deadline="9.000", **framing))
        write_slowly(harness, client, body if chunked else BODY, 3500 * MS)
        assert client.wait_answer().status == 200


@pytest.mark.parametrize("wrote_us", [0, 1500 * MS, 4 * S])
def test_a_client_that_stops_in_the_middle_of_a_request_is_ended_within_3_s(tmp_path, wrote_us):
    with PlatformHarness(tmp_path, ("both",)) as harness:
        client = harness.client(head("a1", BODY))
        write_slowly(harness, client, BODY[: len(BODY) // 2], wrote_us)
        assert client.status is None
        harness.until(client.ended, OWED_US)
        assert client.status == 408


def test_a_head_that_is_written_slowly_without_end_is_ended_within_3_s(tmp_path):
    with PlatformHarness(tmp_path, ("both",)) as harness:
        client = harness.client(b"GET / HTTP/1.1\r\n")
        began_us = harness.loop.clock.now_us()
        write_slowly(harness, client, b"a: b\r\n" * 100, 6 * S, 60)
        assert client.ended() and harness.loop.clock.now_us() - began_us < OWED_US


def test_a_body_is_not_waited_for_without_end(tmp_path):
    with PlatformHarness(tmp_path, ("both",)) as harness:
        client = harness.client(head("a1", BODY))
        write_slowly(harness, client, BODY[:60], 20 * S, 60)
        assert client.status == 408
