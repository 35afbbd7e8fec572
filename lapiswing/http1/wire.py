"""Shared by both sides: strict checks of a head's raw bytes, and the encoding of heads and chunks.

The parser is lenient in places. A router stands between two parsers, and a message that two parsers read differently allows
request smuggling (RFC 9112, section 11.2), so every head is checked byte by byte first."""

import re
from functools import cache
from http import HTTPStatus

REASONS = {s.value: s.phrase for s in HTTPStatus}
TOKEN = re.compile(rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+")
REQUEST_LINE = re.compile(rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+ [^\x00-\x20\x7f]+ HTTP/1\.[01]")
STATUS_LINE = re.compile(rb"HTTP/1\.[01] [1-9][0-9][0-9]( [^\x00-\x08\x0a-\x1f\x7f]*)?")
MAX_EMPTY_LINES = 16  # before a request
MAX_FIELDS = 128  # of a head; each costs as much as hundreds of bytes of a long one
FORBIDDEN_IN_VALUE = re.compile(rb"[\x00-\x08\x0a-\x1f\x7f]")


class ProtocolError(Exception):
    """The peer violated the protocol. `status` is what a server answers, `args[0]` the reason."""

    def __init__(self, why, status=400):
        super().__init__(why)
        self.status = status


def split_head(head, first):
    """`head` without its final empty line -> (first line, [(lower-case name, value)]). Raises ProtocolError."""
    if head.count(b"\r\n") > MAX_FIELDS:
        raise ProtocolError("too many header fields", 431)
    lines = head.split(b"\r\n")
    if b"\n" in head.replace(b"\r\n", b"") or b"\r" in head.replace(b"\r\n", b""):
        raise ProtocolError("bare CR or LF in the head")
    if not first.fullmatch(lines[0]):
        raise ProtocolError("malformed first line")
    fields = []
    for line in lines[1:]:
        if line[:1] in (b" ", b"\t"):
            raise ProtocolError("folded header line")
        name, colon, value = line.partition(b":")
        if not colon or not TOKEN.fullmatch(name):
            raise ProtocolError("malformed header name")
        value = value.strip(b" \t")
        if FORBIDDEN_IN_VALUE.search(value):
            raise ProtocolError("control character in a header value")
        fields.append((name.lower(), value))
    return lines[0], fields


def check_framing(fields, request):
    """-> the length of the body: a number, 'chunked', or None if no header gives it. Raises ProtocolError for everything that two
    parsers could read differently: both length headers, two lengths, a length that is not plain digits, a transfer coding
    other than chunked alone."""
    lengths = [v for n, v in fields if n == b"content-length"]
    codings = [v for n, v in fields if n == b"transfer-encoding"]
    if lengths and codings:
        raise ProtocolError("both Content-Length and Transfer-Encoding")
    if len(lengths) > 1:
        raise ProtocolError("more than one Content-Length")
    if lengths:
        if not re.fullmatch(rb"[0-9]{1,15}", lengths[0]):
            raise ProtocolError("Content-Length is not a number")
        return int(lengths[0])
    if codings:
        if len(codings) > 1 or codings[0].lower() != b"chunked":
            raise ProtocolError("only the chunked transfer coding is supported", 501 if request else 400)
        return "chunked"
    return None


def get(fields, name, default=None):
    """-> the first value of a header."""
    return next((v for n, v in fields if n == name), default)


def has_token(fields, name, token):
    """-> whether a header that is a comma-separated list contains a token, in upper or lower case."""
    return any(n == name and token_pattern(token).search(v) for n, v in fields)


@cache
def token_pattern(token):
    """-> a pattern that finds the token in a comma-separated list."""
    return re.compile(rb"(?:^|,)[ \t]*%b[ \t]*(?:,|$)" % re.escape(token), re.IGNORECASE)


def response_head(status, fields):
    """-> the bytes of a response's head."""
    lines = [b"HTTP/1.1 %d %s" % (status, REASONS.get(status, "").encode())]
    lines += [n + b": " + v for n, v in fields]
    return b"\r\n".join(lines) + b"\r\n\r\n"


def request_head(method, target, fields):
    """-> the bytes of a request's head."""
    lines = [method + b" " + target + b" HTTP/1.1"] + [n + b": " + v for n, v in fields]
    return b"\r\n".join(lines) + b"\r\n\r\n"


def chunk(data):
    """-> one chunk of the chunked transfer coding."""
    return b"%x\r\n%b\r\n" % (len(data), data)
