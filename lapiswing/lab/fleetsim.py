"""Simulates a fleet of gateway links (`lapiswing.fleet.link`) with a simulated clock and network. Runs many members faster than
real time and injects faults; the same seed gives the same run.

    sim = Fleet(200, seed=1); sim.start_all(within_ms=1000); sim.run(5000)
    sim.net.loss = 0.3; sim.cut({0, 1}, {2, 3}); sim.kill(4); sim.stop(5, 2000); sim.start(4)

Every member's disk is a dict, which a fault may empty or roll back. The wall clock is not used."""

import heapq
from itertools import count

import numpy as np

from lapiswing.fleet.link import TICK_US, Link
from lapiswing.fleet.members import MemberConfig
from lapiswing.standin.wire import Fates

MS = 1000  # in microseconds
CHECK_PERIOD_US = 10 * MS  # how often `run` evaluates the condition that it waits for
KEY = b"a key of the simulated fleet...."


class Network(Fates):
    """Applies the same random faults to all links, and cuts links between sets of members. Times in microseconds."""

    def __init__(self, rng):
        super().__init__(rng, (200, 2000))
        self.cuts = []  # (senders, targets): messages from the first set to the second are lost

    def reaches(self, sender, target):
        """Whether messages from `sender` to `target` pass."""
        return not any(sender in a and target in b for a, b in self.cuts)


class Node:
    """One member: its link while its process runs, and what outlives the process."""

    def __init__(self, index):
        self.index, self.link, self.epoch, self.stopped_until = index, None, 0, 0
        self.disk = {"life": None, "rows": {}}
        self.events, self.unread = [], []  # (us, log event, fields); messages that came while it was stopped


class Fleet:
    """The members, the network between them and the queue of simulated events."""

    def __init__(self, n, seed, seeds=3, figures=MemberConfig()):
        self.seed, self.figures = seed, figures
        self.net = Network(np.random.default_rng([seed, 1]))
        self.rng = np.random.default_rng([seed, 2])
        self.nodes = [Node(i) for i in range(n)]
        self.seeds = [self.address(i) for i in range(min(seeds, n))]
        self.now, self.queue, self.order, self.starts = 1_000_000, [], count(), count()
        self.messages = 0  # sent so far
        self.on_row = lambda node, row, raw: None

    @staticmethod
    def address(index):
        return f"10.0.{index // 250}.{index % 250}:9300"

    def call_later(self, after_us, callback, *args):
        heapq.heappush(self.queue, (self.now + after_us, next(self.order), callback, args))

    # ---- members

    def start(self, i, keep=True):
        """Starts the process of member `i`. `keep=False` empties its disk first. Returns its Link."""
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
            identity_suffix=node.disk["life"],
            config=self.figures,
            on_log=lambda event, **figures: node.events.append((self.now, event, figures)),
            on_row=lambda row, raw, node=node: self.on_row(node, row, raw),
            on_identity=lambda old, new: self.keep_identity(node),
        )
        self.keep_identity(node)
        link.restore(node.disk["rows"].values())
        self.call_later(int(rng.random() * TICK_US), self.tick, node, node.epoch)
        return link

    def keep_identity(self, node):
        """Writes the identity of the member's link to its disk."""
        node.disk["life"] = node.link.identity_suffix

    def start_all(self, within_ms=1000):
        """Starts all members at random times within `within_ms`."""
        for i in range(len(self.nodes)):
            self.call_later(int(self.rng.random() * within_ms * MS), self.start, i)

    def kill(self, i):
        """Ends the process of member `i`; its disk stays."""
        self.nodes[i].epoch += 1
        self.nodes[i].link = None

    def stop(self, i, for_ms):
        """Like SIGSTOP: the member neither ticks nor reads; a limited number of messages waits in its sockets."""
        self.nodes[i].stopped_until = self.now + for_ms * MS

    def tick(self, node, epoch):
        if node.epoch != epoch:
            return
        if node.stopped_until > self.now:
            return self.call_later(node.stopped_until - self.now, self.tick, node, epoch)
        unread, node.unread = node.unread, []
        for data in unread:
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
        for after_us, copy in self.net.fates(data):
            self.call_later(after_us, self.arrive, target, copy)

    def arrive(self, target, data):
        node = self.nodes[target]
        if node.link is None:
            return
        if node.stopped_until > self.now:
            if len(node.unread) < 200:
                node.unread.append(data)
            return
        node.link.heard(self.now, data)

    def write(self, i, key, value):
        """Writes a row as a host does: first to the disk, then to the other members. Returns the Row."""
        node = self.nodes[i]
        row, raw = node.link.write(key, value)
        node.disk["rows"][row.key] = raw
        node.link.publish(raw)
        return row

    # ---- faults

    def cut(self, a, b, one_way=False):
        """Loses all messages from the members `a` to `b`, and also back unless `one_way`."""
        self.net.cuts.append((set(a), set(b)))
        if not one_way:
            self.net.cuts.append((set(b), set(a)))

    def heal(self):
        self.net.cuts.clear()

    # ---- time

    def run(self, ms, until=None):
        """Lets `ms` pass, or less if `until()` becomes true. Returns the ms that passed, or None if `until` stayed false."""
        started, end, checked = self.now, self.now + ms * MS, self.now
        while self.queue and self.queue[0][0] <= end:
            self.now, _, callback, args = heapq.heappop(self.queue)
            callback(*args)
            if until is not None and self.now >= checked + CHECK_PERIOD_US:
                checked = self.now
                if until():
                    return (self.now - started) / MS
        self.now = end
        return ms if until is None or until() else None

    def up(self):
        """The members whose process runs."""
        return [node for node in self.nodes if node.link is not None]

    def sees(self, i, j):
        """The state that member i attributes to member j, looked up by j's current or last identity."""
        target = self.nodes[j]
        identity = target.link.id if target.link else f"gw-{j}#{target.disk['life']}"
        return self.nodes[i].link.members.state_of(identity)

    def all_alive(self):
        """Whether each running member sees all running members as alive."""
        up = self.up()
        return all(a.link.members.state_of(b.link.id) == "alive" for a in up for b in up)

    def same_rows(self):
        """Whether all running members have the same versions of all rows."""
        tables = [{key: row.version for key, row in node.link.rows.table.items()} for node in self.up()]
        return all(table == tables[0] for table in tables)
