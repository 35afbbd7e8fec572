"""The transfer agent as a program: a folder of states, a port for other agents, and an HTTP port on loopback for its model server
and for operators. docs/transfer.md describes both."""

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
from lapiswing.transfer.states import MANIFEST_SUFFIX, PART_SUFFIX, file_name, read_manifest, remove, scan, write_manifest

MS = 1000
CERTIFICATE_CHECK_US = 2_000_000  # interval of the checks for changed certificate files
DRAIN_LIMIT_US = 5_000_000  # running transfers may end within this time


class Program:
    """An agent with its HTTP interface. The constructor raises CertificateError, `start` OSError."""

    def __init__(self, settings, log, loop=None, base=".", reload_settings=None):
        """`reload_settings()` reads the settings again, for SIGHUP."""
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
        self.agent.on_taken = self.state_taken
        self.agent.slow_start_until_us = self.loop.clock.now_us() + s.cold_ms * MS
        self.started_us = self.loop.clock.now_us()
        self.pending_fetches, self.takes, self.expiry_timers = {}, {}, {}  # name -> PendingFetch; remaining takes; timer
        self.server = Server(self.loop, self.handle_request, Limits(body_bytes=1 << 20, idle_us=600_000_000))
        self.metrics, self.draining, self.listener = Metrics(self.collect_metrics), False, None

    def make_tls(self, settings):
        """The TLS contexts of the settings, or None. Raises CertificateError."""
        if not settings.HasField("tls"):
            return None
        return Tls(
            *(
                os.path.join(self.base, f)
                for f in (settings.tls.certificate_file, settings.tls.key_file, settings.tls.authority_file)
            ),
            settings.name,
        )

    def start(self):
        """Listens on both ports and serves the complete states in the folder."""
        settings = self.settings
        os.makedirs(self.folder, mode=0o700, exist_ok=True)
        self.address = self.agent.listen(settings.listen.host, settings.listen.port)
        self.listener = Listener(self.loop, listen_socket(settings.control.host, settings.control.port), self.server.accept)
        self.server.listener, self.control = self.listener, self.listener.address
        states, parts = scan(self.folder)
        for name in states:
            manifest = read_manifest(self.path(name) + MANIFEST_SUFFIX)
            if manifest is None:
                continue  # its model server has not announced it: it may be incomplete
            self.serve_file(
                name,
                manifest,
                lambda state, why, name=name: why and self.log.warning("state in the folder not served", state=name, why=why),
            )
        for name in parts:
            self.start_part_expiry(name)
        self.loop.call_later(CERTIFICATE_CHECK_US, self.check_certificates)
        self.log.info(
            "listening",
            agent=settings.name,
            host=self.address[0],
            port=self.address[1],
            control=self.control[1],
            tls=self.tls is not None,
            states=len(states),
            parts=len(parts),
            certificate_days=self.tls.days if self.tls else None,
        )

    def path(self, name):
        """Path of a state's file."""
        return os.path.join(self.folder, file_name(name))

    # ---- states

    def serve_file(self, name, manifest, done):
        """Serves a file of the folder, then calls `done(state, why)`. `manifest`: the one it must match, or None."""
        path = self.path(name)
        try:
            size = os.stat(path).st_size
        except OSError as problem:
            return self.loop.soon(done, None, problem.strerror)
        if self.agent.used_bytes + size > self.agent.memory_bytes:
            return self.loop.soon(done, None, "no room")
        self.agent.used_bytes += size  # counted at once, so that two concurrent calls can't exceed the limit

        def on_manifest_built(state, why):
            if state is None:
                self.agent.used_bytes -= size
            else:
                state.counted = True
                if manifest is None:
                    write_manifest(path + MANIFEST_SUFFIX, state.manifest)
                self.start_expiry(name)
            done(state, why)

        self.agent.put_file(name, path, on_manifest_built, manifest)

    def start_expiry(self, name):
        """Releases a state after `keep_ms`."""
        old = self.expiry_timers.pop(name, None)
        if old:
            old.cancel()
        if self.settings.keep_ms:
            self.expiry_timers[name] = self.loop.call_later(self.settings.keep_ms * MS, self.release, name, "kept long enough")

    def start_part_expiry(self, name):
        """Deletes the part file of a fetch that is not continued within `keep_ms`."""
        if self.settings.keep_ms:
            age = time.time() - os.stat(self.path(name) + PART_SUFFIX).st_mtime
            self.loop.call_later(max(0, round(self.settings.keep_ms * MS - age * 1e6)), self.expire_part, name)

    def expire_part(self, name):
        """Deletes a part file unless its state is being fetched."""
        if name not in self.pending_fetches and remove(self.path(name) + PART_SUFFIX):
            remove(self.path(name) + PART_SUFFIX + MANIFEST_SUFFIX)
            self.log.info("part deleted", state=name)

    def release(self, name, why):
        """Stops serving a state and deletes its files. Returns whether it was known."""
        known = self.agent.drop(name)
        timer = self.expiry_timers.pop(name, None)
        if timer:
            timer.cancel()
        self.takes.pop(name, None)
        if known:
            remove(self.path(name))
            remove(self.path(name) + MANIFEST_SUFFIX)
            self.log.info("let go", state=name, why=why)
        return known

    def state_taken(self, name):
        """A receiver has the complete state: releases it after the announced number of takes."""
        left = self.takes.get(name)
        if left is not None:
            self.takes[name] = left - 1
            if left <= 1:
                self.loop.soon(self.release, name, "taken")

    # ---- HTTP interface

    def handle_request(self, exchange):
        """Answers a request, also an invalid one."""
        try:
            self.route(exchange)
        except Refused as problem:
            exchange.json(problem.status, {"error": {"message": str(problem)}})

    def route(self, exchange):
        """Dispatches a request. Raises Refused."""
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
        """PUT: the model server has written the file; it is served from now on and must not change."""
        query = parse_qs(exchange.target.partition(b"?")[2].decode("latin-1"))
        try:
            takes = int(query.get("takes", ["0"])[0])
        except ValueError:
            raise Refused(400, "takes: a whole number") from None
        if name in self.pending_fetches:
            raise Refused(409, "this state is just being fetched")
        self.withdraw(name)

        def done(state, why):
            if state is None:
                return exchange.json(
                    507 if why == "no room" else 404 if "No such" in why else 400,
                    {"error": {"message": why}, "file": self.path(name)},
                )
            if takes:
                self.takes[name] = takes
            return exchange.json(201, state_row(state))

        self.serve_file(name, None, done)

    def withdraw(self, name):
        """Stops serving the previous state of a name. Its file stays, as the model server may have replaced it."""
        self.agent.drop(name)
        self.takes.pop(name, None)

    def get(self, exchange, name):
        """GET: describes a state."""
        state = self.agent.states.get(name)
        if state is None:
            return exchange.json(404, {"error": {"message": "no such state"}, "file": self.path(name)})
        return exchange.json(200, state_row(state) | {"file": self.path(name)})

    def delete(self, exchange, name):
        """DELETE: releases a state."""
        known = self.release(name, "asked for")
        exchange.json(200 if known else 404, {"released": known})

    def fetch(self, exchange):
        """POST /v1/fetches: answers when the state is here or the fetch has failed. Raises Refused."""
        if self.draining:
            raise Refused(503, "the agent drains")
        request = parse_fetch_request(exchange.body)
        state = self.agent.states.get(request["name"])
        if state is not None:
            return exchange.json(200, state_row(state) | {"file": self.path(request["name"]), "ms": 0, "breaks": 0})
        pending = self.pending_fetches.get(request["name"])
        if pending is None:
            pending = self.pending_fetches[request["name"]] = PendingFetch(self, request)
            pending.start(request)
        pending.join(exchange)

    def status(self):
        """The body of /v1/status."""
        agent, now = self.agent, self.loop.clock.now_us()
        return {
            "agent": self.settings.name,
            "memory_bytes": agent.memory_bytes,
            "used_bytes": agent.used_bytes,
            "cold": now < agent.slow_start_until_us,
            "draining": self.draining,
            "certificate_days": self.tls.days if self.tls else None,
            "states": [state_row(state) for state in agent.states.values()],
            "fetches": [
                {
                    "name": fetch.name,
                    "bytes": fetch.receiver.manifest.length if fetch.receiver.manifest else None,
                    "left": fetch.receiver.left(),
                    "breaks": fetch.breaks,
                    "waits": fetch in agent.queued_fetches,
                    "from": list(fetch.link.address) if fetch.link else None,
                    "ms": (now - fetch.start_us) // MS,
                }
                for fetch in agent.fetches
            ],
            "sends": [
                {
                    "name": outgoing.state.name,
                    "to": server.peer_hello.agent,
                    "chunks": outgoing.state.manifest.count(),
                    "sent": outgoing.sent,
                    "verified": outgoing.verified,
                }
                for server in agent.servers
                if server.ready
                for outgoing in server.sender.transfers.values()
            ],
            "paths": [
                {
                    "from": list(address),
                    "rate": window.rate,
                    "window": window.allowed(),
                    "chunk_us": window.typical_delay_us,
                    "bad": round(agent.paths.failure_score.get(address, 0.0), 3),
                }
                for address, window in agent.windows.items()
            ],
            "counts": agent.counts,
        }

    def collect_metrics(self):
        """Yields (name, type, help, samples) of each metric."""
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
                ({"what": "held back"}, len(agent.queued_fetches)),
                ({"what": "sends"}, sum(len(server.sender.transfers) for server in agent.servers)),
            ],
        )
        if self.tls:
            yield "lapiswing_transfer_certificate_days", "gauge", "Until the first certificate ends", [({}, self.tls.days)]
        for name, text, value in (
            ("rate_bytes", "Bytes a second, lately", lambda address, window: window.rate or 0),
            ("window_chunks", "Chunks that may be on their way", lambda address, window: window.allowed()),
            (
                "chunk_seconds",
                "From asking for a chunk to having it, lately",
                lambda address, window: (window.typical_delay_us or 0) / 1e6,
            ),
            ("bad", "Part of the last moves that broke", lambda address, window: agent.paths.failure_score.get(address, 0.0)),
        ):
            yield (
                f"lapiswing_transfer_path_{name}",
                "gauge",
                text,
                [({"holder": f"{address[0]}:{address[1]}"}, value(address, window)) for address, window in agent.windows.items()],
            )

    # ---- certificates, signals, shutdown

    def check_certificates(self):
        """Periodic check for changed certificate files."""
        self.loop.call_later(CERTIFICATE_CHECK_US, self.check_certificates)
        if self.tls is not None and self.tls.changed():
            self.reload_certificates()

    def reload_certificates(self):
        """Reads the certificates again; if they are invalid, the present ones stay in use."""
        try:
            self.tls.reload()
            self.log.info("certificates read", days=self.tls.days)
        except CertificateError as problem:
            self.log.error("certificates can't be read; the last good ones stand", why=str(problem))

    def on_hangup(self):
        """SIGHUP: reads keys, the memory limit and certificates again. Other settings take effect only at a start."""
        if self.reload_settings:
            try:
                settings = self.reload_settings()
                self.agent.keys = [k.encode() for k in settings.key]
                self.agent.memory_bytes = settings.memory_bytes
                self.log.info("settings read", keys=len(settings.key))
            except Exception as problem:  # whatever is wrong with the file, the present settings stay in use
                self.log.error("settings can't be read; the last ones stand", why=str(problem))
        if self.tls is not None:
            self.reload_certificates()

    def watch_signals(self):
        """Installs the handlers of SIGTERM, SIGINT and SIGHUP."""
        for number in (signal.SIGTERM, signal.SIGINT):
            self.loop.on_signal(number, self.drain)
        self.loop.on_signal(signal.SIGHUP, self.on_hangup)

    def drain(self):
        """Refuses new fetches and stops when running transfers have ended, or at once if called again."""
        if self.draining:
            return self.loop.stop()
        self.draining = True
        self.log.info("draining", fetches=len(self.agent.fetches))
        self.stop_us = self.loop.clock.now_us() + DRAIN_LIMIT_US
        self.wait_idle()

    def wait_idle(self):
        """Stops the loop when nothing is being transferred, or after DRAIN_LIMIT_US."""
        busy = self.agent.fetches or any(s.sender.transfers for s in self.agent.servers)
        if busy and self.loop.clock.now_us() < self.stop_us:
            return self.loop.call_later(20 * MS, self.wait_idle)
        self.log.info("stopped", **{k.replace(" ", "_"): v for k, v in self.agent.counts.items() if v})
        self.loop.stop()

    def close(self):
        """Cancels all fetches and closes the agent and the HTTP port."""
        for pending in list(self.pending_fetches.values()):
            pending.cancel()
        self.agent.close()
        if self.listener:
            self.listener.close()
        self.server.close()


