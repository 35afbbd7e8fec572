"""State and limits of WebSocket sessions. No I/O and no clock: times are passed in as whole microseconds.

A session has one stream for each request. A stream is a sequence of numbered items: events, and a final answer as the last.
An item is *unsent* until it was sent on the present connection, and is *kept* until the client acknowledges it or until room
is needed. When the connection is lost, the session is kept for a limited time. A client that resumes it states the last item
seen of each stream, and the kept items after it are sent again. If some of them were dropped, the stream has a gap and ends
with one final answer that reports the loss.

Scheduling: sessions with something to send are served round robin, each with up to `QUANTUM_BYTES` at a time, and so are the
streams of a session. So a session with 200 streams gets no more than a session with one."""

from collections import deque
from dataclasses import dataclass

QUANTUM_BYTES = 16384
MAX_UNACKNOWLEDGED_FINALS = 64  # per session, ended streams with an unacknowledged final answer


@dataclass(frozen=True)
class Limits:
    """Limits of sessions, in bytes and microseconds. `reqs` bounds the open streams of a session."""

    per_tenant: int = 1000
    total: int = 4000
    reqs: int = 64
    session_bytes: int = 262144
    total_bytes: int = 256 << 20
    resume_us: int = 15_000_000
    idle_us: int = 600_000_000
    stall_us: int = 30_000_000
    retry_after_us: int = 1_000_000


class Item:
    """`count` events from number `first_seq` on, or the final answer."""

    __slots__ = ("first_seq", "count", "data", "final")

    def __init__(self, first_seq, count, data, final):
        self.first_seq, self.count, self.data, self.final = first_seq, count, data, final


class Stream:
    """The items of one request. `credit` is the number of events that may still be sent, None for no limit."""

    def __init__(self, rid, credit):
        self.id, self.credit = rid, credit
        self.items, self.unsent = deque(), 0  # unsent: how many items at the end of `items` are not sent
        self.next_seq, self.bytes = 1, 0
        self.over, self.has_gap = False, False
        self.starved_since_us = None  # since when the stream waits for credit
        self.req = None  # set by the host

    def may_send(self):
        """Whether the next unsent item may be sent."""
        if not self.unsent:
            return False
        head = self.items[-self.unsent]
        return head.final or self.credit is None or self.credit > 0


class Session:
    """The streams of one client, which may change its connection."""

    def __init__(self, number, tenant, now_us):
        self.id, self.tenant, self.streams, self.bytes = number, tenant, {}, 0
        self.last_received_us, self.disconnected_since_us, self.writable, self.queued = now_us, None, True, False
        self.ready_streams = deque()  # streams with something to send
        self.ended = deque()  # ids of streams that have their final answer, oldest first
        self.owner = None  # the connection, set by the host


