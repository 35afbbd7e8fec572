"""A repeat of a keyed request reaches no server after the window in which servers drop it.

What was written to an open connection may arrive much later, so a repeat without an answer ends with its window: closing the
connection discards what has not arrived."""

import pytest
from platform_harness import SETTINGS, PlatformHarness
from trace import MS, Play

WINDOW_MS = 1000  # in the tests on sockets
PLAY_WINDOW_US = 5000 * MS  # of the traces' request class


@pytest.fixture(params=[True, False], ids=["cancel", "no-cancel"])
def keyed(request, monkeypatch):
    """A keyed class with a short window, with and without the setting that allows running attempts to be cancelled."""
    monkeypatch.setitem(SETTINGS, "Limits", {**SETTINGS["Limits"], "Cancel": request.param, "SecondCopies": request.param})
    changes = {"Effect": "dedup", "Group": "all", "MemorySpanMs": float(WINDOW_MS)}
    monkeypatch.setitem(SETTINGS, "Classes", [{**SETTINGS["Classes"][0], **changes}])


@pytest.mark.parametrize("roles", [("read", "write", "write"), ("both", "both")], ids=["write", "direct"])
def test_a_repeat_that_is_not_heard_of_ends_with_its_window(tmp_path, keyed, roles):
    """The first attempt runs and is reset, the repeat waits in a connection that has fallen silent: it waited for the client's
    deadline, and ran when the connection was heard again."""
    with PlatformHarness(tmp_path, roles) as harness:
        clock, ran_us, closed_us = harness.loop.clock, [], []

        def fault(exchange):
            if exchange.method != b"POST":
                return False
            if not ran_us:
                ran_us.append(clock.now_us())
                exchange.conn.stream.abort()
            else:
                exchange.on_left = lambda: closed_us.append(clock.now_us())
            return True

        for server in harness.platform.servers.values():
            if server.role != "read":
                server.fault = fault
        client = harness.ask("a1").wait_answer()
        assert client.status == 503  # servers anywhere drop repeats, so the client may ask again
        harness.until(lambda: closed_us)
        assert closed_us[-1] - ran_us[0] < WINDOW_MS * MS
        harness.wait_settled()


@pytest.mark.parametrize("stage", ["write", "direct"])
def test_each_repeat_ends_with_the_window_of_the_first_attempt(stage):
    """The time-out of each attempt, sent while an earlier one may have run; the first one waits for the client's deadline."""
    play = Play("keyed", servers=("r0", "w2", "w3", "w5") if stage == "write" else ("m0", "m1", "m2"))
    play.at(10, play.req(1, expires_ms=20_000))
    if stage == "write":
        play.at(60, play.outcome(1, 0, "r0", "read", 50))
    first_no = len(play.sent()) - 1
    first_us = play.now * MS
    assert first_us + int(play.sent()[first_no][3]) > PLAY_WINDOW_US * 3
    for number, ms in ((first_no, 300), (first_no + 1, 600)):
        play.at(ms, play.outcome(1, number, play.sent()[number][2], "reset", 50))
        assert ms * MS < play.now * MS + int(play.sent()[-1][3]) < first_us + PLAY_WINDOW_US
    assert len(play.sent()) == first_no + 3


@pytest.mark.parametrize("effect, code", [("replayable", "reset"), ("keyed", "full"), ("keyed", "unreachable")])
def test_an_attempt_that_is_no_repeat_of_an_effect_waits_for_the_deadline(effect, code):
    """Nothing has run before it, or a repeat does no harm."""
    play = Play(effect, servers=("m0", "m1", "m2"))
    play.at(10, play.req(1, expires_ms=20_000))
    play.at(1000, play.outcome(1, 0, play.sent()[0][2], code, 50))
    assert 1000 * MS + int(play.sent()[1][3]) > PLAY_WINDOW_US * 3


def test_no_repeat_is_sent_as_its_window_ends():
    """It would be given up at once; the client gets its answer instead."""
    play = Play("keyed", servers=("m0", "m1", "m2"))
    play.at(10, play.req(1, expires_ms=20_000))
    play.at(10 + 4800, play.outcome(1, 0, play.sent()[0][2], "reset", 50))
    assert len(play.sent()) == 1 and play.sent("push_back") and not play.router.reqs
