"""Counts of what one Router does, by size of the list: no wall time in them."""

import gc
import tracemalloc
from contextlib import contextmanager

import numpy as np

from benchmarks.scale.router_cost import Play
from lapiswing.routing import groups, pair_table


class CountingNumpy:
    """Stands for numpy in a module: counts calls, and the elements that are sorted or partitioned."""

    def __init__(self):
        self.calls = self.sorted = self.looked_at = 0

    def __getattr__(self, name):
        real = getattr(np, name)
        if not callable(real) or isinstance(real, (type, np.ufunc)):
            return real

        def counted(*args, **more):
            self.calls += 1
            if name in ("argsort", "sort", "lexsort"):
                self.sorted += np.size(args[0])
            if name in ("partition", "argpartition"):
                self.looked_at += np.size(args[0])
            return real(*args, **more)

        return counted


@contextmanager
def counting():
    count, modules = CountingNumpy(), (pair_table, groups)
    for module in modules:
        module.np = count
    try:
        yield count
    finally:
        for module in modules:
            module.np = np


@contextmanager
def allocating():
    """-> a list that holds, at the end, the most bytes that were allocated at once inside."""
    peak = []
    gc.collect()
    tracemalloc.start()
    try:
        yield peak
        peak.append(tracemalloc.get_traced_memory()[1])
    finally:
        tracemalloc.stop()


def router_of(servers, seconds=2):
    """A Router of the target's fleet with so many servers, after some traffic."""
    return Play(servers, 1).run(seconds)


def entries(value, seen=None):
    """How many entries the arrays and containers of an object hold, each counted once."""
    seen = set() if seen is None else seen
    if id(value) in seen or isinstance(value, (str, bytes, int, float, bool, type(None))):
        return 0
    seen.add(id(value))
    if isinstance(value, np.ndarray):
        return value.size
    if isinstance(value, dict):
        return len(value) + sum(entries(item, seen) for item in value.values())
    if isinstance(value, (list, tuple, set)):
        return len(value) + sum(entries(item, seen) for item in value)
    if hasattr(value, "__dict__"):
        return sum(entries(item, seen) for item in vars(value).values())
    return 0
