"""Frames and manifests of the transfer protocol, version 1 (docs/transfer.md). No I/O.

A frame is a header of 20 bytes and a body:
    magic 'LT', type u8, flags u8, transfer u32, length u32, check u32, header check u32     (big endian)
`check` is xxh32 of the body, or 0 in a DATA frame, whose bytes are verified against the manifest. `header check` is xxh32 of the
preceding 16 bytes. After a frame with a wrong header or checksum the position in the stream is unknown, so the connection is
closed."""

import hashlib
import hmac
import struct

import msgspec
import xxhash

VERSION = 1
HEADER = struct.Struct(">2sBBIIII")
INDEX = struct.Struct(">I")
MAGIC = b"LT"
HELLO, AUTH, OPEN, MANIFEST, WANT, DATA, CANCEL, ERROR, DONE, PROGRESS, LIST, STATES = range(1, 13)
TYPE_NAMES = {
    1: "HELLO",
    2: "AUTH",
    3: "OPEN",
    4: "MANIFEST",
    5: "WANT",
    6: "DATA",
    7: "CANCEL",
    8: "ERROR",
    9: "DONE",
    10: "PROGRESS",
    11: "LIST",
    12: "STATES",
}
MAX_CONTROL_BYTES = 16 << 20  # a manifest of 2 million chunks
MAX_CHUNK_BYTES = 4 << 20
MAX_STATE_BYTES = 1 << 40


class BadFrame(Exception):
    """The peer has sent an invalid or damaged frame. The connection is closed; verified chunks are kept."""


