"""One request of a client and its answer."""

import orjson

from lapiswing.http1.wire import chunk, get, has_token, response_head


class Exchange:
    """One request and its answer. Answer with `respond`, or with `begin`, `send`... and `end`. `on_left()` is called once
    if the client leaves before the answer's end, `on_drained()` when `full` has become false again."""

    on_left = on_drained = None
    head_bytes = 0  # kept of the head

    def __init__(self, conn, method, target, fields, version):
        self.conn, self.method, self.target, self.fields, self.version = conn, method, target, fields, version
        self.path = target.split(b"?", 1)[0]
        self.body, self.begun, self.over, self.chunked = b"", False, False, False
        self.arrived_us = conn.server.loop.now  # earliest time at which its first byte can have arrived
        self.keep_alive = (
            not has_token(fields, b"connection", b"close")
            if version == b"1.1"
            else has_token(fields, b"connection", b"keep-alive")
        )

    def header(self, name, default=None):
        """-> the first value of a header."""
        return get(self.fields, name, default)

    @property
    def full(self):
        """Whether the client reads more slowly than the answer is written."""
        return self.conn.stream.full

    def poll_client(self):
        """Notices at once, without waiting for the loop's next turn, if the client has gone."""
        if not self.over:
            self.conn.stream.read_available()

    def respond(self, status, body=b"", content_type=b"application/json", more=()):
        """Writes a whole answer."""
        if self.begun or self.over:
            return
        self.begun = True
        fields = [(b"content-type", content_type), (b"content-length", b"%d" % len(body)), *more]
        if not self.keep_alive or self.conn.is_last_answer():
            self.keep_alive = False
            fields.append((b"connection", b"close"))
        self.write(response_head(status, fields) + (b"" if self.method == b"HEAD" else body))
        self.end()

    def json(self, status, value, more=()):
        """Like `respond`, with a value to be encoded."""
        self.respond(status, orjson.dumps(value), more=more)

    def begin(self, status, fields):
        """Starts an answer of unknown length: chunked, or for HTTP/1.0 ended by the connection's close."""
        self.begun = True
        self.chunked = self.version == b"1.1"
        self.keep_alive = self.keep_alive and not self.conn.is_last_answer()
        if self.chunked:
            fields = [*fields, (b"transfer-encoding", b"chunked")]
        else:
            self.keep_alive = False
        if not self.keep_alive:
            fields = [*fields, (b"connection", b"close")]
        self.write(response_head(status, fields))

    def send(self, data):
        """Writes a part of an answer that has begun."""
        if data and not self.over:
            self.write(chunk(data) if self.chunked else data)

    def end(self):
        """Completes the answer."""
        if self.over:
            return
        if self.chunked:
            self.write(b"0\r\n\r\n")
        self.over, self.on_left, self.on_drained = True, None, None
        self.conn.answered(self)

    def abort(self):
        """Ends the answer so that the client notices that it is incomplete. What has been written before is sent."""
        if not self.over:
            self.over, self.on_left, self.on_drained = True, None, None
            self.conn.end_incomplete(self)

    def write(self, data):
        self.conn.stream.write(data)

    def upgrade(self, owner):
        """Hands the stream over to `owner` for another protocol. -> the bytes received after the request. The new owner
        calls `server.gone()` when its stream has closed."""
        conn, self.over = self.conn, True
        conn.current = None
        conn.server.connections.discard(conn)
        conn.stream.owner = owner
        rest = bytes(conn.buffer)
        conn.buffer.clear()
        return rest
