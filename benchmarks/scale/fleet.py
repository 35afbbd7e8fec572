"""All Routers of the target's fleet in simulated time, before a simple model of its servers. Everything follows from the seed.

Prefill servers read one prompt after the other and keep texts; decode servers have slots and stream; a state that leaves
its rack waits for the rack's one link. Lists reach each gateway with a lag of its own.

    .venv/bin/python -m benchmarks.scale fleet [--gateways 410] [--servers 640] [--faults none,machine,rack,...]
"""

import heapq
from collections import Counter, OrderedDict
from dataclasses import dataclass
from enum import StrEnum
from itertools import count

import numpy as np

from benchmarks.scale.settings import MS, S, router_settings, server_rows
from benchmarks.scale.target import TARGET
from lapiswing.lab.coldfleet import heaviest_window
from lapiswing.policy import Router
from lapiswing.routing.randomness import hash_fraction

TARGET_US, TARGET_PER_TOKEN_US, DEADLINE_US = 1200 * MS, 40, 5 * S
PREFILL_LOAD = 0.85  # of what prefill servers could read with nothing kept
DECODE_LOAD = 0.7  # of decode servers' slots
MEAN_TOKENS, TOKEN_GAP_US = 1000, 20 * MS
SHARED_PART = 0.6  # of a prompt that is its prefix
TEXTS_KEPT = 40  # at a prefill server
PREFIXES_A_MODEL = 12
FOLLOWS = 0.4  # of the requests that go on with a conversation
RACK_TOKENS_S, LINK_TOKENS_S = 300_000, 150_000  # in a rack; of the one link that leaves it
ERROR_US, FULL_US, MOST_WAITING_US = 20 * MS, 2 * MS, 3 * S
LIST_LAG_US = (200 * MS, 1200 * MS)  # of one gateway
TOLD_US = 2 * S  # from a loss until discovery knows
FAULT_US, LOST_US = 5 * S, 5 * S  # when a fault begins, and how long what is silent stays so
COLD_FROM, RAMP_US, FALL_MULTIPLE = 0.25, 12 * S, 2.5
WARM_UP_US = 2 * S  # not counted


class FleetFault(StrEnum):
    NONE = "none"
    MACHINE = "machine"  # one prefill and one decode server die
    RACK = "rack"
    ZONE = "zone"
    REGION = "region"  # the gateways of half of the zones see nothing of the other half
    RELEASE = "release"  # all gateways start anew within ten seconds
    POWER = "power"  # all gateways start anew at once, and all servers are cold
    ROLES = "roles"  # half of the prefill servers become decode servers, cold


@dataclass
class Served:
    """Parts of what was asked: answered in time, late or not; of the longest tenth of the prompts; of small tenants."""

    asked: int
    in_time: float
    answered: float
    long_in_time: float
    small_tenants_in_time: float
    worst_tenants_in_time: float  # of the tenants with twenty requests or more, the tenth worst served
    kept: float  # of the prompt tokens, those that were found kept
    spread: float  # of prefill work over servers: the ninth tenth against the mean
    texts: float  # servers that a popular text is kept at
    cold_worst: float  # the most that a cold prefill server was sent, against its bound
    in_rack: float  # of the tokens handed over, those that stay in their rack
    in_zone: float  # that leave the rack and stay in the zone
    in_region: float  # that leave the zone and stay in the region


class Sink:
    """The writer that one Router is given."""

    def __init__(self, fleet, gateway):
        self.fleet, self.gateway, self.sent = fleet, gateway, {}

    def forward(self, request, server, timeout_us, up_us=None):
        number = self.sent[request] = self.sent.get(request, -1) + 1
        self.fleet.attempt((self.gateway, request, number), server, timeout_us, up_us)

    def retract(self, request, number):
        self.fleet.cancel((self.gateway, request, number))

    def timer(self, after_us, token):
        self.fleet.tell(after_us, self.gateway, ("timer", token))

    def __getattr__(self, name):
        return lambda *args: None


class Request:
    __slots__ = ("tokens", "conversation", "prefix", "tenant", "arrived_us", "first_us", "holder")

    def __init__(self, tokens, conversation, prefix, tenant, arrived_us):
        self.tokens, self.conversation, self.prefix, self.tenant = tokens, conversation, prefix, tenant
        self.arrived_us, self.first_us, self.holder = arrived_us, None, None

    @property
    def in_time(self):
        return self.first_us is not None and (self.first_us - self.arrived_us <= TARGET_US + TARGET_PER_TOKEN_US * self.tokens)


