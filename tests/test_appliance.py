"""Restart decisions of the supervisor, on a simulated clock."""

from lapiswing.appliance.decide import RESTART_DELAYS_MS, Restarts


def test_repeated_failures_lengthen_the_delay_and_a_long_run_resets_it():
    restarts, now, delays = Restarts(), 0, []
    for _ in range(9):
        restarts.start(now)
        assert restarts.ended(now + 10, -9) == "waits" and restarts.reason == "killed by signal 9"
        delays.append(restarts.due_ms - now - 10)
        assert not restarts.due(restarts.due_ms - 1) and restarts.due(restarts.due_ms)
        now = restarts.due_ms
    assert tuple(delays[:7]) == RESTART_DELAYS_MS and delays[7:] == [30_000, 30_000]
    restarts.start(now)
    restarts.ended(now + 61_000, 1)
    assert restarts.due_ms - now - 61_000 == 200 and restarts.reason == "exited with status 1"


def test_a_requested_end_is_not_restarted():
    restarts = Restarts()
    restarts.start(0)
    assert restarts.ended(5, 0) == "asked" and not restarts.due(1 << 40) and not restarts.settings_changed(9)


def test_invalid_settings_prevent_a_restart_until_the_file_changes():
    restarts = Restarts()
    restarts.start(0)
    assert restarts.ended(5, 2) == "bad settings" and not restarts.due(1 << 40)
    assert restarts.settings_changed(100) and restarts.due(100)
