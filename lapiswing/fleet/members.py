"""Membership of the fleet: SWIM (Das, Gupta, Motivala 2002) with Lifeguard's refinements (Dadgar, Phillips,
Currey 2018). No I/O: `tick` and the `on_*` methods are given the time and the messages received, and send by
`send(id, message)`.

A member is known by its identity, address, incarnation and state. Of two updates on one member the larger one
wins, by incarnation, then by state (alive, suspected, gone, left), so reordering, loss and repetition do not
matter. Only the member itself raises its incarnation, when it learns that it is suspected or declared gone.
docs/design/fleet.md has the reasons for each value."""

from math import ceil, log, log2
from typing import NamedTuple

import msgspec

from lapiswing.fleet.messages import MAX_NAME_LENGTH, MEMBER_DECODER, Ack, Ask, Everyone, Member, Nack, Ping, encode

MS = 1000
STATE_RANKS = {"alive": 0, "suspected": 1, "gone": 2, "left": 3}
MEMBERS_PER_MESSAGE = 200  # in one `Everyone`
MAX_UPDATE_BYTES = 1000  # of member updates in one message
INCARNATION_LIMIT = 1 << 40


class MemberConfig(NamedTuple):
    """Parameters of the membership protocol."""

    probe_period_us: int = 300 * MS  # between two probes
    probe_timeout_us: int = 100 * MS  # of a direct probe, after which indirect probes are requested
    indirect_probers: int = 3
    suspicion_us: tuple = (1000 * MS, 3000 * MS)  # duration of a suspicion: fully confirmed, unconfirmed
    max_confirmations: int = 3  # with these a suspicion has its shortest duration
    max_local_health: int = 8
    update_sends_factor: float = 3.0  # each member sends an update this often, times log2 of the fleet's size
    contact_interval_us: int = 3000 * MS  # between hellos to a gone member or a seed, so that partitions heal
    dead_member_retention_us: int = 24 * 3600 * 1000 * MS  # of a member that is gone or has left
    stopped_gap_us: int = 1000 * MS  # a longer gap between two ticks means that this process was stopped
    max_members: int = 1000


class KnownMember:
    """Another member as this gateway knows it."""

    __slots__ = (
        "id",
        "address",
        "incarnation",
        "state",
        "zone",
        "raw",
        "since_us",
        "suspicion_ends_us",
        "suspecters",
        "suspected_at_us",
    )

    def __init__(self, member, raw, now_us):
        self.id, self.suspecters, self.suspicion_ends_us, self.suspected_at_us = member.id, set(), None, 0
        self.set(member, raw, now_us)

    def set(self, member, raw, now_us):
        self.address, self.incarnation, self.state, self.zone = (member.address, member.incarnation, member.state, member.zone)
        self.raw, self.since_us = raw, now_us

    @property
    def living(self):
        return self.state in ("alive", "suspected")

    @property
    def precedence(self):
        return self.incarnation, STATE_RANKS[self.state]


