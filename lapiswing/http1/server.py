"""The server side. `app(exchange)` is called when a whole request has been received."""

from collections import Counter

from lapiswing.http1.connection import CloseReason, Connection
from lapiswing.http1.input_account import InputAccount
from lapiswing.http1.limits import DEFAULT_LIMITS
from lapiswing.http1.wire import response_head

MAX_ROOM_CANDIDATES = 64  # connections examined in one search for room
REFUSAL_READ_BYTES = 65536  # closing with unread bytes would reset the connection and destroy the answer


class Server:
    """Serves `app` on the streams of a listener, whose `on_stream` is `accept`."""

    def __init__(self, loop, app, limits=DEFAULT_LIMITS):
        self.loop, self.app, self.limits = loop, app, limits
        self.connections, self.listener, self.closing = set(), None, False
        self.requests = self.refused = 0
        self.closes = Counter()  # of connections, by CloseReason
        self.account = InputAccount()
        self.refusal_fields = ()  # of the answers to requests that were read and not kept, such as a retry time
        self.at_limit, self.on_limit = False, None  # `on_limit(bool)`: incomplete requests begin or cease to be refused
        self.sweep_timer = loop.call_later(1_000_000, self.sweep)

    def accept(self, stream, peer):
        """Takes a new connection."""
        self.connections.add(Connection(self, stream, peer))

    def connection_closed(self, conn):
        """A connection's stream has closed."""
        self.connections.discard(conn)
        self.gone()

    def gone(self):
        """Tells the listener that one of its connections has closed."""
        if self.listener is not None:
            self.listener.gone()

    def sweep(self):
        """Periodically checks all connections for time-outs."""
        limits = self.limits
        pause = min(1_000_000, limits.head_us, limits.first_request_us // 8 if limits.first_request_us else 1_000_000)
        self.sweep_timer = self.loop.call_later(pause, self.sweep)
        for conn in list(self.connections):
            # Under the budget of the turns, as many may be due at once and each is answered.
            self.loop.put_off_call(conn.stream, conn.check_timeouts, self.loop.now)
        if self.account.unfinished_bytes <= limits.all_unfinished_bytes // 2:
            self.set_at_limit(False)
        if limits.first_request_us is not None:
            self.close_long_idle()

    def make_room(self):
        """Connections run short: closes one connection or a few. In this order: those in a lingering close, those that have
        sent nothing for a while, those idle the longest, those that have just connected, those whose request has been
        incomplete for long. This keeps hundreds of silent connections from displacing normal clients. The oldest go first,
        and connections with unread input are spared, for the sake of clients that are slow with their first request."""
        now, reclaim_idle_us = self.loop.now, self.limits.reclaim_idle_us
        found = []
        for conn in self.connections:
            age = now - conn.phase_since_us
            if conn.stream.lingering is not None:
                found.append((-1, -age, conn))
                continue
            if conn.stream.closing or conn.phase == "answer":
                continue
            if conn.phase == "idle":
                # The first request of a connection that has just opened is on its way and would get no answer at all.
                rank = (0 if age > reclaim_idle_us // 8 else 3) if not conn.served else 1 if age > reclaim_idle_us else 2
                found.append((rank, -age, conn))
            elif age > reclaim_idle_us // 4:
                found.append((4, -age, conn))  # a request that has been incomplete for long
        found.sort(key=lambda candidate: candidate[:2])
        # Closes several at once if they have had their time, as the search costs more than the closing.
        closed = 0
        for rank, age, conn in found[:MAX_ROOM_CANDIDATES]:
            if closed and (rank > 2 or -age < reclaim_idle_us // 8):
                return
            if rank < 0 or not conn.stream.pending():
                conn.reclaim()
                closed += 1

    def refusal(self):
        """-> the bytes of the answer to a request that was read and not kept."""
        return response_head(503, [(b"content-length", b"0"), *self.refusal_fields])

    def pipelining_full(self):
        """Whether all connections together buffer more behind their open requests than allowed."""
        return self.account.pipelined_bytes > self.limits.all_pipelined_bytes

    def refuse_beyond_limit(self):
        """Refuses incomplete requests if all connections together keep more of them than allowed, until an eighth is free: those
        that have made no progress for the longest go first. Connections that keep less than their part of the limit are spared,
        so that hundreds of peers that stop halfway don't displace the usual requests."""
        limit, account = self.limits.all_unfinished_bytes, self.account
        if account.unfinished_bytes <= limit:
            return
        self.set_at_limit(True)
        part = limit // len(self.connections)
        found = [conn for conn in self.connections if conn.unfinished_bytes > part and not conn.stream.closing]
        found.sort(key=lambda conn: (conn.stream.last_received_us, -conn.unfinished_bytes))
        for conn in found:
            if account.unfinished_bytes <= limit * 7 // 8:
                return
            account.refused += 1
            conn.refuse(503, "too many incomplete requests")

    def set_at_limit(self, at_limit):
        """Calls `on_limit` if the state differs."""
        if at_limit != self.at_limit:
            self.at_limit = at_limit
            if self.on_limit is not None:
                self.on_limit(at_limit)

    @staticmethod
    def answer_refused(sock):
        """Answers what has already arrived on a connection beyond the listener's limit."""
        sock.setblocking(False)
        try:
            if sock.recv(REFUSAL_READ_BYTES):
                sock.send(response_head(503, [(b"content-length", b"0"), (b"connection", b"close")]))
        except BlockingIOError:
            pass  # no request yet

    def close_long_idle(self):
        """Closes connections idle for `reclaim_idle_us` while more than half of the allowed connections are open."""
        if self.listener is None or self.listener.open * 2 < self.limits.connections:
            return
        for conn in [conn for conn in self.connections if conn.phase == "idle" and conn.served and not conn.stream.closing]:
            if self.loop.now - conn.phase_since_us > self.limits.reclaim_idle_us and not conn.stream.pending():
                self.closes[CloseReason.IDLE] += 1
                conn.stream.close()

    def drain(self, refuse_incomplete=None):
        """Accepts no further requests: idle connections close now, the others after their answer. A request that has been
        received completely or in part is still answered. `refuse_incomplete`: a reason for which those received in part are
        refused now."""
        self.closing = True
        for conn in list(self.connections):
            if not conn.busy():
                self.closes[CloseReason.DRAINED] += 1
                conn.stream.close()
            elif refuse_incomplete is not None and conn.phase in ("head", "body") and not conn.stream.closing:
                self.closes[CloseReason.DRAINED] += 1
                conn.refuse(503, refuse_incomplete)

    def busy(self):
        """Whether any connection has an unfinished request or answer."""
        return any(conn.busy() for conn in self.connections)

    def close(self):
        """Aborts all connections."""
        self.sweep_timer.cancel()
        for conn in list(self.connections):
            conn.stream.abort()
