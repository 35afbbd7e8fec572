"""The soak: its schedule of troubles, its oracle, and one short day with real processes."""

from itertools import pairwise
from random import Random

import pytest

from lapiswing.lab.soak.day import DayRunner
from lapiswing.lab.soak.oracle import judge
from lapiswing.lab.soak.platform import SoakPlatform
from lapiswing.lab.soak.process import RELOAD_COUNTS_AFTER_US, GatewayProcess
from lapiswing.lab.soak.records import Attempt, Call, Day, Process, State, UnavailableReport
from lapiswing.lab.soak.troubles import Kind, draw
from lapiswing.loop import Loop, ManualClock

MS, S = 1000, 1_000_000
SENT = 100 * S
SHORT_DAY_S = 12.0


def test_the_schedule_follows_from_the_seed_and_covers_every_kind():
    assert draw(3, 16) == draw(3, 16) != draw(4, 16)
    assert {trouble.kind for seed in range(60) for trouble in draw(seed, 16)} == set(Kind)
    assert all(hasattr(DayRunner, kind.name.lower()) for kind in Kind)


def test_troubles_overlap():
    for seed in range(20):
        troubles = draw(seed, 16)
        assert any(b.at_us < a.at_us + a.duration_us for a, b in pairwise(troubles))


def good_day(effect="retryable", second_copies=True):
    """The records of one call with a prefill and a decode attempt, answered in time."""
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
        final_answers=1,
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
            completed_us=SENT + 190 * MS,
            event_ends=[(SENT + 100 * MS, 4)],
        )
    )
    return day, call


def add_attempt(day, at_us, **changes):
    """Another attempt of the same call, by default at a second decode server."""
    fields = {
        "rid": "a",
        "server": "w2",
        "role": "write",
        "at_us": at_us,
        "stated_time_left_us": 0,
        "ran": True,
        "end_us": at_us + 50 * MS,
    } | changes
    day.attempts.append(Attempt(**fields))


def lost(day, call):
    call.status, call.final_answers, call.failed, call.head_us = None, 0, "sent", None


def lost_after_sigterm(day, call):
    lost(day, call)
    day.processes[0].term_us = SENT - 390 * MS


def late(day, call):
    call.status, call.end_us = 502, SENT + 4 * S


def two_answers(day, call):
    call.final_answers = 2


def cut(day, call):
    call.failed, call.final_answers = "body", 0


def cut_while_written(day, call):
    """The server would have gone on: nothing was spoilt, and its last event was 1 s ago."""
    cut(day, call)
    call.end_us, day.attempts[1].completed_us = SENT + 1100 * MS, None


def left_waiting(day, call):
    cut(day, call)
    call.end_us = SENT + 6 * S
    day.attempts[1].completed_us, day.attempts[1].spoilt_us = None, SENT + 110 * MS


def left_waiting_until_it_gave_up(day, call):
    left_waiting(day, call)
    call.failed = "nothing"


def unanswered_at_the_kill(day, call):
    lost(day, call)
    day.processes[0].term_us, day.processes[0].killed_us = SENT - 800 * MS, SENT + 100 * MS
    call.reused_connection = True


def changed(day, call):
    call.body += b"more"


def held_up(day, call):
    call.end_us = SENT + 4 * S


def twice(day, call):
    call.effect = "fragile"
    add_attempt(day, SENT + 300 * MS)


def refused(day, call):
    call.effect, call.status = "fragile", 503


def window(day, call):
    call.effect = "dedup"
    add_attempt(day, SENT + 2 * S)


def gone(day, call):
    call.client_left_us = SENT + 300 * MS
    add_attempt(day, SENT + 500 * MS)


def told_time(day, call):
    day.attempts[0].stated_time_left_us = 4 * S


def drain(day, call):
    day.unavailable_reports.append(UnavailableReport(0, "w", SENT - 2 * S, SENT - 2 * S))


def drain_before_it_was_ready_again(day, call):
    drain(day, call)
    day.ready_again_us["w"] = [SENT - 3 * S, SENT + 5 * S]


def held(day, call):
    day.states[0].end_us = SENT + 3 * S
    day.attempts[1].at_us = SENT + 2900 * MS
    day.attempts[1].stated_time_left_us = 0


def never_released(day, call):
    add_attempt(day, SENT + 300 * MS, role="read", ran=False)
    day.states.append(State("a", "w2", SENT + 350 * MS))


def crash(day, call):
    day.processes[0].ended_us, day.processes[0].exit_code = SENT + S, -1


