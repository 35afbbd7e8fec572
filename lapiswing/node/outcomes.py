"""Translates a model server's answers and transport failures to the router's outcome codes. Pure functions.

Only a marked refusal, a connection that was never established and a request that was not written completely prove that an
attempt did not run; after anything else it may have."""

from math import isfinite

from lapiswing.translation import report

# The server rejected the request itself. Any other server would do the same, so its answer goes to the client.
REQUEST_ERROR_STATUSES = {400, 404, 405, 411, 413, 414, 415, 417, 422, 431}


def of_status(status, declined):
    """-> (code, remark); `stream` and `read` are only confirmed by a valid body."""
    if status == 200:
        return "stream", None
    if status == 202:
        return "read", None
    if declined and status in (503, 504):
        return "full", 0
    if declined and status == 410:
        return "full", 1
    return ("answered" if status in REQUEST_ERROR_STATUSES else "error"), None


def of_failure(stage):
    """A transport stage (see http1.ClientExchange) -> outcome code."""
    if stage == "local":
        return "moot"  # nothing was sent, for a reason on this side
    if stage == "no route":
        return "no_way"  # nothing was sent and the server is not to blame; others may be reachable
    return "unreachable" if stage in ("connect", "unsent") else "reset"


def parse_load(value, names):
    """`TEXT inflight=7, queue=2` -> a load report under the router's names; None if any item can't be read."""
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