class Members:
    """The membership as seen by one gateway. `random()` gives floats in [0, 1), `send(id, message)` sends, and
    `on_change(member, old_state)` is called on each change of a member's state."""

    def __init__(self, own_id, address, zone, now_us, random, send, on_change, config=MemberConfig()):
        self.own_id, self.random, self.send, self.on_change, self.config = own_id, random, send, on_change, config
        self.own = Member(own_id, address, 1, "alive", zone)
        self.all, self.probe_order, self.seq = {}, [], 0
        self.updates = {}  # id -> [raw, times sent]
        self.probe = None  # [seq, id, sent_us, number of indirect probers or None, nacks received]
        self.indirect_probes = {}  # own seq -> (requester, its seq, deadline, whether a nack was sent)
        # Lifeguard's local health score: 0 is healthy; a higher one makes this member probe more slowly.
        self.local_health, self.next_probe_us, self.last_tick_us = 0, now_us, now_us
        self.left, self.refuted, self.refused = False, 0, 0
        self.announce_self()

    # ---- state of the members

    def alive(self):
        """Ids of the others that are not gone: alive or suspected."""
        return [m.id for m in self.all.values() if m.living]

    def state_of(self, member):
        if member == self.own_id:
            return "left" if self.left else "alive"
        return self.all[member].state if member in self.all else None

    def address_of(self, member):
        return self.all[member].address if member in self.all else None

    def announce_self(self):
        self.own_raw = encode(self.own)
        self.updates[self.own_id] = [self.own_raw, 0]

    def refute(self, incarnation):
        """Supersedes a wrong update on this member with a higher incarnation."""
        self.own = msgspec.structs.replace(self.own, incarnation=incarnation + 1)
        self.refuted += 1
        self.announce_self()

    def leave(self):
        self.left = True
        self.own = msgspec.structs.replace(self.own, state="left")
        self.announce_self()

    def apply(self, raw, now_us, sender):
        """One update as received. Raises ValueError: it can't be decoded or is out of bounds."""
        raw = bytes(raw)
        try:
            update = MEMBER_DECODER.decode(raw)
        except (msgspec.MsgspecError, ValueError) as problem:
            raise ValueError(f"member update can't be decoded: {problem}") from None
        longest = max(map(len, (update.id, update.address, update.zone, update.by)))
        if (
            update.state not in STATE_RANKS
            or not update.id
            or longest > MAX_NAME_LENGTH
            or not (0 < update.incarnation < INCARNATION_LIMIT)
        ):
            raise ValueError("member update out of bounds")
        if update.id == self.own_id:
            if update.state != "alive" and not self.left and update.incarnation >= self.own.incarnation:
                self.refute(update.incarnation)
                self.degrade_local_health()
            elif update.incarnation > self.own.incarnation:
                self.refute(update.incarnation)  # it stems from an earlier process of this identity
            return
        member = self.all.get(update.id)
        if member is None:
            if len(self.all) >= self.config.max_members and not self.make_room():
                self.refused += 1
                return
            member = self.all[update.id] = KnownMember(update, raw, now_us)
            self.probe_order.insert(int(self.random() * (len(self.probe_order) + 1)), update.id)
            self.queue_update(member)
            if update.state == "suspected":
                self.start_suspicion(member, update.by or sender, now_us)
            self.on_change(member, None)
            return
        if (update.incarnation, STATE_RANKS[update.state]) > member.precedence:
            old_state = member.state
            member.set(update, raw, now_us)
            member.suspecters, member.suspicion_ends_us = set(), None
            if update.state == "suspected":
                self.start_suspicion(member, update.by or sender, now_us)
            self.queue_update(member)
            if old_state != member.state:
                self.on_change(member, old_state)
        elif update.state == member.state == "suspected" and update.incarnation == member.incarnation:
            self.confirm_suspicion(member, update.by or sender, now_us, raw)

    def make_room(self):
        """Removes the member that has been gone the longest. -> whether there was one."""
        oldest = min((m for m in self.all.values() if not m.living), key=lambda m: m.since_us, default=None)
        if oldest is not None:
            self.remove(oldest.id)
        return oldest is not None

    def remove(self, member):
        del self.all[member]
        self.updates.pop(member, None)
        if member in self.probe_order:
            self.probe_order.remove(member)

    def queue_update(self, member):
        self.updates[member.id] = [member.raw, 0]

    # ---- suspicion

    def start_suspicion(self, member, by, now_us):
        member.suspecters, member.suspected_at_us = {by}, now_us
        self.set_suspicion_end(member)

    def set_suspicion_end(self, member):
        """Each independent confirmation shortens the suspicion, the first ones most. It lasts longer in a larger
        fleet, where a refutation takes longer to arrive."""
        shortest, longest = (t * max(1.0, log2(len(self.all) + 2) / 4) for t in self.config.suspicion_us)
        confirmations = min(len(member.suspecters) - 1, self.config.max_confirmations)
        duration = longest - (longest - shortest) * log(confirmations + 1) / log(self.config.max_confirmations + 1)
        member.suspicion_ends_us = member.suspected_at_us + int(max(shortest, duration))

    def confirm_suspicion(self, member, by, now_us, raw):
        if by in member.suspecters or len(member.suspecters) > self.config.max_confirmations:
            return
        member.suspecters.add(by)
        self.set_suspicion_end(member)
        self.updates[member.id] = [raw, 0]  # a further suspecter is an update too

    def suspect(self, member, now_us):
        if member.state == "alive":
            self.set_state(member, "suspected", now_us, by=self.own_id)
            self.start_suspicion(member, self.own_id, now_us)
        elif member.state == "suspected":
            raw = encode(Member(member.id, member.address, member.incarnation, "suspected", member.zone, self.own_id))
            self.confirm_suspicion(member, self.own_id, now_us, raw)

    def set_state(self, member, state, now_us, by=""):
        old_state = member.state
        update = Member(member.id, member.address, member.incarnation, state, member.zone, by)
        member.set(update, encode(update), now_us)
        member.suspicion_ends_us = None
        self.queue_update(member)
        self.on_change(member, old_state)

    def degrade_local_health(self):
        self.local_health = min(self.config.max_local_health, self.local_health + 1)

    # ---- sending of updates

    def take_updates(self, to=None):
        """Encoded updates to send along with a message, those sent the fewest times first; the update that `to`
        itself is suspected comes before all others."""
        out, size = [], 0
        max_times = ceil(self.config.update_sends_factor * log2(len(self.all) + 2))
        member = self.all.get(to)
        if member is not None and member.state != "alive" and member.id not in self.updates:
            out, size = [member.raw], len(member.raw)
        for name in sorted(self.updates, key=lambda n: (n != to, self.updates[n][1])):
            raw, times_sent = self.updates[name]
            if size + len(raw) > MAX_UPDATE_BYTES:
                break
            out.append(raw)
            size += len(raw)
            self.updates[name][1] = times_sent + 1
            if times_sent + 1 >= max_times:
                del self.updates[name]
        return [msgspec.Raw(raw) for raw in out]

    def has_updates(self):
        return bool(self.updates)

    def sample(self, n, exclude=()):
        """`n` random members that are not gone."""
        ids = [m for m in self.alive() if m not in exclude]
        out = []
        while ids and len(out) < n:
            out.append(ids.pop(int(self.random() * len(ids))))
        return out

    # ---- time

    def tick(self, now_us):
        """To be called every 50 ms or so."""
        gap_us = now_us - self.last_tick_us
        self.last_tick_us = now_us
        if gap_us > self.config.stopped_gap_us:
            # This process was stopped: that it received nothing meanwhile says nothing about the others.
            for member in self.all.values():
                if member.suspicion_ends_us is not None:
                    member.suspected_at_us += gap_us
                    member.suspicion_ends_us += gap_us
            self.probe, self.indirect_probes = None, {}
            self.degrade_local_health()
        for seq, (requester, requester_seq, deadline_us, nacked) in list(self.indirect_probes.items()):
            if now_us >= deadline_us and not nacked:
                self.indirect_probes[seq] = (requester, requester_seq, deadline_us, True)
                self.send(requester, Nack(requester_seq))
            if now_us >= deadline_us + 2 * self.config.probe_period_us:
                del self.indirect_probes[seq]
        for member in [m for m in self.all.values() if m.suspicion_ends_us is not None and now_us >= m.suspicion_ends_us]:
            self.set_state(member, "gone", now_us)
        remembered_since_us = now_us - self.config.dead_member_retention_us
        for member in [m for m in self.all.values() if not m.living and m.since_us < remembered_since_us]:
            self.remove(member.id)
        self.check_probe(now_us)
        if now_us >= self.next_probe_us and not self.left:
            self.end_probe(now_us)
            self.begin_probe(now_us)
            self.next_probe_us = now_us + self.config.probe_period_us * (1 + self.local_health)

    def begin_probe(self, now_us):
        for _ in range(len(self.probe_order) + 1):
            if not self.probe_order:
                self.probe_order = self.sample(len(self.all))
                if not self.probe_order:
                    return
            name = self.probe_order.pop()
            if name in self.all and self.all[name].living:
                self.seq += 1
                self.probe = [self.seq, name, now_us, None, 0]
                self.send(name, Ping(self.seq, self.take_updates(name)))
                return

    def check_probe(self, now_us):
        """Requests indirect probes once the direct probe has timed out."""
        if (
            self.probe is None
            or self.probe[3] is not None
            or (now_us - self.probe[2] < self.config.probe_timeout_us * (1 + self.local_health))
        ):
            return
        seq, name = self.probe[:2]
        indirect_probers = self.sample(self.config.indirect_probers, exclude=(name,))
        self.probe[3] = len(indirect_probers)
        for prober in indirect_probers:
            self.send(prober, Ask(seq, name, self.take_updates(prober)))
        self.send(name, Ping(seq, self.take_updates(name)))  # repeats the direct probe, which may have been lost

    def end_probe(self, now_us):
        """At the end of a period: a member that has answered no probe is suspected."""
        if self.probe is None:
            return
        _, name, _, indirect_probers, nacks = self.probe
        self.probe = None
        if indirect_probers is None:
            return
        if nacks < indirect_probers:
            self.degrade_local_health()  # some indirect probers did not reply either
        if name in self.all:
            self.suspect(self.all[name], now_us)

    # ---- messages received

    def on_ping(self, sender, ping):
        self.send(sender, Ack(ping.seq, self.take_updates(sender)))

    def on_ack(self, sender, ack):
        if self.probe is not None and ack.seq == self.probe[0]:
            self.probe = None
            self.local_health = max(0, self.local_health - 1)
        elif ack.seq in self.indirect_probes:
            requester, requester_seq, _, _ = self.indirect_probes.pop(ack.seq)
            self.send(requester, Ack(requester_seq, self.take_updates(requester)))

    def on_ask(self, sender, ask, now_us):
        if ask.target not in self.all or len(self.indirect_probes) > self.config.max_members:
            return
        self.seq += 1
        self.indirect_probes[self.seq] = (sender, ask.seq, now_us + self.config.probe_timeout_us, False)
        self.send(ask.target, Ping(self.seq, self.take_updates(ask.target)))

    def on_nack(self, nack):
        if self.probe is not None and nack.seq == self.probe[0] and self.probe[3] is not None:
            self.probe[4] += 1

    def all_members(self, ask):
        """-> all known members, as messages."""
        raws = [msgspec.Raw(self.own_raw), *(msgspec.Raw(m.raw) for m in self.all.values())]
        return [Everyone(raws[i : i + MEMBERS_PER_MESSAGE], ask and i == 0) for i in range(0, len(raws), MEMBERS_PER_MESSAGE)]
