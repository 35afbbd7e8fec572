"""Checks the records of a Day against the invariants (rules 1, 2, 3 and 5 below). Pure: records in, violations out. Of what a
gateway says about itself only the faults in its log count."""

from collections import defaultdict
from itertools import pairwise
from pathlib import Path
from typing import NamedTuple

from lapiswing.lab.soak import fleet_settings

MS, S = 1000, 1_000_000  # in microseconds
SLACK_US = 50 * MS  # tolerance of every time limit that is measured on sockets
MAX_LATE_US = 500 * MS  # an answer up to this long past its deadline earns nothing; a later one is a violation
MAX_SEND_AFTER_LEAVING_US = 100 * MS  # no attempt begins later than this after the client disconnected
STATED_TIME_SLACK_US = 150 * MS  # tolerance of the time limit that an attempt states to its server
HELD_SLACK_US = 300 * MS
READY_LIMIT_US = 10 * S
CPU_WAIT_SAMPLE_US = 100 * MS  # a CPU wait may be recorded this much later
NEW_CONNECTIONS_AFTER_TERM_US = 400 * MS  # the platform sends new connections no longer than this after SIGTERM
MAX_STREAM_END_DELAY_US = 1 * S  # within this the end of a stream is passed on
CLIENT_WAIT_US = 5 * S  # behind the last event of a stream
MIN_SILENCE_US = 4500 * MS  # a shorter silence is no reason to cut a stream
ANSWERED_AFTER_TERM_US = 700 * MS  # a request that comes later after SIGTERM is answered before SIGKILL
MAX_EVENT_DELAY_US = 300 * MS
MAX_IDLE_DESCRIPTORS = 120  # open descriptors of an idle process


class Violation(NamedTuple):
    """A broken rule, the call or process that it concerns, and the details."""

    rule: str
    where: str
    what: str


