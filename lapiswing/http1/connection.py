"""One client's connection to a server: its requests, in order, and their answers."""

from enum import Enum

from lapiswing.http1.chunked import ChunkedDecoder
from lapiswing.http1.exchange import Exchange
from lapiswing.http1.input_account import Arrivals
from lapiswing.http1.refused_requests import RefusedRequests
from lapiswing.http1.wire import MAX_EMPTY_LINES, REQUEST_LINE, ProtocolError, check_framing, get, split_head

FIELD_OVERHEAD_BYTES = 144  # kept for a header field, on top of its bytes
MIN_PIPELINED_BYTES = 4096  # each connection may buffer this much behind an open request, whatever the others do
MAX_DISCARDED_BYTES = 4 << 20  # read behind an open request and not kept; a client that sends more is disconnected


class CloseReason(Enum):
    """Why this side closed a connection without being asked to. The values are part of the names of figures in the log."""

    NO_REQUEST = "no_request"  # none was complete in time
    IDLE = "idle"
    NOT_READ = "not_read"  # the client reads nothing of its answer
    HEAD_LATE = "head_late"
    BODY_LATE = "body_late"
    NO_ROOM = "no_room"  # its place was needed
    TOO_MUCH = "too_much"  # more was sent behind an open request than is read
    DRAINED = "drained"  # the server stops


