"""Cached DNS records with their lifetimes. No I/O.

A lifetime is bounded below, so that zero lifetimes do not cause a flood of queries, and above, so that a long one does not
preserve a mistake for a day. Records are due for refresh after four fifths of their lifetime. While the name servers fail, the
last known records remain usable for `stale_s` seconds past their lifetime."""

from typing import NamedTuple

S = 1_000_000


class Entry(NamedTuple):
    """The records of one name and type."""

    records: list
    until_us: int
    refresh_us: int
    stale_us: int  # usable until then while no name server answers


class Cache:
    """Records by name and type. `negative_s` bounds the lifetime of negative answers."""

    def __init__(self, floor_s=1, ceiling_s=300, negative_s=5, stale_s=3600, max_entries=20_000):
        self.floor_s, self.ceiling_s, self.negative_s, self.stale_s, self.max_entries = (
            floor_s,
            ceiling_s,
            negative_s,
            stale_s,
            max_entries,
        )
        self.entries = {}

    def put(self, name, kind, records, ttl_s, now_us):
        """Stores an answer; one without records is negative and is kept for a short time only. -> False: the cache is full."""
        lifetime_us = (
            max(self.floor_s, min(self.ceiling_s, ttl_s)) if records else max(self.floor_s, min(self.negative_s, ttl_s))
        ) * S
        if (name, kind) not in self.entries and len(self.entries) >= self.max_entries:
            self.sweep(now_us)
            if len(self.entries) >= self.max_entries:
                return False
        self.entries[name, kind] = Entry(
            records, now_us + lifetime_us, now_us + lifetime_us * 4 // 5, now_us + lifetime_us + self.stale_s * S
        )
        return True

    def get(self, name, kind, now_us):
        """-> (records or None where nothing is known, 'fresh', 'due', 'stale' or 'none')."""
        entry = self.entries.get((name, kind))
        if entry is None or now_us >= entry.stale_us:
            return None, "none"
        if now_us >= entry.until_us:
            return entry.records, "stale"
        return entry.records, "due" if now_us >= entry.refresh_us else "fresh"

    def sweep(self, now_us):
        for key in [k for k, entry in self.entries.items() if now_us >= entry.stale_us]:
            del self.entries[key]
