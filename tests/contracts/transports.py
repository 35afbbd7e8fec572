"""The transports that have to keep the contract. A further one is a line in TRANSPORTS.

Each is a function of a seed -> Net: `end(name)` makes an endpoint with `address`, `send(address, data)`,
`got` (messages, in order), `close()` and `open()` again at the same address; `way(a, b)` is the address by
which a reaches b; `run(ms, until)` lets time pass; `stall(end)` lets an endpoint read nothing more, where
that is possible."""

from lapiswing.fleet.transport import Streams
from lapiswing.lab.fleetsim import Fleet
from lapiswing.loop import Clock, Loop, free_ports
from lapiswing.standin.wire import Wire


class SimEnd:
    def __init__(self, net, index):
        self.net, self.index, self.got, self.up = net, index, [], True
        self.address = net.fleet.address(index)

    def send(self, address, data):
        if self.up:
            self.net.fleet.send(self.net.fleet.nodes[self.index], address, data)

    def close(self):
        self.up = False
        self.net.fleet.nodes[self.index].link = None

    def open(self):
        self.up = True
        self.net.fleet.nodes[self.index].link = self

    def heard(self, now_us, data):
        self.got.append(data)


class Simulated:
    """The network that simulated fleets run on. It keeps no order."""

    good, ordered = True, False

    def __init__(self, seed):
        self.fleet, self.ends = Fleet(8, seed), {}

    def end(self, name):
        end = self.ends[name] = SimEnd(self, len(self.ends))
        end.open()
        return end

    def way(self, a, b):
        return b.address

    def run(self, ms, until=None):
        for at in range(0, ms, 5):  # time passes, and `until` is asked, though nothing is on its way
            self.fleet.call_later(at * 1000, lambda: None)
        return self.fleet.run(ms, until)

    def close(self):
        pass


class SocketEnd:
    def __init__(self, net):
        self.net, self.got, self.port = net, [], free_ports(1)[0]
        self.address = f"127.0.0.1:{self.port}"
        self.transport = None
        self.open()

    def open(self):
        self.transport = Streams(self.net.loop, "127.0.0.1", self.port, self.got.append)

    def send(self, address, data):
        self.transport.send(address, data)

    def close(self):
        self.transport.close()


class Sockets:
    good, ordered = True, True

    def __init__(self, seed):
        self.loop, self.ends, self.wires, self.seed = Loop(Clock()), {}, {}, seed

    def end(self, name):
        end = self.ends[name] = SocketEnd(self)
        return end

    def way(self, a, b):
        return b.address

    def run(self, ms, until=None):
        return self.loop.run_until(until or (lambda: False), ms * 1000)

    def stall(self, end):
        """It reads nothing from now on, as a process that stands still."""
        for inward in end.transport.inward:
            inward.stream.pause()
        end.transport.listener.on_stream = lambda stream, peer: (end.transport.accept(stream, peer), stream.pause())

    def close(self):
        for end in self.ends.values():
            end.close()
        for wire in self.wires.values():
            wire.close()
        self.loop.close()


class BadLink(Sockets):
    """Loses three in ten, repeats some, keeps no order."""

    good, ordered = False, False

    def way(self, a, b):
        if (a, b) not in self.wires:
            wire = self.wires[a, b] = Wire(self.loop, b.address, self.seed)
            wire.loss, wire.twice, wire.delay = 0.3, 0.2, (0, 30_000)
        return self.wires[a, b].address


TRANSPORTS = [Simulated, Sockets, BadLink]
