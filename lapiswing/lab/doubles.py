"""Test doubles of the Router: two baselines for comparison, and one double for each of the five rules that breaks it on
purpose, so that tests can show that the audit detects it. The gateway itself never uses them."""

from zlib import crc32

from lapiswing.policy import Router


class Baseline:
    """Sends each request to any prefill server and then to any decode server, and retries elsewhere until attempts or time are
    used up. Subclasses choose the server in `pick`."""

    def __init__(self, seed, settings, now_us):
        self.seed, self.draw_count, self.next_index = seed, 0, {}
        self.groups, self.max_attempts = settings["groups"], settings["limits"]["max_attempts"]
        self.roles = settings["family_info"]["duty_by_kind"]
        self.retry_after_us = settings["limits"]["max_retry_after_us"]
        self.rows, self.reqs = {}, {}

    def round(self, now_us, events, out):
        """Handles a list of events as the Router does."""
        self.now, self.out = now_us, out
        for name, *fields in events:
            getattr(self, "on_" + name)(*fields)

    def on_servers(self, kind, rows):
        if kind != "update":
            self.rows = {}
        for row in rows:
            self.rows[row.id] = row

    def usable_servers(self, stage):
        """The ready servers for a stage, `read` (prefill) or `write` (decode)."""
        roles = ("read", "both") if stage == "read" else ("write", "both")
        return [r.id for r in self.rows.values() if r.mode == "ready" and self.roles[r.kind] in roles]

    def random_fraction(self):
        """A number in [0, 1) that follows from the seed and the number of draws."""
        self.draw_count += 1
        return crc32(b"%d/%d" % (self.seed, self.draw_count)) / 4294967296.0

    def on_req(self, rid, tokens, expires, session, prefix, prefix_tokens, _out, _hint, _bits, tenant, group):
        self.reqs[rid] = {
            "group": group,
            "expires": expires,
            "sent": 0,
            "out": 0,
            "held": False,
            "ran": [],
            "closed": False,
            "begun": False,
        }
        self.send_attempt(rid, "read")

    def zone_of(self, server):
        return self.rows[server].zone if server in self.rows else None

    def allowed_servers(self, req, servers):
        """The servers to which the request may be sent, given the attempts that may already have taken effect."""
        request_class = self.groups[req["group"]]
        if not req["ran"] or request_class.effect == "replayable":
            return servers
        if request_class.effect == "non-replayable":
            return []
        return [
            s
            for s in servers
            if self.now - req["ran"][0][1] < request_class.repeat_window_us - 100_000
            and (request_class.repeat_scope == "all" or self.zone_of(s) == self.zone_of(req["ran"][0][0]))
        ]

    def send_attempt(self, rid, stage):
        """Sends the request to a server for the stage, or gives it up."""
        req = self.reqs[rid]
        servers = self.allowed_servers(req, self.usable_servers(stage))
        if not servers or req["sent"] >= self.max_attempts or self.now + 50_000 >= req["expires"]:
            return self.give_up(rid)
        server = self.pick(stage, servers)
        if stage == "write" or self.roles[self.rows[server].kind] == "both":
            req["ran"].append((server, self.now))
        req["sent"] += 1
        req["out"] += 1
        self.out.forward(rid, server, max(1000, req["expires"] - self.now - 50_000))

    def give_up(self, rid):
        """Rejects the request, or fails it if a retry by the client could repeat an effect."""
        req = self.reqs[rid]
        req["closed"] = True
        request_class = self.groups[req["group"]]
        if (
            not req["ran"]
            or request_class.effect == "replayable"
            or request_class.effect == "keyed"
            and request_class.repeat_scope == "all"
        ):
            self.out.push_back(rid, self.retry_after_us)
        else:
            self.out.abort(rid)
        self.clean_up(rid)

    def clean_up(self, rid):
        """Releases the state of a closed request, and forgets the request once no attempt is in progress."""
        req = self.reqs[rid]
        if req["held"]:
            self.out.release(rid)
            req["held"] = False
        if not req["out"]:
            del self.reqs[rid]

    def on_first(self, rid, server, latency, number):
        if rid in self.reqs:
            self.reqs[rid].update(begun=True, held=False)

    def on_outcome(self, rid, number, server, code, latency, ended, remark, report):
        req = self.reqs.get(rid)
        if req is None:
            return
        req["out"] -= 1
        if code in ("full", "unreachable") and req["ran"] and req["ran"][-1][0] == server:
            req["ran"].pop()
        if code == "read":
            req["held"] = True
        if code == "full" and remark == 1:
            req["held"] = False
        req["closed"] = req["closed"] or bool(ended)
        if req["closed"]:
            return self.clean_up(rid)
        self.send_attempt(rid, "write" if req["held"] else "read")

    def on_client_left(self, rid):
        if rid in self.reqs and not self.reqs[rid]["closed"]:
            self.reqs[rid]["closed"] = True
            self.clean_up(rid)

    on_timer = on_place = on_probed = on_peer = lambda self, *fields: None


class RandomBaseline(Baseline):
    """Chooses a server at random."""

    def pick(self, stage, servers):
        return servers[int(self.random_fraction() * len(servers))]


class RoundRobinBaseline(Baseline):
    """Chooses the servers in turn."""

    def pick(self, stage, servers):
        self.next_index[stage] = self.next_index.get(stage, 0) + 1
        return servers[self.next_index[stage] % len(servers)]


class LosesRequests(Router):
    """Breaks rule 1: does not answer requests that it gives up. The gateway's backstop would answer them, so it is disabled."""

    without_backstop = True

    def give_up(self, req, retry_after_us=0):
        req.closed = True
        self.clean_up(req)


class RepeatsEffects(RandomBaseline):
    """Breaks rule 2: sends requests again that may already have taken effect."""

    def allowed_servers(self, req, servers):
        return servers


class IgnoresDrains(RandomBaseline):
    """Breaks rule 3: ignores that a server drains or is gone."""

    def on_servers(self, kind, rows):
        for row in rows:
            if row.id not in self.rows or row.mode == "ready":
                self.rows[row.id] = row


class OverloadsNewServers(RandomBaseline):
    """Breaks rule 4: sends everything to the server that started last."""

    def pick(self, stage, servers):
        return max(servers, key=lambda s: self.rows[s].started_us)


class KeepsStates(RandomBaseline):
    """Breaks rule 5: waits for a second between the prefill and the decode attempt, while the state is held."""

    def on_outcome(self, rid, number, server, code, latency, ended, remark, report):
        if code == "read" and not ended and rid in self.reqs:
            self.reqs[rid].update(held=True, out=0)
            self.out.timer(1_000_000, rid)
            return
        super().on_outcome(rid, number, server, code, latency, ended, remark, report)

    def on_timer(self, rid):
        if rid in self.reqs and not self.reqs[rid]["closed"]:
            self.send_attempt(rid, "write")


# The values of the option --router.
ROUTERS = {
    "module": Router,
    "random": RandomBaseline,
    "round-robin": RoundRobinBaseline,
    "loses": LosesRequests,
    "doubles": RepeatsEffects,
    "deaf": IgnoresDrains,
    "rushes": OverloadsNewServers,
    "pins": KeepsStates,
}
BASELINES = ("random", "round-robin")
