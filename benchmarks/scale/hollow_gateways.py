"""Hollow gateways: the real program of the platform, many in one process on one loop, with decisions that choose nothing.
Discovery's watch, the list, the connection pool and the listener are those that are deployed."""
import json
from pathlib import Path

from lapiswing.node.serve import Node


class ListeningRouter:
    """In place of the decisions: keeps when each change of the list was heard."""

    def __init__(self, seed, settings, now_us):
        self.heard, self.reqs, self.machines = [], {}, {}

    def round(self, now_us, events, out):
        for event in events:
            if event[0] == "servers" and event[1] == "update":
                self.heard += [(row.id, row.mode, row.kind, now_us) for row in event[2]]


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
        return sum(len(node.rows.rows) > 0 for node in self.nodes)

    def report(self):
        return {"heard": [node.core.router.heard for node in self.nodes],
                "calls": sum(node.discovery.calls for node in self.nodes),
                "opened": sum(node.pool.opened + node.asking.opened for node in self.nodes)}
