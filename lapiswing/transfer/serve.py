"""The agent as a program of its own: a folder of states, a port for other agents, and a port on loopback for its box and its
operators. docs/transfer.md describes both."""

import os
import signal
import time
from pathlib import Path
from urllib.parse import parse_qs, unquote

import orjson

from lapiswing.http1 import Limits, Server
from lapiswing.loop import Clock, Listener, Loop, address_of, listen_socket
from lapiswing.observe.metrics import CONTENT_TYPE, Metrics, counts_of
from lapiswing.transfer.agent import Agent
from lapiswing.transfer.certificates import CertificateError, Tls
from lapiswing.transfer.states import NOTE, PART, file_name, read_note, remove, scan, write_note

MS = 1000
LOOK_US = 2_000_000
DRAIN_US = 5_000_000


class Program:
    """`start()` raises OSError and CertificateError."""

    def __init__(self, settings, log, loop=None, base=".", reload_settings=None):
        """`reload_settings()` -> settings again, for SIGHUP."""
        s = self.settings = settings
        self.log, self.base, self.reload_settings = log, base, reload_settings
        self.loop = loop or Loop(
            Clock(), on_error=lambda problem: log.error("fault", why=f"{type(problem).__name__}: {problem}", exc_info=problem)
        )
        self.folder = os.path.join(base, s.folder)
        self.tls = self.make_tls(s)
        self.agent = Agent(
            self.loop,
            s.name,
            [k.encode() for k in s.key],
            s.memory_bytes,
            s.chunk_bytes,
            lambda event, **fields: log.info(event, **fields),
            tls=self.tls,
        )
        self.agent.on_taken = self.taken
        self.agent.slow_start_until_us = self.loop.clock.now_us() + s.cold_ms * MS
        self.started_us = self.loop.clock.now_us()
        self.waiting, self.takes, self.keepers = {}, {}, {}  # name -> Wait; takes left; timers
        self.server = Server(self.loop, self.app, Limits(body_bytes=1 << 20, idle_us=600_000_000))
        self.metrics, self.draining, self.listener = Metrics(self.measures), False, None

    def make_tls(self, s):
        if not s.HasField("tls"):
            return None
        return Tls(*(os.path.join(self.base, f) for f in (s.tls.certificate_file, s.tls.key_file, s.tls.authority_file)), s.name)

    def start(self):
        s = self.settings
        os.makedirs(self.folder, mode=0o700, exist_ok=True)
        self.address = self.agent.listen(s.listen.host, s.listen.port)
        self.listener = Listener(self.loop, listen_socket(s.control.host, s.control.port), self.server.accept)
        self.server.listener, self.control = self.listener, self.listener.address
        states, parts = scan(self.folder)
        for name in states:
            note = read_note(self.path(name) + NOTE)
            if note is None:
                continue  # its box has not announced it: it may be half written
            self.offer(
                name,
                note,
                lambda state, why, name=name: why and self.log.warning("state in the folder not served", state=name, why=why),
            )
        for name in parts:
            self.keep_part(name)
        self.loop.call_later(LOOK_US, self.look)
        self.log.info(
            "listening",
            agent=s.name,
            host=self.address[0],
            port=self.address[1],
            control=self.control[1],
            tls=self.tls is not None,
            states=len(states),
            parts=len(parts),
            certificate_days=self.tls.days if self.tls else None,
        )

    def path(self, name):
        return os.path.join(self.folder, file_name(name))

    # ---- states

    def offer(self, name, note, done):
        """Serves a file of the folder."""
        path = self.path(name)
        try:
            size = os.stat(path).st_size
        except OSError as problem:
            return self.loop.soon(done, None, problem.strerror)
        if self.agent.used_bytes + size > self.agent.memory_bytes:
            return self.loop.soon(done, None, "no room")
        self.agent.used_bytes += size  # counted from now on, so that two at once can't pass the bound

        def summed(state, why):
            if state is None:
                self.agent.used_bytes -= size
            else:
                state.counted = True
                if note is None:
                    write_note(path + NOTE, state.manifest)
                self.keep(name)
            done(state, why)

        self.agent.put_file(name, path, summed, note)

    def keep(self, name):
        old = self.keepers.pop(name, None)
        if old:
            old.cancel()
        if self.settings.keep_ms:
            self.keepers[name] = self.loop.call_later(self.settings.keep_ms * MS, self.let_go, name, "kept long enough")

    def keep_part(self, name):
        """What is left of a move that nobody goes on with is not kept for ever."""
        if self.settings.keep_ms:
            age = time.time() - os.stat(self.path(name) + PART).st_mtime
            self.loop.call_later(max(0, round(self.settings.keep_ms * MS - age * 1e6)), self.drop_part, name)

    def drop_part(self, name):
        if name not in self.waiting and remove(self.path(name) + PART):
            remove(self.path(name) + PART + NOTE)
            self.log.info("part deleted", state=name)

    def let_go(self, name, why):
        known = self.agent.drop(name)
        timer = self.keepers.pop(name, None)
        if timer:
            timer.cancel()
        self.takes.pop(name, None)
        if known:
            remove(self.path(name))
            remove(self.path(name) + NOTE)
            self.log.info("let go", state=name, why=why)
        return known

    def taken(self, name):
        left = self.takes.get(name)
        if left is not None:
            self.takes[name] = left - 1
            if left <= 1:
                self.loop.soon(self.let_go, name, "taken")

    # ---- the box's side

    def app(self, exchange):
        try:
            self.route(exchange)
        except Refused as problem:
            exchange.json(problem.status, {"error": {"message": str(problem)}})

    def route(self, exchange):
        path, method = exchange.path, exchange.method
        if path.startswith(b"/v1/states/"):
            name = unquote(path[11:].decode("latin-1"))
            try:
                file_name(name)
            except ValueError as problem:
                raise Refused(400, str(problem)) from None
            handler = {b"PUT": self.put, b"GET": self.get, b"DELETE": self.delete}.get(method)
            if handler is None:
                raise Refused(405, "PUT, GET or DELETE")
            return handler(exchange, name)
        if path == b"/v1/fetches" and method == b"POST":
            return self.fetch(exchange)
        if path == b"/v1/status":
            return exchange.json(200, self.status())
        if path == b"/healthz":
            return exchange.json(503 if self.draining else 200, {"draining": self.draining})
        if path == b"/metrics":
            return exchange.respond(200, self.metrics.render(), CONTENT_TYPE)
        raise Refused(404, "unknown path")

    def put(self, exchange, name):
        """The box has written the file; from now on it is served, and must not change."""
        query = parse_qs(exchange.target.partition(b"?")[2].decode("latin-1"))
        try:
            takes = int(query.get("takes", ["0"])[0])
        except ValueError:
            raise Refused(400, "takes: a whole number") from None
        if name in self.waiting:
            raise Refused(409, "this state is just being fetched")
        self.let_be(name)

        def done(state, why):
            if state is None:
                return exchange.json(
                    507 if why == "no room" else 404 if "No such" in why else 400,
                    {"error": {"message": why}, "file": self.path(name)},
                )
            if takes:
                self.takes[name] = takes
            return exchange.json(201, row_of(state))

        self.offer(name, None, done)

    def let_be(self, name):
        """Another file under a known name: the old state is not served any more; its file is the box's."""
        self.agent.drop(name)
        self.takes.pop(name, None)

    def get(self, exchange, name):
        state = self.agent.states.get(name)
        if state is None:
            return exchange.json(404, {"error": {"message": "no such state"}, "file": self.path(name)})
        return exchange.json(200, row_of(state) | {"file": self.path(name)})

    def delete(self, exchange, name):
        known = self.let_go(name, "asked for")
        exchange.json(200 if known else 404, {"released": known})

    def fetch(self, exchange):
        if self.draining:
            raise Refused(503, "the agent drains")
        ask = read_ask(exchange.body)
        state = self.agent.states.get(ask["name"])
        if state is not None:
            return exchange.json(200, row_of(state) | {"file": self.path(ask["name"]), "ms": 0, "breaks": 0})
        wait = self.waiting.get(ask["name"])
        if wait is None:
            wait = self.waiting[ask["name"]] = Wait(self, ask)
            wait.start(ask)
        wait.join(exchange)

    def status(self):
        agent, now = self.agent, self.loop.clock.now_us()
        return {
            "agent": self.settings.name,
            "memory_bytes": agent.memory_bytes,
            "used_bytes": agent.used_bytes,
            "cold": now < agent.slow_start_until_us,
            "draining": self.draining,
            "certificate_days": self.tls.days if self.tls else None,
            "states": [row_of(s) for s in agent.states.values()],
            "fetches": [
                {
                    "name": f.name,
                    "bytes": f.receiver.manifest.length if f.receiver.manifest else None,
                    "left": f.receiver.left(),
                    "breaks": f.breaks,
                    "waits": f in agent.held_back,
                    "from": list(f.link.address) if f.link else None,
                    "ms": (now - f.start_us) // MS,
                }
                for f in agent.fetches
            ],
            "sends": [
                {
                    "name": t.state.name,
                    "to": server.peer_hello.agent,
                    "chunks": t.state.manifest.count(),
                    "sent": t.sent,
                    "verified": t.verified,
                }
                for server in agent.servers
                if server.ready
                for t in server.sender.transfers.values()
            ],
            "paths": [
                {
                    "from": list(a),
                    "rate": w.rate,
                    "window": w.allowed(),
                    "chunk_us": w.usual_us,
                    "bad": round(agent.paths.bad.get(a, 0.0), 3),
                }
                for a, w in agent.windows.items()
            ],
            "counts": agent.counts,
        }

    def measures(self):
        agent = self.agent
        yield from counts_of("lapiswing_transfer", agent.counts, "What this agent has sent, received and seen go wrong")
        yield (
            "lapiswing_transfer_memory_bytes",
            "gauge",
            "Bytes of states, and the bound",
            [({"what": "used"}, agent.used_bytes), ({"what": "bound"}, agent.memory_bytes)],
        )
        yield (
            "lapiswing_transfer_now",
            "gauge",
            "What there is just now",
            [
                ({"what": "states"}, len(agent.states)),
                ({"what": "fetches"}, len(agent.fetches)),
                ({"what": "held back"}, len(agent.held_back)),
                ({"what": "sends"}, sum(len(s.sender.transfers) for s in agent.servers)),
            ],
        )
        if self.tls:
            yield "lapiswing_transfer_certificate_days", "gauge", "Until the first certificate ends", [({}, self.tls.days)]
        for name, text, value in (
            ("rate_bytes", "Bytes a second, lately", lambda a, w: w.rate or 0),
            ("window_chunks", "Chunks that may be on their way", lambda a, w: w.allowed()),
            ("chunk_seconds", "From asking for a chunk to having it, lately", lambda a, w: (w.usual_us or 0) / 1e6),
            ("bad", "Part of the last moves that broke", lambda a, w: agent.paths.bad.get(a, 0.0)),
        ):
            yield (
                f"lapiswing_transfer_path_{name}",
                "gauge",
                text,
                [({"holder": f"{a[0]}:{a[1]}"}, value(a, w)) for a, w in agent.windows.items()],
            )

    # ---- life

    def look(self):
        self.loop.call_later(LOOK_US, self.look)
        if self.tls is not None and self.tls.changed():
            self.renew()

    def renew(self):
        try:
            self.tls.reload()
            self.log.info("certificates read", days=self.tls.days)
        except CertificateError as problem:
            self.log.error("certificates can't be read; the last good ones stand", why=str(problem))

    def on_hangup(self):
        """Keys and certificates again; addresses, folder and bounds count at a start only."""
        if self.reload_settings:
            try:
                settings = self.reload_settings()
                self.agent.keys = [k.encode() for k in settings.key]
                self.agent.memory_bytes = settings.memory_bytes
                self.log.info("settings read", keys=len(settings.key))
            except Exception as problem:  # any fault in the file: what runs goes on with what it has
                self.log.error("settings can't be read; the last ones stand", why=str(problem))
        if self.tls is not None:
            self.renew()

    def watch_signals(self):
        for number in (signal.SIGTERM, signal.SIGINT):
            self.loop.on_signal(number, self.drain)
        self.loop.on_signal(signal.SIGHUP, self.on_hangup)

    def drain(self):
        """Takes no further fetches; what moves may end. A second time: at once."""
        if self.draining:
            return self.loop.stop()
        self.draining = True
        self.log.info("draining", fetches=len(self.agent.fetches))
        self.stop_us = self.loop.clock.now_us() + DRAIN_US
        self.wait_idle()

    def wait_idle(self):
        busy = self.agent.fetches or any(s.sender.transfers for s in self.agent.servers)
        if busy and self.loop.clock.now_us() < self.stop_us:
            return self.loop.call_later(20 * MS, self.wait_idle)
        self.log.info("stopped", **{k.replace(" ", "_"): v for k, v in self.agent.counts.items() if v})
        self.loop.stop()

    def close(self):
        for wait in list(self.waiting.values()):
            wait.cancel()
        self.agent.close()
        if self.listener:
            self.listener.close()
        self.server.close()


