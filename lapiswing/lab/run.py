"""Plays a day on loopback: gateways and stand-in servers run as processes of their own, the clients in this one."""

import os
import signal
import subprocess
import sys
import tempfile
import time
from datetime import datetime
from pathlib import Path

import orjson

from lapiswing.errors import OperatorError
from lapiswing.http1 import Pool
from lapiswing.lab.audit import Limits, audit, service
from lapiswing.lab.clients import Workload
from lapiswing.lab.plan import KINDS, SERVICE, boxes_text, settings_text
from lapiswing.loop import Clock, Loop, listen_socket
from lapiswing.standin.nameserver import NameServer
from lapiswing.standin.record import Record, read_records

MS = 1000  # in microseconds
START_MS = 2500  # time for the processes to start; the day begins then
SETTLE_MS = 1500  # from the last client's end to the end of the records


class DayFailed(OperatorError):
    """The day could not be played. This says nothing about the rules."""

    advice = "Look at the named logs, then play the day again, with fewer `--jobs` where the machine is busy."


class Ports:
    """Finds free ports by binding them. The search starts at a port that depends on the process id, so that two runs at the same
    time don't find the same ports."""

    def __init__(self, n):
        self.found, sockets = [], []
        port = 10000 + (os.getpid() * 397) % 20000
        while len(self.found) < n:
            port = 10000 + (port + 1 - 10000) % 22000  # below the kernel's ephemeral port range
            try:
                sockets.append(listen_socket("127.0.0.1", port))
                self.found.append(port)
            except OSError:
                continue
        for sock in sockets:
            sock.close()


