"""The soak's schedule and its oracle, and one short day of it with real processes."""

from itertools import pairwise

import pytest

from lapiswing.lab.soak.day import DayRunner
from lapiswing.lab.soak.oracle import judge
from lapiswing.lab.soak.records import Attempt, Call, Day, Process, State, Told
from lapiswing.lab.soak.troubles import Kind, draw

MS, S = 1000, 1_000_000
SENT = 100 * S


def test_the_schedule_follows_from_the_seed_and_knows_every_kind():
    assert draw(3, 16) == draw(3, 16) != draw(4, 16)
    assert {trouble.kind for seed in range(60) for trouble in draw(seed, 16)} == set(Kind)
    assert all(hasattr(DayRunner, kind.name.lower()) for kind in Kind)


def test_troubles_overlap():
    for seed in range(20):
        troubles = draw(seed, 16)
        assert any(b.at_us < a.at_us + a.lasts_us for a, b in pairwise(troubles))


def good_day(effect="retryable", second_copies=True):
    """One call, read and written, in time."""
    day = Day(1, second_copies={0: second_copies})
    day.processes.append(Process(0, 1, SENT - 5 * S, ready_us=SENT - 4 * S, descriptors=[20]))
    call = day.calls["a"] = Call(
        "a",
        0,
        effect,
        3 * S,
        SENT,
        status=200,
        head_us=SENT + 100 * MS,
        end_us=SENT + 200 * MS,
        finals=1,
        body=bytearray(b"data"),
        arrivals=[(SENT + 110 * MS, 4)],
    )
    day.attempts.append(Attempt("a", "r", "read", SENT + MS, 3 * S, end_us=SENT + 50 * MS))
    day.states.append(State("a", "r", SENT + 50 * MS, end_us=SENT + 60 * MS))
    day.attempts.append(
        Attempt(
            "a",
            "w",
            "write",
            SENT + 60 * MS,
            2900 * MS,
            ran=True,
            end_us=SENT + 190 * MS,
            sent=bytearray(b"data"),
            whole_us=SENT + 190 * MS,
            events_us=[(SENT + 100 * MS, 4)],
        )
    )
    return day, call


def again(day, at_us, **changes):
    fields = {
        "rid": "a",
        "server": "w2",
        "role": "write",
        "at_us": at_us,
        "told_left_us": 0,
        "ran": True,
        "end_us": at_us + 50 * MS,
    } | changes
    day.attempts.append(Attempt(**fields))


def lost(day, call):
    call.status, call.finals, call.failed, call.head_us = None, 0, "sent", None


def lost_at_the_door(day, call):
    lost(day, call)
    day.processes[0].term_us = SENT - 390 * MS


def late(day, call):
    call.status, call.end_us = 502, SENT + 4 * S


def two_answers(day, call):
    call.finals = 2


def cut(day, call):
    call.failed, call.finals = "body", 0


def changed(day, call):
    call.body += b"more"


def held_up(day, call):
    call.end_us = SENT + 4 * S


def twice(day, call):
    call.effect = "fragile"
    again(day, SENT + 300 * MS)


def refused(day, call):
    call.effect, call.status = "fragile", 503


def window(day, call):
    call.effect = "dedup"
    again(day, SENT + 2 * S)


def gone(day, call):
    call.left_us = SENT + 300 * MS
    again(day, SENT + 500 * MS)


def told_time(day, call):
    day.attempts[0].told_left_us = 4 * S


def drain(day, call):
    day.told.append(Told(0, "w", SENT - 2 * S))


def held(day, call):
    day.states[0].end_us = SENT + 3 * S
    day.attempts[1].at_us = SENT + 2900 * MS
    day.attempts[1].told_left_us = 0


def never_released(day, call):
    again(day, SENT + 300 * MS, role="read", ran=False)
    day.states.append(State("a", "w2", SENT + 350 * MS))


def crash(day, call):
    day.processes[0].ended_us, day.processes[0].code = SENT + S, -1


def not_ready(day, call):
    day.processes[0].ready_us = SENT + 10 * S


def descriptors(day, call):
    day.processes[0].descriptors = [500]


def second_copy(day, call):
    again(day, SENT + 100 * MS, ran=False)


def events(day, call):
    call.arrivals = [(SENT + 700 * MS, 4)]
    call.end_us = day.attempts[1].whole_us = SENT + 710 * MS


def unknown_id(day, call):
    again(day, SENT, rid="b")


BREAKS = {
    unknown_id: "unknown id",
    lost: "lost",
    lost_at_the_door: "lost",
    late: "late",
    two_answers: "answered",
    cut: "cut",
    changed: "changed",
    held_up: "held up",
    twice: "twice",
    refused: "refused",
    window: "window",
    gone: "gone",
    told_time: "told time",
    drain: "drain",
    held: "held",
    never_released: "held",
    crash: "crash",
    not_ready: "not ready",
    descriptors: "descriptors",
    second_copy: "second copy",
    events: "events",
}


@pytest.mark.parametrize("effect", ["retryable", "dedup", "fragile"])
def test_a_good_day_breaks_nothing(effect):
    assert judge(good_day(effect, second_copies=False)[0]) == []


@pytest.mark.parametrize("breach", BREAKS, ids=lambda breach: breach.__name__)
def test_each_break_is_seen_as_what_it_is(breach):
    day, call = good_day(second_copies=False)
    breach(day, call)
    assert BREAKS[breach] in {violation.rule for violation in judge(day)}


def test_a_line_of_a_fault_in_a_log_is_a_violation(tmp_path):
    day, _ = good_day()
    log = tmp_path / "log"
    log.write_text("level=info event=mode\nlevel=error event=fault why=KeyError\n")
    day.processes[0].log = str(log)
    assert [violation.rule for violation in judge(day)] == ["fault"]


def test_a_short_day_with_real_processes(tmp_path):
    """Not a hunt: shows that the harness runs, and that a fleet in trouble breaks nothing."""
    day = DayRunner(5, 6.5, 3, str(tmp_path)).play()
    assert len(day.processes) >= 3 and len(day.calls) > 20 and len(day.troubles) >= 2
    assert sum(call.status == 200 for call in day.calls.values()) > len(day.calls) // 2
    assert judge(day) == []
