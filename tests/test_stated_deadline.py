"""The deadline that an attempt states to its model server is at most the time left to the client as the head is written."""

import pytest
from platform_harness import PlatformHarness
from test_leaving import LateConnect

from lapiswing.http1 import client as http1_client

MS = 1000
SLACK_US = 20 * MS  # for the processing in this test's own loop


@pytest.mark.parametrize("late", [False, True], ids=["at once", "150 ms late"])
def test_attempt_states_the_time_left_as_its_head_is_written(tmp_path, monkeypatch, late):
    with PlatformHarness(tmp_path) as harness:
        if late:
            monkeypatch.setattr(http1_client, "connect", LateConnect)
        deadlines = harness.record_deadlines()
        asked_us = harness.loop.clock.now_us()
        client = harness.ask("r1", Req_Deadline="2.000")
        assert not client.wait_answer().truncated
        assert len(deadlines) == 2  # the prefill and the decode, each on a new connection
        for seconds, at_us in deadlines:
            left_us = asked_us + 2_000 * MS - at_us
            assert left_us - 100 * MS < seconds * 1e6 <= left_us + SLACK_US, (seconds, left_us)


def test_nothing_is_sent_if_the_deadline_passes_while_the_process_is_suspended(tmp_path):
    """Guards against a late attempt: a process that was suspended for 0.12 s after the router read the clock still sent it.
    Found by the soak with seed 15."""
    with PlatformHarness(tmp_path, ("both",)) as harness:
        choose = harness.core.router.choose_reader

        def choose_late(request, at):
            chosen = choose(request, at)
            while harness.loop.clock.now_us() < request.expires:
                pass
            return chosen

        harness.core.router.choose_reader = choose_late
        assert harness.ask("a1", Req_Deadline="0.100").wait_answer().status == 503
        assert not harness.platform.seen(b"POST") and not harness.core.guards.total
        harness.wait_settled()