class Connection:
    """Owner of one client's stream. Requests are answered in order. While one is being answered, later input is buffered
    unparsed up to a limit; the requests beyond it are discarded and refused, each in its turn."""

    def __init__(self, server, stream, peer):
        self.server, self.stream, self.peer = server, stream, peer
        self.buffer, self.arrivals, self.current = bytearray(), Arrivals(), None
        self.incoming = None  # the request whose body is being received
        self.body, self.body_left = bytearray(), 0  # of a body with a length: what has come, and the bytes still to come
        self.decoder = None  # of a chunked body
        self.empty_lines = 0  # read before the next request
        self.searched_bytes = 0  # of the buffer, in which the end of the next head does not begin
        self.parsing_later = False  # whether `parse_later` will be called
        self.phase_since_us = self.opened_us = server.loop.now
        self.served = False  # whether a whole request has been received
        self.refused_early = False  # whether a request was refused before it was complete
        self.closing_at_once = False  # whether its descriptor is needed immediately
        self.discarded_bytes = 0  # read behind the current request and not kept
        self.refused_requests = None  # what is known of the requests in them
        self.phase = "idle"  # idle, head, body, answer: determines which time-out applies
        self.unfinished_bytes = self.pipelined_bytes = 0  # what the server's account holds of this connection
        stream.owner = self

    def on_data(self, data):
        if not self.stream.closing:
            self.receive(data)
            self.update_account()
            if self.unfinished_bytes:
                self.server.refuse_beyond_limit()

    def receive(self, data):
        """Takes input: parses it, keeps it for later or discards it."""
        if self.refused_requests is not None:
            self.refused_requests.take(data)
            self.count_discarded(len(data))
            return self.refuse_discarded()
        if not self.buffer:
            self.arrivals.clear()
        self.buffer += data
        self.arrivals.add(len(data), self.server.loop.ready_since_us)
        limits = self.server.limits
        if self.parsing_later:
            return
        if self.current is None:
            return self.parse()
        max_bytes = MIN_PIPELINED_BYTES if self.server.pipelining_full() else limits.pipelined_bytes
        if len(self.buffer) > max_bytes:
            self.discard_excess(max_bytes)

    def discard_excess(self, max_bytes):
        """Keeps the complete requests that fit into `max_bytes` of the buffer. Of what is behind them only the number of
        requests is kept from now on; reading goes on, to notice when the client leaves."""
        self.refused_requests = RefusedRequests(self.server.limits)
        kept_bytes = self.refused_requests.take_front(self.buffer, max_bytes)
        discarded = len(self.buffer) - kept_bytes
        del self.buffer[kept_bytes:]
        self.arrivals.drop_last(discarded)
        self.count_discarded(discarded)

    def count_discarded(self, size):
        """Counts input that is not kept. Disconnects a client that never stops sending."""
        self.discarded_bytes += size
        if self.discarded_bytes > MAX_DISCARDED_BYTES:
            self.server.closes[CloseReason.TOO_MUCH] += 1
            self.stream.abort()

    def refuse_discarded(self):
        """Refuses the requests that were not kept, once all before them are answered."""
        refused = self.refused_requests
        if refused is None or self.current is not None or self.buffer:
            return
        self.stream.write(self.server.refusal() * refused.count)
        self.server.refused += refused.count
        refused.count = 0
        if refused.problem is not None:
            return self.refuse(refused.problem.status, str(refused.problem))
        if refused.is_partial:
            return self.enter_phase("body")
        self.refused_requests, self.discarded_bytes = None, 0
        self.enter_phase("idle")
        if self.is_last_answer():
            self.close()

    def parse(self):
        """Parses at most one request from the buffered input. What is behind it waits for its turn among all connections, as
        many small requests in one read would otherwise hold up the others."""
        try:
            if self.incoming is None and not self.parse_head():
                return
            if self.incoming is not None and not self.parse_body():
                return
        except ProtocolError as problem:
            return self.refuse(problem.status, str(problem))
        self.parse_rest()

    def parse_rest(self):
        """Has the buffered input parsed later if no request is being answered."""
        if self.current is None and self.buffer and not self.parsing_later:
            self.enter_phase("head")
            self.continue_later()

    def continue_later(self):
        """Has the buffered input parsed when its turn among all connections comes."""
        self.parsing_later = True
        self.stream.pause()  # so that input that waits for its turn does not grow
        self.server.loop.put_off_call(self.stream, self.parse_later)

    def parse_later(self):
        """Parses from the loop."""
        self.parsing_later = False
        if self.stream.closed or self.stream.closing:
            return
        if self.current is None and self.buffer:
            self.parse()
        if not self.parsing_later:
            self.stream.resume()
        self.update_account()

    def update_account(self):
        """Enters what is kept of this connection's input into the server's account."""
        kept = 0
        if not self.stream.closed:
            kept = len(self.buffer) + len(self.body if self.decoder is None else self.decoder.body)
            kept += self.incoming.head_bytes if self.incoming is not None else 0
            kept += len(self.refused_requests.rest) if self.refused_requests is not None else 0
        unfinished, pipelined = (kept, 0) if self.current is None else (0, kept)
        account = self.server.account
        account.unfinished_bytes += unfinished - self.unfinished_bytes
        account.pipelined_bytes += pipelined - self.pipelined_bytes
        self.unfinished_bytes, self.pipelined_bytes = unfinished, pipelined

    def parse_head(self):
        """-> whether a whole head was parsed. Raises ProtocolError."""
        limits = self.server.limits
        while self.buffer[:2] == b"\r\n":  # RFC 9112, 2.2: empty lines before a request are ignored
            del self.buffer[:2]
            self.empty_lines += 1
            if self.empty_lines > MAX_EMPTY_LINES:
                raise ProtocolError("too many empty lines before a request")
        end = self.buffer.find(b"\r\n\r\n", self.searched_bytes)
        if end < 0 and len(self.buffer) > limits.head_bytes or end > limits.head_bytes:
            raise ProtocolError("the head is too long", 431)
        if end < 0:
            if self.buffer.find(b"\n\n", self.searched_bytes) >= 0:
                raise ProtocolError("bare CR or LF in the head")
            self.searched_bytes = max(0, len(self.buffer) - len(b"\r\n\r"))
            self.enter_phase("head" if self.buffer else "idle")
            return False
        line, fields = split_head(bytes(self.buffer[:end]), REQUEST_LINE)
        arrived_us = self.arrivals.earliest(len(self.buffer))
        del self.buffer[: end + 4]
        self.empty_lines = self.searched_bytes = 0
        method, target, version = line.split(b" ")
        version = version[5:]
        length = check_framing(fields, True)
        if version == b"1.1" and sum(n == b"host" for n, _ in fields) != 1:
            raise ProtocolError("exactly one Host header is needed")
        if length == "chunked" and version != b"1.1":
            raise ProtocolError("a chunked body in HTTP/1.0")
        if isinstance(length, int) and length > limits.body_bytes:
            raise ProtocolError("the body is too long", 413)
        expect = get(fields, b"expect")
        if expect is not None:
            if expect.lower() != b"100-continue":
                raise ProtocolError("unknown expectation", 417)
            if length and not self.buffer:
                self.stream.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        self.incoming = Exchange(self, method, target, fields, version)
        self.incoming.arrived_us = arrived_us
        self.incoming.head_bytes = end + FIELD_OVERHEAD_BYTES * len(fields)
        self.body, self.body_left = bytearray(), 0
        if length == "chunked":
            self.decoder = ChunkedDecoder(limits.body_bytes)
        else:
            self.body_left = length or 0
        if not length:
            self.handle()
        else:
            self.enter_phase("body")
        return True

    def parse_body(self):
        """-> whether the body is complete. Raises ProtocolError."""
        if self.decoder is not None:
            if not self.decoder.decode(self.buffer):
                if self.decoder.out_of_steps:
                    self.continue_later()
                return False
            self.body, self.decoder = self.decoder.body, None
        else:
            part = self.buffer[: self.body_left]
            del self.buffer[: len(part)]
            self.body += part
            self.body_left -= len(part)
            if self.body_left:
                return False
        self.handle()
        return True

    def handle(self):
        """Passes a complete request to the application."""
        exchange, self.incoming, self.served = self.incoming, None, True
        exchange.body = bytes(self.body)
        self.body = bytearray()
        self.current = exchange
        self.enter_phase("answer")
        self.server.requests += 1
        try:
            self.server.app(exchange)
        except Exception as problem:
            # An internal error while handling one request must not leave its client without an answer.
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
        """The answer to the current request has been written."""
        if exchange is not self.current:
            return
        self.current = None
        # A client whose answer began before the stop was not told to close and may have sent its next request: it is served.
        if not exchange.keep_alive or self.is_last_answer():
            return self.close()
        self.enter_phase("idle")
        self.parse_rest()
        self.refuse_discarded()
        self.update_account()

    def end_incomplete(self, exchange):
        """Ends the connection behind an incomplete answer: without its last chunk, or by a reset where no chunk would be missed
        or the client reads too slowly to get the rest at once."""
        self.stream.flush()
        if exchange is not self.current or not exchange.chunked or self.stream.unsent_bytes:
            return self.stream.abort()
        self.current = None
        self.close()

    def is_last_answer(self):
        """Whether this is the connection's last answer: the server is stopping and no further input has arrived."""
        return self.server.closing and not self.has_more_input()

    def has_more_input(self):
        """Whether unparsed or unread input is there, or requests that have to be refused."""
        return bool(self.buffer) or self.refused_requests is not None or self.stream.pending()

    def close(self):
        """Closes the connection after its last answer."""
        limits, more = self.server.limits, self.refused_early or self.discarded_bytes or self.has_more_input()
        linger = more and not self.closing_at_once
        self.buffer.clear()
        self.update_account()
        self.enter_phase("idle")
        self.stream.close(limits.linger_us if linger else 0, limits.head_bytes + limits.body_bytes)

    def refuse(self, status, why):
        """Answers an invalid or late request with an error and closes."""
        self.buffer.clear()
        self.refused_early = True
        self.refused_requests = None
        exchange = self.incoming or Exchange(self, b"GET", b"*", [], b"1.1")
        self.incoming, self.decoder, self.body = None, None, bytearray()
        exchange.keep_alive = False
        self.current = exchange
        self.server.refused += 1
        exchange.json(status, {"error": {"message": why, "type": "invalid_request_error", "param": None, "code": "bad_http"}})

    def reclaim(self):
        """Closes at once to free the descriptor. A partly received request is refused rather than dropped."""
        self.server.closes[CloseReason.NO_ROOM] += 1
        if self.phase in ("head", "body"):
            self.closing_at_once = True
            self.refuse(503, "too many connections")
        elif not self.stream.unsent_bytes:  # otherwise the end of its last answer is still on its way to a slow client
            self.stream.abort()

    def busy(self):
        """Whether a request or an answer is incomplete."""
        stream = self.stream
        if stream.closing:
            return bool(stream.unsent_bytes) or stream.lingering is not None
        return self.current is not None or self.incoming is not None or bool(stream.unsent_bytes) or self.has_more_input()

    def enter_phase(self, phase):
        if phase != self.phase:
            self.phase, self.phase_since_us = phase, self.server.loop.now

    def body_is_coming(self, now):
        """Whether a body is received slowly, but without a long pause."""
        limits = self.server.limits
        return (
            self.phase == "body"
            and now - self.stream.last_received_us <= limits.body_pause_us
            and now - self.phase_since_us <= limits.slow_body_us
        )

    def check_timeouts(self, now):
        """Called periodically by the server."""
        limits, elapsed_us = self.server.limits, now - self.phase_since_us
        if self.stream.closed:
            return
        if self.stream.lingering is not None:
            return  # a lingering close has its own timer
        if self.phase == "idle" and not self.stream.closing and self.stream.pending():
            return  # input has arrived and is read first, in the next turn
        if self.stream.unsent_bytes and now - self.stream.last_sent_us > limits.stall_us:
            self.server.closes[CloseReason.NOT_READ] += 1
            return self.stream.abort()
        if self.body_is_coming(now):
            return
        if not self.served and limits.first_request_us is not None and now - self.opened_us > limits.first_request_us:
            self.server.closes[CloseReason.NO_REQUEST] += 1
            if self.stream.closing or self.phase == "idle" or self.current is not None:
                return self.stream.abort()
            return self.refuse(408, "the request was not received in time")
        if self.phase == "idle" and elapsed_us > limits.idle_us or self.stream.closing and elapsed_us > limits.idle_us:
            self.server.closes[CloseReason.IDLE] += 1
            self.stream.close() if not self.stream.closing else self.stream.abort()
        elif self.phase == "head" and elapsed_us > limits.head_us:
            self.server.closes[CloseReason.HEAD_LATE] += 1
            self.refuse(408, "the head was not received in time")
        elif self.phase == "body" and elapsed_us > limits.body_us:
            self.server.closes[CloseReason.BODY_LATE] += 1
            self.refuse(408, "the body was not received in time")

    def on_eof(self):
        # A client that has only shut down its sending side can't be told from one that has gone. API clients don't
        # half-close, so the end of its input counts as leaving.
        self.stream.abort() if self.current is not None else self.stream.close()

    def on_closed(self, why):
        self.server.connection_closed(self)
        exchange, self.current = self.current, None
        self.incoming = self.decoder = self.refused_requests = None
        self.buffer.clear()
        self.update_account()
        if exchange is not None and not exchange.over:
            exchange.over, left = True, exchange.on_left
            exchange.on_left = exchange.on_drained = None
            if left:
                left()

    def on_drained(self):
        if self.current is not None and self.current.on_drained:
            self.current.on_drained()
