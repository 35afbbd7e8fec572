"""Stand-ins for the services of the platform that a gateway talks to: model servers, which read (prefill) and write (decode), and
discovery. They speak the platform's protocol, record what they received, and fail as a test tells them to.

A model server calls its `fault(exchange)`, if set, first for each request; a true result means that the fault has handled the
request."""

import orjson

from lapiswing.http1 import Limits, Server
from lapiswing.loop import Listener, listen_socket

US_PER_MS = 1000
TIMEOUT_US = 3600_000 * US_PER_MS  # longer than any test


def serve(loop, app, host="127.0.0.1"):
    """Starts an HTTP server on a free port."""
    server = Server(loop, app, Limits(head_us=TIMEOUT_US, body_us=TIMEOUT_US, idle_us=TIMEOUT_US))
    server.listener = Listener(loop, listen_socket(host, 0), server.accept)
    return server


class ModelServer:
    """One model server; `role` is read, write or both."""

    def __init__(self, platform, name, role, zone="a", group=0):
        self.platform, self.name, self.role, self.zone, self.group = platform, name, role, zone, group
        self.status, self.since_ms, self.fault, self.load = "SERVING", 0, None, None
        self.events, self.pause_us, self.read_us = 3, 2 * US_PER_MS, 2 * US_PER_MS  # pause_us: between the events of a stream
        self.reading = set()  # ids of requests whose read is in progress; a release also covers these
        # The (method, path, request id, body) of each request; ids whose read state is held here; number of abandoned requests.
        self.seen, self.states, self.left = [], set(), 0
        self.seen_us = []  # arrival time of each entry of `seen`
        self.server = serve(platform.loop, self.app)
        self.address = "127.0.0.1:%d" % self.server.listener.address[1]

    def row(self):
        """The entry of this server in the list of discovery."""
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
        """The load header, if there is a load to report."""
        return [(b"srv-load", self.load)] if self.load else []

    def decline(self, exchange, status):
        """Rejects a request without having started on it."""
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
        exchange.on_left = self.gone  # the client closed the connection before the answer ended
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
        """The endpoint of a read state: DELETE releases it on all servers, any other method makes this server hold it."""
        if exchange.method == b"DELETE":
            for server in self.platform.servers.values():
                server.states.discard(rid)
                server.reading.discard(rid)
            return exchange.respond(204)
        self.states.add(rid)
        exchange.respond(200)

    def have_read(self, exchange, rid):
        """Ends a read: from now on the state is held, unless it was released meanwhile."""
        if not exchange.over:
            if rid in self.reading:
                self.reading.discard(rid)
                self.states.add(rid)
            exchange.json(202, {"cached_tokens": 0}, more=self.more())

    @staticmethod
    def event(number):
        """The bytes of one content event of a stream."""
        return b"data: %b\n\n" % orjson.dumps(
            {"choices": [{"index": 0, "delta": {"content": f"w{number} "}, "finish_reason": None}]}
        )

    def whole(self):
        """The bytes of a complete stream: content events, usage, end mark and load."""
        usage = {"prompt_tokens": 8, "completion_tokens": 8, "prompt_tokens_details": {"cached_tokens": 0}}
        return (
            b"".join(self.event(i) for i in range(self.events))
            + b"data: %b\n\ndata: [DONE]\n\n" % orjson.dumps({"choices": [], "usage": usage})
            + (b": Srv-Load: " + self.load + b"\n\n" if self.load else b"")
        )

    def step(self, exchange, number):
        """Sends event `number` of a stream and schedules the next one."""
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
    """The discovery service: lists model servers and answers long polls (watches) for changes to the list.

    `tell(*rows)` publishes changes. Faults: `silent` sends no answers, `garbage` sends answers that can't be parsed."""

    def __init__(self, platform):
        self.platform, self.index, self.waiting, self.log = platform, 1, [], []  # waiting: (exchange, index); log: (index, row)
        self.silent = self.garbage = False
        self.calls = 0
        self.server = serve(platform.loop, self.app)
        self.address = "127.0.0.1:%d" % self.server.listener.address[1]

    def whole(self):
        """The complete list."""
        rows = [server.row() for server in self.platform.servers.values()]
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
        self.platform.loop.call_later(int(query.get(b"wait_ms", 0)) * US_PER_MS, self.late, exchange, after)

    def late(self, exchange, after):
        """Answers a watch whose waiting time is over."""
        if (exchange, after) in self.waiting and not exchange.over:
            self.waiting.remove((exchange, after))
            self.answer(exchange, after)

    def answer(self, exchange, after):
        """Sends the latest row of each server that changed after the index `after`."""
        latest = {row["name"]: row for index, row in self.log if index > after}
        exchange.json(200, {"index": self.index, "snapshot": False, "endpoints": list(latest.values())})

    def tell(self, *rows):
        """Adds changed rows under a new index and answers the waiting watches."""
        self.index += 1
        self.log.extend((self.index, row) for row in rows)
        waiting, self.waiting = self.waiting, []
        for exchange, after in waiting:
            if not exchange.over and not self.silent:
                self.answer(exchange, after)


class Platform:
    """A set of model servers and their discovery."""

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
        """Ends a server and returns the row with which discovery reports its removal."""
        del self.servers[server.name]
        self.retired.append(server)
        server.server.listener.close()
        server.server.close()
        return {**server.row(), "status": "DELETED"}

    def holder(self, rid):
        """Returns the server that holds the read state of a request, or None."""
        return next((server for server in self.servers.values() if rid in server.states), None)

    def seen(self, *methods):
        """(server, method, target, request id, body) of all requests to model servers, in order of arrival at each server."""
        return [
            (server.name, *row)
            for server in [*self.retired, *self.servers.values()]
            for row in server.seen
            if not methods or row[0] in methods
        ]

    def close(self):
        for server in self.servers.values():
            server.server.listener.close()
            server.server.close()
        self.discovery.server.listener.close()
        self.discovery.server.close()
