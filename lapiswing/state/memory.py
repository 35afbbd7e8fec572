"""Between the core, the operators' acts and the store. Without a store (`engine` None) nothing is remembered, as said in the
settings; with one that can't write, calls with a key are pushed back, unless the settings say that they go on."""

import msgspec
import orjson

from lapiswing.chat import Assembler
from lapiswing.state import records


class Kept:
    """A whole answer that was remembered; looks as `gateway.core.Answer` to those who play it again."""

    def __init__(self, payloads):
        self.assembler, self.events, self.size = Assembler(), [], sum(map(len, payloads))
        for payload in payloads:
            value = orjson.loads(payload)
            self.assembler.add(value)
            self.events.append(([value], [payload]))


class Memory:
    def __init__(self, engine, unix_ms, to_us, answer_bytes=65536, go_on=False):
        """`unix_ms()` is now; `to_us(unix_ms)` the loop's time."""
        self.engine, self.unix_ms, self.to_us, self.answer_bytes, self.go_on = engine, unix_ms, to_us, answer_bytes, go_on
        self.counts = {"intents": 0, "intents lost": 0, "restored keys": 0, "unreadable": 0, "not taken": 0}

    def needs_record(self, entry):
        """Whether this call must be put down before it runs: a repeat that is harmless anywhere need not be known."""
        return self.engine is not None and entry is not None and entry.wide != "always"

    def can_accept(self, entry):
        """-> False: it can't be put down, so it is not taken."""
        if not self.needs_record(entry) or self.go_on or self.engine.mode in ("good", "full") and not self.engine.why:
            return True
        if self.engine.mode == "full" and self.engine.wall_clock_ms() >= self.engine.retry_at_ms:
            return True  # this one finds out whether there is room again
        self.counts["not taken"] += 1
        return False

    def record_intent(self, entry):
        """Puts it down. `entry.durable` is then None, and a list of those who wait for it until then."""
        now = self.unix_ms()
        # A further try of a call in doubt: boxes drop its repeats for a window from the first try on, not from this one.
        entry.durable, entry.noted_ms = [], now if entry.noted_ms is None else entry.noted_ms
        value, ends = records.intent(entry, entry.noted_ms, now)
        self.counts["intents"] += 1
        self.engine.put([(records.key_name(entry.key), value, ends)], lambda why: self.noted(entry, why))

    def noted(self, entry, why):
        waiting, entry.durable = entry.durable, None
        if why is not None:
            self.counts["intents lost"] += 1
            if self.go_on:
                why = None
            entry.lost = why
        else:
            self.engine.why = None
        for tell in waiting or ():
            tell(why)

    def when_recorded(self, entry, tell):
        """`tell(why)` once its intent is on the disk (at once where it is): None, or why it can't be."""
        if entry is None or not self.needs_record(entry) or entry.durable is None:
            return tell(entry.lost if entry is not None else None)
        entry.durable.append(tell)

    def record_outcome(self, entry, how, answer):
        """`how`: done, doubt or free (it never ran)."""
        if not self.needs_record(entry) or entry.noted_ms is None:
            return
        name, now = records.key_name(entry.key), self.unix_ms()
        if how == "free":
            self.engine.put([(name, None, 0)])
            return
        payloads = None
        if how == "done" and answer is not None and answer.events is not None and answer.size <= self.answer_bytes:
            payloads = [p for _, some in answer.events for p in some]
        value, ends = records.outcome(entry, records.DONE if how == "done" else records.DOUBT, entry.noted_ms, now, payloads)
        self.engine.put([(name, value, ends)])

    def record_drain(self, box, draining, done):
        self.put(b"d/" + box.encode(), b"1" if draining else None, 0, done)

    def record_cap(self, tenant, rps, until_unix_ms, done):
        value = msgspec.msgpack.encode(records.CapRecord(float(rps), until_unix_ms)) if rps is not None else None
        self.put(b"c/" + tenant.encode(), value, until_unix_ms if value else 0, done)

    def save_learned_state(self, figures):
        """Puts down what the decisions learnt; lost without harm."""
        if self.engine is not None and self.engine.mode == "good":
            self.engine.put([(records.LEARNT, records.learnt(figures, self.unix_ms()), 0)], lambda why: None)

    def put(self, name, value, expires, done):
        """`done(why)`; at once where nothing is remembered."""
        if self.engine is None:
            return done(None)
        self.engine.put([(name, value, expires)], done)

    def restore(self, repeats, membership, caps, tenants):
        """Tells what was remembered to those who decide by it, before the first list of boxes."""
        if self.engine is None:
            return None
        now = self.unix_ms()
        rows = ((k, self.engine.value_of(k, e), e[3]) for k, e in self.engine.index.range(b"", None, self.engine.now_ms()))
        found = records.restore(rows, now)
        for key, state, fingerprint, window_us, wide, sent, ends, answer in found.keys:
            entry = repeats.restore(
                key,
                fingerprint,
                window_us,
                wide,
                "done" if state == records.DONE else "doubted",
                self.to_us(sent),
                self.to_us(ends),
                Kept(answer) if answer else None,
            )
            if entry is not None:
                entry.noted_ms = sent
        membership.operator_drains |= set(found.drains)
        for tenant, rps, until in found.caps:
            if tenant in tenants:
                caps.put(self.to_us(now), tenants.index(tenant), rps, (until - now) * 1000)
        self.counts["restored keys"], self.counts["unreadable"] = len(found.keys), found.unreadable
        return found
