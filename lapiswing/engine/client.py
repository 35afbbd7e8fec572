"""Requests to model servers over the HTTP pool: attempts, releases, reservations and probes. Reads run on prefill servers,
writes on decode servers.

The owner of an attempt is called as follows, never from within the call that starts the attempt:
    on_first(attempt)                      the first event with content has come
    on_events(attempt, values, payloads)   events that came together, parsed and as bytes, the first one included
    on_outcome(attempt, code, remark, report)   once, as the last call
After `cancel()` it is not called any more."""

import orjson

from lapiswing.chat import EventParser, EventTooLong
from lapiswing.engine.attempt import HttpAttempt
from lapiswing.engine.outcomes import REFUSAL, of_failure, of_status, report_of
from lapiswing.http1.wire import get
from lapiswing.loop import address_of
from lapiswing.loop.byte_budget import ByteBudget

CHAT_PATH = b"/v1/chat/completions"
RELEASE_RETRY_DELAYS_MS = (100, 200, 400, 800, 1600, 3200)
MAX_RESPONSE_BYTES = 1 << 20  # of a response that is not streamed


def read_request_body(raw):
    """Returns the call as a prefill server gets it, in the manner of vLLM's published interface for split prefill: one token
    is asked for, and the state is kept for another engine."""
    body = {
        **raw,
        "stream": False,
        "max_tokens": 1,
        "kv_transfer_params": {
            "do_remote_decode": True,
            "do_remote_prefill": False,
            "remote_engine_id": None,
            "remote_block_ids": None,
            "remote_host": None,
            "remote_port": None,
        },
    }
    body.pop("stream_options", None)
    if "max_completion_tokens" in body:
        body["max_completion_tokens"] = 1
    if "min_tokens" in body:
        body["min_tokens"] = 1
    return body


def write_request_body(raw, params):
    """Returns the call as a decode server gets it. It is always streamed, so that the first token is seen as it comes."""
    body = {**raw, "stream": True, "stream_options": {**(raw.get("stream_options") or {}), "include_usage": True}}
    if params is not None:
        body["kv_transfer_params"] = params
    return body


