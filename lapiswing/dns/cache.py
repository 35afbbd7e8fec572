"""Records with lifetimes. Pure.

A lifetime is kept between a floor, so that zero lifetimes do not make a flood of questions, and a ceiling, so that a long one does not
hold a mistake for a day. Records are asked for again when four fifths of it are over. While servers fail, what was last known stands
for `stale_us` past its end; then it is gone."""

from typing import NamedTuple

S = 1_000_000


class Known(NamedTuple):
    records: list
    until_us: int
    refresh_us: int
    stale_us: int  # stands until then while nobody answers


class Cache:
    def __init__(self, floor_s=1, ceiling_s=300, negative_s=5, stale_s=3600, most=20_000):
        self.floor_s, self.ceiling_s, self.negative_s, self.stale_s, self.most = floor_s, ceiling_s, negative_s, stale_s, most
        self.known = {}

    def put(self, name, kind, records, ttl_s, now_us):
        """An answer; no records make a negative one, which is kept for a short time only."""
        life = (max(self.floor_s, min(self.ceiling_s, ttl_s)) if records else max(self.floor_s, min(self.negative_s, ttl_s))) * S
        if (name, kind) not in self.known and len(self.known) >= self.most:
            self.sweep(now_us)
            if len(self.known) >= self.most:
                return False
        self.known[name, kind] = Known(records, now_us + life, now_us + life * 4 // 5, now_us + life + self.stale_s * S)
        return True

    def get(self, name, kind, now_us):
        """-> (records or None where nothing is known, 'fresh', 'due', 'stale' or 'none')."""
        known = self.known.get((name, kind))
        if known is None or now_us >= known.stale_us:
            return None, "none"
        if now_us >= known.until_us:
            return known.records, "stale"
        return known.records, "due" if now_us >= known.refresh_us else "fresh"

    def sweep(self, now_us):
        for key in [k for k, v in self.known.items() if now_us >= v.stale_us]:
            del self.known[key]
