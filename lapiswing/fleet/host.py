"""The fleet link in a gateway: sockets, ticks, and the disk. A row is on the disk before it is told.

Keys in the store: `f/life` the own identity's life, `f/o/KEY` own rows, `f/r/WRITER/KEY` rows of others.
Without a store each start is a new identity, and nothing is remembered."""

import os
from random import SystemRandom

from lapiswing.fleet.link import TICK_US, Link
from lapiswing.fleet.transport import Streams
from lapiswing.store import Memory

LEAVE_US = 100_000
LIFE, OWN, OTHERS = b"f/life", b"f/o/", b"f/r/"


class Host:
    def __init__(self, loop, settings, name, zone, store, log, on_row=None, on_member=None, on_identity=None):
        """`settings`: the checked Fleet message; `store`: open, or None."""
        self.loop, self.settings, self.log = loop, settings, log
        self.store = Memory().open() if store is None else store
        self.name, self.zone = name, zone
        self.hear_row, self.hear_member = on_row or (lambda row: None), on_member or (lambda one, was: None)
        self.hear_identity = on_identity or (lambda old, new: None)
        self.link = self.transport = self.timer = None
        self.unwritten = 0  # own rows that the disk did not take

    def start(self):
        """Raises OSError: the address can't be listened on."""
        s = self.settings
        self.transport = Streams(self.loop, s.listen.host, s.listen.port, self.heard)
        address = s.address or f"{s.listen.host}:{self.transport.port}"
        life = self.store.get(LIFE)
        self.link = Link(
            self.name,
            address,
            list(s.peer),
            [k.encode() for k in s.key],
            SystemRandom().random,
            os.urandom(16),
            self.transport.send,
            self.loop.clock.now_us(),
            life.decode() if life else None,
            self.zone,
            on_row=self.on_row,
            on_member=self.on_member,
            on_log=self.on_log,
            on_identity=self.on_identity,
        )
        bad = self.link.restore(value for prefix in (OWN, OTHERS) for _, value in self.store.range(prefix, prefix[:-1] + b"0"))
        self.store.put([self.life()])
        self.log.info(
            "fleet link", id=self.link.id, at=address, peers=len(s.peer), rows=len(self.link.rows.table), unreadable=bad or None
        )
        self.tick()

    def tick(self):
        self.timer = self.loop.call_later(TICK_US, self.tick)
        self.link.tick(self.loop.clock.now_us())

    def heard(self, data):
        if self.link is not None:
            self.link.heard(self.loop.clock.now_us(), data)

    # ---- rows

    def write(self, key, value, done=None):
        """An own row. `done(why)`: None once it is on the disk and on its way. Raises ValueError: it may not
        be written now, is too large, or there is no room."""
        row, raw = self.link.write(key, value)

        def written(why):
            if why is None:
                self.link.tell(raw)
            else:
                # It is not told, so nobody else knows of it; the version stays used up.
                self.unwritten += 1
                self.log.error("a row of this copy can't be written", key=key, why=why)
            if done:
                done(why)

        self.store.put([(OWN + key.encode(), raw, 0)], written)
        return row

    def on_row(self, row, raw):
        self.store.put([(OTHERS + f"{row.writer}/{row.key}".encode(), raw, 0)])
        self.hear_row(row)

    def on_member(self, one, was):
        if one.state != "suspected" and was != "suspected" or one.state == "gone":
            self.log.info("fleet member", id=one.id, state=one.state, was=was, living=len(self.link.members.alive()) + 1)
        self.hear_member(one, was)

    def on_log(self, event, **figures):
        self.log.info(f"fleet: {event}", **figures)

    def on_identity(self, old, new):
        """What the old identity wrote is on the disk as another writer's from now on."""
        items = [self.life()]
        for key, raw in self.store.range(OWN, OWN[:-1] + b"0"):
            items += [(key, None, 0), (OTHERS + f"{old}/".encode() + key[len(OWN) :], raw, 0)]
        self.store.put(items)
        self.hear_identity(old, new)

    def life(self):
        return LIFE, self.link.life.encode(), 0

    # ---- for operators

    def facts(self):
        """Plain values: this copy, and each other one as it is seen from here."""
        link, now = self.link, self.loop.clock.now_us()
        members = sorted(link.members.all.values(), key=lambda m: m.id)
        return {
            "id": link.id,
            "may_write": link.may_write(),
            "rows": len(link.rows.table),
            "clumsy": link.members.clumsy,
            "counts": {**link.counts, **self.transport.counts},
            "members": [
                {"id": m.id, "address": m.address, "zone": m.zone, "state": m.state, "for_ms": (now - m.since_us) // 1000}
                for m in members
            ],
        }

    def close(self, at_once=False):
        """Says that it leaves, and closes a moment later, when that is with the kernel. `at_once`: as a kill
        would."""
        if at_once:
            self.timer.cancel()
            return self.transport.close()
        if not self.link.members.left:
            self.link.leave()
            self.timer.cancel()
            self.loop.call_later(LEAVE_US, self.transport.close)
