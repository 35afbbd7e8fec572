"""The admin socket. docs/console.md describes the messages.

It never makes the gateway wait: snapshots are built as background tasks, in slices, and shared by all who ask at about
the same time; a reader that does not read is given no more than its small buffer, and finds out from the feed's numbers what it
missed. Reading is one right; acting on the gateway another, with a socket or a key of its own, and each act is written to the
audit log before it is done."""

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
from lapiswing.admin.facts import ROWS, Facts, row_of, tenant_name
from lapiswing.admin.feed import Feed
from lapiswing.http1 import Limits, Server
from lapiswing.loop import Listener, listen_socket
from lapiswing.observe.metrics import CONTENT_TYPE, Metrics, counts_of

MS = 1000
VERSION = 1
FRESH_US = 200 * MS  # a snapshot so old is given again
LOOK_US = 1000 * MS
MODES_KEPT = 200
READERS = 64
READER_BYTES = 65536


def listen_unix(path, mode):
    """A listening Unix socket at `path`. One that a dead process left is replaced; a living one's is not. Raises OSError."""
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
        old = os.umask(0o777 & ~mode)
        try:
            sock.bind(path)
        finally:
            os.umask(old)
        sock.listen(64)
        sock.setblocking(False)
        return sock
    except OSError:
        sock.close()
        raise


