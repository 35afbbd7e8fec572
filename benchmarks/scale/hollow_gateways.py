"""Hollow gateways: the real program of the platform, many in one process on one loop, with decisions that choose nothing.
Discovery's watch, the list, the connection pool and the listener are those that are deployed."""

import json
from pathlib import Path

from lapiswing.node.serve import Node


class ListeningRouter:
    """In place of the decisions: keeps when each change of the list was heard."""

    def __init__(self, seed, settings, now_us):
        self.heard, self.reqs, self.servers, self.known = [], {}, {}, set()

    def round(self, now_us, events, out):
        for event in events:
            if event[0] == "servers":
                self.hear(event[1], event[2], now_us)

    def hear(self, kind, rows, now_us):
        named = {row.id for row in rows}
        if kind == "update":
            self.known |= named
        elif kind != "unavailable":  # the whole list: what it no longer names is gone
            self.heard += [(name, "gone", 0, now_us) for name in self.known - named]
            self.known = named
        self.heard += [(row.id, row.mode, row.kind, now_us) for row in rows if kind == "update"]


class NoLog:
    def __getattr__(self, name):
        return lambda *args, **fields: None


class HollowGateways:
    def __init__(self, loop, folder, configurations):
        """`configurations`: as the platform would give them, one dict for each gateway."""
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
            "heard": [node.core.router.heard for node in self.nodes],
            "calls": sum(node.discovery.calls for node in self.nodes),
            "opened": sum(node.pool.opened + node.discovery_pool.opened for node in self.nodes),
        }
