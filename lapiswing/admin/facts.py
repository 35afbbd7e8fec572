"""Reads a gateway's own counters: the facts that the diagnosis evaluates, and the rows of admin snapshots. The open requests,
which may be many, are read by generators in slices, so that the caller decides how much runs at a time."""

import os
import time

MS = 1000
SLICE_REQS = 25  # requests that a snapshot serializes between two yields


class Facts:
    """Collects the counters of one gateway, and measures the loop's lag and the reserved states between two collections."""

    def __init__(self, gateway):
        self.gateway, self.core = gateway, gateway.core
        self.disks = sorted({os.path.abspath(gateway.base)})
        self.turn_us = self.lag_us = 0
        # Set by the supervisor that started this process: times of the starts, how the last process ended.
        self.starts = [int(t) for t in os.environ.get("LAPISWING_STARTS", "").split(",") if t.isdigit()]
        self.last_end = os.environ.get("LAPISWING_LAST_END", "")
        self.hold_summary = (0, 0)  # states held without an attempt: their number, the age of the oldest in us

    def role(self, kind):
        """The role of a server kind: read (prefill), write (decode) or both."""
        return self.core.roles[kind]

    def server_rows(self):
        """One row for each listed server, by name: its mode, counters and the router's view of it."""
        core, now = self.core, self.core.loop.clock.now_us()
        reported_modes = core.membership.explain()
        router_servers = getattr(core.router, "servers", {})
        slow_start_us = self.gateway.settings.rules.ramp_ms * MS
        out = {}
        for name, row in core.membership.published.items():
            tally, router_server = core.tally.server(name), router_servers.get(name)
            report = tally.report
            out[name] = {
                "role": self.role(row.kind),
                "mode": row.mode,
                "why": core.membership.reason_of(name),
                "words": reported_modes.get(name),
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
                "cold": bool(row.started_us) and now - row.started_us < slow_start_us,
                "up_ms": (now - row.started_us) // MS if row.started_us else None,
                "suspect": bool(getattr(router_server, "ejected", False)),
                "bad": round(float(getattr(router_server, "failure_score", 0.0)), 3),
                "kept_texts": len(getattr(router_server, "cached_prefixes", ())),
                "memory": report.get("x0"),
                "queue": report.get("queue"),
                "inflight": report.get("inflight"),
            }
        return out

    def pair_shares(self):
        """The shares of reads (prefill) and writes (decode) that the pair table assigns to each server."""
        out, table = {}, getattr(self.core.router, "table", None)
        if table is None:
            return out  # a baseline router has no pair table
        writers = zip(table.columns.index_of, table.writer_shares().tolist())
        for stage, shares in (("reads", table.share.items()), ("writes", writers)):
            for name, share in shares:
                out.setdefault(name, {})[stage] = round(share, 4)
        return out

    def tenant_counts(self):
        """The request counters of each tenant, by name."""
        names = [t.name for t in self.core.settings.tenant]
        return {names[index] if index < len(names) else "(all)": dict(row) for index, row in self.core.tally.tenants.items()}

    def scan_holds(self):
        """A generator over the open requests that counts the states held without an attempt; sets `hold_summary` at its end."""
        count = oldest_us = 0
        reqs = list(self.core.reqs.values())
        for start in range(0, len(reqs), SLICE_REQS * 8):
            now = self.core.loop.clock.now_us()
            for req in reqs[start : start + SLICE_REQS * 8]:
                if req.held_since_us is not None and req.state is not None and not req.attempts:
                    count += 1
                    oldest_us = max(oldest_us, now - req.held_since_us)
            yield
        self.hold_summary = (count, oldest_us)

    def collect(self):
        """The current facts, for `diagnosis.Diagnosis.observe`. Resets the longest lag of the loop."""
        core, gateway = self.core, self.gateway
        disks = {}
        for path in self.disks:
            try:
                stat = os.statvfs(path)
                disks[path] = stat.f_bavail / max(1, stat.f_blocks)
            except OSError:
                continue
        max_lag_us, self.lag_us = self.lag_us, 0
        router = core.router
        return {
            "now_us": core.loop.clock.now_us(),
            "wall_us": time.time_ns() // 1000 - core.loop.clock.now_us(),
            "boxes": self.server_rows(),
            "counts": dict(core.counts),
            "tenants": self.tenant_counts(),
            "open": core.open,
            "open_limit": core.limits.open_reqs,
            "holds": self.hold_summary[0],
            "oldest_hold_us": self.hold_summary[1],
            "hold_limit_us": gateway.settings.rules.let_go_ms * MS,
            "draining": core.draining,
            "lag_us": max_lag_us,
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
            else [
                (source, gateway.discovery.states.get(source, "none"), browser.problem)
                for source, browser in gateway.discovery.browsers.items()
            ],
            "store": None if gateway.store is None else (gateway.store.mode, gateway.store.why),
            "list_fault": gateway.list_fault,
            "disks": disks,
        }

    def record_turn(self):
        """Called at the end of each turn of the loop: keeps the longest duration of a turn, without the wait in select."""
        turn_us = self.core.loop.clock.now_us() - self.core.loop.now
        if turn_us > self.lag_us:
            self.lag_us = turn_us


def req_row(core, req, now):
    """The row of an open request. It holds numbers and configured names only, nothing of the prompt or the answer."""
    attempts = [
        {"stage": attempt.stage, "box": attempt.server, "ms": (now - attempt.sent_us) // MS} for attempt in req.attempts.values()
    ]
    stage = "stream" if req.answering_no is not None else attempts[0]["stage"] if attempts else "held" if req.state else "waits"
    return {
        "req": req.number,
        "group": core.request_classes[req.spec.group].name,
        "tenant": tenant_name(core, req.spec.tenant),
        "stage": stage,
        "box": attempts[0]["box"] if attempts else req.state[0] if req.state else None,
        "age_ms": (now - req.accepted_us) // MS,
        "left_ms": None if req.answering_no is not None else (req.expires_us - now) // MS,
        "held_ms": (now - req.held_since_us) // MS if req.held_since_us is not None and req.state is not None else None,
        "prompt": req.spec.tokens,
        "tokens": req.answer.assembler.tokens,
        "forwards": req.attempts_sent,
        "resumes": req.resumes,
        "outs": attempts,
        "trail": req.attempt_history[-8:],
    }


def tenant_name(core, index):
    """The name of a tenant by its index in the settings; "(all)" for an index without a tenant."""
    tenants = core.settings.tenant
    return tenants[index].name if index < len(tenants) else "(all)"
