"""The loop. One turn: wait for sockets or the next timer, run what is ready, run `after` hooks, flush."""

import heapq
import os
import selectors
import signal
import socket
import sys
import traceback
from itertools import count

MOST_EVENTS = 512  # sockets served in one turn; the rest are still ready in the next one
WAITED_US = 1000  # a wait this long found nothing ready at first: what it returns with has only just come in


class Timer:
    __slots__ = ("call", "args", "due_us")

    def __init__(self, due_us, call, args):
        self.due_us, self.call, self.args = due_us, call, args

    def cancel(self):
        self.call = self.args = None  # what it would have told is not kept until it would have been due


class Loop:
    """`call_at`, `call_later`, `soon` take a callable and its arguments; times are microseconds of `clock`.
    `after` hooks run at the end of each turn, before buffered output is flushed. What a callback raises is
    printed and, where it belongs to a stream, ends that stream; the loop goes on."""

    def __init__(self, clock, on_error=None):
        self.clock, self.on_error = clock, on_error
        self.selector = selectors.DefaultSelector()
        self.watched = {}  # descriptor -> handler, events
        self.timers, self.order, self.ready, self.dirty = [], count(), [], set()
        self.after, self.running, self.turns, self.errors = [], False, 0, 0
        self.now = self.ready_since_us = clock.now_us()
        self.signals, self.wake = {}, None

    def call_at(self, due_us, call, *args):
        timer = Timer(due_us, call, args)
        heapq.heappush(self.timers, (due_us, next(self.order), timer))
        return timer

    def call_later(self, after_us, call, *args):
        return self.call_at(self.clock.now_us() + after_us, call, *args)

    def soon(self, call, *args):
        self.ready.append((call, args))

    def watch(self, sock, events, handler):
        """`handler(mask)` on readiness. Watching again changes the events; no events stops it."""
        fd = sock.fileno()
        known = fd in self.watched
        if not events:
            if known:
                self.selector.unregister(fd)
                del self.watched[fd]
            return
        self.watched[fd] = (handler, events)
        if known:
            self.selector.modify(fd, events, handler)
        else:
            self.selector.register(fd, events, handler)

    def guard(self, owner, call, *args):
        """Runs a callback; its exception ends `owner` (anything with `abort()`), never the loop."""
        try:
            call(*args)
        except Exception as problem:
            self.errors += 1
            if self.on_error:
                self.on_error(problem)
            else:
                traceback.print_exc(file=sys.stderr)
            if owner is not None:
                try:
                    owner.abort()
                except Exception:  # an owner that can't even be ended must not take the loop with it
                    traceback.print_exc(file=sys.stderr)

    def turn(self, most_wait_us=None):
        wait = most_wait_us
        while self.timers and self.timers[0][2].call is None:
            heapq.heappop(self.timers)
        if self.ready or self.dirty:  # dirty: written to between two turns
            wait = 0
        elif self.timers:
            due = self.timers[0][0] - self.clock.now_us()
            wait = due if wait is None else min(wait, due)
        found = self.select(wait)
        for key, mask in found[:MOST_EVENTS]:
            # An earlier handler of this turn may have closed it, or a new socket may have its number.
            handler, events = self.watched.get(key.fd, (None, 0))
            if handler == key.data and mask & events:
                self.guard(getattr(handler, "__self__", None), handler, mask & events)
        while self.timers and self.timers[0][0] <= self.now:
            timer = heapq.heappop(self.timers)[2]
            if timer.call is not None:
                (call, args), timer.call, timer.args = (timer.call, timer.args), None, None
                self.guard(None, call, *args)
        ready, self.ready = self.ready, []
        for call, args in ready:
            self.guard(None, call, *args)
        for hook in self.after:
            self.guard(None, hook)
        while self.dirty:
            stream = self.dirty.pop()
            self.guard(stream, stream.flush)
        self.turns += 1

    def select(self, wait_us):
        """Waits for sockets. Sets `now`, and `ready_since_us`: the earliest moment at which what is ready can have come
        in. After a long turn that is the turn's begin."""
        last_us, asked_us = self.now, self.clock.now_us()
        found = self.selector.select(None if wait_us is None else max(0.0, wait_us / 1e6))
        self.now = self.clock.now_us()
        self.ready_since_us = self.now if self.now - asked_us >= WAITED_US else last_us
        return found

    def run(self):
        self.running = True
        while self.running:
            self.turn()

    def stop(self):
        self.running = False

    def run_until(self, done, most_us=10_000_000):
        """Turns until `done()` holds; False if it does not within `most_us` of the clock. On a manual clock
        idle time is skipped: when no socket is ready the clock jumps to the next timer."""
        end = self.clock.now_us() + most_us
        manual = hasattr(self.clock, "advance")
        while not done():
            if self.clock.now_us() >= end:
                return False
            if not manual:
                self.turn(min(50_000, end - self.clock.now_us()))
                continue
            before = self.clock.now_us()
            busy = bool(self.selector.select(0.002)) or bool(self.ready)
            if not busy:
                due = min([t[0] for t in self.timers[:1]] + [end])
                self.clock.advance(max(0, due - before))
            self.turn(0)
        return True

    def on_signal(self, number, call):
        """Runs `call()` on the loop after a signal, by way of a wake-up descriptor."""
        if self.wake is None:
            self.wake, far = socket.socketpair()
            self.wake.setblocking(False)
            far.setblocking(False)
            self.far = far  # kept, else it is closed
            signal.set_wakeup_fd(far.fileno(), warn_on_full_buffer=False)
            self.watch(self.wake, selectors.EVENT_READ, self.woken)
        self.signals[number] = call
        signal.signal(number, lambda *_: None)

    def woken(self, _mask):
        for number in os.read(self.wake.fileno(), 4096):
            call = self.signals.get(number)
            if call:
                self.guard(None, call)

    def close(self):
        if self.wake is not None:
            signal.set_wakeup_fd(-1)
            for number in self.signals:
                signal.signal(number, signal.SIG_DFL)
            self.wake.close()
            self.far.close()
        self.selector.close()
