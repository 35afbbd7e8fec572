"""The bytes of the store's files. Pure.

Segment  head of 16 bytes: `LWSG`, version u16, 0 u16, number u32, xxh32 of the 12 before; then frames
Frame    `LWr1`, length u32 of the body, seq u64, durable u64, check u64; then the body
         body: MessagePack, [unix ms, [[key, value or nil, expires unix ms or 0], ...]]; one batch, whole or not at all
         check: xxh3_64 of the 20 bytes from length to durable and of the body, seeded with the segment's number
         durable: all frames up to this seq were on the disk before this one was written
Manifest `LWMF`, version u16, 0 u16, xxh3_64 of the rest, MessagePack [generation, [[number, length or nil], ...], next seq];
         the last segment is the one written to (length nil)
Hint     `LWHT`, version u16, 0 u16, xxh3_64 of the rest, MessagePack [number, length, last seq, unix ms, [[key, at, size, expires,
         inline value or nil], ...]] of a segment that is closed

All numbers big endian. Sources: none; the format is this project's own."""

import struct
from typing import NamedTuple

import msgspec
import xxhash

VERSION = 1
HEAD = struct.Struct(">4sHHII")
FRAME = struct.Struct(">4sIQQQ")
FIELDS = struct.Struct(">IQQ")
OUTER = struct.Struct(">4sHHQ")
MARK, SEGMENT, MANIFEST, HINT = b"LWr1", b"LWSG", b"LWMF", b"LWHT"
MOST_BODY = 16 << 20
INLINE = 256  # values up to this size are kept in memory
encode, decode = msgspec.msgpack.encode, msgspec.msgpack.decode


class Damaged(Exception):
    """Bytes that can't be what was written."""


class NewerVersion(Damaged):
    """Written by a later program."""


class Frame(NamedTuple):
    at: int  # of the frame in its segment
    end: int
    seq: int
    durable: int
    unix_ms: int
    items: list  # [key, value or None, expires]
    body_at: int


def segment_head(number):
    head = HEAD.pack(SEGMENT, VERSION, 0, number, 0)[:12]
    return head + struct.pack(">I", xxhash.xxh32_intdigest(head))


def read_segment_head(data, number):
    """Raises Damaged."""
    if len(data) < HEAD.size:
        raise Damaged("the head is cut")
    mark, version, _, found, check = HEAD.unpack(data[: HEAD.size])
    if mark != SEGMENT or xxhash.xxh32_intdigest(data[:12]) != check:
        raise Damaged("damaged head")
    if version > VERSION:
        raise NewerVersion(f"version {version}; this program knows {VERSION}")
    if found != number:
        raise Damaged(f"it says it is segment {found}")


def check_of(fields, body, number):
    return xxhash.xxh3_64_intdigest(fields + body, seed=number)


def frame(number, seq, durable, unix_ms, items):
    body = encode((unix_ms, items))
    if len(body) > MOST_BODY:
        raise ValueError(f"a batch of {len(body)} bytes")
    fields = FIELDS.pack(len(body), seq, durable)
    return MARK + fields + struct.pack(">Q", check_of(fields, body, number)) + body


def read_frame(data, at, number):
    """The frame at an offset of a segment's bytes. Raises Damaged where there is none that is whole."""
    if len(data) - at < FRAME.size:
        raise Damaged("cut")
    mark, length, seq, durable, check = FRAME.unpack_from(data, at)
    body_at, end = at + FRAME.size, at + FRAME.size + length
    if mark != MARK or length > MOST_BODY or end > len(data):
        raise Damaged("no frame")
    body = bytes(data[body_at:end])
    if check_of(bytes(data[at + 4 : at + 24]), body, number) != check:
        raise Damaged("damaged frame")
    try:
        unix_ms, items = decode(body, type=tuple[int, list[tuple[bytes, bytes | None, int]]])
    except (msgspec.DecodeError, ValueError) as problem:
        raise Damaged(f"malformed frame: {problem}") from None
    return Frame(at, end, seq, durable, unix_ms, items, body_at)


def frames(data, number, last, at=HEAD.size):
    """Yields frames up to the first that is not whole; then says how it ended: (offset, claimed). `last`: the seq before this
    segment's first, 0 where it is not known. `claimed` is whether a later frame proves that what is missing had been on the disk:
    damage, and no torn end."""
    seq = last or None
    while at < len(data):
        try:
            found = read_frame(data, at, number)
            if seq is not None and found.seq != seq + 1:
                raise Damaged("out of order")
        except Damaged:
            break
        seq, at = found.seq, found.end
        yield found
    yield at, claimed(data, at, number, seq or 0)


def claimed(data, at, number, seq):
    """Looks behind a broken place for a frame that says that more than `seq` was durable when it was written."""
    look = at + 1
    while True:
        look = data.find(MARK, look)
        if look < 0:
            return False
        try:
            found = read_frame(data, look, number)
            if found.durable > seq:
                return True
        except Damaged:
            pass
        look += 1


def outer(mark, value):
    body = encode(value)
    return OUTER.pack(mark, VERSION, 0, xxhash.xxh3_64_intdigest(body)) + body


def read_outer(data, mark, kind):
    """Raises Damaged."""
    if len(data) < OUTER.size:
        raise Damaged("cut")
    found, version, _, check = OUTER.unpack(data[: OUTER.size])
    body = data[OUTER.size :]
    if found != mark:
        raise Damaged("another kind of file")
    if version > VERSION:
        raise NewerVersion(f"version {version}; this program knows {VERSION}")
    if xxhash.xxh3_64_intdigest(body) != check:
        raise Damaged("damaged")
    try:
        return decode(body, type=kind)
    except (msgspec.DecodeError, ValueError) as problem:
        raise Damaged(f"malformed: {problem}") from None


class Manifest(msgspec.Struct, array_like=True):
    generation: int
    segments: list[tuple[int, int | None]]
    next_seq: int


class Hint(msgspec.Struct, array_like=True):
    number: int
    length: int
    last_seq: int
    unix_ms: int
    rows: list[tuple[bytes, int, int, int, bytes | None]]
