"""The records of what a gateway remembers, and which of them still apply at a start. Pure.

    k/KEY   an idempotency key and the state of its call
    d/BOX   an operator drains this model server
    c/NAME  a cap on a tenant
    l/      what the router has learned, for the next process

What has to be on the disk before what:
    the intent of a call with a key      before its first attempt that may run an effect
    its outcome                          before nothing: without it the intent stands and the call is in doubt. A client may
                                         then lose an answer that was already given, but the call never runs twice
    an operator's drain or cap           before the operator is told that it is done"""

from typing import NamedTuple

import msgspec

from lapiswing.admission.repeats import DOUBT_WINDOWS

RUNNING, DONE, DOUBT = 0, 1, 2


class KeyRecord(msgspec.Struct, array_like=True):
    """The stored state of one idempotency key."""

    state: int
    fingerprint: bytes
    window_ms: int
    wide: str  # see Repeats.look_up
    sent_unix_ms: int  # when it was recorded, which is before it was sent: servers are assumed to remember it from then on
    answer: list[bytes] | None = None  # the events of a stream, as they were sent


class CapRecord(msgspec.Struct, array_like=True):
    """A stored cap on a tenant."""

    rps: float
    until_unix_ms: int


LEARNED_STATE_KEY = b"l/"
LEARNED_STATE_FORM = 1  # version of the record; one of another version is ignored


class LearnedStateRecord(msgspec.Struct, array_like=True):
    """What a router had learned at one moment."""

    form: int
    saved_unix_ms: int
    figures: dict[str, list]


class Restored(NamedTuple):
    """Everything that was read from the store at a start."""

    keys: list  # (key, state, fingerprint, window_us, wide, sent unix ms, ends unix ms, answer)
    drains: list
    caps: list  # (tenant, rps, until unix ms)
    unreadable: int
    learnt: LearnedStateRecord | None = None
    learnt_why: str = "no record"  # why there is none


def learned_state(figures, unix_ms):
    """-> the record's bytes."""
    return msgspec.msgpack.encode(LearnedStateRecord(LEARNED_STATE_FORM, unix_ms, figures))


def key_name(key):
    return b"k/" + key.encode()


def intent(entry, sent_unix_ms, unix_ms):
    """-> (the record's bytes, until when it is kept): until the longest possible doubt is over, since the call may be sent at
    the last moment."""
    window_ms = entry.window_us // 1000
    return msgspec.msgpack.encode(KeyRecord(RUNNING, entry.fingerprint, window_ms, entry.wide, sent_unix_ms)), unix_ms + (
        DOUBT_WINDOWS + 2
    ) * window_ms + 60_000


def outcome(entry, state, sent_unix_ms, unix_ms, answer):
    """-> (the record's bytes, until when it is kept)."""
    window_ms = entry.window_us // 1000
    expires_ms = unix_ms + max(1, window_ms) if state == DONE else sent_unix_ms + DOUBT_WINDOWS * window_ms
    return msgspec.msgpack.encode(KeyRecord(state, entry.fingerprint, window_ms, entry.wide, sent_unix_ms, answer)), expires_ms


def restore(rows, now_unix_ms):
    """Rows of the store as (key, value, expires) -> Restored. Expired records are left out; those that can't be read are
    counted, never guessed."""
    keys, drains, caps, unreadable, learned, why = [], [], [], 0, None, "no record"
    for name, value, expires_ms in rows:
        kind, rest = name[:2], name[2:]
        try:
            if kind == b"k/":
                record = msgspec.msgpack.decode(value, type=KeyRecord)
                if 0 < expires_ms <= now_unix_ms:
                    continue
                # A call that was running when the gateway stopped may have had its effect.
                state = DOUBT if record.state == RUNNING else record.state
                keys.append(
                    (
                        rest.decode(),
                        state,
                        record.fingerprint,
                        record.window_ms * 1000,
                        record.wide,
                        record.sent_unix_ms,
                        expires_ms,
                        record.answer,
                    )
                )
            elif kind == b"d/":
                drains.append(rest.decode())
            elif kind == b"c/":
                record = msgspec.msgpack.decode(value, type=CapRecord)
                if record.until_unix_ms > now_unix_ms:
                    caps.append((rest.decode(), record.rps, record.until_unix_ms))
            elif kind == LEARNED_STATE_KEY:
                why = "damaged"
                form = msgspec.msgpack.decode(value)[0]
                if form != LEARNED_STATE_FORM:
                    why = f"of version {form}, not {LEARNED_STATE_FORM}"
                    continue
                learned = msgspec.msgpack.decode(value, type=LearnedStateRecord)
        except (msgspec.DecodeError, ValueError, TypeError, LookupError):
            unreadable += 1
    return Restored(keys, drains, caps, unreadable, learned, why)
