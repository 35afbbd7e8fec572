"""Reproducible randomness: `zlib.crc32` over a seed and a counter, and hashes that are the same at all gateways."""

from bisect import bisect_left
from itertools import accumulate
from zlib import crc32


def hash_fraction(data):
    """A number in [0, 1) from bytes. The checksum is squared because crc32 alone is linear: ranks and draws of all routers would
    be correlated."""
    return crc32(data) ** 2 % 4294967291 / 4294967291


def rendezvous_rank(key, server):
    """The rendezvous hash (highest random weight) of a key and a server, the same at all gateways."""
    return hash_fraction(f"{key}/{server.id}".encode())


class SeededRandom:
    """A random generator whose numbers depend only on its seed and on how many were drawn."""

    def __init__(self, seed):
        self.seed, self.draws = seed, 0

    def __call__(self):
        """The next number in [0, 1)."""
        self.draws += 1
        return hash_fraction(b"%d/%d" % (self.seed, self.draws))

    def draw(self, weighted):
        """One item of (item, weight) pairs, with probability proportional to its weight."""
        sums = list(accumulate(weight for _, weight in weighted))
        return weighted[min(bisect_left(sums, self() * sums[-1]), len(sums) - 1)][0]
