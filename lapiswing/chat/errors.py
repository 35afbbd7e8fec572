"""Error objects, and how the two negative final answers look to a client.

Client libraries try again on their own after 408, 409, 429 and 5xx unless `x-should-retry: false` says no. A pushed-back
req may be tried again and says when; an aborted one promises nothing, so it always says no."""

import orjson

PUSHED_BACK = (503, "overloaded", "The service is too busy for this call. Trying again later does no harm.")
ABORTED = (502, "aborted", "The call failed and may have had an effect. It was not tried again.")


def error_body(message, kind, code=None, param=None):
    return orjson.dumps({"error": {"message": message, "type": kind, "param": param, "code": code}})


def pushed_back(come_back_us):
    """-> status, headers, body. `Retry-After` counts whole seconds, `retry-after-ms` says it more exactly."""
    status, code, text = PUSHED_BACK
    ms = max(0, -(-come_back_us // 1000))
    headers = [(b"retry-after", b"%d" % -(-ms // 1000)), (b"retry-after-ms", b"%d" % ms)]
    return status, headers, error_body(text, "server_error", code)


def aborted(why=None):
    status, code, text = ABORTED
    return status, [(b"x-should-retry", b"false")], error_body(why or text, "server_error", code)