class Run:
    """One run of a day with the given router (a key of doubles.ROUTERS). Records and logs are kept in `folder`."""

    def __init__(self, day, router="module", folder=None):
        self.day, self.router = day, router
        self.folder = Path(folder or tempfile.mkdtemp(prefix="lapiswing-day-"))
        self.folder.mkdir(parents=True, exist_ok=True)
        for old in [*self.folder.glob("*.jsonl"), *self.folder.glob("*.log")]:
            old.unlink()  # records of an earlier run
        self.loop = Loop(Clock())
        self.record = Record(self.loop)
        self.gateways, self.died, self.ended_on_purpose, self.fleet = {}, [], set(), None
        self.logs = {}

    def play(self):
        """Plays the day and returns the result as a dict. Ends all processes in any case."""
        day = self.day
        ports = Ports(day.gateways + len(day.server_specs)).found
        self.ports, server_ports = ports[: day.gateways], ports[day.gateways :]
        addresses = {b["id"]: f"127.0.0.1:{p}" for b, p in zip(day.server_specs, server_ports)}
        day = self.day = rename_servers(day, addresses)
        self.modes = {b["id"]: "ready" if b.get("listed", True) else "gone" for b in day.server_specs}
        self.started = {}  # server id -> listed start time in Unix ms
        self.unix_offset_us = time.time_ns() // 1000 - self.loop.clock.now_us()
        self.t0 = self.loop.clock.now_us() + START_MS * MS
        try:
            if day.dns_steps is not None:
                self.name_server = NameServer(self.loop)
                for at_ms, what, value in day.dns_steps:
                    self.loop.call_at(self.t0 + round(at_ms * MS), self.dns_step, what, value)
            self.start_fleet()
            self.write_server_list()
            for i in range(day.gateways):
                self.start_gateway(i)
            self.wait_for_gateways()
            if self.loop.clock.now_us() > self.t0:
                raise DayFailed(self.folder, "the processes took too long to start")
            workload = Workload(self.loop, Pool(self.loop), self.record, day, self.ports)
            workload.play(day.calls, self.t0)
            for at_ms, server, mode, cold_start_ms in day.list_changes:
                self.loop.call_at(self.t0 + round(at_ms * MS), self.change_list, server, mode, cold_start_ms)
            for at_ms, session, away_ms in day.session_drops:
                self.loop.call_at(self.t0 + round(at_ms * MS), workload.drop_session, session, away_ms)
            for at_ms, gateway, what in day.gateway_events:
                self.loop.call_at(self.t0 + round(at_ms * MS), self.apply_gateway_event, gateway, what)
            end = self.t0 + round((day.length_ms + 20000) * MS)
            self.loop.run_until(
                lambda: (workload.running <= 0 and self.loop.now > self.t0 + day.length_ms * MS) or self.loop.now > end,
                round((day.length_ms + 30000) * MS),
            )
            unended = workload.running
            settled_us = self.loop.clock.now_us() + SETTLE_MS * MS
            self.loop.run_until(lambda: self.loop.now > settled_us, 2 * SETTLE_MS * MS)
            self.find_crashed()
            return self.judge(unended)
        finally:
            self.stop()
            if self.name_server is not None:
                self.name_server.close()

    def start_fleet(self):
        """Starts the process of the stand-in servers."""
        day = self.day
        value = {
            "seed": day.seed,
            "record": str(self.folder / "boxes.jsonl"),
            "t0_us": self.t0,
            "boxes": day.server_specs,
            "script": day.script,
            "models": {g.name: {"scope": g.scope.lower(), "window_ms": g.window_ms} for g in day.classes},
        }
        path = self.folder / "fleet.json"
        path.write_bytes(orjson.dumps(value))
        self.fleet = self.spawn("fleet", ["standin", str(path)], stdout=subprocess.PIPE)
        if not self.fleet.stdout.readline():
            raise DayFailed(f"{self.folder}/fleet.log", "the stand-ins did not start")

    def spawn(self, name, args, stdout=subprocess.DEVNULL, module="lapiswing"):
        log = open(self.folder / f"{name}.log", "ab")
        try:
            return subprocess.Popen([sys.executable, "-m", module, *args], stdout=stdout, stderr=log, start_new_session=True)
        finally:
            log.close()

    def start_gateway(self, i):
        path = self.folder / f"gateway{i}.txtpb"
        path.write_text(settings_text(self.day, i, self.ports[i], self.name_server.address[1] if self.name_server else 0))
        if self.router == "module":
            self.gateways[i] = self.spawn(f"gateway{i}", ["serve", str(path)])
        else:
            self.gateways[i] = self.spawn(f"gateway{i}", [self.router, str(path)], module="lapiswing.lab.gateway")
        self.record.put("started", gateway=i)

    def wait_for_gateways(self):
        """Waits until all gateways accept connections. Raises DayFailed after 10 s."""
        import socket

        end = time.monotonic() + 10
        for i, port in enumerate(self.ports):
            while True:
                try:
                    socket.create_connection(("127.0.0.1", port), 1).close()
                    break
                except OSError:
                    if time.monotonic() > end or self.gateways[i].poll() is not None:
                        raise DayFailed(f"{self.folder}/gateway{i}.log", f"gateway {i} did not start") from None
                    time.sleep(0.02)

    name_server, withdrawn = None, frozenset()

    def dns_step(self, what, value):
        """Changes the name server: sets silent, garbage, rcode or delay_ms (see NameServer), or withdraws the records of the
        servers in `value`."""
        self.record.put("records", what=what, value=value if what != "withdraw" else len(value))
        if what == "withdraw":
            self.withdrawn = frozenset(value)
            self.write_records()
        else:
            setattr(self.name_server, what, value)

    def write_records(self):
        """Writes the DNS zone: all listed servers but the withdrawn ones."""
        zone = self.name_server.zone
        zone.clear()
        for i, b in enumerate(self.day.server_specs):
            name = b["id"]
            if self.modes.get(name, "gone") == "gone" or name in self.withdrawn:
                continue
            attributes = {"drain": 1} if self.modes[name] == "draining" else {}
            if self.started.get(name):
                attributes["gen"] = self.started[name]
            host, _, port = name.rpartition(":")
            self.name_server.box(
                SERVICE,
                f"box{i}",
                f"h{i}.lab.example.",
                host,
                int(port),
                ttl=1,
                kind=KINDS[b["role"]],
                zone=b["zone"],
                cell=b["cell"],
                **attributes,
            )

    def write_server_list(self):
        if self.name_server is not None:
            return self.write_records()
        new_file = self.folder / "boxes.new"
        new_file.write_text(boxes_text(self.day, self.modes, self.started))
        os.replace(new_file, self.folder / "boxes.txtpb")

    def change_list(self, server, mode, cold_start_ms):
        """Lists a server with this mode and, if given, this start time (ms of the day) from now on."""
        self.modes[server] = mode
        if cold_start_ms is not None:
            self.started[server] = (self.t0 + round(cold_start_ms * MS) + self.unix_offset_us) // MS
        self.write_server_list()
        self.record.put("list", box=server, mode=mode, started=cold_start_ms is not None)

    def apply_gateway_event(self, i, what):
        """Starts gateway `i`, or ends it by SIGKILL ("kill") or SIGTERM ("term")."""
        process = self.gateways[i]
        if what == "start":
            if process.poll() is None and i in self.ended_on_purpose:  # it still drains; waiting would hold up the clients
                return self.loop.call_later(20 * MS, self.apply_gateway_event, i, what)
            self.ended_on_purpose.discard(i)
            return self.start_gateway(i)
        if process.poll() is not None:
            return
        self.ended_on_purpose.add(i)
        if what == "kill":
            self.record.put("killed", gateway=i)
            process.kill()
            process.wait(10)
        else:
            self.record.put("termed", gateway=i)
            process.terminate()
            self.poll_end(i, process)

    def poll_end(self, i, process):
        """Records when the process has ended."""
        if process.poll() is None:
            return self.loop.call_later(5 * MS, self.poll_end, i, process)
        self.record.put("stopped", gateway=i)

    def find_crashed(self):
        """Notes the processes that ended although nobody ended them."""
        if self.fleet.poll() is not None:
            self.died.append("fleet")
        self.died += [f"gateway {i}" for i, p in self.gateways.items() if p.poll() is not None and i not in self.ended_on_purpose]

    def stop(self):
        """Ends all processes."""
        for process in [*self.gateways.values(), *([self.fleet] if self.fleet else [])]:
            if process.poll() is None:
                process.send_signal(signal.SIGTERM)
        for process in [*self.gateways.values(), *([self.fleet] if self.fleet else [])]:
            try:
                process.wait(6)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait(5)
            if process.stdout:
                process.stdout.close()

    def judge(self, unended):
        """Audits the records. Returns the result."""
        day = self.day
        servers = read_records(self.folder / "boxes.jsonl")
        clients = [r for r in self.record.rows if "call" in r]
        runner = [r for r in self.record.rows if "call" not in r]
        (self.folder / "clients.jsonl").write_bytes(b"".join(orjson.dumps(r) + b"\n" for r in self.record.rows))
        limits = Limits(
            day.grace_ms,
            day.let_go_ms,
            window_ms={g.name: g.window_ms for g in day.classes},
            scope={g.name: g.scope for g in day.classes},
            effect={g.name: g.effect for g in day.classes},
            # DNS records with a TTL of 1 s are queried again after 0.8 s, checked every 0.2 s.
            poll_ms=1500 if day.dns_steps is not None else 150,
            place={b["id"]: {"zone": b["zone"], "cell": b["cell"]} for b in day.server_specs},
        )
        found = audit(clients, servers, runner, limits)
        figure, counts = service(clients)
        missing = [w for w in day.required_cases if not found["seen"].get(w)]
        return {
            "day": day.name,
            "seed": day.seed,
            "router": self.router,
            "service": round(figure, 4),
            "calls": counts,
            "rules": [
                {
                    "rule": r.name,
                    "cases": r.cases,
                    "worst": round(r.worst, 3),
                    "limit": r.limit,
                    "unit": r.unit,
                    "broken": r.broken,
                }
                for r in found["rules"]
            ],
            "seen": found["seen"],
            "missing": missing,
            "died": self.died,
            "unended": unended,
            "notes": day.notes,
            "folder": str(self.folder),
            "findings": self.findings(),
        }

    def findings(self):
        """The findings that the gateways' diagnosis logged, with times in ms of the day."""
        out = []
        for i in self.gateways:
            for line in (self.folder / f"gateway{i}.log").read_bytes().splitlines():
                if b'"event":"finding"' not in line and b'"event": "finding"' not in line:
                    continue
                row = orjson.loads(line)
                unix_us = datetime.fromisoformat(row["timestamp"]).timestamp() * 1e6
                out.append(
                    {
                        "gateway": i,
                        "ms": round((unix_us - self.unix_offset_us - self.t0) / MS),
                        "what": row["what"],
                        "kind": row["kind"],
                        "subject": row.get("subject", ""),
                    }
                )
        return out


