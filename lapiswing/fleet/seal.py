"""Sealing of messages between gateways: a MAC made with the first key (any configured key is accepted on
receipt), an addressee, and protection against replay that also holds across restarts of either side and needs
no clock. No I/O.

Each process draws a boot number and a secret at its start. A sender says hello with a nonce and receives a
token, which the addressee derives with its secret from the sender's identity and boot number. A message is
accepted if its token matches and its number `n` is new for this boot. So a message for an earlier process of
the addressee fails by its token, one from an earlier process of the sender by its boot number, which another
has replaced, and a repeated one by its number."""

import hashlib
import hmac
from collections import OrderedDict

import msgspec

from lapiswing.fleet.messages import (
    DECODERS,
    ENVELOPE_DECODER,
    MAX_MESSAGE_BYTES,
    MAX_NAME_LENGTH,
    SUPPORTED_VERSIONS,
    TYPE_NAMES,
    Envelope,
    encode,
)

MAC_BYTES = 16
REPLAY_WINDOW = 256  # how far below the largest number a late message is still accepted
MAX_SENDERS = 2000  # whose numbers are remembered
MAX_PAST_BOOTS = 64  # remembered for one sender


class Refused(Exception):
    """A message was rejected. `why`: size, mac, form, version, address, token, replay."""

    def __init__(self, why, envelope=None):
        super().__init__(why)
        self.why, self.envelope = why, envelope


class ReplayState:
    """The message numbers received from one sender's present boot, and the earlier boots of this sender."""

    __slots__ = ("boot", "max_number", "seen_bits", "past_boots")

    def __init__(self, boot):
        self.boot, self.max_number, self.seen_bits, self.past_boots = boot, 0, 0, OrderedDict()


class Seal:
    """Seals outgoing messages of one identity, and verifies and opens incoming ones."""

    def __init__(self, keys, identity, address, boot, secret):
        """`keys`: bytes, the first signs. `boot`: a number of 63 bits and `secret`: bytes, both drawn anew at
        each start."""
        self.keys, self.identity, self.address, self.boot, self.secret = keys, identity, address, boot, secret
        # tokens: addressee -> the token that it issued to this process
        self.numbers, self.tokens, self.senders = {}, {}, OrderedDict()

    def mac(self, key, data):
        return hashlib.blake2b(data, key=key[:64], digest_size=MAC_BYTES).digest()

    def token_for(self, identity, boot):
        return hashlib.blake2b(f"{boot}/{identity}".encode(), key=self.secret[:64], digest_size=8).digest()

    def seal(self, to, message):
        """-> bytes. A message other than hello, welcome or stale needs a token of the addressee in `tokens`."""
        n = self.numbers[to] = self.numbers.get(to, 0) + 1
        body = encode(
            Envelope(
                TYPE_NAMES[type(message)],
                self.identity,
                self.boot,
                self.address,
                n,
                msgspec.Raw(encode(message)),
                to,
                self.tokens.get(to, b""),
            )
        )
        return self.mac(self.keys[0], body) + body

    def open(self, data):
        """-> (Envelope, message). Raises Refused."""
        if not MAC_BYTES < len(data) <= MAX_MESSAGE_BYTES:
            raise Refused("size")
        mac, body = data[:MAC_BYTES], data[MAC_BYTES:]
        if not any(hmac.compare_digest(self.mac(key, body), mac) for key in self.keys):
            raise Refused("mac")
        try:
            envelope = ENVELOPE_DECODER.decode(body)
        except (msgspec.MsgspecError, ValueError):
            raise Refused("form") from None
        lowest, highest = envelope.spoken
        if lowest > SUPPORTED_VERSIONS[1] or highest < SUPPORTED_VERSIONS[0]:
            raise Refused("version", envelope)
        if not envelope.sender or max(len(envelope.sender), len(envelope.address)) > MAX_NAME_LENGTH:
            raise Refused("form")
        if envelope.sender == self.identity or envelope.to not in (self.identity, ""):
            raise Refused("address", envelope)
        kind = envelope.kind
        if kind not in DECODERS:
            raise Refused("version", envelope)  # a message type of a later version; the sender gets no reply
        if not envelope.to and kind != "hello":
            raise Refused("address", envelope)
        if kind not in ("hello", "welcome", "stale"):
            if not hmac.compare_digest(envelope.token, self.token_for(envelope.sender, envelope.boot)):
                raise Refused("token", envelope)
            self.check_number(envelope)
        try:
            return envelope, DECODERS[kind].decode(envelope.body)
        except (msgspec.MsgspecError, ValueError):
            raise Refused("form", envelope) from None

    def check_number(self, envelope):
        """Raises Refused where the message is a repeat, too old to tell, or of an earlier boot."""
        state = self.senders.get(envelope.sender)
        if state is None:
            state = self.senders[envelope.sender] = ReplayState(envelope.boot)
        self.senders.move_to_end(envelope.sender)
        while len(self.senders) > MAX_SENDERS:
            self.senders.popitem(last=False)
        if state.boot != envelope.boot:
            if envelope.boot in state.past_boots:
                raise Refused("replay", envelope)  # from a process that a later one has replaced
            state.past_boots[state.boot] = True
            while len(state.past_boots) > MAX_PAST_BOOTS:
                state.past_boots.popitem(last=False)
            state.boot, state.max_number, state.seen_bits = envelope.boot, 0, 0
        n = envelope.n
        if n > state.max_number:
            ahead = n - state.max_number
            state.seen_bits = (state.seen_bits << ahead | 1) & (1 << REPLAY_WINDOW) - 1 if ahead < REPLAY_WINDOW else 1
            state.max_number = n
            return
        behind = state.max_number - n
        if behind >= REPLAY_WINDOW or n < 1 or state.seen_bits >> behind & 1:
            raise Refused("replay", envelope)
        state.seen_bits |= 1 << behind
