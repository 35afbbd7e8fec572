"""A store with the engine's interface that keeps everything in memory, for a gateway without a disk. Its contents are lost
when the process ends."""

import time

from sortedcontainers import SortedDict

from lapiswing.store.engine import StoreError


class Memory:
    """An in-memory store of at most `max_bytes` of keys and values."""

    def __init__(self, now_ms=lambda: time.time_ns() // 1_000_000, max_bytes=256 << 20):
        self.wall_clock_ms, self.max_bytes = now_ms, max_bytes
        self.rows, self.bytes, self.mode, self.why, self.floor_ms = SortedDict(), 0, "closed", None, 0
        self.counts = {"puts": 0, "refused": 0}

    def now_ms(self):
        """Wall clock that never goes back; see Engine.now_ms."""
        self.floor_ms = max(self.floor_ms, self.wall_clock_ms())
        return self.floor_ms

    def open(self):
        """Raises StoreError if it is open already."""
        if self.mode != "closed":
            raise StoreError("locked", "", "the store is already open")
        self.mode, self.why = "good", None
        return self

    def get(self, key):
        """The value of a key, or None."""
        value, expires = self.rows.get(key, (None, 0))
        return None if 0 < expires <= self.now_ms() else value

    def range(self, start=b"", end=None):
        """Yields (key, value) in key order, `end` excluded."""
        now_ms = self.now_ms()
        for key in list(self.rows.irange(start, end, (True, False))):
            value, expires = self.rows.get(key, (None, 0))
            if value is not None and not 0 < expires <= now_ms:
                yield key, value

    def snapshot(self):
        """A read-only view of the present contents; must be closed."""
        return SnapshotView(self)

    def put(self, items, done=None):
        """As Engine.put. A batch that would exceed `max_bytes` is refused and changes nothing."""
        size = 0
        for key, value, _ in items:
            old = len(key) + len(self.rows[key][0]) if key in self.rows else 0
            size += len(key) + len(value or b"") - old
        if self.mode != "good" or self.bytes + size > self.max_bytes and size > 0:
            self.counts["refused"] += 1
            if done:
                done(self.why or "the memory limit is reached")
            return False
        for key, value, expires in items:
            old = self.rows.pop(key, None)
            self.bytes -= len(key) + len(old[0]) if old else 0
            if value is not None:
                self.rows[key] = (value, expires)
                self.bytes += len(key) + len(value)
        self.counts["puts"] += 1
        if done:
            done(None)
        return True

    def wants_compaction(self):
        """Never: there is nothing to compact."""
        return False

    def compact(self):
        """As Engine.compact, a generator; it does nothing."""
        yield from ()

    def expire(self, max_keys=500):
        """Deletes expired entries. A generator that deletes at most `max_keys` keys per step."""
        now_ms = self.now_ms()
        expired_keys = [k for k, (_, expires) in self.rows.items() if 0 < expires <= now_ms]
        for start in range(0, len(expired_keys), max_keys):
            self.put([(k, None, 0) for k in expired_keys[start : start + max_keys]])
            yield

    def close(self):
        """Closes the store and discards its contents."""
        self.mode, self.why, self.bytes = "closed", "closed", 0
        self.rows.clear()


class SnapshotView:
    """A copy of the contents at one point in time."""

    def __init__(self, store):
        now_ms = store.now_ms()
        self.rows = SortedDict((k, v) for k, (v, expires) in store.rows.items() if not 0 < expires <= now_ms)

    def get(self, key):
        """The value of a key, or None."""
        return self.rows.get(key)

    def range(self, start=b"", end=None):
        """As Memory.range."""
        for key in self.rows.irange(start, end, (True, False)):
            yield key, self.rows[key]

    def close(self):
        """Discards the copy."""
        self.rows.clear()
