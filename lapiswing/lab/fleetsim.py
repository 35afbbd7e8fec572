"""A fleet of links under a simulated clock and network, with faults by seed: many members, faster than real
time, the same seed giving the same run.

    sim = Fleet(200, seed=1); sim.start_all(within_ms=1000); sim.run(5000)
    sim.net.loss = 0.3; sim.cut({0, 1}, {2, 3}); sim.kill(4); sim.stop(5, 2000); sim.start(4)

Every member's disk is a dict that a fault may empty or roll back. Nothing here knows the wall clock."""

import heapq
from itertools import count

import numpy as np

from lapiswing.fleet.link import TICK_US, Link
from lapiswing.fleet.members import Figures
from lapiswing.standin.wire import Fates

MS = 1000
LOOK_US = 10 * MS  # how often `run` asks whether what it waits for has come about
KEY = b"a key of the simulated fleet...."


class Network(Fates):
    """One bad link's faults for all of them, and parts that are cut off. Times in us."""

    def __init__(self, rng):
        super().__init__(rng, (200, 2000))
        self.cuts = []  # (from, to): sets of members that don't reach each other this way

    def reaches(self, sender, target):
        return not any(sender in a and target in b for a, b in self.cuts)


class Node:
    def __init__(self, index):
        self.index, self.link, self.epoch, self.stopped_until = index, None, 0, 0
        self.disk = {"life": None, "rows": {}}
        self.events, self.held = [], []  # what it logged; what came while it stood still


class Fleet:
    def __init__(self, n, seed, seeds=3, figures=Figures()):
        self.seed, self.figures = seed, figures
        self.net = Network(np.random.default_rng([seed, 1]))
        self.rng = np.random.default_rng([seed, 2])
        self.nodes = [Node(i) for i in range(n)]
        self.seeds = [self.address(i) for i in range(min(seeds, n))]
        self.now, self.queue, self.order, self.starts = 1_000_000, [], count(), count()
        self.messages = 0
        self.on_row = lambda node, row, raw: None

    @staticmethod
    def address(index):
        return f"10.0.{index // 250}.{index % 250}:9300"

    def call_later(self, after_us, call, *args):
        heapq.heappush(self.queue, (self.now + after_us, next(self.order), call, args))

    # ---- members

    def start(self, i, keep=True):
        """A process. `keep`: its disk is what it was."""
        node = self.nodes[i]
        node.epoch += 1
        if not keep:
            node.disk = {"life": None, "rows": {}}
        rng = np.random.default_rng([self.seed, 3, i, next(self.starts)])
        node.link = link = Link(
            f"gw-{i}",
            self.address(i),
            self.seeds,
            [KEY],
            rng.random,
            rng.bytes(16),
            lambda address, data, node=node: self.send(node, address, data),
            self.now,
            life=node.disk["life"],
            figures=self.figures,
            on_log=lambda event, **figures: node.events.append((self.now, event, figures)),
            on_row=lambda row, raw, node=node: self.on_row(node, row, raw),
            on_identity=lambda old, new: self.keep_identity(node),
        )
        self.keep_identity(node)
        link.restore(node.disk["rows"].values())
        self.call_later(int(rng.random() * TICK_US), self.tick, node, node.epoch)
        return link

    def keep_identity(self, node):
        node.disk["life"] = node.link.life

    def start_all(self, within_ms=1000):
        for i in range(len(self.nodes)):
            self.call_later(int(self.rng.random() * within_ms * MS), self.start, i)

    def kill(self, i):
        self.nodes[i].epoch += 1
        self.nodes[i].link = None

    def stop(self, i, for_ms):
        """SIGSTOP: it neither ticks nor hears; what came waits in its sockets, as far as they hold it."""
        self.nodes[i].stopped_until = self.now + for_ms * MS

    def tick(self, node, epoch):
        if node.epoch != epoch:
            return
        if node.stopped_until > self.now:
            return self.call_later(node.stopped_until - self.now, self.tick, node, epoch)
        held, node.held = node.held, []
        for data in held:
            node.link.heard(self.now, data)
        node.link.tick(self.now)
        self.call_later(TICK_US, self.tick, node, epoch)

    # ---- messages

    def send(self, node, address, data):
        a, b = address.partition(":")[0].split(".")[2:]
        target = int(a) * 250 + int(b)
        self.messages += 1
        if not 0 <= target < len(self.nodes) or not self.net.reaches(node.index, target):
            return
        for after, copy in self.net.fates(data):
            self.call_later(after, self.arrive, target, copy)

    def arrive(self, target, data):
        node = self.nodes[target]
        if node.link is None:
            return
        if node.stopped_until > self.now:
            if len(node.held) < 200:
                node.held.append(data)
            return
        node.link.heard(self.now, data)

    def write(self, i, key, value):
        """As a host does it: on the disk, then told. -> the Row."""
        node = self.nodes[i]
        row, raw = node.link.write(key, value)
        node.disk["rows"][row.key] = raw
        node.link.tell(raw)
        return row

    # ---- faults

    def cut(self, a, b, one_way=False):
        self.net.cuts.append((set(a), set(b)))
        if not one_way:
            self.net.cuts.append((set(b), set(a)))

    def heal(self):
        self.net.cuts.clear()

    # ---- time

    def run(self, ms, until=None):
        """-> the ms that passed; with `until` at most `ms` pass, and None if it did not come about."""
        begun, end, looked = self.now, self.now + ms * MS, self.now
        while self.queue and self.queue[0][0] <= end:
            self.now, _, call, args = heapq.heappop(self.queue)
            call(*args)
            if until is not None and self.now >= looked + LOOK_US:
                looked = self.now
                if until():
                    return (self.now - begun) / MS
        self.now = end
        return ms if until is None or until() else None

    def up(self):
        return [node for node in self.nodes if node.link is not None]

    def sees(self, i, j):
        """The state of j in the eyes of i, by j's present or last identity."""
        target = self.nodes[j]
        identity = target.link.id if target.link else f"gw-{j}#{target.disk['life']}"
        return self.nodes[i].link.members.state_of(identity)

    def all_alive(self):
        up = self.up()
        return all(a.link.members.state_of(b.link.id) == "alive" for a in up for b in up)

    def same_rows(self):
        tables = [{at: row.version for at, row in node.link.rows.table.items()} for node in self.up()]
        return all(t == tables[0] for t in tables)