class Oracle:
    """The checks, with the records indexed by call and by gateway."""

    def __init__(self, day):
        self.day = day
        # The observer's own delays add to everything that it measures.
        self.slack_us = SLACK_US + day.observer_delay_us
        self.attempts = defaultdict(list)
        for attempt in day.attempts:
            self.attempts[attempt.rid].append(attempt)
        self.runs = defaultdict(list)
        for run in day.processes:
            self.runs[run.gateway].append(run)

    def judge(self):
        """Returns all violations."""
        found = [
            Violation("unknown id", rid, f"at {attempts[0].server}")
            for rid, attempts in self.attempts.items()
            if rid not in self.day.calls
        ]
        self.attempts = defaultdict(list, {rid: attempts for rid, attempts in self.attempts.items() if rid in self.day.calls})
        for call in self.day.calls.values():
            found += (
                self.check_answer(call) + self.check_effects(call) + self.check_client_left(call) + self.check_stated_time(call)
            )
        return (
            found
            + self.check_drains()
            + self.check_held_states()
            + self.check_processes()
            + self.check_second_copies()
            + self.check_event_delays()
        )

    def run_of(self, call):
        """The process that received the call."""
        return max(
            (run for run in self.runs[call.gateway] if run.started_us <= call.sent_us),
            key=lambda run: run.started_us,
            default=None,
        )

    def killed_during(self, call):
        """Whether the gateway process was killed while the call was open. Crashes are reported by check_processes."""
        run = self.run_of(call)
        end = call.end_us or call.client_left_us or 1 << 62
        return run is None or run.killed_us is not None and run.killed_us <= end + self.slack_us

    def check_answer(self, call):
        """Rule 1: exactly one final answer, in time."""
        if call.client_left_us is not None:
            return []
        if self.killed_during(call) and call.final_answers == 0:
            return self.check_killed_after_term(call)
        took_ms = ((call.end_us or 0) - call.sent_us) // MS
        details = f"status {call.status} failed {call.failed} after {took_ms} ms of {call.deadline_us // MS}"
        run = self.run_of(call)
        if run is not None and run.term_us is not None:
            details += (
                f", sent {(call.sent_us - run.term_us) // MS} ms after SIGTERM, "
                f"{'kept' if call.reused_connection else 'new'} connection"
            )
        if call.failed in ("connect", "unsent", "away", "local"):
            return []  # the gateway did not accept it
        if call.final_answers > 1:
            return [Violation("answered", call.rid, f"{call.final_answers} answers")]
        left_waiting = self.check_left_waiting(call)
        if left_waiting:
            return left_waiting
        if call.failed == "body":
            return (
                []
                if self.stream_broke(call)
                else [Violation("cut", call.rid, f"the stream was cut although its server continued it; {details}")]
            )
        if call.final_answers == 0:
            return [] if self.sent_too_late(call, run) else [Violation("lost", call.rid, details)]
        if call.status == 200:
            return self.check_stream(call)
        if call.end_us > call.sent_us + call.deadline_us + MAX_LATE_US + self.slack_us:
            return [Violation("late", call.rid, details)]
        return []

    @staticmethod
    def sent_too_late(call, run):
        """Whether a delayed observer opened its connection later than the platform would have."""
        return (
            not call.reused_connection
            and run is not None
            and run.term_us is not None
            and call.sent_us > run.term_us + NEW_CONNECTIONS_AFTER_TERM_US
        )

    def stream_broke(self, call):
        """Whether a server's stream for the call ended early, was spoilt, or brought nothing for long."""
        for attempt in self.attempts[call.rid]:
            if attempt.spoilt_us is not None:
                return True
            if attempt.event_ends and attempt.completed_us is None and self.silence_us(call, attempt) >= MIN_SILENCE_US:
                return True
            if any(a <= (call.end_us or 0) <= b + S for a, b in self.day.outages_us.get(attempt.server, ())):
                return True
        return False

    @staticmethod
    def silence_us(call, attempt):
        """For how long the client had waited behind the last event of an attempt when its answer ended."""
        end_us = call.end_us or 0
        return end_us - max((at_us for at_us, _ in attempt.event_ends if at_us <= end_us), default=end_us)

    def check_left_waiting(self, call):
        """A client whose stream has begun is not left waiting for long behind the last event of a running server."""
        if call.status != 200 or call.final_answers:
            return []
        for attempt in self.attempts[call.rid]:
            if not attempt.event_ends or not bytes(attempt.sent).startswith(bytes(call.body[: attempt.event_ends[0][1]])):
                continue
            waited_us = self.silence_us(call, attempt)
            if waited_us > CLIENT_WAIT_US + self.slack_us and not self.in_outage(attempt):
                return [Violation("left waiting", call.rid, f"{waited_us // MS} ms behind the last event of {attempt.server}")]
        return []

    def check_killed_after_term(self, call):
        """A request that came well after SIGTERM is answered before the kill."""
        run = self.run_of(call)
        if run is None or run.term_us is None or call.failed in ("connect", "unsent", "away", "local"):
            return []
        after_us = call.sent_us - run.term_us
        if after_us <= ANSWERED_AFTER_TERM_US + self.slack_us or self.sent_too_late(call, run):
            return []
        return [Violation("lost", call.rid, f"sent {after_us // MS} ms after SIGTERM and killed unanswered")]

    def check_stream(self, call):
        """A successful answer is exactly one server's stream, passed on without delay."""
        if call.head_us > call.sent_us + call.deadline_us + MAX_LATE_US + self.slack_us:
            return [Violation("late", call.rid, "its stream began too late")]
        match = next((a for a in self.attempts[call.rid] if bytes(a.sent) == bytes(call.body)), None)
        if match is None:
            return [Violation("changed", call.rid, f"{len(call.body)} bytes that no server wrote for it")]
        if match.completed_us is None:
            return [Violation("changed", call.rid, "the gateway ended it as complete before its server did")]
        if call.end_us - match.completed_us > MAX_STREAM_END_DELAY_US + self.slack_us:
            return [Violation("held up", call.rid, f"its end came {(call.end_us - match.completed_us) // MS} ms late")]
        return []

    def check_effects(self, call):
        """Rule 2: no effect twice, and no rejection of a call that may have taken effect."""
        ran = [a for a in self.attempts[call.rid] if a.ran]
        found = []
        if call.effect == "fragile":
            if len(ran) > 1:
                found.append(Violation("twice", call.rid, " ".join(f"{a.server}@{a.at_us - call.sent_us}" for a in ran)))
            if ran and call.status in (429, 503):
                found.append(Violation("refused", call.rid, f"{call.status} after it may have run at {ran[0].server}"))
        if call.effect == "dedup" and ran:
            last_us = ran[0].at_us + round(fleet_settings.REPEAT_WINDOW_MS * MS) + self.slack_us
            for attempt in ran[1:]:
                if attempt.at_us > last_us:
                    found.append(
                        Violation("window", call.rid, f"{(attempt.at_us - last_us) // MS} ms past it at {attempt.server}")
                    )
        return found

    def check_client_left(self, call):
        """No attempt begins after the client has disconnected."""
        if call.client_left_us is None:
            return []
        late = [a for a in self.attempts[call.rid] if a.at_us > call.client_left_us + MAX_SEND_AFTER_LEAVING_US + self.slack_us]
        return [
            Violation("gone", call.rid, f"{(a.at_us - call.client_left_us) // MS} ms after its client left, at {a.server}")
            for a in late
        ]

    def check_stated_time(self, call):
        """An attempt states no more time to its server than its client has left."""
        found = []
        for attempt in self.attempts[call.rid]:
            over_us = attempt.stated_time_left_us - (call.sent_us + call.deadline_us - attempt.at_us)
            if over_us > STATED_TIME_SLACK_US + self.slack_us + self.cpu_wait_during_us(call, attempt.at_us):
                found.append(Violation("told time", call.rid, f"{over_us // MS} ms more than its client has"))
        return found

    def cpu_wait_during_us(self, call, until_us):
        """How long the call's gateway waited for a CPU from the send of the call until then."""
        return sum(
            us
            for gateway, at_us, us in self.day.cpu_waits
            if gateway == call.gateway and call.sent_us <= at_us <= until_us + CPU_WAIT_SAMPLE_US
        )

    def check_second_copies(self):
        """No two attempts of a call at the same time where the settings of its gateway forbid second copies."""
        found = []
        for rid, attempts in self.attempts.items():
            if not self.day.second_copies_off(self.day.calls[rid].gateway):
                continue
            ordered = sorted(attempts, key=lambda a: a.at_us)
            for one, other in pairwise(ordered):
                end_us = one.end_us or 1 << 62
                if end_us > other.at_us + self.slack_us and not self.in_outage(one):
                    found.append(Violation("second copy", rid, f"{one.server} and {other.server}"))
        return found

    def in_outage(self, attempt):
        """Whether its server may not have noticed that the gateway cancelled it."""
        return any(
            a <= (attempt.end_us or 1 << 62) and attempt.at_us <= b + S for a, b in self.day.outages_us.get(attempt.server, ())
        )

    def check_event_delays(self):
        """Events are passed on without delay, except in at most one stream in 20."""
        streams = late = 0
        for call in self.day.calls.values():
            match = next((a for a in self.attempts[call.rid] if a.completed_us and bytes(a.sent) == bytes(call.body)), None)
            if match is None or call.reads_slowly:
                continue
            streams += 1
            late += self.max_delay_us(call, match) > MAX_EVENT_DELAY_US + self.slack_us
        return [Violation("events", f"seed {self.day.seed}", f"{late} of {streams} streams")] if late * 20 > streams else []

    @staticmethod
    def max_delay_us(call, attempt):
        """The longest time between writing bytes of the stream and their arrival at the client."""
        longest_us, arrivals = 0, iter(call.arrivals)
        arrived_us, size = next(arrivals, (0, 0))
        for written_us, end in attempt.event_ends:
            while size < end:
                arrived_us, size = next(arrivals)
            longest_us = max(longest_us, arrived_us - written_us)
        return longest_us

    def check_drains(self):
        """Rule 3: no new attempt to a draining or deleted server after the grace period since its gateway was informed."""
        reported, found = defaultdict(list), []
        for row in self.day.unavailable_reports:
            reported[row.gateway, row.server].append(row)
        for rid, attempts in self.attempts.items():
            call = self.day.calls.get(rid)
            for attempt in attempts:
                # A row that was written before the server was last ready again no longer holds, even where it counts later.
                ready_again_us = max(
                    (at for at in self.day.ready_again_us.get(attempt.server, ()) if at <= attempt.at_us), default=0
                )
                rows = reported.get((call.gateway, attempt.server), ())
                first_us = min((row.at_us for row in rows if row.written_us >= ready_again_us), default=attempt.at_us)
                over_us = attempt.at_us - first_us - round(fleet_settings.DRAIN_GRACE_MS * MS)
                if over_us > self.slack_us:
                    found.append(Violation("drain", rid, f"{over_us // MS} ms past the grace period at {attempt.server}"))
        return found

    def check_held_states(self):
        """Rule 5: a held state without an attempt in progress is fetched or released in time."""
        found = []
        for state in self.day.states:
            call = self.day.calls.get(state.rid)
            if state.excused or call is None or self.killed_while_held(call, state) or self.could_not_release(call, state):
                continue
            end_us = state.end_us if state.end_us is not None else state.from_us + 3600 * S
            idle_since_us = state.from_us
            for attempt in sorted(self.attempts[state.rid], key=lambda a: a.at_us):
                if attempt.at_us <= state.from_us:
                    idle_since_us = max(idle_since_us, attempt.end_us or state.from_us)
                elif attempt.at_us <= end_us:
                    if attempt.at_us - idle_since_us > self.hold_limit_us():
                        break
                    idle_since_us = max(idle_since_us, attempt.end_us or end_us)
            over_us = end_us - idle_since_us - self.hold_limit_us()
            if over_us > 0:
                found.append(Violation("held", state.rid, f"at {state.server}, {over_us // MS} ms too long"))
        return found

    def could_not_release(self, call, state):
        """Whether connects of its gateway may have failed while it was held. Does not excuse a state that is never released."""
        return state.end_us is not None and any(
            gateway == call.gateway and start_us <= state.end_us and state.from_us <= end_us
            for gateway, start_us, end_us in self.day.connect_failures
        )

    def hold_limit_us(self):
        """The longest time for which a state may be held without an attempt in progress."""
        return round(fleet_settings.RELEASE_MS * MS) + HELD_SLACK_US + self.slack_us

    def killed_while_held(self, call, state):
        """Whether the process that requested the prefill was killed meanwhile. The client may have sent the call again to the
        next process."""
        end_us, first_us = state.end_us or 1 << 62, call.first_sent_us or call.sent_us
        return any(
            run.killed_us is not None and run.started_us <= call.sent_us and first_us <= run.killed_us <= end_us
            for run in self.runs[call.gateway]
        )

    def check_processes(self):
        """Processes become ready, don't crash, don't leak descriptors and log no faults."""
        found = []
        for run in self.day.processes:
            where = f"gateway {run.gateway}, pid {run.pid}"
            end_requested = run.term_us is not None or run.killed_us is not None
            if run.ended_us is not None and not end_requested:
                found.append(Violation("crash", where, f"ended by itself with {run.exit_code}"))
            elif (
                run.term_us is not None and run.killed_us is None and run.ready_us is not None and run.exit_code not in (0, None)
            ):
                found.append(Violation("crash", where, f"ended with {run.exit_code} after SIGTERM"))
            if (
                run.ready_us is None
                and not end_requested
                or run.ready_us is not None
                and run.ready_us - run.started_us > READY_LIMIT_US
            ):
                found.append(Violation("not ready", where, "within 10 s"))
            if any(count > MAX_IDLE_DESCRIPTORS for count in run.descriptors):
                found.append(Violation("descriptors", where, f"{run.descriptors} at rest"))
            found += [Violation("fault", where, line[:200]) for line in self.faults(run)]
        return found

    @staticmethod
    def faults(run):
        """The first log records of the process that report a fault."""
        try:
            lines = Path(run.log_path).read_text(errors="replace").splitlines()
        except OSError:
            return []
        return [
            line
            for line in lines
            if "event=fault" in line
            or "fault in the decisions" in line
            or "Traceback" in line
            or "event=backstop" in line
            or "event=guard" in line
        ][:3]


def judge(day):
    """Returns the violations of a day."""
    return Oracle(day).judge()
