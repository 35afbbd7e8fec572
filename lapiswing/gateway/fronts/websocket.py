"""WebSocket sessions: GET /v1/chat/sessions (RFC 6455, over wsproto). The messages are docs/websocket.md's.

The front owns connections and their messages; `sessions.Book` decides on limits, turns, credit and what a returning
client gets. Each call becomes a req of the same core by the same mapping as the HTTP front's, and its final answer comes
through the same listener interface."""

import time
from zlib import crc32

import msgspec
import orjson
from wsproto.connection import Connection as Frames
from wsproto.connection import ConnectionState, ConnectionType
from wsproto.events import AcceptConnection, BytesMessage, CloseConnection, Ping, Request, TextMessage
from wsproto.handshake import H11Handshake
from wsproto.utilities import LocalProtocolError
from wsproto.utilities import RemoteProtocolError as Rejected

from lapiswing.chat import InvalidCall, error_body, without_usage
from lapiswing.chat.call import call_of
from lapiswing.chat.errors import aborted, pushed_back
from lapiswing.gateway.fronts.mapping import UnknownApiKey
from lapiswing.http1.wire import tokens
from lapiswing.sessions import Book, Limits, Tokens
from lapiswing.settings import settings_pb2 as pb

MS = 1000
PROTOCOL = "lapiswing.chat.v1"
TURN_BYTES = 262144  # sent to all sessions in one turn of the loop; the rest waits for the next
ADVICE = {
    pb.REPLAYABLE: "It is safe to call again.",
    pb.KEYED: "Call again with the same Idempotency-Key within its window, at the same gateway if it lives.",
    pb.NON_REPLAYABLE: "It may have run: don't call again.",
}


class Message(msgspec.Struct):
    """What a client may say."""

    type: str
    id: str | None = None
    body: dict | None = None
    headers: dict[str, str] = {}
    credit: int | None = None
    events: int | None = None
    seq: int | None = None
    token: str | None = None
    seen: dict[str, int] = {}
    data: str | None = None


