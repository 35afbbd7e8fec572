"""Who the other copies are: SWIM (Das, Gupta, Motivala 2002) with Lifeguard's refinements (Dadgar, Phillips,
Currey 2018). Pure: `tick` and `heard_*` are told the time and write what is to be said into `say(id,
message)`.

What is known of a member is its identity, address, incarnation and state. Of two words on one member the
larger one counts, by incarnation, then by state (alive, suspected, gone, left), so order, loss and repetition
do not matter. Only the member itself raises its incarnation; it does when it hears that it is suspected or
gone. docs/design/fleet.md says why each figure is so."""

from math import ceil, log, log2
from typing import NamedTuple

import msgspec

from lapiswing.fleet.messages import MEMBER, MOST_NAME, Ack, Ask, Everyone, Member, Nack, Ping, packed

MS = 1000
RANKS = {"alive": 0, "suspected": 1, "gone": 2, "left": 3}
PIECE = 200  # members in one message of `Everyone`
NEWS_BYTES = 1000  # of news in one message
MOST_INCARNATION = 1 << 40


class Figures(NamedTuple):
    """Times in us."""

    period: int = 300 * MS  # between two probes
    answer: int = 100 * MS  # to a direct probe, before others are asked
    helpers: int = 3  # asked to probe for us
    doubt: tuple = (1000 * MS, 3000 * MS)  # of a suspicion: with all confirmations, with none
    confirms: int = 3  # that bring a suspicion to its shortest
    clumsy: int = 8  # the most that a member doubts itself
    times: float = 3.0  # a piece of news is told by each, times log2 of the fleet
    call: int = 3000 * MS  # between calls to one that is gone, or to a seed, to heal a partition
    keep: int = 24 * 3600 * 1000 * MS  # how long one that is gone or has left is remembered
    stop: int = 1000 * MS  # a tick later than this by so much: this process stood still
    most: int = 1000  # members


class One:
    """A member as this copy knows it."""

    __slots__ = ("id", "address", "incarnation", "state", "zone", "raw", "since_us", "due_us", "doubters", "begun_us")

    def __init__(self, member, raw, now_us):
        self.id, self.doubters, self.due_us, self.begun_us = member.id, set(), None, 0
        self.set(member, raw, now_us)

    def set(self, member, raw, now_us):
        self.address, self.incarnation, self.state, self.zone = (member.address, member.incarnation, member.state, member.zone)
        self.raw, self.since_us = raw, now_us

    @property
    def living(self):
        return self.state in ("alive", "suspected")

    @property
    def order(self):
        return self.incarnation, RANKS[self.state]


