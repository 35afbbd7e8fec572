"""When a process that ended is started again, as a trace on a clock of the test's own."""

from lapiswing.appliance.decide import PAUSES_MS, Restarts


def test_deaths_at_once_make_the_pause_grow_and_calm_makes_it_short_again():
    r, now, pauses = Restarts(), 0, []
    for _ in range(9):
        r.start(now)
        assert r.ended(now + 10, -9) == "waits" and r.why == "killed by signal 9"
        pauses.append(r.due_ms - now - 10)
        assert not r.due(r.due_ms - 1) and r.due(r.due_ms)
        now = r.due_ms
    assert tuple(pauses[:7]) == PAUSES_MS and pauses[7:] == [30_000, 30_000]
    r.start(now)
    r.ended(now + 61_000, 1)
    assert r.due_ms - now - 61_000 == 200 and r.why == "ended with 1"


def test_an_end_that_was_asked_for_is_one():
    r = Restarts()
    r.start(0)
    assert r.ended(5, 0) == "asked" and not r.due(1 << 40) and not r.settings_changed(9)


def test_bad_settings_wait_for_the_file_to_change():
    r = Restarts()
    r.start(0)
    assert r.ended(5, 2) == "bad settings" and not r.due(1 << 40)
    assert r.settings_changed(100) and r.due(100)
