"""The pair table of docs/design.md: for each pair of a prefill and a decode server its share of the requests. The shares follow
the estimated part of requests that the pair answers within their targets, and a small solver moves share from the worst pairs to
the best.

While there are few pairs, each server has a row or a column of its own. Beyond that, servers of one kind in some neighbouring
racks of a zone share one, and a second step moves weight inside each group: the work grows with servers, not with pairs."""

import numpy as np

from lapiswing.routing.groups import RackPositions, ServerGroups

MAX_SINGLE_PAIRS = 10_000  # with a row or column for each server: all pairs that a hundred servers can have
MAX_GROUP_PAIRS = 12_000  # of groups; reached with as many racks as the largest fleets have
MOVES_PER_REFRESH = 4  # moves of share from the worst to the best pairs
MAX_STEP = 0.7  # share that a pair gives up in one move, as a fraction of an equal share
MIN_SHARE = 0.14  # share that a pair keeps, so that it is still measured, as a fraction of an equal share
PAIRS_PER_MOVER = 32  # one in so many pairs takes part in a move
GROUPING_HYSTERESIS = 0.8  # a grouping stays until smaller groups would need less than this part of the limit
MIN_GAIN = 0.005  # difference of scores for which share moves
EDGES_US = np.array([15, 25, 40, 60, 90, 130, 190, 270, 390, 560, 800, 1150, 1650, 2400, 3500, 5000]) * 1000
BIN_MIDDLES_US = np.concatenate(([10_000], (EDGES_US[1:] + EDGES_US[:-1]) // 2, [8_000_000]))  # of latency bins
BIN_EDGES_US = EDGES_US.tolist()  # as a list, for bisect


class PairTable:
    """The shares of all pairs. Rows are prefill servers or groups of them, columns are decode servers."""

    def __init__(self, zone, far_price, cross_price):
        """`zone`: the gateway's own. Prices, in units of attainment: of leaving a rack and of crossing zones."""
        self.zone, self.far_price, self.cross_price = zone, far_price, cross_price
        self.rows = self.columns = ServerGroups([], None, {})
        self.racks_per_group = 0  # 0: each server has its own row or column
        self.pairs = self.pair_counts = np.zeros((0, 0))  # share of each pair of groups; number of server pairs in it
        self.share = {}  # of each prefill server, by id

    def arrange(self, readers, writers):
        """Takes over the present servers. Pairs that stay keep their shares, new ones get the mean."""
        rows, columns, density = self.rows, self.columns, self.pairs / np.maximum(1, self.pair_counts)
        key_of, label_of = self.choose_grouping(readers, writers)
        self.rows = ServerGroups(readers, key_of, dict(zip(rows.index_of, rows.weight.tolist())))
        self.columns = ServerGroups(writers, key_of, dict(zip(columns.index_of, columns.weight.tolist())))
        r_label, r_zone, mixed = self.rows.of_first(label_of, lambda s: s.zone, lambda s: s.writes)
        w_label, w_zone = self.columns.of_first(label_of, lambda s: s.zone)
        same = np.zeros((len(r_label), len(w_label)), bool)  # a mixed server writes what it reads itself
        same[tuple(self.rows.common_groups(self.columns))] = True
        self.mixed, self.allowed = mixed[:, None] > 0, same | (mixed[:, None] == 0)
        # Distance of a move: 0 inside the racks of a group, 1 inside a zone, 2 across zones.
        self.distance = np.where(r_label[:, None] == w_label, 0, 1 + (r_zone[:, None] != w_zone))
        self.links = np.unique(r_label, return_inverse=True)[1]  # by row; the racks of a group count as one
        racks = {(label_of(r), r.cell) for r in readers}
        self.racks_of_link = np.bincount(np.searchsorted(np.unique(r_label), [label for label, _ in racks]))
        self.distances_from = [
            (i, reader, distance)
            for i, reader in enumerate(self.rows.first)
            if not reader.writes
            for distance in set(self.distance[i].tolist())
        ]  # those that the moves from each row may have
        self.price = self.far_price * (self.distance > 0) + self.cross_price * (
            (r_zone != self.zone)[:, None] + ((w_zone != self.zone) & ~same)
        )
        row_counts = self.rows.counts[:, None]
        self.pair_counts = np.where(same, row_counts, row_counts * self.columns.counts) * self.allowed
        self.carry_over_shares(rows, columns, density)

    def choose_grouping(self, readers, writers):
        """-> functions for the key of a server's group, and for a number that identifies the racks of that group."""
        if len(readers) * len(writers) <= MAX_SINGLE_PAIRS * (GROUPING_HYSTERESIS if self.racks_per_group else 1):
            self.racks_per_group = 0
            return lambda s: s.id, lambda s: s.cell
        racks, together = RackPositions(readers, writers), max(1, self.racks_per_group)
        while racks.pairs(readers, writers, together) > MAX_GROUP_PAIRS and together < len(racks):
            together *= 2
        while together > 1 and racks.pairs(readers, writers, together // 2) <= GROUPING_HYSTERESIS * MAX_GROUP_PAIRS:
            together //= 2
        self.racks_per_group = together
        return lambda s: racks.key(s, together), lambda s: racks.label(s, together)

    def carry_over_shares(self, rows, columns, density):
        """Keeps the shares of the earlier arrangement, `density` being the share per server pair."""
        (row, old_row), (column, old_column) = self.rows.common_groups(rows), self.columns.common_groups(columns)
        pairs = np.zeros(self.pair_counts.shape)
        pairs[np.ix_(row, column)] = density[np.ix_(old_row, old_column)]
        pairs[pairs == 0] = pairs[pairs > 0].mean() if pairs.any() else 1.0
        self.pairs = pairs * self.pair_counts / ((pairs * self.pair_counts).sum() or 1.0)
        self.update_shares()

    def update_shares(self):
        """Recomputes the shares of single prefill servers."""
        shares = self.rows.distribute(self.pairs.sum(axis=1))
        self.share = dict(zip(self.rows.index_of, np.maximum(shares, 1e-9).tolist()))

    def writer_shares(self):
        """The shares of all decode servers."""
        return self.columns.distribute(self.pairs.sum(axis=0))

    def shares_from(self, reader):
        """The shares of all decode servers for requests read at one prefill server; the mean for one that has left."""
        index = self.rows.index_of.get(reader.id)
        if index is None:
            return self.columns.distribute(self.pairs.mean(axis=0))
        group = self.rows.group[index]
        shares = self.columns.distribute(self.pairs[group])
        return self.prefer_own_rack(reader, group, shares) if self.rows.grouped else shares

    def prefer_own_rack(self, reader, group, shares):
        """Moves the share that stays in the reader's group of racks to its own rack, as far as the rack's decode servers can
        take it: a rack with many prefill servers must not overload its few decode servers."""
        near = (self.distance[group] == 0)[self.columns.group]
        own = near & (self.columns.cells == reader.cell)
        if not own.any() or own.sum() == near.sum():
            return shares
        readers = (self.rows.group == group) & (self.rows.cells == reader.cell)
        part = min(1.0, own.sum() / near.sum() * self.rows.counts[group] / readers.sum())
        others, total = near & ~own, shares[near].sum()
        shares[own] *= part * total / (shares[own].sum() or 1.0)
        shares[others] *= (1 - part) * total / (shares[others].sum() or 1.0)
        return shares

    def refresh(self, read, wait, demands, speed, health, load, mean_tokens, move_us_per_token):
        """Moves shares once. `read`, `wait`: latency distributions, server by bin; `speed`: a factor of each decode server;
        `health`: factors of prefill and of decode servers; `mean_tokens`: of a prompt; `move_us_per_token(reader, distance)`:
        time of moving a state."""
        if self.racks_per_group:  # first, so that one failing server does not make its group look bad
            self.move_weights(self.rows, health[0])
            self.move_weights(self.columns, health[1] * speed - load.memory_penalty)
        value = self.attainment(self.rows.mean(read), self.columns.mean(wait), demands, mean_tokens, move_us_per_token)
        value = value * self.columns.mean(speed)
        value *= np.outer(self.rows.mean(health[0]), self.columns.mean(health[1]))
        self.move_shares(value - self.price, load)

    def attainment(self, read, wait, demands, mean_tokens, move_us_per_token):
        """Estimated part of the requests that each pair answers in time, apart from failures and slow streams."""
        value = np.full(self.pairs.shape, 0.0 if demands else 1.0)
        direct, rows_by_cost = value[:, 0].copy(), {}
        # Probability of a wait below each number of bins: one table serves all readers whose moves cost the same.
        within = np.concatenate((np.zeros((len(wait), 1)), np.cumsum(wait, axis=1)), axis=1)
        for i, reader, distance in self.distances_from:
            rows_by_cost.setdefault((distance, float("%.1g" % move_us_per_token(reader, distance))), []).append(i)
        for fraction, left_us in demands:
            direct += fraction * (read @ (left_us > 0))
            for (distance, us_per_token), rows in rows_by_cost.items():
                after_move_us = left_us - mean_tokens * us_per_token
                bins = np.where(after_move_us > 0, np.searchsorted(EDGES_US, after_move_us) + 1, 0)
                value[rows] += fraction * (read[rows] @ within[:, bins].T) * (self.distance[rows] == distance)
        return np.where(self.mixed, direct[:, None], value)

    def move_shares(self, base, load):
        """Moves share several times; each move counts at once in the load that the next one sees."""
        equal, movers = (
            (self.pair_counts / self.pair_counts.sum()).reshape(-1),
            max(1, round(self.allowed.sum() / PAIRS_PER_MOVER)),
        )
        work = self.rows.mean(load.work)
        own, memory = self.columns.total(load.own_tokens), self.columns.total(load.memory_tokens)
        fixed = base - 0.1 * self.rows.mean(load.queued_s)[:, None] - self.columns.mean(load.memory_penalty)
        link_use = load.link_use[self.distance] * (self.distance > 0) * ~self.mixed
        for _ in range(MOVES_PER_REFRESH):
            used = (own + load.shared_tokens * self.pairs.sum(axis=0)) / memory
            busy = 0.15 * (work * self.pairs.sum(axis=1) / self.rows.counts) ** 2
            link = (np.bincount(self.links, (link_use * self.pairs).sum(axis=1)) / self.racks_of_link)[self.links]
            link = np.clip(link - 0.4, 0.0, 2.0) ** 2  # a link that is little used delays no move
            score = np.round(fixed - busy[:, None] - 0.4 * used * used - 0.6 * link[:, None] * (link_use > 0), 6)
            score = np.where(self.allowed > 0, score, -9e9).reshape(-1)
            self.move(self.by_score(score, equal, movers), score, self.pairs.reshape(-1), equal, movers)
        self.update_shares()

    def by_score(self, score, equal, movers):
        """Indices of the pairs in the order of their scores; where there are many, only the worst above the minimum share and
        the best."""
        if not self.racks_per_group or 3 * movers > len(score):
            return np.argsort(score, kind="stable")
        low = np.where(self.pairs.reshape(-1) > MIN_SHARE * equal, score, np.inf)
        best = np.argpartition(score, -movers)[-movers:]
        ends = np.concatenate((np.argpartition(low, movers)[:movers], best))
        return ends[np.argsort(score[ends], kind="stable")]

    @staticmethod
    def move(order, score, share, equal, movers):
        """One move of share from the worst pairs above the minimum share to the best, pair by pair."""
        givers = order[share[order] > MIN_SHARE * equal[order]][:movers]
        for best, worst in zip(order[: -movers - 1 : -1].tolist(), givers.tolist()):
            if best == worst or score[best] - score[worst] < MIN_GAIN:
                break
            step = min(MAX_STEP * equal[worst], share[worst] - MIN_SHARE * equal[worst] * 0.9)
            share[worst], share[best] = share[worst] - step, share[best] + step

    @staticmethod
    def move_weights(side, score):
        """One move of weight in each group, from its worst server above the minimum to its best. Scored by health and reports
        alone: what own requests say about a single server here is chance, and following it would scatter prefixes."""
        low = np.where(side.weight > MIN_SHARE, score, np.inf)
        worst = np.lexsort((low, side.group))[side.starts]
        best = np.lexsort((score, side.group))[side.starts + side.counts - 1]
        gain = score[best] - low[worst] >= MIN_GAIN
        worst, best = worst[gain], best[gain]
        step = np.minimum(MAX_STEP, side.weight[worst] - MIN_SHARE * 0.9)
        side.weight[worst] -= step
        side.weight[best] += step
