"""What both sides share: the checks of a head's raw bytes, and how heads and chunks are written.

The parser is lenient here and there. A router stands between two parsers, and what two parsers read differently is
how a request is smuggled past one of them (RFC 9112, section 11.2), so a head is looked at byte by byte first."""

import re
from http import HTTPStatus

REASONS = {s.value: s.phrase for s in HTTPStatus}
TOKEN = re.compile(rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+")
REQUEST_LINE = re.compile(rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+ [^\x00-\x20\x7f]+ HTTP/1\.[01]")
STATUS_LINE = re.compile(rb"HTTP/1\.[01] [1-9][0-9][0-9]( [^\x00-\x08\x0a-\x1f\x7f]*)?")
BAD_VALUE = re.compile(rb"[\x00-\x08\x0a-\x1f\x7f]")


class Bad(Exception):
    """The peer's fault. `status` is what a server answers; `args[0]` says why."""

    def __init__(self, why, status=400):
        super().__init__(why)
        self.status = status


def split_head(head, first):
    """`head` without its final empty line -> (first line, [(lower-case name, value)]). Raises Bad."""
    lines = head.split(b"\r\n")
    if b"\n" in head.replace(b"\r\n", b"") or b"\r" in head.replace(b"\r\n", b""):
        raise Bad("bare CR or LF in the head")
    if not first.fullmatch(lines[0]):
        raise Bad("malformed first line")
    fields = []
    for line in lines[1:]:
        if line[:1] in (b" ", b"\t"):
            raise Bad("folded header line")
        name, colon, value = line.partition(b":")
        if not colon or not TOKEN.fullmatch(name):
            raise Bad("malformed header name")
        value = value.strip(b" \t")
        if BAD_VALUE.search(value):
            raise Bad("control character in a header value")
        fields.append((name.lower(), value))
    return lines[0], fields


def check_framing(fields, request):
    """Length of the body: a number, 'chunked' or None where no header says. Raises Bad for every shape that two
    parsers could read differently: both length headers, two lengths, a length that is not plain digits, a coding
    other than chunked alone."""
    lengths = [v for n, v in fields if n == b"content-length"]
    codings = [v for n, v in fields if n == b"transfer-encoding"]
    if lengths and codings:
        raise Bad("both Content-Length and Transfer-Encoding")
    if len(lengths) > 1:
        raise Bad("more than one Content-Length")
    if lengths:
        if not re.fullmatch(rb"[0-9]{1,15}", lengths[0]):
            raise Bad("Content-Length is not a number")
        return int(lengths[0])
    if codings:
        if len(codings) > 1 or codings[0].lower() != b"chunked":
            raise Bad("only the chunked transfer coding is known", 501 if request else 400)
        return "chunked"
    return None


def get(fields, name, default=None):
    return next((v for n, v in fields if n == name), default)


def tokens(fields, name):
    return {t.strip().lower() for n, v in fields if n == name for t in v.split(b",")}


def response_head(status, fields):
    lines = [b"HTTP/1.1 %d %s" % (status, REASONS.get(status, "").encode())]
    lines += [n + b": " + v for n, v in fields]
    return b"\r\n".join(lines) + b"\r\n\r\n"


def request_head(method, target, fields):
    lines = [method + b" " + target + b" HTTP/1.1"] + [n + b": " + v for n, v in fields]
    return b"\r\n".join(lines) + b"\r\n\r\n"


def chunk(data):
    return b"%x\r\n%b\r\n" % (len(data), data)
