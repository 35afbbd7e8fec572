"""Streams of a soak's model servers that are spoilt, or written slowly, in place of one of their events."""

from typing import NamedTuple

from lapiswing.http1.wire import chunk
from lapiswing.standin.platform import ModelServer

MS = 1000  # in microseconds
REPEAT_US = 300 * MS
PAUSES_US = (200 * MS, 1500 * MS, 3500 * MS, 4200 * MS)  # of a server that writes slowly: shorter than clients are made to wait
EVENT = ModelServer.event(0)
COMMENT = b": still here\n\n"
HUGE_CHUNK = b"c0000000\r\n"


class SpoiltForm(NamedTuple):
    """What a spoilt stream writes: `first` once, then `again` for as long as its connection is open."""

    first: bytes
    again: bytes = b""


SPOILT_FORMS = (
    SpoiltForm(b""),
    SpoiltForm(b"\x00\x01noise\n\n"),
    SpoiltForm(b"zz\r\n"),
    SpoiltForm(chunk(COMMENT), chunk(COMMENT)),
    SpoiltForm(chunk(b"\n\n"), chunk(b"\n\n")),
    SpoiltForm(chunk(EVENT[:-2]), chunk(b"x")),
    SpoiltForm(b"%x\r\n%b\r\n" % (len(EVENT) + 40, EVENT)),
    SpoiltForm(b"4\r\n%b\r\n" % EVENT),
    SpoiltForm(HUGE_CHUNK, EVENT),
    SpoiltForm(HUGE_CHUNK, COMMENT),
    SpoiltForm(HUGE_CHUNK, b"x" * 500),
    SpoiltForm(chunk(b"data: [DONE]\n\n"), chunk(COMMENT)),
    SpoiltForm(b"0\r\n", b"a: b\r\n"),
)


def write_spoilt(loop, exchange, form):
    """Writes a spoilt stream until its connection ends."""
    exchange.write(form.first)
    if form.again:
        loop.call_later(REPEAT_US, write_again, loop, exchange, form.again)


def write_again(loop, exchange, data):
    if not exchange.over and not exchange.conn.stream.closed:
        exchange.write(data)
        loop.call_later(REPEAT_US, write_again, loop, exchange, data)


def write_slowly(loop, exchange, data, at, pause_us, done):
    """Writes one chunk in two parts, with a pause after `at` of its bytes; then calls `done()`."""
    raw = chunk(data)
    exchange.write(raw[:at])
    loop.call_later(pause_us, write_rest, exchange, raw[at:], done)


def write_rest(exchange, data, done):
    if not exchange.over:
        exchange.write(data)
    done()
