"""The run-time checks: each stops and counts what it is for, against a Router that breaks its rule on purpose."""

from trace import MS

import pytest
from platform_harness import PlatformHarness, RecordingLog

from lapiswing.gateway.guards import Check, Guards, History
from lapiswing.interface import RequestClass, Server


class Call:
    rid, over, answering_no, expires_us = "a1", False, None, 10_000 * MS


def guards(effect="replayable", scope="all", second_copies=True):
    group = RequestClass("chat", effect, scope, 1500 * MS, 1000 * MS, 0, 0, 1.0, 0.3)
    return Guards([group], 1000 * MS, second_copies, RecordingLog())


def row(mode, name="s-1"):
    return Server(name, 0, 0, 0, 1.0, 0, mode)


def may(g, call=Call, history=None, place=(0, 0), effect=True, now_ms=100, server="s-1"):
    return g.may_send(call, history or History(), 0, server, place, effect, now_ms * MS)


def test_usual_attempts_pass():
    g = guards("keyed", "cell", second_copies=False)
    g.listed([row("ready")], 0)
    assert may(g) and not g.total


@pytest.mark.parametrize("how", ["draining", "gone"])
def test_a_server_that_drains_or_is_gone_is_sent_nothing_past_the_grace(how):
    g = guards()
    g.listed([row("draining")], 100 * MS) if how == "draining" else g.gone(["s-1"], 100 * MS)
    assert may(g, now_ms=1100) and not may(g, now_ms=1101) and g.counts[Check.SENDING] == 1
    g.listed([row("ready")], 1200 * MS)
    assert may(g, now_ms=1300)


@pytest.mark.parametrize("change", [{"over": True}, {"answering_no": 0}, {"expires_us": 50 * MS}])
def test_nothing_starts_for_a_call_that_wants_nothing_any_more(change):
    g = guards()
    assert not may(g, type("Ended", (Call,), change)) and g.counts[Check.STARTING] == 1


@pytest.mark.parametrize(
    "effect, scope, place, now_ms, good",
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
def test_effects_are_not_repeated_where_they_may_not_be(effect, scope, place, now_ms, good):
    g, history = guards(effect, scope), History()
    g.sent(history, 0, (0, 0), True, 100 * MS)
    g.ended(history, 0, "reset")
    assert may(g, history=history, place=place, now_ms=now_ms) == good
    assert g.counts[Check.REPEATING] == (not good)


def test_what_is_proved_never_to_have_run_may_be_sent_again():
    g, history = guards("non-replayable"), History()
    g.sent(history, 0, (0, 0), True, 100 * MS)
    g.ended(history, 0, "full")
    assert may(g, history=history)


def test_no_second_copy_where_these_are_off():
    g, history = guards(second_copies=False), History()
    g.sent(history, 0, (0, 0), False, 100 * MS)
    assert not may(g, history=history, effect=False)
    g.ended(history, 0, "cancelled")
    assert may(g, history=history, effect=False)


def test_the_host_asks_before_it_sends_and_the_stop_is_counted_and_logged(tmp_path):
    """A Router that goes on sending to what has left: the attempt is stopped, the call is answered all the same."""
    with PlatformHarness(tmp_path, ("both", "both")) as harness:
        harness.until(lambda: harness.platform.discovery.waiting)
        old, other = harness.platform.servers.values()
        old.status = other.status = "DRAINING"
        harness.platform.discovery.tell(old.row(), other.row())
        harness.until(lambda: all(m.mode == "draining" for m in harness.core.router.servers.values()))
        harness.core.guards.off_us = {name: at - 2000 * MS for name, at in harness.core.guards.off_us.items()}
        for machine in harness.core.router.servers.values():
            machine.mode = "ready"  # the fault: it has forgotten what it was told
        harness.core.router.set_ready_servers(list(harness.core.router.servers.values()))
        harness.core.router.table.arrange(harness.core.router.readers, harness.core.router.writers)
        harness.core.router.refresh()
        assert harness.ask("a1").wait_answer().status == 503
        assert harness.core.guards.counts[Check.SENDING] and not harness.platform.seen(b"POST")
        assert "guard" in [event for event, _ in harness.log.lines]


def test_a_process_that_ends_with_a_call_open_says_so(tmp_path):
    with PlatformHarness(tmp_path, ("both",)) as harness:
        (server,) = harness.platform.servers.values()
        server.fault = lambda exchange: exchange.method == b"POST"
        client = harness.ask("a1")
        harness.until(lambda: harness.core.reqs)
        harness.core.guards.check_closed(harness.core.reqs.values())
        assert harness.core.guards.counts[Check.CLOSING] == 1
        client.close()
        harness.wait_settled()
