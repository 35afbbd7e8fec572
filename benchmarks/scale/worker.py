"""A worker process of the rig: hollow servers, hollow gateways or discovery. The first line on standard input names its role
and further lines are commands, each a JSON object; each answer is one line of JSON.

    python -m benchmarks.scale.worker
"""

import json
import os
import selectors
import sys

import msgspec

from benchmarks.scale.discovery import FleetDiscovery
from benchmarks.scale.hollow_gateways import HollowGateways
from benchmarks.scale.hollow_servers import HollowServer
from benchmarks.scale.scenario import Load, ServerModel
from lapiswing.loop import Clock, Loop


class Servers:
    """The role that runs hollow servers."""

    def __init__(self, loop, rows, model, load):
        model, load = msgspec.convert(model, ServerModel), msgspec.convert(load, Load)
        self.servers = {row["name"]: HollowServer(loop, row["name"], row, model, load) for row in rows}

    def begin(self):
        return {name: server.address for name, server in self.servers.items()}

    def silent(self, names, on):
        for server in self.chosen(names):
            server.set_silent(on)

    def die(self, names):
        for server in self.chosen(names):
            server.die()

    def change_role(self, names, role):
        for server in self.chosen(names):
            server.row["type"] = role

    def chosen(self, names):
        return [self.servers[name] for name in names if name in self.servers]

    def report(self):
        return {name: server.report() for name, server in self.servers.items()}


class Discovery:
    """The role that runs the discovery service."""

    def __init__(self, loop, rows):
        self.discovery = FleetDiscovery(loop, rows)

    def begin(self):
        return self.discovery.address

    def publish(self, rows):
        self.discovery.publish(rows)

    def silent(self, on):
        self.discovery.set_silent(on)

    def report(self):
        return self.discovery.report()


class Gateways:
    """The role that runs hollow gateways."""

    def __init__(self, loop, folder, configurations):
        self.gateways = HollowGateways(loop, folder, configurations)

    def begin(self):
        return len(self.gateways.nodes)

    def ready(self):
        return self.gateways.ready()

    def report(self):
        return self.gateways.report()


ROLES = {"servers": Servers, "discovery": Discovery, "gateways": Gateways}


class Worker:
    """Reads commands and calls the methods of the role."""

    def __init__(self):
        self.loop, self.partial_line = Loop(Clock()), b""
        self.role = None
        os.set_blocking(sys.stdin.fileno(), False)
        self.loop.watch(sys.stdin, selectors.EVENT_READ, self.on_input)

    def on_input(self, _mask):
        data = os.read(sys.stdin.fileno(), 1 << 20)
        if not data:
            return self.loop.stop()  # the rig has exited
        *lines, self.partial_line = (self.partial_line + data).split(b"\n")
        for line in lines:
            self.command(json.loads(line))

    def command(self, fields):
        """`do` names a method of the role; in the first command it names the role."""
        do = fields.pop("do")
        if self.role is None:
            self.role = ROLES[do](self.loop, **fields)
            return self.answer(self.role.begin())
        self.answer(getattr(self.role, do)(**fields))

    @staticmethod
    def answer(value):
        sys.stdout.write(json.dumps(value) + "\n")
        sys.stdout.flush()


if __name__ == "__main__":
    Worker().loop.run()
