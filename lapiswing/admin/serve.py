"""The admin sockets. docs/console.md describes the messages.

They never block the gateway: snapshots are built in slices by background tasks and shared by all requests that arrive at about
the same time; a follower of the feed that stops reading is sent no more than a small buffer, and sees from the sequence numbers
what it missed. Read access and control access are separate, each with its own socket or keys, and each action is written to the
audit log before it is carried out."""

import hmac
import os
import socket
import stat
import struct
import time
from collections import deque
from urllib.parse import parse_qs

import orjson

from lapiswing import __version__
from lapiswing.admin.diagnosis import Diagnosis, verdict
from lapiswing.admin.facts import SLICE_REQS, Facts, req_row, tenant_name
from lapiswing.admin.feed import Feed
from lapiswing.http1 import Limits, Server
from lapiswing.loop import Listener, listen_socket
from lapiswing.observe.metrics import CONTENT_TYPE, Metrics, counts_of

MS = 1000
VERSION = 1
SNAPSHOT_TTL_US = 200 * MS  # a snapshot that is younger is sent again
SAMPLE_INTERVAL_US = 1000 * MS
MAX_RECENT_CHANGES = 200
MAX_FOLLOWERS = 64
CONNECTION_BUFFER_BYTES = 65536


def listen_unix(path, mode):
    """Returns a listening Unix socket at `path`. A socket file that no process listens on any more is replaced. Raises OSError,
    also if another process listens there."""
    sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
    try:
        try:
            if stat.S_ISSOCK(os.stat(path).st_mode):
                probe = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
                try:
                    probe.connect(path)
                    raise OSError(98, "another process listens there", path)
                except ConnectionRefusedError:
                    os.unlink(path)
                finally:
                    probe.close()
        except FileNotFoundError:
            pass
        old_umask = os.umask(0o777 & ~mode)
        try:
            sock.bind(path)
        finally:
            os.umask(old_umask)
        sock.listen(64)
        sock.setblocking(False)
        return sock
    except OSError:
        sock.close()
        raise


