"""A gateway that was told to end has answered, or closed, every connection before the platform may kill it."""

import copy

import pytest
from platform_harness import BODY, SETTINGS, PlatformHarness, head
from test_closing import read_to_end

from lapiswing.admission.shutdown import LAST_ANSWERS_US, earliest_kill_us

MS = 1000


def settings_with(deadline_ms):
    settings = copy.deepcopy(SETTINGS)
    settings["Classes"][0]["DeadlineMs"] = deadline_ms
    return settings


@pytest.mark.parametrize("deadline_ms", [200.0, 800.0, 2000.0, 4000.0])
def test_no_connection_is_left_without_an_answer_at_the_earliest_kill(tmp_path, deadline_ms):
    kill_us = earliest_kill_us([100 * MS, deadline_ms * MS])
    assert kill_us == min(deadline_ms, 3000) * MS + 700 * MS
    with PlatformHarness(tmp_path, ("both",), settings=settings_with(deadline_ms)) as harness:
        harness.platform.servers["s-1"].pause_us = 2000 * MS  # keeps the process from ending
        idle = harness.ask("a0", Req_Deadline="0.2")
        harness.until(lambda: idle.status)
        idle_connections = [harness.client(b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n").wait_answer() for _ in range(3)]
        half = harness.client(head("a1") + BODY[:-1])
        harness.until(lambda: harness.node.server.account.unfinished_bytes)
        stopped_us = harness.loop.clock.now_us()
        harness.node.stop()
        harness.loop.run_until(lambda: False, min(kill_us - 150 * MS, 2600 * MS) - (harness.loop.clock.now_us() - stopped_us))
        for client in idle_connections:
            client.receive()
            assert client.closed
        assert half.status in (408, 503)


def test_half_a_request_whose_client_still_sends_is_answered_before_the_exit(tmp_path):
    """Where its time and the port's end together, the program ended first."""
    with PlatformHarness(tmp_path, ("both",), settings=settings_with(200.0)) as harness:
        half = harness.client(head("a1", Content_Length="200000") + b"x" * 1000)
        harness.until(lambda: harness.node.server.account.unfinished_bytes)
        stopped = []
        harness.loop.stop = lambda: stopped.append(harness.node.server.close())

        def send_more():
            if not stopped and not half.closed:
                half.sock.send(b"x" * 100)
                harness.loop.call_later(20 * MS, send_more)

        send_more()
        harness.node.stop()
        got, clean = read_to_end(half.sock, lambda: harness.loop.turn(1000))
        half.closed = True
        assert int(got[9:12]) == 503 and clean


def test_open_connections_are_served_as_long_as_the_kill_allows(tmp_path):
    """Closed at once, their clients would all come to gateways that may just be starting."""
    with PlatformHarness(tmp_path, ("both",), settings=settings_with(1500.0)) as harness:
        harness.platform.servers["s-1"].pause_us = 2000 * MS
        busy = harness.ask("a0")
        harness.until(lambda: busy.status)
        idle = harness.client(b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n").wait_answer()
        harness.node.stop()
        harness.loop.run_until(lambda: False, earliest_kill_us([1500 * MS]) - LAST_ANSWERS_US - 100 * MS)
        idle.got = b""
        idle.send(head("a1") + BODY)
        assert idle.wait_answer().status == 503
