"""Decisions about transfers ("moves"), from sizes, times and measurements. No I/O, no clock.

Window           how many chunks may be in flight on a path. It grows as long as the delay of chunks does not, so that the link is
                 used fully without a standing queue.
order_moves      which of the moves that share a link goes first
admitted_moves   how many moves may start while a server is in slow start
choose_option    what to do with a move that stalled or failed
worth_switching  whether a slow move should be given up for another option
PathHealth       whether failures are due to a holder or to this side"""

from typing import NamedTuple

MS = 1000
INITIAL_WINDOW_CHUNKS = 4
MAX_WINDOW_CHUNKS = 256
GROW_BELOW = 1.6  # the window grows while the delay is below this multiple of the minimum delay: the path has no queue
SHRINK_ABOVE = 2.5  # and shrinks above this multiple
JITTER_US = 3 * MS  # variation of the delay that does not indicate a queue
PROBE_INTERVAL_CHUNKS, PROBE_CHUNKS = 200, 6  # the minimum delay is measured anew after so many chunks, over so many
MIN_STALL_US = 200 * MS  # a link without progress for this long, and ...
STALL_CHUNK_TIMES = 6  # ... for this many typical chunk delays is stalled
MAX_FAILURES = 4  # in a row without a verified chunk; then the holder is given up
SLOW_START_MOVES = 2  # at once towards a server that has just started


class Window:
    """The congestion window of one path. The delay of a chunk runs from its request to its last byte."""

    def __init__(self):
        self.size, self.min_delay_us, self.typical_delay_us = float(INITIAL_WINDOW_CHUNKS), None, None
        self.count, self.probe_chunks_left, self.size_before_probe = 0, 0, 0.0
        self.rate = None  # bytes per second, moving average

    def chunk_verified(self, delay_us, size, in_flight):
        """A verified chunk of `size` bytes has arrived `delay_us` after its request, with `in_flight` chunks requested by
        then."""
        delay = max(1, delay_us)
        self.typical_delay_us = (
            delay if self.typical_delay_us is None else self.typical_delay_us + (delay - self.typical_delay_us) * 0.1
        )
        self.count += 1
        if self.min_delay_us is None or delay < self.min_delay_us:
            self.min_delay_us = delay
        if self.probe_chunks_left:
            self.probe_chunks_left -= 1
            if self.probe_chunks_left < PROBE_CHUNKS:  # earlier ones were requested while the window was large
                self.probe_min_delay_us = min(self.probe_min_delay_us, delay)
            if not self.probe_chunks_left:
                self.min_delay_us, self.size = self.probe_min_delay_us, max(1.0, self.size_before_probe * 0.9)
        elif self.count >= PROBE_INTERVAL_CHUNKS:
            # Paths change, so the minimum delay is measured anew. The window is reduced for that: with the usual window its own
            # queue would count as delay of the path, and each measurement would allow a longer queue.
            self.count, self.size_before_probe, self.probe_chunks_left, self.probe_min_delay_us = (
                0,
                self.size,
                in_flight + PROBE_CHUNKS,
                1 << 60,
            )
            self.size = max(1.0, self.size / 4)
            return
        rate = size * in_flight * 1e6 / delay
        self.rate = rate if self.rate is None else self.rate + (rate - self.rate) * 0.05
        # A chunk waits for those requested before it; only a longer delay indicates a queue.
        queue_free_delay_us = self.min_delay_us + JITTER_US
        if self.probe_chunks_left:
            return
        if delay < queue_free_delay_us * GROW_BELOW:
            self.size = min(MAX_WINDOW_CHUNKS, self.size + 1.0 / self.size * 2)
        elif delay > queue_free_delay_us * SHRINK_ABOVE:
            self.size = max(1.0, self.size * (1 - 0.3 / self.size))

    def on_connection_lost(self):
        """Halves the window after a connection was lost."""
        self.size = max(1.0, self.size / 2)

    def allowed(self):
        """How many chunks may be in flight."""
        return max(1, int(self.size))

    def stall_timeout_us(self):
        """Time without progress after which the link is considered stalled."""
        return max(MIN_STALL_US, STALL_CHUNK_TIMES * (self.typical_delay_us or 0))


class Move(NamedTuple):
    """A move that waits for the link. `due_us`: when its first token should be out (TTFT target)."""

    id: object
    due_us: int
    left: int  # bytes still missing


