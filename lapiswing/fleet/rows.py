"""Rows replicated among gateways. Each row has one writer and a version that only grows, and the larger version
wins, so loss, repetition and reordering of messages do not matter. No I/O.

    rows = Rows("gw-1#8f")                   -> the table of this identity
    row, raw = rows.write("hold/a", b"...")  a row of this identity; `commit(raw)` once it is on the disk
    rows.apply(raw)                          -> Row if it was new here
    rows.digests() / rows.versions(buckets)  for a comparison with another table"""

import msgspec
import xxhash

from lapiswing.fleet.messages import MAX_KEY_BYTES, MAX_NAME_LENGTH, MAX_VALUE_BYTES, ROW_DECODER, Row, encode

BUCKETS = 256
MAX_ROWS, MAX_TABLE_BYTES = 100_000, 64 << 20  # of all writers together
VERSION_LIMIT = 1 << 62


def bucket_of(writer, key):
    """-> the bucket in which a row is compared, 0 to BUCKETS - 1."""
    return xxhash.xxh32_intdigest(f"{writer}/{key}") % BUCKETS


def version_hash(writer, key, version):
    """-> 64 bits. The XOR over a bucket does not depend on the order in which rows arrived. crc32 is unsuitable
    because it is linear: two rows that swap versions would leave the bucket's digest unchanged."""
    return xxhash.xxh64_intdigest(f"{version}/{key}/{writer}")


class Rows:
    """The table of all rows known to one identity, its own included."""

    def __init__(self, own_id):
        self.own_id, self.own_version = own_id, 0  # the latest version among the rows of this identity
        self.table, self.raws, self.total_bytes = {}, {}, 0  # (writer, key) -> Row; -> the encoded row
        self.bucket_digests = [0] * BUCKETS
        self.by_bucket = [set() for _ in range(BUCKETS)]
        self.newer_own_version = 0  # a version of this identity that others know and this process did not write

    def write(self, key, value):
        """A new version of a row of this identity. -> (Row, raw). It enters the table, and so reaches others,
        only with `commit`. Raises ValueError: too large, or the table is full."""
        if len(key.encode()) > MAX_KEY_BYTES or value is not None and len(value) > MAX_VALUE_BYTES:
            raise ValueError(f"row {key[:40]!r} is too large")
        row = Row(self.own_id, key, self.own_version + 1, value)
        raw, new = encode(row), (self.own_id, key) not in self.table
        if self.total_bytes + len(raw) > MAX_TABLE_BYTES or new and len(self.table) >= MAX_ROWS:
            raise ValueError("the row table is full")
        self.own_version += 1
        return row, raw

    def commit(self, raw):
        """A row of this identity that is on the disk now. -> the Row, or None where it belongs to another
        identity or a later version is in the table."""
        row = ROW_DECODER.decode(raw)
        return row if row.writer == self.own_id and self.is_new(row) and self.put(row, raw) else None

    def is_new(self, row):
        old = self.table.get((row.writer, row.key))
        return old is None or old.version < row.version

    def put(self, row, raw):
        """-> whether the row was stored; False: the table is full."""
        row_id = (row.writer, row.key)
        old = self.table.get(row_id)
        added_bytes = len(raw) - len(self.raws.get(row_id, b""))
        if self.total_bytes + added_bytes > MAX_TABLE_BYTES or old is None and len(self.table) >= MAX_ROWS:
            return False
        bucket = bucket_of(*row_id)
        if old is not None:
            self.bucket_digests[bucket] ^= version_hash(*row_id, old.version)
        self.bucket_digests[bucket] ^= version_hash(*row_id, row.version)
        self.by_bucket[bucket].add(row_id)
        self.table[row_id], self.raws[row_id] = row, raw
        self.total_bytes += added_bytes
        return True

    def apply(self, raw):
        """One row as received. -> the Row where it was new here, else None. Raises ValueError: it can't be
        decoded or is out of bounds."""
        raw = bytes(raw)
        try:
            row = ROW_DECODER.decode(raw)
        except (msgspec.MsgspecError, ValueError) as problem:
            raise ValueError(f"row can't be decoded: {problem}") from None
        if (
            not row.writer
            or len(row.writer) > MAX_NAME_LENGTH
            or len(row.key.encode()) > MAX_KEY_BYTES
            or not (0 < row.version < VERSION_LIMIT)
            or row.value is not None
            and len(row.value) > MAX_VALUE_BYTES
        ):
            raise ValueError("row out of bounds")
        if row.writer == self.own_id:
            if row.version > self.own_version:
                self.newer_own_version = max(self.newer_own_version, row.version)
            return None  # only this process writes the rows of its identity
        return row if self.is_new(row) and self.put(row, raw) else None

    def restore(self, raw):
        """A row read from this gateway's disk; rows of this identity are accepted too. Raises ValueError."""
        row = ROW_DECODER.decode(bytes(raw))
        if row.writer == self.own_id:
            self.own_version = max(self.own_version, row.version)
        if self.is_new(row):
            self.put(row, bytes(raw))

    def latest_version_of(self, writer):
        return max((row.version for (w, _), row in self.table.items() if w == writer), default=0)

    def rows_of(self, writer):
        """-> {key: Row} of a writer, without deleted rows."""
        return {key: row for (w, key), row in self.table.items() if w == writer and row.value is not None}

    # ---- comparison

    def digests(self):
        return list(self.bucket_digests)

    def differing(self, digests):
        """-> the buckets whose digests differ from the other side's."""
        return [i for i, (a, b) in enumerate(zip(self.bucket_digests, digests)) if a != b] if len(digests) == BUCKETS else []

    def versions(self, buckets):
        return [(w, k, self.table[w, k].version) for i in buckets if 0 <= i < BUCKETS for w, k in sorted(self.by_bucket[i])]

    def newer_than(self, buckets, have):
        """-> raws of these buckets that the other side lacks or has older, and whether it has any newer."""
        theirs, send = {(w, k): v for w, k, v in have}, []
        for bucket in buckets:
            if not 0 <= bucket < BUCKETS:
                continue
            for row_id in sorted(self.by_bucket[bucket]):
                if self.table[row_id].version > theirs.get(row_id, 0):
                    send.append(self.raws[row_id])
        return send, any(row_id not in self.table or self.table[row_id].version < v for row_id, v in theirs.items())