def not_ready(day, call):
    day.processes[0].ready_us = SENT + 10 * S


def descriptors(day, call):
    day.processes[0].descriptors = [500]


def second_copy(day, call):
    add_attempt(day, SENT + 100 * MS, ran=False)


def events(day, call):
    call.arrivals = [(SENT + 700 * MS, 4)]
    call.end_us = day.attempts[1].completed_us = SENT + 710 * MS


def unknown_id(day, call):
    add_attempt(day, SENT, rid="b")


BREACHES = {
    unknown_id: "unknown id",
    lost: "lost",
    lost_after_sigterm: "lost",
    late: "late",
    two_answers: "answered",
    cut: "cut",
    cut_while_written: "cut",
    left_waiting: "left waiting",
    left_waiting_until_it_gave_up: "left waiting",
    unanswered_at_the_kill: "lost",
    changed: "changed",
    held_up: "held up",
    twice: "twice",
    refused: "refused",
    window: "window",
    gone: "gone",
    told_time: "told time",
    drain: "drain",
    drain_before_it_was_ready_again: "drain",
    held: "held",
    never_released: "held",
    crash: "crash",
    not_ready: "not ready",
    descriptors: "descriptors",
    second_copy: "second copy",
    events: "events",
}


@pytest.mark.parametrize("effect", ["retryable", "dedup", "fragile"])
def test_a_good_day_has_no_violations(effect):
    assert judge(good_day(effect, second_copies=False)[0]) == []


@pytest.mark.parametrize("breach", BREACHES, ids=lambda breach: breach.__name__)
def test_each_breach_is_reported_under_its_rule(breach):
    day, call = good_day(second_copies=False)
    breach(day, call)
    assert BREACHES[breach] in {violation.rule for violation in judge(day)}


def test_a_drain_that_ended_does_not_bind_though_its_row_counts_later():
    """A new configuration brings a draining server, which is listed as ready before the 4 s are over."""
    day, _ = good_day()
    day.unavailable_reports.append(UnavailableReport(0, "w", SENT - 6 * S, SENT - 2 * S))
    day.ready_again_us["w"] = [SENT - 5 * S]
    assert judge(day) == []


@pytest.mark.parametrize("spoilt", [True, False])
def test_a_stream_that_brings_nothing_may_be_ended(spoilt):
    day, call = good_day()
    cut(day, call)
    attempt = day.attempts[1]
    attempt.completed_us, attempt.spoilt_us = None, SENT + 110 * MS if spoilt else None
    call.end_us = SENT + (200 * MS if spoilt else 4800 * MS)
    assert judge(day) == []


def test_a_fault_in_a_log_is_a_violation(tmp_path):
    day, _ = good_day()
    log = tmp_path / "log"
    log.write_text("level=info event=mode\nlevel=error event=fault why=KeyError\n")
    day.processes[0].log_path = str(log)
    assert [violation.rule for violation in judge(day)] == ["fault"]


@pytest.mark.parametrize("how, after_us", [("start", 0), ("reload", RELOAD_COUNTS_AFTER_US), ("call", 0)])
def test_when_a_drain_counts_as_reported(tmp_path, how, after_us):
    """A process reads the list in its configuration at its start only, so one that is written for SIGHUP informs nobody."""
    day, loop = Day(1), Loop(ManualClock())
    platform = SoakPlatform(loop, ["both"], 1, day, Random(1))
    (server,), (agent,) = platform.servers.values(), platform.agents
    server.status = "DRAINING"
    gateway = GatewayProcess(loop, day, 0, 1, 9, agent, tmp_path, 1)
    if how == "start":
        gateway.write_config()
    elif how == "reload":
        gateway.reload()
    else:
        agent.whole()
    (report,) = day.unavailable_reports
    assert (report.gateway, report.server, report.at_us) == (0, server.name, loop.clock.now_us() + after_us)
    gateway.close()
    platform.close()
    loop.close()


@pytest.mark.parametrize("seed", [5, 7, 8, 10])
def test_a_short_day_with_real_processes(tmp_path, seed):
    """The longest deadline is 1.5, 0.5, 3 and 1.5 s. The first and the last have a crowd; in the third lists are asked for."""
    day = DayRunner(seed, SHORT_DAY_S, 4, str(tmp_path)).play()
    assert len(day.processes) >= 4 and len(day.calls) > 20 and len(day.troubles) >= 2
    assert day.crowded == (seed % 5 == 0)
    assert sum(call.status == 200 for call in day.calls.values()) > len(day.calls) // 2
    assert judge(day) == []
