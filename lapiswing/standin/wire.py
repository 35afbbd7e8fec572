"""A bad link between two copies of the program, on loopback: it passes the fleet link's messages on, one way,
and loses, delays, repeats, reorders, spoils or holds them by seed. `address` is what the sender is given in
place of `to`.

Fields that may be changed at any time: loss, twice, flip (parts of 1), delay_ms (from, to), cut (nothing
passes, nobody is told)."""
from random import Random

from lapiswing.fleet.transport import Streams

MS = 1000


class Wire:
    def __init__(self, loop, to, seed=1):
        """`to`: host:port, or a function that gives it, for a copy that comes back elsewhere."""
        self.loop, self.to, self.rng = loop, to if callable(to) else lambda: to, Random(seed)
        self.loss, self.twice, self.flip, self.delay_ms, self.cut = 0.0, 0.0, 0.0, (0, 0), False
        self.passed = self.lost = 0
        self.transport = Streams(loop, "127.0.0.1", 0, self.take)
        self.address = f"127.0.0.1:{self.transport.port}"

    def take(self, data):
        if self.cut or self.rng.random() < self.loss:
            self.lost += 1
            return
        for _ in range(2 if self.rng.random() < self.twice else 1):
            copy = data
            if self.rng.random() < self.flip:
                spoilt = bytearray(data)
                spoilt[self.rng.randrange(len(data))] ^= 1 << self.rng.randrange(8)
                copy = bytes(spoilt)
            low, high = self.delay_ms
            self.loop.call_later(int((low + self.rng.random() * (high - low)) * MS), self.on, copy)

    def on(self, data):
        if not self.cut:
            self.passed += 1
            self.transport.send(self.to(), data)

    def close(self):
        self.transport.close()
