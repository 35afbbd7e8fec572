"""The host of one Router. It owns every request from parsing in a front to the final answer, carries out the router's
decisions on it and reports the results to the router. It decides nothing about a request itself. What it does unasked are
the consequences that the router's interface assigns to the host: the first attempt that begins to answer is passed to the
client, a request whose begun stream breaks ends (or continues as a new one, see `resume`), and attempts of a request that
has ended are cancelled.

Reads run on prefill servers, writes on decode servers. Servers that do both get one attempt for both.

A front hands in a Spec and a listener:
    on_begin()                 a stream starts
    on_events(values, payloads)    events of the stream, parsed and as bytes
    on_done(answer)            final: done, with the whole answer
    on_server_answer(status, body)    final: done, with a server's response that finds the call at fault
    on_rejected(us)            final: rejected; the client may retry after this time
    on_failed(why)             final: failed, also after a stream has begun
    full                       whether the listener wants no more events for now
    check_client()             checks at once whether the client has gone, and calls `listener_left` then
Exactly one of the final calls is made, by `finish`, which can't run twice for a request."""

import orjson

from lapiswing.admission.caps import Caps
from lapiswing.admission.recent_ids import RecentIds
from lapiswing.gateway import resume
from lapiswing.gateway.guards import NEVER_RAN, Guards, History
from lapiswing.gateway.request import AttemptListener, OpenAttempt, PendingHandle, Req
from lapiswing.gateway.tally import Tally
from lapiswing.loop import address_of
from lapiswing.policy import Router
from lapiswing.state import Memory

MS = 1000
DEFAULT_DRAIN_GRACE_US = 1000 * MS  # during which a draining server may be sent something new, if the settings name no time
MAX_ROUNDS_PER_TURN = 4  # of the router; events that are new after these wait for the next turn of the loop


