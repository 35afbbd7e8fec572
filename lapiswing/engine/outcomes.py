"""How each thing that can come back from a box is told to the decisions. Pure; docs/boxes.md has the same table.

Codes are the module's: done, read, error, full, timed_out, unreachable, reset, cancelled. `full` and `unreachable` prove
that the forward never ran, so they are said only where the box or the transport proves it. Everything else may have
run: an answer that was lost looks just like work that was never begun."""

# A box that refuses says so in this header; a 429 or 503 without it (a proxy's, a crash's) proves nothing.
REFUSAL = b"x-refusal"
REFUSALS = {b"full", b"draining", b"no-state", b"no-path"}
# The box judged the call itself and found it wrong: the same everywhere, so it is the client's answer.
ABOUT_THE_CALL = {400, 404, 405, 413, 415, 422}


def of_failure(stage):
    """A transport's stage (see http1.ClientExchange) -> code."""
    return {
        "local": "moot",  # nothing was sent, for a reason of our own
        "no route": "no_way",  # nothing was sent, as this machine could open no connection to this box
        "connect": "unreachable",  # no connection, so no request
        "unsent": "unreachable",  # a box must not begin before it has the whole body (docs/boxes.md)
        "sent": "reset",  # the request is there, the answer is not
        "head": "reset",  # half a head, or garbage
        "body": "reset",  # the answer broke off
    }[stage]


def of_status(status, refusal):
    """An answer's status and refusal header -> (code, remark), or ('answered', None) for what goes to the client."""
    if status == 200:
        return "ok", None
    if status in (429, 503) and refusal in REFUSALS:
        return "full", 1 if refusal == b"no-state" else 0
    if status in ABOUT_THE_CALL:
        return "answered", None
    return "error", None


def report_of(value):
    """`x-load: inflight=7, queue=3, x0=0.4` -> {'inflight': 7.0, ...}; None where there is none or it can't be read."""
    if not value or len(value) > 512:
        return None
    out = {}
    for item in value.decode("latin-1").split(","):
        name, _, number = item.partition("=")
        try:
            out[name.strip()] = float(number)
        except ValueError:
            continue
    return out or None
