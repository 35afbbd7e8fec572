"""Reads a gateway's own counters: facts for the diagnosis, rows for those who look. What is long (reqs) is read in slices,
as generators; who runs them decides how much at a time."""

import os
import time

MS = 1000
ROWS = 25  # between two breaths


class Facts:
    def __init__(self, gateway):
        self.gateway, self.core = gateway, gateway.core
        self.disks = sorted({os.path.abspath(gateway.base)})
        self.turn_us = self.lag_us = 0
        # Told by a supervisor that started us.
        self.starts = [int(t) for t in os.environ.get("LAPISWING_STARTS", "").split(",") if t.isdigit()]
        self.last_end = os.environ.get("LAPISWING_LAST_END", "")
        self.hold = (0, 0)  # how many, the oldest's age

    def role(self, kind):
        return self.core.roles[kind]

    def boxes(self):
        core, now = self.core, self.core.loop.clock.now_us()
        words = core.membership.explain()
        machines = getattr(core.router, "servers", {})
        ramp = self.gateway.settings.rules.ramp_ms * MS
        out = {}
        for name, row in core.membership.published.items():
            tally, machine = core.tally.server(name), machines.get(name)
            report = tally.report
            out[name] = {
                "role": self.role(row.kind),
                "mode": row.mode,
                "why": core.membership.reason_of(name),
                "words": words.get(name),
                "zone": row.zone,
                "cell": row.cell,
                "kind": core.settings.kind[row.kind].name,
                "out": tally.open_attempts,
                "codes": dict(tally.codes),
                "last": tally.last_code,
                "first_us": tally.first_us,
                "read_us": tally.read_us,
                "fail_us": tally.fail_us,
                "starts": tally.starts,
                "cold": bool(row.started_us) and now - row.started_us < ramp,
                "up_ms": (now - row.started_us) // MS if row.started_us else None,
                "suspect": bool(getattr(machine, "ejected", False)),
                "bad": round(float(getattr(machine, "failure_score", 0.0)), 3),
                "kept_texts": len(getattr(machine, "cached_prefixes", ())),
                "memory": report.get("x0"),
                "queue": report.get("queue"),
                "inflight": report.get("inflight"),
            }
        return out

    def shares(self):
        """What part of reads and of writes each box gets by the pair table."""
        out, table = {}, getattr(self.core.router, "table", None)
        if table is None:
            return out  # a baseline that has none
        writers = zip(table.columns.index_of, table.writer_shares().tolist())
        for part, shares in (("reads", table.share.items()), ("writes", writers)):
            for name, share in shares:
                out.setdefault(name, {})[part] = round(share, 4)
        return out

    def tenants(self):
        names = [t.name for t in self.core.settings.tenant]
        return {names[i] if i < len(names) else "(all)": dict(row) for i, row in self.core.tally.tenants.items()}

    def scan(self):
        """A generator over the reqs, for holds; its result is kept."""
        count = oldest = 0
        reqs = list(self.core.reqs.values())
        for at in range(0, len(reqs), ROWS * 8):
            now = self.core.loop.clock.now_us()
            for req in reqs[at : at + ROWS * 8]:
                if req.held_since_us is not None and req.state is not None and not req.attempts:
                    count += 1
                    oldest = max(oldest, now - req.held_since_us)
            yield
        self.hold = (count, oldest)

    def take(self):
        """The facts of now, for `diagnosis.Diagnosis.look`."""
        core, gateway = self.core, self.gateway
        disks = {}
        for path in self.disks:
            try:
                stat = os.statvfs(path)
                disks[path] = stat.f_bavail / max(1, stat.f_blocks)
            except OSError:
                continue
        lag, self.lag_us = self.lag_us, 0
        router = core.router
        return {
            "now_us": core.loop.clock.now_us(),
            "wall_us": time.time_ns() // 1000 - core.loop.clock.now_us(),
            "boxes": self.boxes(),
            "counts": dict(core.counts),
            "tenants": self.tenants(),
            "open": core.open,
            "open_limit": core.limits.open_reqs,
            "holds": self.hold[0],
            "oldest_hold_us": self.hold[1],
            "hold_limit_us": gateway.settings.rules.let_go_ms * MS,
            "draining": core.draining,
            "lag_us": lag,
            "read_wait_us": float(getattr(router, "typical_read_us", 0)),
            "write_wait_us": float(getattr(router, "typical_wait_us", 0)),
            "first_p50_ms": core.tally.first_token.quantile_ms(0.5),
            "first_p99_ms": core.tally.first_token.quantile_ms(0.99),
            "starts_unix_ms": self.starts,
            "unix_ms": time.time_ns() // 1_000_000,
            "last_end": self.last_end,
            "doubts": core.membership.suspected_sources(),
            "records": []
            if gateway.discovery is None
            else [(s, gateway.discovery.states.get(s, "none"), b.problem) for s, b in gateway.discovery.browsers.items()],
            "store": None if gateway.store is None else (gateway.store.mode, gateway.store.why),
            "list_fault": gateway.list_fault,
            "disks": disks,
        }

    def note_turn(self):
        """Called once a turn: how long it was, the wait in select left out."""
        lag = self.core.loop.clock.now_us() - self.core.loop.now
        if lag > self.lag_us:
            self.lag_us = lag


def row_of(core, req, now):
    """One req, as staff see it. Only numbers and names; nothing that a client wrote."""
    outs = [{"stage": out.stage, "box": out.server, "ms": (now - out.sent_us) // MS} for out in req.attempts.values()]
    stage = "stream" if req.answering_no is not None else outs[0]["stage"] if outs else "held" if req.state else "waits"
    return {
        "req": req.number,
        "group": core.request_classes[req.spec.group].name,
        "tenant": tenant_name(core, req.spec.tenant),
        "stage": stage,
        "box": outs[0]["box"] if outs else req.state[0] if req.state else None,
        "age_ms": (now - req.accepted_us) // MS,
        "left_ms": None if req.answering_no is not None else (req.expires_us - now) // MS,
        "held_ms": (now - req.held_since_us) // MS if req.held_since_us is not None and req.state is not None else None,
        "prompt": req.spec.tokens,
        "tokens": req.answer.assembler.tokens,
        "forwards": req.attempts_sent,
        "resumes": req.resumes,
        "outs": outs,
        "trail": req.attempt_history[-8:],
    }


def tenant_name(core, number):
    tenants = core.settings.tenant
    return tenants[number].name if number < len(tenants) else "(all)"
