"""The doing part: forwards, releases, places and probes over the HTTP pool.

A forward's owner gets, never from within the call that starts it:
    on_first(forward)                      the first event that says something is in
    on_events(forward, values, payloads)   what came in at once: events as values and as bytes, the first included
    on_outcome(forward, code, remark, report)   once; nothing after it
and may call `cancel()`, after which it hears nothing."""

import orjson

from lapiswing.chat import EventParser, EventTooLong
from lapiswing.engine.attempt import HttpAttempt
from lapiswing.engine.outcomes import REFUSAL, of_failure, of_status, report_of
from lapiswing.http1.wire import get
from lapiswing.loop import address_of

CHAT = b"/v1/chat/completions"
RELEASE_PAUSES_MS = (100, 200, 400, 800, 1600, 3200)
ANSWER_BYTES = 1 << 20  # of an answer that is not streamed


def read_body(raw):
    """The call as its reader gets it, in the way of vLLM's published split-prefill interface: one token asked for,
    the state kept for another engine."""
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


def write_body(raw, params):
    """The call as its writer gets it. Always streamed, so that the first token can be told from the last."""
    body = {**raw, "stream": True, "stream_options": {**(raw.get("stream_options") or {}), "include_usage": True}}
    if params is not None:
        body["kv_transfer_params"] = params
    return body


class Forward(HttpAttempt):
    """One forward that is out."""

    def __init__(self, owner, server, stage, event_bytes):
        super().__init__(owner)
        self.server, self.stage = server, stage
        self.begun, self.ended, self.status = False, False, None
        self.body, self.size, self.held = [], 0, ([], [])
        self.events = EventParser(event_bytes)
        self.params = self.cached = self.answer = None
        self.most = event_bytes

    # handler of the exchange

    def on_head(self, status, fields):
        self.status = status
        self.report = report_of(get(fields, b"x-load"))
        self.code, self.remark = of_status(status, get(fields, REFUSAL))
        if self.code == "full" and get(fields, REFUSAL) == b"draining":
            self.report = {**(self.report or {}), "draining": 1.0}
        kind = (get(fields, b"content-type") or b"").split(b";")[0].strip().lower()
        wanted = b"application/json" if self.stage == "read" else b"text/event-stream"
        if self.code == "ok" and kind != wanted:
            self.break_off("error")  # a 200 that is not what was asked for

    def on_body(self, data):
        if self.over:
            return
        if self.code != "ok" or self.stage == "read":
            self.size += len(data)
            if self.size > max(self.most, ANSWER_BYTES):
                return self.break_off("reset")
            self.body.append(data)
            return
        try:
            values, payloads = [], self.events.feed(data)
            for payload in payloads:
                if self.ended:
                    raise ValueError("an event behind [DONE]")
                if payload == b"[DONE]":
                    self.ended = True
                    continue
                value = orjson.loads(payload)
                if "error" in value:  # the box says that it broke off
                    self.pass_on(values, payloads[: len(values)])
                    return self.break_off("error")
                value["choices"] or value["usage"]  # what is neither is no event of this API
                values.append(value)
            if self.ended:
                payloads.pop()
            self.pass_on(values, payloads)
        except (EventTooLong, ValueError, TypeError, AttributeError, KeyError, IndexError):
            self.break_off("reset")

    def pass_on(self, values, payloads):
        if not values or self.over:
            return
        if not self.begun:
            self.held[0].extend(values)
            self.held[1].extend(payloads)
            values, payloads = self.held
            if not any(map(says_something, values)):
                if len(values) > 16:
                    raise ValueError("events that say nothing")
                return
            self.begun, self.held = True, None
            self.owner.on_first(self)
            if self.over:
                return
        self.owner.on_events(self, values, payloads)

    def on_end(self):
        if self.over:
            return
        if self.code == "answered":
            self.answer = (self.status, b"".join(self.body))
            return self.finish("done")
        if self.code != "ok":
            return self.finish(self.code)
        if self.stage != "read":
            # An end without [DONE] is a break, however tidy the connection's end.
            return self.finish("done" if self.ended and self.begun else "reset")
        try:
            value = orjson.loads(b"".join(self.body))
            self.params = value["kv_transfer_params"]
            if not isinstance(self.params, dict) or not self.params.get("remote_engine_id"):
                raise ValueError("no state is named")
            details = (value.get("usage") or {}).get("prompt_tokens_details") or {}
            self.remark = self.cached = int(details.get("cached_tokens") or 0)
            self.prompt_tokens = int((value.get("usage") or {}).get("prompt_tokens") or 0)
        except (ValueError, TypeError, KeyError, AttributeError):
            return self.finish("error")
        self.finish("read")

    def on_fail(self, stage, why):
        if self.code == "full" and stage == "body":
            return self.finish("full")  # the head has proved it
        self.finish(of_failure(stage) if stage != "body" or self.code in ("ok", "answered", None) else self.code)


