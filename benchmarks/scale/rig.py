"""The rig: real gateways, hollow gateways, hollow servers and a discovery on loopback sockets, under one scenario.

.venv/bin/python -m benchmarks.scale rig benchmarks/scale/scenarios/small.toml [--out record.json]
"""

import json
import os
import subprocess
import sys
import tempfile
import time
from pathlib import Path

import numpy as np

from benchmarks.scale.clients import DEADLINE_S, Clients
from benchmarks.scale.scenario import HOLLOW_GATEWAYS_A_PROCESS, SERVERS_A_PROCESS, FaultKind
from benchmarks.scale.settings import server_rows
from lapiswing.http1 import Pool
from lapiswing.lab.status import StatusOnly
from lapiswing.loop import Clock, Loop, free_ports

MS, S = 1000, 1_000_000
ROOT = Path(__file__).parent.parent.parent
ZONES = "abcdefghijklmnopqrstuvwxyz"
START_LIMIT_US = 60 * S
STEP_US = 200 * MS  # between two servers that begin to drain, and between two tenths of a release
TOLD_LATE_US = 2 * S  # after which discovery tells that a machine is gone
SETTLE_US = 7 * S  # after the last fault; a change counts as told 6 s after discovery had it
TICKS = os.sysconf("SC_CLK_TCK")
SOCKETS = 1024
GATEWAY_SETTINGS = {
    "Az": 0,
    "Balancers": 1,
    "Callers": {},
    "Family": "twostage",
    "Kinds": ["read", "write"],
    "Me": 0,
    "Classes": [
        {
            "DeadlineMs": 1000 * DEADLINE_S,
            "Effect": "retryable",
            "Group": "all",
            "LateWorth": 0.3,
            "MemorySpanMs": 5000.0,
            "Name": "chat",
            "OnTimeMs": 1200.0,
            "Stream": True,
            "Value": 1.0,
        }
    ],
    "FamilyInfo": {
        "AimUsPer1000PromptTokens": [40000.0],
        "DutyByKind": ["read", "write"],
        "FarPrice": 0.04,
        "KindMemoryTokens": [270000, 160000],
        "LetGoByMs": 500.0,
        "MayReserve": False,
        "ReadInPlace": False,
        "Resume": False,
        "TokenAimMs": [46.0],
    },
    "Limits": {
        "Cancel": True,
        "ConnIdleMs": 15000.0,
        "ConnectTimeoutMs": 250.0,
        "CpuUsPerS": 1000000,
        "MaxAttempts": 6,
        "MaxRetryAfterMs": 1000.0,
        "RetryAfter": True,
        "SecondCopies": False,
        "Probes": True,
    },
    "MembershipMode": "automatic",
    "Penalties": {"CrossZone": 0.02},
    "Report": {"How": "off", "Names": []},
    "ResolutionMs": 4.0,
    "Tenants": [],
    "Rules": {
        "AnswerSlackMs": 16.0,
        "ColdFrom": 0.25,
        "FallMultiple": 2.5,
        "OverloadForMs": 1000.0,
        "RampTimeMs": 12000.0,
        "StopSendingWithinMs": 1000.0,
    },
}


class Process:
    """A worker, spoken to in lines of JSON."""

    def __init__(self, do, **fields):
        self.program = subprocess.Popen(
            [sys.executable, "-m", "benchmarks.scale.worker"],
            cwd=ROOT,
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
            env={**os.environ, "OPENBLAS_NUM_THREADS": "1"},
        )
        self.send(do, **fields)

    def send(self, do, **fields):
        self.program.stdin.write(json.dumps({"do": do, **fields}) + "\n")
        self.program.stdin.flush()

    def answer(self):
        line = self.program.stdout.readline()
        if not line:
            raise RuntimeError(f"a worker ended with {self.program.wait()}")
        return json.loads(line)

    def ask(self, do, **fields):
        self.send(do, **fields)
        return self.answer()

    def end(self):
        self.program.kill()
        self.program.wait()


def cpu_s(pid):
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS


def resident_mb(pid):
    line = next(line for line in Path(f"/proc/{pid}/status").read_text().splitlines() if line.startswith("VmRSS"))
    return int(line.split()[1]) / 1024


