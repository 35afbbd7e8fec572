"""Maps responses and transport failures of model servers to the router's outcome codes. Pure functions; docs/boxes.md has
the same table.

The codes are those of the router's interface: done, read, error, full, timed_out, unreachable, reset, cancelled. `full` and
`unreachable` state that the attempt never ran, so they are used only where the server or the transport proves it. In all
other cases the attempt may have run: a lost response can't be told from work that never began."""

# Header by which a server states that it refused the request. A 429 or 503 without it, such as one from a proxy or a crash,
# proves nothing.
REFUSAL = b"x-refusal"
REFUSALS = {b"full", b"draining", b"no-state", b"no-path"}
# Statuses by which a server finds the call itself at fault. Any server would respond so, hence they go to the client.
ABOUT_THE_CALL = {400, 404, 405, 413, 415, 422}


def of_failure(stage):
    """Returns the outcome code for the stage in which the transport failed (see http1.ClientExchange)."""
    return {
        "local": "moot",  # nothing was sent: the gateway had no descriptor left
        "no route": "no_way",  # nothing was sent: this machine could open no connection to the server
        "connect": "unreachable",  # nothing was sent: the server could not be connected to
        "unsent": "unreachable",  # a server must not begin before it has the whole body (docs/boxes.md)
        "sent": "reset",  # the whole request was sent and no byte of the response came
        "head": "reset",  # the response head was incomplete or malformed
        "body": "reset",  # the response body broke off
    }[stage]


def of_status(status, refusal):
    """Returns (code, remark) for a response's status and refusal header. The code 'answered' marks a response that is passed
    to the client."""
    if status == 200:
        return "ok", None
    if status in (429, 503) and refusal in REFUSALS:
        return "full", 1 if refusal == b"no-state" else 0
    if status in ABOUT_THE_CALL:
        return "answered", None
    return "error", None


def report_of(value):
    """Parses a load report: `x-load: inflight=7, queue=3, x0=0.4` gives {'inflight': 7.0, ...}. Returns None where it is
    missing, too long or holds no number."""
    if not value or len(value) > 512:
        return None
    report = {}
    for item in value.decode("latin-1").split(","):
        name, _, number = item.partition("=")
        try:
            report[name.strip()] = float(number)
        except ValueError:
            continue
    return report or None
