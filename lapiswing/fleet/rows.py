"""Rows that spread among copies. Each has one writer, a version that only grows, and is merged by the larger
version, so loss, repetition and order of messages never matter. Pure.

    rows = Rows("gw-1#8f")                   -> the table of this identity
    row, raw = rows.write("hold/a", b"...")  a row of its own; `settle(raw)` once it is on the disk
    rows.take(raw)                           -> Row if it was new here
    rows.digests() / rows.versions(buckets)  for a comparison with another table"""

import msgspec
import xxhash

from lapiswing.fleet.messages import MOST_KEY, MOST_NAME, MOST_VALUE, ROW, Row, packed

BUCKETS = 256
MOST_ROWS, MOST_BYTES = 100_000, 64 << 20  # of all writers together
MOST_VERSION = 1 << 62


def bucket_of(writer, key):
    return xxhash.xxh32_intdigest(f"{writer}/{key}") % BUCKETS


def mark(writer, key, version):
    """64 bits. A bucket's sum of them is the same in whatever order rows came; crc32 would not do, being
    linear: two rows whose versions were changed for each other would leave their sum as it was."""
    return xxhash.xxh64_intdigest(f"{version}/{key}/{writer}")


class Rows:
    def __init__(self, me):
        self.me, self.version = me, 0  # the latest of the own rows
        self.table, self.raws, self.bytes = {}, {}, 0  # (writer, key) -> Row; the bytes it came as
        self.sums = [0] * BUCKETS
        self.by_bucket = [set() for _ in range(BUCKETS)]
        self.newer = 0  # an own version that others know and this one did not write

    def write(self, key, value):
        """A row of the own identity, a version further. -> (Row, raw). It is not in the table, and so nobody
        hears of it, until `settle`. Raises ValueError: too large, or no room."""
        if len(key.encode()) > MOST_KEY or value is not None and len(value) > MOST_VALUE:
            raise ValueError(f"row {key[:40]!r} is too large")
        row = Row(self.me, key, self.version + 1, value)
        raw, new = packed(row), (self.me, key) not in self.table
        if self.bytes + len(raw) > MOST_BYTES or new and len(self.table) >= MOST_ROWS:
            raise ValueError("no room for a further row")
        self.version += 1
        return row, raw

    def settle(self, raw):
        """An own row that is on the disk now. -> the Row, or None where it is of another identity or a later
        one is here."""
        row = ROW.decode(raw)
        return row if row.writer == self.me and self.is_new(row) and self.put(row, raw) else None

    def is_new(self, row):
        old = self.table.get((row.writer, row.key))
        return old is None or old.version < row.version

    def put(self, row, raw):
        at = (row.writer, row.key)
        old = self.table.get(at)
        grown = len(raw) - len(self.raws.get(at, b""))
        if self.bytes + grown > MOST_BYTES or old is None and len(self.table) >= MOST_ROWS:
            return False
        bucket = bucket_of(*at)
        if old is not None:
            self.sums[bucket] ^= mark(*at, old.version)
        self.sums[bucket] ^= mark(*at, row.version)
        self.by_bucket[bucket].add(at)
        self.table[at], self.raws[at] = row, raw
        self.bytes += grown
        return True

    def take(self, raw):
        """One row as it came. -> the Row where it was new here, else None. Raises ValueError: it can't be
        read or may not be."""
        raw = bytes(raw)
        try:
            row = ROW.decode(raw)
        except (msgspec.MsgspecError, ValueError) as problem:
            raise ValueError(f"row can't be read: {problem}") from None
        if (
            not row.writer
            or len(row.writer) > MOST_NAME
            or len(row.key.encode()) > MOST_KEY
            or not (0 < row.version < MOST_VERSION)
            or row.value is not None
            and len(row.value) > MOST_VALUE
        ):
            raise ValueError("row out of bounds")
        if row.writer == self.me:
            if row.version > self.version:
                self.newer = max(self.newer, row.version)
            return None  # nobody tells the writer what it wrote
        return row if self.is_new(row) and self.put(row, raw) else None

    def restore(self, raw):
        """From the own disk, the own rows among them. Raises ValueError."""
        row = ROW.decode(bytes(raw))
        if row.writer == self.me:
            self.version = max(self.version, row.version)
        if self.is_new(row):
            self.put(row, bytes(raw))

    def latest_of(self, writer):
        return max((row.version for (w, _), row in self.table.items() if w == writer), default=0)

    def of(self, writer):
        return {key: row for (w, key), row in self.table.items() if w == writer and row.value is not None}

    # ---- comparison

    def digests(self):
        return list(self.sums)

    def differing(self, sums):
        return [i for i, (a, b) in enumerate(zip(self.sums, sums)) if a != b] if len(sums) == BUCKETS else []

    def versions(self, buckets):
        return [(w, k, self.table[w, k].version) for i in buckets if 0 <= i < BUCKETS for w, k in sorted(self.by_bucket[i])]

    def newer_than(self, buckets, have):
        """-> raws of these buckets that the other side lacks or has older, and whether it has any newer."""
        theirs, send = {(w, k): v for w, k, v in have}, []
        for i in buckets:
            if not 0 <= i < BUCKETS:
                continue
            for at in sorted(self.by_bucket[i]):
                if self.table[at].version > theirs.get(at, 0):
                    send.append(self.raws[at])
        return send, any(at not in self.table or self.table[at].version < v for at, v in theirs.items())
