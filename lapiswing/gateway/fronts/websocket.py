"""The front for WebSocket sessions: GET /v1/chat/sessions (RFC 6455, over wsproto). docs/websocket.md defines the messages.

The front handles connections and messages, while `sessions.Book` decides on limits, scheduling, credit and resumption. Calls
are mapped to requests of the core as in the HTTP front, and answered through the same listener interface."""

import time
from zlib import crc32

import msgspec
import orjson
from wsproto.connection import Connection as ProtocolConnection
from wsproto.connection import ConnectionState, ConnectionType
from wsproto.events import AcceptConnection, BytesMessage, CloseConnection, Ping, Request, TextMessage
from wsproto.handshake import H11Handshake
from wsproto.utilities import LocalProtocolError
from wsproto.utilities import RemoteProtocolError as ProtocolError

from lapiswing.chat import InvalidCall, error_body, without_usage
from lapiswing.chat.call import call_from_value
from lapiswing.chat.errors import failed, rejected
from lapiswing.gateway.fronts.mapping import UnknownApiKey
from lapiswing.http1.wire import has_token
from lapiswing.loop.byte_budget import ByteBudget
from lapiswing.sessions import Book, Limits, Tokens
from lapiswing.settings import settings_pb2 as pb

MS = 1000
PROTOCOL = "lapiswing.chat.v1"
MAX_TURN_BYTES = 262144  # sent to all sessions in one turn of the loop
CLOSING_LIMIT_US = 5000 * MS  # for the client's reply to the closing handshake, and its last bytes
MAX_EVENTS_PER_CALL = 64  # of one connection, as tiny frames cost far more than their bytes
RETRY_ADVICE = {
    pb.REPLAYABLE: "It is safe to call again.",
    pb.KEYED: "Call again with the same Idempotency-Key within its window, at the same gateway if it lives.",
    pb.NON_REPLAYABLE: "It may have run: don't call again.",
}


