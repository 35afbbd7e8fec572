"""Plays a day: gateways and boxes as processes of their own, clients in this one, all on loopback."""

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
from lapiswing.lab.clients import Crowd
from lapiswing.lab.plan import KINDS, SERVICE, boxes_text, settings_text
from lapiswing.loop import Clock, Loop, listen_socket
from lapiswing.standin.nameserver import NameServer
from lapiswing.standin.record import Record, read_records

MS = 1000
START_MS = 2500  # the day's zero comes this long after its processes were started
SETTLE_MS = 1500  # after the last client


class DayFailed(OperatorError):
    """The day could not be played; it says nothing about the rules."""

    advice = "Look at the named logs, then play the day again, with fewer `--jobs` where the machine is busy."


class Ports:
    """Free ports. They are found by binding, so two runs at once don't take the same ones as long as each draws from
    a part of the range that its process owns."""

    def __init__(self, n):
        self.found, held = [], []
        at = 10000 + (os.getpid() * 397) % 20000
        while len(self.found) < n:
            at = 10000 + (at + 1 - 10000) % 22000  # below the range that the kernel takes for outgoing connections
            try:
                held.append(listen_socket("127.0.0.1", at))
                self.found.append(at)
            except OSError:
                continue
        for sock in held:
            sock.close()


class Run:
    def __init__(self, day, router="module", folder=None):
        self.day, self.router = day, router
        self.folder = Path(folder or tempfile.mkdtemp(prefix="lapiswing-day-"))
        self.folder.mkdir(parents=True, exist_ok=True)
        for old in [*self.folder.glob("*.jsonl"), *self.folder.glob("*.log")]:
            old.unlink()  # an earlier run's records are not this one's
        self.loop = Loop(Clock())
        self.record = Record(self.loop)
        self.gateways, self.died, self.asked, self.fleet = {}, [], set(), None
        self.logs = {}

    def play(self):
        """-> result dict. All processes are ended whatever happens."""
        day = self.day
        ports = Ports(day.gateways + len(day.boxes)).found
        self.ports, names = ports[: day.gateways], ports[day.gateways :]
        renamed = {b["id"]: f"127.0.0.1:{p}" for b, p in zip(day.boxes, names)}
        day = self.day = rename(day, renamed)
        self.modes = {b["id"]: "ready" if b.get("listed", True) else "gone" for b in day.boxes}
        self.started = {}
        self.unix_offset_us = time.time_ns() // 1000 - self.loop.clock.now_us()
        self.t0 = self.loop.clock.now_us() + START_MS * MS
        try:
            if day.records is not None:
                self.names = NameServer(self.loop)
                for at_ms, what, value in day.records:
                    self.loop.call_at(self.t0 + round(at_ms * MS), self.record_step, what, value)
            self.start_fleet()
            self.write_boxes()
            for i in range(day.gateways):
                self.start_gateway(i)
            self.wait_for_gateways()
            if self.loop.clock.now_us() > self.t0:
                raise DayFailed(self.folder, "the processes took too long to start")
            crowd = Crowd(self.loop, Pool(self.loop), self.record, day, self.ports)
            crowd.play(day.calls, self.t0)
            for at_ms, box, mode, cold in day.lists:
                self.loop.call_at(self.t0 + round(at_ms * MS), self.list, box, mode, cold)
            for at_ms, session, away_ms in day.cuts:
                self.loop.call_at(self.t0 + round(at_ms * MS), crowd.cut, session, away_ms)
            for at_ms, gateway, what in day.fates:
                self.loop.call_at(self.t0 + round(at_ms * MS), self.fate, gateway, what)
            end = self.t0 + round((day.length_ms + 20000) * MS)
            self.loop.run_until(
                lambda: (crowd.running <= 0 and self.loop.now > self.t0 + day.length_ms * MS) or self.loop.now > end,
                round((day.length_ms + 30000) * MS),
            )
            left = crowd.running
            settle = self.loop.clock.now_us() + SETTLE_MS * MS
            self.loop.run_until(lambda: self.loop.now > settle, 2 * SETTLE_MS * MS)
            self.look_for_dead()
            return self.judge(left)
        finally:
            self.stop()
            if self.names is not None:
                self.names.close()

    def start_fleet(self):
        day = self.day
        value = {
            "seed": day.seed,
            "record": str(self.folder / "boxes.jsonl"),
            "t0_us": self.t0,
            "boxes": day.boxes,
            "script": day.script,
            "models": {g.name: {"scope": g.scope.lower(), "window_ms": g.window_ms} for g in day.groups},
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
        path.write_text(settings_text(self.day, i, self.ports[i], self.names.address[1] if self.names else 0))
        if self.router == "module":
            self.gateways[i] = self.spawn(f"gateway{i}", ["serve", str(path)])
        else:
            self.gateways[i] = self.spawn(f"gateway{i}", [self.router, str(path)], module="lapiswing.lab.gateway")
        self.record.put("started", gateway=i)

    def wait_for_gateways(self):
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

    names, withdrawn = None, frozenset()

    def record_step(self, what, value):
        """The name server: silent, garbage, rcode, delay_ms (see NameServer), or `withdraw`: names that its records leave out."""
        self.record.put("records", what=what, value=value if what != "withdraw" else len(value))
        if what == "withdraw":
            self.withdrawn = frozenset(value)
            self.write_records()
        else:
            setattr(self.names, what, value)

    def write_records(self):
        """The zone, from what the list says now and what is left out."""
        zone = self.names.zone
        zone.clear()
        for i, b in enumerate(self.day.boxes):
            name = b["id"]
            if self.modes.get(name, "gone") == "gone" or name in self.withdrawn:
                continue
            more = {"drain": 1} if self.modes[name] == "draining" else {}
            if self.started.get(name):
                more["gen"] = self.started[name]
            host, _, port = name.rpartition(":")
            self.names.box(
                SERVICE,
                f"box{i}",
                f"h{i}.lab.example.",
                host,
                int(port),
                ttl=1,
                kind=KINDS[b["role"]],
                zone=b["zone"],
                cell=b["cell"],
                **more,
            )

    def write_boxes(self):
        if self.names is not None:
            return self.write_records()
        new = self.folder / "boxes.new"
        new.write_text(boxes_text(self.day, self.modes, self.started))
        os.replace(new, self.folder / "boxes.txtpb")

    def list(self, box, mode, cold):
        """The list says of a box from now on: its mode and, in ms of the day, its start."""
        self.modes[box] = mode
        if cold is not None:
            self.started[box] = (self.t0 + round(cold * MS) + self.unix_offset_us) // MS
        self.write_boxes()
        self.record.put("list", box=box, mode=mode, started=cold is not None)

    def fate(self, i, what):
        process = self.gateways[i]
        if what == "start":
            if process.poll() is None and i in self.asked:  # it still drains; the clients must not be held up for that
                return self.loop.call_later(20 * MS, self.fate, i, what)
            self.asked.discard(i)
            return self.start_gateway(i)
        if process.poll() is not None:
            return
        self.asked.add(i)
        if what == "kill":
            self.record.put("killed", gateway=i)
            process.kill()
            process.wait(10)
        else:
            self.record.put("termed", gateway=i)
            process.terminate()
            self.look_for_end(i, process)

    def look_for_end(self, i, process):
        if process.poll() is None:
            return self.loop.call_later(5 * MS, self.look_for_end, i, process)
        self.record.put("stopped", gateway=i)

    def look_for_dead(self):
        if self.fleet.poll() is not None:
            self.died.append("fleet")
        self.died += [f"gateway {i}" for i, p in self.gateways.items() if p.poll() is not None and i not in self.asked]

    def stop(self):
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

    def judge(self, left):
        day = self.day
        boxes = read_records(self.folder / "boxes.jsonl")
        clients = [r for r in self.record.rows if "call" in r]
        runner = [r for r in self.record.rows if "call" not in r]
        (self.folder / "clients.jsonl").write_bytes(b"".join(orjson.dumps(r) + b"\n" for r in self.record.rows))
        limits = Limits(
            day.grace_ms,
            day.let_go_ms,
            window_ms={g.name: g.window_ms for g in day.groups},
            scope={g.name: g.scope for g in day.groups},
            effect={g.name: g.effect for g in day.groups},
            # records with lifetimes of a second are asked for again after 0.8 s, in looks of 0.2 s
            poll_ms=1500 if day.records is not None else 150,
            place={b["id"]: {"zone": b["zone"], "cell": b["cell"]} for b in day.boxes},
        )
        found = audit(clients, boxes, runner, limits)
        figure, counts = service(clients)
        missing = [w for w in day.wants if not found["seen"].get(w)]
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
            "unended": left,
            "notes": day.notes,
            "folder": str(self.folder),
            "findings": self.findings(),
        }

    def findings(self):
        """What the gateways' diagnosis said, in ms of the day."""
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