def says_something(value):
    for choice in value.get("choices") or ():
        delta = choice.get("delta") or {}
        if choice.get("finish_reason") or any(v for n, v in delta.items() if n != "role"):
            return True
    return False


class Release:
    """Lets go of a state at its holder. A release that a hung or cut-off box did not answer is sent again after growing
    pauses, so that the memory is free again soon after the box comes back; a state that is already gone is as good."""

    def __init__(self, engine, server, name):
        self.engine, self.server, self.name, self.pauses = engine, server, name, iter(RELEASE_PAUSES_MS)
        self.exchange = self.timer = None
        engine.releasing += 1
        self.send()

    def send(self):
        if self.exchange is not None:
            self.exchange.cancel()  # not answered in its time
        pause = next(self.pauses, None)
        if pause is None:
            self.engine.releasing -= 1
            return
        self.status = None
        self.timer = self.engine.loop.call_later(pause * 1000, self.send)
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


class Ask:
    """A small call that answers JSON: a probe, a held place. `done(code, value, report)`."""

    def __init__(self, engine, server, method, target, body, timeout_us, done):
        self.done, self.status, self.report, self.parts, self.size = done, None, None, [], 0
        self.exchange = engine.pool.request(
            address_of(server), method, target, [(b"content-type", b"application/json")] if body else [], body, self
        )
        self.timer = engine.loop.call_later(timeout_us, self.late)

    def late(self):
        self.exchange.cancel()
        self.tell("timed_out", None)

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
        self.tell("done" if self.status == 200 else "error", value)

    def on_fail(self, stage, why):
        self.tell(of_failure(stage), None)

    def tell(self, code, value):
        self.timer.cancel()
        done, self.done = self.done, None
        if done:
            done(code, value, self.report)


class Engine:
    def __init__(self, loop, pool, event_bytes):
        self.loop, self.pool, self.event_bytes, self.releasing = loop, pool, event_bytes, 0

    states_named_by_req = False  # each forward's state has a name of its own

    def state_name(self, gateway, rid, number=None):
        return (f"{gateway}.{rid}" if number is None else f"{gateway}.{rid}.{number}").encode()

    def start_attempt(self, owner, server, stage, raw, params, name, key, fresh, read_us=None, within_us=None, up_us=None):
        """Sends `raw` (the client's call) as a read, a write of the state that `params` name, or, directly, both. `read_us`:
        how long the read of that state took; its writer weighs it against a move that goes badly."""
        forward = Forward(owner, server, stage, self.event_bytes)
        body = read_body(raw) if stage == "read" else write_body(raw, params)
        fields = [(b"content-type", b"application/json"), (b"x-request-id", name)]
        if key:
            fields.append((b"idempotency-key", key))
        if read_us is not None:
            fields.append((b"x-read-ms", b"%d" % (read_us // 1000)))
        forward.name = name
        forward.exchange = self.pool.request(address_of(server), b"POST", CHAT, fields, orjson.dumps(body), forward, fresh, up_us)
        return forward

    def release(self, server, name):
        Release(self, server, name)

    def hold_place(self, server, name, tokens, done):
        Ask(
            self,
            server,
            b"POST",
            b"/v1/places",
            orjson.dumps({"request_id": name.decode(), "tokens": tokens}),
            1_000_000,
            lambda code, value, _: done(code == "done" and bool((value or {}).get("held"))),
        )

    def probe(self, server, done):
        Ask(
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
