"""Discovery for a whole fleet: the whole list, changes, silence and the storm of watches at its return. It stands for
the agents on all gateways' machines, and counts what they are asked and sent."""

from collections import Counter

import orjson

from lapiswing.http1 import Limits, Server
from lapiswing.loop import Listener, listen_socket

MS = 1000
LONG_US = 3600 * 1000 * MS


class FleetDiscovery:
    def __init__(self, loop, rows):
        self.loop, self.rows = loop, {row["name"]: row for row in rows}
        self.index, self.log, self.waiting = 1, [], {}  # log: (index, row)
        self.counts, self.silent, self.whole = Counter(), False, None
        self.told_us = {}  # (name, status, type) -> when
        self.busiest, self.second = 0, [0, 0]  # most calls in a second; the present one and its calls
        self.server = Server(loop, self.app, Limits(head_us=LONG_US, body_us=LONG_US, idle_us=LONG_US))
        self.listener = Listener(loop, listen_socket("127.0.0.1", 0), self.server.accept)
        self.server.listener = self.listener
        self.address = "127.0.0.1:%d" % self.listener.address[1]

    def app(self, exchange):
        now_s = self.loop.now // 1_000_000
        self.second = [now_s, self.second[1] + 1 if self.second[0] == now_s else 1]
        self.busiest = max(self.busiest, self.second[1])
        self.counts["calls"] += 1
        if self.silent:
            self.counts["calls unanswered"] += 1
            return
        query = dict(item.split(b"=") for item in exchange.target.partition(b"?")[2].split(b"&") if item)
        if b"after" not in query:
            self.counts["whole lists"] += 1
            return self.send(exchange, self.whole_list())
        after = int(query[b"after"])
        if after < self.index:
            return self.changes(exchange, after)
        self.waiting[exchange] = after
        exchange.on_left = lambda: self.waiting.pop(exchange, None)
        self.loop.call_later(int(query.get(b"wait_ms", 0)) * MS, self.late, exchange)

    def whole_list(self):
        if self.whole is None:
            self.whole = orjson.dumps({"index": self.index, "snapshot": True, "endpoints": list(self.rows.values())})
        return self.whole

    def send(self, exchange, body):
        self.counts["bytes"] += len(body)
        exchange.respond(200, body)

    def late(self, exchange):
        after = self.waiting.pop(exchange, None)
        if after is not None and not exchange.over and not self.silent:
            self.changes(exchange, after)

    def changes(self, exchange, after):
        latest = {row["name"]: row for index, row in self.log if index > after}
        self.send(exchange, orjson.dumps({"index": self.index, "snapshot": False, "endpoints": list(latest.values())}))

    def tell(self, rows):
        self.index += 1
        self.whole = None
        now = self.loop.clock.now_us()
        for row in rows:
            self.rows[row["name"]] = row
            self.log.append((self.index, row))
            self.told_us[row["name"], row["status"], row["type"]] = now
        waiting, self.waiting = self.waiting, {}
        for exchange, after in waiting.items():
            if not exchange.over and not self.silent:
                self.changes(exchange, after)

    def be_silent(self, silent):
        """What waits at its begin is never answered; at its end all that was told meanwhile counts."""
        self.silent = silent
        if silent:
            self.waiting.clear()
        else:
            now = self.loop.clock.now_us()
            self.told_us = {key: max(at, now) if at >= self.silent_us else at for key, at in self.told_us.items()}
        self.silent_us = self.loop.clock.now_us()

    silent_us = 0

    def report(self):
        return {
            "counts": dict(self.counts),
            "busiest_second": self.busiest,
            "told": [[*key, at] for key, at in self.told_us.items()],
        }
