"""What copies say to each other: msgpack maps, so that a copy of another version finds the fields that it
knows. Of members and rows the very bytes are kept and passed on, with fields that this copy does not know.

SPOKEN is the range of versions that this program speaks; a message is taken where the ranges of both sides
meet."""

import msgspec

SPOKEN = (1, 1)
MOST = 60_000  # bytes of one message, sealed
MOST_NAME, MOST_KEY, MOST_VALUE = 80, 120, 8192  # bytes of a member's id or address, a row's key, its value


class Envelope(msgspec.Struct, omit_defaults=True):
    """`sender`, `boot`: the identity that speaks and its present process. `to`: the identity addressed, empty
    in a hello. `token`: what the addressee's process gave this boot. `n`: grows with each message of a boot
    to one addressee."""

    kind: str
    sender: str
    boot: int
    address: str
    n: int
    body: msgspec.Raw
    to: str = ""
    token: bytes = b""
    spoken: tuple[int, int] = SPOKEN


class Hello(msgspec.Struct):
    """Asks for a token; `nonce` comes back in the welcome."""

    nonce: int


class Welcome(msgspec.Struct):
    nonce: int
    token: bytes


class Stale(msgspec.Struct):
    """A message was not taken, as its token is not this process's: `n` says which."""

    n: int


class Member(msgspec.Struct, omit_defaults=True):
    """What is told of a member. `by`: who suspects it."""

    id: str
    address: str
    incarnation: int
    state: str
    zone: str = ""
    by: str = ""


class Row(msgspec.Struct):
    """`writer` is the one identity that may write it. A value of None: it was taken out."""

    writer: str
    key: str
    version: int
    value: bytes | None


class Ping(msgspec.Struct, omit_defaults=True):
    seq: int
    news: list[msgspec.Raw] = []
    rows: list[msgspec.Raw] = []


class Ack(msgspec.Struct, omit_defaults=True):
    seq: int
    news: list[msgspec.Raw] = []
    rows: list[msgspec.Raw] = []


class Ask(msgspec.Struct, omit_defaults=True):
    """Probe `target` for me."""

    seq: int
    target: str
    news: list[msgspec.Raw] = []
    rows: list[msgspec.Raw] = []


class Nack(msgspec.Struct):
    """The probe that was asked for has not been answered; I was there to say so."""

    seq: int


class Tell(msgspec.Struct, omit_defaults=True):
    """Changes, as soon as they are known."""

    news: list[msgspec.Raw] = []
    rows: list[msgspec.Raw] = []


class Compare(msgspec.Struct):
    """Digests of all members, and of rows by bucket."""

    members: int
    buckets: list[int]


class Versions(msgspec.Struct, omit_defaults=True):
    """The rows of some buckets: [writer, key, version]. `ask`: send me what is newer at yours, and your
    versions."""

    buckets: list[int]
    have: list[tuple[str, str, int]]
    ask: bool = True


class Everyone(msgspec.Struct, omit_defaults=True):
    """All members that are known, in parts. `ask`: tell me yours."""

    news: list[msgspec.Raw]
    ask: bool = False


class Whose(msgspec.Struct):
    """What did I write, as far as you know?"""


class Yours(msgspec.Struct, omit_defaults=True):
    """The latest version of the asker's rows that is known here, 0 for none. `sure`: this copy has heard a
    majority itself since its start, so it knows what it knew before."""

    version: int
    sure: bool = True


KINDS = {
    kind.__name__.lower(): kind
    for kind in (Hello, Welcome, Stale, Ping, Ack, Ask, Nack, Tell, Compare, Versions, Everyone, Whose, Yours)
}
NAMES = {kind: name for name, kind in KINDS.items()}
READ = {name: msgspec.msgpack.Decoder(kind) for name, kind in KINDS.items()}
ENVELOPE = msgspec.msgpack.Decoder(Envelope)
MEMBER, ROW = msgspec.msgpack.Decoder(Member), msgspec.msgpack.Decoder(Row)
WRITE = msgspec.msgpack.Encoder()


def packed(value):
    return WRITE.encode(value)