def rename_servers(day, names):
    """Returns the day with the ids of its servers replaced."""
    from dataclasses import replace

    dns_steps = day.dns_steps and [(t, w, [names[b] for b in v] if w == "withdraw" else v) for t, w, v in day.dns_steps]
    return replace(
        day,
        dns_steps=dns_steps,
        server_specs=[{**b, "id": names[b["id"]]} for b in day.server_specs],
        script=[{**s, "boxes": [names[b] for b in s["boxes"]]} for s in day.script],
        list_changes=[(t, names[b], m, c) for t, b, m, c in day.list_changes],
    )


def passed(result):
    """Whether no rule was broken, all required cases were seen, no process ended unexpectedly, and every client ended."""
    return not (any(r["broken"] for r in result["rules"]) or result["missing"] or result["died"] or result["unended"])


def format_result(result):
    """Formats a result for the command line."""
    lines = [
        f"{result['day']}, seed {result['seed']}"
        + (f", router {result['router']}" if result["router"] != "module" else "")
        + f": service {result['service']:.3f}; "
        + ", ".join(f"{n} {how}" for how, n in sorted(result["calls"].items()))
    ]
    for rule in result["rules"]:
        state = f"BROKEN {len(rule['broken'])}" if rule["broken"] else "kept" if rule["cases"] else "no case"
        lines.append(
            f"  {rule['rule']:<32} {rule['cases']:>6} cases   worst {rule['worst']:>9g} of {rule['limit']:g} "
            f"{rule['unit']:<14} {state}"
        )
        lines += [f"      {b}" for b in rule["broken"][:5]]
    if result["missing"]:
        lines.append(f"  required cases not seen: {', '.join(result['missing'])}")
    if result["died"]:
        lines.append(f"  ended unexpectedly: {', '.join(result['died'])}, see {result['folder']}")
    if result["unended"]:
        lines.append(f"  {result['unended']} clients never ended")
    lines += [f"  not mapped: {n}" for n in result["notes"]]
    return "\n".join(lines)
