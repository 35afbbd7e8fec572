"""The client side: a bounded pool of keep-alive connections for each address."""

from collections import deque
from math import inf

from lapiswing.http1.chunked import ChunkedDecoder
from lapiswing.http1.wire import STATUS_LINE, ProtocolError, check_framing, has_token, request_head, split_head
from lapiswing.loop import NO_DESCRIPTOR, connect

HEAD_BYTES = 16384  # limit of an answer's head
READ_BYTES = 16384  # of one read of an answer: what a slow client leaves unread here is read before its server is paused
MAX_INTERIM_ANSWERS = 32  # 1xx answers before the answer to a request
SETTLE_US = 20_000  # rest of a connection after an answer: servers' faulty second answers come some milliseconds late
WIDESPREAD_AFTER_US = 60_000  # long enough for three attempts to connect


class ClientExchange:
    """One request to a server. The handler is called in this order, and not again after `on_end` or `on_fail`:
        on_head(status, fields)   on_body(bytes)...   on_end()
        on_fail(stage, why)       in place of the calls that are still missing
    Stages: 'local' (this process has no descriptor left), 'no route' (this machine could not open a connection, at least to
    this address: ports, memory, routes), 'connect' (no connection), 'unsent' (the connection closed before the last byte of
    the request was given to the kernel), 'sent' (after that, before any byte of an answer), 'head' (within the answer's head),
    'body' (within its body). After `cancel()` the handler is not called any more."""

    def __init__(self, pool, address, make_head, body, handler):
        """`make_head()` returns the head's bytes; called when the request is written."""
        self.pool, self.address, self.handler = pool, address, handler
        self.make_head, self.body, self.size = make_head, body, 0
        self.connect_us = self.local_retry_us = pool.connect_us
        self.conn = self.connecting = None
        self.over = self.got_head = False

    def cancel(self):
        if self.over:
            return
        self.over = True
        if self.connecting is not None:
            self.connecting.cancel()
            self.pool.local_failures.attempt_ended(self.connecting)
            self.pool.release_slot(self.address)
        elif self.conn is not None:
            self.conn.stream.abort()
        else:
            self.pool.remove_queued(self)

    def pause(self):
        if self.conn is not None and not self.over:
            self.conn.stream.pause()

    def resume(self):
        if self.conn is not None and not self.over:
            self.conn.stream.resume()

    def poll(self):
        """Takes what has arrived by now, as much as in one turn of the loop, without waiting for the next turn."""
        if self.conn is not None and not self.over:
            self.conn.stream.read()

    @property
    def connected(self):
        """Whether there is a connection for it."""
        return self.conn is not None

    @property
    def unsent(self):
        """Whether the kernel has not got the whole request yet. If the exchange ends now the server can't have run it."""
        return not self.over and (self.conn is None or self.conn.stream.sent - self.conn.sent_before < self.size)

    def fail(self, stage, why):
        """Ends the exchange with an error."""
        if not self.over:
            self.over = True
            self.handler.on_fail(stage, why)


