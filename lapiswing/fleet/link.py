"""One member of the fleet, without I/O: members, rows and seals put together. A host gives it time and what
came in, and carries out `send(address, data)`; see `transport` for sockets and `lab/fleetsim.py` for a
simulated network.

    link = Link("gw-1", "10.0.0.4:9300", ["10.0.0.5:9300"], [key], chance, secret, send, now_us)
    link.restore(raws)              rows that the own disk holds, before the first tick
    link.tick(now_us)               every TICK_US
    link.heard(now_us, data)        one message
    link.write("hold/a", b"...")    -> (Row, raw); once it is on the disk: link.tell(raw)

`on_row(row, raw)` hears of each row of others that is new here, `on_member(one, was)` of each change of a
member's state, `on_log(event, **figures)` of changes of mode. What any of them raises is the host's
affair."""

import msgspec
import xxhash

from lapiswing.fleet.members import Figures, Members
from lapiswing.fleet.messages import Ack, Ask, Compare, Everyone, Hello, Nack, Ping, Stale, Tell, Versions, Welcome, Whose, Yours
from lapiswing.fleet.rows import Rows
from lapiswing.fleet.seal import Refused, Seal

MS = 1000
TICK_US = 50 * MS
HELLO_US = 200 * MS  # before a hello that was not answered is said again
WAITING, TARGETS = 8, 300  # messages that wait for one token; members whose token is waited for
FAN = 3  # members that are told changes at each tick while there are any
ROW_TIMES = 1.0  # a row is told by each so often, times log2 of the fleet; comparisons find what that misses
TELL_BYTES, TELLS = 16_000, 4  # of rows in one message; messages at once in answer to a comparison
COMPARE_US = 1000 * MS
HAVE = 1000  # versions in one message
ANSWERS_S = 200  # hellos and stale tokens that are answered in a second, at most
MEET_US = 1000 * MS  # from the first member that is known until all that it knows are
UNSURE_US = 20_000 * MS  # until the word of copies that are not sure of themselves is enough
LEARN_US = 500 * MS  # between two times of asking what was written under the own identity
RENEW_US = 60_000 * MS  # between two changes of identity: a peer that makes versions up can't drive it


def name_of(identity):
    return identity.partition("#")[0]


