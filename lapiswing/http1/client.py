"""The client side: a bounded pool of kept connections for each address."""

from collections import deque

import httptools

from lapiswing.http1.wire import STATUS_LINE, Bad, check_framing, request_head, split_head, tokens
from lapiswing.loop import NO_DESCRIPTOR, connect

HEAD_BYTES = 65536
COMMON_US = 60_000  # of failing at once: three tries


class ClientExchange:
    """One request to a server. The handler is told, in this order and nothing after `on_end` or `on_fail`:
        on_head(status, fields)   on_body(bytes)...   on_end()
        on_fail(stage, why)       instead of whatever is still missing
    Stages: 'local' (no descriptor left here), 'no route' (this machine could open no connection, to this address at least:
    ports, memory, routes), 'connect' (no connection), 'unsent' (the connection went before the last byte of the request
    was given to the kernel), 'sent' (after it, no byte of an answer), 'head' (within the answer's head), 'body'.
    After `cancel()` the handler hears nothing more."""

    def __init__(self, pool, address, head, body, handler):
        """`head()` makes the head, as it is written."""
        self.pool, self.address, self.handler = pool, address, handler
        self.head, self.body, self.size = head, body, 0
        self.connect_us = self.wait_us = pool.connect_us
        self.conn = self.connecting = None
        self.over = self.got_head = False

    def cancel(self):
        if self.over:
            return
        self.over = True
        if self.connecting is not None:
            self.connecting.cancel()
            self.pool.stuck.ended(self.connecting)
            self.pool.dropped(self.address)
        elif self.conn is not None:
            self.conn.stream.abort()
        else:
            self.pool.forget(self)

    def pause(self):
        if self.conn is not None and not self.over:
            self.conn.stream.pause()

    def resume(self):
        if self.conn is not None and not self.over:
            self.conn.stream.resume()

    @property
    def unsent(self):
        """Whether the kernel has not got all of the request yet: given up now, it is proved never to have run."""
        return not self.over and (self.conn is None or self.conn.stream.sent - self.conn.sent_before < self.size)

    @property
    def in_chunk(self):
        """Whether a chunk has begun and not ended: its rest should be on the way."""
        return self.conn is not None and self.conn.in_chunk

    def fail(self, stage, why):
        if not self.over:
            self.over = True
            self.handler.on_fail(stage, why)