class Members:
    """`chance()` gives floats in [0, 1). `say(id, message)` sends; `changed(one, was)` hears of each change
    of state."""

    def __init__(self, me, address, zone, now_us, chance, say, changed, figures=Figures()):
        self.me, self.chance, self.say, self.changed, self.f = me, chance, say, changed, figures
        self.own = Member(me, address, 1, "alive", zone)
        self.all, self.line, self.seq = {}, [], 0
        self.news = {}  # id -> [raw, times told]
        self.probe = None  # [seq, id, sent, helpers asked or None, nacks heard]
        self.asked = {}  # seq of ours -> (who asked, its seq, due, nacked)
        self.clumsy, self.next_us, self.last_us = 0, now_us, now_us
        self.left, self.refuted, self.refused = False, 0, 0
        self.tell_self()

    # ---- what is known

    def alive(self):
        """Ids of the others that are not gone: alive or suspected."""
        return [m.id for m in self.all.values() if m.living]

    def state_of(self, member):
        if member == self.me:
            return "left" if self.left else "alive"
        return self.all[member].state if member in self.all else None

    def address_of(self, member):
        return self.all[member].address if member in self.all else None

    def tell_self(self):
        self.own_raw = packed(self.own)
        self.news[self.me] = [self.own_raw, 0]

    def rise(self, above):
        """A word on us that is not so: an incarnation further."""
        self.own = msgspec.structs.replace(self.own, incarnation=above + 1)
        self.refuted += 1
        self.tell_self()

    def leave(self):
        self.left = True
        self.own = msgspec.structs.replace(self.own, state="left")
        self.tell_self()

    def take(self, raw, now_us, sender):
        """One piece of news as it came. Raises ValueError: it can't be read or is out of bounds."""
        raw = bytes(raw)
        try:
            told = MEMBER.decode(raw)
        except (msgspec.MsgspecError, ValueError) as problem:
            raise ValueError(f"news can't be read: {problem}") from None
        longest = max(map(len, (told.id, told.address, told.zone, told.by)))
        if told.state not in RANKS or not told.id or longest > MOST_NAME or not (0 < told.incarnation < MOST_INCARNATION):
            raise ValueError("news out of bounds")
        if told.id == self.me:
            if told.state != "alive" and not self.left and told.incarnation >= self.own.incarnation:
                self.rise(told.incarnation)
                self.doubt_self()
            elif told.incarnation > self.own.incarnation:
                self.rise(told.incarnation)  # an earlier process of this identity
            return
        one = self.all.get(told.id)
        if one is None:
            if len(self.all) >= self.f.most and not self.make_room():
                self.refused += 1
                return
            one = self.all[told.id] = One(told, raw, now_us)
            self.line.insert(int(self.chance() * (len(self.line) + 1)), told.id)
            self.spread(one)
            if told.state == "suspected":
                self.suspicion(one, told.by or sender, now_us)
            self.changed(one, None)
            return
        if (told.incarnation, RANKS[told.state]) > one.order:
            was = one.state
            one.set(told, raw, now_us)
            one.doubters, one.due_us = set(), None
            if told.state == "suspected":
                self.suspicion(one, told.by or sender, now_us)
            self.spread(one)
            if was != one.state:
                self.changed(one, was)
        elif told.state == one.state == "suspected" and told.incarnation == one.incarnation:
            self.confirm(one, told.by or sender, now_us, raw)

    def make_room(self):
        old = min((m for m in self.all.values() if not m.living), key=lambda m: m.since_us, default=None)
        if old is not None:
            self.drop(old.id)
        return old is not None

    def drop(self, member):
        del self.all[member]
        self.news.pop(member, None)
        if member in self.line:
            self.line.remove(member)

    def spread(self, one):
        self.news[one.id] = [one.raw, 0]

    # ---- suspicion

    def suspicion(self, one, by, now_us):
        one.doubters, one.begun_us = {by}, now_us
        self.set_due(one)

    def set_due(self, one):
        """Each independent confirmation shortens it, the first ones most; a larger fleet takes longer to
        refute."""
        short, long = (t * max(1.0, log2(len(self.all) + 2) / 4) for t in self.f.doubt)
        k = min(len(one.doubters) - 1, self.f.confirms)
        lasts = long - (long - short) * log(k + 1) / log(self.f.confirms + 1)
        one.due_us = one.begun_us + int(max(short, lasts))

    def confirm(self, one, by, now_us, raw):
        if by in one.doubters or len(one.doubters) > self.f.confirms:
            return
        one.doubters.add(by)
        self.set_due(one)
        self.news[one.id] = [raw, 0]  # that another one doubts too is news

    def suspect(self, one, now_us):
        if one.state == "alive":
            self.put(one, "suspected", now_us, by=self.me)
            self.suspicion(one, self.me, now_us)
        elif one.state == "suspected":
            raw = packed(Member(one.id, one.address, one.incarnation, "suspected", one.zone, self.me))
            self.confirm(one, self.me, now_us, raw)

    def put(self, one, state, now_us, by=""):
        was = one.state
        told = Member(one.id, one.address, one.incarnation, state, one.zone, by)
        one.set(told, packed(told), now_us)
        one.due_us = None
        self.spread(one)
        self.changed(one, was)

    def doubt_self(self):
        self.clumsy = min(self.f.clumsy, self.clumsy + 1)

    # ---- news on its way

    def some_news(self, to=None):
        """Raws to go along: the least told first; the word that `to` is suspected before all."""
        out, size = [], 0
        most = ceil(self.f.times * log2(len(self.all) + 2))
        one = self.all.get(to)
        if one is not None and one.state != "alive" and one.id not in self.news:
            out, size = [one.raw], len(one.raw)
        for name in sorted(self.news, key=lambda n: (n != to, self.news[n][1])):
            raw, told = self.news[name]
            if size + len(raw) > NEWS_BYTES:
                break
            out.append(raw)
            size += len(raw)
            self.news[name][1] = told + 1
            if told + 1 >= most:
                del self.news[name]
        return [msgspec.Raw(raw) for raw in out]

    def wants_telling(self):
        return bool(self.news)

    def some(self, n, but=()):
        """`n` of those that are not gone, drawn."""
        ids = [m for m in self.alive() if m not in but]
        out = []
        while ids and len(out) < n:
            out.append(ids.pop(int(self.chance() * len(ids))))
        return out

    # ---- time

    def tick(self, now_us):
        """To be called every 50 ms or so."""
        gap = now_us - self.last_us
        self.last_us = now_us
        if gap > self.f.stop:
            # This process stood still: what it did not hear meanwhile is its own fault.
            for one in self.all.values():
                if one.due_us is not None:
                    one.begun_us += gap
                    one.due_us += gap
            self.probe, self.asked = None, {}
            self.doubt_self()
        for seq, (who, theirs, due, nacked) in list(self.asked.items()):
            if now_us >= due and not nacked:
                self.asked[seq] = (who, theirs, due, True)
                self.say(who, Nack(theirs))
            if now_us >= due + 2 * self.f.period:
                del self.asked[seq]
        for one in [m for m in self.all.values() if m.due_us is not None and now_us >= m.due_us]:
            self.put(one, "gone", now_us)
        past = now_us - self.f.keep
        for one in [m for m in self.all.values() if not m.living and m.since_us < past]:
            self.drop(one.id)
        self.look_at_probe(now_us)
        if now_us >= self.next_us and not self.left:
            self.end_probe(now_us)
            self.begin_probe(now_us)
            self.next_us = now_us + self.f.period * (1 + self.clumsy)

    def begin_probe(self, now_us):
        for _ in range(len(self.line) + 1):
            if not self.line:
                self.line = self.some(len(self.all))
                if not self.line:
                    return
            name = self.line.pop()
            if name in self.all and self.all[name].living:
                self.seq += 1
                self.probe = [self.seq, name, now_us, None, 0]
                self.say(name, Ping(self.seq, self.some_news(name)))
                return

    def look_at_probe(self, now_us):
        if self.probe is None or self.probe[3] is not None or (now_us - self.probe[2] < self.f.answer * (1 + self.clumsy)):
            return
        seq, name = self.probe[:2]
        helpers = self.some(self.f.helpers, but=(name,))
        self.probe[3] = len(helpers)
        for helper in helpers:
            self.say(helper, Ask(seq, name, self.some_news(helper)))
        self.say(name, Ping(seq, self.some_news(name)))  # once more itself: the first one may have been lost

    def end_probe(self, now_us):
        """At the end of a period: what has not been answered by anyone is suspected."""
        if self.probe is None:
            return
        _, name, _, helpers, nacks = self.probe
        self.probe = None
        if helpers is None:
            return
        if nacks < helpers:
            self.doubt_self()  # not even the helpers were heard
        if name in self.all:
            self.suspect(self.all[name], now_us)

    # ---- heard

    def heard_ping(self, sender, ping):
        self.say(sender, Ack(ping.seq, self.some_news(sender)))

    def heard_ack(self, sender, ack):
        if self.probe is not None and ack.seq == self.probe[0]:
            self.probe = None
            self.clumsy = max(0, self.clumsy - 1)
        elif ack.seq in self.asked:
            who, theirs, _, _ = self.asked.pop(ack.seq)
            self.say(who, Ack(theirs, self.some_news(who)))

    def heard_ask(self, sender, ask, now_us):
        if ask.target not in self.all or len(self.asked) > self.f.most:
            return
        self.seq += 1
        self.asked[self.seq] = (sender, ask.seq, now_us + self.f.answer, False)
        self.say(ask.target, Ping(self.seq, self.some_news(ask.target)))

    def heard_nack(self, nack):
        if self.probe is not None and nack.seq == self.probe[0] and self.probe[3] is not None:
            self.probe[4] += 1

    def everyone(self, ask):
        """All that is known, as messages."""
        raws = [msgspec.Raw(self.own_raw), *(msgspec.Raw(m.raw) for m in self.all.values())]
        return [Everyone(raws[i : i + PIECE], ask and i == 0) for i in range(0, len(raws), PIECE)]