class ClientConnection:
    """Owner of one stream to a server. Serves one exchange at a time."""

    def __init__(self, pool, address, stream):
        self.pool, self.address, self.stream = pool, address, stream
        self.exchange, self.idle_us, self.sent_before = None, 0, 0
        stream.owner, stream.most = self, READ_BYTES

    def start(self, exchange):
        """Writes the exchange's request."""
        self.exchange, exchange.conn = exchange, self
        self.buffer, self.decoder, self.body_left, self.complete, self.reusable = bytearray(), None, None, False, True
        self.interim_answers = 0
        self.searched_bytes = 0  # of the buffer, in which the end of the head does not begin
        self.sent_before = self.stream.sent
        self.used = self.stream.sent > 0
        if self.used:
            self.stream.check_before_send = self.has_no_input
        head, body = exchange.make_head(), exchange.body
        exchange.size = len(head) + len(body)
        if not self.used:
            exchange.make_head = exchange.body = None
        self.stream.write(head)
        self.stream.write(body)

    def has_no_input(self):
        """Closes the connection if anything has arrived before the request is sent, as that belongs to an earlier one.
        -> whether nothing has arrived."""
        if self.stream.pending():
            self.stream.abort()
            return False
        self.exchange.make_head = self.exchange.body = None
        return True

    def on_data(self, data):
        exchange = self.exchange
        if exchange is None or self.stream.sent == self.sent_before:
            return self.stream.abort()  # bytes before a request
        try:
            if not exchange.got_head:
                self.buffer += data
                data = self.parse_head()
                if data is None:
                    return
            if data and not exchange.over:
                self.take_body(data)
        except ProtocolError as problem:
            exchange.fail("body" if exchange.got_head else "head", f"invalid answer: {problem}")
            return self.stream.abort()
        if self.complete and not exchange.over:
            self.finish()

    def parse_head(self):
        """-> the bytes after the head, None while the head is incomplete. Raises ProtocolError."""
        while True:
            end = self.buffer.find(b"\r\n\r\n", self.searched_bytes)
            if end > HEAD_BYTES or end < 0 and len(self.buffer) > HEAD_BYTES:
                raise ProtocolError("the head is too long")
            if end < 0:
                # Fails early on what can't become a status line, instead of collecting as much as a head may have.
                if not (b"HTTP/1."[: len(self.buffer)] == self.buffer[:7]):
                    raise ProtocolError("not an HTTP answer")
                self.searched_bytes = max(0, len(self.buffer) - len(b"\r\n\r"))
                return None
            line, fields = split_head(bytes(self.buffer[:end]), STATUS_LINE)
            del self.buffer[: end + 4]
            self.searched_bytes = 0
            status = int(line[9:12])
            if not 100 <= status < 200 or status == 101:
                break
            self.interim_answers += 1
            if self.interim_answers > MAX_INTERIM_ANSWERS:
                raise ProtocolError("too many interim answers")
        rest, self.buffer = bytes(self.buffer), bytearray()
        length = check_framing(fields, False)
        if line[5:8] != b"1.1" or has_token(fields, b"connection", b"close"):
            self.reusable = False
        if status in (204, 304):
            length = 0
        if length == "chunked":
            self.decoder = ChunkedDecoder(self.pool.max_body_bytes, inf)
        elif length is None:
            self.reusable = False
        elif length > self.pool.max_body_bytes:
            raise ProtocolError("the body is too long")
        self.body_left = length if isinstance(length, int) else None
        self.exchange.got_head = True
        self.complete = self.body_left == 0
        if self.complete and rest:
            self.reusable, rest = False, b""
        self.exchange.handler.on_head(status, fields)
        return rest

    def take_body(self, data):
        """Passes the body's bytes in `data` to the handler."""
        exchange = self.exchange
        if self.decoder is not None:
            self.take_chunks(data)
        elif self.body_left is not None:
            if len(data) > self.body_left:
                data, self.reusable = data[: self.body_left], False
            self.body_left -= len(data)
            self.complete = self.body_left == 0
            exchange.handler.on_body(data)
        else:
            exchange.handler.on_body(data)

    def take_chunks(self, data):
        """Decodes chunks. Raises ProtocolError and passes on nothing of `data` if there is a fault in its framing: an answer
        whose first bytes are faulty has not begun."""
        decoder = self.decoder
        self.buffer += data
        while not decoder.decode(self.buffer) and decoder.out_of_steps:
            pass
        self.complete = decoder.complete
        body = decoder.take_body()
        if body:
            self.exchange.handler.on_body(body)
        if self.complete and self.buffer:  # a second answer right behind the first, which belongs to no request
            self.reusable = False
            self.buffer.clear()

    def finish(self):
        """The answer is complete."""
        exchange, self.exchange, self.decoder = self.exchange, None, None
        exchange.over = True
        self.pool.reuse(self)
        exchange.handler.on_end()

    def on_eof(self):
        exchange = self.exchange
        if exchange is not None and exchange.got_head and self.body_left is None and self.decoder is None:
            self.reusable = False
            self.stream.close()
            return self.finish()
        self.close_reason = "closed by the server"
        self.stream.abort()

    close_reason = None
    used = False  # whether an earlier exchange was served

    def on_closed(self, why):
        self.pool.connection_closed(self)
        exchange, self.exchange, self.decoder = self.exchange, None, None
        if exchange is None or exchange.over:
            return
        if self.used and self.stream.sent == self.sent_before:
            # A kept connection that ended, or brought bytes, before anything was sent on it: the request gets a new one.
            return self.pool.open_connection(exchange)
        if exchange.got_head:
            stage = "body"
        elif self.buffer:
            stage = "head"
        elif self.stream.sent - self.sent_before < exchange.size:
            stage = "unsent"
        else:
            stage = "sent"
        exchange.fail(stage, why or self.close_reason or "ended by an internal error")

    def on_drained(self):
        pass


