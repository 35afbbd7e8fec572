"""What one Router costs as the list grows: processor time, allocations and state, in simulated time, with no sockets.

.venv/bin/python -m benchmarks.scale router [--sizes 160,320,640,1024,1280] [--seconds 20] [--plays 3]
"""

import gc
import heapq
import time
import tracemalloc
from itertools import count
from typing import NamedTuple

import numpy as np

from benchmarks.scale.settings import MS, S, router_settings, server_rows
from benchmarks.scale.target import TARGET
from lapiswing.policy import Router

READ_US, FIRST_US, STREAM_US = 80 * MS, 40 * MS, 3 * S
PREFIXES = 200


class RouterCost(NamedTuple):
    """Milliseconds and bytes of one Router at one size."""

    servers: int
    first_list_ms: float
    change_ms: float  # one server's row changes; the mean of ten
    longest_change_ms: float
    timer_ms: float  # the mean
    longest_timer_ms: float
    request_ms: float  # all rounds of one request together
    timers_core: float  # share of one core, without requests' own rounds
    requests_core: float
    state_bytes: int


class Sink:
    """The writer that the Router is given: answers each attempt as an unloaded server would."""

    def __init__(self, play):
        self.play, self.attempts = play, {}

    def forward(self, request, server, timeout_us, up_us=None):
        number = self.attempts[request] = self.attempts.get(request, -1) + 1
        if server[0] == "r":
            self.play.later(READ_US, ("outcome", request, number, server, "read", READ_US, False, 0, None))
        else:
            self.play.later(FIRST_US, ("first", request, server, FIRST_US, number))
            self.play.later(STREAM_US, ("outcome", request, number, server, "done", STREAM_US, True, 0, None))

    def timer(self, after_us, token):
        self.play.later(after_us, ("timer", token))

    def __getattr__(self, name):
        return lambda *args: None


class Play:
    """One Router under a gateway's part of the target's requests."""

    def __init__(self, servers, seed, requests_a_second=TARGET.requests_a_gateway):
        self.chance = np.random.default_rng([seed, servers])
        self.rate, self.now, self.events, self.order = requests_a_second, 0, [], count()
        self.spent = {"timer": [], "request": [], "change": []}
        self.requests, self.arrival = 0, self.between_us()
        settings = router_settings(TARGET.gateways, TARGET.tenants, TARGET.requests)
        self.router, self.sink = Router(seed, settings, 0), Sink(self)
        self.rows = server_rows(servers, TARGET.prefill_part, TARGET.zones)
        began = time.perf_counter()
        self.router.round(0, [("servers", "replace", self.rows)], self.sink)
        self.first_list_s = time.perf_counter() - began

    def later(self, after_us, event):
        heapq.heappush(self.events, (self.now + after_us, next(self.order), event))

    def request(self):
        self.requests += 1
        tokens = int(1000 * self.chance.lognormal(-0.32, 0.8)) + 20
        prefix = f"p{int(self.chance.zipf(1.5)) % PREFIXES}"
        return (
            "req",
            f"q{self.requests}",
            tokens,
            self.now + 6 * S,
            f"s{self.requests}",
            prefix,
            tokens // 2,
            260,
            None,
            0,
            int(self.chance.integers(TARGET.tenants)),
            0,
        )

    def run(self, seconds):
        end = self.now + int(seconds * S)
        while True:
            due = min(self.events[0][0], self.arrival) if self.events else self.arrival
            if due >= end:
                self.now = end
                return self
            self.now = due
            if self.events and self.events[0][0] == due:
                event = heapq.heappop(self.events)[2]
            else:
                event = self.request()
                self.arrival = due + self.between_us()
            self.round("timer" if event[0] == "timer" else "request", event)

    def between_us(self):
        return int(self.chance.exponential(S / self.rate))

    def round(self, of, event):
        began = time.perf_counter()
        self.router.round(self.now, [event], self.sink)
        self.spent[of].append(time.perf_counter() - began)

    def change_one(self):
        """One server starts to drain, and is back: two changes of one row each."""
        row = self.rows[int(self.chance.integers(len(self.rows)))]
        for mode in ("draining", "ready"):
            self.round("change", ("servers", "update", [row._replace(mode=mode)]))


def state_bytes(servers, seed, seconds):
    """Memory of one Router after some traffic, by the interpreter's own count of what is allocated."""
    gc.collect()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    play = Play(servers, seed).run(seconds)
    play.spent.clear()
    play.events.clear()
    gc.collect()
    held = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    del play  # it lives until it was counted
    return held


def measure(servers, seed, seconds):
    play = Play(servers, seed)
    play.run(2)  # what is first met is not usual
    play.spent = {"timer": [], "request": [], "change": []}
    requests, began_us = play.requests, play.now
    gc.collect()
    gc.disable()
    try:
        play.run(seconds)
        for _ in range(5):
            play.change_one()
    finally:
        gc.enable()
    past_s, asked = (play.now - began_us) / S, play.requests - requests
    spent = {of: np.array(times) for of, times in play.spent.items()}
    return RouterCost(
        servers,
        play.first_list_s * 1e3,
        spent["change"].mean() * 1e3,
        spent["change"].max() * 1e3,
        spent["timer"].mean() * 1e3,
        spent["timer"].max() * 1e3,
        spent["request"].sum() * 1e3 / asked,
        spent["timer"].sum() / past_s,
        spent["request"].sum() / past_s,
        0,
    )


def slope(sizes, seconds, plays):
    """-> for each size, RouterCosts of `plays` seeds."""
    table = []
    for servers in sizes:
        costs = [measure(servers, seed, seconds) for seed in range(1, plays + 1)]
        held = state_bytes(servers, 1, min(seconds, 5))
        table.append([cost._replace(state_bytes=held) for cost in costs])
    return table