class Book:
    """All sessions of a gateway. `fair`: whether sessions take turns, see `turn`."""

    def __init__(self, limits, fair=True):
        self.limits, self.fair = limits, fair
        self.sessions, self.count_by_tenant, self.bytes, self.last_number = {}, {}, 0, 0
        self.ready_sessions = deque()  # writable sessions with something to send

    # ---- sessions

    def open(self, now_us, tenant):
        """Opens a session. Returns (Session, None) or (None, time in us after which the client may retry)."""
        if len(self.sessions) >= self.limits.total or self.count_by_tenant.get(tenant, 0) >= self.limits.per_tenant:
            return None, self.limits.retry_after_us
        self.last_number += 1
        session = self.sessions[self.last_number] = Session(self.last_number, tenant, now_us)
        self.count_by_tenant[tenant] = self.count_by_tenant.get(tenant, 0) + 1
        return session, None

    def close(self, session):
        """Ends a session. Returns its unfinished streams, whose client has left."""
        if self.sessions.pop(session.id, None) is None:
            return []
        self.count_by_tenant[session.tenant] -= 1
        if not self.count_by_tenant[session.tenant]:
            del self.count_by_tenant[session.tenant]
        self.bytes -= session.bytes
        session.bytes = 0
        unfinished = [stream for stream in session.streams.values() if not stream.over]
        session.streams = {}
        session.ready_streams.clear()
        return unfinished

    def connection_lost(self, session, now_us):
        """The connection of a session is lost."""
        session.disconnected_since_us, session.writable = now_us, False

    def resume(self, session, seen, now_us):
        """Resumes a session on a new connection. `seen`: stream id -> last item seen. Returns (next item by stream, streams
        with a gap). The latter already have their final answer, and the host ends their requests."""
        session.disconnected_since_us, session.last_received_us, session.writable = None, now_us, True
        gaps, next_seqs = [], {}
        for rid, stream in list(session.streams.items()):
            last = max(0, seen.get(rid, 0))
            self.drop_seen(session, stream, last)
            if stream.has_gap and (stream.items[0].first_seq if stream.items else stream.next_seq) > last + 1:
                if not stream.over:
                    gaps.append(stream)
                self.close_with_gap(session, stream, last)
            stream.unsent = len(stream.items)
            next_seqs[rid] = last + 1
            if stream.over and not stream.items:
                self.remove(session, stream)
            else:
                self.update_ready(session, stream)
        return next_seqs, gaps

    def close_with_gap(self, session, stream, last):
        """Ends a stream of which items are lost that the client has not seen. Only a final answer can still be sent."""
        final = stream.items[-1] if stream.items and stream.items[-1].final else None
        for item in stream.items:
            self.count_bytes(session, stream, -len(item.data))
        stream.items.clear()
        stream.over, stream.has_gap = True, False
        if final is None or final.first_seq > last + 1:
            data = EVENTS_LOST
            stream.next_seq = last + 1
            self.append(session, stream, Item(last + 1, 1, data, True))
            session.ended.append(stream.id)
        else:
            self.append(session, stream, final)

    def expired(self, now_us):
        """Returns the sessions that have been disconnected or idle for too long, as [(session, 'away' or 'idle')]."""
        expired = []
        for session in self.sessions.values():
            if session.disconnected_since_us is not None:
                if now_us - session.disconnected_since_us >= self.limits.resume_us:
                    expired.append((session, "away"))
            elif now_us - session.last_received_us >= self.limits.idle_us and all(
                stream.over for stream in session.streams.values()
            ):
                expired.append((session, "idle"))
        return expired

    def starved(self, now_us):
        """Returns the streams that have waited too long for credit, as [(session, stream)]."""
        return [
            (session, stream)
            for session in self.sessions.values()
            for stream in session.streams.values()
            if stream.starved_since_us is not None
            and now_us - stream.starved_since_us >= self.limits.stall_us
            and not stream.over
        ]

    # ---- streams

    def open_stream(self, session, rid, credit):
        """Opens a stream. Returns (Stream, None), or (None, reason) with the reason 'duplicate' or 'too many'."""
        if rid in session.streams:
            return None, "duplicate"
        if sum(not stream.over for stream in session.streams.values()) >= self.limits.reqs:
            return None, "too many"
        stream = session.streams[rid] = Stream(rid, credit)
        return stream, None

    def push(self, session, stream, data, count=1, final=False, now_us=0):
        """Adds an item to a stream: `count` events, or the final answer."""
        if stream.over or session.id not in self.sessions:
            return
        item = Item(stream.next_seq, count, data, final)
        stream.next_seq += count
        if final:
            stream.over = True
            session.ended.append(stream.id)
            while len(session.ended) > MAX_UNACKNOWLEDGED_FINALS:
                oldest = session.streams.get(session.ended.popleft())
                if oldest is not None and oldest.over:
                    self.remove(session, oldest)
        self.append(session, stream, item)
        self.update_ready(session, stream, now_us)
        self.make_room(session)

    def drop_unsent(self, session, stream):
        """Drops the unsent items, so that the final answer of a cancelled stream need not wait for credit."""
        while stream.unsent:
            item = stream.items.pop()
            stream.unsent -= 1
            stream.next_seq = item.first_seq
            self.count_bytes(session, stream, -len(item.data))

    def append(self, session, stream, item):
        """Appends an item as unsent."""
        stream.items.append(item)
        stream.unsent += 1
        self.count_bytes(session, stream, len(item.data))

    def count_bytes(self, session, stream, delta):
        """Adds `delta` to the bytes kept for a stream, its session and all sessions."""
        stream.bytes += delta
        session.bytes += delta
        self.bytes += delta

    def update_ready(self, session, stream, now_us=0):
        """Queues a stream that may send, or notes since when it waits for credit."""
        if stream.may_send():
            stream.starved_since_us = None
            if stream not in session.ready_streams:
                session.ready_streams.append(stream)
            self.enqueue(session)
        elif stream.unsent and stream.starved_since_us is None:
            stream.starved_since_us = now_us

    def enqueue(self, session):
        """Queues a session that can send."""
        if session.writable and session.ready_streams and not session.queued:
            session.queued = True
            self.ready_sessions.append(session)

    def make_room(self, session):
        """Drops items that were sent while there is too little room. Unsent items are never dropped; their server is paused
        instead."""
        if session.bytes <= self.limits.session_bytes and self.bytes <= self.limits.total_bytes:
            return
        for stream in list(session.streams.values()):
            while (
                len(stream.items) > stream.unsent
                and not stream.items[0].final
                and (session.bytes > self.limits.session_bytes or self.bytes > self.limits.total_bytes)
            ):
                item = stream.items.popleft()
                stream.has_gap = True
                self.count_bytes(session, stream, -len(item.data))

    def full(self, session, stream):
        """Whether the server of a stream is to be paused."""
        if stream.unsent and not stream.may_send():
            return True
        if session.bytes > self.limits.session_bytes or self.bytes > self.limits.total_bytes:
            return stream.unsent > 0
        return False

    def grant_credit(self, session, rid, events, now_us):
        """Adds credit to a stream. Returns the stream, whose server may continue, or None if there is none of this id."""
        stream = session.streams.get(rid)
        if stream is None:
            return None
        if stream.credit is not None:
            stream.credit = min(1 << 30, stream.credit + events)
        self.update_ready(session, stream, now_us)
        return stream

    def acknowledge(self, session, rid, last):
        """The client has seen all items up to `last`."""
        stream = session.streams.get(rid)
        if stream is None:
            return
        self.drop_seen(session, stream, min(last, stream.next_seq - 1))
        if stream.over and not stream.items:
            self.remove(session, stream)

    def drop_seen(self, session, stream, last):
        """Drops the items up to `last`."""
        while stream.items and stream.items[0].first_seq + stream.items[0].count - 1 <= last:
            if len(stream.items) == stream.unsent:
                stream.unsent -= 1
            self.count_bytes(session, stream, -len(stream.items.popleft().data))

    def remove(self, session, stream):
        """Removes a stream and its items."""
        for item in stream.items:
            self.count_bytes(session, stream, -len(item.data))
        stream.items.clear()
        stream.unsent = 0
        if session.streams.get(stream.id) is stream:
            del session.streams[stream.id]
        if stream in session.ready_streams:
            session.ready_streams.remove(stream)

    # ---- sending

    def set_writable(self, session, on):
        """Takes whether the connection of a session can be written to."""
        session.writable = on
        self.enqueue(session)

    def turn(self, max_bytes, now_us=0):
        """Yields what to send now as (session, stream, item). The host may call `set_writable(session, False)` meanwhile. If
        `fair` is off, a session is served until it has nothing more to send, in the order of arrival."""
        sent = 0
        while self.ready_sessions and sent < max_bytes:
            session = self.ready_sessions.popleft()
            session.queued = False
            quantum = QUANTUM_BYTES if self.fair else 1 << 60
            while session.ready_streams and session.writable and quantum > 0 and sent < max_bytes:
                stream = session.ready_streams.popleft()
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
                    session.ready_streams.append(stream)
                elif stream.unsent and stream.starved_since_us is None:
                    stream.starved_since_us = now_us
            self.enqueue(session)


EVENTS_LOST = (
    b'"how":"aborted","status":502,"error":{"message":"Events of this call that you have not seen are no longer kept.",'
    b'"type":"server_error","param":null,"code":"events_lost"}'
)
