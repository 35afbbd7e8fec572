"""What is decided about sessions. No I/O, no clock: times come in as whole microseconds.

A session has streams, one for each req. A stream is a row of numbered items: events, and last its final answer. An item
is *waiting* until it was sent on the present connection and *kept* until the client says that it has seen it, or until
room is needed. When a connection drops, the session is away for a stated time; whoever brings its token back names the
last item seen of each stream, and what is kept behind it is sent again. Items that were dropped make a gap, and a stream
with a gap ends with one final answer that says so.

Turns: sessions with something to send are served round robin, each up to `QUANTUM` bytes a turn, and so are the
streams within one. A session with 200 streams takes no more of a turn than a session with one."""

from collections import deque
from dataclasses import dataclass

QUANTUM = 16384
FINALS_KEPT = 64  # ended streams of a session whose final answer the client has not acknowledged


@dataclass(frozen=True)
class Limits:
    """Bytes and microseconds."""

    per_tenant: int = 1000
    total: int = 4000
    reqs: int = 64
    session_bytes: int = 262144
    total_bytes: int = 256 << 20
    resume_us: int = 15_000_000
    idle_us: int = 600_000_000
    stall_us: int = 30_000_000
    come_back_us: int = 1_000_000


class Item:
    __slots__ = ("first", "count", "data", "final")

    def __init__(self, first, count, data, final):
        self.first, self.count, self.data, self.final = first, count, data, final


class Stream:
    def __init__(self, rid, credit):
        self.id, self.credit = rid, credit  # credit: events that may still be sent; None: as many as come
        self.items, self.unsent = deque(), 0  # unsent: how many at the end of `items` wait
        self.next, self.bytes = 1, 0
        self.over, self.gap = False, False
        self.starved_us = None  # since when it waits for credit
        self.req = None  # the host's

    def may_send(self):
        if not self.unsent:
            return False
        head = self.items[-self.unsent]
        return head.final or self.credit is None or self.credit > 0


class Session:
    def __init__(self, number, tenant, now_us):
        self.id, self.tenant, self.streams, self.bytes = number, tenant, {}, 0
        self.heard_us, self.disconnected_since_us, self.writable, self.queued = now_us, None, True, False
        self.turns = deque()  # streams with something to send
        self.ended = deque()  # ids of streams whose final answer is in, oldest first
        self.owner = None  # the host's connection