class ClientConnection:
    def __init__(self, pool, address, stream):
        self.pool, self.address, self.stream = pool, address, stream
        self.exchange, self.idle_us = None, 0
        stream.owner = self

    def start(self, exchange):
        self.exchange, exchange.conn = exchange, self
        self.raw, self.parser, self.left, self.done, self.keep = bytearray(), None, None, False, True
        self.in_chunk = False
        self.sent_before = self.stream.sent
        head, body = exchange.head(), exchange.body
        exchange.size = len(head) + len(body)
        exchange.head = exchange.body = None
        self.stream.write(head)
        self.stream.write(body)

    def on_data(self, data):
        exchange = self.exchange
        if exchange is None:
            return self.stream.abort()  # bytes that nobody asked for
        try:
            if not exchange.got_head:
                self.raw += data
                data = self.head()
                if data is None:
                    return
            if data and not exchange.over:
                self.body(data)
        except (Bad, httptools.HttpParserError) as problem:
            if self.done and not exchange.over:  # the answer is whole; what stands behind it is nobody's
                self.keep = False
                return self.finish()
            exchange.fail("body" if exchange.got_head else "head", f"garbage: {problem}")
            return self.stream.abort()
        if self.done and not exchange.over:
            self.finish()

    def head(self):
        while True:
            end = self.raw.find(b"\r\n\r\n")
            if end > HEAD_BYTES or end < 0 and len(self.raw) > HEAD_BYTES:
                raise Bad("the head is too long")
            if end < 0:
                # Not the start of an answer: no need to wait for 64 KB of it.
                if not (b"HTTP/1."[: len(self.raw)] == self.raw[:7]):
                    raise Bad("not an HTTP answer")
                return None
            line, fields = split_head(bytes(self.raw[:end]), STATUS_LINE)
            rest = bytes(self.raw[end + 4 :])
            status = int(line[9:12])
            if 100 <= status < 200 and status != 101:
                self.raw = bytearray(rest)
                continue
            break
        self.raw = bytearray()
        length = check_framing(fields, False)
        if line[5:8] != b"1.1" or b"close" in tokens(fields, b"connection"):
            self.keep = False
        if status in (204, 304):
            length = 0
        if length == "chunked":
            self.parser = httptools.HttpResponseParser(self)
            self.parser.feed_data(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n")
        elif length is None:
            self.keep = False
        self.left = length if isinstance(length, int) else None
        self.exchange.got_head = True
        self.done = self.left == 0
        if self.done and rest:
            self.keep, rest = False, b""
        self.exchange.handler.on_head(status, fields)
        return rest

    def body(self, data):
        exchange = self.exchange
        if self.parser is not None:
            self.parts = []
            try:
                self.parser.feed_data(data)
            except httptools.HttpParserError:
                if not self.done:
                    raise
                self.keep = False
            # Not from within the parser: the handler may cancel, and a parser must not be left in mid-call.
            parts = self.parts
            if parts:
                exchange.handler.on_body(parts[0] if len(parts) == 1 else b"".join(parts))
        elif self.left is not None:
            if len(data) > self.left:
                data, self.keep = data[: self.left], False
            self.left -= len(data)
            self.done = self.left == 0
            exchange.handler.on_body(data)
        else:
            exchange.handler.on_body(data)

    def on_body(self, data):
        if not self.done:
            self.parts.append(data)

    def on_chunk_header(self):
        self.in_chunk = True

    def on_chunk_complete(self):
        self.in_chunk = False

    def on_message_begin(self):
        # Guards against a second answer right behind the first: its bytes are not the first one's.
        if self.done:
            self.keep = False

    def on_message_complete(self):
        self.done = True

    def finish(self):
        exchange, self.exchange, self.parser = self.exchange, None, None
        exchange.over = True
        self.pool.free(self)
        exchange.handler.on_end()

    def on_eof(self):
        exchange = self.exchange
        if exchange is not None and exchange.got_head and self.left is None and self.parser is None:
            self.keep = False
            self.stream.close()
            return self.finish()
        self.lost = "closed by the server"
        self.stream.abort()

    lost = None

    def on_closed(self, why):
        self.pool.gone(self)
        exchange, self.exchange, self.parser = self.exchange, None, None
        if exchange is None or exchange.over:
            return
        if exchange.got_head:
            stage = "body"
        elif self.raw:
            stage = "head"
        elif self.stream.sent - self.sent_before < exchange.size:
            stage = "unsent"
        else:
            stage = "sent"
        exchange.fail(stage, why or self.lost or "ended by a fault here")

    def on_drained(self):
        pass


class Stuck:
    """Attempts to connect that fail at once for reasons of this machine. `on_change(bool)` is told whether that is common:
    none has come up for a while."""

    def __init__(self):
        self.attempts, self.failed = set(), set()  # failed: addresses, since a connection came up last
        self.opened_us, self.told, self.on_change = 0, False, None

    def common(self, attempt):
        """One fails again. -> whether others do too, elsewhere, and none has come up since it began."""
        now_us = attempt.loop.clock.now_us()
        self.attempts.add(attempt)
        self.failed.add(attempt.address)
        if self.opened_us > attempt.begun_us:
            return False
        if now_us - attempt.begun_us >= COMMON_US:
            self.tell(True)
        return len(self.failed) > 1

    def ended(self, attempt):
        self.attempts.discard(attempt)
        if not self.attempts:
            self.tell(False)

    def opened(self, now_us):
        self.opened_us = now_us
        self.failed.clear()
        self.tell(False)

    def tell(self, common):
        if common != self.told:
            self.told = common
            if self.on_change is not None:
                self.on_change(common)


class Pool:
    """Connections to servers: at most `most` for an address, of which `kept` may wait idle for `idle_us`. What
    comes while all are taken waits in line; its handler's own time-out bounds that."""

    def __init__(
        self,
        loop,
        max_per_address=1024,
        max_idle_per_address=64,
        idle_us=10_000_000,
        connect_us=250_000,
        settle_us=0,
        max_total=None,
    ):
        """`settle_us`: how long a connection rests after an answer, so that bytes that come behind it are seen before
        they could be taken for the next one's. `max_total`: of all addresses together; idle ones make room."""
        self.loop, self.max_per_address, self.max_idle_per_address, self.idle_us, self.connect_us = (
            loop,
            max_per_address,
            max_idle_per_address,
            idle_us,
            connect_us,
        )
        self.settle_us, self.max_total = settle_us, max_total
        self.idle, self.count, self.line, self.all = {}, {}, {}, set()
        self.opened = self.reused = 0
        self.stuck = Stuck()
        self.sweep_timer = loop.call_later(1_000_000, self.sweep)

    def request(self, address, method, target, fields, body, handler, fresh=False, up_us=None, late_fields=None):
        """`address` is (host, port), or a Unix socket's path. With `fresh` no kept connection is used: the answer to a request on a kept one
        that the server closes in the same instant is lost, though it may have run. `up_us`: less time for a new connection
        than usual; while this machine can make none, it is waited for as long. `late_fields()`: further fields, asked for
        as the head is written, which a new connection may delay."""
        host = b"localhost" if isinstance(address, str) else b"%b:%d" % (address[0].encode(), address[1])
        fields = [(b"host", host), *fields]
        if body or method == b"POST":
            fields.append((b"content-length", b"%d" % len(body)))

        def head():
            return request_head(method, target, [*fields, *(late_fields() if late_fields is not None else ())])

        exchange = ClientExchange(self, address, head, body, handler)
        if up_us is not None:
            exchange.connect_us, exchange.wait_us = min(self.connect_us, up_us), up_us
        conn = None if fresh else self.rested(address)
        if conn is not None:
            self.reused += 1
            conn.start(exchange)
            return exchange
        if self.count.get(address, 0) >= self.max_per_address:
            self.line.setdefault(address, deque()).append(exchange)
        else:
            self.open(exchange)
        return exchange

    def rested(self, address):
        """A kept connection that nothing has come in on, the latest used first."""
        idle = self.idle.get(address, ())
        for at in range(len(idle) - 1, -1, -1):
            conn = idle[at]
            if self.loop.now - conn.idle_us < self.settle_us:
                continue
            del idle[at]
            if conn.stream.closed:
                continue
            if self.settle_us and conn.stream.pending():
                conn.stream.abort()
                continue
            return conn
        return None

    def make_room(self):
        """Closes the connection that has been idle for longest. -> whether one was."""
        oldest = min((c for idle in self.idle.values() for c in idle), key=lambda c: c.idle_us, default=None)
        if oldest is not None:
            oldest.stream.close()
        return oldest is not None

    def open(self, exchange):
        address = exchange.address
        if self.max_total is not None and sum(self.count.values()) >= self.max_total and not self.make_room():
            # Guards what else needs descriptors here. Told at once, as what waits in line may hold a server's state.
            return self.loop.soon(exchange.fail, "local", NO_DESCRIPTOR)
        self.count[address] = self.count.get(address, 0) + 1

        def done(stream, why):
            exchange.connecting = None
            self.stuck.ended(attempt)
            if stream is None:
                self.dropped(address)
                exchange.fail("local" if why is NO_DESCRIPTOR else "no route" if attempt.own else "connect", why)
                return
            self.opened += 1
            self.stuck.opened(self.loop.now)
            conn = ClientConnection(self, address, stream)
            self.all.add(conn)
            conn.start(exchange)

        attempt = exchange.connecting = connect(
            self.loop, address, exchange.connect_us, done, wait_us=exchange.wait_us, common=self.stuck.common
        )

    def dropped(self, address):
        self.count[address] -= 1
        self.next(address)
        if not self.count[address]:
            del self.count[address]

    def next(self, address):
        line = self.line.get(address)
        while line and self.count.get(address, 0) < self.max_per_address:
            self.open(line.popleft())
        if not line:
            self.line.pop(address, None)

    def forget(self, exchange):
        line = self.line.get(exchange.address)
        if line and exchange in line:
            line.remove(exchange)

    def free(self, conn):
        if conn.stream.closed:
            return
        if not conn.keep or conn.stream.unsent_bytes:
            return conn.stream.close()
        conn.stream.resume()
        line = self.line.get(conn.address)
        if line:
            return conn.start(line.popleft())
        idle = self.idle.setdefault(conn.address, [])
        if len(idle) >= self.max_idle_per_address:
            return conn.stream.close()
        conn.idle_us = self.loop.now
        idle.append(conn)

    def gone(self, conn):
        self.all.discard(conn)
        idle = self.idle.get(conn.address)
        if idle and conn in idle:
            idle.remove(conn)
        self.dropped(conn.address)

    def sweep(self):
        self.sweep_timer = self.loop.call_later(1_000_000, self.sweep)
        for address in list(self.idle):
            for conn in [c for c in self.idle[address] if self.loop.now - c.idle_us > self.idle_us]:
                conn.stream.close()
            if not self.idle[address]:
                del self.idle[address]

    def close_idle(self, address):
        for conn in list(self.idle.get(address, ())):
            conn.stream.close()

    def close(self):
        self.sweep_timer.cancel()
        for conn in list(self.all):
            conn.stream.abort()
