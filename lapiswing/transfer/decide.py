"""What is decided about moves. No I/O, no clock, no names: sizes, times and what was measured.

Window   how many chunks may be on their way on a path. It grows while the delay of chunks does not, so that a link is
         full and no queue stands in it.
order    which of the moves that share a link goes first.
admit    which moves may start at a box that has just started.
next_step    what to do with a move that stalled or broke; worth_leaving: with one that is only slow.
Paths    whose trouble it is when moves break: a holder's or our own."""

from typing import NamedTuple

MS = 1000
FIRST_WINDOW = 4
MOST_WINDOW = 256
GROW_BELOW = 1.6  # of the least delay seen lately: the path has no queue
SHRINK_ABOVE = 2.5
SLACK_US = 3 * MS  # a delay's noise that is no queue
PROBE_EVERY, PROBE = 200, 6  # chunks
STALL_US = 200 * MS  # nothing verified for this long, at the least
STALL_TIMES = 6  # and for so many usual chunk times
BREAKS = 4  # in a row without a verified chunk: this holder is given up
COLD_MOVES = 2  # at once towards a box that has just started


class Window:
    """One path's. Times of chunks: from asking to being whole."""

    def __init__(self):
        self.size, self.least_us, self.usual_us = float(FIRST_WINDOW), None, None
        self.count, self.probe, self.before = 0, 0, 0.0
        self.rate = None  # bytes a second, lately

    def chunk(self, delay_us, size, in_flight):
        """A verified chunk came `delay_us` after it was asked for, with so many asked for at that time."""
        delay = max(1, delay_us)
        self.usual_us = delay if self.usual_us is None else self.usual_us + (delay - self.usual_us) * 0.1
        self.count += 1
        if self.least_us is None or delay < self.least_us:
            self.least_us = delay
        if self.probe:
            self.probe -= 1
            if self.probe < PROBE:  # those before were asked for when the window was large
                self.probe_least = min(self.probe_least, delay)
            if not self.probe:
                self.least_us, self.size = self.probe_least, max(1.0, self.before * 0.9)
        elif self.count >= PROBE_EVERY:
            # Paths change, and the least time is to be learnt anew: with a small window, for with the usual one the queue
            # that it makes itself would count as the path's own, and each time a longer one would be allowed.
            self.count, self.before, self.probe, self.probe_least = 0, self.size, in_flight + PROBE, 1 << 60
            self.size = max(1.0, self.size / 4)
            return
        rate = size * in_flight * 1e6 / delay
        self.rate = rate if self.rate is None else self.rate + (rate - self.rate) * 0.05
        # A chunk waits for those asked for before it: what counts as a queue is more than their own time.
        alone = self.least_us + SLACK_US
        if self.probe:
            return
        if delay < alone * GROW_BELOW:
            self.size = min(MOST_WINDOW, self.size + 1.0 / self.size * 2)
        elif delay > alone * SHRINK_ABOVE:
            self.size = max(1.0, self.size * (1 - 0.3 / self.size))

    def broke(self):
        self.size = max(1.0, self.size / 2)

    def allowed(self):
        return max(1, int(self.size))

    def stall_us(self):
        return max(STALL_US, STALL_TIMES * (self.usual_us or 0))


class Move(NamedTuple):
    """A move that waits for its turn on a link. `due_us`: when its first token should be out."""

    id: object
    due_us: int
    left: int  # bytes


def order(moves, now_us, rate):
    """Ids of the moves in the order in which they should have the link. What would be late goes by how late it would
    be when sent next, as long as it can still be in time; what can't be in time any more goes last. Among those with time
    enough the shorter goes first: it frees its reader's memory sooner."""
    rate = max(1.0, rate or 1.0)

    def key(m):
        slack = m.due_us - now_us - m.left * 1e6 / rate
        if slack < 0:
            return 2, m.left, str(m.id)
        return (0, slack, str(m.id)) if slack < 500 * MS else (1, m.left, str(m.id))

    return [m.id for m in sorted(moves, key=key)]


def admit(running, waiting, cold):
    """-> how many of those that wait may start now. `cold`: the receiver has just started; what is moved to it then takes
    from what little it can do."""
    return max(0, min(waiting, COLD_MOVES - running)) if cold else waiting


class Way(NamedTuple):
    """One thing that could be done with a move that broke. `rate`: bytes a second, None where nothing is known of it;
    `fixed_us`: what it costs before the first byte; `bytes`: what it has to move."""

    what: str  # resume, elsewhere, read anew
    bytes: int
    rate: float | None
    fixed_us: int
    fails: int = 0  # breaks in a row there
    holder: object = None


USUAL_RATE = 50e6  # where nothing is known of a path
LEAVE_TIMES = 2  # a move is left for another way that takes less than a half of what it still needs ...
LEAVE_US = 100 * MS  # ... and this much less
LEAVES = 2  # of one move: what always looks for something better never ends


def cost_us(way):
    """Its estimated time; each break there without anything gained counts as doubling it."""
    return way.fixed_us + way.bytes * 1e6 / (way.rate or USUAL_RATE) * 2**way.fails


def next_step(ways, now_us, expires_us):
    """-> the way to take, or None: nothing can be in time, so that the move ends and its memory is let go. A holder that
    broke `BREAKS` times in a row without a chunk is no way any more, so a link that drops for ever ends here."""
    open_ways = [w for w in ways if w.fails < BREAKS and now_us + cost_us(w) < expires_us]
    return min(open_ways, key=cost_us, default=None)


def worth_leaving(left_us, other_us):
    """Whether a move that needs `left_us` more at its present rate is left for a way that takes `other_us`."""
    return left_us > other_us * LEAVE_TIMES + LEAVE_US


BAD = 0.5  # part of the last moves of a path that broke
GOOD = 0.25


class Paths:
    """What became of the last moves from each holder."""

    def __init__(self):
        self.bad = {}

    def told(self, holder, good):
        self.bad[holder] = self.bad.get(holder, 0.0) * 0.7 + (0.0 if good else 0.3)

    def whose(self, holder):
        """'holder' where the others are well, 'own' where others are bad too, None where nothing can be told."""
        others = [v for h, v in self.bad.items() if h != holder]
        if not others or self.bad.get(holder, 0.0) < GOOD:
            return None
        usual = sum(others) / len(others)
        return "holder" if usual < GOOD else "own" if usual >= BAD else None


def other_ways(alternatives, length, whose):
    """What the box's own caller could do instead, as Ways. `alternatives`: {'read anew': us, 'elsewhere': us}, the time until the
    state would begin to move; then all of it moves, on a path of which nothing is known but that it may be the same one again:
    it counts as having failed once. With trouble of our own another writer helps, with the holder's only another read."""
    return [
        Way(what, length or 0, None, us, 1)
        for what, us in alternatives.items()
        if not (whose == "own" and what == "read anew" or whose == "holder" and what == "elsewhere")
    ]
