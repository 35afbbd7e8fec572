"""Requests that are read and not kept, without I/O.

Beyond what a connection may keep behind an open request, only the number of the requests that come is kept, so that each of them
is refused in its turn. Reading on shows when the client leaves, and a request that was read and got no answer would be
lost for its client."""

import re

from lapiswing.http1.chunked import ChunkedDecoder
from lapiswing.http1.wire import MAX_EMPTY_LINES, ProtocolError, check_framing

FRAMING_FIELD = re.compile(rb"\r\n(content-length|transfer-encoding):([^\r\n]*)", re.IGNORECASE)
HEAD_END = b"\r\n\r\n"
MAX_KEPT_REQUESTS = 1024  # found at the front of what has come, which bounds the time of one search
MAX_REFUSED_REQUESTS = 256  # of one connection, which bounds their answers
MAX_CHUNK_STEPS = 6000  # spent on chunked bodies that are dropped


class RefusedRequests:
    """Finds the requests in a client's input. `count` of them are to be refused. `problem` is a ProtocolError that ends the
    connection after these, or None: malformed input, or too many requests."""

    def __init__(self, limits):
        self.head_bytes, self.body_bytes = limits.head_bytes, limits.body_bytes
        self.count, self.problem = 0, None
        self.rest = bytearray()  # of a head or chunk that is not complete
        self.body_left, self.decoder = 0, None
        self.chunk_steps = 0  # spent on chunked bodies
        self.empty_lines = 0  # read before the next request

    @property
    def is_partial(self):
        """Whether a request has come in part."""
        return bool(self.rest or self.body_left or self.decoder)

    def take_front(self, data, max_bytes):
        """Takes the first input. -> the size of its complete requests that fit into `max_bytes`: these are not counted."""
        self.rest += data
        kept_bytes = kept_requests = 0
        while self.problem is None and self.next_request():
            end = len(data) - len(self.rest)
            if self.count == 1 and end <= max_bytes and kept_requests < MAX_KEPT_REQUESTS:
                self.count, kept_bytes, kept_requests = 0, end, kept_requests + 1
        return kept_bytes

    def take(self, data):
        """Takes further input; drops it behind a problem."""
        if self.problem is not None:
            return
        self.rest += data
        while self.problem is None and self.next_request():
            pass

    def next_request(self):
        """Reads one request from the input. -> whether it was complete."""
        try:
            complete = (self.decoder or self.body_left or self.read_head()) and self.read_body()
        except ProtocolError as problem:
            self.fail(problem)
            return False
        if complete:
            self.count += 1
            if self.count > MAX_REFUSED_REQUESTS:
                self.fail(ProtocolError("too many requests at once", 503))
        return complete

    def fail(self, problem):
        """Takes no more requests."""
        problem.__traceback__ = None  # its frames hold the connection and what it keeps
        self.problem, self.body_left, self.decoder = problem, 0, None
        self.rest.clear()

    def read_head(self):
        """-> whether a head was complete. Raises ProtocolError."""
        while self.rest[:2] == b"\r\n":
            del self.rest[:2]
            self.empty_lines += 1
            if self.empty_lines > MAX_EMPTY_LINES:
                raise ProtocolError("too many empty lines before a request")
        end = self.rest.find(HEAD_END)
        if end > self.head_bytes or end < 0 and len(self.rest) > self.head_bytes:
            raise ProtocolError("the head is too long", 431)
        if end < 0:
            return False
        head = bytes(self.rest[:end])
        del self.rest[: end + len(HEAD_END)]
        self.empty_lines = 0
        length = check_framing([(name.lower(), value.strip(b" \t")) for name, value in FRAMING_FIELD.findall(head)], True)
        if length == "chunked":
            self.decoder = ChunkedDecoder(self.body_bytes)
        else:
            self.body_left = length or 0
        if self.body_left > self.body_bytes:
            raise ProtocolError("the body is too long", 413)
        return True

    def read_body(self):
        """-> whether the body has ended; drops what has come of it. Raises ProtocolError."""
        if self.decoder is not None:
            if not self.decode_chunks():
                return False
            self.decoder = None
        else:
            part = min(self.body_left, len(self.rest))
            del self.rest[:part]
            self.body_left -= part
        return not self.body_left

    def decode_chunks(self):
        """-> whether a chunked body has ended. Raises ProtocolError, also if the chunks cost too much for what is dropped."""
        before = self.decoder.steps
        complete = self.decoder.decode(self.rest)
        self.decoder.body.clear()
        self.chunk_steps += self.decoder.steps - before
        if self.decoder.out_of_steps or self.chunk_steps > MAX_CHUNK_STEPS:
            raise ProtocolError("too many small chunks", 503)
        return complete
