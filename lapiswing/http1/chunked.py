"""Decoding of the chunked transfer coding (RFC 9112, section 7.1), without I/O.

The cost is a constant number of steps for each chunk and a copy of its data, whatever the bytes of the data are. What a peer may
spend on framing is limited, so that tiny chunks can't make a body much more expensive than its size."""

import re

from lapiswing.http1.wire import FORBIDDEN_IN_VALUE, TOKEN, ProtocolError

CRLF = b"\r\n"
SIZE_LINE = re.compile(rb"([0-9A-Fa-f]{1,16})(?:[ \t]*;[^\x00-\x08\x0a-\x1f\x7f]*)?")
INCOMPLETE_SIZE_LINE = re.compile(rb"(?:[0-9A-Fa-f]{1,16}(?:[ \t]*(?:;[^\x00-\x08\x0a-\x1f\x7f]*)?)?\r?)?")
MAX_LINE_BYTES = 4096  # of a chunk's size with its extensions, and of a trailer field
MAX_STEPS_PER_CALL = 3000  # of one call of `decode`: with one-byte chunks some 1,000 chunks, which take a few milliseconds
MAX_FRAMING_BYTES = 131072  # size lines, line ends and trailers, on top of as many bytes as the body has


class ChunkedDecoder:
    """Decodes one body. `body` holds what has been decoded and not taken so far, `complete` tells whether the body has ended, and
    `out_of_steps` whether the last call left input that it could have decoded. A chunk that does not fit into the limit of the
    body is refused by its size, before its data comes."""

    def __init__(self, max_body_bytes, max_framing_bytes=MAX_FRAMING_BYTES):
        """`max_framing_bytes`: on top of as many bytes as the body has. Both limits may be infinite."""
        self.max_body_bytes, self.max_framing_bytes, self.body = max_body_bytes, max_framing_bytes, bytearray()
        self.taken_bytes = 0  # of the body
        self.chunk_left = 0  # bytes of the current chunk's data still to come
        self.framing_bytes, self.complete, self.steps, self.out_of_steps = 0, False, 0, False
        self.state = ChunkedDecoder.read_size  # not a bound method, which would make a reference cycle

    def decode(self, buffer):
        """Decodes from the front of `buffer`, a bytearray, for a bounded number of steps, and deletes what it has decoded. Bytes
        behind the end of the body stay. -> whether the body is complete. Raises ProtocolError."""
        position, last_step, self.out_of_steps = 0, self.steps + MAX_STEPS_PER_CALL, False
        while not self.complete:
            if self.steps == last_step:
                self.out_of_steps = True
                break
            after = self.state(self, buffer, position)
            self.steps += 1
            if after is None:
                break
            position = after
        del buffer[:position]
        return self.complete

    def take_body(self):
        """-> what has been decoded since the last call."""
        body, self.body = self.body, bytearray()
        self.taken_bytes += len(body)
        return bytes(body)

    @property
    def body_bytes(self):
        """The size of the body so far."""
        return self.taken_bytes + len(self.body)

    # ---- states: each returns the position after what it has read, None if more input is needed

    def read_size(self, buffer, position):
        """Reads the line with a chunk's size."""
        end = self.line_end(buffer, position)
        if end is None:
            if not INCOMPLETE_SIZE_LINE.fullmatch(buffer, position):
                raise ProtocolError("malformed chunk size")
            return None
        match = SIZE_LINE.fullmatch(buffer, position, end)
        if match is None:
            raise ProtocolError("malformed chunk size")
        self.chunk_left = int(match[1], 16)
        self.count_framing(end - position + 2 * len(CRLF))
        if self.body_bytes + self.chunk_left > self.max_body_bytes:
            raise ProtocolError("the body is too long", 413)
        self.state = ChunkedDecoder.read_data if self.chunk_left else ChunkedDecoder.read_trailer
        return end + len(CRLF)

    def read_data(self, buffer, position):
        """Copies what has come of a chunk's data."""
        end = min(position + self.chunk_left, len(buffer))
        if end == position:
            return None
        self.body += buffer[position:end]
        self.chunk_left -= end - position
        if not self.chunk_left:
            self.state = ChunkedDecoder.read_data_end
        return end

    def read_data_end(self, buffer, position):
        """Reads the end of line after a chunk's data."""
        end = position + len(CRLF)
        found = buffer[position:end]
        if not CRLF.startswith(found):
            raise ProtocolError("a chunk is longer than its size")
        if len(found) < len(CRLF):
            return None
        self.state = ChunkedDecoder.read_size
        return end

    def read_trailer(self, buffer, position):
        """Reads one trailer field, which is ignored, or the empty line that ends the body."""
        end = self.line_end(buffer, position)
        if end is None:
            return None
        if end == position:
            self.complete = True
            return end + len(CRLF)
        name, colon, value = bytes(buffer[position:end]).partition(b":")
        if not colon or not TOKEN.fullmatch(name) or FORBIDDEN_IN_VALUE.search(value):
            raise ProtocolError("malformed trailer field")
        self.count_framing(end - position + len(CRLF))
        return end + len(CRLF)

    # ----

    def line_end(self, buffer, position):
        """-> where the line that begins at `position` ends, None if its end has not come yet."""
        end = buffer.find(CRLF, position, position + MAX_LINE_BYTES + len(CRLF))
        if end >= 0:
            return end
        if len(buffer) - position > MAX_LINE_BYTES + 1:
            raise ProtocolError("a line of the chunked coding is too long")
        return None

    def count_framing(self, size):
        """Limits the bytes that are not part of the body."""
        self.framing_bytes += size
        if self.framing_bytes > self.max_framing_bytes + self.body_bytes:
            raise ProtocolError("too much framing for the size of the body")
