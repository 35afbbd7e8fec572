"""Connects the gateway core and the operators' actions to the store. Without a store (`engine` None) nothing is remembered, as
the settings' documentation says; with a store that can't write, calls with an idempotency key are rejected, unless the settings
let them go on."""

import msgspec
import orjson

from lapiswing.chat import Assembler
from lapiswing.state import records


class RestoredAnswer:
    """A complete answer from the store; has the attributes of `gateway.request.Answer` that a replay needs."""

    def __init__(self, payloads):
        self.assembler, self.events, self.size = Assembler(), [], sum(map(len, payloads))
        for payload in payloads:
            value = orjson.loads(payload)
            self.assembler.add(value)
            self.events.append(([value], [payload]))


class Memory:
    """What a gateway remembers across a restart: idempotency keys, drains, caps and what the router has learned."""

    def __init__(self, engine, unix_ms, to_us, answer_bytes=65536, go_on=False):
        """`unix_ms()` is the present Unix time; `to_us(unix_ms)` converts one to the loop's time."""
        self.engine, self.unix_ms, self.to_us, self.answer_bytes, self.go_on = engine, unix_ms, to_us, answer_bytes, go_on
        self.counts = {"intents": 0, "intents lost": 0, "restored keys": 0, "unreadable": 0, "not taken": 0}

    def needs_record(self, entry):
        """Whether this call must be recorded before it runs: not where a repeat is harmless anywhere."""
        return self.engine is not None and entry is not None and entry.wide != "always"

    def can_accept(self, entry):
        """-> False for a call that has to be recorded and can't be."""
        if not self.needs_record(entry) or self.go_on or self.engine.mode in ("good", "full") and not self.engine.why:
            return True
        if self.engine.mode == "full" and self.engine.wall_clock_ms() >= self.engine.retry_at_ms:
            return True  # this call finds out whether the disk has space again
        self.counts["not taken"] += 1
        return False

    def record_intent(self, entry):
        """Records that the call is about to run. Until that is on the disk `entry.waiters` is a list, afterwards None."""
        now_ms = self.unix_ms()
        # Another try of a call in doubt: servers drop its repeats for a window from the first try on, not from this one.
        entry.waiters, entry.recorded_ms = [], now_ms if entry.recorded_ms is None else entry.recorded_ms
        value, expires_ms = records.intent(entry, entry.recorded_ms, now_ms)
        self.counts["intents"] += 1
        self.engine.put([(records.key_name(entry.key), value, expires_ms)], lambda why: self.intent_written(entry, why))

    def intent_written(self, entry, why):
        """`why`: None, or why the intent could not be written."""
        waiters, entry.waiters = entry.waiters, None
        if why is not None:
            self.counts["intents lost"] += 1
            if self.go_on:
                why = None
            entry.write_error = why
        else:
            self.engine.why = None
        for notify in waiters or ():
            notify(why)

    def when_recorded(self, entry, notify):
        """Calls `notify(why)` once the entry's intent is on the disk, at once where it is: None, or why it can't be written."""
        if entry is None or not self.needs_record(entry) or entry.waiters is None:
            return notify(entry.write_error if entry is not None else None)
        entry.waiters.append(notify)

    def record_outcome(self, entry, how, answer):
        """`how`: done, doubt or free (it never ran)."""
        if not self.needs_record(entry) or entry.recorded_ms is None:
            return
        name, now_ms = records.key_name(entry.key), self.unix_ms()
        if how == "free":
            self.engine.put([(name, None, 0)])
            return
        payloads = None
        if how == "done" and answer is not None and answer.events is not None and answer.size <= self.answer_bytes:
            payloads = [p for _, some in answer.events for p in some]
        value, expires_ms = records.outcome(
            entry, records.DONE if how == "done" else records.DOUBT, entry.recorded_ms, now_ms, payloads
        )
        self.engine.put([(name, value, expires_ms)])

    def record_drain(self, server, draining, done):
        """Records an operator's drain of a server, or its end; `done(why)` as in `put`."""
        self.put(b"d/" + server.encode(), b"1" if draining else None, 0, done)

    def record_cap(self, tenant, rps, until_unix_ms, done):
        """Records a cap on a tenant, or with `rps` None its end; `done(why)` as in `put`."""
        value = msgspec.msgpack.encode(records.CapRecord(float(rps), until_unix_ms)) if rps is not None else None
        self.put(b"c/" + tenant.encode(), value, until_unix_ms if value else 0, done)

    def save_learned_state(self, figures):
        """Stores what the router has learned. A failure is ignored: the next process then starts afresh."""
        if self.engine is not None and self.engine.mode == "good":
            self.engine.put([(records.LEARNED_STATE_KEY, records.learned_state(figures, self.unix_ms()), 0)], lambda why: None)

    def put(self, name, value, expires_ms, done):
        """Calls `done(why)` when written, None or why not; at once where nothing is remembered."""
        if self.engine is None:
            return done(None)
        self.engine.put([(name, value, expires_ms)], done)

    def restore(self, repeats, membership, caps, tenants):
        """Restores keys, drains and caps, before the first list of servers. -> records.Restored, None without a store."""
        if self.engine is None:
            return None
        now_ms = self.unix_ms()
        rows = ((k, self.engine.value_of(k, e), e[3]) for k, e in self.engine.index.range(b"", None, self.engine.now_ms()))
        found = records.restore(rows, now_ms)
        for key, state, fingerprint, window_us, wide, sent_ms, ends_ms, answer in found.keys:
            entry = repeats.restore(
                key,
                fingerprint,
                window_us,
                wide,
                "done" if state == records.DONE else "doubted",
                self.to_us(sent_ms),
                self.to_us(ends_ms),
                RestoredAnswer(answer) if answer else None,
            )
            if entry is not None:
                entry.recorded_ms = sent_ms
        membership.operator_drains |= set(found.drains)
        for tenant, rps, until_ms in found.caps:
            if tenant in tenants:
                caps.put(self.to_us(now_ms), tenants.index(tenant), rps, (until_ms - now_ms) * 1000)
        self.counts["restored keys"], self.counts["unreadable"] = len(found.keys), found.unreadable
        return found