class Admin:
    """The admin interface of a gateway: samples its counters once a second, publishes changes and answers requests."""

    def __init__(self, gateway, log):
        self.gateway, self.core, self.loop, self.log = gateway, gateway.core, gateway.loop, log
        self.settings = gateway.settings.admin
        self.facts, self.diagnosis, self.feed = Facts(gateway), Diagnosis(), Feed()
        self.recent_changes, self.started_us = deque(maxlen=MAX_RECENT_CHANGES), self.loop.clock.now_us()
        self.last_facts, self.cached_snapshots, self.waiting_exchanges = None, {}, {}
        self.listeners, self.servers, self.audit, self.closed = [], [], None, False
        self.metrics = Metrics(self.metric_families)
        self.hold_scan_running, self.follower_count, self.sample_count = False, 0, 0
        self.core.on_change = self.record_change

    def start(self):
        """Opens the sockets and the audit log, and takes the first sample. Raises OSError."""
        settings = self.settings
        base = self.gateway.base
        for path, mode, may_act in ((settings.path, 0o660, False), (settings.control_path, 0o600, True)):
            if path:
                self.serve(listen_unix(os.path.join(base, path), mode), lambda exchange, may_act=may_act: may_act)
        if settings.port:
            self.serve(listen_socket(settings.host, settings.port), self.access_by_key)
        if settings.audit_file:
            self.audit = open(os.path.join(base, settings.audit_file), "a", encoding="utf-8")
        self.loop.after.append(self.facts.record_turn)
        self.record_change("gateway", text=f"started, process {os.getpid()}")
        self.take_sample()

    def serve(self, sock, access_of):
        """Serves HTTP on a listening socket. `access_of(exchange)`: as `access_by_key`."""
        server = Server(
            self.loop,
            lambda exchange: self.handle(exchange, access_of),
            Limits(body_bytes=65536, idle_us=120_000_000, stall_us=30_000_000),
        )
        listener = Listener(self.loop, sock, server.accept, 128, high=CONNECTION_BUFFER_BYTES, low=CONNECTION_BUFFER_BYTES // 4)
        server.listener = listener
        self.listeners.append(listener)
        self.servers.append(server)

    def access_by_key(self, exchange):
        """Returns True if the exchange's key may act, False if it may only read, None if it is unknown."""
        key = (exchange.header(b"authorization") or b"").removeprefix(b"Bearer ")
        may_act = any([hmac.compare_digest(known.encode(), key) for known in self.settings.control_key])
        return (
            True if may_act else False if any([hmac.compare_digest(known.encode(), key) for known in self.settings.key]) else None
        )

    # ---- once a second

    def take_sample(self):
        """Runs each second: collects the facts, updates the diagnosis, and publishes changed findings and a tick."""
        self.timer = self.loop.call_later(SAMPLE_INTERVAL_US, self.take_sample)
        if not self.hold_scan_running:
            self.hold_scan_running = True
            self.gateway.tasks.add("scan of holds", self.facts.scan_holds(), priority=2, done=self.on_hold_scan_end)
        self.sample_count += 1
        if self.sample_count % 10 == 0:
            self.core.tally.first_token.halve()
        facts = self.last_facts = self.facts.collect()
        for what, finding in self.diagnosis.observe(facts):
            self.record_change("finding", what=what, **finding_row(finding, self.unix_ms))
            (self.log.warning if what == "begun" else self.log.info)(
                "finding",
                what=what,
                kind=finding.kind,
                subject=finding.subject or None,
                cause=finding.cause,
                evidence=finding.evidence,
            )
        self.feed.publish(
            self.unix_ms(),
            "tick",
            counts=facts["counts"],
            open=facts["open"],
            holds=facts["holds"],
            oldest_hold_ms=facts["oldest_hold_us"] // MS,
            first_p50_ms=facts["first_p50_ms"],
            first_p99_ms=facts["first_p99_ms"],
            lag_us=facts["lag_us"],
        )

    def on_hold_scan_end(self, _problem):
        self.hold_scan_running = False

    def unix_ms(self, at_us=None):
        """The Unix time of a time of the loop's clock, by default of now."""
        return time.time_ns() // 1_000_000 if at_us is None else (at_us - self.gateway.unix_offset_us) // MS

    def record_change(self, kind, /, **fields):
        """Publishes a change; those that operators follow over time are also kept for snapshots."""
        now_ms = self.unix_ms()
        if kind in ("mode", "box", "finding", "action", "gateway"):
            self.recent_changes.append({"unix_ms": now_ms, "type": kind, **fields})
        self.feed.publish(now_ms, kind, **fields)

    # ---- requests

    def handle(self, exchange, access_of):
        """Answers one HTTP request."""
        may_act = access_of(exchange)
        if may_act is None:
            return self.error(exchange, 401, "a valid key is required")
        path, method = exchange.path, exchange.method
        query = {k: v[0] for k, v in parse_qs(exchange.target.partition(b"?")[2].decode("latin-1")).items()}
        if path == b"/v1/actions":
            if method != b"POST":
                return self.error(exchange, 405, "POST")
            if not may_act:
                return self.error(exchange, 403, "this socket or key may read, not act: see admin.control_path")
            return self.handle_action(exchange)
        if method != b"GET":
            return self.error(exchange, 405, "GET")
        if path == b"/v1/snapshot":
            return self.snapshot(exchange, query.get("parts", "all"))
        if path == b"/v1/feed":
            return self.follow(exchange, query.get("after", "now"))
        if path == b"/v1/verdict":
            return exchange.json(200, self.summary())
        if path.startswith(b"/v1/reqs/"):
            return self.answer_req(exchange, path[9:])
        if path == b"/metrics":
            return exchange.respond(200, self.metrics.render(), CONTENT_TYPE)
        return self.error(exchange, 404, "unknown path")

    def error(self, exchange, status, text):
        """Answers with an error message."""
        exchange.json(status, {"v": VERSION, "error": text})

    def summary(self):
        """What each snapshot begins with: the gateway, the verdict and the findings."""
        facts = self.last_facts
        level, text = verdict([f for f in self.diagnosis.findings if f.key() not in self.diagnosis.acknowledged], facts)
        gateway = self.gateway
        return {
            "v": VERSION,
            "seq": self.feed.seq,
            "unix_ms": self.unix_ms(),
            "gateway": {
                "name": gateway.settings.gateway.name,
                "index": gateway.settings.gateway.index,
                "version": __version__,
                "pid": os.getpid(),
                "up_ms": (self.loop.clock.now_us() - self.started_us) // MS,
                "port": gateway.port,
                "draining": self.core.draining,
            },
            "verdict": {"level": level, "text": text},
            "findings": [
                finding_row(f, self.unix_ms) | {"acknowledged": f.key() in self.diagnosis.acknowledged}
                for f in self.diagnosis.findings
            ],
        }

    def snapshot(self, exchange, parts):
        """Answers with a recent snapshot, or waits for one that is being built. `parts`: a list with commas, or "all"."""
        wanted = frozenset(parts.split(",")) if parts != "all" else SNAPSHOT_PARTS
        if not wanted <= SNAPSHOT_PARTS:
            return self.error(
                exchange,
                400,
                f"parts: {', '.join(sorted(wanted - SNAPSHOT_PARTS))} is not among {', '.join(sorted(SNAPSHOT_PARTS))}",
            )
        cached = self.cached_snapshots.get(wanted)
        if cached is not None and self.loop.clock.now_us() - cached[0] < SNAPSHOT_TTL_US:
            return exchange.respond(200, cached[1])
        waiting = self.waiting_exchanges.get(wanted)
        if waiting is not None:
            return waiting.append(exchange)
        self.waiting_exchanges[wanted] = [exchange]
        self.gateway.tasks.add(
            "snapshot", self.build_snapshot(wanted), priority=1, done=lambda problem: self.on_build_end(wanted, problem)
        )

    def on_build_end(self, wanted, problem):
        """Reports a build that raised an exception to those who wait for it."""
        for exchange in self.waiting_exchanges.pop(wanted, ()) if problem else ():
            self.error(exchange, 500, f"the snapshot failed: {problem}")

    def build_snapshot(self, wanted):
        """The background task that builds a snapshot of some parts and sends it to all who wait for it."""
        chunks = [orjson.dumps(self.summary())[:-1]]
        yield
        core = self.core
        if "boxes" in wanted:
            servers, shares = self.facts.server_rows(), self.facts.pair_shares()
            yield
            chunks.append(b',"boxes":' + orjson.dumps([{"box": n, **row, **shares.get(n, {})} for n, row in servers.items()]))
        if "counts" in wanted:
            facts = self.last_facts
            chunks.append(
                b',"counts":'
                + orjson.dumps(core.counts)
                + b',"now":'
                + orjson.dumps(
                    {
                        "open": core.open,
                        "open_limit": facts["open_limit"],
                        "holds": self.facts.hold_summary[0],
                        "oldest_hold_ms": self.facts.hold_summary[1] // MS,
                        "hold_limit_ms": facts["hold_limit_us"] // MS,
                        "first_p50_ms": core.tally.first_token.quantile_ms(0.5),
                        "first_p99_ms": core.tally.first_token.quantile_ms(0.99),
                        "lag_us": facts["lag_us"],
                        "read_wait_ms": round(facts["read_wait_us"] / MS, 1),
                        "write_wait_ms": round(facts["write_wait_us"] / MS, 1),
                        "first_bins": core.tally.first_token.bins,
                    }
                )
            )
        if "tenants" in wanted:
            now = self.loop.clock.now_us()
            caps = {
                tenant_name(core, t): {"rps": c.rps, "left_ms": max(0, c.until_us - now) // MS} for t, c in core.caps.caps.items()
            }
            quotas = {t.name: t.quota_rps or None for t in core.settings.tenant}
            rows = [
                {"tenant": n, "quota_rps": quotas.get(n), "cap": caps.pop(n, None), **row}
                for n, row in self.facts.tenant_counts().items()
            ]
            rows += [{"tenant": n, "quota_rps": quotas.get(n), "cap": cap} for n, cap in caps.items()]
            chunks.append(b',"tenants":' + orjson.dumps(rows))
        if "sessions" in wanted:
            chunks.append(b',"sessions":' + orjson.dumps(self.session_counts()))
        if "store" in wanted:
            store = self.gateway.store
            chunks.append(
                b',"store":'
                + orjson.dumps(
                    None
                    if store is None
                    else {
                        "mode": store.mode,
                        "why": store.why,
                        "segments": len(store.segments),
                        "bytes": sum(store.sizes.values()),
                        "live_bytes": store.index.bytes,
                        "keys": len(store.index.keys),
                        **store.counts,
                        **core.memory.counts,
                    }
                )
            )
            chunks.append(
                b',"tasks":'
                + orjson.dumps(
                    {"running": self.gateway.tasks.rows(), "finished": self.gateway.tasks.finished, **self.gateway.tasks.counts}
                )
            )
        if "fleet" in wanted:
            chunks.append(b',"fleet":' + orjson.dumps(None if self.gateway.fleet is None else self.gateway.fleet.facts()))
        if "records" in wanted:
            chunks.append(
                b',"records":' + orjson.dumps(None if self.gateway.discovery is None else self.gateway.discovery.rows())
            )
        if "modes" in wanted:
            chunks.append(b',"modes":' + orjson.dumps(list(self.recent_changes)))
        if "reqs" in wanted:
            chunks.append(b',"reqs":[')
            reqs, is_first = list(core.reqs.values()), True
            for start in range(0, len(reqs), SLICE_REQS):
                now = self.loop.clock.now_us()
                rows = [req_row(core, r, now) for r in reqs[start : start + SLICE_REQS] if not r.over]
                if rows:
                    chunks.append((b"" if is_first else b",") + orjson.dumps(rows)[1:-1])
                    is_first = False
                yield
            chunks.append(b"]")
        chunks.append(b"}")
        body = b"".join(chunks)
        self.cached_snapshots = {
            k: v for k, v in self.cached_snapshots.items() if self.loop.clock.now_us() - v[0] < SNAPSHOT_TTL_US
        }
        self.cached_snapshots[wanted] = (self.loop.clock.now_us(), body)
        for exchange in self.waiting_exchanges.pop(wanted):
            exchange.respond(200, body)

    def session_counts(self):
        """The counts of the WebSocket sessions."""
        front = self.gateway.sessions
        book = front.book
        return {
            "open": len(book.sessions),
            "connected": len(front.connections),
            "away": sum(s.disconnected_since_us is not None for s in book.sessions.values()),
            "bytes": book.bytes,
        }

    def answer_req(self, exchange, text):
        """Answers with one open request by its number, with its attempts and the likely reasons for them."""
        if not text.isdigit():
            return self.error(exchange, 400, "the number of a request is expected")
        req = next((r for r in self.core.reqs.values() if r.number == int(text)), None)
        if req is None:
            return self.error(exchange, 404, "no such request is open; a finished one is in the log")
        row = req_row(self.core, req, self.loop.clock.now_us())
        exchange.json(200, {"v": VERSION, **row, "trail": req.attempt_history, "reasons": self.routing_reasons(req)})

    def routing_reasons(self, req):
        """Why the router chose the servers of each attempt, as far as its present figures show."""
        servers, shares, router_servers = (
            self.facts.server_rows(),
            self.facts.pair_shares(),
            getattr(self.core.router, "servers", {}),
        )
        lines = []
        for attempt in req.attempt_history:
            stage, _, rest = attempt.partition(" ")
            name = rest.split(" ")[0]
            server, router_server = servers.get(name), router_servers.get(name)
            if server is None:
                lines.append(f"{attempt}: no longer listed")
                continue
            share_name = "reads" if stage == "read" else "writes"
            reasons = [f"share of {share_name} {shares.get(name, {}).get(share_name, 0):.2f}"]
            cached = getattr(router_server, "cached_prefixes", {})
            if stage != "write" and req.spec.session in cached and req.spec.session is not None:
                reasons.append("has this session's prefix cached")
            elif stage != "write" and req.spec.prefix in cached and req.spec.prefix is not None:
                reasons.append("has this prompt prefix cached")
            if server["suspect"]:
                reasons.append(f"suspect now (failure score {server['bad']:.2f})")
            if server["cold"]:
                reasons.append("started recently")
            lines.append(f"{attempt}: {', '.join(reasons)}")
        if not req.attempt_history and not req.attempts:
            lines.append("waits for a routing decision")
        return lines

    # ---- the feed

    def follow(self, exchange, after):
        """Starts to send the feed from after a sequence number, or from "now"."""
        if self.follower_count >= MAX_FOLLOWERS:
            return self.error(exchange, 503, "too many followers of the feed")
        try:
            seq = self.feed.seq if after == "now" else int(after)
        except ValueError:
            return self.error(exchange, 400, "after: a sequence number or `now` is expected")
        Follower(self, exchange, seq)

    # ---- actions: each `act_...` checks the request, raises ActionRefused or returns the function that carries the action out

    def handle_action(self, exchange):
        """Validates an action, writes it to the audit log, carries it out and answers when it is on the disk."""
        try:
            request = orjson.loads(exchange.body)
            act, what = request["act"], request.get("what")
            handler = ACTIONS[act]
        except (ValueError, TypeError, AttributeError):
            return self.error(exchange, 400, "a JSON object with `act` is expected")
        except KeyError:
            return self.error(exchange, 400, f"act: one of {', '.join(ACTIONS)} is expected")
        actor = self.actor_of(exchange)
        try:
            do = handler(self, request, what)
        except ActionRefused as problem:
            self.write_audit(actor, request, f"refused: {problem}")
            return self.error(exchange, 409, str(problem))
        self.write_audit(actor, request, "done")

        def on_persisted(why=None):
            """Carries the action out once it is on the disk. If it can't be stored (`why`), it is carried out all the same, and
            the operator is told that it will not survive a restart."""
            text = do() + (f"; but it can't be stored ({why}) and ends with a restart" if why else "")
            self.record_change("action", act=act, what=what, who=actor, text=text)
            exchange.json(200, {"v": VERSION, "done": text})

        self.put_down(act, request, what, on_persisted)

    def put_down(self, act, request, what, done):
        """Stores an action that must survive a restart, then calls `done()`, or `done(why)` if it could not be stored. Calls it
        at once for other actions."""
        memory = self.core.memory
        if act in ("drain", "take-back"):
            memory.record_drain(what, act == "drain", done)
        elif act == "cap":
            memory.record_cap(what, request["rps"], self.unix_ms() + round(request.get("minutes", 60) * 60_000), done)
        elif act == "uncap":
            memory.record_cap(what, None, 0, done)
        else:
            done()

    def actor_of(self, exchange):
        """Who sent a request, for the audit log: user and process on a Unix socket, else the peer's address."""
        sock = exchange.conn.stream.sock
        if sock.family == socket.AF_UNIX:
            pid, uid, _ = struct.unpack("3i", sock.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, 12))
            return f"uid {uid}, pid {pid}"
        return f"{exchange.conn.peer[0]}:{exchange.conn.peer[1]}"

    def write_audit(self, actor, request, result):
        """Writes a record to the audit log, with fsync. Called before the action, so that no action is without a record."""
        record = {"unix_ms": self.unix_ms(), "who": actor, "ask": request, "result": result}
        self.log.warning("action", who=actor, ask=orjson.dumps(request).decode(), result=result)
        if self.audit is not None:
            self.audit.write(orjson.dumps(record).decode() + "\n")
            self.audit.flush()
            os.fsync(self.audit.fileno())

    def act_drain(self, request, what):
        """Drains a server by order of an operator."""
        return self.set_drain(what, True)

    def act_take_back(self, request, what):
        """Ends an operator's drain of a server."""
        return self.set_drain(what, False)

    def set_drain(self, what, draining):
        """Checks an order to drain a server, or to end such an order; returns the function that applies it."""
        core = self.core
        if what not in core.membership.published:
            raise ActionRefused(f"no box {what!r} is listed")
        if not draining and what not in core.membership.operator_drains:
            why = core.membership.reason_of(what)
            raise ActionRefused(f"{what} was not drained by an operator" + (f"; it drains by order of the {why}" if why else ""))

        def do():
            core.apply_membership(core.membership.set_operator_draining(what, draining))
            return f"{what} {'drains' if draining else 'is taken back'}"

        return do

    def act_cap(self, request, what):
        """Limits the request rate of a tenant for some minutes."""
        tenant, rps, minutes = self.tenant_index(what), request.get("rps"), request.get("minutes", 60)
        for name, value, max_value in (("rps", rps, 1e6), ("minutes", minutes, 7 * 24 * 60)):
            if isinstance(value, bool) or not isinstance(value, (int, float)) or not 0 <= value <= max_value:
                raise ActionRefused(f"{name}: a number from 0 to {max_value:g} is expected")

        def do():
            self.core.caps.put(self.loop.clock.now_us(), tenant, rps, round(minutes * 60e6))
            return f"{what} may send {rps:g} reqs a second for {minutes:g} minutes"

        return do

    def act_uncap(self, request, what):
        """Lifts the cap on a tenant."""
        tenant = self.tenant_index(what)
        if tenant not in self.core.caps.caps:
            raise ActionRefused(f"{what} has no cap")
        return lambda: f"the cap on {what} is lifted" if self.core.caps.lift(tenant) else ""

    def tenant_index(self, what):
        """The index of a tenant by its name."""
        names = [t.name for t in self.core.settings.tenant]
        if what not in names:
            raise ActionRefused(f"no tenant {what!r}")
        return names.index(what)

    def act_acknowledge(self, request, what):
        """Acknowledges a finding."""
        kind, subject = request.get("kind"), what or ""
        if (kind, subject) not in self.diagnosis.open:
            raise ActionRefused(f"no finding {kind!r} about {subject!r}")
        return lambda: f"acknowledged: {kind} {subject}" if self.diagnosis.acknowledge(kind, subject) else ""

    def act_drain_gateway(self, request, what):
        """Drains this gateway."""
        if self.core.draining:
            raise ActionRefused("the gateway drains already")

        def do():
            self.loop.call_later(50 * MS, self.gateway.drain)  # after the response to this request has been sent
            return "the gateway drains"

        return do

    # ---- metrics

    def metric_families(self):
        """The families of /metrics: (name, type, help, samples)."""
        core, facts = self.core, self.last_facts
        yield from counts_of("lapiswing_reqs", core.counts, "What became of reqs since the start")
        yield (
            "lapiswing_open",
            "gauge",
            "Reqs open, and states held without a forward",
            [({"what": "reqs"}, core.open), ({"what": "holds"}, facts["holds"])],
        )
        yield "lapiswing_oldest_hold_seconds", "gauge", "Age of the oldest hold", [({}, facts["oldest_hold_us"] / 1e6)]
        yield "lapiswing_turn_seconds", "gauge", "Longest turn of the loop in the last second", [({}, facts["lag_us"] / 1e6)]
        first_token = core.tally.first_token
        yield (
            "lapiswing_first_token_seconds",
            "gauge",
            "Time to a first token, lately",
            [({"quantile": q}, (first_token.quantile_ms(q) or 0) / 1000) for q in (0.5, 0.9, 0.99)],
        )
        servers = self.facts.server_rows()
        yield (
            "lapiswing_box_forwards",
            "counter",
            "Forwards by what came of them",
            [({"box": n, "code": c}, v) for n, row in servers.items() for c, v in row["codes"].items()],
        )
        yield (
            "lapiswing_box_up",
            "gauge",
            "1: ready and not suspect",
            [
                ({"box": n, "role": row["role"]}, float(row["mode"] == "ready" and not row["suspect"]))
                for n, row in servers.items()
            ],
        )
        yield "lapiswing_box_out", "gauge", "Forwards out", [({"box": n}, row["out"]) for n, row in servers.items()]
        yield (
            "lapiswing_tenant_reqs",
            "counter",
            "Reqs of a tenant",
            [
                ({"tenant": n, "end": what}, v)
                for n, row in self.facts.tenant_counts().items()
                for what, v in row.items()
                if what not in ("open", "tokens")
            ],
        )
        yield (
            "lapiswing_findings",
            "gauge",
            "Findings open",
            [({"level": str(level)}, sum(f.level == level for f in self.diagnosis.findings)) for level in (1, 2, 3)],
        )

    def close(self):
        """Closes the listeners, connections and the audit log, and removes the socket files."""
        self.closed = True
        self.timer.cancel()
        for listener in self.listeners:
            address = listener.address
            listener.close()
            if isinstance(address, str):
                try:
                    os.unlink(address)
                except OSError:
                    pass
        for server in self.servers:
            server.close()
        if self.audit:
            self.audit.close()


SNAPSHOT_PARTS = frozenset(("boxes", "counts", "tenants", "sessions", "store", "records", "modes", "reqs", "fleet"))
ACTIONS = {
    "drain": Admin.act_drain,
    "take-back": Admin.act_take_back,
    "cap": Admin.act_cap,
    "uncap": Admin.act_uncap,
    "acknowledge": Admin.act_acknowledge,
    "drain-gateway": Admin.act_drain_gateway,
}


class ActionRefused(Exception):
    """An action that can't be carried out; the text is for the operator."""


class Follower:
    """One client that follows the feed. It keeps its position as a sequence number and buffers no lines."""

    def __init__(self, admin, exchange, seq):
        self.admin, self.exchange, self.seq = admin, exchange, seq
        admin.follower_count += 1
        admin.feed.followers.add(self)
        exchange.on_left, exchange.on_drained = self.on_client_left, self.wake
        exchange.begin(200, [(b"content-type", b"application/x-ndjson"), (b"cache-control", b"no-store")])
        self.wake()

    def wake(self):
        """Sends lines until the connection's buffer is full or all have been sent."""
        while not self.exchange.full and not self.exchange.over:
            data, seq = self.admin.feed.lines_after(self.seq)
            if not data:
                return
            self.seq = seq
            self.exchange.send(data)

    def on_client_left(self):
        self.admin.feed.followers.discard(self)
        self.admin.follower_count -= 1


def finding_row(finding, unix_ms):
    """A finding as an object of the admin messages. `unix_ms`: a function from loop time to Unix time."""
    return {
        "kind": finding.kind,
        "subject": finding.subject,
        "level": finding.level,
        "since_unix_ms": unix_ms(finding.since_us),
        "cause": finding.cause,
        "evidence": finding.evidence,
        "do": finding.remedy,
        "page": finding.page,
    }
