"""Client front of the platform: turns an HTTP request into a routed request and writes its answer."""

import re
from math import isfinite

import orjson

from lapiswing.gateway.fronts.listener import Listener
from lapiswing.gateway.request import Spec
from lapiswing.node.names import (
    CHAT_PATH,
    DEADLINE,
    EXTRA,
    GROUP,
    ID,
    IDEMPOTENCY_KEY,
    MAX_OUT,
    OWNER,
    PREFIX,
    PREFIX_TOKENS,
    PROMPT,
    READY_PATH,
    RETRIES,
    RETRY,
    RETRY_AFTER,
    SESSION,
)
from lapiswing.node.servers import ClientRequest
from lapiswing.routing.names import bounded_name

RID = re.compile(rb"[0-9A-Za-z._~-]{1,64}")
SESSION_KEY = re.compile(rb"[\x21-\x7e]{1,256}")
TOKEN_COUNT = re.compile(r"[0-9]{1,8}")  # `int` refuses thousands of digits, and `isdigit` allows other scripts' digits
MAX_EXTRA_ITEMS = 64
STREAM = [(b"content-type", b"text/event-stream"), (b"cache-control", b"no-store")]
BYTES_PER_TOKEN = 4  # estimates the prompt's length where the client gives none
MAX_TOKENS = 10_000_000
MAX_DEADLINE_S = 3600


class RequestError(Exception):
    """The client's request is invalid; `status` is the HTTP status of the answer."""

    def __init__(self, why, status=400):
        super().__init__(why)
        self.status = status


def single_value(fields, name):
    """-> the header's value or None. Raises RequestError if it occurs more than once."""
    values = [value for field, value in fields if field == name]
    if len(values) > 1:
        raise RequestError(f"{name.decode()} is given more than once")
    return values[0] if values else None


def parse_extra(value):
    """`prefix=5c0f,prompt_len=5120` -> {'prefix': '5c0f', 'prompt_len': 5120}; unknown names are ignored."""
    out = {}
    items = (value or b"").decode("latin-1").split(",", MAX_EXTRA_ITEMS)
    if len(items) > MAX_EXTRA_ITEMS:
        raise RequestError("too many items in one header")
    for item in items:
        name, _, text = item.strip().partition("=")
        if name == PREFIX:
            out[name] = text or None
        elif name in (PROMPT, PREFIX_TOKENS, MAX_OUT):
            if not TOKEN_COUNT.fullmatch(text) or int(text) > MAX_TOKENS:
                raise RequestError(f"{name} is not a number of tokens")
            out[name] = int(text)
    return out


def parse_deadline(value):
    """Decimal seconds -> microseconds."""
    try:
        seconds = float(value)
    except (TypeError, ValueError):
        raise RequestError("the deadline is not a number") from None
    if not isfinite(seconds) or not 0 < seconds <= MAX_DEADLINE_S or b"_" in value:
        raise RequestError("the deadline is out of range")
    return round(seconds * 1e6)


class Front:
    """The HTTP application for the platform's clients."""

    def __init__(self, core, groups, tenants, ready):
        """`groups`: the request classes; `tenants`: names in the order of the settings; `ready()`: whether the gateway is."""
        self.core, self.ready = core, ready
        self.groups = {g.name.encode(): i for i, g in enumerate(groups)}
        self.tenants = {name.encode(): i for i, name in enumerate(tenants)}

    def app(self, exchange):
        """Answers one request; see http1.Server."""
        try:
            if exchange.path == READY_PATH:
                if exchange.method not in (b"GET", b"HEAD"):
                    raise RequestError("only GET", 405)
                return exchange.respond(200 if self.ready() else 503, b"", b"text/plain")
            if exchange.path != CHAT_PATH:
                raise RequestError("unknown path", 404)
            if exchange.method != b"POST":
                raise RequestError("only POST", 405)
            spec = self.spec(exchange)
        except RequestError as problem:
            exchange.keep_alive = False  # pipelined requests are not parsed: hundreds of them may be just as invalid
            return exchange.json(problem.status, {"error": {"message": str(problem)}})
        listener = ResponseWriter(exchange)
        listener.attach(self.core, self.core.submit(spec, listener))

    def spec(self, exchange):
        """-> gateway.request.Spec. Raises RequestError."""
        fields = exchange.fields
        rid = single_value(fields, ID)
        if rid is None or not RID.fullmatch(rid):
            raise RequestError("the request id is missing or malformed")
        group = self.groups.get(single_value(fields, GROUP))
        if group is None:
            raise RequestError("unknown request class")
        deadline_us = parse_deadline(single_value(fields, DEADLINE))
        session, extra = single_value(fields, SESSION), parse_extra(single_value(fields, EXTRA))
        if session is not None and not SESSION_KEY.fullmatch(session):
            raise RequestError("the session key is malformed")
        try:
            body = orjson.loads(exchange.body)
        except ValueError:
            raise RequestError("the body is not JSON") from None
        if not isinstance(body, dict) or not isinstance(body.get("messages"), list):
            raise RequestError("the body is not a chat completion request")
        rid_text = rid.decode()
        if rid_text in self.core.reqs:
            raise RequestError("a request with this id is already open", 409)
        if rid_text in self.core.recent_ids:
            raise RequestError("a request with this id may have run", 409)
        # The client's deadline counts from the first byte of its request, including the time spent in our buffers.
        expires_us = exchange.arrived_us + deadline_us
        tokens = extra.get(PROMPT) or max(1, len(exchange.body) // BYTES_PER_TOKEN)
        request = ClientRequest(exchange.method, exchange.target, rid, exchange.body, single_value(fields, IDEMPOTENCY_KEY))
        tenant = self.tenants.get(single_value(fields, OWNER), len(self.tenants))  # an unknown tenant has no quota
        return Spec(
            group,
            tenant,
            request,
            tokens,
            expires_us,
            bounded_name(session.decode()) if session else None,
            bounded_name(extra.get(PREFIX)),
            extra.get(PREFIX_TOKENS, 0),
            extra.get(MAX_OUT, 0),
            None,
            b"",
            rid=rid_text,
            bits=RETRIES.get(single_value(fields, RETRY), 0),
            size=len(exchange.body) + exchange.head_bytes,
        )


def retry_after_fields(retry_after_us):
    """-> the header fields that tell a client when it may come again."""
    return [(RETRY_AFTER, b"%.3f" % (retry_after_us / 1e6))] if retry_after_us else []


class ResponseWriter(Listener):
    """Writes the outcome of one request to its client."""

    def on_begin(self):
        self.exchange.begin(200, STREAM)

    def on_events(self, values, payloads):
        for payload in payloads:
            self.exchange.send(payload)

    def on_done(self, answer):
        self.exchange.end()

    def on_server_answer(self, status, body):
        if self.exchange.begun:
            return self.exchange.abort()
        self.exchange.respond(status, body)

    def on_rejected(self, retry_after_us):
        self.exchange.respond(503, b"", b"text/plain", more=retry_after_fields(retry_after_us))

    def on_failed(self, why):
        if self.exchange.begun:
            return self.exchange.abort()  # omits the last chunk, so that the client sees a truncated answer
        self.exchange.respond(502, b"", b"text/plain")
