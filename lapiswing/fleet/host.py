"""The fleet link in a running gateway: sockets, timer and store. A row is on the disk before it is sent to others.

Keys in the store: `f/life` the suffix of the own identity, `f/o/KEY` own rows, `f/r/WRITER/KEY` rows of others.
Without a store each start takes a new identity, and nothing is remembered."""

import os
from random import SystemRandom

from lapiswing.fleet.link import TICK_US, Link
from lapiswing.fleet.transport import Streams
from lapiswing.store import Memory

LEAVE_DELAY_US = 100_000  # from sending the last messages until the transport is closed
IDENTITY_KEY, OWN_PREFIX, OTHERS_PREFIX = b"f/life", b"f/o/", b"f/r/"


class Host:
    """Runs the link of one gateway."""

    def __init__(self, loop, settings, name, zone, store, log, on_row=None, on_member=None, on_identity=None):
        """`settings`: the checked Fleet message; `store`: open, or None."""
        self.loop, self.settings, self.log = loop, settings, log
        self.store = Memory().open() if store is None else store
        self.name, self.zone = name, zone
        self.row_handler, self.member_handler = on_row or (lambda row: None), on_member or (lambda member, old_state: None)
        self.identity_handler = on_identity or (lambda old, new: None)
        self.link = self.transport = self.timer = None
        self.failed_writes = 0  # own rows that could not be written to the disk

    def start(self):
        """Raises OSError: the address can't be listened on."""
        s = self.settings
        self.transport = Streams(self.loop, s.listen.host, s.listen.port, self.on_message)
        address = s.address or f"{s.listen.host}:{self.transport.port}"
        identity_suffix = self.store.get(IDENTITY_KEY)
        self.link = Link(
            self.name,
            address,
            list(s.peer),
            [k.encode() for k in s.key],
            SystemRandom().random,
            os.urandom(16),
            self.transport.send,
            self.loop.clock.now_us(),
            identity_suffix.decode() if identity_suffix else None,
            self.zone,
            on_row=self.on_row,
            on_member=self.on_member,
            on_log=self.on_log,
            on_identity=self.on_identity,
        )
        unreadable = self.link.restore(
            value for prefix in (OWN_PREFIX, OTHERS_PREFIX) for _, value in self.store.range(prefix, prefix[:-1] + b"0")
        )
        self.store.put([self.identity_record()])
        self.log.info(
            "fleet link",
            id=self.link.id,
            at=address,
            peers=len(s.peer),
            rows=len(self.link.rows.table),
            unreadable=unreadable or None,
        )
        self.tick()

    def tick(self):
        self.timer = self.loop.call_later(TICK_US, self.tick)
        self.link.tick(self.loop.clock.now_us())

    def on_message(self, data):
        if self.link is not None:
            self.link.heard(self.loop.clock.now_us(), data)

    # ---- rows

    def write(self, key, value, done=None):
        """Writes a row of this gateway. `done(why)` is called with None once it is on the disk and published, else
        with the error. Raises ValueError: writing is not allowed now, the row is too large, or the table is full."""
        row, raw = self.link.write(key, value)

        def written(why):
            if why is None:
                self.link.publish(raw)
            else:
                # The row is not published, so no other member knows it; its version number is not used again.
                self.failed_writes += 1
                self.log.error("a row of this copy can't be written", key=key, why=why)
            if done:
                done(why)

        self.store.put([(OWN_PREFIX + key.encode(), raw, 0)], written)
        return row

    def on_row(self, row, raw):
        self.store.put([(OTHERS_PREFIX + f"{row.writer}/{row.key}".encode(), raw, 0)])
        self.row_handler(row)

    def on_member(self, member, old_state):
        if member.state != "suspected" and old_state != "suspected" or member.state == "gone":
            self.log.info(
                "fleet member", id=member.id, state=member.state, was=old_state, living=len(self.link.members.alive()) + 1
            )
        self.member_handler(member, old_state)

    def on_log(self, event, **fields):
        self.log.info(f"fleet: {event}", **fields)

    def on_identity(self, old, new):
        """Stores the rows of the old identity as those of another writer."""
        items = [self.identity_record()]
        for key, raw in self.store.range(OWN_PREFIX, OWN_PREFIX[:-1] + b"0"):
            items += [(key, None, 0), (OTHERS_PREFIX + f"{old}/".encode() + key[len(OWN_PREFIX) :], raw, 0)]
        self.store.put(items)
        self.identity_handler(old, new)

    def identity_record(self):
        return IDENTITY_KEY, self.link.identity_suffix.encode(), 0

    # ---- for operators

    def facts(self):
        """Plain values: this gateway, and every other one as seen from here."""
        link, now = self.link, self.loop.clock.now_us()
        members = sorted(link.members.all.values(), key=lambda m: m.id)
        return {
            "id": link.id,
            "may_write": link.may_write(),
            "rows": len(link.rows.table),
            "clumsy": link.members.local_health,
            "counts": {**link.counts, **self.transport.counts},
            "members": [
                {"id": m.id, "address": m.address, "zone": m.zone, "state": m.state, "for_ms": (now - m.since_us) // 1000}
                for m in members
            ],
        }

    def close(self, at_once=False):
        """Announces that this gateway leaves, and closes shortly afterwards, when the kernel has the messages.
        `at_once`: closes without an announcement, like a killed process."""
        if at_once:
            self.timer.cancel()
            return self.transport.close()
        if not self.link.members.left:
            self.link.leave()
            self.timer.cancel()
            self.loop.call_later(LEAVE_DELAY_US, self.transport.close)
