"""Groups of similar servers of one role, and sums over them. What makes servers similar is decided by the caller."""

import numpy as np


class ServerGroups:
    """The servers of one role in groups, named by `keys`. A server that stands alone is a group of one."""

    def __init__(self, servers, key_of, weights):
        self.servers, self.index_of = servers, {s.id: i for i, s in enumerate(servers)}
        index = {}
        self.group = np.array([index.setdefault(key_of(s), len(index)) for s in servers], int)  # of each server
        self.keys, self.index_of_key, self.grouped = list(index), index, len(index) < len(servers)
        self.counts = np.bincount(self.group, minlength=len(index))
        self.order = np.argsort(self.group, kind="stable")
        self.starts = np.cumsum(self.counts) - self.counts
        self.first = [servers[i] for i in self.order[self.starts].tolist()]  # of each group
        self.cells = np.array([s.cell for s in servers], int)
        self.weight = np.array([weights.get(s.id, 1.0) for s in servers])  # inside its group, 1 on average
        self.weight = self.weight / (self.total(self.weight) / self.counts)[self.group]

    def of_first(self, *functions):
        """For each function an array of its integer results for the first server of each group."""
        return [np.array([function(s) for s in self.first], int) for function in functions]

    def common_groups(self, earlier):
        """-> indices of the groups that exist in both arrangements: here, and in the earlier one."""
        return (
            np.array([(i, earlier.index_of_key[key]) for i, key in enumerate(self.keys) if key in earlier.index_of_key], int)
            .reshape(-1, 2)
            .T
        )

    def total(self, values):
        """Sums by group."""
        return np.add.reduceat(values[self.order], self.starts, axis=0) if self.grouped else values

    def mean(self, values):
        """Means by group, each server counted by its weight."""
        return (self.total((values.T * self.weight).T).T / self.counts).T if self.grouped else values

    def distribute(self, by_group):
        """Splits each group's value among its servers by weight."""
        return by_group[self.group] * self.weight / self.counts[self.group]


class RackPositions:
    """Each rack's position in its zone, so that neighbouring racks can be grouped."""

    def __init__(self, *sides):
        self.position, last_in_zone = {}, {}
        for zone, cell in sorted({(s.zone, s.cell) for side in sides for s in side}):
            self.position[zone, cell] = last_in_zone[zone] = last_in_zone.get(zone, -1) + 1

    def __len__(self):
        return len(self.position)

    def key(self, server, racks_per_group):
        """What the servers of one group have in common."""
        return server.kind, server.zone, self.position[server.zone, server.cell] // racks_per_group

    def label(self, server, racks_per_group):
        """A number for the racks that are grouped with this server's."""
        return server.zone * len(self.position) + self.position[server.zone, server.cell] // racks_per_group

    def pairs(self, rows, columns, racks_per_group):
        """How many pairs of groups there are."""
        return len({self.key(s, racks_per_group) for s in rows}) * len({self.key(s, racks_per_group) for s in columns})
