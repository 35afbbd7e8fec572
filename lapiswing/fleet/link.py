"""One gateway of the fleet, without I/O: members, rows and seals combined. The host gives it the time and the
messages received, and carries out `send(address, data)`; see `transport` for sockets and `lab/fleetsim.py` for
a simulated network.

    link = Link("gw-1", "10.0.0.4:9300", ["10.0.0.5:9300"], [key], random, secret, send, now_us)
    link.restore(raws)              rows from this gateway's disk, before the first tick
    link.tick(now_us)               every TICK_US
    link.heard(now_us, data)        one message received
    link.write("hold/a", b"...")    -> (Row, raw); once it is on the disk: link.publish(raw)

`on_row(row, raw)` is called for each row of another writer that is new here, `on_member(member, old_state)` on
each change of a member's state, `on_log(event, **fields)` for events worth logging, `on_identity(old, new)` when
this gateway takes a new identity. Exceptions that they raise pass through to the caller."""

import msgspec
import xxhash

from lapiswing.fleet.members import MemberConfig, Members
from lapiswing.fleet.messages import Ack, Ask, Compare, Everyone, Hello, Nack, Ping, Stale, Tell, Versions, Welcome, Whose, Yours
from lapiswing.fleet.rows import Rows
from lapiswing.fleet.seal import Refused, Seal

MS = 1000
TICK_US = 50 * MS
HELLO_RETRY_US = 200 * MS  # between two hellos to an address that has not answered
# Messages queued for one address until its token arrives; addresses with such a queue.
MAX_PENDING_MESSAGES, MAX_PENDING_ADDRESSES = 8, 300
FANOUT = 3  # members that are sent updates at each tick while there are any
ROW_SENDS_FACTOR = 1.0  # each member sends a row this often, times log2 of the fleet; comparisons cover the rest
MAX_ROW_BYTES, MAX_ROW_MESSAGES = 16_000, 4  # of rows in one message; messages in reply to one comparison
COMPARE_US = 1000 * MS  # between two comparisons with a random member
MAX_VERSIONS = 1000  # in one message
MAX_REPLIES_PER_S = 200  # to hellos and to messages with a stale token
DISCOVERY_US = 1000 * MS  # from the first known member until all members known to it are known here
UNSURE_US = 20_000 * MS  # after this, replies of members that are not sure of their own data are accepted
IDENTITY_RETRY_US = 500 * MS  # between two rounds of asking which version of the own rows others know
NEW_IDENTITY_US = 60_000 * MS  # minimum between two changes of identity: bounds what false versions can cause


def name_of(identity):
    """-> the gateway's name in an identity NAME#SUFFIX."""
    return identity.partition("#")[0]


