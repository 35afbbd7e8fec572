"""Hollow model servers: many addresses in one process that accept connections, answer and stream at a fixed pace, and count
what the gateways send. They keep no prompt state and compute nothing."""

from collections import Counter

import orjson

from lapiswing.http1 import Limits, Server
from lapiswing.loop import Listener, listen_socket

MS = 1000
LONG_US = 3600 * 1000 * MS
LAST_EVENTS = b"data: %b\n\ndata: [DONE]\n\n" % orjson.dumps(
    {"choices": [], "usage": {"prompt_tokens": 8, "completion_tokens": 8, "prompt_tokens_details": {"cached_tokens": 0}}}
)


def event(text):
    """One server-sent event with a piece of text."""
    return b"data: %b\n\n" % orjson.dumps({"choices": [{"index": 0, "delta": {"content": text}, "finish_reason": None}]})


class HollowServer:
    """One prefill (`read`) or decode (`write`) server, by the `type` of its row."""

    def __init__(self, loop, name, row, model, load):
        """`model` and `load` are the sections of the scenario."""
        self.loop, self.name, self.row, self.model, self.load = loop, name, row, model, load
        self.counts, self.by_gateway = Counter(), Counter()
        self.silent = False
        self.events = -(-load.tokens_a_request // load.tokens_an_event)
        self.gap_us = int(load.tokens_an_event * load.token_gap_ms * MS)
        self.max_open = self.last_attempt_us = 0
        self.server = Server(loop, self.app, Limits(head_us=LONG_US, body_us=LONG_US, idle_us=LONG_US))
        self.listener = Listener(loop, listen_socket("127.0.0.1", 0), self.accept)
        self.server.listener = self.listener
        self.address = "127.0.0.1:%d" % self.listener.address[1]

    def accept(self, stream, peer):
        if len(self.server.connections) >= self.model.connections:
            self.counts["connections refused"] += 1
            self.listener.gone()
            return stream.abort()
        self.counts["connections"] += 1
        self.server.accept(stream, peer)
        self.max_open = max(self.max_open, len(self.server.connections))
        if self.silent:
            stream.pause()

    def app(self, exchange):
        """Answers a request as a model server would."""
        request = (exchange.header(b"req-id") or b"").decode()
        conn = exchange.conn
        self.counts["bytes in"] += len(exchange.body)
        if exchange.path.startswith(b"/-/"):
            self.counts["probes"] += 1
            return exchange.respond(200, b"")
        if exchange.method == b"DELETE":
            self.counts["releases"] += 1
            return exchange.respond(204)
        if not getattr(conn, "known", False):
            conn.known = True
            self.by_gateway[request.partition("-")[0]] += 1
        exchange.on_left = self.cancelled
        self.last_attempt_us = self.loop.clock.now_us()
        if self.row["type"] == "read":
            self.counts["prefills"] += 1
            return self.loop.call_later(int(self.model.prefill_ms * MS), self.prefill_done, exchange)
        self.counts["decodes"] += 1
        self.loop.call_later(int(self.model.first_token_ms * MS), self.send_event, exchange, 0)

    def cancelled(self):
        self.counts["cancels"] += 1

    def prefill_done(self, exchange):
        if not exchange.over and not self.silent:
            exchange.json(202, {"cached_tokens": 0})

    def send_event(self, exchange, number):
        if exchange.over or self.silent:
            return
        if number == 0:
            exchange.begin(200, [(b"content-type", b"text/event-stream")])
        if number == self.events:
            exchange.send(LAST_EVENTS)
            return exchange.end()
        exchange.send(event(f"{self.loop.clock.now_us()} "))
        self.loop.call_later(self.gap_us, self.send_event, exchange, number + 1)

    def set_silent(self, silent):
        """As in a network partition: open connections stay open, and nothing is answered. Ending it resets them."""
        self.silent = silent
        for conn in list(self.server.connections):
            conn.stream.pause() if silent else conn.stream.abort()

    def die(self):
        """Closes the listener and all connections."""
        self.listener.close()
        self.server.close()

    def report(self):
        return {
            "counts": dict(self.counts),
            "gateways": len(self.by_gateway),
            "max_open": self.max_open,
            "open": len(self.server.connections),
            "last_attempt_us": self.last_attempt_us,
        }
