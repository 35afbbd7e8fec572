"""A discovery service for a whole fleet: full lists, changes, outages and the burst of watch calls after an outage. It stands
in for the discovery agents on all gateway machines, and counts calls and bytes."""

from collections import Counter

import orjson

from lapiswing.http1 import Limits, Server
from lapiswing.loop import Listener, listen_socket

MS = 1000
LONG_US = 3600 * 1000 * MS


class FleetDiscovery:
    """Serves the list of servers over HTTP, with long polling for changes."""

    def __init__(self, loop, rows):
        self.loop, self.rows = loop, {row["name"]: row for row in rows}
        self.index, self.log, self.waiting = 1, [], {}  # log: (index, row)
        self.counts, self.silent, self.full_body = Counter(), False, None
        self.published_us = {}  # (name, status, type) -> when
        self.busiest, self.second = 0, [0, 0]  # most calls in one second; the current second and its calls
        self.server = Server(loop, self.app, Limits(head_us=LONG_US, body_us=LONG_US, idle_us=LONG_US))
        self.listener = Listener(loop, listen_socket("127.0.0.1", 0), self.server.accept)
        self.server.listener = self.listener
        self.address = "127.0.0.1:%d" % self.listener.address[1]

    def app(self, exchange):
        """Answers with the full list, or with the changes after an index once there are any."""
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
            return self.send(exchange, self.full_list())
        after = int(query[b"after"])
        if after < self.index:
            return self.send_changes(exchange, after)
        self.waiting[exchange] = after
        exchange.on_left = lambda: self.waiting.pop(exchange, None)
        self.loop.call_later(int(query.get(b"wait_ms", 0)) * MS, self.end_wait, exchange)

    def full_list(self):
        """-> the body of a full list."""
        if self.full_body is None:
            self.full_body = orjson.dumps({"index": self.index, "snapshot": True, "endpoints": list(self.rows.values())})
        return self.full_body

    def send(self, exchange, body):
        self.counts["bytes"] += len(body)
        exchange.respond(200, body)

    def end_wait(self, exchange):
        """Answers a long poll whose waiting time has passed."""
        after = self.waiting.pop(exchange, None)
        if after is not None and not exchange.over and not self.silent:
            self.send_changes(exchange, after)

    def send_changes(self, exchange, after):
        latest = {row["name"]: row for index, row in self.log if index > after}
        self.send(exchange, orjson.dumps({"index": self.index, "snapshot": False, "endpoints": list(latest.values())}))

    def publish(self, rows):
        """Adds or replaces rows, and answers the waiting long polls."""
        self.index += 1
        self.full_body = None
        now = self.loop.clock.now_us()
        for row in rows:
            self.rows[row["name"]] = row
            self.log.append((self.index, row))
            self.published_us[row["name"], row["status"], row["type"]] = now
        waiting, self.waiting = self.waiting, {}
        for exchange, after in waiting.items():
            if not exchange.over and not self.silent:
                self.send_changes(exchange, after)

    def set_silent(self, silent):
        """Starts or ends an outage. Calls that wait at its start are never answered; changes published during it count as
        published at its end."""
        self.silent = silent
        if silent:
            self.waiting.clear()
        else:
            now = self.loop.clock.now_us()
            self.published_us = {
                key: max(published, now) if published >= self.silent_us else published
                for key, published in self.published_us.items()
            }
        self.silent_us = self.loop.clock.now_us()

    silent_us = 0

    def report(self):
        return {
            "counts": dict(self.counts),
            "busiest_second": self.busiest,
            "published": [[*key, published] for key, published in self.published_us.items()],
        }
