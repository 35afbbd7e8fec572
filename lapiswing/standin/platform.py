"""Stand-ins for what the operators' platform puts around a gateway: model servers that read and write, and discovery.
Written from the platform's protocol page; they say what they saw, and misbehave where a test tells them to.

A model server's `fault(exchange)` is asked first for each request; where it returns true it has taken it over."""

import orjson

from lapiswing.http1 import Limits, Server
from lapiswing.loop import Listener, listen_socket

MS = 1000
LONG = 3600_000 * MS


def serve(loop, app, host="127.0.0.1"):
    server = Server(loop, app, Limits(head_us=LONG, body_us=LONG, idle_us=LONG))
    server.listener = Listener(loop, listen_socket(host, 0), server.accept)
    return server


class ModelServer:
    def __init__(self, platform, name, role, zone="a", group=0):
        self.platform, self.name, self.role, self.zone, self.group = platform, name, role, zone, group
        self.status, self.since_ms, self.fault, self.load = "SERVING", 0, None, None
        self.events, self.pause_us, self.read_us = 3, 2 * MS, 2 * MS
        self.reading = set()  # ids whose read is under way; a release reaches these too
        self.seen, self.states, self.left = [], set(), 0  # (method, path, id, body); ids held; requests given up
        self.seen_us = []  # when each of `seen` came
        self.server = serve(platform.loop, self.app)
        self.address = "127.0.0.1:%d" % self.server.listener.address[1]

    def row(self):
        return {
            "name": self.name,
            "address": self.address,
            "zone": self.zone,
            "type": self.role,
            "group": self.group,
            "status": self.status,
            "weight": 1.0,
            "since_ms": self.since_ms,
        }

    def more(self):
        return [(b"srv-load", self.load)] if self.load else []

    def decline(self, exchange, status):
        exchange.respond(status, b"", more=[(b"srv-declined", b"1"), *self.more()])

    def app(self, exchange):
        rid = (exchange.header(b"req-id") or b"").decode()
        self.seen.append((exchange.method, exchange.target, rid, exchange.body))
        self.seen_us.append(self.platform.loop.clock.now_us())
        if self.fault is not None and self.fault(exchange):
            return
        if exchange.path.startswith(b"/bootstrap/rooms/"):
            return self.room(exchange, exchange.path[17:].decode())
        if exchange.path in (b"/-/load", b"/-/healthy"):
            return exchange.respond(200, self.load or b"", b"text/plain", more=self.more())
        if not rid:
            return exchange.respond(404)
        exchange.on_left = self.gone
        if self.role == "read":
            self.reading.add(rid)
            return self.platform.loop.call_later(self.read_us, self.have_read, exchange, rid)
        if self.role == "write":
            holder = self.platform.holder(rid)
            if holder is None:
                return self.decline(exchange, 410)
            holder.states.discard(rid)
        self.platform.loop.call_later(self.read_us, self.step, exchange, 0)

    def gone(self):
        self.left += 1

    def room(self, exchange, rid):
        if exchange.method == b"DELETE":
            for server in self.platform.servers.values():
                server.states.discard(rid)
                server.reading.discard(rid)
            return exchange.respond(204)
        self.states.add(rid)
        exchange.respond(200)

    def have_read(self, exchange, rid):
        if not exchange.over:
            if rid in self.reading:
                self.reading.discard(rid)
                self.states.add(rid)
            exchange.json(202, {"cached_tokens": 0}, more=self.more())

    @staticmethod
    def event(number):
        return b"data: %b\n\n" % orjson.dumps(
            {"choices": [{"index": 0, "delta": {"content": f"w{number} "}, "finish_reason": None}]}
        )

    def whole(self):
        """The bytes of a whole stream."""
        usage = {"prompt_tokens": 8, "completion_tokens": 8, "prompt_tokens_details": {"cached_tokens": 0}}
        return (
            b"".join(self.event(i) for i in range(self.events))
            + b"data: %b\n\ndata: [DONE]\n\n" % orjson.dumps({"choices": [], "usage": usage})
            + (b": Srv-Load: " + self.load + b"\n\n" if self.load else b"")
        )

    def step(self, exchange, number):
        if exchange.over:
            return
        if number == 0:
            exchange.begin(200, [(b"content-type", b"text/event-stream")])
        if number < self.events:
            exchange.send(self.event(number))
            return self.platform.loop.call_later(self.pause_us, self.step, exchange, number + 1)
        exchange.send(self.whole()[sum(len(self.event(i)) for i in range(self.events)) :])
        exchange.end()


class Discovery:
    """`tell(changes)` answers the watches; `silent` answers nothing, `garbage` what can't be read."""

    def __init__(self, platform):
        self.platform, self.index, self.waiting, self.log = platform, 1, [], []  # log: (index, row)
        self.silent = self.garbage = False
        self.calls = 0
        self.server = serve(platform.loop, self.app)
        self.address = "127.0.0.1:%d" % self.server.listener.address[1]

    def whole(self):
        rows = [s.row() for s in self.platform.servers.values()]
        return {"index": self.index, "snapshot": True, "endpoints": rows}

    def app(self, exchange):
        self.calls += 1
        if self.silent:
            return
        if self.garbage:
            return exchange.respond(200, b'{"index": "x"')
        query = dict(item.split(b"=") for item in exchange.target.partition(b"?")[2].split(b"&") if item)
        if b"after" not in query:
            return exchange.json(200, self.whole())
        after = int(query[b"after"])
        if after < self.index:
            return self.answer(exchange, after)
        self.waiting.append((exchange, after))
        self.platform.loop.call_later(int(query.get(b"wait_ms", 0)) * MS, self.late, exchange, after)

    def late(self, exchange, after):
        if (exchange, after) in self.waiting and not exchange.over:
            self.waiting.remove((exchange, after))
            self.answer(exchange, after)

    def answer(self, exchange, after):
        latest = {row["name"]: row for index, row in self.log if index > after}
        exchange.json(200, {"index": self.index, "snapshot": False, "endpoints": list(latest.values())})

    def tell(self, *rows):
        self.index += 1
        self.log.extend((self.index, row) for row in rows)
        waiting, self.waiting = self.waiting, []
        for exchange, after in waiting:
            if not exchange.over and not self.silent:
                self.answer(exchange, after)


class Platform:
    def __init__(self, loop, roles=("read", "write", "write")):
        self.loop, self.servers, self.retired, self.count = loop, {}, [], 0
        for role in roles:
            self.add(role)
        self.discovery = Discovery(self)

    def add(self, role):
        self.count += 1
        server = ModelServer(self, f"s-{self.count}", role)
        self.servers[server.name] = server
        return server

    def remove(self, server):
        """Its row as discovery tells of it; the process ends."""
        del self.servers[server.name]
        self.retired.append(server)
        server.server.listener.close()
        server.server.close()
        return {**server.row(), "status": "DELETED"}

    def holder(self, rid):
        return next((s for s in self.servers.values() if rid in s.states), None)

    def seen(self, *methods):
        """All (server, method, target, id, body) that model servers saw, in each one's order."""
        return [
            (s.name, *row) for s in [*self.retired, *self.servers.values()] for row in s.seen if not methods or row[0] in methods
        ]

    def close(self):
        for server in self.servers.values():
            server.server.listener.close()
            server.server.close()
        self.discovery.server.listener.close()
        self.discovery.server.close()
