"""The server side. `app(exchange)` is called when a whole request is in."""

from collections import deque
from dataclasses import dataclass

import httptools
import orjson

from lapiswing.http1.wire import REQUEST_LINE, Bad, check_framing, chunk, get, response_head, split_head, tokens


LOOKED_AT = 64  # connections in one search for room
ARRIVALS_APART_US = 10_000  # reads closer together count as one, at the earlier time
READ_AT_REFUSAL = 65536  # bytes; a close over unread ones would destroy the answer
FEW_BYTES = 4096  # behind an open request: kept whatever all connections together keep


@dataclass(frozen=True)
class Limits:
    """Bytes and microseconds. A head or body that is not whole in its time is answered 408 and closed; `idle_us`
    is the wait for a next request; a client that takes nothing for `stall_us` while bytes wait for it has left."""

    head_bytes: int = 32768
    body_bytes: int = 4 << 20
    head_us: int = 10_000_000
    body_us: int = 30_000_000
    idle_us: int = 75_000_000
    stall_us: int = 30_000_000
    pipelined_bytes: int = 65536
    all_pipelined_bytes: int = 4 << 20  # of all connections; past it each keeps `FEW_BYTES` only
    connections: int = 4096
    first_us: int | None = None  # from a connection's opening, for the whole of its first request
    linger_us: int = 1_000_000  # after an answer that ends its connection while its client still sends
    spare_us: int = 2_000_000  # an idle connection this old may be closed when connections run short


class Exchange:
    """One request and its answer. Answer with `respond`, or `begin`, `send`..., `end`. `on_left()` is called once
    if the client goes before the answer's end, `on_drained()` when `full` has become false again."""

    on_left = on_drained = None

    def __init__(self, conn, method, target, fields, version):
        self.conn, self.method, self.target, self.fields, self.version = conn, method, target, fields, version
        self.path = target.split(b"?", 1)[0]
        self.body, self.begun, self.over, self.chunked = b"", False, False, False
        self.arrived_us = conn.server.loop.now  # when its first byte came in, at the earliest
        self.keep_alive = (
            b"close" not in tokens(fields, b"connection") if version == b"1.1" else b"keep-alive" in tokens(fields, b"connection")
        )

    def header(self, name, default=None):
        return get(self.fields, name, default)

    @property
    def full(self):
        return self.conn.stream.full

    def poll_client(self):
        """Hears now, and not at the loop's next turn, whether its client has gone."""
        if not self.over:
            self.conn.stream.catch_up()

    def respond(self, status, body=b"", content_type=b"application/json", more=()):
        """A whole answer at once."""
        if self.begun or self.over:
            return
        self.begun = True
        fields = [(b"content-type", content_type), (b"content-length", b"%d" % len(body)), *more]
        if not self.keep_alive or self.conn.ends():
            self.keep_alive = False
            fields.append((b"connection", b"close"))
        self.write(response_head(status, fields) + (b"" if self.method == b"HEAD" else body))
        self.end()

    def json(self, status, value, more=()):
        self.respond(status, orjson.dumps(value), more=more)

    def begin(self, status, fields):
        """Starts an answer of unknown length: chunked, or to a 1.0 client until the connection's end."""
        self.begun = True
        self.chunked = self.version == b"1.1"
        self.keep_alive = self.keep_alive and not self.conn.ends()
        if self.chunked:
            fields = [*fields, (b"transfer-encoding", b"chunked")]
        else:
            self.keep_alive = False
        if not self.keep_alive:
            fields = [*fields, (b"connection", b"close")]
        self.write(response_head(status, fields))

    def send(self, data):
        if data and not self.over:
            self.write(chunk(data) if self.chunked else data)

    def end(self):
        if self.over:
            return
        if self.chunked:
            self.write(b"0\r\n\r\n")
        self.over, self.on_left, self.on_drained = True, None, None
        self.conn.answered(self)

    def abort(self):
        """Ends it so that the client sees that it is not whole."""
        if not self.over:
            self.over, self.on_left, self.on_drained = True, None, None
            self.conn.stream.abort()

    def write(self, data):
        self.conn.stream.write(data)

    def upgrade(self, owner):
        """Hands the stream over to `owner`, for another protocol. -> the bytes that came behind the request. The new
        owner calls `server.gone()` when its stream has closed."""
        conn, self.over = self.conn, True
        conn.current = None
        conn.server.connections.discard(conn)
        conn.stream.owner = owner
        return bytes(conn.raw)