class Admin:
    """`start()` raises OSError."""

    def __init__(self, gateway, log):
        self.gateway, self.core, self.loop, self.log = gateway, gateway.core, gateway.loop, log
        self.settings = gateway.settings.admin
        self.facts, self.diagnosis, self.feed = Facts(gateway), Diagnosis(), Feed()
        self.modes, self.started_us = deque(maxlen=MODES_KEPT), self.loop.clock.now_us()
        self.last, self.cache, self.waiting = None, {}, {}
        self.listeners, self.servers, self.audit, self.closed = [], [], None, False
        self.metrics = Metrics(self.measures)
        self.scanning, self.readers, self.looks = False, 0, 0
        self.core.on_change = self.changed

    def start(self):
        s = self.settings
        base = self.gateway.base
        for path, mode, acts in ((s.path, 0o660, False), (s.control_path, 0o600, True)):
            if path:
                self.serve(listen_unix(os.path.join(base, path), mode), lambda exchange, acts=acts: acts)
        if s.port:
            self.serve(listen_socket(s.host, s.port), self.right_by_key)
        if s.audit_file:
            self.audit = open(os.path.join(base, s.audit_file), "a", encoding="utf-8")
        self.loop.after.append(self.facts.note_turn)
        self.changed("gateway", text=f"started, process {os.getpid()}")
        self.look()

    def serve(self, sock, right):
        server = Server(
            self.loop,
            lambda exchange: self.app(exchange, right),
            Limits(body_bytes=65536, idle_us=120_000_000, stall_us=30_000_000),
        )
        listener = Listener(self.loop, sock, server.accept, 128, high=READER_BYTES, low=READER_BYTES // 4)
        server.listener = listener
        self.listeners.append(listener)
        self.servers.append(server)

    def right_by_key(self, exchange):
        """-> True: may act, False: may read, None: neither."""
        word = (exchange.header(b"authorization") or b"").removeprefix(b"Bearer ")
        acts = any([hmac.compare_digest(k.encode(), word) for k in self.settings.control_key])
        return True if acts else False if any([hmac.compare_digest(k.encode(), word) for k in self.settings.key]) else None

    # ---- once a second

    def look(self):
        self.timer = self.loop.call_later(LOOK_US, self.look)
        if not self.scanning:
            self.scanning = True
            self.gateway.tasks.add("scan of holds", self.facts.scan(), priority=2, done=self.scanned)
        self.looks += 1
        if self.looks % 10 == 0:
            self.core.tally.first_token.halve()
        facts = self.last = self.facts.take()
        for what, found in self.diagnosis.look(facts):
            self.changed("finding", what=what, **finding_row(found, self.unix_ms))
            (self.log.warning if what == "begun" else self.log.info)(
                "finding", what=what, kind=found.kind, subject=found.subject or None, cause=found.cause, evidence=found.evidence
            )
        self.feed.put(
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

    def scanned(self, _problem):
        self.scanning = False

    def unix_ms(self, at_us=None):
        return time.time_ns() // 1_000_000 if at_us is None else (at_us - self.gateway.unix_offset_us) // MS

    def changed(self, kind, /, **fields):
        ms = self.unix_ms()
        if kind in ("mode", "box", "finding", "action", "gateway"):
            self.modes.append({"unix_ms": ms, "type": kind, **fields})
        self.feed.put(ms, kind, **fields)

    # ---- requests

    def app(self, exchange, right):
        may_act = right(exchange)
        if may_act is None:
            return self.error(exchange, 401, "a key is wanted")
        path, method = exchange.path, exchange.method
        query = {k: v[0] for k, v in parse_qs(exchange.target.partition(b"?")[2].decode("latin-1")).items()}
        if path == b"/v1/actions":
            if method != b"POST":
                return self.error(exchange, 405, "POST")
            if not may_act:
                return self.error(exchange, 403, "this socket or key may look, not act: see admin.control_path")
            return self.act(exchange)
        if method != b"GET":
            return self.error(exchange, 405, "GET")
        if path == b"/v1/snapshot":
            return self.snapshot(exchange, query.get("parts", "all"))
        if path == b"/v1/feed":
            return self.follow(exchange, query.get("after", "now"))
        if path == b"/v1/verdict":
            return exchange.json(200, self.head())
        if path.startswith(b"/v1/reqs/"):
            return self.one_req(exchange, path[9:])
        if path == b"/metrics":
            return exchange.respond(200, self.metrics.render(), CONTENT_TYPE)
        return self.error(exchange, 404, "unknown path")

    def error(self, exchange, status, text):
        exchange.json(status, {"v": VERSION, "error": text})

    def head(self):
        facts = self.last
        level, text = verdict([f for f in self.diagnosis.findings if f.key() not in self.diagnosis.acknowledged], facts)
        g = self.gateway
        return {
            "v": VERSION,
            "seq": self.feed.seq,
            "unix_ms": self.unix_ms(),
            "gateway": {
                "name": g.settings.gateway.name,
                "index": g.settings.gateway.index,
                "version": __version__,
                "pid": os.getpid(),
                "up_ms": (self.loop.clock.now_us() - self.started_us) // MS,
                "port": g.port,
                "draining": self.core.draining,
            },
            "verdict": {"level": level, "text": text},
            "findings": [
                finding_row(f, self.unix_ms) | {"acknowledged": f.key() in self.diagnosis.acknowledged}
                for f in self.diagnosis.findings
            ],
        }

    def snapshot(self, exchange, parts):
        wanted = frozenset(parts.split(",")) if parts != "all" else PARTS
        if not wanted <= PARTS:
            return self.error(exchange, 400, f"parts: {', '.join(sorted(wanted - PARTS))} is none of {', '.join(sorted(PARTS))}")
        made = self.cache.get(wanted)
        if made is not None and self.loop.clock.now_us() - made[0] < FRESH_US:
            return exchange.respond(200, made[1])
        line = self.waiting.get(wanted)
        if line is not None:
            return line.append(exchange)
        self.waiting[wanted] = [exchange]
        self.gateway.tasks.add("snapshot", self.build(wanted), priority=1, done=lambda problem: self.not_built(wanted, problem))

    def not_built(self, wanted, problem):
        for exchange in self.waiting.pop(wanted, ()) if problem else ():
            self.error(exchange, 500, f"no snapshot: {problem}")

    def build(self, wanted):
        out = [orjson.dumps(self.head())[:-1]]
        yield
        core = self.core
        if "boxes" in wanted:
            boxes, shares = self.facts.boxes(), self.facts.shares()
            yield
            out.append(b',"boxes":' + orjson.dumps([{"box": n, **row, **shares.get(n, {})} for n, row in boxes.items()]))
        if "counts" in wanted:
            last = self.last
            out.append(
                b',"counts":'
                + orjson.dumps(core.counts)
                + b',"now":'
                + orjson.dumps(
                    {
                        "open": core.open,
                        "open_limit": last["open_limit"],
                        "holds": self.facts.hold[0],
                        "oldest_hold_ms": self.facts.hold[1] // MS,
                        "hold_limit_ms": last["hold_limit_us"] // MS,
                        "first_p50_ms": core.tally.first_token.quantile_ms(0.5),
                        "first_p99_ms": core.tally.first_token.quantile_ms(0.99),
                        "lag_us": last["lag_us"],
                        "read_wait_ms": round(last["read_wait_us"] / MS, 1),
                        "write_wait_ms": round(last["write_wait_us"] / MS, 1),
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
                for n, row in self.facts.tenants().items()
            ]
            rows += [{"tenant": n, "quota_rps": quotas.get(n), "cap": cap} for n, cap in caps.items()]
            out.append(b',"tenants":' + orjson.dumps(rows))
        if "sessions" in wanted:
            out.append(b',"sessions":' + orjson.dumps(self.sessions()))
        if "store" in wanted:
            store = self.gateway.store
            out.append(
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
            out.append(
                b',"tasks":'
                + orjson.dumps(
                    {"running": self.gateway.tasks.rows(), "finished": self.gateway.tasks.finished, **self.gateway.tasks.counts}
                )
            )
        if "fleet" in wanted:
            out.append(b',"fleet":' + orjson.dumps(None if self.gateway.fleet is None else self.gateway.fleet.facts()))
        if "records" in wanted:
            out.append(b',"records":' + orjson.dumps(None if self.gateway.discovery is None else self.gateway.discovery.rows()))
        if "modes" in wanted:
            out.append(b',"modes":' + orjson.dumps(list(self.modes)))
        if "reqs" in wanted:
            out.append(b',"reqs":[')
            reqs, first = list(core.reqs.values()), True
            for at in range(0, len(reqs), ROWS):
                now = self.loop.clock.now_us()
                rows = [row_of(core, r, now) for r in reqs[at : at + ROWS] if not r.over]
                if rows:
                    out.append((b"" if first else b",") + orjson.dumps(rows)[1:-1])
                    first = False
                yield
            out.append(b"]")
        out.append(b"}")
        body = b"".join(out)
        self.cache = {k: v for k, v in self.cache.items() if self.loop.clock.now_us() - v[0] < FRESH_US}
        self.cache[wanted] = (self.loop.clock.now_us(), body)
        for exchange in self.waiting.pop(wanted):
            exchange.respond(200, body)

    def sessions(self):
        front = self.gateway.sessions
        book = front.book
        return {
            "open": len(book.sessions),
            "connected": len(front.connections),
            "away": sum(s.disconnected_since_us is not None for s in book.sessions.values()),
            "bytes": book.bytes,
        }

    def one_req(self, exchange, text):
        if not text.isdigit():
            return self.error(exchange, 400, "a req's number is wanted")
        req = next((r for r in self.core.reqs.values() if r.number == int(text)), None)
        if req is None:
            return self.error(exchange, 404, "no such req is open; its line is in the log")
        row = row_of(self.core, req, self.loop.clock.now_us())
        exchange.json(200, {"v": VERSION, **row, "trail": req.attempt_history, "reasons": self.reasons(req)})

    def reasons(self, req):
        """Why it went where it went, as far as the decisions' own figures say now."""
        boxes, shares, machines = self.facts.boxes(), self.facts.shares(), getattr(self.core.router, "servers", {})
        out = []
        for line in req.attempt_history:
            stage, _, rest = line.partition(" ")
            name = rest.split(" ")[0]
            box, machine = boxes.get(name), machines.get(name)
            if box is None:
                out.append(f"{line}: no longer listed")
                continue
            side = "reads" if stage == "read" else "writes"
            why = [f"share of {side} {shares.get(name, {}).get(side, 0):.2f}"]
            kept = getattr(machine, "cached_prefixes", {})
            if stage != "write" and req.spec.session in kept and req.spec.session is not None:
                why.append("keeps this session's text")
            elif stage != "write" and req.spec.prefix in kept and req.spec.prefix is not None:
                why.append("keeps this beginning")
            if box["suspect"]:
                why.append(f"suspect now (bad {box['bad']:.2f})")
            if box["cold"]:
                why.append("just started")
            out.append(f"{line}: {', '.join(why)}")
        if not req.attempt_history and not req.attempts:
            out.append("waits for the decisions")
        return out

    # ---- the feed

    def follow(self, exchange, after):
        if self.readers >= READERS:
            return self.error(exchange, 503, "too many readers")
        try:
            seq = self.feed.seq if after == "now" else int(after)
        except ValueError:
            return self.error(exchange, 400, "after: a number, or now")
        Follower(self, exchange, seq)

    # ---- acts

    def act(self, exchange):
        try:
            ask = orjson.loads(exchange.body)
            act, what = ask["act"], ask.get("what")
            handler = ACTS[act]
        except (ValueError, TypeError, AttributeError):
            return self.error(exchange, 400, "JSON with `act` is wanted")
        except KeyError:
            return self.error(exchange, 400, f"act: one of {', '.join(ACTS)} is wanted")
        who = self.who(exchange)
        try:
            do = handler(self, ask, what)
        except Impossible as problem:
            self.write_audit(who, ask, f"refused: {problem}")
            return self.error(exchange, 409, str(problem))
        self.write_audit(who, ask, "done")

        def done(why=None):
            """It is on the disk, where it is to outlive a restart; else it is done all the same, and the operator told."""
            text = do() + (f"; but it can't be put down ({why}) and ends with a restart" if why else "")
            self.changed("action", act=act, what=what, who=who, text=text)
            exchange.json(200, {"v": VERSION, "done": text})

        self.put_down(act, ask, what, done)

    def put_down(self, act, ask, what, done):
        memory = self.core.memory
        if act in ("drain", "take-back"):
            memory.record_drain(what, act == "drain", done)
        elif act == "cap":
            memory.record_cap(what, ask["rps"], self.unix_ms() + round(ask.get("minutes", 60) * 60_000), done)
        elif act == "uncap":
            memory.record_cap(what, None, 0, done)
        else:
            done()

    def who(self, exchange):
        sock = exchange.conn.stream.sock
        if sock.family == socket.AF_UNIX:
            pid, uid, _ = struct.unpack("3i", sock.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, 12))
            return f"uid {uid}, pid {pid}"
        return f"{exchange.conn.peer[0]}:{exchange.conn.peer[1]}"

    def write_audit(self, who, ask, result):
        """Before the act, and on the disk: an act without a line must not be."""
        line = {"unix_ms": self.unix_ms(), "who": who, "ask": ask, "result": result}
        self.log.warning("action", who=who, ask=orjson.dumps(ask).decode(), result=result)
        if self.audit is not None:
            self.audit.write(orjson.dumps(line).decode() + "\n")
            self.audit.flush()
            os.fsync(self.audit.fileno())

    def act_drain(self, ask, what):
        return self.order(what, True)

    def act_take_back(self, ask, what):
        return self.order(what, False)

    def order(self, what, draining):
        core = self.core
        if what not in core.membership.published:
            raise Impossible(f"no box {what!r} is listed")
        if not draining and what not in core.membership.operator_drains:
            why = core.membership.reason_of(what)
            raise Impossible(f"{what} was not drained by an operator" + (f"; it drains by the {why}'s word" if why else ""))

        def do():
            core.apply_membership(core.membership.set_operator_draining(what, draining))
            return f"{what} {'drains' if draining else 'is taken back'}"

        return do

    def act_cap(self, ask, what):
        tenant, rps, minutes = self.tenant(what), ask.get("rps"), ask.get("minutes", 60)
        for name, value, most in (("rps", rps, 1e6), ("minutes", minutes, 7 * 24 * 60)):
            if isinstance(value, bool) or not isinstance(value, (int, float)) or not 0 <= value <= most:
                raise Impossible(f"{name}: a number from 0 to {most:g} is wanted")

        def do():
            self.core.caps.put(self.loop.clock.now_us(), tenant, rps, round(minutes * 60e6))
            return f"{what} may send {rps:g} reqs a second for {minutes:g} minutes"

        return do

    def act_uncap(self, ask, what):
        tenant = self.tenant(what)
        if tenant not in self.core.caps.caps:
            raise Impossible(f"{what} has no cap")
        return lambda: f"the cap on {what} is lifted" if self.core.caps.lift(tenant) else ""

    def tenant(self, what):
        names = [t.name for t in self.core.settings.tenant]
        if what not in names:
            raise Impossible(f"no tenant {what!r}")
        return names.index(what)

    def act_acknowledge(self, ask, what):
        kind, subject = ask.get("kind"), what or ""
        if (kind, subject) not in self.diagnosis.open:
            raise Impossible(f"no finding {kind!r} about {subject!r}")
        return lambda: f"acknowledged: {kind} {subject}" if self.diagnosis.acknowledge(kind, subject) else ""

    def act_drain_gateway(self, ask, what):
        if self.core.draining:
            raise Impossible("it drains already")

        def do():
            self.loop.call_later(50 * MS, self.gateway.drain)  # this answer goes out first
            return "the gateway drains"

        return do

    # ---- metrics

    def measures(self):
        core, facts = self.core, self.last
        yield from counts_of("lapiswing_reqs", core.counts, "What became of reqs since the start")
        yield (
            "lapiswing_open",
            "gauge",
            "Reqs open, and states held without a forward",
            [({"what": "reqs"}, core.open), ({"what": "holds"}, facts["holds"])],
        )
        yield "lapiswing_oldest_hold_seconds", "gauge", "Age of the oldest hold", [({}, facts["oldest_hold_us"] / 1e6)]
        yield "lapiswing_turn_seconds", "gauge", "Longest turn of the loop in the last second", [({}, facts["lag_us"] / 1e6)]
        first = core.tally.first_token
        yield (
            "lapiswing_first_token_seconds",
            "gauge",
            "Time to a first token, lately",
            [({"quantile": q}, (first.quantile_ms(q) or 0) / 1000) for q in (0.5, 0.9, 0.99)],
        )
        boxes = self.facts.boxes()
        yield (
            "lapiswing_box_forwards",
            "counter",
            "Forwards by what came of them",
            [({"box": n, "code": c}, v) for n, row in boxes.items() for c, v in row["codes"].items()],
        )
        yield (
            "lapiswing_box_up",
            "gauge",
            "1: ready and not suspect",
            [({"box": n, "role": row["role"]}, float(row["mode"] == "ready" and not row["suspect"])) for n, row in boxes.items()],
        )
        yield "lapiswing_box_out", "gauge", "Forwards out", [({"box": n}, row["out"]) for n, row in boxes.items()]
        yield (
            "lapiswing_tenant_reqs",
            "counter",
            "Reqs of a tenant",
            [
                ({"tenant": n, "end": what}, v)
                for n, row in self.facts.tenants().items()
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
        self.closed = True
        self.timer.cancel()
        for listener in self.listeners:
            path = listener.address
            listener.close()
            if isinstance(path, str):
                try:
                    os.unlink(path)
                except OSError:
                    pass
        for server in self.servers:
            server.close()
        if self.audit:
            self.audit.close()


PARTS = frozenset(("boxes", "counts", "tenants", "sessions", "store", "records", "modes", "reqs", "fleet"))
ACTS = {
    "drain": Admin.act_drain,
    "take-back": Admin.act_take_back,
    "cap": Admin.act_cap,
    "uncap": Admin.act_uncap,
    "acknowledge": Admin.act_acknowledge,
    "drain-gateway": Admin.act_drain_gateway,
}


class Impossible(Exception):
    pass


class Follower:
    """One reader of the feed. It holds a number, no lines."""

    def __init__(self, admin, exchange, seq):
        self.admin, self.exchange, self.seq = admin, exchange, seq
        admin.readers += 1
        admin.feed.readers.add(self)
        exchange.on_left, exchange.on_drained = self.left, self.wake
        exchange.begin(200, [(b"content-type", b"application/x-ndjson"), (b"cache-control", b"no-store")])
        self.wake()

    def wake(self):
        while not self.exchange.full and not self.exchange.over:
            data, seq = self.admin.feed.after(self.seq)
            if not data:
                return
            self.seq = seq
            self.exchange.send(data)

    def left(self):
        self.admin.feed.readers.discard(self)
        self.admin.readers -= 1


def finding_row(found, unix_ms):
    return {
        "kind": found.kind,
        "subject": found.subject,
        "level": found.level,
        "since_unix_ms": unix_ms(found.since_us),
        "cause": found.cause,
        "evidence": found.evidence,
        "do": found.do,
        "page": found.page,
    }
