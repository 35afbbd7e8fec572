"""Test doubles of the Router: two baselines to measure against, and gateways broken on purpose, one for each rule, that
the auditor must find out. None of them is ever part of the product."""

from zlib import crc32

from lapiswing.policy import Router


class Simple:
    """Reads anywhere, writes anywhere, tries again elsewhere until forwards or time run out. `pick` chooses."""

    def __init__(self, seed, settings, now_us):
        self.seed, self.draws, self.turns = seed, 0, {}
        self.groups, self.most = settings["groups"], settings["limits"]["max_attempts"]
        self.roles = settings["family_info"]["duty_by_kind"]
        self.come_back_us = settings["limits"]["max_retry_after_us"]
        self.rows, self.reqs = {}, {}

    def round(self, now_us, events, out):
        self.now, self.out = now_us, out
        for name, *fields in events:
            getattr(self, "on_" + name)(*fields)

    def on_servers(self, kind, rows):
        if kind != "update":
            self.rows = {}
        for row in rows:
            self.rows[row.id] = row

    def usable(self, stage):
        want = ("read", "both") if stage == "read" else ("write", "both")
        return [r.id for r in self.rows.values() if r.mode == "ready" and self.roles[r.kind] in want]

    def chance(self):
        self.draws += 1
        return crc32(b"%d/%d" % (self.seed, self.draws)) / 4294967296.0

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
        self.step(rid, "read")

    def zone_of(self, server):
        return self.rows[server].zone if server in self.rows else None

    def allowed(self, req, servers):
        g = self.groups[req["group"]]
        if not req["ran"] or g.effect == "replayable":
            return servers
        if g.effect == "non-replayable":
            return []
        return [
            s
            for s in servers
            if self.now - req["ran"][0][1] < g.repeat_window_us - 100_000
            and (g.repeat_scope == "all" or self.zone_of(s) == self.zone_of(req["ran"][0][0]))
        ]

    def step(self, rid, stage):
        req = self.reqs[rid]
        servers = self.allowed(req, self.usable(stage))
        if not servers or req["sent"] >= self.most or self.now + 50_000 >= req["expires"]:
            return self.give_up(rid)
        server = self.pick(stage, servers)
        if stage == "write" or self.roles[self.rows[server].kind] == "both":
            req["ran"].append((server, self.now))
        req["sent"] += 1
        req["out"] += 1
        self.out.forward(rid, server, max(1000, req["expires"] - self.now - 50_000))

    def give_up(self, rid):
        req = self.reqs[rid]
        req["closed"] = True
        g = self.groups[req["group"]]
        if not req["ran"] or g.effect == "replayable" or g.effect == "keyed" and g.repeat_scope == "all":
            self.out.push_back(rid, self.come_back_us)
        else:
            self.out.abort(rid)
        self.let_go(rid)

    def let_go(self, rid):
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
            return self.let_go(rid)
        self.step(rid, "write" if req["held"] else "read")

    def on_client_left(self, rid):
        if rid in self.reqs and not self.reqs[rid]["closed"]:
            self.reqs[rid]["closed"] = True
            self.let_go(rid)

    on_timer = on_place = on_probed = on_peer = lambda self, *fields: None


class Random(Simple):
    def pick(self, stage, servers):
        return servers[int(self.chance() * len(servers))]


class RoundRobin(Simple):
    def pick(self, stage, servers):
        self.turns[stage] = self.turns.get(stage, 0) + 1
        return servers[self.turns[stage] % len(servers)]


class Loses(Router):
    """Breaks rule 1: forgets to answer what it gives up. The host's backstop would still answer, so it runs without."""

    without_backstop = True

    def give_up(self, req, come_back_us=0):
        req.closed = True
        self.clean_up(req)


class Doubles(Random):
    """Breaks rule 2: sends again whatever may have run."""

    def allowed(self, req, servers):
        return servers


class Deaf(Random):
    """Breaks rule 3: does not hear that a box drains or is gone."""

    def on_servers(self, kind, rows):
        for row in rows:
            if row.id not in self.rows or row.mode == "ready":
                self.rows[row.id] = row


class Rushes(Random):
    """Breaks rule 4: sends everything to the box that started last."""

    def pick(self, stage, servers):
        return max(servers, key=lambda s: self.rows[s].started_us)


class Pins(Random):
    """Breaks rule 5: keeps a read state for a second before its write."""

    def on_outcome(self, rid, number, server, code, latency, ended, remark, report):
        if code == "read" and not ended and rid in self.reqs:
            self.reqs[rid].update(held=True, out=0)
            self.out.timer(1_000_000, rid)
            return
        super().on_outcome(rid, number, server, code, latency, ended, remark, report)

    def on_timer(self, rid):
        if rid in self.reqs and not self.reqs[rid]["closed"]:
            self.step(rid, "write")


ROUTERS = {
    "module": Router,
    "random": Random,
    "round-robin": RoundRobin,
    "loses": Loses,
    "doubles": Doubles,
    "deaf": Deaf,
    "rushes": Rushes,
    "pins": Pins,
}
BASELINES = ("random", "round-robin")