class SessionFront:
    def __init__(self, core, mapper, settings, life, fair=True):
        s = settings.sessions
        self.core, self.loop, self.mapper, self.settings = core, core.loop, mapper, s
        self.book = Book(
            Limits(
                s.per_tenant,
                s.total,
                s.reqs,
                s.session_bytes,
                s.total_bytes,
                s.resume_ms * MS,
                s.idle_ms * MS,
                s.stall_ms * MS,
                settings.limits.max_come_back_ms * MS,
            ),
            fair,
        )
        self.tokens = Tokens(list(s.token_key), life, max(60, s.resume_ms // 1000 * 4 + s.idle_ms // 1000))
        self.connections, self.draining = set(), False
        self.counts = {"opened": 0, "resumed": 0, "refused": 0, "dropped": 0, "ended": 0}
        self.advice = {g.name: ADVICE[g.effect] for g in settings.group}
        self.loop.after.append(self.turn)
        self.timer = self.loop.call_later(1000 * MS, self.sweep)

    # ---- opening

    def open(self, exchange):
        """The request for an upgrade."""

        def refuse(status, text, code, more=()):
            self.counts["refused"] += 1
            exchange.respond(status, error_body(text, "invalid_request_error", code), more=more)

        if exchange.method != b"GET":
            return refuse(405, "Method not allowed", "method_not_allowed", [(b"allow", b"GET")])
        if b"websocket" not in tokens(exchange.fields, b"upgrade"):
            return refuse(
                426, "This path speaks WebSocket.", "upgrade_required", [(b"upgrade", b"websocket"), (b"connection", b"Upgrade")]
            )
        try:
            tenant = self.mapper.tenant(exchange.header(b"authorization"))
        except UnknownApiKey:
            return refuse(401, "Incorrect API key provided.", "invalid_api_key")
        if self.draining and not self.unfinished():
            status, fields, body = pushed_back(self.book.limits.come_back_us)
            return exchange.respond(status, body, more=fields)
        offered = [
            p.strip() for n, v in exchange.fields if n == b"sec-websocket-protocol" for p in v.decode("latin-1").split(",")
        ]
        if offered and PROTOCOL not in offered:
            return refuse(400, f"Only the subprotocol {PROTOCOL} is spoken here.", "unknown_subprotocol")
        handshake = H11Handshake(ConnectionType.SERVER)
        try:
            handshake.initiate_upgrade_connection(
                [(n, v) for n, v in exchange.fields if n not in (b"content-length",)], exchange.target.decode("latin-1")
            )
            request = next(handshake.events())
            if not isinstance(request, Request):
                raise Rejected("no request")
            answer = handshake.send(AcceptConnection(subprotocol=PROTOCOL if offered else None))
        except (Rejected, LocalProtocolError, StopIteration) as problem:
            return refuse(400, f"Not a WebSocket handshake: {problem}", "bad_handshake", [(b"sec-websocket-version", b"13")])
        Connection(self, exchange, tenant, answer)

    # ---- turns

    def turn(self):
        if self.book.ring:
            for session, stream, item in self.book.turn(TURN_BYTES, self.loop.now):
                session.owner.send_item(stream, item)
            if self.book.ring:
                self.loop.soon(lambda: None)

    def sweep(self):
        self.timer = self.loop.call_later(1000 * MS, self.sweep)
        now = self.loop.now
        for session, why in self.book.quiet(now):
            if session.owner is not None:
                session.owner.close(1000, "idle")
            self.end(session)
        for session, stream in self.book.starved(now):
            self.cancel(session, stream, "No credit was granted in time.")
        for conn in list(self.connections):
            self.loop.guard(conn.stream, conn.overdue, now)

    def end(self, session):
        """For good: what still runs for it counts as left by its client."""
        self.counts["ended"] += 1
        for stream in self.book.close(session):
            stream.over = True
            if stream.req is not None:
                self.core.left(stream.req, stream.listener)

    def cancel(self, session, stream, why):
        if stream.over:
            return
        req, listener = stream.req, stream.listener
        self.book.cut(session, stream)
        listener.on_failed(why)
        if req is not None:
            self.core.left(req, listener)

    # ---- draining

    def drain(self, limit_us):
        """Sends sessions elsewhere, spread over time so that they don't all arrive in one second. A session with reqs
        stays until they have ended, or to the limit."""
        self.draining = True
        spread = min(self.settings.spread_ms * MS, max(0, limit_us - 500 * MS))
        now = self.loop.clock.now_us()
        for conn in list(self.connections):
            after = spread * crc32(b"%d/%d" % (conn.session.id if conn.session else 0, conn.number)) // (1 << 32)
            conn.say(b'{"type":"going_away","in_ms":%d}' % (after // MS))
            self.loop.call_at(now + after, self.send_away, conn, now + limit_us - 300 * MS)

    def unfinished(self):
        """Whether a session has something to come back for, now or when its link drops."""
        return any(not x.over or x.items for s in self.book.sessions.values() for x in s.streams.values())

    def send_away(self, conn, latest):
        if conn.stream.closed:
            return
        open_ones = conn.session is not None and any(not s.over or s.unsent for s in conn.session.streams.values())
        if open_ones and self.loop.clock.now_us() < latest:
            return self.loop.call_later(50 * MS, self.send_away, conn, latest)
        conn.close(1012, "going away", wait=True)

    def close(self):
        self.timer.cancel()
        for conn in list(self.connections):
            conn.stream.abort()


class Connection:
    """Owner of an upgraded stream."""

    count = 0

    def __init__(self, front, exchange, tenant, answer):
        Connection.count += 1
        self.front, self.tenant, self.number = front, tenant, Connection.count
        self.loop, self.session = front.loop, None
        self.server, self.stream = exchange.conn.server, exchange.conn.stream
        self.frames = Frames(ConnectionType.SERVER)
        self.parts, self.size, self.closing = [], 0, False
        self.heard_us = self.pinged_us = self.loop.now
        rest = exchange.upgrade(self)
        front.connections.add(self)
        self.stream.write(answer)
        self.loop.call_later(300 * MS, self.greet)  # a client that resumes says so first
        if rest:
            self.on_data(rest)

    # ---- the stream's owner

    def on_data(self, data):
        if self.closing and not self.waits:
            return
        self.heard_us = self.loop.now
        try:
            self.frames.receive_data(data)
            for event in self.frames.events():
                if self.waits:
                    if isinstance(event, CloseConnection):
                        self.over()
                        return
                    continue
                self.take(event)
                if self.closing and not self.waits:
                    return
        except Rejected as problem:
            hint = getattr(problem, "event_hint", None)
            code = hint.code if isinstance(hint, CloseConnection) else 1002
            self.close(code, str(problem)[:100])

    def take(self, event):
        if isinstance(event, TextMessage):
            self.size += len(event.data)
            if self.size > self.front.settings.message_bytes:
                return self.close(1009, "message too long")
            self.parts.append(event.data)
            if event.message_finished:
                text, self.parts, self.size = "".join(self.parts), [], 0
                self.message(text)
        elif isinstance(event, BytesMessage):
            self.close(1003, "text messages only")
        elif isinstance(event, Ping):
            if not self.stream.full:  # who pings and never reads gets no more pongs
                self.stream.write(self.frames.send(event.response()))
        elif isinstance(event, CloseConnection):
            if self.frames.state is ConnectionState.OPEN:  # not the client's word: its frames are wrong
                return self.close(event.code, event.reason)
            if self.frames.state is ConnectionState.REMOTE_CLOSING:
                self.stream.write(self.frames.send(event.response()))
            # A client that closes in order has no wish to come back, unless it says that it goes away.
            self.over(event.code == 1000)
        if self.stream.full:
            self.stream.pause()

    def over(self, ended=True):
        """The closing handshake is done."""
        if ended and self.session is not None:
            session, self.session = self.session, None
            session.owner = None
            self.front.end(session)
        self.closing, self.waits = True, False
        self.stream.close()

    def on_eof(self):
        self.stream.abort()

    def on_closed(self, why):
        self.front.connections.discard(self)
        self.server.gone()
        session, self.session = self.session, None
        if session is not None and session.owner is self:
            session.owner = None
            self.front.counts["dropped"] += 1
            self.front.book.dropped(session, self.loop.now)

    def on_drained(self):
        self.stream.resume()
        if self.session is not None:
            self.front.book.writable(self.session, True)
            self.free_boxes()

    def overdue(self, now):
        s = self.front.settings
        if (
            self.stream.unsent_bytes
            and now - self.stream.last_progress_us > s.stall_ms * MS
            or self.closing
            and (now - self.heard_us > 5_000_000)
        ):
            return self.stream.abort()
        if now - self.heard_us > 2 * s.ping_ms * MS + 5_000_000:
            return self.stream.abort()  # gone without a word; it may come back
        if now - max(self.heard_us, self.pinged_us) > s.ping_ms * MS and not self.closing:
            self.pinged_us = now
            self.stream.write(self.frames.send(Ping(b"")))

    # ---- saying

    def say(self, data):
        if not self.closing and not self.stream.closed:
            self.stream.write(self.frames.send(TextMessage(data.decode())))

    def close(self, code, why, wait=False):
        """With `wait` the stream stays until the client has answered the close: then it has read all that came before,
        and its session is over."""
        if self.closing:
            return
        self.closing, self.waits = True, wait
        try:
            self.stream.write(self.frames.send(CloseConnection(code, why)))
        except LocalProtocolError:
            self.waits = False  # the client's close came first
        if not self.waits:
            self.stream.close()

    waits = False

    def error(self, code, text, rid=None):
        self.say(orjson.dumps({"type": "error", "id": rid, "code": code, "message": text}))

    def send_item(self, stream, item):
        rid = orjson.dumps(stream.id)
        if item.final:
            self.say(b'{"type":"final","id":%b,"seq":%d,%b}' % (rid, item.first, item.data))
        else:
            self.say(b'{"type":"events","id":%b,"seq":%d,"chunks":[%b]}' % (rid, item.first, item.data))
        if self.stream.full:
            self.front.book.writable(self.session, False)
        if stream.req is not None:
            self.front.core.drained(stream.req)

    def free_boxes(self):
        for stream in list(self.session.streams.values()):
            if stream.req is not None and not stream.over:
                self.front.core.drained(stream.req)

    # ---- messages

    def message(self, text):
        try:
            message = msgspec.json.decode(text, type=Message)
        except msgspec.DecodeError as problem:
            return self.error("bad_message", str(problem))
        if message.type == "resume":
            return self.resume(message)
        if message.type == "ping":
            return self.say(orjson.dumps({"type": "pong", "data": message.data}))
        if self.session is None and not self.greet():
            return None
        handle = {"call": self.call, "cancel": self.cancel, "credit": self.credit, "seen": self.seen}.get(message.type)
        if handle is None:
            return self.error("unknown_type", f"{message.type!r} is none of call, cancel, credit, seen, resume, ping")
        if not isinstance(message.id, str) or not 0 < len(message.id) <= 128:
            return self.error("bad_message", "`id` must have 1 to 128 characters")
        self.session.heard_us = self.loop.now
        return handle(message)

    def greet(self):
        """Starts a new session, unless there is one."""
        if self.session is not None or self.closing or self.stream.closed:
            return self.session is not None
        book = self.front.book
        session, come_back = None, book.limits.come_back_us
        if not self.front.draining:
            session, come_back = book.open(self.loop.now, self.tenant)
        if session is None:
            self.error("draining" if self.front.draining else "too_many_sessions", f"Come back in {come_back // MS} ms.")
            self.close(1013, f"come back in {come_back // MS} ms")
            return False
        self.front.counts["opened"] += 1
        self.begin(session, {})
        return True

    def begin(self, session, following):
        self.session, session.owner = session, self
        s = self.front.settings
        token = self.front.tokens.make(session.id, self.tenant, int(time.time()))
        self.say(
            orjson.dumps(
                {
                    "type": "session",
                    "token": token,
                    "resume_ms": s.resume_ms,
                    "next": following,
                    "limits": {"reqs": s.reqs, "message_bytes": s.message_bytes, "idle_ms": s.idle_ms},
                }
            )
        )

    def resume(self, message):
        if self.session is not None:
            return self.error("too_late", "`resume` must be the first message")
        why, number = self.front.tokens.read(message.token or "", self.tenant, int(time.time()))
        session = self.front.book.sessions.get(number) if why == "good" else None
        if session is None:
            code = {"good": "session_over", "other gateway": "other_gateway"}.get(why, "bad_token")
            self.say(
                orjson.dumps({"type": "not_resumed", "code": code, "advice": self.front.advice if code != "bad_token" else {}})
            )
            return self.greet()
        if session.owner is not None:  # the later connection has it: the earlier may be half dead
            old, old_session = session.owner, session.owner.session
            old.session = None
            old.close(4001, "resumed on another connection")
            self.front.book.dropped(old_session, self.loop.now)
        following, gaps = self.front.book.resume(session, message.seen, self.loop.now)
        self.front.counts["resumed"] += 1
        self.begin(session, following)
        for stream in gaps:
            if stream.req is not None:
                self.front.core.left(stream.req, stream.listener)
        self.free_boxes()
        return None

    def call(self, message):
        book, session = self.front.book, self.session
        credit = message.credit if message.credit is None else max(0, message.credit)
        stream, why = book.call(session, message.id, credit)
        if stream is None:
            if why == "duplicate":
                return self.error("duplicate_id", "This id is in use.", message.id)
            # The req was not taken; its id is free.
            status, _, body = pushed_back(book.limits.come_back_us)
            return self.say(
                orjson.dumps(
                    {
                        "type": "final",
                        "id": message.id,
                        "seq": 1,
                        "how": "pushed_back",
                        "status": status,
                        "retry_after_ms": book.limits.come_back_us // MS,
                        **orjson.loads(body),
                    }
                )
            )
        stream.listener = listener = SessionListener(self.front, session, stream)
        headers = {k.lower().encode(): v.encode() for k, v in message.headers.items()}
        try:
            call = call_of(message.body if message.body is not None else {})
            listener.whole = not call.stream
            listener.usage = call.include_usage
            spec = self.front.mapper.spec(call, self.tenant, headers.get, self.loop.clock.now_us())
        except InvalidCall as problem:
            return listener.on_wrong(400, orjson.loads(error_body(str(problem), "invalid_request_error", None, problem.param)))
        stream.req = self.front.core.submit(spec, listener)
        return None

    def cancel(self, message):
        stream = self.session.streams.get(message.id)
        if stream is not None:
            self.front.cancel(self.session, stream, "Cancelled by its client.")

    def credit(self, message):
        if not message.events or message.events < 0:
            return self.error("bad_message", "`events` must be a number above 0", message.id)
        stream = self.front.book.credit(self.session, message.id, message.events, self.loop.now)
        if stream is not None and stream.req is not None and not stream.over:
            self.front.core.drained(stream.req)
        return None

    def seen(self, message):
        if message.seq is not None:
            self.front.book.seen(self.session, message.id, message.seq)
            stream = self.session.streams.get(message.id)
            if stream is not None and stream.req is not None and not stream.over:
                self.front.core.drained(stream.req)


class SessionListener:
    """The core's listener for one stream of a session."""

    def __init__(self, front, session, stream):
        self.front, self.session, self.stream = front, session, stream
        self.whole = self.usage = False

    @property
    def full(self):
        return not self.whole and self.front.book.full(self.session, self.stream)

    def look(self):
        pass  # a session outlives its connection

    def on_begin(self):
        pass

    def on_events(self, values, payloads):
        if self.whole:
            return
        if not self.usage:
            payloads = without_usage(values, payloads)
        if payloads:
            self.front.book.push(self.session, self.stream, b",".join(payloads), len(payloads), now_us=self.front.loop.now)

    def final(self, how, status, more):
        data = orjson.dumps({"how": how, "status": status, **more})[1:-1]
        self.front.book.push(self.session, self.stream, data, 1, True, self.front.loop.now)

    def on_done(self, answer):
        self.final("done", 200, {"completion": answer.assembler.completion()} if self.whole else {})

    def on_server_answer(self, status, body):
        try:
            self.on_wrong(status, orjson.loads(body))
        except orjson.JSONDecodeError:
            self.on_wrong(status, {"error": {"message": body[:1000].decode("utf-8", "replace")}})

    def on_wrong(self, status, value):
        self.final("wrong", status, {"error": value.get("error", value) if isinstance(value, dict) else value})

    def on_conflict(self):
        self.on_wrong(
            422,
            {
                "error": {
                    "message": "This Idempotency-Key was used with another body.",
                    "type": "invalid_request_error",
                    "param": "Idempotency-Key",
                    "code": "idempotency_key_reused",
                }
            },
        )

    def on_rejected(self, come_back_us):
        status, _, body = pushed_back(come_back_us)
        self.final("pushed_back", status, {"retry_after_ms": -(-come_back_us // MS), **orjson.loads(body)})

    def on_failed(self, why):
        status, _, body = aborted(why)
        self.final("aborted", status, orjson.loads(body))