def order_moves(moves, now_us, rate):
    """Ids of the moves in the order in which they should use the link. Moves with less than 500 ms of slack go first, by
    slack; then those with enough time, the shortest first because it frees the memory of its read server soonest; moves that
    can't be on time any more go last. `rate`: bytes per second of the link."""
    rate = max(1.0, rate or 1.0)

    def sort_key(move):
        slack = move.due_us - now_us - move.left * 1e6 / rate
        if slack < 0:
            return 2, move.left, str(move.id)
        return (0, slack, str(move.id)) if slack < 500 * MS else (1, move.left, str(move.id))

    return [move.id for move in sorted(moves, key=sort_key)]


def admitted_moves(running, waiting, in_slow_start):
    """How many of the waiting moves may start now. `in_slow_start`: the receiver has just started; moves take up part of the
    little capacity that it has then."""
    return max(0, min(waiting, SLOW_START_MOVES - running)) if in_slow_start else waiting


class RecoveryOption(NamedTuple):
    """One way to continue a move that failed. `rate`: bytes per second, None if unknown; `fixed_us`: time until the first byte;
    `bytes`: how much it has to transfer."""

    what: str  # resume, elsewhere, read anew
    bytes: int
    rate: float | None
    fixed_us: int
    fails: int = 0  # consecutive failures
    holder: object = None


DEFAULT_BYTES_PER_S = 50e6  # for a path that has not been measured
MIN_SWITCH_SPEEDUP = 2  # a slow move switches to an option if it needs more than this multiple of the option's time ...
MIN_SWITCH_GAIN_US = 100 * MS  # ... plus this
MAX_SWITCHES = 2  # of one move, so that it does not switch back and forth


def estimated_us(option):
    """Estimated duration of an option. Each consecutive failure there doubles the estimate."""
    return option.fixed_us + option.bytes * 1e6 / (option.rate or DEFAULT_BYTES_PER_S) * 2**option.fails


def choose_option(options, now_us, expires_us):
    """The fastest option that ends before the move expires, or None: the move then fails and its memory is released. A holder
    that failed MAX_FAILURES times in a row without a chunk is no longer an option, so that a link that keeps dropping ends
    here."""
    usable_options = [option for option in options if option.fails < MAX_FAILURES and now_us + estimated_us(option) < expires_us]
    return min(usable_options, key=estimated_us, default=None)


def worth_switching(left_us, other_us):
    """Whether a move that needs `left_us` more at its present rate should switch to an option that takes `other_us`."""
    return left_us > other_us * MIN_SWITCH_SPEEDUP + MIN_SWITCH_GAIN_US


# Failure scores: exponentially weighted fraction of the last moves on a path that failed.
UNHEALTHY_SCORE = 0.5
HEALTHY_SCORE = 0.25


class PathHealth:
    """Failure score of the path to each holder, by the results of its last moves."""

    def __init__(self):
        self.failure_score = {}

    def record(self, holder, succeeded):
        """Records whether a move from a holder succeeded."""
        self.failure_score[holder] = self.failure_score.get(holder, 0.0) * 0.7 + (0.0 if succeeded else 0.3)

    def faulty_side(self, holder):
        """Which side causes the failures of this holder: 'holder' if other holders are healthy, 'own' if they fail too, None if
        it can't be determined."""
        other_scores = [v for h, v in self.failure_score.items() if h != holder]
        if not other_scores or self.failure_score.get(holder, 0.0) < HEALTHY_SCORE:
            return None
        mean_score = sum(other_scores) / len(other_scores)
        return "holder" if mean_score < HEALTHY_SCORE else "own" if mean_score >= UNHEALTHY_SCORE else None


def caller_options(alternatives, length, faulty_side):
    """What the caller could do instead, as recovery options. `alternatives`: {'read anew': us, 'elsewhere': us}, the time until
    the state would begin to move. The whole state then moves on a path that is unknown and may be the same one again, so the
    option counts as having failed once. If the fault is on this side, only another write server helps; if it is the holder's,
    only reading (prefill) again does."""
    return [
        RecoveryOption(what, length or 0, None, us, 1)
        for what, us in alternatives.items()
        if not (faulty_side == "own" and what == "read anew" or faulty_side == "holder" and what == "elsewhere")
    ]