class Manifest(msgspec.Struct, array_like=True, frozen=True):
    """Describes a state. `chunk`: chunk size in bytes; `sums`: xxh3_64 of each chunk, 8 bytes each, big endian; `root`: xxh3_128
    over length, chunk size and sums."""

    name: str
    length: int
    chunk: int
    sums: bytes
    root: bytes

    def count(self):
        """Number of chunks."""
        return -(-self.length // self.chunk)

    def span(self, index):
        """(offset, size) of a chunk."""
        offset = index * self.chunk
        return offset, min(self.chunk, self.length - offset)

    def checksum_of(self, index):
        """Expected checksum of a chunk."""
        return self.sums[8 * index : 8 * index + 8]

    def check(self):
        """Returns itself; raises BadFrame if the fields are inconsistent."""
        if not (0 < self.chunk <= MAX_CHUNK_BYTES and 0 < self.length <= MAX_STATE_BYTES):
            raise BadFrame(f"manifest: length {self.length}, chunk {self.chunk}")
        if len(self.sums) != 8 * self.count():
            raise BadFrame("manifest: length and number of checksums differ")
        if self.root != root_of(self.length, self.chunk, self.sums):
            raise BadFrame("manifest: wrong root")
        return self


def root_of(length, chunk, sums):
    """Checksum that identifies a state."""
    return xxhash.xxh3_128_digest(struct.pack(">QI", length, chunk) + sums)


def checksum_of(data):
    """Checksum of a chunk's bytes."""
    return xxhash.xxh3_64_digest(data)


def manifest_of(name, memory, chunk):
    """The manifest of a state in memory."""
    view = memoryview(memory)
    sums = b"".join(checksum_of(view[offset : offset + chunk]) for offset in range(0, len(view), chunk))
    return Manifest(name, len(view), chunk, sums, root_of(len(view), chunk, sums))


def encode_control(kind, transfer, value):
    """A frame of any type but DATA."""
    body = msgspec.msgpack.encode(value)
    return encode_header(kind, transfer, len(body), xxhash.xxh32_intdigest(body)) + body


def encode_header(kind, transfer, length, check=0):
    """The header of a frame."""
    header = HEADER.pack(MAGIC, kind, 0, transfer, length, check, 0)[:16]
    return header + struct.pack(">I", xxhash.xxh32_intdigest(header))


def encode_data_header(transfer, index, size):
    """Header and chunk index of a DATA frame; the chunk's bytes follow."""
    return encode_header(DATA, transfer, size + INDEX.size) + INDEX.pack(index)


def read_header(data):
    """Decodes a header of 20 bytes. Returns (kind, transfer, length, check). Raises BadFrame."""
    magic, kind, _flags, transfer, length, check, header_check = HEADER.unpack(data)
    if magic != MAGIC or xxhash.xxh32_intdigest(data[:16]) != header_check:
        raise BadFrame("damaged header")
    if kind not in TYPE_NAMES:
        raise BadFrame(f"unknown type {kind}")
    if length > (MAX_CHUNK_BYTES + INDEX.size if kind == DATA else MAX_CONTROL_BYTES) or kind == DATA and length <= INDEX.size:
        raise BadFrame(f"{TYPE_NAMES[kind]} of {length} bytes")
    return kind, transfer, length, check


def read_control(body, check, body_type):
    """Checks and decodes the body of a control frame. Raises BadFrame."""
    if xxhash.xxh32_intdigest(body) != check:
        raise BadFrame("damaged body")
    try:
        return msgspec.msgpack.decode(body, type=body_type)
    except (msgspec.DecodeError, ValueError) as problem:
        raise BadFrame(f"malformed body: {problem}") from None


class Hello(msgspec.Struct, array_like=True):
    """First frame of both sides. `nonce`: 16 random bytes."""

    version: int
    agent: str
    features: list[str]
    nonce: bytes


class Auth(msgspec.Struct, array_like=True):
    """HMAC-SHA256 over role, both nonces and both agent names, with a key of the fleet; see `make_mac`."""

    mac: bytes


class Open(msgspec.Struct, array_like=True):
    """The receiver requests a state. `root`: of the state of which it already has chunks, else None; `priority`: lower goes
    first."""

    name: str
    root: bytes | None
    priority: int


class Want(msgspec.Struct, array_like=True):
    """Requests chunks [first, last) of each pair, to be sent in this order, and allows `credit` more chunks to be sent."""

    ranges: list[tuple[int, int]]
    credit: int


class Error(msgspec.Struct, array_like=True):
    """`fault`: 'sender', 'receiver' or 'path'. Codes: unknown, gone, refused, bad_frame, busy."""

    code: str
    fault: str
    text: str


class Done(msgspec.Struct, array_like=True):
    """From the receiver: it has the complete, verified state. It is repeated, also on other connections, until it is
    answered or given up.
    From the sender: the acknowledgement."""

    name: str


class Empty(msgspec.Struct, array_like=True):
    """Empty body of CANCEL and LIST."""


class Progress(msgspec.Struct, array_like=True):
    """Number of chunks that the receiver has verified, sent a few times during a transfer. Feature `progress`."""

    chunks: int


class States(msgspec.Struct, array_like=True):
    """Answer to LIST, feature `list`: (name, length, root) of at most MAX_LISTED_STATES states; `total`: number of all states."""

    total: int
    states: list[tuple[str, int, bytes]]


MAX_LISTED_STATES = 10000
BODY_TYPES = {
    HELLO: Hello,
    AUTH: Auth,
    OPEN: Open,
    MANIFEST: Manifest,
    WANT: Want,
    CANCEL: Empty,
    ERROR: Error,
    DONE: Done,
    PROGRESS: Progress,
    LIST: Empty,
    STATES: States,
}


def make_mac(key, role, mine, theirs):
    """Authentication code of one side. `mine`, `theirs`: the Hello of both sides."""
    text = b"|".join([role.encode(), mine.nonce, theirs.nonce, mine.agent.encode(), theirs.agent.encode()])
    return hmac.new(key, text, hashlib.sha256).digest()


def mac_matches(keys, got, role, mine, theirs):
    """Whether the code was made with any of the accepted keys. All keys are tried, so that the time does not depend on which
    fits."""
    return any([hmac.compare_digest(make_mac(key, role, mine, theirs), got) for key in keys])