class Attempt(HttpAttempt):
    """An attempt that is in progress at a server."""

    def __init__(self, owner, server, stage, event_bytes, budget):
        super().__init__(owner, budget)
        self.server, self.stage = server, stage
        self.begun, self.done_seen, self.status = False, False, None
        self.body, self.buffered = bytearray(), ([], [])  # buffered: (values, payloads) before the first content
        self.events = EventParser(event_bytes)
        self.params = self.cached = self.answer = None
        self.max_event_bytes = event_bytes

    # ---- handler of the exchange

    def on_head(self, status, fields):
        self.status = status
        self.report = report_of(get(fields, b"x-load"))
        self.code, self.remark = of_status(status, get(fields, REFUSAL))
        if self.code == "full" and get(fields, REFUSAL) == b"draining":
            self.report = {**(self.report or {}), "draining": 1.0}
        kind = (get(fields, b"content-type") or b"").split(b";")[0].strip().lower()
        wanted = b"application/json" if self.stage == "read" else b"text/event-stream"
        if self.code == "ok" and kind != wanted:
            self.break_off("error", "another content type than asked for")

    def on_body(self, data):
        if self.over:
            return
        self.received_bytes += len(data)
        if self.code != "ok" or self.stage == "read":
            self.body += data
            if len(self.body) > max(self.max_event_bytes, MAX_RESPONSE_BYTES):
                return self.break_off("reset", "the body is too long")
            return self.count_kept(len(self.body))
        try:
            values, payloads = [], self.events.feed(data)
            for payload in payloads:
                if self.done_seen:
                    raise ValueError("an event after [DONE]")
                if payload == b"[DONE]":
                    self.done_seen = True
                    continue
                value = orjson.loads(payload)
                if "error" in value:  # the server reports that it broke off
                    self.deliver(values, payloads[: len(values)])
                    return self.break_off("error", "the server reports an error")
                value["choices"] or value["usage"]  # raises where the value is no event of this API
                values.append(value)
            if self.done_seen:
                payloads.pop()
            self.deliver(values, payloads)
            if not self.over:
                self.count_kept(len(self.events.rest) + (0 if self.begun else sum(map(len, self.buffered[1]))))
        except (EventTooLong, ValueError, TypeError, AttributeError, KeyError, IndexError):
            self.break_off("reset", "what came is no event")

    def deliver(self, values, payloads):
        """Passes events to the owner. Events before the first one with content are buffered."""
        if not values or self.over:
            return
        self.event_count += sum(1 for value in values if has_content(value) or value.get("usage"))
        if not self.begun:
            self.buffered[0].extend(values)
            self.buffered[1].extend(payloads)
            values, payloads = self.buffered
            if not any(map(has_content, values)):
                if len(values) > 16:
                    raise ValueError("too many events without content")
                return
            self.begun, self.buffered = True, None
            self.owner.on_first(self)
            if self.over:
                return
        self.owner.on_events(self, values, payloads)

    def on_end(self):
        if self.over:
            return
        if self.code == "answered":
            self.answer = (self.status, bytes(self.body))
            return self.finish("done")
        if self.code != "ok":
            return self.finish(self.code)
        if self.stage != "read":
            # A stream without [DONE] is incomplete, even where the connection was closed in order.
            return self.finish("done" if self.done_seen and self.begun else "reset")
        try:
            value = orjson.loads(self.body)
            self.params = value["kv_transfer_params"]
            if not isinstance(self.params, dict) or not self.params.get("remote_engine_id"):
                raise ValueError("the response names no state")
            details = (value.get("usage") or {}).get("prompt_tokens_details") or {}
            self.remark = self.cached = int(details.get("cached_tokens") or 0)
            self.prompt_tokens = int((value.get("usage") or {}).get("prompt_tokens") or 0)
        except (AttributeError, KeyError, OverflowError, TypeError, ValueError):
            return self.finish("error")
        self.finish("read")

    def on_fail(self, stage, why):
        self.why = f"{stage}: {why}"
        if self.code == "full" and stage == "body":
            return self.finish("full")  # the response head has proved the refusal
        self.finish(of_failure(stage) if stage != "body" or self.code in ("ok", "answered", None) else self.code)


def has_content(value):
    """Whether an event brings text or the end of the answer, not just the role."""
    for choice in value.get("choices") or ():
        delta = choice.get("delta") or {}
        if choice.get("finish_reason") or any(v for n, v in delta.items() if n != "role"):
            return True
    return False


class Release:
    """Releases a state at the server that holds it. A release without a response is sent again after growing delays, so that
    the memory is freed soon after a server that hung or was cut off is back. A state that no longer exists counts as
    released."""

    def __init__(self, engine, server, name):
        self.engine, self.server, self.name, self.delays_ms = engine, server, name, iter(RELEASE_RETRY_DELAYS_MS)
        self.exchange = self.timer = None
        engine.releasing += 1
        self.send()

    def send(self):
        if self.exchange is not None:
            self.exchange.cancel()  # no response within the delay
        delay_ms = next(self.delays_ms, None)
        if delay_ms is None:
            self.engine.releasing -= 1
            return
        self.status = None
        self.timer = self.engine.loop.call_later(delay_ms * 1000, self.send)
        self.exchange = self.engine.pool.request(address_of(self.server), b"DELETE", b"/v1/states/" + self.name, [], b"", self)

    def on_head(self, status, fields):
        self.status = status

    def on_body(self, data):
        pass

    def on_end(self):
        if self.status < 500:
            self.timer.cancel()
            self.engine.releasing -= 1

    def on_fail(self, stage, why):
        pass  # the timer sends it again


