"""Simulates many Routers in front of servers of which some have just started and are in slow start ("cold"). Everything
follows from the seed.

A warm prefill server does `rate` requests of mean work per second. After a start it does `cold_from` of that, and the share
grows linearly until the slow start is over. The check compares the work that all Routers together send a cold server within
a window with N, the number of requests of mean work that the settings allow, plus a margin for chance of 2 * sqrt(N) + 2
(3 * sqrt(N) + 3 if N is under 30).

Roles: `r` servers prefill (role "read"), `w` servers decode ("write"), `m` servers do both."""

import heapq
from itertools import count
from math import sqrt
from typing import NamedTuple

import numpy as np

from lapiswing.interface import RequestClass, Server
from lapiswing.policy import Router

MS, S = 1000, 1_000_000  # in microseconds
RULES = {
    "cold_from": 0.25,
    "ramp_time_us": 12 * S,
    "fall_multiple": 2.5,
    "answer_slack_us": 16 * MS,
    "overload_for_us": S,
    "stop_sending_within_us": S,
}
SMALL_N = 30  # below this many requests in a window the margin for chance is larger
START_US = 12 * S  # when the cold servers restart
END_US = START_US + 15 * S


def bound(n):
    """The work that a cold server may be sent in a window in which `n` requests of mean work are allowed, margin included."""
    factor = 3 if n < SMALL_N else 2
    return n + factor * sqrt(n) + factor


def heaviest_window(sent, allowed):
    """Returns (share of the bound, work, N) of the window in which a cold server was sent the most relative to its bound. `sent`:
    (time, work) in order; `allowed(us)`: N of the window that ends at that time."""
    first, work, worst = 0, 0.0, (0.0, 0.0, 0.0)
    for at, one_work in sent:
        work += one_work
        while sent[first][0] <= at - RULES["overload_for_us"]:
            work -= sent[first][1]
            first += 1
        n = allowed(at)
        worst = max(worst, (work / bound(n), work, n))
    return worst


class Sink:
    """The Writer that one Router is given: passes its actions on to the simulation."""

    def __init__(self, fleet, gateway):
        self.fleet, self.gateway, self.last_attempt_no = fleet, gateway, {}

    def forward(self, rid, server, timeout_us, up_us=None):
        number = self.last_attempt_no[rid] = self.last_attempt_no.get(rid, -1) + 1
        self.fleet.attempt(self.gateway, rid, number, server, timeout_us)

    def retract(self, rid, number):
        if self.fleet.open_attempts.pop((self.gateway, rid, number), None) is not None:
            self.fleet.schedule_router_event(
                0,
                self.gateway,
                (
                    "outcome",
                    rid,
                    number,
                    self.fleet.server_of[self.gateway, rid, number],
                    "cancelled",
                    0,
                    False,
                    None,
                    None,
                ),
            )

    def timer(self, after_us, token):
        self.fleet.schedule_router_event(after_us, self.gateway, ("timer", token))

    def push_back(self, rid, retry_after_us):
        self.fleet.rejected(self.gateway, rid)

    def abort(self, rid):
        self.fleet.rejected(self.gateway, rid)

    def __getattr__(self, name):
        return lambda *args: None


class Content(NamedTuple):
    """The content of a request. A client's retry has the same content."""

    work: float  # in units of the mean request
    conversation: str
    prefix: str


