"""Servers of one role in groups of like ones, and sums over these. What makes servers alike is decided elsewhere."""

import numpy as np


class Side:
    """The servers of one role in groups, `keys` naming these. Single servers are groups of one."""

    def __init__(self, servers, key_of, weights):
        self.servers, self.index_of = servers, {m.id: i for i, m in enumerate(servers)}
        found = {}
        self.group = np.array([found.setdefault(key_of(m), len(found)) for m in servers], int)
        self.keys, self.index, self.grouped = list(found), found, len(found) < len(servers)
        self.counts = np.bincount(self.group, minlength=len(found))
        self.order = np.argsort(self.group, kind="stable")
        self.starts = np.cumsum(self.counts) - self.counts
        self.first = [servers[i] for i in self.order[self.starts].tolist()]  # of each group
        self.cells = np.array([m.cell for m in servers], int)
        self.weight = np.array([weights.get(m.id, 1.0) for m in servers])  # inside its group, 1 on average
        self.weight = self.weight / (self.total(self.weight) / self.counts)[self.group]

    def lead(self, *of):
        """Whole numbers of each group's first server."""
        return [np.array([number(m) for m in self.first], int) for number in of]

    def kept(self, earlier):
        """-> places of the groups that were there before, now and then."""
        return (
            np.array([(i, earlier.index[key]) for i, key in enumerate(self.keys) if key in earlier.index], int).reshape(-1, 2).T
        )

    def total(self, values):
        return np.add.reduceat(values[self.order], self.starts, axis=0) if self.grouped else values

    def mean(self, values):
        """By group, each server counted by its weight."""
        return (self.total((values.T * self.weight).T).T / self.counts).T if self.grouped else values

    def spread(self, by_group):
        """What each group has, among its servers."""
        return by_group[self.group] * self.weight / self.counts[self.group]


class Racks:
    """Each rack's place in its zone, so that neighbours can be taken together."""

    def __init__(self, *sides):
        self.place, in_zone = {}, {}
        for zone, cell in sorted({(m.zone, m.cell) for side in sides for m in side}):
            self.place[zone, cell] = in_zone[zone] = in_zone.get(zone, -1) + 1

    def __len__(self):
        return len(self.place)

    def key(self, m, together):
        """What servers of one group share."""
        return m.kind, m.zone, self.place[m.zone, m.cell] // together

    def label(self, m, together):
        """A number for the racks that are taken together with this server's."""
        return m.zone * len(self.place) + self.place[m.zone, m.cell] // together

    def pairs(self, rows, columns, together):
        """Of groups."""
        return len({self.key(m, together) for m in rows}) * len({self.key(m, together) for m in columns})
