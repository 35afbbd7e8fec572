"""The platform's clients: a request head to a req, and its answer back."""

import re
from math import isfinite

import orjson

from lapiswing.gateway.core import Spec
from lapiswing.gateway.fronts.listener import Listener
from lapiswing.node.names import (
    CHAT,
    DEADLINE,
    EXTRA,
    GROUP,
    ID,
    IDEMPOTENCY_KEY,
    MOST_OUT,
    OWNER,
    PREFIX,
    PREFIX_TOKENS,
    PROMPT,
    READY,
    RETRIES,
    RETRY,
    RETRY_AFTER,
    SESSION,
)
from lapiswing.node.servers import Ask

RID = re.compile(rb"[0-9A-Za-z._~-]{1,64}")
WORD = re.compile(rb"[\x21-\x7e]{1,256}")
STREAM = [(b"content-type", b"text/event-stream"), (b"cache-control", b"no-store")]
BYTES_A_TOKEN = 4
MOST_TOKENS = 10_000_000
MOST_DEADLINE_S = 3600


class Wrong(Exception):
    """The client's fault; `status` is its answer."""

    def __init__(self, why, status=400):
        super().__init__(why)
        self.status = status


def once(fields, name):
    values = [v for n, v in fields if n == name]
    if len(values) > 1:
        raise Wrong(f"{name.decode()} is given more than once")
    return values[0] if values else None


def extra_of(value):
    """`prefix=5c0f,prompt_len=5120` -> {'prefix': '5c0f', 'prompt_len': 5120}; unknown names are skipped."""
    out = {}
    for item in (value or b"").decode("latin-1").split(","):
        name, _, text = item.strip().partition("=")
        if name == PREFIX:
            out[name] = text or None
        elif name in (PROMPT, PREFIX_TOKENS, MOST_OUT):
            if not text.isdigit() or int(text) > MOST_TOKENS:
                raise Wrong(f"{name} is not a number of tokens")
            out[name] = int(text)
    return out


def deadline_of(value):
    """Seconds with decimals -> microseconds."""
    try:
        seconds = float(value)
    except (TypeError, ValueError):
        raise Wrong("the deadline is not a number") from None
    if not isfinite(seconds) or not 0 < seconds <= MOST_DEADLINE_S or b"_" in value:
        raise Wrong("the deadline is out of range")
    return round(seconds * 1e6)


class Front:
    def __init__(self, core, groups, tenants, ready):
        """`tenants`: their names, in the order of the settings."""
        self.core, self.ready = core, ready
        self.groups = {g.name.encode(): i for i, g in enumerate(groups)}
        self.tenants = {name.encode(): i for i, name in enumerate(tenants)}

    def app(self, exchange):
        try:
            if exchange.path == READY:
                if exchange.method not in (b"GET", b"HEAD"):
                    raise Wrong("only GET", 405)
                return exchange.respond(200 if self.ready() else 503, b"", b"text/plain")
            if exchange.path != CHAT:
                raise Wrong("unknown path", 404)
            if exchange.method != b"POST":
                raise Wrong("only POST", 405)
            spec = self.spec(exchange)
        except Wrong as problem:
            exchange.keep_alive = False  # what stands behind it is not read: it may be hundreds more of its kind
            return exchange.json(problem.status, {"error": {"message": str(problem)}})
        listener = ResponseWriter(exchange)
        listener.attach(self.core, self.core.submit(spec, listener))

    def spec(self, exchange):
        fields = exchange.fields
        rid = once(fields, ID)
        if rid is None or not RID.fullmatch(rid):
            raise Wrong("no id, or one that can't be read")
        group = self.groups.get(once(fields, GROUP))
        if group is None:
            raise Wrong("unknown class")
        within_us = deadline_of(once(fields, DEADLINE))
        session, extra = once(fields, SESSION), extra_of(once(fields, EXTRA))
        if session is not None and not WORD.fullmatch(session):
            raise Wrong("the key can't be read")
        try:
            body = orjson.loads(exchange.body)
        except ValueError:
            raise Wrong("the body is not JSON") from None
        if not isinstance(body, dict) or not isinstance(body.get("messages"), list):
            raise Wrong("the body is no chat call")
        rid_text = rid.decode()
        if rid_text in self.core.reqs:
            raise Wrong("a request with this id is open", 409)
        # Counted from the request's first byte: what it has waited here is no longer left to its client.
        expires_us = exchange.arrived_us + within_us
        tokens = extra.get(PROMPT) or max(1, len(exchange.body) // BYTES_A_TOKEN)
        ask = Ask(exchange.method, exchange.target, rid, exchange.body, once(fields, IDEMPOTENCY_KEY))
        tenant = self.tenants.get(once(fields, OWNER), len(self.tenants))  # an unknown one has no quota
        return Spec(
            group,
            tenant,
            ask,
            tokens,
            expires_us,
            session.decode() if session else None,
            extra.get(PREFIX),
            extra.get(PREFIX_TOKENS, 0),
            extra.get(MOST_OUT, 0),
            None,
            b"",
            rid=rid_text,
            bits=RETRIES.get(once(fields, RETRY), 0),
        )


class ResponseWriter(Listener):
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

    def on_rejected(self, come_back_us):
        more = [(RETRY_AFTER, b"%.3f" % (come_back_us / 1e6))] if come_back_us else []
        self.exchange.respond(503, b"", b"text/plain", more=more)

    def on_failed(self, why):
        if self.exchange.begun:
            return self.exchange.abort()  # without the last chunk, so that it is seen to be cut
        self.exchange.respond(502, b"", b"text/plain")