class LocalFailures:
    """Tracks attempts to connect that fail at once for reasons of this machine. `on_change(bool)` is called when that becomes
    or stops being widespread: attempts keep failing and no connection has been established for a while."""

    def __init__(self):
        self.attempts, self.failed_addresses = set(), set()  # addresses that failed since the last established connection
        self.connected_us, self.widespread, self.on_change = 0, False, None

    def record_failure(self, attempt):
        """An attempt has failed again. -> whether other addresses fail too and nothing has connected since it started."""
        now_us = attempt.loop.clock.now_us()
        self.attempts.add(attempt)
        self.failed_addresses.add(attempt.address)
        if self.connected_us > attempt.started_us:
            return False
        if now_us - attempt.started_us >= WIDESPREAD_AFTER_US:
            self.set_widespread(True)
        return len(self.failed_addresses) > 1

    def attempt_ended(self, attempt):
        """The attempt has connected, failed for good or been cancelled."""
        self.attempts.discard(attempt)
        if not self.attempts:
            self.set_widespread(False)

    def connected(self, now_us):
        """A connection has been established."""
        self.connected_us = now_us
        self.failed_addresses.clear()
        self.set_widespread(False)

    def set_widespread(self, widespread):
        """Calls `on_change` if the state differs."""
        if widespread != self.widespread:
            self.widespread = widespread
            if self.on_change is not None:
                self.on_change(widespread)


