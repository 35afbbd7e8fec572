"""A store that keeps nothing: the engine's face over a dict, for a copy without a disk. What it holds is gone
with the process."""

import time

from sortedcontainers import SortedDict

from lapiswing.store.engine import StoreError


class Memory:
    def __init__(self, now_ms=lambda: time.time_ns() // 1_000_000, most_bytes=256 << 20):
        self.wall_clock_ms, self.most_bytes = now_ms, most_bytes
        self.rows, self.bytes, self.mode, self.why, self.floor_ms = SortedDict(), 0, "closed", None, 0
        self.counts = {"puts": 0, "refused": 0}

    def now_ms(self):
        self.floor_ms = max(self.floor_ms, self.wall_clock_ms())
        return self.floor_ms

    def open(self):
        """Raises StoreError: it is open."""
        if self.mode != "closed":
            raise StoreError("locked", "", "the store is open")
        self.mode, self.why = "good", None
        return self

    def get(self, key):
        value, expires = self.rows.get(key, (None, 0))
        return None if 0 < expires <= self.now_ms() else value

    def range(self, start=b"", end=None):
        now_ms = self.now_ms()
        for key in list(self.rows.irange(start, end, (True, False))):
            value, expires = self.rows.get(key, (None, 0))
            if value is not None and not 0 < expires <= now_ms:
                yield key, value

    def snapshot(self):
        return View(self)

    def put(self, items, done=None):
        """As the engine's. A batch for which there is no room changes nothing."""
        size = 0
        for key, value, _ in items:
            old = len(key) + len(self.rows[key][0]) if key in self.rows else 0
            size += len(key) + len(value or b"") - old
        if self.mode != "good" or self.bytes + size > self.most_bytes and size > 0:
            self.counts["refused"] += 1
            if done:
                done(self.why or "no room")
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
        return False

    def compact(self):
        """A generator, for a host that advances the engine's."""
        yield from ()

    def expire(self, most=500):
        now_ms = self.now_ms()
        over = [k for k, (_, expires) in self.rows.items() if 0 < expires <= now_ms]
        for i in range(0, len(over), most):
            self.put([(k, None, 0) for k in over[i : i + most]])
            yield

    def close(self):
        """What it held is gone."""
        self.mode, self.why, self.bytes = "closed", "closed", 0
        self.rows.clear()


class View:
    def __init__(self, store):
        now_ms = store.now_ms()
        self.rows = SortedDict((k, v) for k, (v, expires) in store.rows.items() if not 0 < expires <= now_ms)

    def get(self, key):
        return self.rows.get(key)

    def range(self, start=b"", end=None):
        for key in self.rows.irange(start, end, (True, False)):
            yield key, self.rows[key]

    def close(self):
        self.rows.clear()
