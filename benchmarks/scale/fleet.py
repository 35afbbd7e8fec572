"""Simulates all Routers of the target fleet in front of a simple model of its servers. Runs are deterministic in the seed.

Prefill servers process one prompt after the other and cache prefixes; decode servers have slots and stream; prompt state that
leaves its rack queues for the rack's single uplink. Server lists reach each gateway with a random delay.

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
PREFILL_LOAD = 0.85  # of the capacity of the prefill servers with empty caches
DECODE_LOAD = 0.7  # of the slots of the decode servers
MEAN_TOKENS, TOKEN_GAP_US = 1000, 20 * MS
SHARED_PART = 0.6  # of a prompt: its shared prefix
CACHED_TEXTS = 40  # at a prefill server
PREFIXES_PER_MODEL = 12
FOLLOW_UP_PART = 0.4  # of the requests: those that continue a conversation
RACK_TOKENS_PER_S, UPLINK_TOKENS_PER_S = 300_000, 150_000  # transfer within a rack; over its single uplink
ERROR_US, FULL_US, MAX_QUEUE_WAIT_US = 20 * MS, 2 * MS, 3 * S
LIST_DELAY_US = (200 * MS, 1200 * MS)  # from discovery to one gateway
DISCOVERY_DELAY_US = 2 * S  # from the loss of a server until discovery knows
FAULT_START_US, OUTAGE_US = 5 * S, 5 * S  # start of the fault; duration of an outage
COLD_FROM, SLOW_START_US, FALL_MULTIPLE = 0.25, 12 * S, 2.5
WARM_UP_US = 2 * S  # requests from this time are not counted


class FleetFault(StrEnum):
    """Faults of the simulation; each value names a method of `ScaleFleet`."""

    NONE = "none"
    MACHINE = "machine"  # one prefill and one decode server die
    RACK = "rack"
    ZONE = "zone"
    REGION = "region"  # the gateways of either half of the zones cannot reach the other half
    RELEASE = "release"  # all gateways restart within ten seconds
    POWER = "power"  # all gateways restart at once, and all servers are cold
    ROLES = "roles"  # half of the prefill servers become decode servers, cold


@dataclass
class Served:
    """Result of a simulation, as parts of the requests unless a comment says otherwise. `in_time`: with the first token within
    the TTFT target; `answered`: with a first token at all; `long`: of the longest tenth of the prompts."""

    asked: int
    in_time: float
    answered: float
    long_in_time: float
    small_tenants_in_time: float
    worst_tenants_in_time: float  # mean over the worst tenth of the tenants with twenty requests or more
    kept: float  # part of the prompt tokens that were found in a cache
    spread: float  # of prefill work over servers: 90th percentile / mean
    texts: float  # mean number of servers that cache a popular prefix
    cold_worst: float  # maximum load sent to a cold prefill server / its limit
    in_rack: float  # part of the transferred prompt tokens that stay in their rack
    in_zone: float  # part that leaves the rack and stays in the zone
    in_region: float  # part that leaves the zone and stays in the region


class Sink:
    """The writer of one Router: passes its actions to the simulation."""

    def __init__(self, fleet, gateway):
        self.fleet, self.gateway, self.last_attempt_no = fleet, gateway, {}

    def forward(self, request, server, timeout_us, up_us=None):
        attempt_no = self.last_attempt_no[request] = self.last_attempt_no.get(request, -1) + 1
        self.fleet.attempt((self.gateway, request, attempt_no), server, timeout_us, up_us)

    def retract(self, request, attempt_no):
        self.fleet.cancel((self.gateway, request, attempt_no))

    def timer(self, after_us, token):
        self.fleet.send_event(after_us, self.gateway, ("timer", token))

    def __getattr__(self, name):
        return lambda *args: None


class Request:
    """A simulated request; `holder` is the server that holds its prompt state."""

    __slots__ = ("tokens", "conversation", "prefix", "tenant", "arrived_us", "first_us", "holder")

    def __init__(self, tokens, conversation, prefix, tenant, arrived_us):
        self.tokens, self.conversation, self.prefix, self.tenant = tokens, conversation, prefix, tenant
        self.arrived_us, self.first_us, self.holder = arrived_us, None, None

    @property
    def in_time(self):
        return self.first_us is not None and (self.first_us - self.arrived_us <= TARGET_US + TARGET_PER_TOKEN_US * self.tokens)


class ModelServer:
    """Model of a prefill or decode server."""

    def __init__(self, row):
        self.row, self.silent, self.dead, self.started_us = row, False, False, 0
        self.busy_until_us, self.open, self.queue = 0, 0, []  # end of the prefills; streams; decodes that wait for a slot
        self.cached_texts, self.work_us = OrderedDict(), 0.0
        self.cold_sent = []  # (time, work in units of the mean request) since its cold start

    def speed(self, now):
        """Slow start: the part of full speed that a server has, 1.0 once it is warm."""
        if not self.started_us:
            return 1.0
        return min(1.0, COLD_FROM + (1 - COLD_FROM) * (now - self.started_us) / SLOW_START_US)

    def start_cold(self, now):
        """Restarts with empty caches and queues."""
        self.started_us, self.silent, self.dead = now, False, False
        self.busy_until_us, self.open, self.queue = now, 0, []
        self.cached_texts.clear()

    def cache(self, text, tokens):
        """Caches `tokens` tokens of a text, and evicts the oldest texts."""
        if text is None:
            return
        self.cached_texts[text] = max(tokens, self.cached_texts.pop(text, 0))
        while len(self.cached_texts) > CACHED_TEXTS:
            self.cached_texts.popitem(last=False)


class ScaleFleet:
    """Event-driven simulation of gateways, servers, discovery and one fault."""

    def __init__(self, seed, gateways, servers, fault, seconds, subset=0, requests_a_gateway=TARGET.requests_a_gateway):
        """`subset`: how many of the servers each gateway uses, in whole racks; 0: all."""
        self.fault, self.seconds = FleetFault(fault), seconds
        # Separate generators, so that two versions of the code receive the same requests under one seed.
        self.random, self.stream_random, self.delay_random = (np.random.default_rng([seed, stream]) for stream in (3, 4, 5))
        self.now, self.events, self.order = 0, [], count()
        rows = server_rows(servers, TARGET.prefill_part, TARGET.zones)
        self.servers = {row.id: ModelServer(row) for row in rows}
        self.rate = requests_a_gateway * gateways
        prefill = sum(row.kind == 0 for row in rows)
        self.token_cost_us = S * PREFILL_LOAD * prefill / self.rate / MEAN_TOKENS  # of prefill, for a prompt token
        streams = self.rate * TARGET.tokens_a_request * TOKEN_GAP_US / S
        self.slots = max(1, round(streams / DECODE_LOAD / (servers - prefill)))
        self.uplink_free_us = Counter()  # by rack, the time from which its uplink is free
        self.cumulative_weights = self.gateway_weights(gateways)
        self.zone_of = [gateway % TARGET.zones for gateway in range(gateways)]
        self.subset = subset
        gateway_count = max(1, round(gateways * subset / servers)) if subset else gateways
        self.settings = router_settings(gateway_count, TARGET.tenants, self.rate * gateway_count / gateways, COLD_FROM)
        self.seeds = [int(number) for number in self.random.integers(0, 1 << 62, gateways)]
        self.requests, self.outstanding, self.token_counts = {}, {}, Counter()
        self.conversations = []
        self.routers, self.sinks = [None] * gateways, [None] * gateways
        for gateway in range(gateways):
            self.start(gateway)
        self.push(0, ("arrive",))
        if self.fault is not FleetFault.NONE:
            self.push(FAULT_START_US, (self.fault.value,))

    def gateway_weights(self, gateways):
        """-> cumulative weights: a tenth of the gateways receive three times as many requests as the others."""
        weights = np.ones(gateways)
        weights[::10] = 3
        return np.cumsum(weights / weights.sum())

    def push(self, at_us, event):
        """Schedules an event: the name of a method, and its arguments."""
        heapq.heappush(self.events, (at_us, next(self.order), event))

    def send_event(self, after_us, gateway, event):
        """Schedules an event for the current Router of a gateway."""
        self.push(self.now + int(after_us), ("deliver", gateway, self.routers[gateway], event))

    def start(self, gateway):
        """Starts a new process of a gateway; the open requests of the previous process are lost."""
        settings = self.settings | {"az": self.zone_of[gateway], "me": gateway}
        self.routers[gateway] = Router(self.seeds[gateway] + self.now, settings, self.now)
        self.sinks[gateway] = Sink(self, gateway)
        rows = [server.row._replace(started_us=server.started_us) for server in self.servers.values() if not server.dead]
        rows = [row for row in rows if self.uses(gateway, row)]
        self.routers[gateway].round(self.now, [("servers", "restored", rows)], self.sinks[gateway])

    def uses(self, gateway, row):
        """Whether a server belongs to the subset of a gateway: racks are chosen by hash, so that all have a similar number of
        gateways."""
        return not self.subset or hash_fraction(b"%d/%d" % (gateway, row.cell)) < self.subset / len(self.servers)

    def run(self):
        """Simulates until the end. -> itself"""
        end = self.seconds * S
        while self.events and self.events[0][0] < end:
            self.now, _, event = heapq.heappop(self.events)
            getattr(self, event[0])(*event[1:])
        return self

    def deliver(self, gateway, router, event):
        """Gives an event to the Router, unless the gateway restarted or the request is over."""
        if router is self.routers[gateway] and (event[0] not in ("outcome", "first") or event[1] in router.reqs):
            router.round(self.now, [event], self.sinks[gateway])

    # ---- requests

    def arrive(self):
        """A request arrives at a random gateway."""
        random = self.random
        self.push(self.now + int(random.exponential(S / self.rate)), ("arrive",))
        gateway = min(int(np.searchsorted(self.cumulative_weights, random.random())), len(self.routers) - 1)
        tenant = int(random.zipf(1.3)) % TARGET.tenants
        if self.conversations and random.random() < FOLLOW_UP_PART:
            conversation, prefix, tokens = self.conversations[int(random.integers(len(self.conversations)))]
            tokens = int(tokens * 1.2) + 100
        else:
            model = int(random.zipf(1.4)) % TARGET.models
            prefix = f"m{model}:{int(random.zipf(1.5)) % PREFIXES_PER_MODEL}"
            tokens = int(MEAN_TOKENS * random.lognormal(-0.32, 0.8)) + 20
            conversation = f"c{len(self.requests)}"
        self.conversations.append((conversation, prefix, min(tokens, 8000)))
        del self.conversations[:-3000]
        name = f"q{len(self.requests)}"
        self.requests[gateway, name] = Request(tokens, conversation, prefix, tenant, self.now)
        shared = int(SHARED_PART * tokens)
        self.deliver(
            gateway,
            self.routers[gateway],
            ("req", name, tokens, self.now + DEADLINE_US, conversation, prefix, shared, 260, None, 0, tenant, 0),
        )

    def outcome(self, key, code, cached=0, after_us=0):
        """Ends an attempt and reports its outcome to the gateway."""
        began_us, server, _ = self.outstanding.pop(key)
        gateway, name, attempt_no = key
        latency_us = int(self.now + after_us - began_us)
        self.send_event(after_us, gateway, ("outcome", name, attempt_no, server, code, latency_us, code == "done", cached, None))

    def attempt(self, key, server, timeout_us, up_us):
        """A gateway sends an attempt. `key`: (gateway, request, attempt_no)"""
        model = self.servers[server]
        self.outstanding[key] = (self.now, server, self.routers[key[0]])
        self.push(self.now + timeout_us, ("expire", key))
        partitioned = (
            self.fault is FleetFault.REGION
            and FAULT_START_US <= self.now < FAULT_START_US + OUTAGE_US
            and (self.zone_of[key[0]] * 2 < TARGET.zones) != (model.row.zone * 2 < TARGET.zones)
        )
        if model.dead:
            return self.outcome(key, "unreachable", after_us=MS)
        if model.silent or partitioned:
            return self.push(self.now + min(timeout_us, up_us or timeout_us, 250 * MS), ("unreached", key))
        (self.prefill if model.row.kind == 0 else self.decode)(key, model)

    def prefill(self, key, model):
        request = self.requests[key[0], key[1]]
        cached = max(model.cached_texts.get(request.conversation, 0), model.cached_texts.get(request.prefix, 0))
        uncached = max(1, request.tokens - min(cached, request.tokens))
        begin_us = max(self.now, model.busy_until_us)
        if begin_us - self.now > MAX_QUEUE_WAIT_US:
            return self.outcome(key, "full", after_us=FULL_US)
        duration_us = uncached * self.token_cost_us / model.speed(self.now)
        if model.started_us:
            model.cold_sent.append((self.now, request.tokens / MEAN_TOKENS))
        model.busy_until_us, model.work_us = begin_us + duration_us, model.work_us + duration_us
        self.token_counts["prompt"] += request.tokens
        self.token_counts["cached"] += request.tokens - uncached
        model.cache(request.prefix, int(SHARED_PART * request.tokens))
        model.cache(request.conversation, request.tokens)
        self.push(int(model.busy_until_us), ("read", key, request.tokens - uncached))

    def read(self, key, cached):
        """A prefill ends."""
        if key in self.outstanding:
            self.requests[key[0], key[1]].holder = self.outstanding[key][1]
            self.outcome(key, "read", cached)

    def decode(self, key, model):
        if model.open < self.slots:
            return self.fetch(key, model)
        model.queue.append(key)

    def fetch(self, key, model):
        """A decode server fetches the prompt state from the server that holds it."""
        model.open += 1
        request = self.requests[key[0], key[1]]
        holder = self.servers[request.holder].row if request.holder else model.row
        self.token_counts[locality(holder, model.row)] += request.tokens
        if holder.cell == model.row.cell:
            arrives_us = self.now + S * request.tokens / RACK_TOKENS_PER_S
        else:
            free_us = max(self.now, self.uplink_free_us[holder.cell])
            self.uplink_free_us[holder.cell] = arrives_us = free_us + S * request.tokens / UPLINK_TOKENS_PER_S
        self.push(int(arrives_us) + TOKEN_GAP_US, ("first", key, model))

    def first(self, key, model):
        """A decode server sends the first token."""
        if key not in self.outstanding or model.silent or model.dead:
            return self.free_slot(model)
        gateway, name, attempt_no = key
        began_us, server, _ = self.outstanding[key]
        request = self.requests[gateway, name]
        if request.first_us is None:
            request.first_us = self.now
        self.send_event(0, gateway, ("first", name, server, int(self.now - began_us), attempt_no))
        tokens = self.stream_random.lognormal(np.log(TARGET.tokens_a_request) - 0.32, 0.8)
        self.push(self.now + int(TOKEN_GAP_US * tokens), ("done", key, model))

    def done(self, key, model):
        """A stream ends."""
        self.free_slot(model)
        if key in self.outstanding:
            self.outcome(key, "done")

    def free_slot(self, model):
        model.open = max(0, model.open - 1)
        while model.queue and model.open < self.slots:
            key = model.queue.pop(0)
            if key in self.outstanding:
                self.fetch(key, model)

    def expire(self, key):
        """An attempt times out, unless its first token was sent."""
        attempt = self.outstanding.get(key)
        if attempt is not None and self.requests[key[0], key[1]].first_us is None:
            self.outcome(key, "timed_out")

    def unreached(self, key):
        """A connection attempt to a silent or partitioned server fails."""
        if key in self.outstanding:
            self.outcome(key, "unreachable")

    def cancel(self, key):
        """A gateway cancels an attempt."""
        if key in self.outstanding:
            self.outcome(key, "cancelled")

    # ---- faults

    def publish(self, rows, after_us):
        """Discovery sends changed rows to all gateways, with a random delay for each."""
        for gateway in range(len(self.routers)):
            known = [row for row in rows if self.uses(gateway, row)]
            self.send_event(after_us + int(self.delay_random.uniform(*LIST_DELAY_US)), gateway, ("servers", "update", known))

    def lose(self, servers):
        """Servers stop answering; discovery reports it after a delay, and their return with a new start time."""
        for server in servers:
            server.silent = True
        self.publish([server.row._replace(mode="draining") for server in servers], DISCOVERY_DELAY_US)
        self.push(self.now + OUTAGE_US, ("restore", servers))

    def restore(self, servers):
        """Lost servers return, cold."""
        for server in servers:
            server.start_cold(self.now)
        self.publish([server.row._replace(started_us=self.now) for server in servers], 0)

    def machine(self):
        servers = [next(server for server in self.servers.values() if server.row.kind == kind) for kind in (0, 1)]
        for server in servers:
            server.dead = True
        for key in [key for key, (_, name, _) in self.outstanding.items() if self.servers[name].dead]:
            self.outcome(key, "reset")
        self.publish([server.row._replace(mode="gone") for server in servers], DISCOVERY_DELAY_US)

    def rack(self):
        self.lose([server for server in self.servers.values() if server.row.cell == 0])

    def zone(self):
        self.lose([server for server in self.servers.values() if server.row.zone == 0])

    def region(self):
        """Takes effect in `attempt`."""

    def release(self):
        for gateway in range(len(self.routers)):
            self.push(self.now + gateway * 10 * S // len(self.routers), ("start", gateway))

    def power(self):
        for server in self.servers.values():
            server.start_cold(self.now)
        for gateway in range(len(self.routers)):
            self.push(self.now, ("start", gateway))

    def roles(self):
        servers = [server for server in self.servers.values() if server.row.kind == 0][::2]
        for server in servers:
            server.start_cold(self.now)
            server.row = server.row._replace(kind=1, started_us=self.now)
        self.publish([server.row for server in servers], 0)

    # ---- result

    def served(self):
        """-> the result over the requests that arrived after the warm-up and at least 3 s before the end"""
        counted = [request for request in self.requests.values() if WARM_UP_US <= request.arrived_us < (self.seconds - 3) * S]
        long_tokens = np.quantile([request.tokens for request in counted], 0.9)
        asked, in_time = Counter(), Counter()
        for request in counted:
            asked[request.tenant] += 1
            in_time[request.tenant] += request.in_time
        small = [request for request in counted if asked[request.tenant] <= 3]
        parts = sorted(in_time[tenant] / requests for tenant, requests in asked.items() if requests >= 20)
        work_us = np.array([server.work_us for server in self.servers.values() if server.row.kind == 0])
        popular = [f"m{model}:1" for model in range(1, 6)]
        copies = [sum(text in server.cached_texts for server in self.servers.values()) for text in popular]
        return Served(
            len(counted),
            part_in_time(counted),
            sum(request.first_us is not None for request in counted) / len(counted),
            part_in_time([request for request in counted if request.tokens >= long_tokens]),
            part_in_time(small),
            sum(parts[: max(1, len(parts) // 10)]) / max(1, len(parts) // 10),
            self.token_counts["cached"] / max(1, self.token_counts["prompt"]),
            float(np.quantile(work_us, 0.9) / max(1.0, work_us.mean())),
            sum(copies) / len(copies),
            self.cold_worst(),
            *self.transfer_parts(),
        )

    def transfer_parts(self):
        """-> parts of the transferred tokens that stay in their rack, zone and region."""
        tokens = [self.token_counts[place] for place in ("rack", "zone", "region", "other")]
        return [count / max(1, sum(tokens)) for count in tokens[:3]]

    def cold_worst(self):
        """-> the maximum load of a cold prefill server, relative to its limit."""
        mean_work_us = self.token_cost_us * MEAN_TOKENS
        return max(
            (
                heaviest_window(
                    server.cold_sent, lambda at_us, server=server: FALL_MULTIPLE * server.speed(at_us - S // 2) * S / mean_work_us
                )[0]
                for server in self.servers.values()
            ),
            default=0.0,
        )


def locality(one, other):
    """The smallest unit that two servers share: rack, zone, region or none; the zones are divided over the regions."""
    if one.cell == other.cell:
        return "rack"
    if one.zone == other.zone:
        return "zone"
    half = TARGET.zones // TARGET.regions
    return "region" if one.zone // half == other.zone // half else "other"


def part_in_time(requests):
    """The part of the requests with their first token in time."""
    return sum(request.in_time for request in requests) / max(1, len(requests))