class Arrivals:
    """When the bytes came in that are not parsed yet, at the earliest."""

    def __init__(self):
        self.parts, self.size = deque(), 0  # [bytes, time]

    def add(self, size, at_us):
        self.size += size
        if self.parts and at_us - self.parts[-1][1] < ARRIVALS_APART_US:
            self.parts[-1][0] += size
        else:
            self.parts.append([size, at_us])

    def of_first(self, unparsed):
        """Of the oldest of the last `unparsed` bytes; those before them are forgotten."""
        while len(self.parts) > 1 and self.size - self.parts[0][0] >= unparsed:
            self.size -= self.parts.popleft()[0]
        return self.parts[0][1]

    def clear(self):
        self.parts.clear()
        self.size = 0


class Connection:
    """Owner of one client's stream. Requests are answered in order; while one is being answered, what comes behind
    it waits unparsed, up to a bound past which it is passed over and the connection ends with the answer."""

    def __init__(self, server, stream, peer):
        self.server, self.stream, self.peer = server, stream, peer
        self.raw, self.arrivals, self.current = bytearray(), Arrivals(), None
        self.accepted_turn, self.accepted_us = server.loop.turns, server.loop.ready_since_us
        self.exchange = self.parser = None  # the request whose body is coming in
        self.left = 0  # bytes of that body
        self.since_us = self.born_us = server.loop.now
        self.served = False  # whether a whole request has come in
        self.cut_short = False  # whether a request was refused before it was whole
        self.in_haste = False  # whether its descriptor is needed at once
        self.passed_over = 0  # bytes behind the open request that were read and not kept
        self.phase = "idle"  # idle, head, body, answer: which time-out counts
        stream.owner = self

    def on_data(self, data):
        if self.stream.closing:
            return
        if not self.raw:
            self.arrivals.clear()
        self.raw += data
        self.arrivals.add(len(data), self.ready_since_us())
        if self.current is None:
            return self.parse()
        limits = self.server.limits
        if len(self.raw) > limits.pipelined_bytes or len(self.raw) > FEW_BYTES and self.server.too_much_waits():
            # Read on, so that it can be seen to leave, and not kept, so that it can't make us grow. Could harm a client
            # that sends far ahead: it has to ask again for what stood behind this answer.
            self.passed_over += len(self.raw)
            self.raw.clear()
            self.arrivals.clear()
            self.current.keep_alive = False
            # Past what could have been kept, more than any one request may be.
            if self.passed_over > limits.pipelined_bytes + limits.head_bytes + limits.body_bytes:
                self.stream.abort()

    def ready_since_us(self):
        """When what is read now can have come in, at the earliest: on a new connection, while it waited to be accepted."""
        loop = self.server.loop
        return self.accepted_us if loop.turns - self.accepted_turn <= 1 else loop.ready_since_us

    def parse(self):
        try:
            while self.current is None and self.raw and not self.stream.closed and not self.stream.closing:
                if self.exchange is None and not self.head():
                    return
                if self.exchange is not None and not self.body():
                    return
        except Bad as problem:
            self.refuse(problem.status, str(problem))
        except httptools.HttpParserError as problem:
            self.refuse(400, f"malformed body: {problem}")

    def head(self):
        limits = self.server.limits
        while self.raw[:2] == b"\r\n":  # RFC 9112, 2.2: empty lines before a request are passed over
            del self.raw[:2]
        end = self.raw.find(b"\r\n\r\n")
        if end < 0 and len(self.raw) > limits.head_bytes or end > limits.head_bytes:
            raise Bad("the head is too long", 431)
        if end < 0:
            if b"\n\n" in self.raw:
                raise Bad("bare CR or LF in the head")
            if self.raw:
                self.enter("head")
            return False
        line, fields = split_head(bytes(self.raw[:end]), REQUEST_LINE)
        arrived_us = self.arrivals.of_first(len(self.raw))
        del self.raw[: end + 4]
        method, target, version = line.split(b" ")
        version = version[5:]
        length = check_framing(fields, True)
        if version == b"1.1" and sum(n == b"host" for n, _ in fields) != 1:
            raise Bad("exactly one Host header is needed")
        if length == "chunked" and version != b"1.1":
            raise Bad("a chunked body in HTTP/1.0")
        if isinstance(length, int) and length > limits.body_bytes:
            raise Bad("the body is too long", 413)
        expect = get(fields, b"expect")
        if expect is not None:
            if expect.lower() != b"100-continue":
                raise Bad("unknown expectation", 417)
            if length and not self.raw:
                self.stream.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        self.exchange = Exchange(self, method, target, fields, version)
        self.exchange.arrived_us = arrived_us
        self.left, self.parts, self.size, self.whole = length or 0, [], 0, False
        if length == "chunked":
            self.parser = httptools.HttpRequestParser(self)
            self.parser.feed_data(b"POST / HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n")
        if not length:
            self.take()
        else:
            self.enter("body")
        return True

    def body(self):
        if self.parser is not None:
            # Fed in pieces: what follows the last chunk belongs to the next request.
            data = bytes(self.raw)
            self.raw.clear()
            at = 0
            while at < len(data) and not self.whole:
                # Up to a line's end at a time, so that the parser is never fed past the end of this body.
                step = self.step(data, at)
                self.parser.feed_data(data[at : at + step])
                at += step
            self.raw += data[at:]
            if not self.whole:
                return False
            self.parser = None
        else:
            part = bytes(self.raw[: self.left])
            del self.raw[: len(part)]
            self.parts.append(part)
            self.left -= len(part)
            if self.left:
                return False
        self.take()
        return True

    def step(self, data, at):
        end = data.find(b"\n", at)
        return (len(data) if end < 0 else end + 1) - at

    def on_body(self, data):
        self.size += len(data)
        if self.size > self.server.limits.body_bytes:
            self.parts.clear()
            raise Bad("the body is too long", 413)
        self.parts.append(data)

    def on_message_complete(self):
        self.whole = True

    def take(self):
        exchange, self.exchange, self.served = self.exchange, None, True
        exchange.body = b"".join(self.parts)
        self.parts = []
        self.current = exchange
        self.enter("answer")
        self.server.requests += 1
        try:
            self.server.app(exchange)
        except Exception as problem:
            # A fault in handling one request must not leave its client without an answer.
            self.server.loop.errors += 1
            if self.server.loop.on_error:
                self.server.loop.on_error(problem)
            if exchange.begun:
                exchange.abort()
            else:
                exchange.keep_alive = False
                exchange.json(
                    500,
                    {"error": {"message": "internal error", "type": "server_error", "param": None, "code": "internal_error"}},
                    more=[(b"x-should-retry", b"false")],
                )

    def answered(self, exchange):
        if exchange is not self.current:
            return
        self.current = None
        # A client that was not told of the end (its answer began before) may have sent its next request: that is taken.
        if not exchange.keep_alive or self.ends():
            return self.close()
        self.enter("idle")
        if self.raw:
            self.server.loop.soon(self.parse_guarded)

    def ends(self):
        """Whether this answer is the last one: the server stops, and nothing further has come in."""
        return self.server.closing and not self.heard_more()

    def heard_more(self):
        return bool(self.raw) or self.stream.pending()

    def close(self):
        """After the last answer."""
        limits, more = self.server.limits, self.cut_short or self.passed_over or self.heard_more()
        linger = more and not self.in_haste
        self.enter("idle")
        self.stream.close(limits.linger_us if linger else 0, limits.head_bytes + limits.body_bytes)

    def parse_guarded(self):
        if not self.stream.closed:
            self.server.loop.guard(self.stream, self.parse)

    def refuse(self, status, why):
        self.raw.clear()
        self.cut_short = True
        exchange = self.exchange or Exchange(self, b"GET", b"*", [], b"1.1")
        self.exchange, self.parser = None, None
        exchange.keep_alive = False
        self.current = exchange
        self.server.refused += 1
        exchange.json(status, {"error": {"message": why, "type": "invalid_request_error", "param": None, "code": "bad_http"}})

    def give_place(self):
        """Closes at once. A request that is half here is refused, not dropped."""
        if self.phase in ("head", "body"):
            self.in_haste = True
            self.refuse(503, "connections run short")
        elif not self.stream.unsent_bytes:  # else the end of its last answer is still on its way to a slow client
            self.stream.abort()

    def busy(self):
        stream = self.stream
        if stream.closing:
            return bool(stream.unsent_bytes) or stream.lingering is not None
        return self.current is not None or self.exchange is not None or bool(stream.unsent_bytes) or self.heard_more()

    def enter(self, phase):
        if phase != self.phase:
            self.phase, self.since_us = phase, self.server.loop.now

    def overdue(self, now):
        """Called now and then by the server."""
        limits, past = self.server.limits, now - self.since_us
        if self.stream.lingering is not None:
            return  # it has its own time
        if self.phase == "idle" and not self.stream.closing and self.stream.pending():
            return  # what has come in is read first, in the next turn
        if self.stream.unsent_bytes and now - self.stream.last_progress_us > limits.stall_us:
            return self.stream.abort()
        if not self.served and limits.first_us is not None and now - self.born_us > limits.first_us:
            if self.stream.closing or self.phase == "idle" or self.current is not None:
                return self.stream.abort()
            return self.refuse(408, "the request did not come in time")
        if self.phase == "idle" and past > limits.idle_us or self.stream.closing and past > limits.idle_us:
            self.stream.close() if not self.stream.closing else self.stream.abort()
        elif self.phase == "head" and past > limits.head_us:
            self.refuse(408, "the head did not come in time")
        elif self.phase == "body" and past > limits.body_us:
            self.refuse(408, "the body did not come in time")

    def on_eof(self):
        # A half-closed client could still read, but it can't be told from one that has gone; API clients don't
        # half-close, so an end of its side counts as leaving.
        self.stream.abort() if self.current is not None else self.stream.close()

    def on_closed(self, why):
        self.server.closed_connection(self)
        exchange, self.current = self.current, None
        self.exchange = self.parser = None
        if exchange is not None and not exchange.over:
            exchange.over, left = True, exchange.on_left
            exchange.on_left = exchange.on_drained = None
            if left:
                left()

    def on_drained(self):
        if self.current is not None and self.current.on_drained:
            self.current.on_drained()