class PendingFetch:
    """One fetch with all HTTP requests that wait for it."""

    def __init__(self, program, request):
        self.program, self.name, self.exchanges = program, request["name"], []

    def start(self, request):
        """Starts the fetch that a request asks for."""
        now = self.program.loop.clock.now_us()
        alternatives = {
            what: round(request[key] * MS)
            for what, key in (("read anew", "read_anew_ms"), ("elsewhere", "elsewhere_ms"))
            if request.get(key) is not None
        }
        self.running_fetch = self.program.agent.fetch(
            self.name,
            request["from"],
            now + round(request["due_ms"] * MS),
            now + round(request["expires_ms"] * MS),
            self.done,
            request["priority"],
            alternatives,
            self.program.folder,
            request["keep"],
        )

    def join(self, exchange):
        """Adds a request that waits for this fetch."""
        self.exchanges.append(exchange)
        exchange.on_left = lambda: self.client_left(exchange)

    def client_left(self, exchange):
        """The client of a request has disconnected. The last one cancels the fetch; its chunks are kept if it asked for that."""
        self.exchanges.remove(exchange)
        if not self.exchanges:
            self.cancel()

    def cancel(self):
        """Cancels the fetch."""
        self.program.pending_fetches.pop(self.name, None)
        self.running_fetch.cancel()
        self.keep_partial_state()

    def keep_partial_state(self):
        """Keeps a part file for a later attempt, for a limited time."""
        if os.path.exists(self.program.path(self.name) + PART_SUFFIX):
            self.program.start_part_expiry(self.name)

    def done(self, fetch):
        """The fetch has ended: serves the state or keeps the part file, and answers the requests."""
        program = self.program
        program.pending_fetches.pop(self.name, None)
        ms = (program.loop.clock.now_us() - fetch.start_us) // MS
        if fetch.why is None:
            try:
                state = program.agent.adopt(fetch)
            except OSError as problem:
                fetch.free()
                return self.respond_all(500, {"error": {"message": str(problem)}})
            program.start_expiry(self.name)
            program.log.info("fetched", state=self.name, bytes=state.manifest.length, ms=ms, breaks=fetch.breaks)
            return self.respond_all(200, state_row(state) | {"file": fetch.path, "ms": ms, "breaks": fetch.breaks})
        self.keep_partial_state()
        program.log.warning("not fetched", state=self.name, why=fetch.why, advice=fetch.advice, ms=ms, breaks=fetch.breaks)
        status = 507 if fetch.why == "no room" else 504 if fetch.why == "too late" else 502
        return self.respond_all(
            status, {"error": {"message": fetch.why}, "advice": fetch.advice, "ms": ms, "breaks": fetch.breaks}
        )

    def respond_all(self, status, value):
        """Answers all waiting requests."""
        exchanges, self.exchanges = self.exchanges, []
        for exchange in exchanges:
            exchange.json(status, value)


