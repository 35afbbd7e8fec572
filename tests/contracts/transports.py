"""The transports that have to fulfil the contract, listed in TRANSPORTS.

Each is called with a seed and gives a network: `end(name)` makes an endpoint with `address`, `send(address,
data)`, `got` (messages received, in order), `close()` and `open()` again at the same address; `route(a, b)` is
the address by which a reaches b; `run(ms, until)` lets time pass; `stall(end)`, where supported, makes an
endpoint stop reading."""

from lapiswing.fleet.transport import Streams
from lapiswing.lab.fleetsim import Fleet
from lapiswing.loop import Clock, Loop, free_ports
from lapiswing.standin.wire import Wire


class SimEnd:
    """An endpoint of the simulated network."""

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
    """The network of simulated fleets. It does not keep messages in order."""

    reliable, ordered = True, False

    def __init__(self, seed):
        self.fleet, self.ends = Fleet(8, seed), {}

    def end(self, name):
        end = self.ends[name] = SimEnd(self, len(self.ends))
        end.open()
        return end

    def route(self, a, b):
        return b.address

    def run(self, ms, until=None):
        for delay_ms in range(0, ms, 5):  # empty events, so that `until` is evaluated while no message is in flight
            self.fleet.call_later(delay_ms * 1000, lambda: None)
        return self.fleet.run(ms, until)

    def close(self):
        pass


class SocketEnd:
    """An endpoint with real sockets."""

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
    """Real sockets on loopback."""

    reliable, ordered = True, True

    def __init__(self, seed):
        self.loop, self.ends, self.wires, self.seed = Loop(Clock()), {}, {}, seed

    def end(self, name):
        end = self.ends[name] = SocketEnd(self)
        return end

    def route(self, a, b):
        return b.address

    def run(self, ms, until=None):
        return self.loop.run_until(until or (lambda: False), ms * 1000)

    def stall(self, end):
        """The endpoint reads nothing from now on, like a stopped process."""
        for connection in end.transport.inbound:
            connection.stream.pause()
        end.transport.listener.on_stream = lambda stream, peer: (end.transport.accept(stream, peer), stream.pause())

    def close(self):
        for end in self.ends.values():
            end.close()
        for wire in self.wires.values():
            wire.close()
        self.loop.close()


class BadLink(Sockets):
    """Loses three in ten messages, repeats some, and reorders them."""

    reliable, ordered = False, False

    def route(self, a, b):
        if (a, b) not in self.wires:
            wire = self.wires[a, b] = Wire(self.loop, b.address, self.seed)
            wire.loss, wire.twice, wire.delay = 0.3, 0.2, (0, 30_000)
        return self.wires[a, b].address


TRANSPORTS = [Simulated, Sockets, BadLink]
