"""Tests of the run-time checks: each check stops and counts violations of its rule."""

from trace import MS

import pytest
from platform_harness import PlatformHarness, RecordingLog

from lapiswing.gateway.guards import Check, Guards, History
from lapiswing.interface import RequestClass, Server


class Call:
    rid, over, answering_no, expires_us = "a1", False, None, 10_000 * MS


def make_guards(effect="replayable", scope="all", second_copies=True):
    request_class = RequestClass("chat", effect, scope, 1500 * MS, 1000 * MS, 0, 0, 1.0, 0.3)
    return Guards([request_class], 1000 * MS, second_copies, RecordingLog())


def row(mode, name="s-1"):
    return Server(name, 0, 0, 0, 1.0, 0, mode)


def may_send(guards, call=Call, history=None, location=(0, 0), effect=True, now_ms=100, server="s-1"):
    return guards.may_send(call, history or History(), 0, server, location, effect, now_ms * MS)


def test_ordinary_attempts_pass():
    guards = make_guards("keyed", "cell", second_copies=False)
    guards.update_list([row("ready")], 0)
    assert may_send(guards) and not guards.total


@pytest.mark.parametrize("mode", ["draining", "gone"])
def test_server_that_drains_or_is_gone_is_sent_nothing_after_the_grace_period(mode):
    guards = make_guards()
    guards.update_list([row("draining")], 100 * MS) if mode == "draining" else guards.mark_gone(["s-1"], 100 * MS)
    assert may_send(guards, now_ms=1100) and not may_send(guards, now_ms=1101) and guards.counts[Check.SENDING] == 1
    guards.update_list([row("ready")], 1200 * MS)
    assert may_send(guards, now_ms=1300)


@pytest.mark.parametrize("change", [{"over": True}, {"answering_no": 0}, {"expires_us": 50 * MS}])
def test_nothing_starts_for_a_call_that_needs_no_attempt(change):
    guards = make_guards()
    assert not may_send(guards, type("Ended", (Call,), change)) and guards.counts[Check.STARTING] == 1


@pytest.mark.parametrize(
    "effect, scope, location, now_ms, allowed",
    [
        ("replayable", "all", (1, 1), 9000, True),
        ("non-replayable", "all", (0, 0), 200, False),
        ("keyed", "all", (1, 1), 1600, True),
        ("keyed", "all", (0, 0), 1603, False),
        ("keyed", "zone", (1, 1), 200, False),
        ("keyed", "zone", (0, 9), 200, True),
        ("keyed", "cell", (0, 9), 200, False),
        ("keyed", "cell", (0, 0), 200, True),
    ],
)
def test_effects_are_repeated_only_where_allowed(effect, scope, location, now_ms, allowed):
    guards, history = make_guards(effect, scope), History()
    guards.attempt_sent(history, 0, (0, 0), True, 100 * MS)
    guards.attempt_ended(history, 0, "reset")
    assert may_send(guards, history=history, location=location, now_ms=now_ms) == allowed
    assert guards.counts[Check.REPEATING] == (not allowed)


def test_attempt_that_never_ran_may_be_repeated():
    guards, history = make_guards("non-replayable"), History()
    guards.attempt_sent(history, 0, (0, 0), True, 100 * MS)
    guards.attempt_ended(history, 0, "full")
    assert may_send(guards, history=history)


def test_no_second_copy_if_these_are_off():
    guards, history = make_guards(second_copies=False), History()
    guards.attempt_sent(history, 0, (0, 0), False, 100 * MS)
    assert not may_send(guards, history=history, effect=False)
    guards.attempt_ended(history, 0, "cancelled")
    assert may_send(guards, history=history, effect=False)


def test_host_checks_before_sending_and_counts_and_logs_violations(tmp_path):
    """A router that still sends to a server that has left: the attempt is stopped, and the call is answered nevertheless."""
    with PlatformHarness(tmp_path, ("both", "both")) as harness:
        harness.until(lambda: harness.platform.discovery.waiting)
        old, other = harness.platform.servers.values()
        old.status = other.status = "DRAINING"
        harness.platform.discovery.tell(old.row(), other.row())
        harness.until(lambda: all(server.mode == "draining" for server in harness.core.router.servers.values()))
        harness.core.guards.unavailable_since_us = {
            name: since_us - 2000 * MS for name, since_us in harness.core.guards.unavailable_since_us.items()
        }
        for server in harness.core.router.servers.values():
            server.mode = "ready"  # the fault: the router has lost the mode that the list stated
        harness.core.router.set_ready_servers(list(harness.core.router.servers.values()))
        harness.core.router.table.arrange(harness.core.router.readers, harness.core.router.writers)
        harness.core.router.refresh()
        assert harness.ask("a1").wait_answer().status == 503
        assert harness.core.guards.counts[Check.SENDING] and not harness.platform.seen(b"POST")
        assert "guard" in [event for event, _ in harness.log.lines]


def test_call_that_is_open_at_the_end_of_the_process_is_counted(tmp_path):
    with PlatformHarness(tmp_path, ("both",)) as harness:
        (server,) = harness.platform.servers.values()
        server.fault = lambda exchange: exchange.method == b"POST"
        client = harness.ask("a1")
        harness.until(lambda: harness.core.reqs)
        harness.core.guards.check_closed(harness.core.reqs.values())
        assert harness.core.guards.counts[Check.CLOSING] == 1
        client.close()
        harness.wait_settled()
