"""The host of one Router. It owns every req from the front's parse to the final answer, carries out what the module
decides and tells it what came of that. It decides nothing about a req itself; what it does unasked are the
consequences that the module's interface gives to the host: the first answer goes to the client, a begun stream that
breaks ends the req (or goes on as a new one, see `resume`), and a forward whose req has ended is taken back.

A front hands in a Spec and a listener:
    on_begin()                 a stream starts; then
    on_events(values, payloads)    events of it, as values and as bytes
    on_done(answer)            final: done; the whole answer
    on_server_answer(status, body)    final: done, with the box's word on a call that it found wrong
    on_rejected(us)         final
    on_failed(why)            final, in a begun stream too
    full                       whether it wants no more for now
    look()                     hears at once whether its client has gone, and then calls `left`
Exactly one of the final ones comes, written by `finish`, which can't run twice."""

from typing import Any, NamedTuple

import orjson

from lapiswing.admission.caps import Caps
from lapiswing.chat import Assembler
from lapiswing.gateway import resume
from lapiswing.gateway.guards import NEVER_RAN, Guards, History
from lapiswing.gateway.tally import Tally
from lapiswing.loop import address_of
from lapiswing.policy import Router
from lapiswing.state import Memory

MS = 1000
GRACE_US = 1000 * MS  # for what is sent to a server that drains, where the settings name none
ROUNDS = 4  # of the Router in one turn; what is still new then waits for the next turn


class Spec(NamedTuple):
    """A call as the decisions see it, and its body."""

    group: int
    tenant: int
    call: Any
    tokens: int
    expires_us: int
    session: str | None
    prefix: str | None
    prefix_tokens: int
    max_out: int
    key: str | None  # idempotency key, made the tenant's own
    fingerprint: bytes
    entry: Any = None  # of `admission.repeats`, where there is a key
    rid: Any = None  # its id, where the front's protocol brings one
    bits: int = 0  # of the module's `req` event


class Answer:
    """What was written so far: for the listener of a whole answer, for what goes on elsewhere, and, where there is an
    idempotency key, for joiners and repeats."""

    def __init__(self, keep):
        self.assembler, self.events, self.size = Assembler(), [] if keep else None, 0

    def add(self, values, payloads):
        for value in values:
            self.assembler.add(value)
        if self.events is not None:
            self.events.append((values, payloads))
            self.size += sum(map(len, payloads))


class Out:
    """A forward that is out, as the core sees it."""

    __slots__ = ("forward", "server", "stage", "sent_us", "timer", "moved_us")

    def __init__(self, server, stage, sent_us):
        self.server, self.stage, self.sent_us = server, stage, sent_us
        self.forward = self.timer = None
        self.moved_us = sent_us


class Req:
    def __init__(self, number, spec, now_us):
        self.number, self.spec, self.accepted_us = number, spec, now_us
        self.rid = number if spec.rid is None else spec.rid
        self.raw, self.tokens, self.expires_us = spec.call.raw, spec.tokens, spec.expires_us
        self.listeners, self.attempts, self.attempts_sent, self.state = [], {}, 0, None
        self.left = None  # a server where a state may be held that no answer named
        self.answering_no, self.streaming, self.over, self.resumes = None, False, False, 0
        self.answer = Answer(spec.key is not None)
        self.paused = False
        self.first_us = self.backstop = None
        self.held_since_us = None  # since when a state is held without a forward being out
        self.history = History()  # for the run-time checks
        self.attempt_history, self.part = [], 0  # for the log line; tokens written before the present part


