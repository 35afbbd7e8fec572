"""The chat API over HTTP: POST /v1/chat/completions, GET /v1/models, GET /healthz."""

import time

from lapiswing.chat import DONE, InvalidCall, encode_event, error_body, joined, parse_call, without_usage
from lapiswing.chat.errors import aborted, pushed_back
from lapiswing.gateway.fronts.listener import Listener
from lapiswing.gateway.fronts.mapping import UnknownApiKey

SSE = [(b"content-type", b"text/event-stream; charset=utf-8"), (b"cache-control", b"no-store"), (b"x-accel-buffering", b"no")]
NO_RETRY = (b"x-should-retry", b"false")


class ChatFront:
    def __init__(self, core, mapper, ready=lambda: True, more=None):
        """`more`: {path: function(exchange)} for further GETs."""
        self.core, self.mapper, self.ready, self.more = core, mapper, ready, more or {}
        self.started = int(time.time())

    def app(self, exchange):
        path, method = exchange.path, exchange.method
        if path == b"/v1/chat/completions":
            return self.completions(exchange) if method == b"POST" else self.not_allowed(exchange, b"POST")
        get = method in (b"GET", b"HEAD")
        if path in self.more:
            return self.more[path](exchange) if get else self.not_allowed(exchange, b"GET, HEAD")
        if path == b"/healthz":
            ok = self.ready()
            return exchange.json(200 if ok else 503, {"status": "ok" if ok else "draining"})
        if path == b"/v1/models" or path.startswith(b"/v1/models/"):
            if not get:
                return self.not_allowed(exchange, b"GET, HEAD")
            return self.models(exchange, path[11:].decode("latin-1"))
        self.wrong(exchange, 404, f"Unknown path {path.decode('latin-1')}", code="not_found")

    def not_allowed(self, exchange, allow):
        self.wrong(exchange, 405, "Method not allowed", code="method_not_allowed", more=[(b"allow", allow)])

    def wrong(self, exchange, status, text, param=None, code=None, more=()):
        exchange.respond(status, error_body(text, "invalid_request_error", code, param), more=more)

    def tenant(self, exchange):
        try:
            return self.mapper.tenant(exchange.header(b"authorization"))
        except UnknownApiKey:
            exchange.respond(
                401,
                error_body("Incorrect API key provided.", "invalid_request_error", "invalid_api_key"),
                more=[(b"www-authenticate", b"Bearer")],
            )
            return None

    def models(self, exchange, name):
        if self.tenant(exchange) is None:
            return
        rows = [{"id": m, "object": "model", "created": self.started, "owned_by": "lapiswing"} for m in self.mapper.models()]
        if not name:
            return exchange.json(200, {"object": "list", "data": rows})
        row = next((r for r in rows if r["id"] == name), None)
        if row is None:
            return self.wrong(exchange, 404, f"The model `{name}` does not exist", "model", "model_not_found")
        exchange.json(200, row)

    def completions(self, exchange):
        tenant = self.tenant(exchange)
        if tenant is None:
            return
        try:
            call = parse_call(exchange.body)
            spec = self.mapper.spec(call, tenant, exchange.header, self.core.loop.clock.now_us())
        except InvalidCall as problem:
            found = problem.param != "model" or "does not exist" not in str(problem)
            return self.wrong(exchange, 400 if found else 404, str(problem), problem.param, None if found else "model_not_found")
        listener = (Streamed if call.stream else Whole)(exchange, call)
        listener.attach(self.core, self.core.submit(spec, listener))


class ResponseWriter(Listener):
    """What both forms of answer share."""

    def __init__(self, exchange, call):
        super().__init__(exchange)
        self.call = call

    def on_conflict(self):
        self.exchange.respond(
            422,
            error_body(
                "This Idempotency-Key was used with another body.",
                "invalid_request_error",
                "idempotency_key_reused",
                "Idempotency-Key",
            ),
            more=[NO_RETRY],
        )

    def on_rejected(self, come_back_us):
        status, fields, body = pushed_back(come_back_us)
        self.exchange.respond(status, body, more=fields)

    def on_failed(self, why):
        status, fields, body = aborted(why)
        self.exchange.respond(status, body, more=fields)

    def on_server_answer(self, status, body):
        self.exchange.respond(status, body, more=[NO_RETRY])


class Whole(ResponseWriter):
    full = False  # it takes everything until the end

    def on_begin(self):
        pass

    def on_events(self, values, payloads):
        pass

    def on_done(self, answer):
        self.exchange.json(200, answer.assembler.completion())


class Streamed(ResponseWriter):
    def on_begin(self):
        self.exchange.begin(200, SSE)

    def on_events(self, values, payloads):
        if not self.call.include_usage:
            payloads = without_usage(values, payloads)
        if payloads:
            self.exchange.send(joined(payloads))

    def on_done(self, answer):
        self.exchange.send(DONE)
        self.exchange.end()

    def on_failed(self, why):
        if not self.exchange.begun:
            return super().on_failed(why)
        status, _, _ = aborted()
        self.exchange.send(
            encode_event(
                {"error": {"message": why or "The call failed.", "type": "server_error", "param": None, "code": "aborted"}}
            )
        )
        self.exchange.keep_alive = False
        self.exchange.end()

    def on_server_answer(self, status, body):
        if not self.exchange.begun:
            return super().on_server_answer(status, body)
        self.on_failed("The model server did not go on with the stream.")
