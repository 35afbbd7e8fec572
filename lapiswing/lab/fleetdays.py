"""Random fault runs ("days") of a simulated fleet: network partitions, message loss, and processes that are killed, stopped
and restarted while rows are written. After a restart the disk may be kept, emptied or rolled back to an earlier state; the
last two happen to less than a third of the members. Invariants are checked as rows arrive and at the end. The same seed
gives the same day.

    play(seed)  -> Day; `day.faults` describes the invariants that did not hold"""

import copy
from typing import NamedTuple

import numpy as np

from lapiswing.lab.fleetsim import Fleet

S = 1000  # ms per second, and microseconds per ms
LENGTH_S, RECOVERY_LIMIT_S = 60, 40  # the part with faults; the time for each condition that must hold after it


class Day(NamedTuple):
    """The result of a run."""

    seed: int
    faults: list  # descriptions of the violated invariants
    actions: list  # (ms, injected fault or its end)
    rows: int
    identities: int


class Player:
    """Runs one day: performs random actions on the fleet and checks the invariants."""

    def __init__(self, seed, members):
        self.rng = np.random.default_rng([seed, 9])
        self.fleet, self.seed, self.n = Fleet(members, seed), seed, members
        self.fleet.on_row = self.check_row
        self.faults, self.actions, self.count = [], [], 0
        self.seen = {}  # (writer, key, version) -> {value: members that have it}
        self.saved_disks = {}  # member -> an earlier copy of its disk
        # Members whose disks may be emptied or rolled back.
        self.unreliable_disks = set(self.rng.choice(members, (members - 1) // 3, replace=False).tolist())

    def note_action(self, text):
        self.actions.append((self.fleet.now // S, text))

    def check_row(self, node, row, raw):
        """A version that a majority has seen, the writer included, never gets a second value."""
        version_key = (row.writer, row.key, row.version)
        values = self.seen.setdefault(version_key, {})
        if row.value not in values and any(self.is_majority(members) for members in values.values()):
            self.faults.append(f"{version_key} has two values, one arrived at gw-{node.index}")
        values.setdefault(row.value, set()).add(node.index)

    def is_majority(self, members):
        """Whether these members and the writer are a majority."""
        return (len(members) + 1) * 2 > self.n

    def random_member(self):
        return int(self.rng.integers(self.n))

    # ---- the actions

    def write(self):
        i = self.random_member()
        node = self.fleet.nodes[i]
        if node.link is None or not node.link.may_write() or node.stopped_until > self.fleet.now:
            return
        self.count += 1
        self.fleet.write(i, f"k{int(self.rng.integers(3))}", b"%d" % self.count)

    def cut(self):
        side = {i for i in range(self.n) if self.rng.random() < 0.4}
        one_way = self.rng.random() < 0.2
        self.note_action(f"cut {sorted(side)}{' one way' if one_way else ''}")
        self.fleet.cut(side, set(range(self.n)) - side, one_way)

    def heal(self):
        self.note_action("heal")
        self.fleet.heal()

    def bad_links(self):
        net = self.fleet.net
        net.loss, net.twice, net.flip = (float(x) for x in self.rng.random(3) * (0.3, 0.2, 0.05))
        net.delay = (200, int(2000 + self.rng.random() * 300_000))
        self.note_action(f"loss {net.loss:.2f}, twice {net.twice:.2f}, flip {net.flip:.2f}, delay to {net.delay[1] // S} ms")

    def good_links(self):
        net = self.fleet.net
        net.loss = net.twice = net.flip = 0.0
        net.delay = (200, 2000)

    def stop(self):
        i, ms = self.random_member(), int(100 * 50 ** self.rng.random())
        if self.fleet.nodes[i].link is not None:
            self.note_action(f"stop {i} for {ms} ms")
            self.fleet.stop(i, ms)

    def kill(self):
        i = self.random_member()
        if self.fleet.nodes[i].link is not None:
            self.note_action(f"kill {i}")
            self.fleet.kill(i)

    def start(self):
        down = [i for i, node in enumerate(self.fleet.nodes) if node.link is None]
        if not down:
            return
        i = down[int(self.rng.integers(len(down)))]
        disk = ("kept", "kept", "emptied", "rolled back")[int(self.rng.integers(4))] if i in self.unreliable_disks else "kept"
        node = self.fleet.nodes[i]
        if disk == "rolled back":
            if i not in self.saved_disks:
                return
            node.disk = copy.deepcopy(self.saved_disks[i])
        self.note_action(f"start {i}, disk {disk}")
        node.stopped_until = 0
        self.fleet.start(i, keep=disk != "emptied")

    def save_disk(self):
        """Keeps a copy of a disk, to which it may be rolled back later."""
        i = self.random_member()
        self.saved_disks[i] = copy.deepcopy(self.fleet.nodes[i].disk)

    def play(self):
        """Runs the day. Returns its result."""
        fleet = self.fleet
        fleet.start_all(1000)
        fleet.run(4 * S)
        actions = [
            (0.60, self.write),
            (0.06, self.cut),
            (0.08, self.heal),
            (0.04, self.bad_links),
            (0.05, self.good_links),
            (0.05, self.stop),
            (0.05, self.kill),
            (0.05, self.start),
            (0.02, self.save_disk),
        ]
        bounds = np.cumsum([weight for weight, _ in actions])
        end = fleet.now + LENGTH_S * S * S
        while fleet.now < end:
            fleet.run(int(self.rng.exponential(120)) + 1)
            actions[min(int(np.searchsorted(bounds, self.rng.random() * bounds[-1])), len(actions) - 1)][1]()
        self.end()
        return Day(self.seed, self.faults, self.actions, len(self.seen), sum(n.link.counts["identities"] for n in fleet.up()))

    def end(self):
        """Ends all faults and restarts all members; then the fleet must recover and agree on all rows."""
        fleet = self.fleet
        fleet.heal()
        self.good_links()
        for i, node in enumerate(fleet.nodes):
            node.stopped_until = 0
            if node.link is None:
                fleet.start(i)

        def recovered():
            return fleet.all_alive() and all(n.link.may_write() for n in fleet.up())

        if fleet.run(RECOVERY_LIMIT_S * S, recovered) is None:
            self.faults.append(
                "members did not find each other, or some may not write: "
                + ", ".join(
                    f"gw-{n.index} sees {len(n.link.members.alive())}{'' if n.link.may_write() else ', may not write'}"
                    for n in fleet.up()
                )
            )
        if fleet.run(RECOVERY_LIMIT_S * S, fleet.same_rows) is None:
            self.faults.append("rows differ at the end")
        for node in fleet.up():
            link = node.link
            newest = max(
                (
                    version
                    for (writer, _, version), values in self.seen.items()
                    if writer == link.id and any(map(self.is_majority, values.values()))
                ),
                default=0,
            )
            if newest > link.rows.own_version:
                self.faults.append(f"gw-{node.index} continues as {link.id} with an older version than a majority has seen")


def play(seed, members=8):
    """Runs the day of `seed`."""
    return Player(seed, members).play()
