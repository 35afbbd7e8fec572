"""The event loop. One turn: wait for sockets or the next timer, run what is ready, run `after` hooks, flush output.

What peers have sent is worked through under a budget of time for each turn. When it is used up, the remaining sockets wait for
the next turns, those that have cost the least first. This guards against peers whose input is costly: each of them waits, while
timers, signals and the other sockets are served in every turn."""

import heapq
import os
import selectors
import signal
import socket
import sys
import traceback
from collections import deque
from itertools import count

MAX_EVENTS_PER_TURN = 512  # sockets served in one turn; the others are still ready in the next one
TRUSTED_BUDGET_US = 5000  # of a turn, for the sockets that this process has opened itself, and for signals
CLIENT_BUDGET_US = 5000  # of a turn, for the sockets of clients and for work that was put off
IDLE_WAIT_US = 1000  # if a wait took this long nothing was ready at its start, so its events have only just occurred


class Timer:
    """A scheduled call that can be cancelled."""

    __slots__ = ("call", "args", "due_us")

    def __init__(self, due_us, call, args):
        self.due_us, self.call, self.args = due_us, call, args

    def cancel(self):
        self.call = self.args = None  # frees the arguments now rather than when the timer is due


class Loop:
    """`call_at`, `call_later` and `soon` take a callable and its arguments; times are microseconds of `clock`. `after` hooks run
    at the end of each turn, before buffered output is flushed. An exception in a callback goes to `on_error` or is printed;
    if the callback belongs to a stream it ends that stream. The loop continues."""

    def __init__(self, clock, on_error=None):
        self.clock, self.on_error = clock, on_error
        self.selector = selectors.DefaultSelector()
        self.watched = {}  # descriptor -> handler, events
        self.timers, self.sequence, self.ready, self.dirty = [], count(), [], set()
        self.after, self.running, self.turns, self.errors = [], False, 0, 0
        self.put_off = deque()  # calls that wait for a turn with time left
        self.costs_us = {}  # descriptor -> what it has cost since the last turn that was within its budget
        self.waiting_since_us = {}  # descriptor -> since when it may have been ready, if that was before the last turn
        self.turns_over_budget = 0
        self.now = self.ready_since_us = clock.now_us()
        self.signals, self.wake_reader = {}, None

    def call_at(self, due_us, call, *args):
        """-> Timer."""
        timer = Timer(due_us, call, args)
        heapq.heappush(self.timers, (due_us, next(self.sequence), timer))
        return timer

    def call_later(self, after_us, call, *args):
        """-> Timer."""
        return self.call_at(self.clock.now_us() + after_us, call, *args)

    def soon(self, call, *args):
        """Calls it in this turn or the next one."""
        self.ready.append((call, args))

    def put_off_call(self, owner, call, *args):
        """Calls it when the budget of a turn allows, after all that was put off before. An exception ends `owner`."""
        self.put_off.append((owner, call, args))

    def watch(self, sock, events, handler):
        """Calls `handler(mask)` on readiness. Watching again changes the events; 0 events stop it. A handler is a method; an
        object whose `from_client` is true is served under the budget for clients."""
        fd = sock.fileno()
        known = fd in self.watched
        if not events:
            if known:
                self.selector.unregister(fd)
                del self.watched[fd]
                self.costs_us.pop(fd, None)
                self.waiting_since_us.pop(fd, None)
            return
        self.watched[fd] = (handler, events)
        if known:
            self.selector.modify(fd, events, handler)
        else:
            self.selector.register(fd, events, handler)

    def guard(self, owner, call, *args):
        """Runs a callback. An exception ends `owner` (anything with `abort()`), never the loop."""
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
                except Exception:  # a failing abort must not end the loop either
                    traceback.print_exc(file=sys.stderr)

    def turn(self, max_wait_us=None):
        """Runs one turn."""
        wait = max_wait_us
        while self.timers and self.timers[0][2].call is None:
            heapq.heappop(self.timers)
        if self.ready or self.dirty or self.put_off:  # dirty streams: written to between two turns
            wait = 0
        elif self.timers:
            due = self.timers[0][0] - self.clock.now_us()
            wait = due if wait is None else min(wait, due)
        found = self.select(wait)
        self.handle_events(found)
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

    def handle_events(self, found):
        """Calls the handlers of the ready sockets, and what was put off, as far as the budgets of this turn allow."""
        if self.waiting_since_us:
            ready = {key.fd for key, _ in found}
            self.waiting_since_us = {fd: since_us for fd, since_us in self.waiting_since_us.items() if fd in ready}
        trusted, clients = [], []
        for key, mask in found:
            owner = getattr(key.data, "__self__", None)
            (clients if getattr(owner, "from_client", False) else trusted).append((key, mask, owner))
        complete = self.handle_some(trusted, TRUSTED_BUDGET_US)
        started_us = self.clock.now_us()
        complete = self.handle_some(clients, CLIENT_BUDGET_US) and complete
        complete = self.run_put_off(started_us + CLIENT_BUDGET_US) and complete
        if complete:
            self.costs_us.clear()
        else:
            self.turns_over_budget += 1

    def handle_some(self, events, budget_us):
        """Calls the handlers of at least one event, and of more until the budget is used up. -> whether all were called."""
        if self.costs_us:
            events.sort(key=lambda event: self.costs_us.get(event[0].fd, 0))
        started_us = now_us = self.clock.now_us()
        for position, (key, mask, owner) in enumerate(events):
            if now_us - started_us > budget_us or position == MAX_EVENTS_PER_TURN:
                for left_key, _, _ in events[position:]:
                    self.waiting_since_us.setdefault(left_key.fd, self.ready_since_us)
                return False
            # An earlier handler of this turn may have closed the socket, and a new one may have its number.
            handler, wanted = self.watched.get(key.fd, (None, 0))
            if handler != key.data or not mask & wanted:
                continue
            self.handle_event(key.fd, owner, handler, mask & wanted)
            before_us, now_us = now_us, self.clock.now_us()
            if key.fd in self.watched:
                self.costs_us[key.fd] = self.costs_us.get(key.fd, 0) + now_us - before_us
        return True

    def accepted(self, sock):
        """A socket has been accepted: its first bytes may have come when the listener became ready."""
        self.waiting_since_us[sock.fileno()] = self.ready_since_us

    def handle_event(self, fd, owner, handler, mask):
        """Calls one handler. Meanwhile `ready_since_us` says since when this socket may have been ready."""
        ready_since_us = self.ready_since_us
        self.ready_since_us = self.waiting_since_us.pop(fd, ready_since_us)
        self.guard(owner, handler, mask)
        self.ready_since_us = ready_since_us

    def run_put_off(self, until_us):
        """Runs at least one of the calls that were put off before this turn, and more until the time. -> whether all have run."""
        for left in range(len(self.put_off), 0, -1):
            owner, call, args = self.put_off.popleft()
            self.guard(owner, call, *args)
            if left > 1 and self.clock.now_us() > until_us:
                return False
        return True

    def select(self, wait_us):
        """Waits for sockets. Sets `now`, and `ready_since_us`: the earliest time at which the ready events can have occurred.
        After a long turn that is the turn's beginning."""
        last_us, asked_us = self.now, self.clock.now_us()
        found = self.selector.select(None if wait_us is None else max(0.0, wait_us / 1e6))
        self.now = self.clock.now_us()
        self.ready_since_us = self.now if self.now - asked_us >= IDLE_WAIT_US else last_us
        return found

    def run(self):
        self.running = True
        while self.running:
            self.turn()

    def stop(self):
        self.running = False

    def run_until(self, done, max_us=10_000_000):
        """Runs turns until `done()` is true; returns False if that takes longer than `max_us` of the clock. On a manual clock
        idle time is skipped: when no socket is ready the clock jumps to the next timer."""
        end = self.clock.now_us() + max_us
        manual = hasattr(self.clock, "advance")
        while not done():
            if self.clock.now_us() >= end:
                return False
            if not manual:
                self.turn(min(50_000, end - self.clock.now_us()))
                continue
            before = self.clock.now_us()
            busy = bool(self.selector.select(0.002)) or bool(self.ready) or bool(self.put_off)
            if not busy:
                due = min([entry[0] for entry in self.timers[:1]] + [end])
                self.clock.advance(max(0, due - before))
            self.turn(0)
        return True

    def on_signal(self, number, call):
        """Calls `call()` on the loop after a signal, by way of a wake-up descriptor."""
        if self.wake_reader is None:
            self.wake_reader, wake_writer = socket.socketpair()
            self.wake_reader.setblocking(False)
            wake_writer.setblocking(False)
            self.wake_writer = wake_writer  # keeps it open
            signal.set_wakeup_fd(wake_writer.fileno(), warn_on_full_buffer=False)
            self.watch(self.wake_reader, selectors.EVENT_READ, self.on_wake)
        self.signals[number] = call
        signal.signal(number, lambda *_: None)

    def on_wake(self, _mask):
        for number in os.read(self.wake_reader.fileno(), 4096):
            call = self.signals.get(number)
            if call:
                self.guard(None, call)

    def close(self):
        """Restores the signals' default handlers and frees the descriptors."""
        if self.wake_reader is not None:
            signal.set_wakeup_fd(-1)
            for number in self.signals:
                signal.signal(number, signal.SIG_DFL)
            self.wake_reader.close()
            self.wake_writer.close()
        self.selector.close()