class Wait:
    """One fetch, with all who asked for it."""

    def __init__(self, program, ask):
        self.program, self.name, self.exchanges = program, ask["name"], []

    def start(self, ask):
        now = self.program.loop.clock.now_us()
        alternatives = {
            what: round(ask[key] * MS)
            for what, key in (("read anew", "read_anew_ms"), ("elsewhere", "elsewhere_ms"))
            if ask.get(key) is not None
        }
        self.move = self.program.agent.fetch(
            self.name,
            ask["from"],
            now + round(ask["due_ms"] * MS),
            now + round(ask["expires_ms"] * MS),
            self.done,
            ask["priority"],
            alternatives,
            self.program.folder,
            ask["keep"],
        )

    def join(self, exchange):
        self.exchanges.append(exchange)
        exchange.on_left = lambda: self.left(exchange)

    def left(self, exchange):
        """Who asked is gone; nobody else wants it: it ends, and what it has stays for a next try where that was wanted."""
        self.exchanges.remove(exchange)
        if not self.exchanges:
            self.cancel()

    def cancel(self):
        self.program.waiting.pop(self.name, None)
        self.move.cancel()
        self.tidy()

    def tidy(self):
        if os.path.exists(self.program.path(self.name) + PART):
            self.program.keep_part(self.name)

    def done(self, move):
        program = self.program
        program.waiting.pop(self.name, None)
        ms = (program.loop.clock.now_us() - move.start_us) // MS
        if move.why is None:
            try:
                state = program.agent.adopt(move)
            except OSError as problem:
                move.free()
                return self.answer(500, {"error": {"message": str(problem)}})
            program.keep(self.name)
            program.log.info("fetched", state=self.name, bytes=state.manifest.length, ms=ms, breaks=move.breaks)
            return self.answer(200, row_of(state) | {"file": move.path, "ms": ms, "breaks": move.breaks})
        self.tidy()
        program.log.warning("not fetched", state=self.name, why=move.why, advice=move.advice, ms=ms, breaks=move.breaks)
        status = 507 if move.why == "no room" else 504 if move.why == "too late" else 502
        return self.answer(status, {"error": {"message": move.why}, "advice": move.advice, "ms": ms, "breaks": move.breaks})

    def answer(self, status, value):
        exchanges, self.exchanges = self.exchanges, []
        for exchange in exchanges:
            exchange.json(status, value)


