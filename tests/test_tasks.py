"""Background tasks: the choice of the next slice, and the limits on the time that slices take."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lapiswing.loop import Clock, Loop, ManualClock
from lapiswing.tasks import Tasks, decide
from lapiswing.tasks.decide import MS, TURN_BUDGET_US, Job, budget_us, choose_job, record_slice

S = 1_000_000


def names_of_slices(jobs, n, now=0, step=1000, took=200, moved=0):
    out = []
    for _ in range(n):
        now += step
        job = choose_job(jobs, now, TURN_BUDGET_US)
        out.append(job.name if job else "-")
        if job:
            record_slice(job, now, took, moved)
    return out


def test_lower_priority_numbers_go_first_and_equals_take_turns():
    assert names_of_slices([Job("low", 7, 0), Job("a", 2, 0), Job("b", 2, 0)], 6) == ["a", "b", "a", "b", "a", "b"]


def test_a_share_of_time_is_enforced_and_the_rest_goes_to_others():
    # 200 us a slice, 1000 us apart: a tenth of the time is one slice in two.
    jobs = [Job("thin", 1, 0, share=0.1), Job("other", 5, 0)]
    got = names_of_slices(jobs, 6000)
    assert 0.45 < got[2000:].count("thin") / 4000 < 0.55


def test_bytes_per_second_are_enforced():
    got = names_of_slices([Job("mover", 1, 0, bytes_per_s=1_000_000)], 5000, moved=10_000)
    assert 490 <= got.count("mover") <= 600  # five seconds with 100 slices each, and the initial allowance


def test_the_lowest_priority_does_not_starve():
    got = names_of_slices([Job("busy", 1, 0), Job("starved", 9, 0)], 10_000)
    gaps = [i for i, n in enumerate(got) if n == "starved"]
    assert 4 <= len(gaps) <= 6 and max(b - a for a, b in zip(gaps, gaps[1:])) <= 2001


def test_jobs_that_are_due_soon_go_first():
    jobs = [Job("first", 1, 0), Job("due", 8, 0, due_us=1500 * MS), Job("later", 8, 0, due_us=9000 * MS)]
    assert names_of_slices(jobs, 3, now=100 * MS) == ["first"] * 3
    assert names_of_slices(jobs, 3, now=600 * MS) == ["due"] * 3


def test_long_turns_reduce_the_budget_to_zero_except_for_starved_jobs():
    assert (
        budget_us(0) == budget_us(5 * MS) == TURN_BUDGET_US
        and 0 < budget_us(15 * MS) < TURN_BUDGET_US
        and budget_us(30 * MS) == 0
    )
    job = Job("x", 1, 0)
    assert choose_job([job], 100 * MS, 0) is None and choose_job([job], 2000 * MS, 0) is job


@settings(max_examples=100, deadline=None, derandomize=True)
@given(
    st.lists(st.tuples(st.integers(1, 9), st.sampled_from([0.05, 0.3, 1.0])), min_size=1, max_size=6),
    st.lists(st.integers(0, 40_000), min_size=200, max_size=200),
)
def test_no_job_waits_longer_than_the_limit_whatever_the_turns_are(kinds, turns):
    jobs, now = [Job(str(i), p, 0, share) for i, (p, share) in enumerate(kinds)], 0
    for turn in turns * 3:
        now += 10 * MS + turn
        left = budget_us(turn)
        for _ in range(len(jobs) + 1):
            job = choose_job(jobs, now, left)
            if job is None:
                break
            record_slice(job, now, 100, 0)
            left -= 100
        assert all(now - j.last_run_us <= decide.MAX_WAIT_US + 60 * MS for j in jobs)


def work(n, log, name, result=None):
    for i in range(n):
        log.append((name, i))
        yield result


def test_jobs_run_to_their_end_and_an_exception_ends_only_its_own_job():
    loop, log, ends = Loop(Clock(), on_error=lambda problem: None), [], []
    tasks = Tasks(loop)

    def broken():
        yield
        raise ValueError("its own error")

    tasks.add("a", work(20, log, "a", 5), done=lambda p: ends.append(("a", p)))
    tasks.add("broken", broken(), done=lambda p: ends.append(("broken", str(p))))
    cancelled = tasks.add("cancelled", work(10**9, log, "cancelled"), priority=9, done=lambda p: ends.append("never"))
    assert loop.run_until(lambda: len(ends) == 2, 5 * S)
    assert sorted(ends, key=str) == [("a", None), ("broken", "its own error")] and tasks.faults == 1
    cancelled.cancel()
    assert tasks.rows() == [] and {row["name"]: row["bytes"] for row in tasks.finished}["a"] == 100
    tasks.close()
    loop.close()


def test_a_waiting_job_does_not_spin_the_loop():
    loop, state = Loop(Clock()), []

    def waits():
        while not state:
            yield False

    tasks = Tasks(loop)
    tasks.add("waits", waits())
    before = loop.turns
    loop.run_until(lambda: False, 100_000)
    assert loop.turns - before < 200
    state.append(1)
    assert loop.run_until(lambda: not tasks.running, S)
    loop.close()


def test_slices_stop_at_the_budget():
    clock = ManualClock()
    loop = Loop(clock)
    tasks, turns = Tasks(loop), []

    def endless():
        while True:
            clock.advance(100)
            yield

    tasks.add("endless", endless())
    for _ in range(50):
        before = tasks.counts["slices"]
        loop.turn(0)
        turns.append(tasks.counts["slices"] - before)
    assert max(turns) == TURN_BUDGET_US // 100 and sum(turns) > 50
    tasks.close()
    loop.close()


@pytest.mark.parametrize("bytes_per_s,share", [(1000, 1.0), (None, 0.001)])
def test_with_nothing_to_run_the_loop_sleeps_until_something_may(bytes_per_s, share):
    job = Job("x", 1, 0, share, bytes_per_s)
    job.share_left_us, job.bytes_left = -10_000, -10
    assert 1000 <= decide.next_check_us([job], 0) <= 50_000