class ControlCall:
    """A small request with a JSON response: a probe or a reservation. Calls `done(code, value, report)` once."""

    def __init__(self, engine, server, method, target, body, timeout_us, done):
        self.done, self.status, self.report, self.parts, self.size = done, None, None, [], 0
        self.exchange = engine.pool.request(
            address_of(server), method, target, [(b"content-type", b"application/json")] if body else [], body, self
        )
        self.timer = engine.loop.call_later(timeout_us, self.on_timeout)

    def on_timeout(self):
        self.exchange.cancel()
        self.complete("timed_out", None)

    def on_head(self, status, fields):
        self.status, self.report = status, report_of(get(fields, b"x-load"))

    def on_body(self, data):
        self.size += len(data)
        if self.size <= 65536:
            self.parts.append(data)

    def on_end(self):
        try:
            value = orjson.loads(b"".join(self.parts) or b"null")
        except ValueError:
            value = None
        self.complete("done" if self.status == 200 else "error", value)

    def on_fail(self, stage, why):
        self.complete(of_failure(stage), None)

    def complete(self, code, value):
        self.timer.cancel()
        done, self.done = self.done, None
        if done:
            done(code, value, self.report)


class Engine:
    """The gateway's client of its model servers. `releasing` counts the releases without a response yet."""

    def __init__(self, loop, pool, event_bytes, max_kept_bytes):
        """`max_kept_bytes`: of answers that can't be passed on yet, over all attempts."""
        self.loop, self.pool, self.event_bytes, self.releasing = loop, pool, event_bytes, 0
        self.kept = ByteBudget(max_kept_bytes)

    states_named_by_req = False  # the state of each attempt has a name of its own

    def state_name(self, gateway, rid, number=None):
        """Returns the name under which servers keep the state of an attempt, or of the request where `number` is None."""
        return (f"{gateway}.{rid}" if number is None else f"{gateway}.{rid}.{number}").encode()

    def start_attempt(
        self, owner, server, stage, raw, params, name, key, new_connection, read_us=None, within_us=None, up_us=None
    ):
        """Sends `raw`, the client's call, as a read, as a write of the state that `params` name, or, in the direct stage, as
        both. `key`: idempotency key. `read_us`: how long the read of the state took, by which the writer judges whether to
        wait for a slow transfer. `up_us`: the time in which a new connection has to be established."""
        attempt = Attempt(owner, server, stage, self.event_bytes, self.kept)
        body = read_request_body(raw) if stage == "read" else write_request_body(raw, params)
        fields = [(b"content-type", b"application/json"), (b"x-request-id", name)]
        if key:
            fields.append((b"idempotency-key", key))
        if read_us is not None:
            fields.append((b"x-read-ms", b"%d" % (read_us // 1000)))
        attempt.name = name
        attempt.exchange = self.pool.request(
            address_of(server), b"POST", CHAT_PATH, fields, orjson.dumps(body), attempt, new_connection, up_us
        )
        return attempt

    def release(self, server, name):
        """Frees the state `name` at `server`."""
        Release(self, server, name)

    def hold_place(self, server, name, tokens, done):
        """Asks `server` to reserve room for a state of `tokens`. Calls `done(held)`."""
        ControlCall(
            self,
            server,
            b"POST",
            b"/v1/places",
            orjson.dumps({"request_id": name.decode(), "tokens": tokens}),
            1_000_000,
            lambda code, value, _: done(code == "done" and bool((value or {}).get("held"))),
        )

    def probe(self, server, done):
        """Asks `server` for its load. Calls `done(code, report)`."""
        ControlCall(
            self,
            server,
            b"GET",
            b"/load",
            b"",
            1_000_000,
            lambda code, value, report: done(
                code,
                report
                or ({k: float(v) for k, v in value.items() if isinstance(v, (int, float))} if isinstance(value, dict) else None),
            ),
        )
