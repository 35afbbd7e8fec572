"""In-memory index of the log. No I/O.

Entries are (segment, offset, size, expires, value): the offset of the frame in its segment, the size of the value, its expiry in
unix ms or 0, and the value itself if it is small. While an entry is being written, `offset` is None and the value is kept
whatever its size."""

from sortedcontainers import SortedDict


class Index:
    """Maps keys to entries, in key order, and accounts for the bytes they take up."""

    def __init__(self):
        self.keys, self.snapshots = SortedDict(), []
        self.live_bytes = {}  # segment -> bytes of entries that the index refers to
        self.bytes = 0

    def begin_load(self):
        """Uses a plain dict while the store is opened; the keys are sorted once, in `end_load`."""
        self.keys = {}

    def end_load(self):
        """All segments are loaded: sorts the keys."""
        self.keys = SortedDict(self.keys)

    def cost(self, key, size):
        """Approximate size of an entry in the log, in bytes."""
        return len(key) + size + 16

    def put(self, key, segment, offset, size, expires, value):
        """Sets the entry of a key."""
        old = self.keys.get(key)
        self.keep_for_snapshots(key, old)
        cost = self.cost(key, size)
        if old is not None:
            self.subtract_entry(key, old)
        self.keys[key] = (segment, offset, size, expires, value)
        self.live_bytes[segment] = self.live_bytes.get(segment, 0) + cost
        self.bytes += cost

    def remove(self, key):
        """Removes a key, if it is there."""
        old = self.keys.pop(key, None)
        if old is not None:
            self.keep_for_snapshots(key, old)
            self.subtract_entry(key, old)

    def subtract_entry(self, key, old):
        """Removes an entry from the byte counts."""
        cost = self.cost(key, old[2])
        self.live_bytes[old[0]] -= cost
        self.bytes -= cost

    def keep_for_snapshots(self, key, old):
        """Saves the previous entry of a key for the open snapshots."""
        for snapshot in self.snapshots:
            snapshot.saved.setdefault(key, old)

    def set_location(self, key, entry, offset, value):
        """An entry has been written: sets its offset, unless the key was changed meanwhile."""
        if self.keys.get(key) is entry:
            self.keys[key] = (entry[0], offset, entry[2], entry[3], value)

    def get(self, key, now_ms):
        """The entry of a key, or None if there is none or it has expired."""
        entry = self.keys.get(key)
        return None if entry is None or 0 < entry[3] <= now_ms else entry

    def range(self, start, end, now_ms):
        """Yields (key, entry) in key order from `start` to `end`, `end` excluded."""
        for key in list(self.keys.irange(start, end, (True, False))):
            entry = self.get(key, now_ms)
            if entry is not None:
                yield key, entry

    def expired(self, now_ms, after, max_keys):
        """Looks for expired keys among the next `max_keys` keys after `after`. Returns (expired keys, last key looked at, or None
        at the end)."""
        expired_keys, seen, last = [], 0, None
        for key in self.keys.irange(after, None, (False, True)) if after is not None else self.keys:
            seen += 1
            if 0 < self.keys[key][3] <= now_ms:
                expired_keys.append(key)
            if seen >= max_keys:
                last = key
                break
        return expired_keys, last

    def snapshot(self):
        """A view of the present entries; must be closed."""
        taken = Snapshot(self)
        self.snapshots.append(taken)
        return taken


class Snapshot:
    """The index at one point in time. Entries that have changed since are saved here. It must be closed."""

    def __init__(self, index):
        self.index, self.saved = index, {}

    def get(self, key, now_ms):
        """As Index.get, at the time of the snapshot."""
        entry = self.saved[key] if key in self.saved else self.index.keys.get(key)
        return None if entry is None or 0 < entry[3] <= now_ms else entry

    def range(self, start, end, now_ms):
        """As Index.range, at the time of the snapshot."""
        keys = set(self.index.keys.irange(start, end, (True, False))) | {
            k for k in self.saved if k >= start and (end is None or k < end)
        }
        for key in sorted(keys):
            entry = self.get(key, now_ms)
            if entry is not None:
                yield key, entry

    def close(self):
        """Stops saving replaced entries for this snapshot."""
        if self in self.index.snapshots:
            self.index.snapshots.remove(self)
