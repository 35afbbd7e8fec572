"""Requests beyond what may be kept behind an open one are refused one by one, and none gets no answer."""

import json

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from platform_harness import BODY, PlatformHarness, head

from lapiswing.http1.input_account import Arrivals
from lapiswing.http1.limits import Limits
from lapiswing.http1.refused_requests import MAX_REFUSED_REQUESTS, RefusedRequests
from lapiswing.http1.wire import MAX_EMPTY_LINES

MS = 1000
LIMITS = Limits(head_bytes=16384, body_bytes=262144)
LENGTH = b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%b"
CHUNKED = b"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%b\r\n0\r\n\r\n"
BODILESS = b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n"


def request(size, chunked):
    """A request with a body of `size` bytes."""
    return BODILESS if not size else (CHUNKED if chunked else LENGTH) % (size, b"\r\n" * (size // 2) + b"x" * (size % 2))


REQUESTS = st.lists(st.builds(request, st.sampled_from([0, 1, 2, 3, 50, 4000]), st.booleans()), max_size=12)


@settings(max_examples=200, deadline=None, derandomize=True)
@given(REQUESTS, REQUESTS, st.lists(st.integers(1, 3000), max_size=20), st.integers(0, 12_000))
def test_each_request_is_kept_or_counted_however_it_is_split(front, further, cuts, max_bytes):
    refused, data = RefusedRequests(LIMITS), b"".join(front)
    kept_bytes = refused.take_front(data, max_bytes)
    kept, size = 0, 0
    while kept < len(front) and size + len(front[kept]) <= max_bytes:
        kept, size = kept + 1, size + len(front[kept])
    assert kept_bytes == size and refused.count == len(front) - kept
    rest = b"".join(further)
    for cut in cuts:
        refused.take(rest[:cut])
        rest = rest[cut:]
    refused.take(rest)
    assert refused.count == len(front) - kept + len(further) and refused.problem is None and not refused.is_partial


def test_what_has_come_of_a_body_is_not_kept():
    refused = RefusedRequests(LIMITS)
    refused.take((LENGTH % (200_000, b""))[:-1])
    refused.take(b"\n" + b"x" * 199_999)
    assert refused.is_partial and not refused.count and len(refused.rest) == 0
    refused.take(b"x" + BODILESS[:10])
    assert refused.count == 1 and refused.is_partial and len(refused.rest) == 10


def test_what_has_come_of_a_chunked_body_is_not_kept():
    refused = RefusedRequests(LIMITS)
    refused.take(b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n")
    for _ in range(3):
        refused.take(b"%x\r\n" % 60_000 + b"x" * 60_000 + b"\r\n")
    assert refused.is_partial and not refused.rest and not refused.decoder.body
    refused.take(b"0\r\n\r\n")
    assert refused.count == 1 and not refused.is_partial


def test_a_few_empty_lines_before_each_request_are_taken():
    refused = RefusedRequests(LIMITS)
    for _ in range(3):
        refused.take(b"\r\n" * MAX_EMPTY_LINES + BODILESS)
    assert refused.count == 3 and refused.problem is None


@pytest.mark.parametrize(
    "data, status",
    [
        (b"POST / HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 3\r\n\r\nabc", 400),
        (b"POST / HTTP/1.1\r\nContent-Length: x\r\n\r\n", 400),
        (b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", 400),
        (b"POST / HTTP/1.1\r\nContent-Length: 300000\r\n\r\n", 413),
        (b"GET / HTTP/1.1\r\nA: " + b"x" * 20_000, 431),
        (b"\r\n" * (MAX_EMPTY_LINES + 1), 400),
        (BODILESS * (MAX_REFUSED_REQUESTS + 1), 503),
        (b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n" + b"1\r\nx\r\n" * 5000, 503),
    ],
)
def test_malformed_or_endless_input_ends_the_count(data, status):
    refused = RefusedRequests(LIMITS)
    refused.take(BODILESS + data)
    before = refused.count
    assert refused.problem.status == status and 1 <= before <= MAX_REFUSED_REQUESTS + 1
    refused.take(BODILESS * 100)
    assert refused.count == before and not refused.rest


def test_the_time_of_arrival_of_what_is_kept_stays_true():
    arrivals = Arrivals()
    arrivals.add(1000, 0)
    arrivals.add(5000, 50 * MS)
    arrivals.drop_last(4900)  # 100 bytes of the second part stay
    assert arrivals.earliest(1100) == 0 and arrivals.earliest(100) == 50 * MS


def test_a_request_that_is_not_complete_when_its_turn_comes_is_refused_when_it_is(tmp_path):
    body = json.dumps({"messages": [], "pad": "x" * 200_000}).encode()
    with PlatformHarness(tmp_path, ("both",)) as harness:
        harness.platform.servers["s-1"].pause_us = 100 * MS
        client = harness.ask("a1")
        harness.until(lambda: client.status)
        whole = b"".join(head(f"b{i}", body, Req_Deadline="30.000") + body for i in range(3))
        client.send_in_turns(whole[:-10])
        harness.until(lambda: len(client.statuses()) == 3, 10_000 * MS)  # one is served, one refused, one not complete
        assert client.statuses() == [200, 200, 503] and b"retry-after: 1.000" in client.got
        harness.loop.run_until(lambda: False, 100 * MS)
        assert len(client.statuses()) == 3 and not client.closed
        client.send(whole[-10:])
        harness.until(lambda: len(client.statuses()) == 4)
        client.send(head("c1") + BODY)
        harness.until(lambda: len(client.statuses()) == 5)
        assert client.statuses() == [200, 200, 503, 503, 200]  # the last one came when nothing was left to be refused
        harness.wait_settled()


def test_refused_requests_are_answered_before_the_program_ends(tmp_path):
    """SIGTERM while they wait for their turn."""
    body = json.dumps({"messages": [], "pad": "x" * 100_000}).encode()
    with PlatformHarness(tmp_path, ("both",)) as harness:
        harness.platform.servers["s-1"].pause_us = 100 * MS
        client = harness.ask("a1")
        harness.until(lambda: client.status)
        client.send_in_turns(b"".join(head(f"b{i}", body, Req_Deadline="30.000") + body for i in range(6)))
        harness.until(lambda: any(conn.refused_requests is not None for conn in harness.node.server.connections))
        harness.node.stop()
        harness.until(lambda: client.receive() and client.closed, 10_000 * MS)
        assert len(client.statuses()) == 7 and client.statuses()[0] == 200 and client.statuses()[-1] == 503