class Refused(Exception):
    def __init__(self, status, why):
        super().__init__(why)
        self.status = status


def read_ask(body):
    """The body of a fetch, with defaults. Raises Refused."""
    try:
        ask = orjson.loads(body)
    except ValueError:
        raise Refused(400, "no JSON") from None
    if not isinstance(ask, dict) or not isinstance(ask.get("name"), str):
        raise Refused(400, "name: a text is wanted")
    try:
        file_name(ask["name"])
    except ValueError as problem:
        raise Refused(400, f"name: {problem}") from None
    try:
        holders = [address_of(a) for a in ask["from"]]
        if not holders:
            raise ValueError
    except (KeyError, TypeError, ValueError, AttributeError):
        raise Refused(400, "from: a list of host:port is wanted") from None
    out = {"name": ask["name"], "from": holders, "keep": bool(ask.get("keep", True))}
    for field, default, low, high in (
        ("due_ms", 1000, 0, 86_400_000),
        ("expires_ms", 10_000, 1, 86_400_000),
        ("priority", 5, 0, 100),
        ("read_anew_ms", None, 0, 86_400_000),
        ("elsewhere_ms", None, 0, 86_400_000),
    ):
        value = ask.get(field, default)
        if value is not None and (isinstance(value, bool) or not isinstance(value, (int, float)) or not low <= value <= high):
            raise Refused(400, f"{field}: a number from {low} to {high} is wanted")
        out[field] = value
    return out


def row_of(state):
    m = state.manifest
    return {"name": state.name, "bytes": m.length, "chunks": m.count(), "chunk_bytes": m.chunk, "root": m.root.hex()}


def folder_rows(folder):
    """What lies in an agent's folder, read without an agent. Raises OSError."""
    rows = []
    for file in sorted(os.listdir(folder)):
        if file.endswith(NOTE):
            note, base = read_note(os.path.join(folder, file)), file[: -len(NOTE)]
            at = Path(folder, base)
            rows.append(
                {
                    "name": unquote(base.removesuffix(PART)),
                    "part": base.endswith(PART),
                    "bytes": note.length if note else None,
                    "root": note.root.hex() if note else None,
                    "here": at.stat().st_size if at.exists() else 0,
                }
            )
    return rows