def rename(day, names):
    """The day with its boxes' ids replaced."""
    from dataclasses import replace

    records = day.records and [(t, w, [names[b] for b in v] if w == "withdraw" else v) for t, w, v in day.records]
    return replace(
        day,
        records=records,
        boxes=[{**b, "id": names[b["id"]]} for b in day.boxes],
        script=[{**s, "boxes": [names[b] for b in s["boxes"]]} for s in day.script],
        lists=[(t, names[b], m, c) for t, b, m, c in day.lists],
    )


def passed(result):
    return not (any(r["broken"] for r in result["rules"]) or result["missing"] or result["died"] or result["unended"])


def format_result(result):
    """What a person reads."""
    lines = [
        f"{result['day']}, seed {result['seed']}"
        + (f", router {result['router']}" if result["router"] != "module" else "")
        + f": service {result['service']:.3f}; "
        + ", ".join(f"{n} {how}" for how, n in sorted(result["calls"].items()))
    ]
    for r in result["rules"]:
        state = f"BROKEN {len(r['broken'])}" if r["broken"] else "kept" if r["cases"] else "no case"
        lines.append(
            f"  {r['rule']:<32} {r['cases']:>6} cases   worst {r['worst']:>9g} of {r['limit']:g} {r['unit']:<14} {state}"
        )
        lines += [f"      {b}" for b in r["broken"][:5]]
    if result["missing"]:
        lines.append(f"  the script is there for {', '.join(result['missing'])}, and none was seen")
    if result["died"]:
        lines.append(f"  died unasked: {', '.join(result['died'])}, see {result['folder']}")
    if result["unended"]:
        lines.append(f"  {result['unended']} clients never ended")
    lines += [f"  not mapped: {n}" for n in result["notes"]]
    return "\n".join(lines)
