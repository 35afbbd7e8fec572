"""A bad link between two copies of the program, on loopback: it passes the fleet link's messages on, one way,
and loses, delays, repeats, reorders, spoils or holds them by seed. `address` is what the sender is given in
place of `to`.

Fields that may be changed at any time: those of Fates, and cut (nothing passes, nobody is told)."""

from random import Random

from lapiswing.fleet.transport import Streams


class Fates:
    """What becomes of messages on a bad link. `rng`: anything with `random()`. `loss`, `twice`, `flip`: parts
    of 1. `delay`: least and most us."""

    def __init__(self, rng, delay=(0, 0)):
        self.rng, self.loss, self.delay, self.twice, self.flip = rng, 0.0, delay, 0.0, 0.0

    def fates(self, data):
        """-> [(after us, bytes)], one for each copy that arrives."""
        if self.rng.random() < self.loss:
            return []
        out = []
        for _ in range(2 if self.twice and self.rng.random() < self.twice else 1):
            copy = data
            if self.flip and self.rng.random() < self.flip:
                spoilt = bytearray(data)
                spoilt[int(self.rng.random() * len(data))] ^= 1 << int(self.rng.random() * 8)
                copy = bytes(spoilt)
            out.append((int(self.delay[0] + self.rng.random() * (self.delay[1] - self.delay[0])), copy))
        return out


class Wire(Fates):
    def __init__(self, loop, to, seed=1):
        """`to`: host:port, or a function that gives it, for a copy that comes back elsewhere."""
        super().__init__(Random(seed))
        self.loop, self.to, self.cut = loop, to if callable(to) else lambda: to, False
        self.transport = Streams(loop, "127.0.0.1", 0, self.take)
        self.address = f"127.0.0.1:{self.transport.port}"

    def take(self, data):
        for after_us, copy in [] if self.cut else self.fates(data):
            self.loop.call_later(after_us, self.on, copy)

    def on(self, data):
        if not self.cut:
            self.transport.send(self.to(), data)

    def close(self):
        self.transport.close()
