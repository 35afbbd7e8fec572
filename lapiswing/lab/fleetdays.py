"""Bad days of a simulated fleet, drawn by seed: parts that lose each other, loss, processes killed, stopped
and started again on disks that were kept, emptied or put back to an earlier state (of less than a third of
the members), while rows are written. What must hold is checked as rows arrive and at the end. A seed that
fails is played again by the same call.

    play(seed)  -> Day; `day.faults` are the invariants that did not hold, in words"""

import copy
from typing import NamedTuple

import numpy as np

from lapiswing.lab.fleetsim import Fleet

S = 1000
LENGTH_S, CALM_S = 60, 40


class Day(NamedTuple):
    seed: int
    faults: list  # words; empty where all held
    actions: list  # (ms, what was done)
    rows: int
    identities: int


class Player:
    def __init__(self, seed, members):
        self.rng = np.random.default_rng([seed, 9])
        self.fleet, self.seed, self.n = Fleet(members, seed), seed, members
        self.fleet.on_row = self.row_came
        self.faults, self.actions, self.count = [], [], 0
        self.seen = {}  # (writer, key, version) -> {value: members that took it}
        self.kept = {}  # member -> an earlier disk of it
        # Whose disks fail.
        self.poor = set(self.rng.choice(members, (members - 1) // 3, replace=False).tolist())

    def say(self, text):
        self.actions.append((self.fleet.now // S, text))

    def row_came(self, node, row, raw):
        """What a majority has seen, the writer included, is never written over: one version is one value."""
        at = (row.writer, row.key, row.version)
        values = self.seen.setdefault(at, {})
        if row.value not in values and any(self.many(members) for members in values.values()):
            self.faults.append(f"{at} has two values, one came to gw-{node.index}")
        values.setdefault(row.value, set()).add(node.index)

    def many(self, members):
        return (len(members) + 1) * 2 > self.n

    def some(self):
        return int(self.rng.integers(self.n))

    # ---- what a day is made of

    def write(self):
        i = self.some()
        node = self.fleet.nodes[i]
        if node.link is None or not node.link.may_write() or node.stopped_until > self.fleet.now:
            return
        self.count += 1
        self.fleet.write(i, f"k{int(self.rng.integers(3))}", b"%d" % self.count)

    def cut(self):
        side = {i for i in range(self.n) if self.rng.random() < 0.4}
        one_way = self.rng.random() < 0.2
        self.say(f"cut {sorted(side)}{' one way' if one_way else ''}")
        self.fleet.cut(side, set(range(self.n)) - side, one_way)

    def heal(self):
        self.say("heal")
        self.fleet.heal()

    def bad_links(self):
        net = self.fleet.net
        net.loss, net.twice, net.flip = (float(x) for x in self.rng.random(3) * (0.3, 0.2, 0.05))
        net.delay = (200, int(2000 + self.rng.random() * 300_000))
        self.say(f"loss {net.loss:.2f}, twice {net.twice:.2f}, flip {net.flip:.2f}, delay to {net.delay[1] // S} ms")

    def good_links(self):
        net = self.fleet.net
        net.loss = net.twice = net.flip = 0.0
        net.delay = (200, 2000)

    def stop(self):
        i, ms = self.some(), int(100 * 50 ** self.rng.random())
        if self.fleet.nodes[i].link is not None:
            self.say(f"stop {i} for {ms} ms")
            self.fleet.stop(i, ms)

    def kill(self):
        i = self.some()
        if self.fleet.nodes[i].link is not None:
            self.say(f"kill {i}")
            self.fleet.kill(i)

    def start(self):
        down = [i for i, node in enumerate(self.fleet.nodes) if node.link is None]
        if not down:
            return
        i = down[int(self.rng.integers(len(down)))]
        how = ("kept", "kept", "emptied", "put back")[int(self.rng.integers(4))] if i in self.poor else "kept"
        node = self.fleet.nodes[i]
        if how == "put back":
            if i not in self.kept:
                return
            node.disk = copy.deepcopy(self.kept[i])
        self.say(f"start {i}, disk {how}")
        node.stopped_until = 0
        self.fleet.start(i, keep=how != "emptied")

    def keep_a_disk(self):
        i = self.some()
        self.kept[i] = copy.deepcopy(self.fleet.nodes[i].disk)

    def play(self):
        fleet = self.fleet
        fleet.start_all(1000)
        fleet.run(4 * S)
        acts = [
            (0.60, self.write),
            (0.06, self.cut),
            (0.08, self.heal),
            (0.04, self.bad_links),
            (0.05, self.good_links),
            (0.05, self.stop),
            (0.05, self.kill),
            (0.05, self.start),
            (0.02, self.keep_a_disk),
        ]
        ends = np.cumsum([part for part, _ in acts])
        end = fleet.now + LENGTH_S * S * S
        while fleet.now < end:
            fleet.run(int(self.rng.exponential(120)) + 1)
            acts[min(int(np.searchsorted(ends, self.rng.random() * ends[-1])), len(acts) - 1)][1]()
        self.end()
        return Day(self.seed, self.faults, self.actions, len(self.seen), sum(n.link.counts["identities"] for n in fleet.up()))

    def end(self):
        """All is well again: everybody is back, and then everybody knows everything."""
        fleet = self.fleet
        fleet.heal()
        self.good_links()
        for i, node in enumerate(fleet.nodes):
            node.stopped_until = 0
            if node.link is None:
                fleet.start(i)

        def well():
            return fleet.all_alive() and all(n.link.may_write() for n in fleet.up())

        if fleet.run(CALM_S * S, well) is None:
            self.faults.append(
                "they did not find each other, or some may not write: "
                + ", ".join(
                    f"gw-{n.index} sees {len(n.link.members.alive())}{'' if n.link.may_write() else ', may not write'}"
                    for n in fleet.up()
                )
            )
        if fleet.run(CALM_S * S, fleet.same_rows) is None:
            self.faults.append("rows differ at the end")
        for node in fleet.up():
            link = node.link
            newest = max(
                (
                    version
                    for (writer, _, version), values in self.seen.items()
                    if writer == link.id and any(map(self.many, values.values()))
                ),
                default=0,
            )
            if newest > link.rows.version:
                self.faults.append(f"gw-{node.index} goes on as {link.id}, behind what a majority has seen")


def play(seed, members=8):
    return Player(seed, members).play()
