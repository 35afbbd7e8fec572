"""Cost of one Router by number of servers: processor time and memory, in simulated time and without sockets.

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

PREFILL_US, FIRST_TOKEN_US, STREAM_US = 80 * MS, 40 * MS, 3 * S
PREFIXES = 200


class RouterCost(NamedTuple):
    """Cost of one Router with a list of `servers` servers."""

    servers: int
    first_list_ms: float
    change_ms: float  # a change of one server's row; mean of ten
    longest_change_ms: float
    timer_ms: float  # mean of a timer event
    longest_timer_ms: float
    request_ms: float  # all events of one request together
    timers_core: float  # share of one core, without the events of requests
    requests_core: float
    state_bytes: int


class Sink:
    """The Router's writer: answers each attempt as an unloaded server would."""

    def __init__(self, play):
        self.play, self.last_attempt_no = play, {}

    def forward(self, request, server, timeout_us, up_us=None):
        attempt_no = self.last_attempt_no[request] = self.last_attempt_no.get(request, -1) + 1
        if server[0] == "r":
            self.play.later(PREFILL_US, ("outcome", request, attempt_no, server, "read", PREFILL_US, False, 0, None))
        else:
            self.play.later(FIRST_TOKEN_US, ("first", request, server, FIRST_TOKEN_US, attempt_no))
            self.play.later(STREAM_US, ("outcome", request, attempt_no, server, "done", STREAM_US, True, 0, None))

    def timer(self, after_us, token):
        self.play.later(after_us, ("timer", token))

    def __getattr__(self, name):
        return lambda *args: None


class Play:
    """Simulation of one Router under a gateway's part of the target's requests."""

    def __init__(self, servers, seed, requests_per_s=TARGET.requests_a_gateway):
        self.random = np.random.default_rng([seed, servers])
        self.rate, self.now, self.events, self.order = requests_per_s, 0, [], count()
        self.spent = {"timer": [], "request": [], "change": []}  # seconds of processing by type of event
        self.requests, self.arrival = 0, self.interval_us()
        settings = router_settings(TARGET.gateways, TARGET.tenants, TARGET.requests)
        self.router, self.sink = Router(seed, settings, 0), Sink(self)
        self.rows = server_rows(servers, TARGET.prefill_part, TARGET.zones)
        began = time.perf_counter()
        self.router.round(0, [("servers", "replace", self.rows)], self.sink)
        self.first_list_s = time.perf_counter() - began

    def later(self, after_us, event):
        """Delivers an event to the Router after a delay."""
        heapq.heappush(self.events, (self.now + after_us, next(self.order), event))

    def request(self):
        """-> the event of a new request."""
        self.requests += 1
        tokens = int(1000 * self.random.lognormal(-0.32, 0.8)) + 20
        prefix = f"p{int(self.random.zipf(1.5)) % PREFIXES}"
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
            int(self.random.integers(TARGET.tenants)),
            0,
        )

    def run(self, seconds):
        """Simulates `seconds` of traffic. -> itself"""
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
                self.arrival = due + self.interval_us()
            self.round("timer" if event[0] == "timer" else "request", event)

    def interval_us(self):
        """A random time between two requests."""
        return int(self.random.exponential(S / self.rate))

    def round(self, event_type, event):
        """Gives the Router one event, and records the time it takes."""
        began = time.perf_counter()
        self.router.round(self.now, [event], self.sink)
        self.spent[event_type].append(time.perf_counter() - began)

    def change_one(self):
        """One server starts to drain and becomes ready again: two changes of one row each."""
        row = self.rows[int(self.random.integers(len(self.rows)))]
        for mode in ("draining", "ready"):
            self.round("change", ("servers", "update", [row._replace(mode=mode)]))


def state_bytes(servers, seed, seconds):
    """-> bytes that one Router holds after some traffic, by tracemalloc."""
    gc.collect()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    play = Play(servers, seed).run(seconds)
    play.spent.clear()
    play.events.clear()
    gc.collect()
    allocated = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    del play  # kept alive until its memory was counted
    return allocated


def measure(servers, seed, seconds):
    """-> a RouterCost of one run, without `state_bytes`."""
    play = Play(servers, seed)
    play.run(2)  # warm-up
    play.spent = {"timer": [], "request": [], "change": []}
    requests_before, began_us = play.requests, play.now
    gc.collect()
    gc.disable()
    try:
        play.run(seconds)
        for _ in range(5):
            play.change_one()
    finally:
        gc.enable()
    elapsed_s, requests = (play.now - began_us) / S, play.requests - requests_before
    spent = {event_type: np.array(times) for event_type, times in play.spent.items()}
    return RouterCost(
        servers,
        play.first_list_s * 1e3,
        spent["change"].mean() * 1e3,
        spent["change"].max() * 1e3,
        spent["timer"].mean() * 1e3,
        spent["timer"].max() * 1e3,
        spent["request"].sum() * 1e3 / requests,
        spent["timer"].sum() / elapsed_s,
        spent["request"].sum() / elapsed_s,
        0,
    )


def slope(sizes, seconds, plays):
    """-> for each size, a list of RouterCosts, one for each of `plays` seeds."""
    table = []
    for servers in sizes:
        costs = [measure(servers, seed, seconds) for seed in range(1, plays + 1)]
        allocated = state_bytes(servers, 1, min(seconds, 5))
        table.append([cost._replace(state_bytes=allocated) for cost in costs])
    return table
