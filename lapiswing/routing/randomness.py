"""Chance that can be played again: from `zlib.crc32` over a seed and a counter, and hashes that all gateways share."""

from bisect import bisect_left
from itertools import accumulate
from zlib import crc32


def hash_fraction(data):
    """A number in [0, 1) from bytes. Squared: crc32 alone is linear, so that ranks and draws of all routers would go together."""
    return crc32(data) ** 2 % 4294967291 / 4294967291


def rendezvous_rank(key, server):
    """The rendezvous hash of a key and a server, the same at all gateways."""
    return hash_fraction(f"{key}/{server.id}".encode())


class SeededRandom:
    def __init__(self, seed):
        self.seed, self.draws = seed, 0

    def __call__(self):
        """The next number in [0, 1)."""
        self.draws += 1
        return hash_fraction(b"%d/%d" % (self.seed, self.draws))

    def draw(self, weighted):
        """One of (item, weight) pairs."""
        sums = list(accumulate(weight for _, weight in weighted))
        return weighted[min(bisect_left(sums, self() * sums[-1]), len(sums) - 1)][0]
