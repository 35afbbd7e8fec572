"""Counts the work of one Router by the number of servers; no wall time is measured."""

import gc
import tracemalloc
from contextlib import contextmanager

import numpy as np

from benchmarks.scale.router_cost import Play
from lapiswing.routing import groups, pair_table


class CountingNumpy:
    """Replaces numpy in a module: counts calls, and the elements that are sorted or partitioned."""

    def __init__(self):
        self.calls = self.sorted = self.partitioned = 0

    def __getattr__(self, name):
        real = getattr(np, name)
        if not callable(real) or isinstance(real, (type, np.ufunc)):
            return real

        def counted(*args, **more):
            self.calls += 1
            if name in ("argsort", "sort", "lexsort"):
                self.sorted += np.size(args[0])
            if name in ("partition", "argpartition"):
                self.partitioned += np.size(args[0])
            return real(*args, **more)

        return counted


@contextmanager
def counting():
    """-> the counts of numpy's work in the pair table while the context is open."""
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
    """-> a list that holds, once the context is closed, the peak of bytes allocated inside."""
    peak = []
    gc.collect()
    tracemalloc.start()
    try:
        yield peak
        peak.append(tracemalloc.get_traced_memory()[1])
    finally:
        tracemalloc.stop()


def router_of(servers, seconds=2):
    """A Router in a fleet like the target's with this many servers, after some seconds of traffic."""
    return Play(servers, 1).run(seconds)


def entries(value, seen=None):
    """How many entries the arrays and containers of an object hold, each object counted once."""
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
