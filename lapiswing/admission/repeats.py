"""Decides what to do with a call whose idempotency key may have been seen before. No I/O, no clock.

States of a key:   running -> done      the answer is known and kept, within limits on memory
                   running -> doubted   failed, or its client left: the call may have run
                   running -> (none)    rejected: the call never ran, so the key is free

Result of looking up a key:
    new        nothing is known of it, or a repeat is harmless: the call may run
    join       the first call is still running: both clients get its answer
    replay     the answer is known and is sent again
    conflict   the key was used with another body: an error of the client
    doubt      the call may have run and can't be run again
    full       there is no room for another key: the call is not accepted

`latest_us`, returned with 'new', is by when attempts of the new call have to be answered or given up, so that none of them
arrives where the servers that drop repeats have forgotten the first call. A doubt is kept beyond that window, else a client that
asks later would run the call twice."""

from lapiswing.policy import REPEAT_WINDOW_MARGIN_US

DOUBT_WINDOWS = 12  # how long a doubt is kept, in windows of the request class


class Entry:
    """One idempotency key."""

    __slots__ = (
        "key",
        "fingerprint",
        "state",
        "owner",
        "sent_us",
        "ends_us",
        "window_us",
        "size",
        "wide",
        "waiters",
        "recorded_ms",
        "write_error",
    )

    def __init__(self, key, fingerprint, window_us, wide):
        self.waiters = self.recorded_ms = self.write_error = None  # for `state.memory`: how its intent is recorded
        # owner: while running what produces the answer, when done what holds it.
        self.key, self.fingerprint, self.state, self.owner = key, fingerprint, "running", None
        self.sent_us, self.ends_us, self.window_us, self.size, self.wide = None, 0, window_us, 0, wide


class Repeats:
    """The idempotency keys that are known, and the answers kept for them."""

    def __init__(self, max_entries, max_bytes):
        self.max_entries, self.max_bytes, self.bytes = max_entries, max_bytes, 0
        self.entries = {}  # an entry that ends moves to the end, so that the one that ended first is found first

    def look_up(self, now_us, key, fingerprint, window_us, wide):
        """`wide`: 'boxes' where every server drops repeats of the call (keyed, scope all), 'always' where a repeat is harmless
        (replayable), '' elsewhere. -> (result, entry, latest_us)"""
        entry = self.entries.get(key)
        if entry is not None and entry.state != "running" and now_us >= entry.ends_us:
            self.drop(entry)
            entry = None
        if entry is None:
            if len(self.entries) >= self.max_entries and not self.make_room(now_us):
                return "full", None, None
            entry = self.entries[key] = Entry(key, fingerprint, window_us, wide)
            return "new", entry, None
        if entry.fingerprint != fingerprint:
            return "conflict", entry, None
        if entry.state == "running":
            return "join", entry, None
        if entry.state == "done" and entry.owner is not None:
            return "replay", entry, None
        latest_us = (entry.sent_us or now_us) + entry.window_us - REPEAT_WINDOW_MARGIN_US
        if entry.wide == "always" or entry.wide and now_us < latest_us:
            entry.state, entry.owner = "running", None
            return "new", entry, latest_us if entry.wide == "boxes" else None
        return "doubt", entry, None

    def restore(self, key, fingerprint, window_us, wide, state, sent_us, ends_us, owner):
        """Adds a key that was remembered across a restart; `state`: 'done' or 'doubted'. -> the entry, or None where the key
        is known already."""
        if key in self.entries:
            return None
        entry = self.entries[key] = Entry(key, fingerprint, window_us, wide)
        entry.state, entry.sent_us, entry.ends_us = state, sent_us, ends_us
        if owner is not None and self.bytes + owner.size <= self.max_bytes:
            entry.owner, entry.size = owner, owner.size
            self.bytes += owner.size
        return entry

    def mark_sent(self, entry, now_us):
        """Its first attempt that may run an effect is sent."""
        if entry.sent_us is None:
            entry.sent_us = now_us

    def mark_done(self, entry, now_us, owner, size):
        """`owner` holds the answer; it is dropped when newer answers need its bytes."""
        entry.state, entry.ends_us = "done", now_us + max(entry.window_us, 1)
        self.entries[entry.key] = self.entries.pop(entry.key)
        if size <= self.max_bytes:
            entry.owner, entry.size = owner, size
            self.bytes += size
        else:
            entry.owner = None
        for other in list(self.entries.values()) if self.bytes > self.max_bytes else ():
            if self.bytes <= self.max_bytes:
                break
            if other.state == "done":
                self.drop_answer(other)

    def mark_in_doubt(self, entry, now_us):
        """The call ended without an answer, and may have run."""
        if entry.sent_us is None:  # no attempt that could have run was sent
            return self.mark_never_ran(entry)
        entry.state, entry.owner = "doubted", None
        entry.ends_us = entry.sent_us + DOUBT_WINDOWS * entry.window_us
        self.entries[entry.key] = self.entries.pop(entry.key)

    def mark_never_ran(self, entry):
        """The call was rejected. A key whose earlier call may have run stays in doubt."""
        if entry.sent_us is not None:
            entry.state, entry.owner = "doubted", None
            entry.ends_us = entry.sent_us + DOUBT_WINDOWS * entry.window_us
        else:
            self.drop(entry)

    def drop_answer(self, entry):
        self.bytes -= entry.size
        entry.owner, entry.size = None, 0

    def drop(self, entry):
        self.drop_answer(entry)
        if self.entries.get(entry.key) is entry:
            del self.entries[entry.key]

    def make_room(self, now_us):
        """Drops all keys that have ended. -> whether there were any. Never drops a key that is running, in doubt or answered
        within its window: each of these could run twice, so a new key is not accepted instead."""
        ended = [e for e in self.entries.values() if e.state != "running" and now_us >= e.ends_us]
        for entry in ended:
            self.drop(entry)
        return bool(ended)