class Pool:
    """Keep-alive connections to servers: at most `max_per_address` for an address, of which `max_idle_per_address` may be idle,
    for `idle_us` at most. While all are in use further requests are queued; the handler's own time-out limits their wait."""

    def __init__(
        self,
        loop,
        max_per_address=1024,
        max_idle_per_address=64,
        idle_us=10_000_000,
        connect_us=250_000,
        settle_us=0,
        max_total=None,
        max_body_bytes=inf,
    ):
        """`settle_us`: how long a connection rests after an answer before it is reused, so that stray bytes behind the answer
        are noticed and not taken for the next one's. `max_total`: limit over all addresses; idle connections are closed to
        stay within it. `max_body_bytes`: of an answer; one that announces more has failed."""
        self.loop, self.max_per_address, self.max_idle_per_address, self.idle_us, self.connect_us = (
            loop,
            max_per_address,
            max_idle_per_address,
            idle_us,
            connect_us,
        )
        self.settle_us, self.max_total, self.max_body_bytes = settle_us, max_total, max_body_bytes
        self.idle, self.open_count, self.queues, self.all = {}, {}, {}, set()
        self.opened = self.reused = 0
        self.local_failures = LocalFailures()
        self.sweep_timer = loop.call_later(1_000_000, self.sweep)

    def request(self, address, method, target, fields, body, handler, fresh=False, connect_budget_us=None, make_late_fields=None):
        """`address` is (host, port) or the path of a Unix socket. `fresh`: use a new connection, because a request on a reused
        one that the server closes at the same moment is lost, though it may have run. `connect_budget_us`: time for a new
        connection if less than usual; local failures are also retried for this long. `make_late_fields()`: further header
        fields, evaluated when the head is written, which connecting may delay."""
        host = b"localhost" if isinstance(address, str) else b"%b:%d" % (address[0].encode(), address[1])
        fields = [(b"host", host), *fields]
        if body or method == b"POST":
            fields.append((b"content-length", b"%d" % len(body)))

        def make_head():
            return request_head(method, target, [*fields, *(make_late_fields() if make_late_fields is not None else ())])

        exchange = ClientExchange(self, address, make_head, body, handler)
        if connect_budget_us is not None:
            exchange.connect_us, exchange.local_retry_us = min(self.connect_us, connect_budget_us), connect_budget_us
        conn = None if fresh else self.take_idle(address)
        if conn is not None:
            self.reused += 1
            conn.start(exchange)
            return exchange
        if self.open_count.get(address, 0) >= self.max_per_address:
            self.queues.setdefault(address, deque()).append(exchange)
        else:
            self.open_connection(exchange)
        return exchange

    def take_idle(self, address):
        """-> the idle connection that was used last and has received nothing since, or None."""
        idle, now_us = self.idle.get(address, ()), self.loop.clock.now_us()
        for index in range(len(idle) - 1, -1, -1):
            conn = idle[index]
            if now_us - conn.idle_us < self.settle_us:
                continue
            del idle[index]
            if conn.stream.closed:
                continue
            if conn.stream.pending():
                conn.stream.abort()
                continue
            return conn
        return None

    def close_oldest_idle(self):
        """Closes the connection that has been idle the longest. -> whether there was one."""
        oldest = min((conn for idle in self.idle.values() for conn in idle), key=lambda conn: conn.idle_us, default=None)
        if oldest is not None:
            oldest.stream.close()
        return oldest is not None

    def open_connection(self, exchange):
        """Connects for an exchange."""
        address = exchange.address
        exchange.conn = None
        if self.max_total is not None and sum(self.open_count.values()) >= self.max_total and not self.close_oldest_idle():
            # Leaves descriptors for other uses. Fails at once, as a queued request may hold a server's state.
            return self.loop.soon(exchange.fail, "local", NO_DESCRIPTOR)
        self.open_count[address] = self.open_count.get(address, 0) + 1

        def done(stream, why):
            exchange.connecting = None
            self.local_failures.attempt_ended(attempt)
            if stream is None:
                self.release_slot(address)
                exchange.fail("local" if why is NO_DESCRIPTOR else "no route" if attempt.failed_locally else "connect", why)
                return
            self.opened += 1
            self.local_failures.connected(self.loop.clock.now_us())
            conn = ClientConnection(self, address, stream)
            self.all.add(conn)
            conn.start(exchange)

        attempt = exchange.connecting = connect(
            self.loop,
            address,
            exchange.connect_us,
            done,
            local_retry_us=exchange.local_retry_us,
            is_widespread=self.local_failures.record_failure,
        )

    def release_slot(self, address):
        """One connection or attempt less: its place is free for a queued request."""
        self.open_count[address] -= 1
        self.start_queued(address)
        if not self.open_count[address]:
            del self.open_count[address]

    def start_queued(self, address):
        """Opens connections for queued requests while the address has room."""
        queue = self.queues.get(address)
        while queue and self.open_count.get(address, 0) < self.max_per_address:
            self.open_connection(queue.popleft())
        if not queue:
            self.queues.pop(address, None)

    def remove_queued(self, exchange):
        """Removes a cancelled exchange from its queue."""
        queue = self.queues.get(exchange.address)
        if queue and exchange in queue:
            queue.remove(exchange)

    def reuse(self, conn):
        """After an answer: starts a queued request on the connection, keeps it idle or closes it."""
        if conn.stream.closed:
            return
        if not conn.reusable or conn.stream.unsent_bytes:
            return conn.stream.close()
        conn.stream.resume()
        queue = self.queues.get(conn.address)
        if queue and self.settle_us:
            return conn.stream.close()  # it would have to rest first: its place is for a new connection
        if queue:
            return conn.start(queue.popleft())
        idle = self.idle.setdefault(conn.address, [])
        if len(idle) >= self.max_idle_per_address:
            return conn.stream.close()
        # By the clock, as the turn of the loop may have begun long before the answer ended.
        conn.idle_us = self.loop.clock.now_us()
        idle.append(conn)

    def connection_closed(self, conn):
        """A connection's stream has closed."""
        self.all.discard(conn)
        idle = self.idle.get(conn.address)
        if idle and conn in idle:
            idle.remove(conn)
        self.release_slot(conn.address)

    def sweep(self):
        """Once a second: closes connections that have been idle for too long."""
        self.sweep_timer = self.loop.call_later(1_000_000, self.sweep)
        now_us = self.loop.clock.now_us()
        for address in list(self.idle):
            for conn in [c for c in self.idle[address] if now_us - c.idle_us > self.idle_us]:
                conn.stream.close()
            if not self.idle[address]:
                del self.idle[address]

    def close_idle(self, address):
        """Closes the idle connections to an address."""
        for conn in list(self.idle.get(address, ())):
            conn.stream.close()

    def close(self):
        """Aborts all connections."""
        self.sweep_timer.cancel()
        for conn in list(self.all):
            conn.stream.abort()