class Refused(Exception):
    """A request that is refused with an HTTP status and a reason."""

    def __init__(self, status, why):
        super().__init__(why)
        self.status = status


def parse_fetch_request(body):
    """Checks the body of a fetch request and adds defaults. Raises Refused."""
    try:
        request = orjson.loads(body)
    except ValueError:
        raise Refused(400, "no JSON") from None
    if not isinstance(request, dict) or not isinstance(request.get("name"), str):
        raise Refused(400, "name: a text is wanted")
    try:
        file_name(request["name"])
    except ValueError as problem:
        raise Refused(400, f"name: {problem}") from None
    try:
        holders = [address_of(a) for a in request["from"]]
        if not holders:
            raise ValueError
    except (KeyError, TypeError, ValueError, AttributeError):
        raise Refused(400, "from: a list of host:port is wanted") from None
    out = {"name": request["name"], "from": holders, "keep": bool(request.get("keep", True))}
    for field, default, low, high in (
        ("due_ms", 1000, 0, 86_400_000),
        ("expires_ms", 10_000, 1, 86_400_000),
        ("priority", 5, 0, 100),
        ("read_anew_ms", None, 0, 86_400_000),
        ("elsewhere_ms", None, 0, 86_400_000),
    ):
        value = request.get(field, default)
        if value is not None and (isinstance(value, bool) or not isinstance(value, (int, float)) or not low <= value <= high):
            raise Refused(400, f"{field}: a number from {low} to {high} is wanted")
        out[field] = value
    return out


def state_row(state):
    """A state as the HTTP interface describes it."""
    manifest = state.manifest
    return {
        "name": state.name,
        "bytes": manifest.length,
        "chunks": manifest.count(),
        "chunk_bytes": manifest.chunk,
        "root": manifest.root.hex(),
    }


def folder_rows(folder):
    """The states in an agent's folder, read without an agent. Raises OSError."""
    rows = []
    for file in sorted(os.listdir(folder)):
        if file.endswith(MANIFEST_SUFFIX):
            manifest, base = read_manifest(os.path.join(folder, file)), file[: -len(MANIFEST_SUFFIX)]
            path = Path(folder, base)
            rows.append(
                {
                    "name": unquote(base.removesuffix(PART_SUFFIX)),
                    "part": base.endswith(PART_SUFFIX),
                    "bytes": manifest.length if manifest else None,
                    "root": manifest.root.hex() if manifest else None,
                    "here": path.stat().st_size if path.exists() else 0,
                }
            )
    return rows
