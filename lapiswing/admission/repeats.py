"""What a call with an idempotency key that was seen before is answered. No I/O, no clock.

Entries go   running -> done      the answer is known and kept, within bounds
             running -> doubted   aborted, or its client left: it may have run
             running -> (none)    pushed back: it never ran, so the key is free
and a call that comes with the key is
             new                  nothing is known of the key, or a repeat at the boxes is harmless
             join                 the first try runs: one req, two who listen
             replay               the kept answer, once more
             conflict             the same key with another body: the client's fault
             doubt                it may have run and can't be run again
             full                 no room for another key: not taken

`latest_us`, given with 'new', is when the boxes that drop repeats may have forgotten the first try: nothing of the new
one may be sent after it. A doubt is kept beyond the window, since a client that asks later would else run it twice."""

DOUBT_WINDOWS = 12  # for this many windows a doubt is remembered


class Entry:
    __slots__ = (
        "key",
        "print",
        "state",
        "owner",
        "sent_us",
        "ends_us",
        "window_us",
        "size",
        "wide",
        "durable",
        "noted_ms",
        "lost",
    )

    def __init__(self, key, fingerprint, window_us, wide):
        self.durable = self.noted_ms = self.lost = None  # of `state.memory`: whether it is put down
        self.key, self.print, self.state, self.owner = key, fingerprint, "running", None
        self.sent_us, self.ends_us, self.window_us, self.size, self.wide = None, 0, window_us, 0, wide


class Repeats:
    def __init__(self, most, most_bytes):
        self.most, self.most_bytes, self.bytes = most, most_bytes, 0
        self.entries = {}  # ended entries are moved to the end, so that the first ended is the oldest

    def look_up(self, now_us, key, fingerprint, window_us, wide):
        """`wide`: 'boxes' where every box drops repeats of it (keyed, scope all), 'always' where a repeat is harmless
        (replayable), '' elsewhere. -> (what, entry, latest_us)"""
        entry = self.entries.get(key)
        if entry is not None and entry.state != "running" and now_us >= entry.ends_us:
            self.drop(entry)
            entry = None
        if entry is None:
            if len(self.entries) >= self.most and not self.make_room(now_us):
                return "full", None, None
            entry = self.entries[key] = Entry(key, fingerprint, window_us, wide)
            return "new", entry, None
        if entry.print != fingerprint:
            return "conflict", entry, None
        if entry.state == "running":
            return "join", entry, None
        if entry.state == "done" and entry.owner is not None:
            return "replay", entry, None
        latest = (entry.sent_us or now_us) + entry.window_us
        if entry.wide == "always" or entry.wide and now_us < latest:
            entry.state, entry.owner = "running", None
            return "new", entry, latest if entry.wide == "boxes" else None
        return "doubt", entry, None

    def restore(self, key, fingerprint, window_us, wide, state, sent_us, ends_us, owner):
        """What was remembered over a restart: 'done' or 'doubted'. -> the entry, or None where it is known already."""
        if key in self.entries:
            return None
        entry = self.entries[key] = Entry(key, fingerprint, window_us, wide)
        entry.state, entry.sent_us, entry.ends_us = state, sent_us, ends_us
        if owner is not None and self.bytes + owner.size <= self.most_bytes:
            entry.owner, entry.size = owner, owner.size
            self.bytes += owner.size
        return entry

    def mark_sent(self, entry, now_us):
        """Its first forward that may run an effect goes out."""
        if entry.sent_us is None:
            entry.sent_us = now_us

    def mark_done(self, entry, now_us, owner, size):
        """`owner` holds the answer; it is dropped again when its bytes are needed for newer ones."""
        entry.state, entry.ends_us = "done", now_us + max(entry.window_us, 1)
        self.entries[entry.key] = self.entries.pop(entry.key)
        if size <= self.most_bytes:
            entry.owner, entry.size = owner, size
            self.bytes += size
        else:
            entry.owner = None
        for other in list(self.entries.values()) if self.bytes > self.most_bytes else ():
            if self.bytes <= self.most_bytes:
                break
            if other.state == "done":
                self.shed(other)

    def mark_in_doubt(self, entry, now_us):
        if entry.sent_us is None:  # nothing that could have run was sent
            return self.mark_never_ran(entry)
        entry.state, entry.owner = "doubted", None
        entry.ends_us = entry.sent_us + DOUBT_WINDOWS * entry.window_us
        self.entries[entry.key] = self.entries.pop(entry.key)

    def mark_never_ran(self, entry):
        """Pushed back. A key whose earlier try may have run stays in doubt."""
        if entry.sent_us is not None:
            entry.state, entry.owner = "doubted", None
            entry.ends_us = entry.sent_us + DOUBT_WINDOWS * entry.window_us
        else:
            self.drop(entry)

    def shed(self, entry):
        self.bytes -= entry.size
        entry.owner, entry.size = None, 0

    def drop(self, entry):
        self.shed(entry)
        if self.entries.get(entry.key) is entry:
            del self.entries[entry.key]

    def make_room(self, now_us):
        """Forgets what is over. Never what runs, is in doubt or was answered within its window: each of these could
        run twice, so a key more is not taken instead."""
        over = [e for e in self.entries.values() if e.state != "running" and now_us >= e.ends_us]
        for entry in over:
            self.drop(entry)
        return bool(over)
