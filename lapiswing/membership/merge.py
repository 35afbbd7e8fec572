"""Merges the list with each box's own word that it drains, and an operator's.

Who wins: a drain from any side. An operator's word ends when the operator takes it back, or when the list drops the box. A box's word ends when it says otherwise, when the list names it with a later
start, or when the list drops it. While a box's own word stands it is asked now and then (`to_ask`), for nothing is
sent there that could bring a newer word."""


class Membership:
    def __init__(self):
        self.listed, self.drains, self.ordered, self.told = {}, set(), set(), {}

    def list(self, rows):
        """A whole list. -> what the decisions are to be told: an event, or None where nothing changes."""
        rows = {row.id: row for row in rows}
        for name in list(self.drains):
            old, new = self.listed.get(name), rows.get(name)
            if new is None or old is not None and new.started_us > old.started_us:
                self.drains.discard(name)
        self.ordered &= rows.keys()
        self.listed = rows
        return self.news(first=not self.told)

    def said(self, name, draining):
        """A box's own word. -> event or None."""
        if name not in self.listed or draining == (name in self.drains):
            return None
        (self.drains.add if draining else self.drains.discard)(name)
        return self.news()

    def order(self, name, draining):
        """An operator's word. -> event or None. Raises KeyError: no such box."""
        if name not in self.listed:
            raise KeyError(name)
        (self.ordered.add if draining else self.ordered.discard)(name)
        return self.news()

    def why(self, name):
        """Who says that a box drains: 'operator', 'box', 'list', or None."""
        return ("operator" if name in self.ordered else "box" if name in self.drains else
                "list" if self.listed[name].mode == "draining" else None)

    def news(self, first=False):
        now = {name: row._replace(mode="draining") if row.mode == "ready" and (name in self.drains or name in self.ordered) else row
               for name, row in self.listed.items()}
        if now == self.told and not first:
            return None
        whole = first or now.keys() != self.told.keys()
        changed = list(now.values()) if whole else [row for name, row in now.items() if row != self.told[name]]
        self.told = now
        return ("servers", "restored" if first else "replace" if whole else "update", changed)

    def to_ask(self):
        return sorted(self.drains)