class Core:
    def __init__(
        self, loop, engine, membership, repeats, settings, router_settings, roles, name, seed, log, router=Router, memory=None
    ):
        """`settings`: the checked message; `roles`: kind number -> read, write or both."""
        self.loop, self.engine, self.membership, self.repeats, self.lines = loop, engine, membership, repeats, log
        self.settings, self.limits, self.groups = settings, settings.limits, settings.group
        self.request_classes = router_settings["groups"]
        self.margin_us, self.load_memory = self.limits.margin_ms * MS, settings.mapping.load_memory
        self.roles, self.name = roles, name
        self.events, self.reqs, self.count, self.ended = [], {}, 0, []
        self.kinds = {}  # box -> kind, also of those that have left the list
        self.departed = set()  # servers that have left the list and are not forgotten yet
        self.draining, self.on_idle, self.open, self.log_each_req = False, None, 0, True
        self.counts = {
            "taken": 0,
            "done": 0,
            "pushed back": 0,
            "aborted": 0,
            "left": 0,
            "joined": 0,
            "replayed": 0,
            "not taken": 0,
            "forwards": 0,
            "resumed": 0,
            "backstop": 0,
            "faults": 0,
            "capped": 0,
        }
        self.memory = memory or Memory(None, None, None)
        self.tally, self.caps, self.on_change = Tally(), Caps(), None
        self.round_us = self.rounds = 0
        grace_us = (router_settings.get("rules") or {}).get("stop_sending_within_us") or GRACE_US
        self.guards = Guards(self.request_classes, grace_us, router_settings["limits"].get("second_copies", True), log)
        self.router = router(seed, router_settings, loop.clock.now_us())
        loop.after.append(self.turn)

    # ---- from fronts

    def submit(self, spec, listener):
        """-> the Req, or None where `listener` was answered at once without one being taken."""
        now = self.loop.clock.now_us()
        if self.draining or self.open >= self.limits.open_reqs:
            return self.refuse(listener)
        stay_us = self.caps.retry_after_us(now, spec.tenant)
        if stay_us is not None:
            self.counts["capped"] += 1
            self.tally.tenant(spec.tenant)["capped"] += 1
            return self.refuse(listener, stay_us)
        if spec.key is not None:
            fact = self.request_classes[spec.group]
            wide = {"replayable": "always", "keyed": "boxes" if fact.repeat_scope == "all" else ""}.get(fact.effect, "")
            what, entry, latest = self.repeats.look_up(now, spec.key, spec.fingerprint, fact.repeat_window_us, wide)
            if what == "full":
                return self.refuse(listener)
            if what == "conflict":
                self.counts["not taken"] += 1
                listener.on_conflict()
                return None
            if what == "doubt":
                self.counts["not taken"] += 1
                listener.on_failed("An earlier try with this key may have had its effect, and it can't be known.")
                return None
            if what == "replay":
                self.counts["replayed"] += 1
                return self.play(entry.owner, listener)
            if what == "join":
                self.counts["joined"] += 1
                return self.join(entry.owner, spec, listener)
            if latest is not None:
                spec = spec._replace(expires_us=min(spec.expires_us, latest))
            spec = spec._replace(entry=entry)
            if not self.memory.can_accept(entry):
                self.repeats.mark_never_ran(entry)
                return self.refuse(listener)
            if self.memory.needs_record(entry):
                self.memory.record_intent(entry)  # on its way to the disk while the req is read
        self.count += 1
        req = Req(self.count, spec, now)
        if spec.entry is not None:
            spec.entry.owner = req
        req.listeners.append(listener)
        self.reqs[req.rid] = req
        self.counts["taken"] += 1
        self.open += 1
        tenant = self.tally.tenant(spec.tenant)
        tenant["taken"] += 1
        tenant["open"] += 1
        self.enqueue(req, 2 if spec.key is not None and spec.entry.sent_us is not None else spec.bits)
        return req

    def enqueue(self, req, bits):
        spec = req.spec
        # The module answers before this; the backstop guards the client against a fault in it. It could harm only
        # where the module would still have been in time, which the margin rules out.
        req.backstop = self.loop.call_at(req.expires_us - self.margin_us // 3, self.backstop_due, req)
        self.events.append(
            (
                "req",
                req.rid,
                req.tokens,
                req.expires_us,
                spec.session,
                spec.prefix,
                spec.prefix_tokens,
                spec.max_out,
                None,
                bits,
                spec.tenant,
                spec.group,
            )
        )

    def refuse(self, listener, stay_us=None):
        self.counts["not taken"] += 1
        most = self.limits.max_come_back_ms * MS
        listener.on_rejected(most if stay_us is None else min(most, stay_us))

    def play(self, answer, listener):
        if isinstance(answer, tuple):
            listener.on_server_answer(*answer)
            return None
        listener.on_begin()
        for values, payloads in answer.events:
            listener.on_events(values, payloads)
        listener.on_done(answer)
        return None

    def join(self, req, spec, listener):
        if req.streaming:
            listener.on_begin()
            for values, payloads in req.answer.events:
                listener.on_events(values, payloads)
        else:
            self.loop.call_at(spec.expires_us - self.margin_us, self.joiner_late, req, listener)
        req.listeners.append(listener)
        return req

    def joiner_late(self, req, listener):
        if listener in req.listeners and not req.streaming and not req.over:
            req.listeners.remove(listener)
            listener.on_failed("The first try with this key still runs.")
            self.nobody_left(req)

    def left(self, req, listener):
        """A listener's client has gone."""
        if req.over or listener not in req.listeners:
            return
        req.listeners.remove(listener)
        self.nobody_left(req)

    def nobody_left(self, req):
        if req.listeners or req.over:
            self.flow(req)
            return
        self.counts["left"] += 1
        self.end(req, "left", None)
        self.events.append(("client_left", req.rid))
        # What was not sent yet is not sent any more, also where the settings let nothing that is out be taken back.
        for number in [n for n, out in req.attempts.items() if out.forward is not None and out.forward.unsent]:
            self.take_back(req, number, "moot")
        if req.answering_no is not None:
            self.take_back(req, req.answering_no, "cancelled")

    def drained(self, req):
        """A listener that was full takes again."""
        self.flow(req)

    def flow(self, req):
        """Reads from the box only while some listener takes: a slow client slows its box, and memory stays bounded."""
        full = bool(req.listeners) and all(x.full for x in req.listeners)
        out = req.attempts.get(req.answering_no)
        if full != req.paused and out is not None and out.forward is not None:
            req.paused = full
            out.moved_us = self.loop.now
            out.forward.pause() if full else out.forward.resume()

    # ---- the Router's turn

    def turn(self):
        for _ in range(ROUNDS):
            if not self.events:
                break
            events, self.events = iter(self.events), []
            now = self.loop.clock.now_us()
            try:
                self.router.round(now, events, self)
            except Exception as problem:
                # A fault in the module must not take the gateway with it: backstops still answer each req, and
                # what came after the event that it failed on is heard in the next round. A list would be lost else.
                self.counts["faults"] += 1
                self.events[:0] = events
                self.lines.error("fault in the decisions", why=f"{type(problem).__name__}: {problem}", exc_info=True)
            self.round_us += self.loop.clock.now_us() - now
            self.rounds += 1
        if self.events:
            self.loop.soon(lambda: None)
            return
        if self.departed:
            self.forget_departed()
        if self.ended:
            for req in self.ended:
                if not req.attempts:
                    self.release(req.rid)  # guards rule 5 against a module that forgot; mostly nothing is held
                    self.reqs.pop(req.rid, None)
            self.ended = [req for req in self.ended if req.rid in self.reqs]
            if self.draining and not self.reqs and self.on_idle:
                self.on_idle()

    # the writer that the module is given

    def forward(self, rid, server, timeout_us, up_us=None):
        req = self.reqs.get(rid)
        if req is not None:
            # Guards against an attempt for a client that went while the decisions took their time. Costs a read.
            for listener in list(req.listeners):
                listener.look()
        if req is None or req.over:
            self.events.append(("outcome", rid, req.attempts_sent if req else 0, server, "moot", 0, True, None, None))
            if req:
                req.attempts_sent += 1
            return
        number, now = req.attempts_sent, self.loop.clock.now_us()
        req.attempts_sent += 1
        if now >= req.expires_us:  # a process that was held up since the decisions read their clock
            self.events.append(("outcome", rid, number, server, "moot", 0, False, None, None))
            return
        role = self.roles[self.kinds[server]]
        stage = "write" if req.state else "read" if role == "read" else "direct"
        place = self.place_of(server)
        if not self.guards.may_send(req, req.history, req.spec.group, server, place, stage != "read", now):
            self.events.append(("outcome", rid, number, server, "moot", 0, False, None, None))
            return
        self.guards.sent(req.history, number, place, stage != "read", now)
        out = req.attempts[number] = Out(server, stage, now)
        self.counts["forwards"] += 1
        self.tally.sent(server)
        req.held_since_us = None
        spec = req.spec
        key = None
        if stage != "read" and self.request_classes[spec.group].effect == "keyed":
            # A call without a key gets one of its own, so that its further forwards are dropped as repeats.
            key = (spec.key or f"{self.name}.{req.number}").encode()
        name = self.engine.state_name(self.name, req.rid, number)
        params, read_us = (req.state[1], req.state[3]) if req.state else (None, None)
        # What can't run twice goes on a new connection: on a kept one that the box closes just now, nobody can tell
        # whether it ran.
        fresh = stage != "read" and self.request_classes[spec.group].effect == "non-replayable"
        owner = AttemptListener(self, req, req.rid, number, out)
        out.timer = self.loop.call_at(
            min(now + timeout_us, req.expires_us - self.margin_us // 2), self.timed_out, req, req.rid, number
        )

        def send():
            if spec.entry is not None and stage != "read":
                self.repeats.mark_sent(spec.entry, self.loop.clock.now_us())
            out.forward = self.engine.start_attempt(
                owner,
                server,
                stage,
                req.raw,
                params,
                name,
                key,
                fresh,
                read_us,
                out.timer.due_us - self.loop.clock.now_us(),
                None if up_us is None else now + up_us - self.loop.clock.now_us(),
            )

        if stage == "read" or spec.entry is None:
            send()
        else:
            # What may have an effect is sent once its intent is on the disk: a gateway that is killed now would else not
            # know of it when its client asks again.
            out.forward = waiting = Waiting(name)
            # Guards rule 5: the state must not stay held while a disk takes its time. Could harm where a disk takes so long all the
            # time, which `when_lost: GO_ON` is for.
            self.loop.call_later(
                self.settings.rules.let_go_ms * MS // 2,
                lambda: (
                    waiting.over
                    or out.forward is not waiting
                    or self.noted(req, rid, number, out, send, "the disk takes too long")
                ),
            )
            self.memory.when_recorded(spec.entry, lambda why: self.noted(req, rid, number, out, send, why))

    def place_of(self, server):
        """Its zone and cell, by the list as the decisions know it."""
        row = self.membership.published.get(server)
        return (row.zone, row.cell) if row is not None else (None, None)

    def noted(self, req, rid, number, out, send, why):
        if out.forward is None or out.forward.over:
            return
        if why is None:
            send()
        else:
            out.forward.over = True
            self.lines.error("not sent: it can't be put down", req=req.number, why=why)
            self.attempt_ended(req, rid, number, out, "moot", None, None)

    def hold_place(self, rid, server):
        req = self.reqs.get(rid)
        if req is not None and not req.over:
            number = max((n for n, o in req.attempts.items() if o.stage == "read"), default=0)
            self.engine.hold_place(
                server,
                self.engine.state_name(self.name, rid),
                req.tokens,
                lambda held: self.place_answered(req, rid, server, number, held),
            )

    def place_answered(self, req, rid, server, number, held):
        """`held`: None where the server does not know."""
        if held is not None:
            self.events.append(("place", rid, server, number, held))
        if held is not False and self.engine.states_named_by_req and req.rid == rid:
            req.left = server
            self.forget(req)

    def release(self, rid):
        req = self.reqs.get(rid)
        if req is not None and self.engine.states_named_by_req and not req.over:
            # It would reach its next read's state too, which has the same name; `turn` sends it once nothing is out.
            if req.state is not None:
                req.left, req.state = req.state[0], None
            return
        if req is not None and (req.state is not None or req.left is not None and not req.attempts):
            server, name = (req.state[0], req.state[2]) if req.state else (req.left, self.engine.state_name(self.name, rid))
            self.engine.release(server, name)
            req.state = req.left = None
            self.forget(req)

    def release_unclaimed(self, rid):
        """Where servers drop by the request's name, and then only what no attempt waits for there."""
        req = self.reqs.get(rid)
        if req is not None and req.state is not None and self.engine.states_named_by_req:
            self.engine.release(req.state[0], req.state[2])

    def retract(self, rid, number):
        req = self.reqs.get(rid)
        if req is not None and number != req.answering_no:
            self.take_back(req, number, "cancelled")

    def move(self, rid):
        req = self.reqs.get(rid)
        if req is not None and req.answering_no is not None:
            out = req.attempts[req.answering_no]
            out.forward.cancel()
            self.attempt_ended(req, rid, req.answering_no, out, "cancelled", None, None)

    def push_back(self, rid, come_back_us):
        req = self.reqs.get(rid)
        if req is not None:
            self.finish(req, "pushed back", come_back_us)

    def abort(self, rid):
        req = self.reqs.get(rid)
        if req is not None:
            self.finish(req, "aborted", None)

    def timer(self, after_us, token):
        self.loop.call_later(after_us, self.rings, token)

    def rings(self, token):
        self.events.append(("timer", token))

    def probe(self, server):
        sent = self.loop.clock.now_us()
        self.engine.probe(
            server, lambda code, report: self.events.append(("probed", server, code, self.loop.clock.now_us() - sent, report))
        )

    def close(self, server):
        self.engine.pool.close_idle(address_of(server))

    def tell(self, peer, payload):
        pass  # gateways share nothing; see docs/ROADMAP.md

    on_list_wanted = None

    def watch(self, active):
        if active:
            self.get_list()

    def get_list(self):
        if self.on_list_wanted:
            self.on_list_wanted()

    def log(self, text):
        self.lines.info("mode", text=text)
        self.changed("mode", text=text)

    def changed(self, kind, /, **fields):
        if self.on_change is not None:
            self.on_change(kind, **fields)

    # ---- from boxes

    def on_first(self, req, rid, number, out):
        if req.rid != rid:
            return out.forward.cancel()
        if req.over or req.answering_no is not None:
            return self.take_back(req, number, "cancelled")  # another one was first
        now = self.loop.clock.now_us()
        req.answering_no, out.moved_us = number, now
        out.timer.cancel()
        group = self.groups[req.spec.group]
        out.timer = self.loop.call_later(group.stream_idle_ms * MS, self.look_idle, req, rid, number)
        req.backstop.cancel()
        if out.stage != "write" and req.state is not None:
            req.left = req.state[0]
        req.state = None  # its writer has fetched it
        req.attempt_history.append(f"{out.stage} {out.server} first {(now - out.sent_us) // MS}")
        self.tally.began(out.server, now - out.sent_us)
        self.events.append(("first", rid, out.server, now - out.sent_us, number))
        for other in [n for n in req.attempts if n != number]:
            self.take_back(req, other, "cancelled")
        if not req.streaming:
            req.streaming, req.first_us = True, now
            self.tally.first_token.add(now - req.accepted_us)
            for listener in list(req.listeners):
                listener.on_begin()

    def on_events(self, req, rid, number, out, values, payloads):
        out.moved_us = self.loop.now
        if req.over:
            return
        if req.resumes:
            values = [v for v in (resume.joined(v, req.answer.assembler, req.part) for v in values) if v]
            if not values:
                return
            payloads = [orjson.dumps(v) for v in values]
        req.answer.add(values, payloads)
        full = True
        for listener in req.listeners[:]:
            listener.on_events(values, payloads)
            full = full and listener.full
        if full or req.paused:
            self.flow(req)

    def timed_out(self, req, rid, number):
        if req.rid == rid and number != req.answering_no:
            self.take_back(req, number, "timed_out")

    def look_idle(self, req, rid, number):
        """A begun stream that brings nothing is broken, unless its own client holds it up."""
        out = req.attempts.get(number) if req.rid == rid else None
        if out is None:
            return
        idle_us = self.groups[req.spec.group].stream_idle_ms * MS
        quiet = 0 if req.paused else self.loop.now - out.moved_us
        if quiet >= idle_us:
            return self.take_back(req, number, "timed_out")
        out.timer = self.loop.call_later(idle_us - quiet, self.look_idle, req, rid, number)

    def take_back(self, req, number, code):
        out = req.attempts.get(number)
        if out is not None:
            out.forward.cancel()
            self.attempt_ended(req, req.rid, number, out, code, None, out.forward.report)

    def attempt_ended(self, req, rid, number, out, code, remark, report):
        """The one place where a forward ends."""
        if req.rid != rid or req.attempts.pop(number, None) is None:
            return
        out.timer.cancel()
        self.guards.ended(req.history, number, code)
        now = self.loop.clock.now_us()
        forward, begun = out.forward, number == req.answering_no
        latency = now - out.sent_us
        req.attempt_history.append(f"{out.stage} {out.server} {code} {latency // MS}")
        self.tally.came(out.server, out.stage, code, latency, report)
        if code == "read":
            # How long it would take again: a read that found most of its text kept does not tell.
            fresh = req.tokens - (forward.cached or 0)
            again_us = latency * req.tokens // fresh if fresh * 4 > req.tokens else None
            req.state = (out.server, forward.params, forward.name, again_us)
        if req.state is not None and not req.attempts:
            req.held_since_us = now
        elif out.stage == "read" and code not in NEVER_RAN:
            # It may have left a state behind that nobody will name again. Where states have their req's name a release
            # drops all of them, so it waits until nothing of the req is out.
            if self.engine.states_named_by_req:
                req.left = out.server
            else:
                self.engine.release(out.server, forward.name)
        if code == "full" and remark == 1:
            # Its writer could not fetch it, which may be because the holder hangs with it still held.
            self.release(rid)
        ended = req.over or begun or code == "done"
        if report is not None and self.load_memory in report:
            report = {**report, "held": report[self.load_memory]}
        self.events.append(("outcome", rid, number, out.server, code, latency, ended, remark, report))
        if report is not None and "draining" in report:
            self.apply_membership(self.membership.set_reported_draining(out.server, report["draining"] > 0))
        if req.over:
            self.forget(req)
        elif code == "done":
            self.finish(req, "done", forward.answer)
        elif begun:
            self.broken(req, code)
        out.forward = None  # a forward knows its owner: no cycle is left behind

    def broken(self, req, code):
        """A begun stream broke; its req is over for the module. The rest goes on as a new one, or it is aborted."""
        group = self.groups[req.spec.group]
        if not self.draining and resume.may_go_on(
            self.request_classes[req.spec.group], group.resume, req.resumes, self.limits.resumes, req.answer.assembler
        ):
            self.reqs.pop(req.rid)
            self.count += 1
            self.counts["resumed"] += 1
            req.rid, req.resumes, req.answering_no, req.attempts_sent, req.state, req.paused = (
                self.count,
                req.resumes + 1,
                None,
                0,
                None,
                False,
            )
            req.history = History()
            req.part = req.answer.assembler.tokens
            req.raw = resume.rest_of(req.spec.call.raw, req.answer.assembler.content(), req.part)
            req.tokens = req.spec.tokens + req.part
            req.expires_us = self.loop.clock.now_us() + group.deadline_ms * MS
            self.reqs[req.rid] = req
            self.enqueue(req, 16)
        else:
            self.finish(req, "aborted", f"The stream from the model server broke off ({code}).")

    def backstop_due(self, req):
        if not req.over and req.answering_no is None:
            self.turn()  # what came up in this very turn is for the decisions first: they may answer better
        if not req.over and req.answering_no is None:
            self.counts["backstop"] += 1
            self.lines.error("backstop", req=req.number, trail=req.attempt_history)
            rid = req.rid
            self.finish(req, "aborted", "No answer in time.")
            self.events.append(("client_left", rid))

    # ---- the end

    def finish(self, req, how, what):
        """The final answer. It can't run twice: `end` closes the req first."""
        if not self.end(req, how, what):
            return
        listeners, req.listeners = req.listeners, []
        for listener in listeners:
            if how == "done" and what is None:
                listener.on_done(req.answer)
            elif how == "done":
                listener.on_server_answer(*what)
            elif how == "pushed back" and not req.streaming:
                listener.on_rejected(what)
            else:
                listener.on_failed(what)

    def end(self, req, how, what):
        if req.over:
            return False
        req.over = True
        req.backstop.cancel()
        now = self.loop.clock.now_us()
        self.open -= 1
        tenant = self.tally.tenant(req.spec.tenant)
        tenant["open"] -= 1
        tenant[how] += 1
        tenant["tokens"] += req.answer.assembler.tokens
        if how in self.counts and how != "left":
            self.counts[how] += 1
        entry = req.spec.entry
        if entry is not None:
            if how == "done":
                self.repeats.mark_done(entry, now, what or req.answer, req.answer.size if what is None else len(what[1]))
                self.memory.record_outcome(entry, "done", req.answer if what is None else None)
            else:
                if how == "pushed back" and not req.streaming:
                    self.repeats.mark_never_ran(entry)
                else:
                    self.repeats.mark_in_doubt(entry, now)
                self.memory.record_outcome(entry, "doubt" if entry.state == "doubted" else "free", None)
        spec = req.spec
        if self.log_each_req:
            self.lines.info(
                "req",
                req=req.number,
                end=how,
                group=self.request_classes[spec.group].name,
                tenant=spec.tenant,
                prompt=spec.tokens,
                tokens=req.answer.assembler.tokens,
                first_ms=(req.first_us - req.accepted_us) // MS if req.first_us else None,
                ms=(now - req.accepted_us) // MS,
                forwards=len([t for t in req.attempt_history if " first " not in t]),
                resumes=req.resumes or None,
                trail="; ".join(req.attempt_history),
                why=what if isinstance(what, str) else None,
            )
        self.ended.append(req)
        for number in [n for n in req.attempts if n != req.answering_no]:
            if how != "left":  # then the module takes back what it wants taken back
                self.take_back(req, number, "cancelled")
        return True

    def forget(self, req):
        if req.over and req not in self.ended:
            self.ended.append(req)

    # ---- membership

    def apply_membership(self, news):
        if news is None:
            return
        for row in news[2]:
            self.kinds[row.id] = row.kind
            self.tally.server(row.id).listed(row.started_us)
            self.changed("box", box=row.id, mode=row.mode, why=self.membership.reason_of(row.id))
        self.events.append(news)
        now = self.loop.clock.now_us()
        self.guards.listed(news[2], now)
        if news[1] != "update":
            self.guards.gone(self.kinds.keys() - self.membership.published.keys(), now)
        if news[1] != "update" or any(row.mode != "ready" for row in news[2]):
            self.withdraw_unsent()
        if news[1] != "update":
            self.departed = self.kinds.keys() - self.membership.published.keys()
        self.lines.info(
            "boxes",
            kind=news[1],
            ready=sum(r.mode == "ready" for r in self.membership.published.values()),
            rows=[f"{r.id} {r.mode}" for r in news[2]][:20],
        )

    def withdraw_unsent(self):
        """Attempts that still wait for their connection to a server that drains or has left are rejected in its place:
        they have not begun, and would begin after the grace. Could harm nothing: each is proved never to have run."""
        told = self.membership.published
        for req in list(self.reqs.values()):
            for number, out in list(req.attempts.items()):
                row = told.get(out.server)
                if (row is None or row.mode != "ready") and out.forward is not None and out.forward.unsent:
                    self.take_back(req, number, "full")

    def report_own_trouble(self, on):
        """This machine can open no connection, or can again: the decisions hear of it."""
        self.events.append(("own_trouble", on))

    def forget_departed(self):
        """Drops what is kept of servers that have left, the others once their attempts have ended. Only once the decisions
        have heard of it: an event before the news may still choose one of them."""
        for server in [server for server in self.departed if not self.tally.server(server).open_attempts]:
            self.departed.remove(server)
            self.guards.off_us.pop(server, None)
            del self.kinds[server], self.tally.servers[server]

    def update_servers(self, rows):
        self.apply_membership(self.membership.update_list(rows, self.loop.clock.now_us()))

    def records(self, source, rows):
        """All that a source of records names now."""
        doubts = self.membership.suspected_sources()
        self.apply_membership(self.membership.update_records(source, rows, self.loop.clock.now_us()))
        for name in self.membership.suspected_sources():
            if name not in doubts:
                self.lines.warning("records doubted", source=name, named=len(rows))
                self.changed("gateway", text=f"{name} lost most of its boxes at once and is doubted for now")

    def look_at_members(self):
        self.apply_membership(self.membership.tick(self.loop.clock.now_us()))

    def ask_drained(self):
        """Boxes that said themselves that they drain: has that ended?"""
        for server in self.membership.servers_reporting_drain():
            self.engine.probe(
                server,
                lambda code, report, server=server: (
                    self.apply_membership(self.membership.set_reported_draining(server, (report or {}).get("draining", 1.0) > 0))
                    if code == "done"
                    else None
                ),
            )

    # ---- draining

    def drain(self, limit_us, on_idle):
        """Takes no more; `on_idle()` once nothing runs, at `limit_us` from now at the latest."""
        self.draining, self.on_idle = True, on_idle
        if not self.reqs:
            return on_idle()
        self.loop.call_later(limit_us, self.cut_off)

    def cut_off(self):
        for req in list(self.reqs.values()):
            if not req.over:
                rid = req.rid
                self.finish(req, "aborted", "The gateway stops.")
                if req.answering_no is not None:
                    self.take_back(req, req.answering_no, "cancelled")
                self.events.append(("client_left", rid))
        self.turn()
        if self.on_idle:
            self.loop.call_later(200 * MS, self.on_idle)  # releases are still on their way


class Waiting:
    """Stands for a forward that is not sent yet."""

    report = answer = None
    unsent = True

    def __init__(self, name):
        self.name, self.over = name, False

    def cancel(self):
        self.over = True

    def pause(self):
        pass

    resume = pause


class AttemptListener:
    """Hears one forward for the core."""

    __slots__ = ("core", "req", "rid", "number", "out")

    def __init__(self, core, req, rid, number, out):
        self.core, self.req, self.rid, self.number, self.out = core, req, rid, number, out

    def on_first(self, forward):
        self.core.on_first(self.req, self.rid, self.number, self.out)

    def on_events(self, forward, values, payloads):
        self.core.on_events(self.req, self.rid, self.number, self.out, values, payloads)

    def on_outcome(self, forward, code, remark, report):
        self.core.attempt_ended(self.req, self.rid, self.number, self.out, code, remark, report)
