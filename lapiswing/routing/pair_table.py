"""The pair table of docs/design.md: each pair's part of the requests, by what a prefill and a decode server
should attain together, and the small solver that moves shares from the worst pairs to the best.
Servers stand alone while their pairs are few. Beyond that those of one kind in some racks of a zone share a
row or a column, and a second step moves shares inside each group: work grows with servers, not with pairs."""

import numpy as np

from lapiswing.routing.groups import Racks, Side

SINGLE_PAIRS = 10_000  # of single servers at the most: all that a hundred servers can have
GROUP_PAIRS = 12_000  # of groups at the most, as many racks as the largest fleets have
MOVES = 4  # moves of share from worst to best pairs at each refresh
STEP = 0.7  # share that a pair gives up in one move at the most, against an equal share
FLOOR = 0.14  # least share of a pair, so that it is met again, against an equal share
ROUND = 32  # pairs for each one that takes part in a move
STAY = 0.8  # of a bound: a grouping lasts until this part of it would do with smaller groups
LEAST_GAIN = 0.005  # of score, for which a share moves
EDGES = np.array([15, 25, 40, 60, 90, 130, 190, 270, 390, 560, 800, 1150, 1650, 2400, 3500, 5000]) * 1000
MIDDLES = np.concatenate(([10_000], (EDGES[1:] + EDGES[:-1]) // 2, [8_000_000]))  # of latencies' bins, us
STEPS = EDGES.tolist()


class PairTable:
    def __init__(self, zone, far_price, cross_price):
        """`zone`: the gateway's own. Prices: of leaving a rack and of crossing zones, as attainment."""
        self.zone, self.far_price, self.cross_price = zone, far_price, cross_price
        self.rows = self.columns = Side([], None, {})
        self.racks_per_group = 0  # none: servers stand alone
        self.pairs = self.size = np.zeros((0, 0))  # share of each pair of groups; pairs of servers in it
        self.share = {}  # of each prefill server

    def arrange(self, readers, writers):
        """Takes the servers as they are now. Pairs that stay keep their shares, new ones get the mean."""
        rows, columns, density = self.rows, self.columns, self.pairs / np.maximum(1, self.size)
        key_of, label_of = self.grouping(readers, writers)
        self.rows = Side(readers, key_of, dict(zip(rows.index_of, rows.weight.tolist())))
        self.columns = Side(writers, key_of, dict(zip(columns.index_of, columns.weight.tolist())))
        r_label, r_zone, mixed = self.rows.lead(label_of, lambda m: m.zone, lambda m: m.writes)
        w_label, w_zone = self.columns.lead(label_of, lambda m: m.zone)
        own = np.zeros((len(r_label), len(w_label)), bool)  # a mixed server writes itself what it reads
        own[tuple(self.rows.kept(self.columns))] = True
        self.mixed, self.open = mixed[:, None] > 0, own | (mixed[:, None] == 0)
        self.nearness = np.where(r_label[:, None] == w_label, 0, 1 + (r_zone[:, None] != w_zone))
        self.links = np.unique(r_label, return_inverse=True)[1]  # by row; the racks of a group count as one
        racks = {(label_of(m), m.cell) for m in readers}
        self.racks = np.bincount(np.searchsorted(np.unique(r_label), [label for label, _ in racks]))
        self.ways = [
            (i, r, way) for i, r in enumerate(self.rows.first) if not r.writes for way in set(self.nearness[i].tolist())
        ]  # nearnesses that a reader's moves may have
        self.price = self.far_price * (self.nearness > 0) + self.cross_price * (
            (r_zone != self.zone)[:, None] + ((w_zone != self.zone) & ~own)
        )
        alike = self.rows.counts[:, None]
        self.size = np.where(own, alike, alike * self.columns.counts) * self.open
        self.keep_shares(rows, columns, density)

    def grouping(self, readers, writers):
        """-> the key of a server's group, and a number for the racks that it stands for."""
        if len(readers) * len(writers) <= SINGLE_PAIRS * (STAY if self.racks_per_group else 1):
            self.racks_per_group = 0
            return lambda m: m.id, lambda m: m.cell
        racks, together = Racks(readers, writers), max(1, self.racks_per_group)
        while racks.pairs(readers, writers, together) > GROUP_PAIRS and together < len(racks):
            together *= 2
        while together > 1 and racks.pairs(readers, writers, together // 2) <= STAY * GROUP_PAIRS:
            together //= 2
        self.racks_per_group = together
        return lambda m: racks.key(m, together), lambda m: racks.label(m, together)

    def keep_shares(self, rows, columns, density):
        (here, was), (there, were) = self.rows.kept(rows), self.columns.kept(columns)
        pairs = np.zeros(self.size.shape)
        pairs[np.ix_(here, there)] = density[np.ix_(was, were)]
        pairs[pairs == 0] = pairs[pairs > 0].mean() if pairs.any() else 1.0
        self.pairs = pairs * self.size / ((pairs * self.size).sum() or 1.0)
        self.tell_shares()

    def tell_shares(self):
        shares = self.rows.spread(self.pairs.sum(axis=1))
        self.share = dict(zip(self.rows.index_of, np.maximum(shares, 1e-9).tolist()))

    def writer_shares(self):
        return self.columns.spread(self.pairs.sum(axis=0))

    def shares_from(self, reader):
        """The shares of all decode servers behind one prefill server; behind one that has left, the mean."""
        at = self.rows.index_of.get(reader.id)
        if at is None:
            return self.columns.spread(self.pairs.mean(axis=0))
        group = self.rows.group[at]
        shares = self.columns.spread(self.pairs[group])
        return self.nearer(reader, group, shares) if self.rows.grouped else shares

    def nearer(self, reader, group, shares):
        """Of what goes to the reader's group of racks its own rack gets what its decode servers can take:
        a rack with many readers must not drown its few."""
        near = (self.nearness[group] == 0)[self.columns.group]
        own = near & (self.columns.cells == reader.cell)
        if not own.any() or own.sum() == near.sum():
            return shares
        readers = (self.rows.group == group) & (self.rows.cells == reader.cell)
        part = min(1.0, own.sum() / near.sum() * self.rows.counts[group] / readers.sum())
        others, whole = near & ~own, shares[near].sum()
        shares[own] *= part * whole / (shares[own].sum() or 1.0)
        shares[others] *= (1 - part) * whole / (shares[others].sum() or 1.0)
        return shares

    def refresh(self, read, wait, demands, pace, good, load, tokens, hop):
        """Moves shares once. `read`, `wait`: latencies' parts, server by bin; `pace`: a factor of decode
        servers, `good` of both sides; `tokens`: of a mean prompt; `hop(reader, way)`: time to move one."""
        if self.racks_per_group:  # first, as a group is not bad for one bad server in it
            self.move_inside(self.rows, good[0])
            self.move_inside(self.columns, good[1] * pace - load.told)
        value = self.attainment(self.rows.mean(read), self.columns.mean(wait), demands, tokens, hop)
        value = value * self.columns.mean(pace)
        value *= np.outer(self.rows.mean(good[0]), self.columns.mean(good[1]))
        self.move_shares(value - self.price, load)

    def attainment(self, read, wait, demands, tokens, hop):
        """Estimated for each pair, before what is known to be bad or slow."""
        value = np.full(self.pairs.shape, 0.0 if demands else 1.0)
        alone, alike = value[:, 0].copy(), {}
        # How many wait bins each read bin leaves the writer, a table for all readers whose moves cost alike.
        begins = np.concatenate((np.zeros((len(wait), 1)), np.cumsum(wait, axis=1)), axis=1)
        for i, reader, way in self.ways:
            alike.setdefault((way, float("%.1g" % hop(reader, way))), []).append(i)
        for part, left in demands:
            alone += part * (read @ (left > 0))
            for (way, cost), rows in alike.items():
                over = left - tokens * cost
                bins = np.where(over > 0, np.searchsorted(EDGES, over) + 1, 0)
                value[rows] += part * (read[rows] @ begins[:, bins].T) * (self.nearness[rows] == way)
        return np.where(self.mixed, alone[:, None], value)

    def move_shares(self, base, load):
        """Each move counts at once as load to come."""
        equal, taking = (self.size / self.size.sum()).reshape(-1), max(1, round(self.open.sum() / ROUND))
        work = self.rows.mean(load.work)
        own, memory = self.columns.total(load.own), self.columns.total(load.memory)
        fixed = base - 0.1 * self.rows.mean(load.ahead)[:, None] - self.columns.mean(load.told)
        hops = load.flow[self.nearness] * (self.nearness > 0) * ~self.mixed
        for _ in range(MOVES):
            used = (own + load.streams * self.pairs.sum(axis=0)) / memory
            busy = 0.15 * (work * self.pairs.sum(axis=1) / self.rows.counts) ** 2
            link = (np.bincount(self.links, (hops * self.pairs).sum(axis=1)) / self.racks)[self.links]
            link = np.clip(link - 0.4, 0.0, 2.0) ** 2  # little used it delays nobody
            score = np.round(fixed - busy[:, None] - 0.4 * used * used - 0.6 * link[:, None] * (hops > 0), 6)
            score = np.where(self.open > 0, score, -9e9).reshape(-1)
            self.move(self.ends(score, equal, taking), score, self.pairs.reshape(-1), equal, taking)
        self.tell_shares()

    def ends(self, score, equal, taking):
        """Pairs by score; where they are many only the best, and the worst above the floor."""
        if not self.racks_per_group or 3 * taking > len(score):
            return np.argsort(score, kind="stable")
        low = np.where(self.pairs.reshape(-1) > FLOOR * equal, score, np.inf)
        best = np.argpartition(score, -taking)[-taking:]
        ends = np.concatenate((np.argpartition(low, taking)[:taking], best))
        return ends[np.argsort(score[ends], kind="stable")]

    @staticmethod
    def move(order, score, share, equal, taking):
        worst = order[share[order] > FLOOR * equal[order]][:taking]
        for best, worst in zip(order[: -taking - 1 : -1].tolist(), worst.tolist()):
            if best == worst or score[best] - score[worst] < LEAST_GAIN:
                break
            step = min(STEP * equal[worst], share[worst] - FLOOR * equal[worst] * 0.9)
            share[worst], share[best] = share[worst] - step, share[best] + step

    @staticmethod
    def move_inside(side, score):
        """One move of weight in each group, from its worst server above the floor to its best. By health and
        reports alone: what own requests tell of one server is chance here, and would scatter prefixes."""
        low = np.where(side.weight > FLOOR, score, np.inf)
        worst = np.lexsort((low, side.group))[side.starts]
        best = np.lexsort((score, side.group))[side.starts + side.counts - 1]
        gain = score[best] - low[worst] >= LEAST_GAIN
        worst, best = worst[gain], best[gain]
        step = np.minimum(STEP, side.weight[worst] - FLOOR * 0.9)
        side.weight[worst] -= step
        side.weight[best] += step