class ModelServer:
    def __init__(self, row):
        self.row, self.silent, self.dead, self.started_us = row, False, False, 0
        self.busy_us, self.open, self.line = 0, 0, []  # when prefills end; streams; decodes that wait for a slot
        self.texts, self.work = OrderedDict(), 0.0
        self.cold_sent = []  # (when, work in mean requests) since its start

    def level(self, now):
        if not self.started_us:
            return 1.0
        return min(1.0, COLD_FROM + (1 - COLD_FROM) * (now - self.started_us) / RAMP_US)

    def start_cold(self, now):
        self.started_us, self.silent, self.dead = now, False, False
        self.busy_us, self.open, self.line = now, 0, []
        self.texts.clear()

    def keep(self, text, tokens):
        if text is None:
            return
        self.texts[text] = max(tokens, self.texts.pop(text, 0))
        while len(self.texts) > TEXTS_KEPT:
            self.texts.popitem(last=False)


class ScaleFleet:
    def __init__(self, seed, gateways, servers, fault, seconds, subset=0, requests_a_gateway=TARGET.requests_a_gateway):
        """`subset`: how many of the servers each gateway works with, whole racks of each zone; 0: all."""
        self.fault, self.seconds = FleetFault(fault), seconds
        # Apart, so that two versions under one seed are asked the very same.
        self.chance, self.streams, self.lags = (np.random.default_rng([seed, of]) for of in (3, 4, 5))
        self.now, self.events, self.order = 0, [], count()
        rows = server_rows(servers, TARGET.prefill_part, TARGET.zones)
        self.servers = {row.id: ModelServer(row) for row in rows}
        self.rate = requests_a_gateway * gateways
        prefill = sum(row.kind == 0 for row in rows)
        self.cost_us = S * PREFILL_LOAD * prefill / self.rate / MEAN_TOKENS  # a prompt token
        streams = self.rate * TARGET.tokens_a_request * TOKEN_GAP_US / S
        self.slots = max(1, round(streams / DECODE_LOAD / (servers - prefill)))
        self.links = Counter()  # when each rack's link is free
        self.weights = self.uneven(gateways)
        self.zone_of = [i % TARGET.zones for i in range(gateways)]
        self.subset = subset
        told = max(1, round(gateways * subset / servers)) if subset else gateways
        self.settings = router_settings(told, TARGET.tenants, self.rate * told / gateways, COLD_FROM)
        self.seeds = [int(x) for x in self.chance.integers(0, 1 << 62, gateways)]
        self.requests, self.out, self.counted = {}, {}, Counter()
        self.conversations = []
        self.routers, self.sinks = [None] * gateways, [None] * gateways
        for gateway in range(gateways):
            self.start(gateway)
        self.push(0, ("arrive",))
        if self.fault is not FleetFault.NONE:
            self.push(FAULT_US, (self.fault.value,))

    def uneven(self, gateways):
        """A tenth of the gateways see three times the others' part."""
        weights = np.ones(gateways)
        weights[::10] = 3
        return np.cumsum(weights / weights.sum())

    def push(self, at_us, what):
        heapq.heappush(self.events, (at_us, next(self.order), what))

    def tell(self, after_us, gateway, event):
        self.push(self.now + int(after_us), ("hear", gateway, self.routers[gateway], event))

    def start(self, gateway):
        """A new process of a gateway: what it had open is lost with it."""
        settings = self.settings | {"az": self.zone_of[gateway], "me": gateway}
        self.routers[gateway] = Router(self.seeds[gateway] + self.now, settings, self.now)
        self.sinks[gateway] = Sink(self, gateway)
        rows = [s.row._replace(started_us=s.started_us) for s in self.servers.values() if not s.dead]
        rows = [row for row in rows if self.works_with(gateway, row)]
        self.routers[gateway].round(self.now, [("servers", "restored", rows)], self.sinks[gateway])

    def works_with(self, gateway, row):
        """A probe of subsets: each rack by a hash, so that all have about as many gateways."""
        return not self.subset or hash_fraction(b"%d/%d" % (gateway, row.cell)) < self.subset / len(self.servers)

    def play(self):
        end = self.seconds * S
        while self.events and self.events[0][0] < end:
            self.now, _, what = heapq.heappop(self.events)
            getattr(self, what[0])(*what[1:])
        return self

    def hear(self, gateway, router, event):
        if router is self.routers[gateway] and (event[0] not in ("outcome", "first") or event[1] in router.reqs):
            router.round(self.now, [event], self.sinks[gateway])

    # ---- requests

    def arrive(self):
        chance = self.chance
        self.push(self.now + int(chance.exponential(S / self.rate)), ("arrive",))
        gateway = min(int(np.searchsorted(self.weights, chance.random())), len(self.routers) - 1)
        tenant = int(chance.zipf(1.3)) % TARGET.tenants
        if self.conversations and chance.random() < FOLLOWS:
            conversation, prefix, tokens = self.conversations[int(chance.integers(len(self.conversations)))]
            tokens = int(tokens * 1.2) + 100
        else:
            model = int(chance.zipf(1.4)) % TARGET.models
            prefix = f"m{model}:{int(chance.zipf(1.5)) % PREFIXES_A_MODEL}"
            tokens = int(MEAN_TOKENS * chance.lognormal(-0.32, 0.8)) + 20
            conversation = f"c{len(self.requests)}"
        self.conversations.append((conversation, prefix, min(tokens, 8000)))
        del self.conversations[:-3000]
        name = f"q{len(self.requests)}"
        self.requests[gateway, name] = Request(tokens, conversation, prefix, tenant, self.now)
        shared = int(SHARED_PART * tokens)
        self.hear(
            gateway,
            self.routers[gateway],
            ("req", name, tokens, self.now + DEADLINE_US, conversation, prefix, shared, 260, None, 0, tenant, 0),
        )

    def outcome(self, key, code, cached=0, after_us=0):
        began, server, _ = self.out.pop(key)
        gateway, name, number = key
        latency = int(self.now + after_us - began)
        self.tell(after_us, gateway, ("outcome", name, number, server, code, latency, code == "done", cached, None))

    def attempt(self, key, server, timeout_us, up_us):
        model = self.servers[server]
        self.out[key] = (self.now, server, self.routers[key[0]])
        self.push(self.now + timeout_us, ("late", key))
        cut = (
            self.fault is FleetFault.REGION
            and FAULT_US <= self.now < FAULT_US + LOST_US
            and (self.zone_of[key[0]] * 2 < TARGET.zones) != (model.row.zone * 2 < TARGET.zones)
        )
        if model.dead:
            return self.outcome(key, "unreachable", after_us=MS)
        if model.silent or cut:
            return self.push(self.now + min(timeout_us, up_us or timeout_us, 250 * MS), ("unreached", key))
        (self.prefill if model.row.kind == 0 else self.decode)(key, model)

    def prefill(self, key, model):
        request = self.requests[key[0], key[1]]
        cached = max(model.texts.get(request.conversation, 0), model.texts.get(request.prefix, 0))
        fresh = max(1, request.tokens - min(cached, request.tokens))
        begin = max(self.now, model.busy_us)
        if begin - self.now > MOST_WAITING_US:
            return self.outcome(key, "full", after_us=FULL_US)
        took = fresh * self.cost_us / model.level(self.now)
        if model.started_us:
            model.cold_sent.append((self.now, request.tokens / MEAN_TOKENS))
        model.busy_us, model.work = begin + took, model.work + took
        self.counted["tokens"] += request.tokens
        self.counted["kept"] += request.tokens - fresh
        model.keep(request.prefix, int(SHARED_PART * request.tokens))
        model.keep(request.conversation, request.tokens)
        self.push(int(model.busy_us), ("read", key, request.tokens - fresh))

    def read(self, key, cached):
        if key in self.out:
            self.requests[key[0], key[1]].holder = self.out[key][1]
            self.outcome(key, "read", cached)

    def decode(self, key, model):
        if model.open < self.slots:
            return self.fetch(key, model)
        model.line.append(key)

    def fetch(self, key, model):
        model.open += 1
        request = self.requests[key[0], key[1]]
        holder = self.servers[request.holder].row if request.holder else model.row
        self.counted[nearness(holder, model.row)] += request.tokens
        if holder.cell == model.row.cell:
            arrives = self.now + S * request.tokens / RACK_TOKENS_S
        else:
            free = max(self.now, self.links[holder.cell])
            self.links[holder.cell] = arrives = free + S * request.tokens / LINK_TOKENS_S
        self.push(int(arrives) + TOKEN_GAP_US, ("first", key, model))

    def first(self, key, model):
        if key not in self.out or model.silent or model.dead:
            return self.free_slot(model)
        gateway, name, number = key
        began, server, _ = self.out[key]
        request = self.requests[gateway, name]
        if request.first_us is None:
            request.first_us = self.now
        self.tell(0, gateway, ("first", name, server, int(self.now - began), number))
        tokens = self.streams.lognormal(np.log(TARGET.tokens_a_request) - 0.32, 0.8)
        self.push(self.now + int(TOKEN_GAP_US * tokens), ("done", key, model))

    def done(self, key, model):
        self.free_slot(model)
        if key in self.out:
            self.outcome(key, "done")

    def free_slot(self, model):
        model.open = max(0, model.open - 1)
        while model.line and model.open < self.slots:
            key = model.line.pop(0)
            if key in self.out:
                self.fetch(key, model)

    def late(self, key):
        name = self.out.get(key)
        if name is not None and self.requests[key[0], key[1]].first_us is None:
            self.outcome(key, "timed_out")

    def unreached(self, key):
        if key in self.out:
            self.outcome(key, "unreachable")

    def cancel(self, key):
        if key in self.out:
            self.outcome(key, "cancelled")

    # ---- faults

    def spread_news(self, rows, after_us):
        for gateway in range(len(self.routers)):
            known = [row for row in rows if self.works_with(gateway, row)]
            self.tell(after_us + int(self.lags.uniform(*LIST_LAG_US)), gateway, ("servers", "update", known))

    def lose(self, servers):
        """They fall silent; discovery tells of it late, and of their return with a new start."""
        for server in servers:
            server.silent = True
        self.spread_news([s.row._replace(mode="draining") for s in servers], TOLD_US)
        self.push(self.now + LOST_US, ("back", servers))

    def back(self, servers):
        for server in servers:
            server.start_cold(self.now)
        self.spread_news([s.row._replace(started_us=self.now) for s in servers], 0)

    def machine(self):
        servers = [next(s for s in self.servers.values() if s.row.kind == kind) for kind in (0, 1)]
        for server in servers:
            server.dead = True
        for key in [k for k, (_, name, _) in self.out.items() if self.servers[name].dead]:
            self.outcome(key, "reset")
        self.spread_news([s.row._replace(mode="gone") for s in servers], TOLD_US)

    def rack(self):
        self.lose([s for s in self.servers.values() if s.row.cell == 0])

    def zone(self):
        self.lose([s for s in self.servers.values() if s.row.zone == 0])

    def region(self):
        """`attempt` looks at it."""

    def release(self):
        for gateway in range(len(self.routers)):
            self.push(self.now + gateway * 10 * S // len(self.routers), ("start", gateway))

    def power(self):
        for server in self.servers.values():
            server.start_cold(self.now)
        for gateway in range(len(self.routers)):
            self.push(self.now, ("start", gateway))

    def roles(self):
        servers = [s for s in self.servers.values() if s.row.kind == 0][::2]
        for server in servers:
            server.start_cold(self.now)
            server.row = server.row._replace(kind=1, started_us=self.now)
        self.spread_news([s.row for s in servers], 0)

    # ---- what came of it

    def served(self):
        counted = [r for r in self.requests.values() if WARM_UP_US <= r.arrived_us < (self.seconds - 3) * S]
        long_from = np.quantile([r.tokens for r in counted], 0.9)
        asked, in_time = Counter(), Counter()
        for r in counted:
            asked[r.tenant] += 1
            in_time[r.tenant] += r.in_time
        small = [r for r in counted if asked[r.tenant] <= 3]
        parts = sorted(in_time[t] / n for t, n in asked.items() if n >= 20)
        work = np.array([s.work for s in self.servers.values() if s.row.kind == 0])
        popular = [f"m{model}:1" for model in range(1, 6)]
        at = [sum(text in s.texts for s in self.servers.values()) for text in popular]
        return Served(
            len(counted),
            part(counted),
            sum(r.first_us is not None for r in counted) / len(counted),
            part([r for r in counted if r.tokens >= long_from]),
            part(small),
            sum(parts[: max(1, len(parts) // 10)]) / max(1, len(parts) // 10),
            self.counted["kept"] / max(1, self.counted["tokens"]),
            float(np.quantile(work, 0.9) / max(1.0, work.mean())),
            sum(at) / len(at),
            self.cold_worst(),
            *self.moved(),
        )

    def moved(self):
        tokens = [self.counted[near] for near in ("rack", "zone", "region", "other")]
        return [one / max(1, sum(tokens)) for one in tokens[:3]]

    def cold_worst(self):
        mean_work_us = self.cost_us * MEAN_TOKENS
        return max(
            (
                heaviest_window(
                    server.cold_sent, lambda at, server=server: FALL_MULTIPLE * server.level(at - S // 2) * S / mean_work_us
                )[0]
                for server in self.servers.values()
            ),
            default=0.0,
        )


def nearness(one, other):
    """The smallest thing that two servers share; zones are in two regions."""
    if one.cell == other.cell:
        return "rack"
    if one.zone == other.zone:
        return "zone"
    half = TARGET.zones // TARGET.regions
    return "region" if one.zone // half == other.zone // half else "other"


def part(requests):
    return sum(r.in_time for r in requests) / max(1, len(requests))
