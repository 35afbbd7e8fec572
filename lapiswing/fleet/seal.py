"""Messages between copies, sealed: a MAC by the first key, all accepted on the way in; an addressee; and no
message taken twice, across restarts of either side too, without a clock. Pure.

Each process has a boot number, drawn at its start, and a secret. A sender says hello with a nonce and gets a
token: what the addressee's secret makes of the sender's identity and boot. A message is taken if its token is
that, and if its number `n` is new for this boot. So a message to an earlier process of the addressee has no
token that is good, one of an earlier process of the sender is of a boot that was followed by another, and one
that was taken is known by its number."""

import hashlib
import hmac
from collections import OrderedDict

import msgspec

from lapiswing.fleet.messages import ENVELOPE, MOST, MOST_NAME, NAMES, READ, SPOKEN, Envelope, packed

MAC = 16
WINDOW = 256  # numbers below the largest that may still come
MOST_SENDERS = 2000  # of which numbers are remembered
MOST_BOOTS = 64  # earlier boots of one sender


class Refused(Exception):
    """`why`: size, mac, form, version, address, token, replay."""

    def __init__(self, why, envelope=None):
        super().__init__(why)
        self.why, self.envelope = why, envelope


class Heard:
    """What one sender's present boot has sent."""

    __slots__ = ("boot", "most", "seen", "past")

    def __init__(self, boot):
        self.boot, self.most, self.seen, self.past = boot, 0, 0, OrderedDict()


class Seal:
    def __init__(self, keys, identity, address, boot, secret):
        """`keys`: bytes, the first signs. `boot`: a number of 63 bits and `secret`: bytes, both drawn anew at
        each start."""
        self.keys, self.identity, self.address, self.boot, self.secret = keys, identity, address, boot, secret
        self.numbers, self.tokens, self.heard = {}, {}, OrderedDict()

    def mac(self, key, data):
        return hashlib.blake2b(data, key=key[:64], digest_size=MAC).digest()

    def token_for(self, identity, boot):
        return hashlib.blake2b(f"{boot}/{identity}".encode(), key=self.secret[:64], digest_size=8).digest()

    def seal(self, to, message):
        """-> bytes. A message other than hello, welcome or stale wants a token: see `tokens`."""
        n = self.numbers[to] = self.numbers.get(to, 0) + 1
        body = packed(
            Envelope(
                NAMES[type(message)],
                self.identity,
                self.boot,
                self.address,
                n,
                msgspec.Raw(packed(message)),
                to,
                self.tokens.get(to, b""),
            )
        )
        return self.mac(self.keys[0], body) + body

    def open(self, data):
        """-> (Envelope, message). Raises Refused."""
        if not MAC < len(data) <= MOST:
            raise Refused("size")
        mac, body = data[:MAC], data[MAC:]
        if not any(hmac.compare_digest(self.mac(key, body), mac) for key in self.keys):
            raise Refused("mac")
        try:
            envelope = ENVELOPE.decode(body)
        except (msgspec.MsgspecError, ValueError):
            raise Refused("form") from None
        lo, hi = envelope.spoken
        if lo > SPOKEN[1] or hi < SPOKEN[0]:
            raise Refused("version", envelope)
        if not envelope.sender or max(len(envelope.sender), len(envelope.address)) > MOST_NAME:
            raise Refused("form")
        if envelope.sender == self.identity or envelope.to not in (self.identity, ""):
            raise Refused("address", envelope)
        kind = envelope.kind
        if kind not in READ:
            raise Refused("version", envelope)  # of a later one; it is told so by silence
        if not envelope.to and kind != "hello":
            raise Refused("address", envelope)
        if kind not in ("hello", "welcome", "stale"):
            if not hmac.compare_digest(envelope.token, self.token_for(envelope.sender, envelope.boot)):
                raise Refused("token", envelope)
            self.check_number(envelope)
        try:
            return envelope, READ[kind].decode(envelope.body)
        except (msgspec.MsgspecError, ValueError):
            raise Refused("form", envelope) from None

    def check_number(self, envelope):
        heard = self.heard.get(envelope.sender)
        if heard is None:
            heard = self.heard[envelope.sender] = Heard(envelope.boot)
        self.heard.move_to_end(envelope.sender)
        while len(self.heard) > MOST_SENDERS:
            self.heard.popitem(last=False)
        if heard.boot != envelope.boot:
            if envelope.boot in heard.past:
                raise Refused("replay", envelope)  # of a process that another one has followed
            heard.past[heard.boot] = True
            while len(heard.past) > MOST_BOOTS:
                heard.past.popitem(last=False)
            heard.boot, heard.most, heard.seen = envelope.boot, 0, 0
        n = envelope.n
        if n > heard.most:
            on = n - heard.most
            heard.seen = (heard.seen << on | 1) & (1 << WINDOW) - 1 if on < WINDOW else 1
            heard.most = n
            return
        back = heard.most - n
        if back >= WINDOW or n < 1 or heard.seen >> back & 1:
            raise Refused("replay", envelope)
        heard.seen |= 1 << back
