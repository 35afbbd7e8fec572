"""Error objects, and the responses to rejected and failed requests.

Client libraries retry by themselves after 408, 409, 429 and 5xx unless `x-should-retry: false` forbids it. A rejected request
may be retried, and its response states when. A failed one may have had an effect, so its response always forbids a retry."""

import orjson

REJECTED = (503, "overloaded", "The service is too busy for this call. Trying again later does no harm.")
FAILED = (502, "aborted", "The call failed and may have had an effect. It was not tried again.")


def error_body(message, kind, code=None, param=None):
    """Returns an error object of the chat API as JSON bytes."""
    return orjson.dumps({"error": {"message": message, "type": kind, "param": param, "code": code}})


def rejected(retry_after_us):
    """Returns (status, headers, body) for a rejected request. `Retry-After` has whole seconds, `retry-after-ms` the precise
    time."""
    status, code, text = REJECTED
    ms = max(0, -(-retry_after_us // 1000))
    headers = [(b"retry-after", b"%d" % -(-ms // 1000)), (b"retry-after-ms", b"%d" % ms)]
    return status, headers, error_body(text, "server_error", code)


def failed(why=None):
    """Returns (status, headers, body) for a failed request."""
    status, code, text = FAILED
    return status, [(b"x-should-retry", b"false")], error_body(why or text, "server_error", code)
