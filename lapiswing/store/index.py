"""What the log says. Pure: places in files are numbers here.

Entries are (segment, at, size, expires, value): where the frame's body begins and its size, and the value itself where it is small;
`at` is None while it is only on its way to the disk, and the value is then here whatever its size."""

from sortedcontainers import SortedDict


class Index:
    def __init__(self):
        self.keys, self.snapshots = SortedDict(), []
        self.live = {}  # segment -> bytes of entries that count
        self.bytes = 0

    def begin_load(self):
        """While a store is opened, nobody asks for an order: it is made once, at the end."""
        self.keys = {}

    def end_load(self):
        self.keys = SortedDict(self.keys)

    def cost(self, key, size):
        return len(key) + size + 16

    def put(self, key, segment, at, size, expires, value):
        old = self.keys.get(key)
        self.note(key, old)
        cost = self.cost(key, size)
        if old is not None:
            self.forget(key, old)
        self.keys[key] = (segment, at, size, expires, value)
        self.live[segment] = self.live.get(segment, 0) + cost
        self.bytes += cost

    def remove(self, key):
        old = self.keys.pop(key, None)
        if old is not None:
            self.note(key, old)
            self.forget(key, old)

    def forget(self, key, old):
        cost = self.cost(key, old[2])
        self.live[old[0]] -= cost
        self.bytes -= cost

    def note(self, key, old):
        """What a snapshot saw before it changes."""
        for snapshot in self.snapshots:
            snapshot.old.setdefault(key, old)

    def settle(self, key, entry, at, value):
        """What was on its way is on the disk."""
        if self.keys.get(key) is entry:
            self.keys[key] = (entry[0], at, entry[2], entry[3], value)

    def get(self, key, now_ms):
        entry = self.keys.get(key)
        return None if entry is None or 0 < entry[3] <= now_ms else entry

    def range(self, start, end, now_ms):
        """Keys from `start` up to, not including, `end`, in order."""
        for key in list(self.keys.irange(start, end, (True, False))):
            entry = self.get(key, now_ms)
            if entry is not None:
                yield key, entry

    def expired(self, now_ms, after, most):
        """-> (keys that are over, the last key looked at or None at the end)."""
        out, seen, last = [], 0, None
        for key in self.keys.irange(after, None, (False, True)) if after is not None else self.keys:
            seen += 1
            if 0 < self.keys[key][3] <= now_ms:
                out.append(key)
            if seen >= most:
                last = key
                break
        return out, last

    def snapshot(self):
        taken = Snapshot(self)
        self.snapshots.append(taken)
        return taken


class Snapshot:
    """The index as it was: only what changes since is kept beside. `close` it."""

    def __init__(self, index):
        self.index, self.old = index, {}

    def get(self, key, now_ms):
        entry = self.old[key] if key in self.old else self.index.keys.get(key)
        return None if entry is None or 0 < entry[3] <= now_ms else entry

    def range(self, start, end, now_ms):
        keys = set(self.index.keys.irange(start, end, (True, False))) | {
            k for k in self.old if k >= start and (end is None or k < end)
        }
        for key in sorted(keys):
            entry = self.get(key, now_ms)
            if entry is not None:
                yield key, entry

    def close(self):
        if self in self.index.snapshots:
            self.index.snapshots.remove(self)