class Core:
    """Hosts the router: takes calls from fronts, starts and ends attempts, and keeps the server list current."""

    def __init__(
        self, loop, engine, membership, repeats, settings, router_settings, roles, name, seed, log, router=Router, memory=None
    ):
        """`settings`: the checked settings message; `router_settings`: the same for the router; `roles`: read, write or both
        by the number of the kind; `name`: unique to this process, as a prefix of state names."""
        self.loop, self.engine, self.membership, self.repeats, self.logger = loop, engine, membership, repeats, log
        self.settings, self.limits, self.class_settings = settings, settings.limits, settings.group
        self.request_classes = router_settings["groups"]
        self.margin_us, self.load_memory = self.limits.margin_ms * MS, settings.mapping.load_memory
        self.roles, self.name = roles, name
        self.events, self.reqs, self.req_count, self.ended = [], {}, 0, []
        self.kinds = {}  # server -> kind, also of servers that have left the list
        self.departed = set()  # servers that have left the list and whose data is still kept
        self.draining, self.on_idle, self.open, self.log_each_req = False, None, 0, True
        self.open_bytes = 0  # kept of the calls whose requests are known
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
            "out of memory": 0,
        }
        self.memory = memory or Memory(None, None, None)
        self.tally, self.caps, self.on_change = Tally(), Caps(), None
        self.recent_ids = RecentIds()  # of requests that must not run again
        self.round_us = self.rounds = 0
        grace_us = (router_settings.get("rules") or {}).get("stop_sending_within_us") or DEFAULT_DRAIN_GRACE_US
        self.guards = Guards(self.request_classes, grace_us, router_settings["limits"].get("second_copies", True), log)
        self.router = router(seed, router_settings, loop.clock.now_us())
        loop.after.append(self.turn)

    # ---- calls of fronts

    def submit(self, spec, listener):
        """Takes a call. Returns its Req, or None if `listener` was answered at once without one."""
        now = self.loop.clock.now_us()
        if self.draining or self.open >= self.limits.open_reqs:
            return self.reject(listener)
        if self.open_bytes + spec.size > self.limits.open_bytes:
            self.counts["out of memory"] += 1
            return self.reject(listener)
        retry_after_us = self.caps.retry_after_us(now, spec.tenant)
        if retry_after_us is not None:
            self.counts["capped"] += 1
            self.tally.tenant(spec.tenant)["capped"] += 1
            return self.reject(listener, retry_after_us)
        if spec.key is not None:
            request_class = self.request_classes[spec.group]
            repeat_safety = {"replayable": "always", "keyed": "boxes" if request_class.repeat_scope == "all" else ""}.get(
                request_class.effect, ""
            )
            result, entry, latest_us = self.repeats.look_up(
                now, spec.key, spec.fingerprint, request_class.repeat_window_us, repeat_safety
            )
            if result == "full":
                return self.reject(listener)
            if result == "conflict":
                self.counts["not taken"] += 1
                listener.on_conflict()
                return None
            if result == "doubt":
                self.counts["not taken"] += 1
                listener.on_failed("An earlier try with this key may have had its effect, and it can't be known.")
                return None
            if result == "replay":
                self.counts["replayed"] += 1
                return self.replay(entry.owner, listener)
            if result == "join":
                self.counts["joined"] += 1
                return self.join(entry.owner, spec, listener)
            if latest_us is not None:
                spec = spec._replace(expires_us=min(spec.expires_us, latest_us))
            spec = spec._replace(entry=entry)
            if not self.memory.can_accept(entry):
                self.repeats.mark_never_ran(entry)
                return self.reject(listener)
            if self.memory.needs_record(entry):
                self.memory.record_intent(entry)  # written to the disk while the prompt is read
        self.req_count += 1
        req = Req(self.req_count, spec, now)
        if spec.entry is not None:
            spec.entry.owner = req
        req.listeners.append(listener)
        self.reqs[req.rid] = req
        self.counts["taken"] += 1
        self.open += 1
        self.open_bytes += spec.size
        tenant = self.tally.tenant(spec.tenant)
        tenant["taken"] += 1
        tenant["open"] += 1
        self.enqueue(req, 2 if spec.key is not None and spec.entry.sent_us is not None else spec.bits)
        return req

    def enqueue(self, req, bits):
        """Sets the backstop timer of a request and passes the request to the router."""
        spec = req.spec
        # The router answers earlier than this. The backstop protects the client from a fault in the router. It would do
        # harm only if the router could still answer in time, which the margin rules out.
        req.backstop_timer = self.loop.call_at(req.expires_us - self.margin_us // 3, self.backstop_due, req)
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

    def reject(self, listener, retry_after_us=None):
        """Rejects a call that has no Req."""
        self.counts["not taken"] += 1
        max_us = self.limits.max_come_back_ms * MS
        listener.on_rejected(max_us if retry_after_us is None else min(max_us, retry_after_us))

    def replay(self, answer, listener):
        """Gives `listener` the recorded answer to an earlier call with the same key."""
        if isinstance(answer, tuple):
            listener.on_server_answer(*answer)
            return None
        listener.on_begin()
        for values, payloads in answer.events:
            listener.on_events(values, payloads)
        listener.on_done(answer)
        return None

    def join(self, req, spec, listener):
        """Adds `listener` to the open request with the same key."""
        if req.streaming:
            listener.on_begin()
            for values, payloads in req.answer.events:
                listener.on_events(values, payloads)
        else:
            self.loop.call_at(spec.expires_us - self.margin_us, self.joiner_timed_out, req, listener)
        req.listeners.append(listener)
        return req

    def joiner_timed_out(self, req, listener):
        """Ends a joined call whose deadline comes before the first token of the request that it joined."""
        if listener in req.listeners and not req.streaming and not req.over:
            req.listeners.remove(listener)
            listener.on_failed("The first try with this key still runs.")
            self.after_listener_left(req)

    def listener_left(self, req, listener):
        """The client of `listener` has gone."""
        if req.over or listener not in req.listeners:
            return
        req.listeners.remove(listener)
        self.after_listener_left(req)

    def after_listener_left(self, req):
        """Ends a request without listeners as left by its client."""
        if req.listeners or req.over:
            self.update_flow(req)
            return
        self.counts["left"] += 1
        self.end(req, "left", None)
        self.events.append(("client_left", req.rid))
        # Attempts that are not sent yet are not sent any more, also if the settings forbid cancelling sent ones.
        for number in [n for n, attempt in req.attempts.items() if attempt.handle is not None and attempt.handle.unsent]:
            self.cancel_attempt(req, number, "moot")
        if req.answering_no is not None:
            self.cancel_attempt(req, req.answering_no, "cancelled")

    def listener_ready(self, req):
        """A listener that was full takes events again."""
        self.update_flow(req)

    def update_flow(self, req):
        """Reads from the server only while some listener takes events: a slow client slows its server, and memory stays
        bounded."""
        full = bool(req.listeners) and all(listener.full for listener in req.listeners)
        attempt = req.attempts.get(req.answering_no)
        if full != req.paused and attempt is not None and attempt.handle is not None:
            req.paused = full
            now = self.loop.clock.now_us()
            attempt.progress.pause(now) if full else attempt.progress.resume(now)
            attempt.handle.pause() if full else attempt.handle.resume()

    # ---- rounds of the router

    def turn(self):
        """Runs after each turn of the loop: passes new events to the router and cleans up requests that have ended."""
        for _ in range(MAX_ROUNDS_PER_TURN):
            if not self.events:
                break
            events, self.events = iter(self.events), []
            now = self.loop.clock.now_us()
            try:
                self.router.round(now, events, self)
            except Exception as error:
                # A fault in the router must not stop the gateway: backstops still answer each request. The events after
                # the one that failed are passed in the next round, as otherwise a server list could be lost.
                self.counts["faults"] += 1
                self.events[:0] = events
                self.logger.error("fault in the decisions", why=f"{type(error).__name__}: {error}", exc_info=True)
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
                    self.release(req.rid)  # in case the router forgot to; usually nothing is held
                    if self.reqs.pop(req.rid, None) is not None:
                        self.open_bytes -= req.spec.size
            self.ended = [req for req in self.ended if req.rid in self.reqs]
            if self.draining and not self.reqs and self.on_idle:
                self.on_idle()

    # ---- the router's Writer

    def forward(self, rid, server, timeout_us, up_us=None):
        """Starts an attempt. It ends at once as `moot` if it must not be sent any more."""
        req = self.reqs.get(rid)
        if req is not None:
            # Avoids an attempt for a client that left while the router decided. Costs a read of each client's socket.
            for listener in list(req.listeners):
                listener.check_client()
        if req is None or req.over:
            self.events.append(("outcome", rid, req.attempts_sent if req else 0, server, "moot", 0, True, None, None))
            if req:
                req.attempts_sent += 1
            return
        number, now = req.attempts_sent, self.loop.clock.now_us()
        req.attempts_sent += 1
        if now >= req.expires_us:  # the process was suspended after the router read its clock
            self.events.append(("outcome", rid, number, server, "moot", 0, False, None, None))
            return
        role = self.roles[self.kinds[server]]
        stage = "write" if req.state else "read" if role == "read" else "direct"
        location = self.location_of(server)
        if not self.guards.may_send(req, req.guard_history, req.spec.group, server, location, stage != "read", now):
            self.events.append(("outcome", rid, number, server, "moot", 0, False, None, None))
            return
        self.guards.attempt_sent(req.guard_history, number, location, stage != "read", now)
        attempt = req.attempts[number] = OpenAttempt(server, stage, now)
        self.counts["forwards"] += 1
        self.tally.attempt_sent(server)
        req.held_since_us = None
        spec = req.spec
        key = None
        if stage != "read" and self.request_classes[spec.group].effect == "keyed":
            # A call without a key gets one, so that servers drop its further attempts as repeats.
            key = (spec.key or f"{self.name}.{req.number}").encode()
        name = self.engine.state_name(self.name, req.rid, number)
        params, read_us = (req.state[1], req.state[3]) if req.state else (None, None)
        # A call that must not run twice gets a new connection: if the server closes a kept one in this instant, it can't
        # be told whether the call ran. So does an attempt while a server may hold a state of an earlier one: a kept connection
        # may have fallen silent, and what never arrives does not stop the state's time.
        must_not_repeat = stage != "read" and self.request_classes[spec.group].effect == "non-replayable"
        new_connection = must_not_repeat or req.left is not None
        owner = AttemptListener(self, req, req.rid, number, attempt)
        attempt.timer = self.loop.call_at(
            min(now + timeout_us, req.expires_us - self.margin_us // 2), self.attempt_timed_out, req, req.rid, number
        )

        def send():
            if spec.entry is not None and stage != "read":
                self.repeats.mark_sent(spec.entry, self.loop.clock.now_us())
            attempt.handle = self.engine.start_attempt(
                owner,
                server,
                stage,
                req.raw,
                params,
                name,
                key,
                new_connection,
                read_us,
                attempt.timer.due_us - self.loop.clock.now_us(),
                None if up_us is None else now + up_us - self.loop.clock.now_us(),
            )

        if stage == "read" or spec.entry is None:
            send()
        else:
            # An attempt that may have an effect is sent only after its intent is on the disk. Otherwise a gateway that is
            # killed would not know of it when the client sends the call again.
            attempt.handle = pending = PendingHandle(name)
            # A state must not stay held while a disk is slow. This fails calls if the disk is always so slow, in which case
            # `when_lost: GO_ON` should be set.
            self.loop.call_later(
                self.settings.rules.let_go_ms * MS // 2,
                lambda: (
                    pending.over
                    or attempt.handle is not pending
                    or self.intent_recorded(req, rid, number, attempt, send, "the disk takes too long")
                ),
            )
            self.memory.when_recorded(spec.entry, lambda why: self.intent_recorded(req, rid, number, attempt, send, why))

    def location_of(self, server):
        """Returns zone and cell of a server, by the list that the router was given."""
        row = self.membership.published.get(server)
        return (row.zone, row.cell) if row is not None else (None, None)

    def intent_recorded(self, req, rid, number, attempt, send, why):
        """Sends an attempt whose intent is on the disk; if there is a reason `why` it is not, the attempt ends unsent."""
        if attempt.handle is None or attempt.handle.over:
            return
        if why is None:
            send()
        else:
            attempt.handle.over = True
            self.logger.error("not sent: it can't be put down", req=req.number, why=why)
            self.attempt_ended(req, rid, number, attempt, "moot", None, None)

    def hold_place(self, rid, server):
        """Asks a server to reserve room for the state of a request."""
        req = self.reqs.get(rid)
        if req is not None and not req.over:
            number = max((n for n, attempt in req.attempts.items() if attempt.stage == "read"), default=0)
            self.engine.hold_place(
                server,
                self.engine.state_name(self.name, rid),
                req.tokens,
                lambda held: self.place_answered(req, rid, server, number, held),
            )

    def place_answered(self, req, rid, server, number, held):
        """Reports the response to a reservation to the router. `held` is None if the server can't tell."""
        if held is not None:
            self.events.append(("place", rid, server, number, held))
        if held is not False and self.engine.states_named_by_req and req.rid == rid:
            req.left = server
            self.schedule_cleanup(req)

    def release(self, rid):
        """Releases the state that is held for a request."""
        req = self.reqs.get(rid)
        if req is not None and self.engine.states_named_by_req and not req.over:
            # The state of the request's next read has the same name and would be released too. `turn` releases it once no
            # attempt is in progress.
            if req.state is not None:
                req.left, req.state = req.state[0], None
            return
        if req is not None and (req.state is not None or req.left is not None and not req.attempts):
            server, name = (req.state[0], req.state[2]) if req.state else (req.left, self.engine.state_name(self.name, rid))
            self.engine.release(server, name)
            req.state = req.left = None
            self.schedule_cleanup(req)

    def release_unclaimed(self, rid):
        """Releases states that no attempt waits for. Only where the states of a request share its name."""
        req = self.reqs.get(rid)
        if req is not None and req.state is not None and self.engine.states_named_by_req:
            self.engine.release(req.state[0], req.state[2])

    def retract(self, rid, number):
        """Cancels an attempt that has not begun to answer."""
        req = self.reqs.get(rid)
        if req is not None and number != req.answering_no:
            self.cancel_attempt(req, number, "cancelled")

    def move(self, rid):
        """Cancels the attempt that answers, so that the stream continues elsewhere."""
        req = self.reqs.get(rid)
        if req is not None and req.answering_no is not None:
            attempt = req.attempts[req.answering_no]
            attempt.handle.cancel()
            self.attempt_ended(req, rid, req.answering_no, attempt, "cancelled", None, None)

    def push_back(self, rid, retry_after_us):
        """Rejects a request."""
        req = self.reqs.get(rid)
        if req is not None:
            self.finish(req, "pushed back", retry_after_us)

    def abort(self, rid):
        """Fails a request."""
        req = self.reqs.get(rid)
        if req is not None:
            self.finish(req, "aborted", None)

    def timer(self, after_us, token):
        """Sets a timer, which comes back as a `timer` event."""
        self.loop.call_later(after_us, self.timer_fired, token)

    def timer_fired(self, token):
        self.events.append(("timer", token))

    def probe(self, server):
        """Asks a server for its load; the response comes as a `probed` event."""
        sent_us = self.loop.clock.now_us()
        self.engine.probe(
            server, lambda code, report: self.events.append(("probed", server, code, self.loop.clock.now_us() - sent_us, report))
        )

    def close(self, server):
        """Closes the idle connections to a server."""
        self.engine.pool.close_idle(address_of(server))

    def tell(self, peer, payload):
        pass  # gateways share nothing; see docs/ROADMAP.md

    on_list_wanted = None

    def watch(self, active):
        """The router wants to be told of changes of the server list: reads the list at once."""
        if active:
            self.get_list()

    def get_list(self):
        """Has the server list read again."""
        if self.on_list_wanted:
            self.on_list_wanted()

    def log(self, text):
        """Logs a change of the router's mode."""
        self.logger.info("mode", text=text)
        self.notify_change("mode", text=text)

    def notify_change(self, kind, /, **fields):
        """Reports a change to the feed of the admin interface."""
        if self.on_change is not None:
            self.on_change(kind, **fields)

    # ---- calls of attempts

    def on_first(self, req, rid, number, attempt):
        """An attempt begins to answer: it becomes the answer, and the other attempts are cancelled."""
        if req.rid != rid:
            return attempt.handle.cancel()
        if req.over or req.answering_no is not None:
            return self.cancel_attempt(req, number, "cancelled")  # another attempt was first
        now = self.loop.clock.now_us()
        req.answering_no = number
        attempt.progress.record_events(attempt.handle.event_count, now)
        attempt.timer.cancel()
        class_settings = self.class_settings[req.spec.group]
        attempt.timer = self.loop.call_later(class_settings.stream_idle_ms * MS, self.check_idle, req, rid, number)
        req.backstop_timer.cancel()
        if attempt.stage != "write" and req.state is not None:
            req.left = req.state[0]
        req.state = None  # the writer has fetched it
        req.attempt_history.append(f"{attempt.stage} {attempt.server} first {(now - attempt.sent_us) // MS}")
        self.tally.attempt_began(attempt.server, now - attempt.sent_us)
        self.events.append(("first", rid, attempt.server, now - attempt.sent_us, number))
        for other in [n for n in req.attempts if n != number]:
            self.cancel_attempt(req, other, "cancelled")
        if not req.streaming:
            req.streaming, req.first_token_us = True, now
            self.tally.first_token.add(now - req.accepted_us)
            for listener in list(req.listeners):
                listener.on_begin()

    def on_events(self, req, rid, number, attempt, values, payloads):
        """Passes events of the answering attempt to the listeners."""
        if req.over:
            return
        if req.resumes:
            values = [
                value
                for value in (resume.as_continued(value, req.answer.assembler, req.tokens_before) for value in values)
                if value
            ]
            if not values:
                return
            payloads = [orjson.dumps(value) for value in values]
        attempt.progress.record_events(attempt.handle.event_count, self.loop.clock.now_us())
        req.answer.add(values, payloads)
        full = True
        for listener in req.listeners[:]:
            listener.on_events(values, payloads)
            full = full and listener.full
        if full or req.paused:
            self.update_flow(req)

    def attempt_timed_out(self, req, rid, number):
        """Cancels an attempt that has not begun to answer within its time."""
        self.poll_attempt(req, rid, number)
        attempt = req.attempts.get(number) if req.rid == rid else None
        if attempt is not None and number != req.answering_no:
            # A server that has not been given the whole request can't have run it, nor can it after the connection is closed.
            self.cancel_attempt(req, number, "unreachable" if attempt.handle.partly_sent else "timed_out")

    def check_idle(self, req, rid, number):
        """Cancels a begun stream that has brought no event for too long. While its client takes nothing the time stands still."""
        self.poll_attempt(req, rid, number)
        attempt = req.attempts.get(number) if req.rid == rid else None
        if attempt is None:
            return
        idle_us = self.class_settings[req.spec.group].stream_idle_ms * MS
        left_us = idle_us - attempt.progress.silent_us(self.loop.clock.now_us())
        if left_us <= 0:
            return self.cancel_attempt(req, number, "timed_out")
        attempt.timer = self.loop.call_later(left_us, self.check_idle, req, rid, number)

    @staticmethod
    def poll_attempt(req, rid, number):
        """Takes what has arrived for an attempt by now, which a long turn of the loop may have left unread."""
        attempt = req.attempts.get(number) if req.rid == rid else None
        if attempt is not None:
            attempt.handle.poll()

    def cancel_attempt(self, req, number, code):
        """Cancels an attempt with the outcome `code`."""
        attempt = req.attempts.get(number)
        if attempt is not None:
            attempt.handle.cancel()
            self.attempt_ended(req, req.rid, number, attempt, code, None, attempt.handle.report)

    def attempt_ended(self, req, rid, number, attempt, code, remark, report):
        """Ends an attempt and reports its outcome. Every attempt ends here."""
        if req.rid != rid or req.attempts.pop(number, None) is None:
            return
        attempt.timer.cancel()
        self.guards.attempt_ended(req.guard_history, number, code)
        now = self.loop.clock.now_us()
        handle, answering = attempt.handle, number == req.answering_no
        latency_us = now - attempt.sent_us
        why = f" ({handle.why})" if handle.why and code not in ("done", "read") else ""
        req.attempt_history.append(f"{attempt.stage} {attempt.server} {code} {latency_us // MS}{why}")
        self.tally.attempt_ended(attempt.server, attempt.stage, code, latency_us, report)
        if code == "read":
            # How long the read would take again. A read of which most was cached gives no estimate.
            uncached_tokens = req.tokens - (handle.cached or 0)
            repeat_us = latency_us * req.tokens // uncached_tokens if uncached_tokens * 4 > req.tokens else None
            req.state = (attempt.server, handle.params, handle.name, repeat_us)
        if req.state is not None and not req.attempts:
            req.held_since_us = now
        elif attempt.stage == "read" and code not in NEVER_RAN:
            # The read may have left a state that nothing else will release. Where states have the name of their request, a
            # release drops all of them, so it has to wait until no attempt of the request is in progress.
            if self.engine.states_named_by_req:
                req.left = attempt.server
            else:
                self.engine.release(attempt.server, handle.name)
        if code == "full" and remark == 1:
            # The writer could not fetch the state, perhaps because the server that still holds it hangs.
            self.release(rid)
        ended = req.over or answering or code == "done"
        if report is not None and self.load_memory in report:
            report = {**report, "held": report[self.load_memory]}
        self.events.append(("outcome", rid, number, attempt.server, code, latency_us, ended, remark, report))
        if report is not None and "draining" in report:
            self.apply_membership(self.membership.set_reported_draining(attempt.server, report["draining"] > 0))
        if req.over:
            self.schedule_cleanup(req)
        elif code == "done":
            self.finish(req, "done", handle.answer)
        elif answering:
            self.stream_broken(req, attempt, code)
        attempt.handle = None  # the handle refers to its owner: this leaves no reference cycle

    def stream_broken(self, req, attempt, code):
        """A begun stream broke, with which the request has ended for the router. The rest is asked for as a new request if
        that is allowed, else the request fails."""
        self.log_broken_stream(req, attempt, code)
        class_settings = self.class_settings[req.spec.group]
        if not self.draining and resume.may_resume(
            self.request_classes[req.spec.group], class_settings.resume, req.resumes, self.limits.resumes, req.answer.assembler
        ):
            self.reqs.pop(req.rid)
            self.req_count += 1
            self.counts["resumed"] += 1
            req.rid, req.resumes, req.answering_no, req.attempts_sent, req.state, req.paused = (
                self.req_count,
                req.resumes + 1,
                None,
                0,
                None,
                False,
            )
            req.guard_history = History()
            req.tokens_before = req.answer.assembler.tokens
            req.raw = resume.continuation_of(req.spec.call.raw, req.answer.assembler.content(), req.tokens_before)
            req.tokens = req.spec.tokens + req.tokens_before
            req.expires_us = self.loop.clock.now_us() + class_settings.deadline_ms * MS
            self.reqs[req.rid] = req
            self.enqueue(req, 16)
        else:
            self.finish(req, "aborted", f"The stream from the model server broke off ({code}).")

    def log_broken_stream(self, req, attempt, code):
        """Logs why a begun stream did not come to its end, and what it brought last."""
        now, handle = self.loop.clock.now_us(), attempt.handle
        self.logger.warning(
            "stream broken",
            req=req.rid,
            server=attempt.server,
            code=code,
            why=handle.why,
            ms=(now - attempt.sent_us) // MS,
            silent_ms=attempt.progress.silent_us(now) // MS,
            events=handle.event_count,
            bytes=handle.received_bytes,
            paused=req.paused,
        )

    def backstop_due(self, req):
        """Answers a request that the router has not answered in time."""
        if not req.over and req.answering_no is None:
            self.turn()  # events of this turn go to the router first: it may have a better answer
        if not req.over and req.answering_no is None:
            self.counts["backstop"] += 1
            self.logger.error("backstop", req=req.number, trail=req.attempt_history)
            rid = req.rid
            self.finish(req, "aborted", "No answer in time.")
            self.events.append(("client_left", rid))

    # ---- ending requests

    def finish(self, req, result, detail):
        """Gives the final answer. `result` is done, pushed back (rejected) or aborted (failed); `detail` is a server's response,
        the time in us after which the client may retry, or a reason. It can't run twice, as `end` closes the request
        first."""
        if not self.end(req, result, detail):
            return
        listeners, req.listeners = req.listeners, []
        for listener in listeners:
            if result == "done" and detail is None:
                listener.on_done(req.answer)
            elif result == "done":
                listener.on_server_answer(*detail)
            elif result == "pushed back" and not req.streaming:
                listener.on_rejected(detail)
            else:
                listener.on_failed(detail)

    def end(self, req, result, detail):
        """Closes a request: counts, logs, records the result and cancels its attempts. Returns False if it was closed."""
        if req.over:
            return False
        req.over = True
        req.backstop_timer.cancel()
        if req.guard_history.may_have_run and self.request_classes[req.spec.group].effect != "replayable":
            self.recent_ids.add(req.rid)
        now = self.loop.clock.now_us()
        self.open -= 1
        tenant = self.tally.tenant(req.spec.tenant)
        tenant["open"] -= 1
        tenant[result] += 1
        tenant["tokens"] += req.answer.assembler.tokens
        if result in self.counts and result != "left":
            self.counts[result] += 1
        entry = req.spec.entry
        if entry is not None:
            if result == "done":
                self.repeats.mark_done(entry, now, detail or req.answer, req.answer.size if detail is None else len(detail[1]))
                self.memory.record_outcome(entry, "done", req.answer if detail is None else None)
            else:
                if result == "pushed back" and not req.streaming:
                    self.repeats.mark_never_ran(entry)
                else:
                    self.repeats.mark_in_doubt(entry, now)
                self.memory.record_outcome(entry, "doubt" if entry.state == "doubted" else "free", None)
        spec = req.spec
        if self.log_each_req:
            self.logger.info(
                "req",
                req=req.number,
                end=result,
                group=self.request_classes[spec.group].name,
                tenant=spec.tenant,
                prompt=spec.tokens,
                tokens=req.answer.assembler.tokens,
                first_ms=(req.first_token_us - req.accepted_us) // MS if req.first_token_us else None,
                ms=(now - req.accepted_us) // MS,
                forwards=len([item for item in req.attempt_history if " first " not in item]),
                resumes=req.resumes or None,
                trail="; ".join(req.attempt_history),
                why=detail if isinstance(detail, str) else None,
            )
        elif result in ("aborted", "pushed back"):
            self.logger.info(
                "not served",
                req=req.rid,
                end=result,
                ms=(now - req.accepted_us) // MS,
                trail="; ".join(req.attempt_history),
                why=detail if isinstance(detail, str) else None,
            )
        self.ended.append(req)
        for number in [n for n in req.attempts if n != req.answering_no]:
            if result != "left":  # for a client that left, the router cancels what it wants cancelled
                self.cancel_attempt(req, number, "cancelled")
        return True

    def schedule_cleanup(self, req):
        """Has `turn` look again at a request that has ended."""
        if req.over and req not in self.ended:
            self.ended.append(req)

    # ---- membership

    def apply_membership(self, event):
        """Passes a `servers` event of the membership on to the router and all who keep data of servers."""
        if event is None:
            return
        for row in event[2]:
            self.kinds[row.id] = row.kind
            self.tally.server(row.id).listed(row.started_us)
            self.notify_change("box", box=row.id, mode=row.mode, why=self.membership.reason_of(row.id))
        self.events.append(event)
        now = self.loop.clock.now_us()
        self.guards.update_list(event[2], now)
        if event[1] != "update":
            self.guards.mark_gone(self.kinds.keys() - self.membership.published.keys(), now)
        if event[1] != "update" or any(row.mode != "ready" for row in event[2]):
            self.withdraw_unsent()
        if event[1] != "update":
            self.departed = self.kinds.keys() - self.membership.published.keys()
        self.logger.info(
            "boxes",
            kind=event[1],
            ready=sum(row.mode == "ready" for row in self.membership.published.values()),
            rows=[f"{row.id} {row.mode}" for row in event[2]][:20],
        )

    def withdraw_unsent(self):
        """Ends attempts that still wait for a connection to a server that drains or has left, as if the server had refused
        them: they would begin after the grace period. Safe, as it is proved that none of them ran."""
        listed = self.membership.published
        for req in list(self.reqs.values()):
            for number, attempt in list(req.attempts.items()):
                row = listed.get(attempt.server)
                if (row is None or row.mode != "ready") and attempt.handle is not None and attempt.handle.unsent:
                    self.cancel_attempt(req, number, "full")

    def report_own_trouble(self, on):
        """Reports to the router that this machine can open no connection, or can again."""
        self.events.append(("own_trouble", on))

    def forget_departed(self):
        """Drops the data of servers that have left, once their attempts have ended. Runs only after the router was told that
        they have left: until then it may still choose one of them."""
        for server in [server for server in self.departed if not self.tally.server(server).open_attempts]:
            self.departed.remove(server)
            self.guards.unavailable_since_us.pop(server, None)
            del self.kinds[server], self.tally.servers[server]

    def update_servers(self, rows):
        """Takes a whole list of servers."""
        self.apply_membership(self.membership.update_list(rows, self.loop.clock.now_us()))

    def update_records(self, source, rows):
        """Takes all servers that a source of DNS records names now."""
        doubted = self.membership.suspected_sources()
        self.apply_membership(self.membership.update_records(source, rows, self.loop.clock.now_us()))
        for name in self.membership.suspected_sources():
            if name not in doubted:
                self.logger.warning("records doubted", source=name, named=len(rows))
                self.notify_change("gateway", text=f"{name} lost most of its boxes at once and is doubted for now")

    def check_membership(self):
        """Applies changes of the membership that are due by time."""
        self.apply_membership(self.membership.tick(self.loop.clock.now_us()))

    def probe_drained(self):
        """Asks the servers that reported that they drain whether they still do."""
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
        """Takes no more calls. Calls `on_idle()` once no request is open, `limit_us` from now at the latest."""
        self.draining, self.on_idle = True, on_idle
        if not self.reqs:
            return on_idle()
        self.loop.call_later(limit_us, self.abort_remaining)

    def abort_remaining(self):
        """Fails all requests that are still open at the limit."""
        for req in list(self.reqs.values()):
            if not req.over:
                rid = req.rid
                self.finish(req, "aborted", "The gateway stops.")
                if req.answering_no is not None:
                    self.cancel_attempt(req, req.answering_no, "cancelled")
                self.events.append(("client_left", rid))
        self.turn()
        if self.on_idle:
            self.loop.call_later(200 * MS, self.on_idle)  # releases may still be in progress
