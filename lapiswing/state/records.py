"""What is remembered, as records, and what is believed of them at a start. Pure.

    k/KEY   an idempotency key: what became of its call
    d/BOX   an operator drains this box
    c/NAME  a cap on a tenant
    l/      what the decisions learnt of the boxes, for the next life

What must be on the disk before what:
    the intent of a call with a key      before the first forward of it that may run an effect
    its outcome                          not before anything: without it the intent stands, and the call is in doubt, which may
                                         cost a client an answer that was already given, but never a second run
    an operator's drain or cap           before the operator is told that it is done"""

from typing import NamedTuple

import msgspec

from lapiswing.admission.repeats import DOUBT_WINDOWS

RUNNING, DONE, DOUBT = 0, 1, 2


class KeyRecord(msgspec.Struct, array_like=True):
    state: int
    fingerprint: bytes
    window_ms: int
    wide: str
    sent_unix_ms: int  # when it was put down, which is before it was sent: for how long boxes remember it is counted from here
    answer: list[bytes] | None = None  # the events of a stream, as they were sent


class CapRecord(msgspec.Struct, array_like=True):
    rps: float
    until_unix_ms: int


LEARNT = b"l/"
LEARNT_FORM = 1  # of the record; one of another form is outdated


class LearntRecord(msgspec.Struct, array_like=True):
    form: int
    saved_unix_ms: int
    figures: dict[str, list]


class Restored(NamedTuple):
    keys: list  # (key, state, fingerprint, window_us, wide, sent unix ms, ends unix ms, answer)
    drains: list
    caps: list  # (tenant, rps, until unix ms)
    unreadable: int
    learnt: LearntRecord | None = None
    learnt_why: str = "no record"  # why there is none


def learnt(figures, unix_ms):
    return msgspec.msgpack.encode(LearntRecord(LEARNT_FORM, unix_ms, figures))


def key_name(key):
    return b"k/" + key.encode()


def intent(entry, sent_unix_ms, unix_ms):
    """-> (record's bytes, until when it is kept). Until the longest doubt is over: it may be sent at the last moment."""
    window = entry.window_us // 1000
    return msgspec.msgpack.encode(KeyRecord(RUNNING, entry.print, window, entry.wide, sent_unix_ms)), unix_ms + (
        DOUBT_WINDOWS + 2
    ) * window + 60_000


def outcome(entry, state, sent_unix_ms, unix_ms, answer):
    window = entry.window_us // 1000
    ends = unix_ms + max(1, window) if state == DONE else sent_unix_ms + DOUBT_WINDOWS * window
    return msgspec.msgpack.encode(KeyRecord(state, entry.print, window, entry.wide, sent_unix_ms, answer)), ends


def restore(rows, now_unix_ms):
    """(key, value, expires) of the store -> Restored. What is over is left out; what can't be read is counted, never guessed."""
    keys, drains, caps, bad, figures, why = [], [], [], 0, None, "no record"
    for name, value, expires in rows:
        kind, rest = name[:2], name[2:]
        try:
            if kind == b"k/":
                r = msgspec.msgpack.decode(value, type=KeyRecord)
                if 0 < expires <= now_unix_ms:
                    continue
                # A call that ran when the gateway went may have had its effect.
                state = DOUBT if r.state == RUNNING else r.state
                keys.append((rest.decode(), state, r.fingerprint, r.window_ms * 1000, r.wide, r.sent_unix_ms, expires, r.answer))
            elif kind == b"d/":
                drains.append(rest.decode())
            elif kind == b"c/":
                r = msgspec.msgpack.decode(value, type=CapRecord)
                if r.until_unix_ms > now_unix_ms:
                    caps.append((rest.decode(), r.rps, r.until_unix_ms))
            elif kind == LEARNT:
                why = "damaged"
                form = msgspec.msgpack.decode(value)[0]
                if form != LEARNT_FORM:
                    why = f"of form {form}, not {LEARNT_FORM}"
                    continue
                figures = msgspec.msgpack.decode(value, type=LearntRecord)
        except (msgspec.DecodeError, ValueError, TypeError, LookupError):
            bad += 1
    return Restored(keys, drains, caps, bad, figures, why)