class Link:
    def __init__(
        self,
        name,
        address,
        seeds,
        keys,
        chance,
        secret,
        send,
        now_us,
        life=None,
        zone="",
        figures=Figures(),
        on_row=None,
        on_member=None,
        on_log=None,
        on_identity=None,
    ):
        """`life`: of the identity that the disk holds; None draws one. `chance()`: floats in [0, 1)."""
        self.name, self.address, self.keys = name, address, keys
        self.seeds = [s for s in seeds if s != address]
        self.chance, self.secret, self.send, self.zone, self.f = chance, secret, send, zone, figures
        self.on_row, self.on_member = on_row or (lambda row, raw: None), on_member or (lambda one, was: None)
        self.on_log = on_log or (lambda event, **figures: None)
        self.on_identity = on_identity or (lambda old, new: None)
        self.boot = self.draw(63)
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
        self.now, self.compare_us, self.call_us, self.learn_us = now_us, now_us, now_us, now_us
        self.renewed_us, self.answers, self.answers_us = now_us - RENEW_US, float(ANSWERS_S), now_us
        self.begin(life or self.new_life(), now_us)

    def draw(self, bits):
        low = max(0, bits - 52)  # a float holds no more
        return int(self.chance() * (1 << bits - low)) << low | int(self.chance() * (1 << low))

    def new_life(self):
        return f"{self.draw(48):012x}"

    def begin(self, life, now_us):
        self.life, self.id = life, f"{self.name}#{life}"
        self.rows = Rows(self.id)
        self.seal = Seal(self.keys, self.id, self.address, self.boot, self.secret)
        self.members = Members(self.id, self.address, self.zone, now_us, self.chance, self.say, self.member_changed, self.f)
        self.waiting = {}  # address -> [nonce, said, queue]
        self.learnt, self.seen_at = {}, {}  # id -> (version, whether that copy is sure); id -> address
        self.fresh = {}  # (writer, key) -> [raw, times told]
        self.sure, self.alone_told, self.met_us = not self.seeds, False, None

    # ---- identity

    def restore(self, raws):
        """-> how many could not be read."""
        bad = 0
        for raw in raws:
            try:
                self.rows.restore(raw)
            except (msgspec.MsgspecError, ValueError):
                bad += 1
        return bad

    def may_write(self):
        """Whether others have been heard on what was written under this identity. Before that a rolled back
        disk can't be told from a good one."""
        return self.sure and not self.rows.newer

    def learn(self):
        """Asks what was written under the own identity until a majority of all copies has answered, by name:
        those that are gone count, for they may only be cut off, and the part that is left may know less."""
        alive = self.members.alive()
        names = {name_of(m.id) for m in self.members.all.values() if m.state != "left"} - {self.name}
        if alive and self.met_us is None:
            self.met_us = self.now
        # The word of one that has just started itself counts only where nothing better comes: all may be
        # starting.
        late = alive and self.now - self.met_us >= UNSURE_US
        answered = {name_of(m) for m in alive if m in self.learnt}
        trusted = {name_of(m) for m in alive if self.learnt.get(m, (0, False))[1]}
        enough = len(trusted if not late and answered < names else answered) * 2 > len(names)
        if alive and self.now - self.met_us >= MEET_US and enough:
            self.sure = True
            self.on_log("identity kept", id=self.id, heard=len(answered), of=len(names))
            return
        if self.now < self.learn_us:
            return
        self.learn_us = self.now + LEARN_US
        for member in alive:
            if not self.learnt.get(member, (0, False))[1]:
                self.say(member, Whose())
        if not alive and not self.alone_told:
            self.alone_told = True
            self.on_log("no peer heard", seeds=len(self.seeds))

    def look_at_identity(self):
        """Others have seen a newer row of this identity than this copy wrote: its disk was lost or rolled
        back, or somebody else writes under its name. Either way it never writes under it again."""
        if self.rows.newer <= self.rows.version:
            self.rows.newer = 0
            return
        if self.now - self.renewed_us < RENEW_US:
            return
        old, rows = self.id, self.rows
        self.renewed_us = self.now
        self.counts["identities"] += 1
        members = [m.raw for m in self.members.all.values()]
        newer = rows.newer
        self.begin(self.new_life(), self.now)
        for raw in rows.raws.values():  # the old identity's rows are those of another writer now
            self.rows.take(raw)
        for raw in members:
            self.members.take(raw, self.now, old)
        self.sure = True  # nobody can have seen a row of an identity just drawn
        self.on_log("new identity", old=old, new=self.id, wrote=rows.version, seen=newer)
        self.on_identity(old, self.id)

    # ---- rows

    def write(self, key, value):
        """A row of the own identity. It is told once `tell` is called, when it is on the disk. Raises
        ValueError: too large, no room, or it may not write yet."""
        if not self.may_write():
            raise ValueError("it is not known yet what was written under this identity")
        return self.rows.write(key, value)

    def tell(self, raw):
        """An own row is on the disk: others may hear of it."""
        row = self.rows.settle(raw)
        if row is not None:
            self.fresh[row.writer, row.key] = [raw, 0]
            self.push()

    def some_rows(self):
        out, size = [], 0
        most = max(1, round(ROW_TIMES * len(self.members.all).bit_length()))
        for at in sorted(self.fresh, key=lambda a: self.fresh[a][1]):
            raw, told = self.fresh[at]
            if size + len(raw) > TELL_BYTES and out:
                break
            out.append(msgspec.Raw(raw))
            size += len(raw)
            self.fresh[at][1] = told + 1
            if told + 1 >= most:
                del self.fresh[at]
        return out

    def push(self):
        for member in self.members.some(FAN):
            if not (self.fresh or self.members.wants_telling()):
                return
            self.say(member, Tell(self.members.some_news(member), self.some_rows()))

    # ---- time

    def tick(self, now_us):
        self.now = now_us
        self.members.tick(now_us)
        self.push()
        if self.rows.newer:
            self.look_at_identity()
        if not self.sure:
            self.learn()
        if now_us >= self.compare_us:
            self.compare_us = now_us + int(COMPARE_US * (0.75 + self.chance() / 2))
            for member in self.members.some(1):
                self.say(member, Compare(self.digest_of_members(), self.rows.digests()))
        if now_us >= self.call_us:
            often = self.f.call if self.members.all else self.f.period
            self.call_us = now_us + int(often * (0.75 + self.chance() / 2))
            self.call()
        for target, (nonce, said, _) in list(self.waiting.items()):
            if now_us - said >= 8 * HELLO_US:
                self.counts["dropped"] += len(self.waiting.pop(target)[2])

    def call(self):
        """Calls one that is not heard, so that a fleet that was cut in two finds itself again: a seed that no
        living member has the address of, or one that is gone."""
        living = {self.members.address_of(m) for m in self.members.alive()}
        lost = [s for s in self.seeds if s not in living]
        lost += [m.address for m in self.members.all.values() if m.state == "gone"]
        if lost:
            self.hello(lost[int(self.chance() * len(lost))])

    def digest_of_members(self):
        total = xxhash.xxh64_intdigest(f"{self.id}/{self.members.own.incarnation}/{self.members.own.state}")
        for m in self.members.all.values():
            total ^= xxhash.xxh64_intdigest(f"{m.id}/{m.incarnation}/{m.state}")
        return total

    # ---- saying

    def say(self, member, message):
        """To a member by its identity; what has no token yet waits for one."""
        address = self.members.address_of(member) or self.seen_at.get(member)
        if address is None:
            return
        if member in self.seal.tokens:
            return self.out(address, self.seal.seal(member, message))
        self.hello(address, member, message)

    def out(self, address, data):
        self.counts["out"] += 1
        self.counts["bytes out"] += len(data)
        self.send(address, data)

    def hello(self, address, member="", message=None):
        entry = self.waiting.get(address)
        if entry is None:
            if len(self.waiting) >= TARGETS:
                self.counts["dropped"] += 1
                return
            entry = self.waiting[address] = [self.draw(60), -1 << 60, []]
        if message is not None:
            entry[2].append((member, message))
            if len(entry[2]) > WAITING:
                entry[2].pop(0)
                self.counts["dropped"] += 1
        if self.now - entry[1] >= HELLO_US:
            entry[1] = self.now
            self.out(address, self.seal.seal("", Hello(entry[0])))

    def may_answer(self):
        self.answers = min(ANSWERS_S, self.answers + (self.now - self.answers_us) * ANSWERS_S / 1e6)
        self.answers_us = self.now
        if self.answers < 1:
            return False
        self.answers -= 1
        return True

    # ---- heard

    def heard(self, now_us, data):
        """One message as it came. What is not taken is counted, and changes nothing."""
        self.now = now_us
        self.counts["in"] += 1
        self.counts["bytes in"] += len(data)
        try:
            envelope, message = self.seal.open(data)
        except Refused as refused:
            self.counts["refused"] += 1
            envelope = refused.envelope
            if refused.why == "token" and self.may_answer():
                self.out(envelope.address, self.seal.seal(envelope.sender, Stale(envelope.n)))
            return
        sender = envelope.sender
        if len(self.seen_at) > 2 * self.f.most:
            self.seen_at.clear()
        self.seen_at[sender] = envelope.address
        kind = envelope.kind
        if kind == "hello":
            if self.may_answer():
                self.out(
                    envelope.address, self.seal.seal(sender, Welcome(message.nonce, self.seal.token_for(sender, envelope.boot)))
                )
        elif kind == "welcome":
            self.welcomed(sender, envelope, message)
        elif kind == "stale":
            if 0 < message.n <= self.seal.numbers.get(sender, 0):
                self.seal.tokens.pop(sender, None)
        else:
            self.take(sender, message)

    def welcomed(self, sender, envelope, message):
        target = next((t for t, (nonce, _, _) in self.waiting.items() if nonce == message.nonce), None)
        if target is None:
            return  # not asked for, or an old one
        queue = self.waiting.pop(target)[2]
        self.seal.tokens[sender] = message.token
        if len(self.seal.tokens) > 2 * self.f.most:
            self.seal.tokens = {sender: message.token}
        for member, waiting in queue:
            if member in ("", sender):
                self.out(envelope.address, self.seal.seal(sender, waiting))
        if self.members.state_of(sender) not in ("alive", "suspected"):
            for part in self.members.everyone(ask=True):
                self.say(sender, part)
        if not self.sure:
            self.say(sender, Whose())

    def take(self, sender, message):
        kind = type(message)
        self.take_news(sender, getattr(message, "news", ()))
        self.take_rows(getattr(message, "rows", ()))
        if kind is Ping:
            self.members.heard_ping(sender, message)
        elif kind is Ack:
            self.members.heard_ack(sender, message)
        elif kind is Ask:
            self.members.heard_ask(sender, message, self.now)
        elif kind is Nack:
            self.members.heard_nack(message)
        elif kind is Everyone:
            if message.ask:
                for part in self.members.everyone(ask=False):
                    self.say(sender, part)
        elif kind is Compare:
            self.compared(sender, message)
        elif kind is Versions:
            self.versions_of(sender, message)
        elif kind is Whose:
            self.say(sender, Yours(self.rows.latest_of(sender), self.sure))
        elif kind is Yours:
            if sender in self.members.all:
                self.learnt[sender] = (message.version, message.sure)
            self.rows.newer = max(self.rows.newer, message.version)

    def take_news(self, sender, news):
        for raw in news:
            try:
                self.members.take(raw, self.now, sender)
            except ValueError:
                self.counts["news refused"] += 1

    def take_rows(self, raws):
        for raw in raws:
            try:
                row = self.rows.take(raw)
            except ValueError:
                self.counts["news refused"] += 1
                continue
            if row is not None:
                raw = bytes(raw)
                self.fresh[row.writer, row.key] = [raw, 0]
                self.on_row(row, raw)

    def compared(self, sender, message):
        if message.members != self.digest_of_members():
            for part in self.members.everyone(ask=True):
                self.say(sender, part)
        differing = self.rows.differing(message.buckets)
        if not differing:
            return
        buckets, have = [], []
        for bucket in differing:
            more = self.rows.versions([bucket])
            if buckets and len(have) + len(more) > HAVE:
                break
            buckets.append(bucket)
            have += more[:HAVE]
        self.say(sender, Versions(buckets, have))

    def versions_of(self, sender, message):
        send, want = self.rows.newer_than(message.buckets, message.have)
        for _ in range(TELLS):
            part, size = [], 0
            while send and (not part or size + len(send[0]) <= TELL_BYTES):
                size += len(send[0])
                part.append(msgspec.Raw(send.pop(0)))
            if part:
                self.say(sender, Tell([], part))
        if want and message.ask:
            self.say(sender, Versions(message.buckets, self.rows.versions(message.buckets)[:HAVE], False))

    def member_changed(self, one, was):
        if not one.living:
            self.seal.tokens.pop(one.id, None)  # its next process gives another one
        self.on_member(one, was)

    def leave(self):
        """Tells some that it goes; to be called before the end."""
        self.members.leave()
        for member in self.members.some(2 * FAN):
            self.say(member, Tell(self.members.some_news(member), []))
