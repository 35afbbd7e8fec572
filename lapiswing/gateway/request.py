"""A request that is open in the core: what its client asked for, its attempts, and its answer so far. No I/O."""

from typing import Any, NamedTuple

from lapiswing.chat import Assembler
from lapiswing.gateway.guards import History
from lapiswing.routing.stream_progress import StreamProgress


class Spec(NamedTuple):
    """A call as the router sees it, with its parsed body."""

    group: int
    tenant: int
    call: Any
    tokens: int
    expires_us: int
    session: str | None
    prefix: str | None
    prefix_tokens: int
    max_out: int
    key: str | None  # idempotency key, prefixed with tenant and request class
    fingerprint: bytes
    entry: Any = None  # of `admission.repeats`, if the call has a key
    rid: Any = None  # request id, if the front's protocol has one
    bits: int = 0  # flags of the router's `req` event
    size: int = 0  # bytes that are kept of the call while its request is known


class Answer:
    """The answer so far: for the listener of a whole answer, for resuming a broken stream elsewhere and, with an
    idempotency key (`keep`), for repeats of the call that join it or get it again."""

    def __init__(self, keep):
        self.assembler, self.events, self.size = Assembler(), [] if keep else None, 0

    def add(self, values, payloads):
        """Adds events."""
        for value in values:
            self.assembler.add(value)
        if self.events is not None:
            self.events.append((values, payloads))
            self.size += sum(map(len, payloads))


class OpenAttempt:
    """An attempt without an outcome yet. `handle` is the engine's object for it, `stage` is read, write or direct (both in
    one), and `progress` that of its stream."""

    __slots__ = ("handle", "server", "stage", "sent_us", "timer", "progress")

    def __init__(self, server, stage, sent_us):
        self.server, self.stage, self.sent_us = server, stage, sent_us
        self.handle = self.timer = None
        self.progress = StreamProgress(sent_us)


class Req:
    """An open request: its listeners, its attempts by number and the answer so far. `state` is what a server holds for it
    after a read: (server, transfer parameters, name, time of repeating the read in us or None). `answering_no` is the number
    of the attempt that has begun to answer."""

    def __init__(self, number, spec, now_us):
        self.number, self.spec, self.accepted_us = number, spec, now_us
        self.rid = number if spec.rid is None else spec.rid
        self.raw, self.tokens, self.expires_us = spec.call.raw, spec.tokens, spec.expires_us
        self.listeners, self.attempts, self.attempts_sent, self.state = [], {}, 0, None
        self.left = None  # server that may hold a state which no response named
        self.answering_no, self.streaming, self.over, self.resumes = None, False, False, 0
        self.answer = Answer(spec.key is not None)
        self.paused = False
        self.first_token_us = self.backstop_timer = None
        self.held_since_us = None  # since when a state is held with no attempt in progress
        self.guard_history = History()  # for the run-time checks of `guards`
        self.attempt_history, self.tokens_before = [], 0  # for the log; tokens written before the last resumption


class PendingHandle:
    """Handle of an attempt that waits for its intent to be recorded."""

    report = answer = why = None
    unsent, partly_sent = True, False

    def __init__(self, name):
        self.name, self.over = name, False

    def cancel(self):
        self.over = True

    def pause(self):
        pass

    poll = resume = pause


class AttemptListener:
    """Owner of one attempt at the engine: passes its events to the core."""

    __slots__ = ("core", "req", "rid", "number", "attempt")

    def __init__(self, core, req, rid, number, attempt):
        self.core, self.req, self.rid, self.number, self.attempt = core, req, rid, number, attempt

    def on_first(self, handle):
        self.core.on_first(self.req, self.rid, self.number, self.attempt)

    def on_events(self, handle, values, payloads):
        self.core.on_events(self.req, self.rid, self.number, self.attempt, values, payloads)

    def on_outcome(self, handle, code, remark, report):
        self.core.attempt_ended(self.req, self.rid, self.number, self.attempt, code, remark, report)