class Book:
    def __init__(self, limits, fair=True):
        self.limits, self.fair = limits, fair
        self.sessions, self.by_tenant, self.bytes, self.count = {}, {}, 0, 0
        self.ring = deque()  # sessions with something to send that can be sent

    # ---- sessions

    def open(self, now_us, tenant):
        """-> (Session, None) or (None, microseconds to stay away)."""
        if len(self.sessions) >= self.limits.total or self.by_tenant.get(tenant, 0) >= self.limits.per_tenant:
            return None, self.limits.come_back_us
        self.count += 1
        session = self.sessions[self.count] = Session(self.count, tenant, now_us)
        self.by_tenant[tenant] = self.by_tenant.get(tenant, 0) + 1
        return session, None

    def close(self, session):
        """Ends it for good. -> its streams that are not over: their client has left."""
        if self.sessions.pop(session.id, None) is None:
            return []
        self.by_tenant[session.tenant] -= 1
        if not self.by_tenant[session.tenant]:
            del self.by_tenant[session.tenant]
        self.bytes -= session.bytes
        session.bytes = 0
        left = [s for s in session.streams.values() if not s.over]
        session.streams = {}
        session.turns.clear()
        return left

    def dropped(self, session, now_us):
        """Its connection is gone."""
        session.disconnected_since_us, session.writable = now_us, False

    def resume(self, session, seen, now_us):
        """It is back on a new connection. `seen`: id -> last item seen. -> (next item by stream, streams with a gap):
        the host ends the latter's reqs; their final answer is already in."""
        session.disconnected_since_us, session.heard_us, session.writable = None, now_us, True
        gaps, following = [], {}
        for rid, stream in list(session.streams.items()):
            last = max(0, seen.get(rid, 0))
            self.forget(session, stream, last)
            if stream.gap and (stream.items[0].first if stream.items else stream.next) > last + 1:
                if not stream.over:
                    gaps.append(stream)
                self.gap(session, stream, last)
            stream.unsent = len(stream.items)
            following[rid] = last + 1
            if stream.over and not stream.items:
                self.remove(session, stream)
            else:
                self.ready(session, stream)
        return following, gaps

    def gap(self, session, stream, last):
        """Items that the client lacks are gone: all it can still get is one final answer."""
        final = stream.items[-1] if stream.items and stream.items[-1].final else None
        for item in stream.items:
            self.count_bytes(session, stream, -len(item.data))
        stream.items.clear()
        stream.over, stream.gap = True, False
        if final is None or final.first > last + 1:
            data = GAP
            stream.next = last + 1
            self.append(session, stream, Item(last + 1, 1, data, True))
            session.ended.append(stream.id)
        else:
            self.append(session, stream, final)

    def quiet(self, now_us):
        """Sessions to be ended: away too long, or idle. -> [(session, 'away' or 'idle')]"""
        out = []
        for s in self.sessions.values():
            if s.disconnected_since_us is not None:
                if now_us - s.disconnected_since_us >= self.limits.resume_us:
                    out.append((s, "away"))
            elif now_us - s.heard_us >= self.limits.idle_us and all(x.over for x in s.streams.values()):
                out.append((s, "idle"))
        return out

    def starved(self, now_us):
        """Streams that have waited too long for credit. -> [(session, stream)]"""
        return [
            (s, x)
            for s in self.sessions.values()
            for x in s.streams.values()
            if x.starved_us is not None and now_us - x.starved_us >= self.limits.stall_us and not x.over
        ]

    # ---- streams

    def call(self, session, rid, credit):
        """-> (Stream, None) or (None, why): 'duplicate' or 'too many'."""
        if rid in session.streams:
            return None, "duplicate"
        if sum(not s.over for s in session.streams.values()) >= self.limits.reqs:
            return None, "too many"
        stream = session.streams[rid] = Stream(rid, credit)
        return stream, None

    def push(self, session, stream, data, count=1, final=False, now_us=0):
        """An item comes in: `count` events, or the final answer."""
        if stream.over or session.id not in self.sessions:
            return
        item = Item(stream.next, count, data, final)
        stream.next += count
        if final:
            stream.over = True
            session.ended.append(stream.id)
            while len(session.ended) > FINALS_KEPT:
                old = session.streams.get(session.ended.popleft())
                if old is not None and old.over:
                    self.remove(session, old)
        self.append(session, stream, item)
        self.ready(session, stream, now_us)
        self.make_room(session)

    def cut(self, session, stream):
        """Drops what waits, so that the final answer of a stream that is given up need not wait for credit."""
        while stream.unsent:
            item = stream.items.pop()
            stream.unsent -= 1
            stream.next = item.first
            self.count_bytes(session, stream, -len(item.data))

    def append(self, session, stream, item):
        stream.items.append(item)
        stream.unsent += 1
        self.count_bytes(session, stream, len(item.data))

    def count_bytes(self, session, stream, n):
        stream.bytes += n
        session.bytes += n
        self.bytes += n

    def ready(self, session, stream, now_us=0):
        if stream.may_send():
            stream.starved_us = None
            if stream not in session.turns:
                session.turns.append(stream)
            self.line_up(session)
        elif stream.unsent and stream.starved_us is None:
            stream.starved_us = now_us

    def line_up(self, session):
        if session.writable and session.turns and not session.queued:
            session.queued = True
            self.ring.append(session)

    def make_room(self, session):
        """What was sent is kept only while there is room; what waits is never dropped (its box is paused instead)."""
        if session.bytes <= self.limits.session_bytes and self.bytes <= self.limits.total_bytes:
            return
        for stream in list(session.streams.values()):
            while (
                len(stream.items) > stream.unsent
                and not stream.items[0].final
                and (session.bytes > self.limits.session_bytes or self.bytes > self.limits.total_bytes)
            ):
                item = stream.items.popleft()
                stream.gap = True
                self.count_bytes(session, stream, -len(item.data))

    def full(self, session, stream):
        """Whether the box of this stream is to be paused."""
        if stream.unsent and not stream.may_send():
            return True
        if session.bytes > self.limits.session_bytes or self.bytes > self.limits.total_bytes:
            return stream.unsent > 0
        return False

    def credit(self, session, rid, events, now_us):
        """-> the stream whose box may go on, or None."""
        stream = session.streams.get(rid)
        if stream is None:
            return None
        if stream.credit is not None:
            stream.credit = min(1 << 30, stream.credit + events)
        self.ready(session, stream, now_us)
        return stream

    def seen(self, session, rid, last):
        """The client has everything up to `last`."""
        stream = session.streams.get(rid)
        if stream is None:
            return
        self.forget(session, stream, min(last, stream.next - 1))
        if stream.over and not stream.items:
            self.remove(session, stream)

    def forget(self, session, stream, last):
        while stream.items and stream.items[0].first + stream.items[0].count - 1 <= last:
            if len(stream.items) == stream.unsent:
                stream.unsent -= 1
            self.count_bytes(session, stream, -len(stream.items.popleft().data))

    def remove(self, session, stream):
        for item in stream.items:
            self.count_bytes(session, stream, -len(item.data))
        stream.items.clear()
        stream.unsent = 0
        if session.streams.get(stream.id) is stream:
            del session.streams[stream.id]
        if stream in session.turns:
            session.turns.remove(stream)

    # ---- turns

    def writable(self, session, on):
        session.writable = on
        self.line_up(session)

    def turn(self, most_bytes, now_us=0):
        """What to send now: yields (session, stream, item). The host may call `writable(session, False)` meanwhile.
        With `fair` off a session is served until it has nothing more, as the first come."""
        sent = 0
        while self.ring and sent < most_bytes:
            session = self.ring.popleft()
            session.queued = False
            quantum = QUANTUM if self.fair else 1 << 60
            while session.turns and session.writable and quantum > 0 and sent < most_bytes:
                stream = session.turns.popleft()
                if not stream.may_send():
                    continue
                item = stream.items[-stream.unsent]
                stream.unsent -= 1
                if stream.credit is not None and not item.final:
                    stream.credit -= item.count
                size = len(item.data) + 32
                quantum -= size
                sent += size
                yield session, stream, item
                if stream.may_send():
                    session.turns.append(stream)
                elif stream.unsent and stream.starved_us is None:
                    stream.starved_us = now_us
            self.line_up(session)


GAP = (
    b'"how":"aborted","status":502,"error":{"message":"Events of this call that you have not seen are no longer kept.",'
    b'"type":"server_error","param":null,"code":"events_lost"}'
)
