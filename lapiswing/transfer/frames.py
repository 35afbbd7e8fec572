"""Frames and manifests of the transfer protocol, version 1 (docs/transfer.md). Pure.

A frame is a header of 20 bytes and a body:
    magic 'LT', type u8, flags u8, transfer u32, length u32, check u32, header check u32     (big endian)
`check` is xxh32 of the body; a DATA frame's is 0, for its bytes are checked against the manifest. `header check` is xxh32 of
the 16 bytes before. After a frame whose header or check is wrong nothing on the connection can be trusted: it ends."""

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
NAMES = {
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
MOST_CONTROL = 16 << 20  # a manifest of 2 million chunks
MOST_CHUNK = 4 << 20
MOST_LENGTH = 1 << 40


class BadFrame(Exception):
    """The peer's bytes are wrong, or came damaged. Ends the connection, never the state."""


class Manifest(msgspec.Struct, array_like=True, frozen=True):
    """What a state consists of. `sums`: xxh3_64 of each chunk, 8 bytes each, big endian. `root`: xxh3_128 over length,
    chunk size and sums."""

    name: str
    length: int
    chunk: int
    sums: bytes
    root: bytes

    def count(self):
        return -(-self.length // self.chunk)

    def span(self, index):
        """-> (offset, size) of a chunk."""
        at = index * self.chunk
        return at, min(self.chunk, self.length - at)

    def sum_of(self, index):
        return self.sums[8 * index : 8 * index + 8]

    def check(self):
        """Raises BadFrame where the parts don't fit together."""
        if not (0 < self.chunk <= MOST_CHUNK and 0 < self.length <= MOST_LENGTH):
            raise BadFrame(f"manifest: length {self.length}, chunk {self.chunk}")
        if len(self.sums) != 8 * self.count():
            raise BadFrame("manifest: length and number of checksums differ")
        if self.root != root_of(self.length, self.chunk, self.sums):
            raise BadFrame("manifest: wrong root")
        return self


def root_of(length, chunk, sums):
    return xxhash.xxh3_128_digest(struct.pack(">QI", length, chunk) + sums)


def sum_of(data):
    return xxhash.xxh3_64_digest(data)


def manifest_of(name, memory, chunk):
    """The manifest of a state in memory."""
    view = memoryview(memory)
    sums = b"".join(sum_of(view[at : at + chunk]) for at in range(0, len(view), chunk))
    return Manifest(name, len(view), chunk, sums, root_of(len(view), chunk, sums))


def control(kind, transfer, value):
    body = msgspec.msgpack.encode(value)
    return header(kind, transfer, len(body), xxhash.xxh32_intdigest(body)) + body


def header(kind, transfer, length, check=0):
    head = HEADER.pack(MAGIC, kind, 0, transfer, length, check, 0)[:16]
    return head + struct.pack(">I", xxhash.xxh32_intdigest(head))


def data_head(transfer, index, size):
    """What stands before a chunk's bytes."""
    return header(DATA, transfer, size + INDEX.size) + INDEX.pack(index)


def read_header(data):
    """20 bytes -> (kind, transfer, length, check). Raises BadFrame."""
    magic, kind, _flags, transfer, length, check, own = HEADER.unpack(data)
    if magic != MAGIC or xxhash.xxh32_intdigest(data[:16]) != own:
        raise BadFrame("damaged header")
    if kind not in NAMES:
        raise BadFrame(f"unknown type {kind}")
    if length > (MOST_CHUNK + INDEX.size if kind == DATA else MOST_CONTROL) or kind == DATA and length <= INDEX.size:
        raise BadFrame(f"{NAMES[kind]} of {length} bytes")
    return kind, transfer, length, check


def read_control(body, check, form):
    """Raises BadFrame."""
    if xxhash.xxh32_intdigest(body) != check:
        raise BadFrame("damaged body")
    try:
        return msgspec.msgpack.decode(body, type=form)
    except (msgspec.DecodeError, ValueError) as problem:
        raise BadFrame(f"malformed body: {problem}") from None


class Hello(msgspec.Struct, array_like=True):
    """Both sides, first. `nonce`: 16 random bytes."""

    version: int
    agent: str
    features: list[str]
    nonce: bytes


class Auth(msgspec.Struct, array_like=True):
    """HMAC-SHA256 with a key of the fleet over role, both nonces and both names."""

    mac: bytes


class Open(msgspec.Struct, array_like=True):
    """The receiver asks for a state; `root` where it has a part of it. `priority`: lower goes first."""

    name: str
    root: bytes | None
    priority: int


class Want(msgspec.Struct, array_like=True):
    """Chunks [first, last) of each pair, to be sent in this order; `credit` more of them may be sent."""

    ranges: list[tuple[int, int]]
    credit: int


class Error(msgspec.Struct, array_like=True):
    """`fault`: 'sender', 'receiver' or 'path'. Codes: unknown, gone, refused, bad_frame, busy."""

    code: str
    fault: str
    text: str


class Done(msgspec.Struct, array_like=True):
    """Receiver: this state is here, verified; may be said on another connection than the one that it came over, as long as
    it is not answered. Sender: heard."""

    name: str


class Nothing(msgspec.Struct, array_like=True):
    """CANCEL and LIST carry nothing."""


class Progress(msgspec.Struct, array_like=True):
    """How many chunks the receiver has verified; told a few times a move. Feature `progress`."""

    chunks: int


class States(msgspec.Struct, array_like=True):
    """The answer to LIST, feature `list`: (name, length, root) of each state served, at most MAX_LISTED_STATES; `total`: all."""

    total: int
    states: list[tuple[str, int, bytes]]


MAX_LISTED_STATES = 10000
FORMS = {
    HELLO: Hello,
    AUTH: Auth,
    OPEN: Open,
    MANIFEST: Manifest,
    WANT: Want,
    CANCEL: Nothing,
    ERROR: Error,
    DONE: Done,
    PROGRESS: Progress,
    LIST: Nothing,
    STATES: States,
}


def mac(key, role, mine, theirs):
    text = b"|".join([role.encode(), mine.nonce, theirs.nonce, mine.agent.encode(), theirs.agent.encode()])
    return hmac.new(key, text, hashlib.sha256).digest()


def mac_fits(keys, got, role, mine, theirs):
    """Whether any of the accepted keys made it; all are tried, in the same time."""
    return any([hmac.compare_digest(mac(k, role, mine, theirs), got) for k in keys])