class Server:
    """Serves `app` on a listener's streams; `listener.on_stream` is `accept`."""

    def __init__(self, loop, app, limits=Limits()):
        self.loop, self.app, self.limits = loop, app, limits
        self.connections, self.listener, self.closing = set(), None, False
        self.requests = self.refused = 0
        self.sweep_timer = loop.call_later(1_000_000, self.sweep)

    def accept(self, stream, peer):
        self.connections.add(Connection(self, stream, peer))

    def closed_connection(self, conn):
        self.connections.discard(conn)
        self.gone()

    def gone(self):
        if self.listener is not None:
            self.listener.gone()

    def sweep(self):
        limits = self.limits
        pause = min(1_000_000, limits.head_us, limits.first_us // 8 if limits.first_us else 1_000_000)
        self.sweep_timer = self.loop.call_later(pause, self.sweep)
        now = self.loop.now
        for conn in list(self.connections):
            self.loop.guard(conn.stream, conn.overdue, now)
        if limits.first_us is not None:
            self.thin()

    def make_room(self):
        """Connections run short: closes one that only lingers, else one that has said nothing for a while, else the
        longest idle one, else one that has just connected, else one whose request has been half here for long. Guards usual clients against hundreds that connect and say nothing; could
        harm a client that is slow to say its first word, so the oldest goes first, and what came in is looked for."""
        now, spare_us = self.loop.now, self.limits.spare_us
        found = []
        for c in self.connections:
            age = now - c.since_us
            if c.stream.lingering is not None:
                found.append((-1, -age, c))
                continue
            if c.stream.closing or c.phase == "answer":
                continue
            if c.phase == "idle":
                # Who has only just connected has its first request on the way, and would be answered nothing at all.
                rank = (0 if age > spare_us // 8 else 3) if not c.served else 1 if age > spare_us else 2
                found.append((rank, -age, c))
            elif age > spare_us // 4:
                found.append((4, -age, c))  # half a request, for long
        found.sort(key=lambda one: one[:2])
        # Some at once where they have had their time: looking for them costs more than closing them.
        closed = 0
        for rank, age, c in found[:LOOKED_AT]:
            if closed and (rank > 2 or -age < spare_us // 8):
                return
            if rank < 0 or not c.stream.pending():
                c.give_place()
                closed += 1

    def too_much_waits(self):
        """Whether what all connections keep behind their open requests is past its bound."""
        return sum(len(c.raw) for c in self.connections if c.current is not None) > self.limits.all_pipelined_bytes

    @staticmethod
    def answer_refused(sock):
        """Answers what has come in on a connection that there is no place for."""
        sock.setblocking(False)
        try:
            if sock.recv(READ_AT_REFUSAL):
                sock.send(response_head(503, [(b"content-length", b"0"), (b"connection", b"close")]))
        except BlockingIOError:
            pass  # nothing was asked yet

    def thin(self):
        """Closes what has been idle for `spare_us` while more than half the connections that may be are open."""
        if self.listener is None or self.listener.open * 2 < self.limits.connections:
            return
        for c in [c for c in self.connections if c.phase == "idle" and c.served and not c.stream.closing]:
            if self.loop.now - c.since_us > self.limits.spare_us and not c.stream.pending():
                c.stream.close()

    def drain(self):
        """No further requests: idle connections close now, the others after their answer. A request that has come in,
        whole or in part, is still answered."""
        self.closing = True
        for conn in list(self.connections):
            if not conn.busy():
                conn.stream.close()

    def busy(self):
        """Whether an answer, bytes on their way out, or a request that has begun to come in is still owed something."""
        return any(conn.busy() for conn in self.connections)

    def close(self):
        self.sweep_timer.cancel()
        for conn in list(self.connections):
            conn.stream.abort()