class Rig:
    def __init__(self, scenario, progress=lambda text: None):
        self.scenario, self.progress = scenario, progress
        self.chance = np.random.default_rng([scenario.seed, 1])
        self.loop, self.folder = Loop(Clock()), tempfile.TemporaryDirectory()
        self.processes, self.real, self.record = [], [], {}
        self.restarts, self.shares, self.since = 0, [], {}  # since: of each process, when it was first looked at

    # ---- start

    def start(self):
        fleet = self.scenario.fleet
        rows = server_rows(fleet.servers, fleet.prefill_part, fleet.zones)
        self.rows = {
            row.id: {
                "name": row.id,
                "address": "",
                "zone": ZONES[row.zone],
                "type": "read" if row.kind == 0 else "write",
                "group": row.cell,
                "status": "SERVING",
                "weight": 1.0,
                "since_ms": 0,
            }
            for row in rows
        }
        self.start_servers()
        self.discovery = self.process("discovery", rows=list(self.rows.values()))
        self.discovery_address = self.discovery.answer()
        self.progress(f"{fleet.servers} hollow servers and discovery")
        self.start_gateways()

    def process(self, do, **fields):
        process = Process(do, **fields)
        self.processes.append(process)
        return process

    def start_servers(self):
        names, model, load = list(self.rows), self.scenario.server, self.scenario.load
        plain = [{f: getattr(of, f) for f in of.__struct_fields__} for of in (model, load)]
        self.servers = [
            self.process(
                "servers", rows=[self.rows[n] for n in names[at : at + SERVERS_A_PROCESS]], model=plain[0], load=plain[1]
            )
            for at in range(0, len(names), SERVERS_A_PROCESS)
        ]
        for process in self.servers:
            for name, address in process.answer().items():
                self.rows[name]["address"] = address

    def configuration(self, number, port):
        fleet = self.scenario.fleet
        told = fleet.told_gateways or fleet.real_gateways + fleet.hollow_gateways
        settings = {**GATEWAY_SETTINGS, "Balancers": told, "Zones": list(ZONES[: fleet.zones]), "Az": number % fleet.zones}
        return {
            "name": f"g{number}",
            "listen": f"127.0.0.1:{port}",
            "discovery": self.discovery_address,
            "seed": f"{int(self.chance.integers(1 << 40)):x}",
            "known": None,
            "settings": settings,
            "limits": {"cores": 1.0, "memory_mb": 128, "sockets": SOCKETS},
        }

    def start_gateways(self):
        fleet = self.scenario.fleet
        ports = free_ports(fleet.real_gateways + fleet.hollow_gateways)
        configurations = [self.configuration(i, port) for i, port in enumerate(ports)]
        began = self.loop.clock.now_us()
        self.configurations = configurations[: fleet.real_gateways]
        self.ports = ports[: fleet.real_gateways]
        hollow = configurations[fleet.real_gateways :]
        self.gateways = [
            self.process("gateways", folder=self.folder.name, configurations=hollow[at : at + HOLLOW_GATEWAYS_A_PROCESS])
            for at in range(0, len(hollow), HOLLOW_GATEWAYS_A_PROCESS)
        ]
        self.real = [self.start_real(configuration) for configuration in self.configurations]
        for process in self.gateways:
            process.answer()
        self.record["start_s"] = {
            "hollow": self.until_ready(began, fleet.hollow_gateways, self.hollow_ready),
            "real": self.until_ready(began, fleet.real_gateways, self.real_ready),
        }
        self.progress(f"{fleet.hollow_gateways} hollow and {fleet.real_gateways} real gateways ready")

    def start_real(self, configuration):
        path = Path(self.folder.name) / f"{configuration['name']}.json"
        path.write_text(json.dumps(configuration))
        return subprocess.Popen(
            [sys.executable, "-m", "lapiswing.node"],
            cwd=ROOT,
            stderr=subprocess.DEVNULL,
            env={**os.environ, "RELAY_CONFIG": str(path), "OPENBLAS_NUM_THREADS": "1"},
        )

    def until_ready(self, began, wanted, count):
        """-> seconds until all are ready."""
        while count() < wanted:
            if self.loop.clock.now_us() - began > START_LIMIT_US:
                raise RuntimeError(f"{count()} of {wanted} gateways were ready in time")
            self.loop.run_until(lambda: False, 50 * MS)
        return (self.loop.clock.now_us() - began) / S

    def hollow_ready(self):
        return sum(process.ask("ready") for process in self.gateways)

    def real_ready(self):
        asked = [StatusOnly() for _ in self.ports]
        pool = Pool(self.loop)
        for one, port in zip(asked, self.ports):
            pool.request(("127.0.0.1", port), b"GET", b"/-/ready", [], b"", one)
        self.loop.run_until(lambda: all(one.over for one in asked), S)
        pool.close()
        return sum(one.status == 200 for one in asked)

    # ---- run

    def run(self):
        load = self.scenario.load
        clients = Clients(self.loop, self.ports, load.requests_a_gateway * len(self.ports), self.scenario.seed)
        for program in self.real:
            self.since[program.pid] = self.loop.clock.now_us(), cpu_s(program.pid)
        calls = sum(process.ask("report")["calls"] for process in self.gateways)
        bytes_told = self.discovery.ask("report")["counts"].get("bytes", 0)
        began = self.loop.clock.now_us()
        clients.start()
        for fault in self.scenario.fault:
            self.loop.call_later(int(fault.at_s * S), getattr(self, FaultKind(fault.kind).value), fault)
        self.loop.run_until(lambda: False, int(load.seconds * S))
        clients.stop()
        past_s = (self.loop.clock.now_us() - began) / S
        for program in self.real:
            self.share_of(program)
        self.record["real"] = {"core": self.shares, "resident_mb": [resident_mb(program.pid) for program in self.real]}
        self.loop.run_until(lambda: clients.open == 0, max(SETTLE_US, int(DEADLINE_S * S)))
        self.record |= self.counted(past_s, calls, bytes_told, clients)
        clients.close()
        return self.record

    def share_of(self, program):
        """Of a core, of a process that was there when the load began."""
        at, spent = self.since.pop(program.pid, (None, None))
        if at is not None:
            self.shares.append((cpu_s(program.pid) - spent) * S / (self.loop.clock.now_us() - at))

    def counted(self, past_s, calls, bytes_told, clients):
        measured, servers = clients.measured, {}
        for process in self.servers:
            servers |= process.ask("report")
        discovery = self.discovery.ask("report")
        gateways = [process.ask("report") for process in self.gateways]
        heard = [rows for process in gateways for rows in process["heard"]]
        of_all = max(1, self.scenario.fleet.hollow_gateways + self.scenario.fleet.real_gateways)
        return {
            "seconds": past_s,
            "asked": clients.asked,
            "outcomes": dict(measured.outcomes),
            "first_token_ms": percentiles(measured.first),
            "event_delay_ms": percentiles(measured.delay),
            "servers": summed(servers),
            "discovery": {
                **discovery["counts"],
                "busiest_second": discovery["busiest_second"],
                "bytes_a_gateway_a_second": (discovery["counts"].get("bytes", 0) - bytes_told) / past_s / of_all,
                "calls_a_gateway_a_second": (sum(p["calls"] for p in gateways) - calls)
                / past_s
                / max(1, self.scenario.fleet.hollow_gateways),
            },
            "changes": last_to_act(discovery["told"], heard),
            "late_attempts": late_attempts(discovery["told"], servers),
            "restarts": self.restarts,
        }

    # ---- faults

    def all_servers(self, do, **fields):
        for process in self.servers:
            process.ask(do, **fields)

    def tell(self, names, **changed):
        for name in names:
            self.rows[name] = self.rows[name] | changed
        self.discovery.ask("tell", rows=[self.rows[name] for name in names])

    def some(self, names, count):
        return [names[i] for i in self.chance.choice(len(names), min(count, len(names)), replace=False)]

    def since_now(self):
        return int(time.time() * 1000)

    def machine(self, fault):
        names = self.some(list(self.rows), fault.count)
        self.all_servers("die", names=names)
        self.loop.call_later(TOLD_LATE_US, lambda: self.tell(names, status="DELETED"))

    def rack(self, fault):
        racks = self.some(sorted({row["group"] for row in self.rows.values()}), fault.count)
        self.lose([n for n, row in self.rows.items() if row["group"] in racks], fault, True)

    def zone(self, fault):
        self.lose([n for n, row in self.rows.items() if row["zone"] == ZONES[0]], fault, True)

    def cut(self, fault):
        self.lose([n for n, row in self.rows.items() if row["zone"] == ZONES[0]], fault, False)

    def lose(self, names, fault, cold):
        """Discovery tells of what is lost two seconds late, and of its return with a new start."""
        names = [name for name in names if self.rows[name]["status"] == "SERVING"]
        self.all_servers("silent", names=names, on=True)
        if cold:
            self.loop.call_later(TOLD_LATE_US, lambda: self.tell(names, status="DRAINING"))

        def back():
            self.all_servers("silent", names=names, on=False)
            if cold:
                self.tell(names, status="SERVING", since_ms=self.since_now())

        self.loop.call_later(int(fault.for_s * S), back)

    def change(self, fault):
        for i, name in enumerate(self.some(list(self.rows), fault.count)):
            self.loop.call_later(i * STEP_US, lambda name=name: self.tell([name], status="DRAINING"))

    def silence(self, fault):
        """Of discovery; changes made meanwhile are told at its return."""
        self.discovery.ask("silent", on=True)
        self.loop.call_later(int(fault.for_s * S), lambda: self.discovery.ask("silent", on=False))

    def release(self, fault):
        tenth = max(1, -(-len(self.real) // 10))
        for step, at in enumerate(range(0, len(self.real), tenth)):
            self.loop.call_later(step * max(STEP_US, int(fault.for_s * S / 10)), self.restart, at, tenth)

    def restart(self, at, count):
        for number in range(at, min(at + count, len(self.real))):
            self.share_of(self.real[number])
            self.real[number].terminate()
            self.loop.call_later(0, self.start_again, number)

    def start_again(self, number):
        if self.real[number].poll() is None:
            return self.loop.call_later(50 * MS, self.start_again, number)
        self.real[number] = self.start_real(self.configurations[number])
        self.restarts += 1

    def roles(self, fault):
        prefill = [n for n, row in self.rows.items() if row["type"] == "read"]
        names = prefill[::2]
        self.all_servers("change_role", names=names, role="write")
        self.tell(names, type="write", since_ms=self.since_now())

    def close(self):
        for program in self.real:
            program.kill()
            program.wait()
        for process in self.processes:
            process.end()
        self.loop.close()
        self.folder.cleanup()


def percentiles(histogram):
    if not histogram.get_total_count():
        return None
    return {str(part): histogram.get_value_at_percentile(part) / MS for part in (50, 95, 99, 99.9, 100)}


def summed(servers):
    """What one server met, as mean and most over all."""
    names = sorted({name for one in servers.values() for name in one["counts"]})
    rows = {name: [one["counts"].get(name, 0) for one in servers.values()] for name in names}
    rows["gateways met"] = [one["gateways"] for one in servers.values()]
    rows["connections at once"] = [one["most_open"] for one in servers.values()]
    return {name: {"mean": sum(values) / len(values), "most": max(values), "sum": sum(values)} for name, values in rows.items()}


def last_to_act(told, heard):
    """Of each change: until the first, the middle and the last gateway heard of it."""
    modes, kinds, rows = {"SERVING": "ready", "DRAINING": "draining", "DELETED": "gone"}, {"read": 0, "write": 1}, []
    for name, status, role, at in told:
        times = []
        for gateway in heard:
            later = [
                now - at
                for row, mode, kind, now in gateway
                if row == name and now >= at and (mode == modes[status] and (mode == "gone" or kind == kinds[role]))
            ]
            if later:
                times.append(min(later))
        if heard:
            times.sort()
            rows.append(
                {
                    "server": name,
                    "status": status,
                    "heard_by": len(times),
                    "of": len(heard),
                    "middle_ms": times[len(times) // 2] / MS if times else None,
                    "last_ms": times[-1] / MS if len(times) == len(heard) else None,
                }
            )
    return rows


def late_attempts(told, servers):
    """How many servers were sent an attempt more than 6 s after all could know that they drain or are gone for good."""
    last = {name: (at, status) for name, status, _, at in sorted(told, key=lambda row: row[3])}
    return sum(
        servers[name]["last_attempt_us"] > at + 6 * S
        for name, (at, status) in last.items()
        if status != "SERVING" and name in servers
    )
