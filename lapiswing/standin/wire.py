"""An unreliable one-way link on loopback between two copies of the gateway.

It forwards the messages of the fleet link, and loses, delays, duplicates, reorders or corrupts them as a seeded random generator
decides. The sender uses `address` in place of the receiver's address `to`.

Fields that may be changed at any time: those of Fates, and cut (drops all messages without an error to either side)."""

from random import Random

from lapiswing.fleet.transport import Streams


class Fates:
    """Decides what happens to each message on an unreliable link.

    `rng`: an object with `random()`. `loss`, `twice`, `flip`: probabilities of loss, duplication and a flipped bit.
    `delay`: minimum and maximum in us."""

    def __init__(self, rng, delay=(0, 0)):
        self.rng, self.loss, self.delay, self.twice, self.flip = rng, 0.0, delay, 0.0, 0.0

    def fates(self, data):
        """Returns [(delay in us, bytes)], one for each copy that arrives."""
        if self.rng.random() < self.loss:
            return []
        copies = []
        for _ in range(2 if self.twice and self.rng.random() < self.twice else 1):
            copy = data
            if self.flip and self.rng.random() < self.flip:
                corrupted = bytearray(data)
                corrupted[int(self.rng.random() * len(data))] ^= 1 << int(self.rng.random() * 8)
                copy = bytes(corrupted)
            copies.append((int(self.delay[0] + self.rng.random() * (self.delay[1] - self.delay[0])), copy))
        return copies


class Wire(Fates):
    """An unreliable link to one receiver."""

    def __init__(self, loop, to, seed=1):
        """`to`: host:port, or a function that returns it, for a receiver that may restart at another address."""
        super().__init__(Random(seed))
        self.loop, self.to, self.cut = loop, to if callable(to) else lambda: to, False
        self.transport = Streams(loop, "127.0.0.1", 0, self.receive)
        self.address = f"127.0.0.1:{self.transport.port}"

    def receive(self, data):
        """Schedules the delivery of each copy of a message."""
        for after_us, copy in [] if self.cut else self.fates(data):
            self.loop.call_later(after_us, self.deliver, copy)

    def deliver(self, data):
        if not self.cut:
            self.transport.send(self.to(), data)

    def close(self):
        self.transport.close()
