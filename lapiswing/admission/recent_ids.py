"""Ids of requests that have ended and may have had an effect, so that one that comes again is not run again. No I/O."""

MAX_IDS = 4096  # of 64 characters at most


class RecentIds:
    """The latest ids."""

    def __init__(self, max_ids=MAX_IDS):
        self.max_ids, self.ids = max_ids, {}  # a dict keeps the order in which they came

    def add(self, rid):
        """Remembers an id; forgets the oldest beyond the limit."""
        self.ids.pop(rid, None)
        self.ids[rid] = None
        if len(self.ids) > self.max_ids:
            del self.ids[next(iter(self.ids))]

    def __contains__(self, rid):
        return rid in self.ids
