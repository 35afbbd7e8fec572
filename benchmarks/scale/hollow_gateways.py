"""Hollow gateways: many real gateway nodes in one process on one event loop, with a router that routes nothing. The watch on
discovery, the server list, the connection pool and the listener are the deployed ones."""

import json
from pathlib import Path

from lapiswing.node.serve import Node


class ListeningRouter:
    """Replaces the Router: records when each change of the server list arrived."""

    def __init__(self, seed, settings, now_us):
        self.observed, self.reqs, self.servers, self.known = [], {}, {}, set()

    def round(self, now_us, events, out):
        for event in events:
            if event[0] == "servers":
                self.record(event[1], event[2], now_us)

    def record(self, kind, rows, now_us):
        names = {row.id for row in rows}
        if kind == "update":
            self.known |= names
        elif kind != "unavailable":  # the full list: servers missing from it are gone
            self.observed += [(name, "gone", 0, now_us) for name in self.known - names]
            self.known = names
        self.observed += [(row.id, row.mode, row.kind, now_us) for row in rows if kind == "update"]


class NoLog:
    """Discards log records."""

    def __getattr__(self, name):
        return lambda *args, **fields: None


class HollowGateways:
    """The hollow gateways of one process."""

    def __init__(self, loop, folder, configurations):
        """`configurations`: one dict for each gateway, as in the platform's configuration file."""
        self.nodes = []
        for configuration in configurations:
            path = Path(folder) / f"{configuration['name']}.json"
            path.write_text(json.dumps(configuration))
            node = Node(str(path), NoLog(), loop, ListeningRouter)
            node.start()
            self.nodes.append(node)

    def ready(self):
        return sum(len(node.server_list.rows) > 0 for node in self.nodes)

    def report(self):
        return {
            "observed": [node.core.router.observed for node in self.nodes],
            "calls": sum(node.discovery.calls for node in self.nodes),
            "opened": sum(node.pool.opened + node.discovery_pool.opened for node in self.nodes),
        }
