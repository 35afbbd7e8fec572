"""The chat API over HTTP: POST /v1/chat/completions, GET /v1/models, GET /healthz."""

import time

from lapiswing.chat import DONE, InvalidCall, encode_event, error_body, join_events, parse_call, without_usage
from lapiswing.chat.errors import failed, rejected
from lapiswing.gateway.fronts.listener import Listener
from lapiswing.gateway.fronts.mapping import UnknownApiKey

EVENT_STREAM_FIELDS = [
    (b"content-type", b"text/event-stream; charset=utf-8"),
    (b"cache-control", b"no-store"),
    (b"x-accel-buffering", b"no"),
]
NO_RETRY_FIELD = (b"x-should-retry", b"false")


class ChatFront:
    """Serves the chat API by HTTP requests to `app`."""

    def __init__(self, core, mapper, ready=lambda: True, get_handlers=None):
        """`get_handlers`: {path: function(exchange)} for further GETs; `ready()`: whether /healthz answers 200."""
        self.core, self.mapper, self.ready, self.get_handlers = core, mapper, ready, get_handlers or {}
        self.started_unix_s = int(time.time())

    def app(self, exchange):
        """Handles a request by its path and method."""
        path, method = exchange.path, exchange.method
        if path == b"/v1/chat/completions":
            return self.completions(exchange) if method == b"POST" else self.not_allowed(exchange, b"POST")
        is_get = method in (b"GET", b"HEAD")
        if path in self.get_handlers:
            return self.get_handlers[path](exchange) if is_get else self.not_allowed(exchange, b"GET, HEAD")
        if path == b"/healthz":
            ok = self.ready()
            return exchange.json(200 if ok else 503, {"status": "ok" if ok else "draining"})
        if path == b"/v1/models" or path.startswith(b"/v1/models/"):
            if not is_get:
                return self.not_allowed(exchange, b"GET, HEAD")
            return self.models(exchange, path[11:].decode("latin-1"))
        self.respond_error(exchange, 404, f"Unknown path {path.decode('latin-1')}", code="not_found")

    def not_allowed(self, exchange, allow):
        """Responds that the method is not allowed."""
        self.respond_error(exchange, 405, "Method not allowed", code="method_not_allowed", fields=[(b"allow", allow)])

    def respond_error(self, exchange, status, text, param=None, code=None, fields=()):
        """Responds with an error that the client has to correct. `fields`: further header fields."""
        exchange.respond(status, error_body(text, "invalid_request_error", code, param), more=fields)

    def tenant(self, exchange):
        """Returns the number of the tenant. Without a valid API key, responds with 401 and returns None."""
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
        """Responds with the list of models, or with the one that is named."""
        if self.tenant(exchange) is None:
            return
        rows = [
            {"id": model, "object": "model", "created": self.started_unix_s, "owned_by": "lapiswing"}
            for model in self.mapper.models()
        ]
        if not name:
            return exchange.json(200, {"object": "list", "data": rows})
        row = next((row for row in rows if row["id"] == name), None)
        if row is None:
            return self.respond_error(exchange, 404, f"The model `{name}` does not exist", "model", "model_not_found")
        exchange.json(200, row)

    def completions(self, exchange):
        """Hands a chat call to the core."""
        tenant = self.tenant(exchange)
        if tenant is None:
            return
        try:
            call = parse_call(exchange.body)
            spec = self.mapper.spec(call, tenant, exchange.header, self.core.loop.clock.now_us())
        except InvalidCall as error:
            model_known = error.param != "model" or "does not exist" not in str(error)
            return self.respond_error(
                exchange, 400 if model_known else 404, str(error), error.param, None if model_known else "model_not_found"
            )
        listener = (StreamedResponse if call.stream else WholeResponse)(exchange, call)
        listener.attach(self.core, self.core.submit(spec, listener))


class ResponseWriter(Listener):
    """The common part of whole and streamed responses."""

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
            more=[NO_RETRY_FIELD],
        )

    def on_rejected(self, retry_after_us):
        status, fields, body = rejected(retry_after_us)
        self.exchange.respond(status, body, more=fields)

    def on_failed(self, why):
        status, fields, body = failed(why)
        self.exchange.respond(status, body, more=fields)

    def on_server_answer(self, status, body):
        self.exchange.respond(status, body, more=[NO_RETRY_FIELD])


class WholeResponse(ResponseWriter):
    """Writes the answer in one piece."""

    full = False  # events are not written, so they need no room

    def on_begin(self):
        pass

    def on_events(self, values, payloads):
        pass

    def on_done(self, answer):
        self.exchange.json(200, answer.assembler.completion())


class StreamedResponse(ResponseWriter):
    """Writes the answer as server-sent events."""

    def on_begin(self):
        self.exchange.begin(200, EVENT_STREAM_FIELDS)

    def on_events(self, values, payloads):
        if not self.call.include_usage:
            payloads = without_usage(values, payloads)
        if payloads:
            self.exchange.send(join_events(payloads))

    def on_done(self, answer):
        self.exchange.send(DONE)
        self.exchange.end()

    def on_failed(self, why):
        if not self.exchange.begun:
            return super().on_failed(why)
        status, _, _ = failed()
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