class Fleet:
    """The simulation. Keys of `case`:

    gateways: their number; rate: requests per second of a server; load: arrivals as a share of the rate of all prefill servers;
    skew: weight of every tenth gateway in the distribution of requests (the others have 1); burst: factor on the load for 3 s
    from the restart on; fresh: share of the gateways that start at that time too; late: share of the gateways that learn of
    the restart 1.5 s late; cold: role -> share of its servers that restart; hot: share of the requests with one common prefix;
    failing: share of the attempts that fail; retries: whether clients retry a rejected request; marks: whether they mark it as
    a retry; kinds: role -> number of servers."""

    def __init__(self, seed, case):
        self.rng, self.case = np.random.default_rng(seed), case
        self.now, self.events, self.order = 0, [], count()  # events: a heap of (us, order, event)
        self.servers = [f"{role}{i}-{seed}" for role, n in case["kinds"].items() for i in range(n)]
        self.roles = {s: {"r": "read", "w": "write", "m": "both"}[s[0]] for s in self.servers}
        self.cold = {
            s
            for role, share in case["cold"].items()
            for i, s in enumerate([s for s in self.servers if s[0] == role])
            if i < round(share * case["kinds"][role])
        }
        self.busy_until = dict.fromkeys(self.servers, 0.0)
        # Servers by (gateway, request id, attempt number); contents by (gateway, request id).
        self.open_attempts, self.server_of, self.reqs = {}, {}, {}
        self.served = set()  # (gateway, request id)
        self.arrivals, self.original_requests = [], 0  # arrivals: (us, server, work, gateway knows of the restart)
        n = case["gateways"]
        self.late = set(range(n - round(case["late"] * n), n))
        self.fresh = set(range(round(case["fresh"] * n)))
        weights = np.ones(n)
        weights[::10] = case["skew"]
        self.weights = weights / weights.sum()
        self.seeds = [int(x) for x in self.rng.integers(0, 1 << 62, n)]
        self.sinks, self.routers = [Sink(self, i) for i in range(n)], [None] * n
        for i in range(n):
            if i not in self.fresh:
                self.start(i, ())
        reads = [s for s in self.servers if s[0] != "w"]
        writes = [s for s in self.servers if s[0] == "w"]
        self.rate = {s: case["rate"] * (1.0 if s[0] != "w" else len(reads) / len(writes)) for s in self.servers}
        self.arrivals_per_s = case["load"] * case["rate"] * len(reads)
        at_us = 0.0
        while at_us < END_US:
            factor = case["burst"] if START_US <= at_us < START_US + 3 * S else 1.0
            at_us += self.rng.exponential(S / (self.arrivals_per_s * factor))
            self.push(int(at_us), ("arrive",))
        self.push(START_US, ("restart",))

    def push(self, at_us, event):
        """Schedules an event of the simulation: (method name, *arguments)."""
        heapq.heappush(self.events, (at_us, next(self.order), event))

    def schedule_router_event(self, after_us, gateway, event):
        """Schedules an event for a Router."""
        self.push(self.now + int(after_us), ("router_event", gateway, event))

    def rows(self, restarted):
        """The server list; servers in `restarted` have the new start time."""
        kinds = list(self.case["kinds"])
        return [Server(s, 0, 0, kinds.index(s[0]), 1.0, START_US if s in restarted else 0, "ready") for s in self.servers]

    def start(self, i, restarted):
        """Starts the Router of gateway `i` with the present server list."""
        case = self.case
        group = RequestClass("chat", "replayable", "all", 5 * S, S, 40 * MS, 60 * MS, 1.0, 0.3)
        kinds = [{"r": "read", "w": "write", "m": "both"}[k] for k in case["kinds"]]
        self.routers[i] = Router(
            self.seeds[i],
            {
                "balancers": case["gateways"],
                "az": 0,
                "me": i,
                "resolution_us": 4 * MS,
                "groups": [group],
                "tenants": [],
                "membership_mode": "automatic",
                "rules": RULES,
                "penalties": {"cross_zone": 0.02},
                "limits": {"max_attempts": 6, "retry_after": True, "max_retry_after_us": S, "cancel": True},
                "family_info": {
                    "duty_by_kind": kinds,
                    "kind_memory_tokens": [10_000_000] * len(kinds),
                    "far_price": 0.0,
                    "let_go_by_us": 500 * MS,
                },
            },
            self.now,
        )
        self.routers[i].round(self.now, [("servers", "restored", self.rows(restarted))], self.sinks[i])

    def level(self, at_us):
        """The share of its full rate that a cold server does at that time."""
        return min(1.0, RULES["cold_from"] + (1 - RULES["cold_from"]) * max(0, at_us - START_US) / RULES["ramp_time_us"])

    def arrive(self, retried=None):
        """A request arrives. `retried` is the content of the rejected request that its client sends again under a new id."""
        gateway = int(self.rng.choice(len(self.weights), p=self.weights))
        if self.routers[gateway] is None:
            gateway = next(i for i in range(len(self.routers)) if self.routers[i] is not None)
        rid = f"q{len(self.reqs)}"
        content = retried or Content(float(self.rng.lognormal(-0.32, 0.8)), f"s{rid}", self.prefix())
        tokens = max(20, int(1000 * content.work))
        self.reqs[gateway, rid] = (content, retried is not None)
        self.original_requests += retried is None
        self.schedule_router_event(
            0,
            gateway,
            (
                "req",
                rid,
                tokens,
                self.now + 4 * S,
                content.conversation,
                content.prefix,
                tokens // 4,
                200,
                None,
                2 if retried is not None and self.case["marks"] else 0,
                0,
                0,
            ),
        )

    def prefix(self):
        """Draws the prefix of a request."""
        return "hot" if self.rng.random() < self.case["hot"] else f"p{self.rng.integers(40)}"

    def rejected(self, gateway, rid):
        """The Router rejected a request; its client may retry it once."""
        content, is_retry = self.reqs[gateway, rid]
        if self.case["retries"] and not is_retry:
            self.push(self.now + int(self.rng.uniform(50, 500)) * MS, ("arrive", content))

    def attempt(self, gateway, rid, number, server, timeout_us):
        """An attempt arrives at a server; schedules how it ends."""
        work, role = self.reqs[gateway, rid][0].work, self.roles[server]
        key = gateway, rid, number
        self.open_attempts[key] = self.server_of[key] = server
        knows_restart = gateway not in self.late or self.now >= START_US + 1500 * MS
        self.arrivals.append((self.now, server, work if role != "write" else 1.0, knows_restart))
        if self.rng.random() < self.case["failing"]:
            return self.push(self.now + 20 * MS, ("end", key, "error", 20 * MS))
        rate = self.rate[server] * (self.level(self.now) if server in self.cold and self.now >= START_US else 1.0)
        begin_us = max(self.now, self.busy_until[server])
        if begin_us - self.now > 1500 * MS:
            return self.push(self.now + 2 * MS, ("end", key, "full", 2 * MS))
        service_us = S * (work if role != "write" else 1.0) / rate
        self.busy_until[server] = begin_us + service_us
        latency_us = self.busy_until[server] - self.now + 5 * MS
        if latency_us > timeout_us:
            return self.push(self.now + timeout_us, ("end", key, "timed_out", timeout_us))
        self.push(int(self.now + latency_us), ("end", key, "read" if role == "read" else "first", latency_us))

    def end(self, key, code, latency_us):
        """An attempt ends, or its first token arrives."""
        if key not in self.open_attempts:
            return
        gateway, rid, number = key
        server, latency_us = self.open_attempts[key], int(latency_us)
        if code == "first":
            self.schedule_router_event(0, gateway, ("first", rid, server, latency_us, number))
            return self.push(self.now + 300 * MS, ("end", key, "done", latency_us + 300 * MS))
        del self.open_attempts[key]
        if code == "done":
            self.served.add((gateway, rid))
        self.schedule_router_event(0, gateway, ("outcome", rid, number, server, code, latency_us, code == "done", 0, None))

    def restart(self):
        """The cold servers have restarted: starts the fresh Routers and informs the others."""
        for i, router in enumerate(self.routers):
            if router is None:
                self.start(i, self.cold)
            elif i not in self.late:
                self.schedule_router_event(0, i, ("servers", "update", [r for r in self.rows(self.cold) if r.id in self.cold]))
            else:
                self.push(
                    self.now + 1500 * MS,
                    ("router_event", i, ("servers", "update", [r for r in self.rows(self.cold) if r.id in self.cold])),
                )

    def play(self):
        """Runs the simulation to its end. Returns itself."""
        while self.events and self.events[0][0] < END_US:
            self.now, _, step = heapq.heappop(self.events)
            if step[0] == "router_event":
                _, i, event = step
                if event[0] in ("outcome", "first") and event[1] not in self.routers[i].reqs:
                    continue
                self.routers[i].round(self.now, [event], self.sinks[i])
            else:
                getattr(self, step[0])(*step[1:])
        return self

    def worst_window(self):
        """Returns (share of the bound, server, work, N) of the window in which a cold server was sent the most relative to its
        bound. Attempts of gateways that don't know of the restart yet are left out."""
        span_us, worst = RULES["overload_for_us"], (0.0, None, 0.0, 0.0)
        for server in sorted(self.cold):
            sent = [(at, work) for at, s, work, knows in self.arrivals if s == server and knows and at >= START_US]
            share, work, n = heaviest_window(
                sent,
                lambda at, server=server: RULES["fall_multiple"] * self.rate[server] * span_us / S * self.level(at - span_us / 2),
            )
            worst = max(worst, (share, server, work, n)) if sent else worst
        return worst

    @property
    def served_count(self):
        """Number of requests that were served."""
        return len(self.served)

    def long_prompt_service_ratio(self):
        """The share served of the tenth of the requests with the longest prompts, divided by the share served of all."""
        works = sorted(content.work for content, _ in self.reqs.values())
        longest = [key for key, (content, _) in self.reqs.items() if content.work >= works[len(works) * 9 // 10]]
        return sum(key in self.served for key in longest) / len(longest) / (len(self.served) / len(self.reqs))

    def cold_utilization(self):
        """Work sent to the cold servers in the first 8 s, divided by what the settings allow."""
        work = sum(w for at, s, w, _knows in self.arrivals if s in self.cold and START_US <= at < START_US + 8 * S)
        seconds = sum(self.level(START_US + t * S) for t in np.arange(0, 8, 0.1)) / 10
        return work / sum(RULES["fall_multiple"] * self.rate[s] * seconds for s in self.cold)


def random_case(seed):
    """Draws one of many combinations of fleet, load and faults."""
    rng = np.random.default_rng([seed, 1])

    def one(*choices):
        return choices[int(rng.integers(len(choices)))]

    gateways = one(3, 20, 30, 200)
    kinds = one({"r": 8, "w": 4}, {"r": 4, "w": 8}, {"r": 5, "w": 5, "m": 4})
    cold = one({"r": 0.25}, {"r": 0.75}, {"r": 1.0}, {"w": 0.5}, {"w": 1.0}, {"r": 0.5, "w": 0.5})
    if "m" in kinds:
        cold = one({"m": 1.0}, {"r": 0.6, "m": 0.5}, {"m": 0.5, "w": 0.6})
    return {
        "gateways": gateways,
        "rate": one(4, 10, 25) if gateways != 200 else one(4, 10),
        "load": one(0.4, 0.7, 0.9),
        "skew": one(1, 3, 6),
        "burst": one(1.0, 1.5, 2.5),
        "fresh": one(0.0, 0.0, 0.3, 0.7),
        "late": one(0.0, 0.0, 0.3),
        "cold": cold,
        "hot": one(0.0, 0.2, 0.6),
        "failing": one(0.0, 0.0, 0.1, 0.3),
        "retries": one(False, True),
        "kinds": kinds,
        "marks": one(True, True, False),
    }
