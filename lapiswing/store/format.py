"""Encoding and decoding of the store's files. No I/O.

Segment  header of 16 bytes: `LWSG`, version u16, 0 u16, number u32, xxh32 of the preceding 12 bytes; then frames
Frame    header: `LWr1`, length u32 of the body, seq u64, durable u64, checksum u64; then the body
         body: MessagePack, [unix ms, [[key, value or nil, expiry in unix ms or 0], ...]]; one batch, applied atomically
         checksum: xxh3_64 of the 20 bytes from length to durable and of the body, seeded with the segment's number
         durable: all frames up to this seq were on the disk before this one was written
Manifest `LWMF`, version u16, 0 u16, xxh3_64 of the rest, MessagePack [generation, [[number, length or nil], ...], next seq];
         the last segment is the active one (length nil)
Hint     `LWHT`, version u16, 0 u16, xxh3_64 of the rest, MessagePack [number, length, last seq, unix ms, [[key, offset of the
         frame or -1 for a deletion, size, expiry, inline value or nil], ...]] of a closed segment

All numbers are big endian. The format is specific to this project."""

import struct
from typing import NamedTuple

import msgspec
import xxhash

VERSION = 1
SEGMENT_HEADER = struct.Struct(">4sHHII")
FRAME_HEADER = struct.Struct(">4sIQQQ")
FRAME_FIELDS = struct.Struct(">IQQ")
FILE_HEADER = struct.Struct(">4sHHQ")
FRAME_MAGIC, SEGMENT_MAGIC, MANIFEST_MAGIC, HINT_MAGIC = b"LWr1", b"LWSG", b"LWMF", b"LWHT"
MAX_BODY_BYTES = 16 << 20
INLINE_VALUE_BYTES = 256  # values up to this size are kept in the index and in hint files
encode, decode = msgspec.msgpack.encode, msgspec.msgpack.decode


class Damaged(Exception):
    """The bytes read are not what was written."""


class NewerVersion(Damaged):
    """Written by a newer version of the program."""


class Frame(NamedTuple):
    """A decoded frame: one batch."""

    at: int  # offset of the frame in its segment
    end: int
    seq: int
    durable: int
    unix_ms: int
    items: list  # (key, value or None, expiry in unix ms or 0)
    body_at: int


def encode_segment_header(number):
    """Header of a segment file."""
    header = SEGMENT_HEADER.pack(SEGMENT_MAGIC, VERSION, 0, number, 0)[:12]
    return header + struct.pack(">I", xxhash.xxh32_intdigest(header))


def check_segment_header(data, number):
    """Checks the header of a segment file. Raises Damaged."""
    if len(data) < SEGMENT_HEADER.size:
        raise Damaged("the header is incomplete")
    magic, version, _, found_number, checksum = SEGMENT_HEADER.unpack(data[: SEGMENT_HEADER.size])
    if magic != SEGMENT_MAGIC or xxhash.xxh32_intdigest(data[:12]) != checksum:
        raise Damaged("damaged header")
    if version > VERSION:
        raise NewerVersion(f"format version {version}; this program reads up to {VERSION}")
    if found_number != number:
        raise Damaged(f"the header belongs to segment {found_number}")


def frame_checksum(fields, body, number):
    """Checksum over the header fields and the body of a frame."""
    return xxhash.xxh3_64_intdigest(fields + body, seed=number)


def encode_frame(number, seq, durable, unix_ms, items):
    """A batch as a frame of segment `number`. Raises ValueError if it is too large."""
    body = encode((unix_ms, items))
    if len(body) > MAX_BODY_BYTES:
        raise ValueError(f"a batch of {len(body)} bytes is too large")
    fields = FRAME_FIELDS.pack(len(body), seq, durable)
    return FRAME_MAGIC + fields + struct.pack(">Q", frame_checksum(fields, body, number)) + body


def read_frame(data, offset, number):
    """Decodes the frame at an offset of a segment. Raises Damaged if there is no complete frame."""
    if len(data) - offset < FRAME_HEADER.size:
        raise Damaged("incomplete frame header")
    magic, length, seq, durable, checksum = FRAME_HEADER.unpack_from(data, offset)
    body_at, end = offset + FRAME_HEADER.size, offset + FRAME_HEADER.size + length
    if magic != FRAME_MAGIC or length > MAX_BODY_BYTES or end > len(data):
        raise Damaged("no frame")
    body = bytes(data[body_at:end])
    if frame_checksum(bytes(data[offset + 4 : offset + 24]), body, number) != checksum:
        raise Damaged("damaged frame")
    try:
        unix_ms, items = decode(body, type=tuple[int, list[tuple[bytes, bytes | None, int]]])
    except (msgspec.DecodeError, ValueError) as problem:
        raise Damaged(f"malformed frame: {problem}") from None
    return Frame(offset, end, seq, durable, unix_ms, items, body_at)


def read_frames(data, number, last, offset=SEGMENT_HEADER.size):
    """Yields the frames up to the first one that can't be decoded, then a pair (offset, durable frame lost). The second element
    is True if a later frame proves that the missing ones were durable, which means damage rather than a torn end. `last`: the
    seq before this segment's first frame, 0 if unknown."""
    seq = last or None
    while offset < len(data):
        try:
            frame = read_frame(data, offset, number)
            if seq is not None and frame.seq != seq + 1:
                raise Damaged("sequence number out of order")
        except Damaged:
            break
        seq, offset = frame.seq, frame.end
        yield frame
    yield offset, durable_frame_follows(data, offset, number, seq or 0)


def durable_frame_follows(data, offset, number, seq):
    """Whether a frame after an undecodable one states that more than `seq` was durable when it was written."""
    position = offset + 1
    while True:
        position = data.find(FRAME_MAGIC, position)
        if position < 0:
            return False
        try:
            frame = read_frame(data, position, number)
            if frame.durable > seq:
                return True
        except Damaged:
            pass
        position += 1


def encode_file(magic, value):
    """A manifest or hint file: header and MessagePack body."""
    body = encode(value)
    return FILE_HEADER.pack(magic, VERSION, 0, xxhash.xxh3_64_intdigest(body)) + body


def decode_file(data, magic, kind):
    """Decodes a manifest or hint file into a `kind`. Raises Damaged."""
    if len(data) < FILE_HEADER.size:
        raise Damaged("the header is incomplete")
    found_magic, version, _, checksum = FILE_HEADER.unpack(data[: FILE_HEADER.size])
    body = data[FILE_HEADER.size :]
    if found_magic != magic:
        raise Damaged("not a file of this kind")
    if version > VERSION:
        raise NewerVersion(f"format version {version}; this program reads up to {VERSION}")
    if xxhash.xxh3_64_intdigest(body) != checksum:
        raise Damaged("wrong checksum")
    try:
        return decode(body, type=kind)
    except (msgspec.DecodeError, ValueError) as problem:
        raise Damaged(f"malformed: {problem}") from None


class Manifest(msgspec.Struct, array_like=True):
    """The segments of a store, oldest first: (number, length), with length None for the active one."""

    generation: int
    segments: list[tuple[int, int | None]]
    next_seq: int


class Hint(msgspec.Struct, array_like=True):
    """The last operation on each key of a closed segment: (key, offset or -1, size, expiry, inline value)."""

    number: int
    length: int
    last_seq: int
    unix_ms: int
    rows: list[tuple[bytes, int, int, int, bytes | None]]