class Message(msgspec.Struct):
    """A message of a client. `type` determines which other fields are used."""

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
    """All WebSocket sessions and connections of a gateway. `process_name` is put into resumption tokens."""

    def __init__(self, core, mapper, settings, process_name, fair=True):
        limits = settings.sessions
        self.core, self.loop, self.mapper, self.settings = core, core.loop, mapper, limits
        self.book = Book(
            Limits(
                limits.per_tenant,
                limits.total,
                limits.reqs,
                limits.session_bytes,
                limits.total_bytes,
                limits.resume_ms * MS,
                limits.idle_ms * MS,
                limits.stall_ms * MS,
                settings.limits.max_come_back_ms * MS,
            ),
            fair,
        )
        self.tokens = Tokens(list(limits.token_key), process_name, max(60, limits.resume_ms // 1000 * 4 + limits.idle_ms // 1000))
        self.connections, self.draining = set(), False
        self.partial_messages = ByteBudget(settings.listen.unfinished_bytes)
        self.counts = {"opened": 0, "resumed": 0, "refused": 0, "dropped": 0, "ended": 0}
        self.advice = {group.name: RETRY_ADVICE[group.effect] for group in settings.group}
        self.loop.after.append(self.turn)
        self.timer = self.loop.call_later(1000 * MS, self.check_timeouts)

    # ---- opening

    def open(self, exchange):
        """Handles a request for an upgrade."""

        def refuse(status, text, code, fields=()):
            self.counts["refused"] += 1
            exchange.respond(status, error_body(text, "invalid_request_error", code), more=fields)

        if exchange.method != b"GET":
            return refuse(405, "Method not allowed", "method_not_allowed", [(b"allow", b"GET")])
        if not has_token(exchange.fields, b"upgrade", b"websocket"):
            return refuse(
                426, "This path speaks WebSocket.", "upgrade_required", [(b"upgrade", b"websocket"), (b"connection", b"Upgrade")]
            )
        try:
            tenant = self.mapper.tenant(exchange.header(b"authorization"))
        except UnknownApiKey:
            return refuse(401, "Incorrect API key provided.", "invalid_api_key")
        if self.draining and not self.unfinished():
            status, fields, body = rejected(self.book.limits.retry_after_us)
            return exchange.respond(status, body, more=fields)
        offered = [
            protocol.strip()
            for name, value in exchange.fields
            if name == b"sec-websocket-protocol"
            for protocol in value.decode("latin-1").split(",")
        ]
        if offered and PROTOCOL not in offered:
            return refuse(400, f"Only the subprotocol {PROTOCOL} is spoken here.", "unknown_subprotocol")
        handshake = H11Handshake(ConnectionType.SERVER)
        try:
            handshake.initiate_upgrade_connection(
                [(name, value) for name, value in exchange.fields if name not in (b"content-length",)],
                exchange.target.decode("latin-1"),
            )
            request = next(handshake.events())
            if not isinstance(request, Request):
                raise ProtocolError("no request")
            answer = handshake.send(AcceptConnection(subprotocol=PROTOCOL if offered else None))
        except (ProtocolError, LocalProtocolError, StopIteration) as error:
            return refuse(400, f"Not a WebSocket handshake: {error}", "bad_handshake", [(b"sec-websocket-version", b"13")])
        Connection(self, exchange, tenant, answer)

    # ---- sending and time limits

    def turn(self):
        """Sends what the sessions have ready, after each turn of the loop."""
        if self.book.ready_sessions:
            for session, stream, item in self.book.turn(MAX_TURN_BYTES, self.loop.now):
                session.owner.send_item(stream, item)
            if self.book.ready_sessions:
                self.loop.soon(lambda: None)

    def check_timeouts(self):
        """Ends expired sessions, starved streams and dead connections. Runs once a second."""
        self.timer = self.loop.call_later(1000 * MS, self.check_timeouts)
        now = self.loop.now
        for session, _reason in self.book.expired(now):
            if session.owner is not None:
                session.owner.close(1000, "idle")
            self.end(session)
        for session, stream in self.book.starved(now):
            self.cancel(session, stream, "No credit was granted in time.")
        for conn in list(self.connections):
            self.loop.guard(conn.stream, conn.check_overdue, now)

    def end(self, session):
        """Ends a session. Its open requests count as left by their client."""
        self.counts["ended"] += 1
        for stream in self.book.close(session):
            stream.over = True
            if stream.req is not None:
                self.core.listener_left(stream.req, stream.listener)

    def cancel(self, session, stream, why):
        """Ends a stream as failed, and its request as left by the client."""
        if stream.over:
            return
        req, listener = stream.req, stream.listener
        self.book.drop_unsent(session, stream)
        listener.on_failed(why)
        if req is not None:
            self.core.listener_left(req, listener)

    # ---- draining

    def drain(self, limit_us):
        """Closes all connections, spread over time so that the clients don't all reconnect elsewhere in one second. A session
        with open requests stays until these have ended, or until the limit."""
        self.draining = True
        spread_us = min(self.settings.spread_ms * MS, max(0, limit_us - 500 * MS))
        now = self.loop.clock.now_us()
        for conn in list(self.connections):
            delay_us = spread_us * crc32(b"%d/%d" % (conn.session.id if conn.session else 0, conn.number)) // (1 << 32)
            conn.send_message(b'{"type":"going_away","in_ms":%d}' % (delay_us // MS))
            self.loop.call_at(now + delay_us, self.close_drained, conn, now + limit_us - 300 * MS)

    def unfinished(self):
        """Whether any session has an answer for which its client might have to reconnect."""
        return any(
            not stream.over or stream.items for session in self.book.sessions.values() for stream in session.streams.values()
        )

    def close_drained(self, conn, latest_us):
        """Closes a connection once its session has nothing more to send, at `latest_us` in any case."""
        if conn.stream.closed:
            return
        unfinished = conn.session is not None and any(
            not stream.over or stream.unsent for stream in conn.session.streams.values()
        )
        if unfinished and self.loop.clock.now_us() < latest_us:
            return self.loop.call_later(50 * MS, self.close_drained, conn, latest_us)
        conn.close(1012, "going away", await_reply=True)

    def close(self):
        """Closes all connections at once."""
        self.timer.cancel()
        for conn in list(self.connections):
            conn.stream.abort()


class Connection:
    """A WebSocket connection: the owner of an upgraded stream."""

    count = 0

    def __init__(self, front, exchange, tenant, answer):
        Connection.count += 1
        self.front, self.tenant, self.number = front, tenant, Connection.count
        self.loop, self.session = front.loop, None
        self.server, self.stream = exchange.conn.server, exchange.conn.stream
        self.protocol = ProtocolConnection(ConnectionType.SERVER)
        self.message_parts, self.message_size, self.counted_bytes, self.closing = [], 0, 0, False
        self.last_received_us = self.last_ping_us = self.loop.now
        rest = exchange.upgrade(self)
        front.connections.add(self)
        self.stream.write(answer)
        self.loop.call_later(300 * MS, self.open_session)  # by then a client has sent its `resume`, if it resumes a session
        if rest:
            self.on_data(rest)

    # ---- calls of the stream

    def on_data(self, data):
        if self.closing and not self.awaits_close:
            return
        self.last_received_us = self.loop.now
        try:
            self.protocol.receive_data(data)
        except ProtocolError as error:
            return self.protocol_error(error)
        if not self.events_put_off:
            self.handle_events()

    def handle_events(self):
        """Handles some of the events in what was received, and puts the others off, as does a connection with many requests."""
        self.events_put_off = False
        if self.stream.closed or self.closing and not self.awaits_close:
            return
        try:
            for number, event in enumerate(self.protocol.events(), 1):
                if self.awaits_close:
                    if isinstance(event, CloseConnection):
                        return self.close_stream()
                else:
                    self.handle_event(event)
                    if self.closing and not self.awaits_close:
                        return
                if number == MAX_EVENTS_PER_CALL:
                    self.events_put_off = True
                    self.stream.pause()
                    return self.loop.put_off_call(self.stream, self.handle_events)
        except ProtocolError as error:
            return self.protocol_error(error)
        if not self.stream.reading and not self.stream.full:
            self.stream.resume()

    events_put_off = False  # whether `handle_events` will be called

    def protocol_error(self, error):
        """Closes the connection after an invalid frame."""
        hint = getattr(error, "event_hint", None)
        code = hint.code if isinstance(hint, CloseConnection) else 1002
        self.close(code, str(error)[:100])

    def handle_event(self, event):
        """Handles an event of the WebSocket protocol."""
        if isinstance(event, TextMessage):
            self.message_size += len(event.data)
            if self.message_size > self.front.settings.message_bytes:
                return self.close(1009, "message too long")
            self.message_parts.append(event.data)
            if event.message_finished:
                text = "".join(self.message_parts)
                self.forget_parts()
                self.handle_message(text)
            elif not self.count_parts():
                return self.close(1013, "too many incomplete messages")
        elif isinstance(event, BytesMessage):
            self.close(1003, "text messages only")
        elif isinstance(event, Ping):
            if not self.stream.full:  # a client that never reads gets no more pongs
                self.stream.write(self.protocol.send(event.response()))
        elif isinstance(event, CloseConnection):
            if self.protocol.state is ConnectionState.OPEN:  # not sent by the client: its frames violate the protocol
                return self.close(event.code, event.reason)
            if self.protocol.state is ConnectionState.REMOTE_CLOSING:
                self.stream.write(self.protocol.send(event.response()))
            # A normal closure ends the session; with any other code the client may resume it.
            self.close_stream(event.code == 1000)
        if self.stream.full:
            self.stream.pause()

    def count_parts(self):
        """Counts what is kept of an incomplete message. -> whether that fits in what all connections may keep."""
        if not self.front.partial_messages.take(self.message_size - self.counted_bytes):
            return False
        self.counted_bytes = self.message_size
        return True

    def forget_parts(self):
        """Forgets the parts of a message."""
        self.front.partial_messages.give_back(self.counted_bytes)
        self.message_parts, self.message_size, self.counted_bytes = [], 0, 0

    def close_stream(self, ended=True):
        """Closes the stream after the closing handshake. `ended`: whether the session ends with it."""
        if ended and self.session is not None:
            session, self.session = self.session, None
            session.owner = None
            self.front.end(session)
        self.start_closing(False)
        self.stream.close()

    def on_eof(self):
        self.stream.abort()

    def on_closed(self, why):
        self.forget_parts()
        self.front.connections.discard(self)
        self.server.gone()
        session, self.session = self.session, None
        if session is not None and session.owner is self:
            session.owner = None
            self.front.counts["dropped"] += 1
            self.front.book.connection_lost(session, self.loop.now)

    def on_drained(self):
        if not self.events_put_off:
            self.stream.resume()
        if self.session is not None:
            self.front.book.set_writable(self.session, True)
            self.resume_streams()

    def check_overdue(self, now):
        """Aborts a connection that is stalled or silent for too long, and sends a ping where one is due."""
        settings = self.front.settings
        if (
            self.stream.unsent_bytes
            and now - self.stream.last_sent_us > settings.stall_ms * MS
            or self.closing
            and now - self.closing_since_us > CLOSING_LIMIT_US
        ):
            return self.stream.abort()
        if now - self.last_received_us > 2 * settings.ping_ms * MS + 5_000_000:
            return self.stream.abort()  # the client may still resume its session
        if now - max(self.last_received_us, self.last_ping_us) > settings.ping_ms * MS and not self.closing:
            self.last_ping_us = now
            self.stream.write(self.protocol.send(Ping(b"")))

    # ---- sending

    def send_message(self, data):
        """Sends a text message."""
        if not self.closing and not self.stream.closed:
            self.stream.write(self.protocol.send(TextMessage(data.decode())))

    def close(self, code, why, await_reply=False):
        """Starts the closing handshake. With `await_reply` the stream stays open until the client has replied: then the client
        has read everything, and its session ends."""
        if self.closing:
            return
        self.start_closing(await_reply)
        try:
            self.stream.write(self.protocol.send(CloseConnection(code, why)))
        except LocalProtocolError:
            self.awaits_close = False  # the client has already closed
        if not self.awaits_close:
            self.stream.close()

    def start_closing(self, await_reply):
        """From now on only the client's reply to the closing handshake is waited for, if anything."""
        if not self.closing:
            self.closing_since_us = self.loop.now
        self.closing, self.awaits_close = True, await_reply

    awaits_close, closing_since_us = False, None

    def error(self, code, text, rid=None):
        """Sends an error message."""
        self.send_message(orjson.dumps({"type": "error", "id": rid, "code": code, "message": text}))

    def send_item(self, stream, item):
        """Sends an item of a stream."""
        rid = orjson.dumps(stream.id)
        if item.final:
            self.send_message(b'{"type":"final","id":%b,"seq":%d,%b}' % (rid, item.first_seq, item.data))
        else:
            self.send_message(b'{"type":"events","id":%b,"seq":%d,"chunks":[%b]}' % (rid, item.first_seq, item.data))
        if self.stream.full:
            self.front.book.set_writable(self.session, False)
        if stream.req is not None:
            self.front.core.listener_ready(stream.req)

    def resume_streams(self):
        """Lets the core read from the servers of the open streams again."""
        for stream in list(self.session.streams.values()):
            if stream.req is not None and not stream.over:
                self.front.core.listener_ready(stream.req)

    # ---- messages

    def handle_message(self, text):
        """Handles a whole text message of the client."""
        try:
            message = msgspec.json.decode(text, type=Message)
        except msgspec.DecodeError as error:
            return self.error("bad_message", str(error))
        if message.type == "resume":
            return self.resume(message)
        if message.type == "ping":
            return self.send_message(orjson.dumps({"type": "pong", "data": message.data}))
        if self.session is None and not self.open_session():
            return None
        handle = {"call": self.call, "cancel": self.cancel, "credit": self.credit, "seen": self.seen}.get(message.type)
        if handle is None:
            return self.error("unknown_type", f"{message.type!r} is none of call, cancel, credit, seen, resume, ping")
        if not isinstance(message.id, str) or not 0 < len(message.id) <= 128:
            return self.error("bad_message", "`id` must have 1 to 128 characters")
        self.session.last_received_us = self.loop.now
        return handle(message, len(text)) if message.type == "call" else handle(message)

    def open_session(self):
        """Opens a session unless there is one. Returns whether there is one then."""
        if self.session is not None or self.closing or self.stream.closed:
            return self.session is not None
        book = self.front.book
        session, retry_after_us = None, book.limits.retry_after_us
        if not self.front.draining:
            session, retry_after_us = book.open(self.loop.now, self.tenant)
        if session is None:
            self.error("draining" if self.front.draining else "too_many_sessions", f"Come back in {retry_after_us // MS} ms.")
            self.close(1013, f"come back in {retry_after_us // MS} ms")
            return False
        self.front.counts["opened"] += 1
        self.attach_session(session, {})
        return True

    def attach_session(self, session, next_seqs):
        """Ties a session to this connection and sends its parameters to the client."""
        self.session, session.owner = session, self
        settings = self.front.settings
        token = self.front.tokens.make(session.id, self.tenant, int(time.time()))
        self.send_message(
            orjson.dumps(
                {
                    "type": "session",
                    "token": token,
                    "resume_ms": settings.resume_ms,
                    "next": next_seqs,
                    "limits": {"reqs": settings.reqs, "message_bytes": settings.message_bytes, "idle_ms": settings.idle_ms},
                }
            )
        )

    def resume(self, message):
        """Resumes the session of a token, or opens a new one if it can't be resumed."""
        if self.session is not None:
            return self.error("too_late", "`resume` must be the first message")
        why, number = self.front.tokens.read(message.token or "", self.tenant, int(time.time()))
        session = self.front.book.sessions.get(number) if why == "good" else None
        if session is None:
            code = {"good": "session_over", "other gateway": "other_gateway"}.get(why, "bad_token")
            self.send_message(
                orjson.dumps({"type": "not_resumed", "code": code, "advice": self.front.advice if code != "bad_token" else {}})
            )
            return self.open_session()
        if session.owner is not None:  # the newer connection takes over: the older one may be dead
            old, old_session = session.owner, session.owner.session
            old.session = None
            old.close(4001, "resumed on another connection")
            self.front.book.connection_lost(old_session, self.loop.now)
        next_seqs, gaps = self.front.book.resume(session, message.seen, self.loop.now)
        self.front.counts["resumed"] += 1
        self.attach_session(session, next_seqs)
        for stream in gaps:
            if stream.req is not None:
                self.front.core.listener_left(stream.req, stream.listener)
        self.resume_streams()
        return None

    def call(self, message, size):
        """Opens a stream and hands its call, which came in a message of `size` characters, to the core."""
        book, session = self.front.book, self.session
        credit = message.credit if message.credit is None else max(0, message.credit)
        stream, why = book.open_stream(session, message.id, credit)
        if stream is None:
            if why == "duplicate":
                return self.error("duplicate_id", "This id is in use.", message.id)
            # The call was not accepted, so its id stays free.
            status, _, body = rejected(book.limits.retry_after_us)
            return self.send_message(
                orjson.dumps(
                    {
                        "type": "final",
                        "id": message.id,
                        "seq": 1,
                        "how": "pushed_back",
                        "status": status,
                        "retry_after_ms": book.limits.retry_after_us // MS,
                        **orjson.loads(body),
                    }
                )
            )
        stream.listener = listener = SessionListener(self.front, session, stream)
        headers = {name.lower().encode(): value.encode() for name, value in message.headers.items()}
        try:
            call = call_from_value(message.body if message.body is not None else {}, size)
            listener.whole = not call.stream
            listener.include_usage = call.include_usage
            spec = self.front.mapper.spec(call, self.tenant, headers.get, self.loop.clock.now_us())
        except InvalidCall as error:
            return listener.on_invalid(400, orjson.loads(error_body(str(error), "invalid_request_error", None, error.param)))
        stream.req = self.front.core.submit(spec, listener)
        return None

    def cancel(self, message):
        """Cancels a stream."""
        stream = self.session.streams.get(message.id)
        if stream is not None:
            self.front.cancel(self.session, stream, "Cancelled by its client.")

    def credit(self, message):
        """Grants credit to a stream."""
        if not message.events or message.events < 0:
            return self.error("bad_message", "`events` must be a number above 0", message.id)
        stream = self.front.book.grant_credit(self.session, message.id, message.events, self.loop.now)
        if stream is not None and stream.req is not None and not stream.over:
            self.front.core.listener_ready(stream.req)
        return None

    def seen(self, message):
        """Acknowledges items of a stream."""
        if message.seq is not None:
            self.front.book.acknowledge(self.session, message.id, message.seq)
            stream = self.session.streams.get(message.id)
            if stream is not None and stream.req is not None and not stream.over:
                self.front.core.listener_ready(stream.req)


class SessionListener:
    """The core's listener for one stream of a session. `whole`: the client wants the answer in one piece."""

    def __init__(self, front, session, stream):
        self.front, self.session, self.stream = front, session, stream
        self.whole = self.include_usage = False

    @property
    def full(self):
        return not self.whole and self.front.book.full(self.session, self.stream)

    def check_client(self):
        pass  # a session survives the loss of its connection

    def on_begin(self):
        pass

    def on_events(self, values, payloads):
        if self.whole:
            return
        if not self.include_usage:
            payloads = without_usage(values, payloads)
        if payloads:
            self.front.book.push(self.session, self.stream, b",".join(payloads), len(payloads), now_us=self.front.loop.now)

    def send_final(self, how, status, details):
        """Adds the final answer to the stream."""
        data = orjson.dumps({"how": how, "status": status, **details})[1:-1]
        self.front.book.push(self.session, self.stream, data, 1, True, self.front.loop.now)

    def on_done(self, answer):
        self.send_final("done", 200, {"completion": answer.assembler.completion()} if self.whole else {})

    def on_server_answer(self, status, body):
        try:
            self.on_invalid(status, orjson.loads(body))
        except orjson.JSONDecodeError:
            self.on_invalid(status, {"error": {"message": body[:1000].decode("utf-8", "replace")}})

    def on_invalid(self, status, value):
        """The call is at fault: `value` is or holds an error object."""
        self.send_final("wrong", status, {"error": value.get("error", value) if isinstance(value, dict) else value})

    def on_conflict(self):
        self.on_invalid(
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

    def on_rejected(self, retry_after_us):
        status, _, body = rejected(retry_after_us)
        self.send_final("pushed_back", status, {"retry_after_ms": -(-retry_after_us // MS), **orjson.loads(body)})

    def on_failed(self, why):
        status, _, body = failed(why)
        self.send_final("aborted", status, orjson.loads(body))
