"""The messages that gateways exchange: msgpack maps, so that a gateway of another version finds the fields that
it knows. Members and rows are stored and forwarded as the original bytes, including fields that this version
does not know.

SUPPORTED_VERSIONS is the range of protocol versions that this program speaks; a message is accepted where the
ranges of both sides overlap."""

import msgspec

SUPPORTED_VERSIONS = (1, 1)
MAX_MESSAGE_BYTES = 60_000  # sealed
# Of a member's id or address in characters; of a row's key and of its value in bytes.
MAX_NAME_LENGTH, MAX_KEY_BYTES, MAX_VALUE_BYTES = 80, 120, 8192


class Envelope(msgspec.Struct, omit_defaults=True):
    """The outer message. `sender`, `boot`: the sending identity and the boot number of its process. `to`: the
    identity addressed, empty in a hello. `token`: issued by the addressee's process for this boot. `n`: grows
    with each message of a boot to one addressee. `spoken`: the protocol versions that the sender supports."""

    kind: str
    sender: str
    boot: int
    address: str
    n: int
    body: msgspec.Raw
    to: str = ""
    token: bytes = b""
    spoken: tuple[int, int] = SUPPORTED_VERSIONS


class Hello(msgspec.Struct):
    """Requests a token; `nonce` is returned in the welcome."""

    nonce: int


class Welcome(msgspec.Struct):
    """Answers a hello with a token."""

    nonce: int
    token: bytes


class Stale(msgspec.Struct):
    """Message number `n` was rejected because its token was not issued by this process."""

    n: int


class Member(msgspec.Struct, omit_defaults=True):
    """An update on a member. `by`: the identity that suspects it."""

    id: str
    address: str
    incarnation: int
    state: str
    zone: str = ""
    by: str = ""


class Row(msgspec.Struct):
    """A replicated row. `writer` is the only identity that may write it. A value of None: the row was deleted."""

    writer: str
    key: str
    version: int
    value: bytes | None


class Ping(msgspec.Struct, omit_defaults=True):
    """A probe."""

    seq: int
    news: list[msgspec.Raw] = []
    rows: list[msgspec.Raw] = []


class Ack(msgspec.Struct, omit_defaults=True):
    """Answers a probe."""

    seq: int
    news: list[msgspec.Raw] = []
    rows: list[msgspec.Raw] = []


class Ask(msgspec.Struct, omit_defaults=True):
    """Requests an indirect probe of `target`."""

    seq: int
    target: str
    news: list[msgspec.Raw] = []
    rows: list[msgspec.Raw] = []


class Nack(msgspec.Struct):
    """The requested indirect probe has not been answered; shows that the indirect prober itself is reachable."""

    seq: int


class Tell(msgspec.Struct, omit_defaults=True):
    """Updates of members and rows, sent as soon as they are known."""

    news: list[msgspec.Raw] = []
    rows: list[msgspec.Raw] = []


class Compare(msgspec.Struct):
    """Digests of all members, and of rows by bucket."""

    members: int
    buckets: list[int]


class Versions(msgspec.Struct, omit_defaults=True):
    """The rows of some buckets as (writer, key, version). `ask`: the receiver replies with its newer rows and
    with its own versions."""

    buckets: list[int]
    have: list[tuple[str, str, int]]
    ask: bool = True


class Everyone(msgspec.Struct, omit_defaults=True):
    """All known members, split over several messages. `ask`: the receiver replies with all that it knows."""

    news: list[msgspec.Raw]
    ask: bool = False


class Whose(msgspec.Struct):
    """Asks for the latest version of the sender's rows that the receiver knows."""


class Yours(msgspec.Struct, omit_defaults=True):
    """The latest known version of the asker's rows, 0 for none. `sure`: the replying gateway has itself had
    replies from a majority since its start, so it knows at least what it knew before."""

    version: int
    sure: bool = True


MESSAGE_TYPES = {
    kind.__name__.lower(): kind
    for kind in (Hello, Welcome, Stale, Ping, Ack, Ask, Nack, Tell, Compare, Versions, Everyone, Whose, Yours)
}
TYPE_NAMES = {kind: name for name, kind in MESSAGE_TYPES.items()}
DECODERS = {name: msgspec.msgpack.Decoder(kind) for name, kind in MESSAGE_TYPES.items()}
ENVELOPE_DECODER = msgspec.msgpack.Decoder(Envelope)
MEMBER_DECODER, ROW_DECODER = msgspec.msgpack.Decoder(Member), msgspec.msgpack.Decoder(Row)
ENCODER = msgspec.msgpack.Encoder()


def encode(value):
    """-> a message, member or row as msgpack."""
    return ENCODER.encode(value)