class Link:
    """One member of the fleet: its identity, its view of the other members, and its rows."""

    def __init__(
        self,
        name,
        address,
        seeds,
        keys,
        random,
        secret,
        send,
        now_us,
        identity_suffix=None,
        zone="",
        config=MemberConfig(),
        on_row=None,
        on_member=None,
        on_log=None,
        on_identity=None,
    ):
        """`identity_suffix`: of the identity stored on the disk; None draws a new one. `random()`: floats in
        [0, 1)."""
        self.name, self.address, self.keys = name, address, keys
        self.seeds = [s for s in seeds if s != address]
        self.random, self.secret, self.send, self.zone, self.config = random, secret, send, zone, config
        self.on_row, self.on_member = on_row or (lambda row, raw: None), on_member or (lambda member, old_state: None)
        self.on_log = on_log or (lambda event, **fields: None)
        self.on_identity = on_identity or (lambda old, new: None)
        self.boot = self.random_bits(63)
        self.counts = {
            "in": 0,
            "out": 0,
            "bytes in": 0,
            "bytes out": 0,
            "refused": 0,
            "news refused": 0,
            "dropped": 0,
            "identities": 0,
        }
        self.now_us, self.next_compare_us, self.next_contact_us, self.next_identity_query_us = now_us, now_us, now_us, now_us
        self.identity_changed_us, self.reply_allowance, self.reply_allowance_us = (
            now_us - NEW_IDENTITY_US,
            float(MAX_REPLIES_PER_S),
            now_us,
        )
        self.use_identity(identity_suffix or self.new_identity_suffix(), now_us)

    def random_bits(self, bits):
        low_bits = max(0, bits - 52)  # one float provides at most 52 bits
        return int(self.random() * (1 << bits - low_bits)) << low_bits | int(self.random() * (1 << low_bits))

    def new_identity_suffix(self):
        return f"{self.random_bits(48):012x}"

    def use_identity(self, suffix, now_us):
        """Starts with empty tables under the identity NAME#SUFFIX."""
        self.identity_suffix, self.id = suffix, f"{self.name}#{suffix}"
        self.rows = Rows(self.id)
        self.seal = Seal(self.keys, self.id, self.address, self.boot, self.secret)
        self.members = Members(
            self.id, self.address, self.zone, now_us, self.random, self.send_to, self.member_changed, self.config
        )
        self.pending = {}  # address -> [nonce, when the hello was sent, queued messages]
        # id -> (latest own version known to that member, whether it is sure); id -> address it last sent from
        self.version_replies, self.last_addresses = {}, {}
        self.row_updates = {}  # (writer, key) -> [raw, times sent]
        self.identity_confirmed, self.no_peer_logged, self.first_member_us = not self.seeds, False, None

    # ---- identity

    def restore(self, raws):
        """-> how many rows could not be decoded."""
        unreadable = 0
        for raw in raws:
            try:
                self.rows.restore(raw)
            except (msgspec.MsgspecError, ValueError):
                unreadable += 1
        return unreadable

    def may_write(self):
        """Whether enough members have reported what was written under this identity. Before that, a disk that was
        rolled back can't be distinguished from an intact one."""
        return self.identity_confirmed and not self.rows.newer_own_version

    def confirm_identity(self):
        """Asks what was written under the own identity until a majority of all members, counted by name, has
        replied. Gone members count in the total: they may only be partitioned off, and the reachable part may
        know less than they do."""
        alive = self.members.alive()
        names = {name_of(m.id) for m in self.members.all.values() if m.state != "left"} - {self.name}
        if alive and self.first_member_us is None:
            self.first_member_us = self.now_us
        # The replies of members that have only just started count only when no better ones come: all members may
        # be starting.
        overdue = alive and self.now_us - self.first_member_us >= UNSURE_US
        answered = {name_of(m) for m in alive if m in self.version_replies}
        trusted = {name_of(m) for m in alive if self.version_replies.get(m, (0, False))[1]}
        enough = len(trusted if not overdue and answered < names else answered) * 2 > len(names)
        if alive and self.now_us - self.first_member_us >= DISCOVERY_US and enough:
            self.identity_confirmed = True
            self.on_log("identity kept", id=self.id, heard=len(answered), of=len(names))
            return
        if self.now_us < self.next_identity_query_us:
            return
        self.next_identity_query_us = self.now_us + IDENTITY_RETRY_US
        for member in alive:
            if not self.version_replies.get(member, (0, False))[1]:
                self.send_to(member, Whose())
        if not alive and not self.no_peer_logged:
            self.no_peer_logged = True
            self.on_log("no peer heard", seeds=len(self.seeds))

    def check_identity(self):
        """Takes a new identity if others have seen a newer row of this identity than this gateway wrote: its disk
        was lost or rolled back, or another process writes under its name. Either way it never writes under
        the old identity again."""
        if self.rows.newer_own_version <= self.rows.own_version:
            self.rows.newer_own_version = 0
            return
        if self.now_us - self.identity_changed_us < NEW_IDENTITY_US:
            return
        old, rows = self.id, self.rows
        self.identity_changed_us = self.now_us
        self.counts["identities"] += 1
        members = [m.raw for m in self.members.all.values()]
        newer = rows.newer_own_version
        self.use_identity(self.new_identity_suffix(), self.now_us)
        for raw in rows.raws.values():  # the rows of the old identity now belong to another writer
            self.rows.apply(raw)
        for raw in members:
            self.members.apply(raw, self.now_us, old)
        self.identity_confirmed = True  # no member can have seen a row of an identity that was just drawn
        self.on_log("new identity", old=old, new=self.id, wrote=rows.own_version, seen=newer)
        self.on_identity(old, self.id)

    # ---- rows

    def write(self, key, value):
        """A row of the own identity. It is sent to others only after `publish`, when it is on the disk. Raises
        ValueError: too large, the table is full, or writing is not allowed yet."""
        if not self.may_write():
            raise ValueError("writing is not allowed until the latest version of this identity's rows is confirmed")
        return self.rows.write(key, value)

    def publish(self, raw):
        """An own row is on the disk and may be sent to others."""
        row = self.rows.commit(raw)
        if row is not None:
            self.row_updates[row.writer, row.key] = [raw, 0]
            self.send_updates()

    def take_row_updates(self):
        """Encoded rows for one message, those sent the fewest times first."""
        out, size = [], 0
        max_times = max(1, round(ROW_SENDS_FACTOR * len(self.members.all).bit_length()))
        for row_id in sorted(self.row_updates, key=lambda r: self.row_updates[r][1]):
            raw, times_sent = self.row_updates[row_id]
            if size + len(raw) > MAX_ROW_BYTES and out:
                break
            out.append(msgspec.Raw(raw))
            size += len(raw)
            self.row_updates[row_id][1] = times_sent + 1
            if times_sent + 1 >= max_times:
                del self.row_updates[row_id]
        return out

    def send_updates(self):
        """Sends updates of members and rows to a few random members, while there are any."""
        for member in self.members.sample(FANOUT):
            if not (self.row_updates or self.members.has_updates()):
                return
            self.send_to(member, Tell(self.members.take_updates(member), self.take_row_updates()))

    # ---- time

    def tick(self, now_us):
        self.now_us = now_us
        self.members.tick(now_us)
        self.send_updates()
        if self.rows.newer_own_version:
            self.check_identity()
        if not self.identity_confirmed:
            self.confirm_identity()
        if now_us >= self.next_compare_us:
            self.next_compare_us = now_us + int(COMPARE_US * (0.75 + self.random() / 2))
            for member in self.members.sample(1):
                self.send_to(member, Compare(self.members_digest(), self.rows.digests()))
        if now_us >= self.next_contact_us:
            interval_us = self.config.contact_interval_us if self.members.all else self.config.probe_period_us
            self.next_contact_us = now_us + int(interval_us * (0.75 + self.random() / 2))
            self.contact_lost_member()
        for address, (_nonce, sent_us, _) in list(self.pending.items()):
            if now_us - sent_us >= 8 * HELLO_RETRY_US:
                self.counts["dropped"] += len(self.pending.pop(address)[2])

    def contact_lost_member(self):
        """Sends a hello to an address that no living member has, a seed's or a gone member's, so that a partitioned
        fleet joins again."""
        live_addresses = {self.members.address_of(m) for m in self.members.alive()}
        lost_addresses = [s for s in self.seeds if s not in live_addresses]
        lost_addresses += [m.address for m in self.members.all.values() if m.state == "gone"]
        if lost_addresses:
            self.request_token(lost_addresses[int(self.random() * len(lost_addresses))])

    def members_digest(self):
        """-> a digest of all members, independent of their order."""
        total = xxhash.xxh64_intdigest(f"{self.id}/{self.members.own.incarnation}/{self.members.own.state}")
        for m in self.members.all.values():
            total ^= xxhash.xxh64_intdigest(f"{m.id}/{m.incarnation}/{m.state}")
        return total

    # ---- sending

    def send_to(self, member, message):
        """Sends to a member by its identity; without a token for it the message waits for one."""
        address = self.members.address_of(member) or self.last_addresses.get(member)
        if address is None:
            return
        if member in self.seal.tokens:
            return self.transmit(address, self.seal.seal(member, message))
        self.request_token(address, member, message)

    def transmit(self, address, data):
        """Counts and sends a sealed message."""
        self.counts["out"] += 1
        self.counts["bytes out"] += len(data)
        self.send(address, data)

    def request_token(self, address, member="", message=None):
        """Sends a hello, and queues the message for `member` until the token arrives."""
        entry = self.pending.get(address)
        if entry is None:
            if len(self.pending) >= MAX_PENDING_ADDRESSES:
                self.counts["dropped"] += 1
                return
            entry = self.pending[address] = [self.random_bits(60), -1 << 60, []]
        if message is not None:
            entry[2].append((member, message))
            if len(entry[2]) > MAX_PENDING_MESSAGES:
                entry[2].pop(0)
                self.counts["dropped"] += 1
        if self.now_us - entry[1] >= HELLO_RETRY_US:
            entry[1] = self.now_us
            self.transmit(address, self.seal.seal("", Hello(entry[0])))

    def may_reply(self):
        """Limits replies to messages without a valid token to MAX_REPLIES_PER_S."""
        self.reply_allowance = min(
            MAX_REPLIES_PER_S, self.reply_allowance + (self.now_us - self.reply_allowance_us) * MAX_REPLIES_PER_S / 1e6
        )
        self.reply_allowance_us = self.now_us
        if self.reply_allowance < 1:
            return False
        self.reply_allowance -= 1
        return True

    # ---- receiving

    def heard(self, now_us, data):
        """One message as received. A rejected message is counted and has no other effect."""
        self.now_us = now_us
        self.counts["in"] += 1
        self.counts["bytes in"] += len(data)
        try:
            envelope, message = self.seal.open(data)
        except Refused as refused:
            self.counts["refused"] += 1
            envelope = refused.envelope
            if refused.why == "token" and self.may_reply():
                self.transmit(envelope.address, self.seal.seal(envelope.sender, Stale(envelope.n)))
            return
        sender = envelope.sender
        if len(self.last_addresses) > 2 * self.config.max_members:
            self.last_addresses.clear()
        self.last_addresses[sender] = envelope.address
        kind = envelope.kind
        if kind == "hello":
            if self.may_reply():
                self.transmit(
                    envelope.address, self.seal.seal(sender, Welcome(message.nonce, self.seal.token_for(sender, envelope.boot)))
                )
        elif kind == "welcome":
            self.on_welcome(sender, envelope, message)
        elif kind == "stale":
            if 0 < message.n <= self.seal.numbers.get(sender, 0):
                self.seal.tokens.pop(sender, None)
        else:
            self.dispatch(sender, message)

    def on_welcome(self, sender, envelope, message):
        address = next((a for a, (nonce, _, _) in self.pending.items() if nonce == message.nonce), None)
        if address is None:
            return  # answers no pending hello
        queue = self.pending.pop(address)[2]
        self.seal.tokens[sender] = message.token
        if len(self.seal.tokens) > 2 * self.config.max_members:
            self.seal.tokens = {sender: message.token}
        for member, queued in queue:
            if member in ("", sender):
                self.transmit(envelope.address, self.seal.seal(sender, queued))
        if self.members.state_of(sender) not in ("alive", "suspected"):
            for part in self.members.all_members(ask=True):
                self.send_to(sender, part)
        if not self.identity_confirmed:
            self.send_to(sender, Whose())

    def dispatch(self, sender, message):
        kind = type(message)
        self.apply_updates(sender, getattr(message, "news", ()))
        self.apply_rows(getattr(message, "rows", ()))
        if kind is Ping:
            self.members.on_ping(sender, message)
        elif kind is Ack:
            self.members.on_ack(sender, message)
        elif kind is Ask:
            self.members.on_ask(sender, message, self.now_us)
        elif kind is Nack:
            self.members.on_nack(message)
        elif kind is Everyone:
            if message.ask:
                for part in self.members.all_members(ask=False):
                    self.send_to(sender, part)
        elif kind is Compare:
            self.on_compare(sender, message)
        elif kind is Versions:
            self.on_versions(sender, message)
        elif kind is Whose:
            self.send_to(sender, Yours(self.rows.latest_version_of(sender), self.identity_confirmed))
        elif kind is Yours:
            if sender in self.members.all:
                self.version_replies[sender] = (message.version, message.sure)
            self.rows.newer_own_version = max(self.rows.newer_own_version, message.version)

    def apply_updates(self, sender, news):
        for raw in news:
            try:
                self.members.apply(raw, self.now_us, sender)
            except ValueError:
                self.counts["news refused"] += 1

    def apply_rows(self, raws):
        for raw in raws:
            try:
                row = self.rows.apply(raw)
            except ValueError:
                self.counts["news refused"] += 1
                continue
            if row is not None:
                raw = bytes(raw)
                self.row_updates[row.writer, row.key] = [raw, 0]
                self.on_row(row, raw)

    def on_compare(self, sender, message):
        if message.members != self.members_digest():
            for part in self.members.all_members(ask=True):
                self.send_to(sender, part)
        differing = self.rows.differing(message.buckets)
        if not differing:
            return
        buckets, have = [], []
        for bucket in differing:
            more = self.rows.versions([bucket])
            if buckets and len(have) + len(more) > MAX_VERSIONS:
                break
            buckets.append(bucket)
            have += more[:MAX_VERSIONS]
        self.send_to(sender, Versions(buckets, have))

    def on_versions(self, sender, message):
        send, want = self.rows.newer_than(message.buckets, message.have)
        for _ in range(MAX_ROW_MESSAGES):
            part, size = [], 0
            while send and (not part or size + len(send[0]) <= MAX_ROW_BYTES):
                size += len(send[0])
                part.append(msgspec.Raw(send.pop(0)))
            if part:
                self.send_to(sender, Tell([], part))
        if want and message.ask:
            self.send_to(sender, Versions(message.buckets, self.rows.versions(message.buckets)[:MAX_VERSIONS], False))

    def member_changed(self, member, old_state):
        if not member.living:
            self.seal.tokens.pop(member.id, None)  # its next process issues a new one
        self.on_member(member, old_state)

    def leave(self):
        """Announces to some members that this one leaves; to be called before closing."""
        self.members.leave()
        for member in self.members.sample(2 * FANOUT):
            self.send_to(member, Tell(self.members.take_updates(member), []))
