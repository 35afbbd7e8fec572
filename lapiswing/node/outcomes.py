"""What comes back from a model server, in the module's codes. Pure.

Only a refusal with its mark, a connection that never was and a request that was not wholly written prove that a
forward did not run; everything else may have."""

from math import isfinite

from lapiswing.translation import report

# The server found the request itself wrong; another one would say the same, so it is the client's answer.
ABOUT_THE_REQ = {400, 404, 405, 411, 413, 414, 415, 417, 422, 431}


def of_status(status, declined):
    """-> (code, remark); `stream` and `read` still have to be borne out by the body."""
    if status == 200:
        return "stream", None
    if status == 202:
        return "read", None
    if declined and status in (503, 504):
        return "full", 0
    if declined and status == 410:
        return "full", 1
    return ("answered" if status in ABOUT_THE_REQ else "error"), None


def of_failure(stage):
    """A transport's stage (see http1.ClientExchange) -> code."""
    if stage == "local":
        return "moot"  # nothing was sent, for a reason of our own
    if stage == "no route":
        return "no_way"  # nothing was sent, and nobody is to blame: another server may be reached
    return "unreachable" if stage in ("connect", "unsent") else "reset"


def load_of(value, names):
    """`TEXT inflight=7, queue=2` -> a report in the module's words; None where any of it can't be read."""
    if not value or len(value) > 512:
        return None
    text = value.decode("latin-1").strip()
    if text.startswith("TEXT "):
        text = text[5:]
    out = {}
    for item in text.split(","):
        name, _, number = item.partition("=")
        try:
            figure = float(number)
        except ValueError:
            return None
        if not isfinite(figure) or figure < 0:
            return None
        if name.strip() in names:
            out[name.strip()] = figure
    return report(out)
