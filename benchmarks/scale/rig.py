"""The test rig: real gateways, hollow gateways, hollow servers and a discovery service on loopback sockets, under one
scenario.

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
from benchmarks.scale.scenario import HOLLOW_GATEWAYS_PER_PROCESS, SERVERS_PER_PROCESS, FaultKind
from benchmarks.scale.settings import server_rows
from lapiswing.http1 import Pool
from lapiswing.lab.status import StatusOnly
from lapiswing.loop import Clock, Loop, free_ports

MS, S = 1000, 1_000_000
ROOT = Path(__file__).parent.parent.parent
ZONES = "abcdefghijklmnopqrstuvwxyz"
START_LIMIT_US = 60 * S
STEP_US = 200 * MS  # between two servers that start to drain, and at least between two tenths of a rolling restart
DISCOVERY_DELAY_US = 2 * S  # from the loss of a server until discovery reports it
SETTLE_US = 7 * S  # after the load; a change counts as known to all 6 s after discovery published it
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
SOCKETS = 1024  # socket limit of a gateway
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
    """A worker process. Commands and answers are lines of JSON on its standard input and output."""

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
        """Waits for the next answer."""
        line = self.program.stdout.readline()
        if not line:
            raise RuntimeError(f"a worker process exited with status {self.program.wait()}")
        return json.loads(line)

    def ask(self, do, **fields):
        self.send(do, **fields)
        return self.answer()

    def kill(self):
        self.program.kill()
        self.program.wait()


def cpu_s(pid):
    """Processor time that the process has used so far, user and system."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S


def resident_mb(pid):
    """Resident memory of the process."""
    line = next(line for line in Path(f"/proc/{pid}/status").read_text().splitlines() if line.startswith("VmRSS"))
    return int(line.split()[1]) / 1024


class Rig:
    """Starts the processes of a scenario, drives load and faults, and collects the record."""

    def __init__(self, scenario, progress=lambda text: None):
        self.scenario, self.progress = scenario, progress
        self.random = np.random.default_rng([scenario.seed, 1])
        self.loop, self.folder = Loop(Clock()), tempfile.TemporaryDirectory()
        self.processes, self.real, self.record = [], [], {}
        self.restarts, self.core_shares, self.cpu_start = 0, [], {}  # cpu_start: pid -> (clock, processor time) as the load began

    # ---- start

    def start(self):
        """Starts all processes and waits until all gateways are ready."""
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
        self.progress(f"{fleet.servers} hollow servers and discovery are running")
        self.start_gateways()

    def process(self, do, **fields):
        process = Process(do, **fields)
        self.processes.append(process)
        return process

    def start_servers(self):
        names, model, load = list(self.rows), self.scenario.server, self.scenario.load
        plain = [{field: getattr(struct, field) for field in struct.__struct_fields__} for struct in (model, load)]
        self.servers = [
            self.process(
                "servers",
                rows=[self.rows[name] for name in names[first : first + SERVERS_PER_PROCESS]],
                model=plain[0],
                load=plain[1],
            )
            for first in range(0, len(names), SERVERS_PER_PROCESS)
        ]
        for process in self.servers:
            for name, address in process.answer().items():
                self.rows[name]["address"] = address

    def configuration(self, number, port):
        """The configuration file of one gateway."""
        fleet = self.scenario.fleet
        gateway_count = fleet.told_gateways or fleet.real_gateways + fleet.hollow_gateways
        settings = {
            **GATEWAY_SETTINGS,
            "Balancers": gateway_count,
            "Zones": list(ZONES[: fleet.zones]),
            "Az": number % fleet.zones,
        }
        return {
            "name": f"g{number}",
            "listen": f"127.0.0.1:{port}",
            "discovery": self.discovery_address,
            "seed": f"{int(self.random.integers(1 << 40)):x}",
            "known": None,
            "settings": settings,
            "limits": {"cores": 1.0, "memory_mb": 128, "sockets": SOCKETS},
        }

    def start_gateways(self):
        fleet = self.scenario.fleet
        ports = free_ports(fleet.real_gateways + fleet.hollow_gateways)
        configurations = [self.configuration(number, port) for number, port in enumerate(ports)]
        began_us = self.loop.clock.now_us()
        self.configurations = configurations[: fleet.real_gateways]
        self.ports = ports[: fleet.real_gateways]
        hollow = configurations[fleet.real_gateways :]
        self.gateways = [
            self.process("gateways", folder=self.folder.name, configurations=hollow[first : first + HOLLOW_GATEWAYS_PER_PROCESS])
            for first in range(0, len(hollow), HOLLOW_GATEWAYS_PER_PROCESS)
        ]
        self.real = [self.start_real(configuration) for configuration in self.configurations]
        for process in self.gateways:
            process.answer()
        self.record["start_s"] = {
            "hollow": self.wait_until_ready(began_us, fleet.hollow_gateways, self.hollow_ready),
            "real": self.wait_until_ready(began_us, fleet.real_gateways, self.real_ready),
        }
        self.progress(f"{fleet.hollow_gateways} hollow and {fleet.real_gateways} real gateways are ready")

    def start_real(self, configuration):
        path = Path(self.folder.name) / f"{configuration['name']}.json"
        path.write_text(json.dumps(configuration))
        return subprocess.Popen(
            [sys.executable, "-m", "lapiswing.node"],
            cwd=ROOT,
            stderr=subprocess.DEVNULL,
            env={**os.environ, "RELAY_CONFIG": str(path), "OPENBLAS_NUM_THREADS": "1"},
        )

    def wait_until_ready(self, began_us, wanted, count):
        """Waits until `count()` reaches `wanted`. -> seconds since `began_us`"""
        while count() < wanted:
            if self.loop.clock.now_us() - began_us > START_LIMIT_US:
                raise RuntimeError(f"only {count()} of {wanted} gateways became ready in time")
            self.loop.run_until(lambda: False, 50 * MS)
        return (self.loop.clock.now_us() - began_us) / S

    def hollow_ready(self):
        return sum(process.ask("ready") for process in self.gateways)

    def real_ready(self):
        responses = [StatusOnly() for _ in self.ports]
        pool = Pool(self.loop)
        for response, port in zip(responses, self.ports):
            pool.request(("127.0.0.1", port), b"GET", b"/-/ready", [], b"", response)
        self.loop.run_until(lambda: all(response.over for response in responses), S)
        pool.close()
        return sum(response.status == 200 for response in responses)

    # ---- run

    def run(self):
        """Applies load and faults. -> the record"""
        load = self.scenario.load
        clients = Clients(self.loop, self.ports, load.requests_a_gateway * len(self.ports), self.scenario.seed)
        for program in self.real:
            self.cpu_start[program.pid] = self.loop.clock.now_us(), cpu_s(program.pid)
        calls_before = sum(process.ask("report")["calls"] for process in self.gateways)
        bytes_before = self.discovery.ask("report")["counts"].get("bytes", 0)
        began_us = self.loop.clock.now_us()
        clients.start()
        for fault in self.scenario.fault:
            self.loop.call_later(int(fault.at_s * S), getattr(self, FaultKind(fault.kind).value), fault)
        self.loop.run_until(lambda: False, int(load.seconds * S))
        clients.stop()
        elapsed_s = (self.loop.clock.now_us() - began_us) / S
        for program in self.real:
            self.record_core_share(program)
        self.record["real"] = {"core": self.core_shares, "resident_mb": [resident_mb(program.pid) for program in self.real]}
        self.loop.run_until(lambda: clients.open == 0, max(SETTLE_US, int(DEADLINE_S * S)))
        self.record |= self.collect(elapsed_s, calls_before, bytes_before, clients)
        clients.close()
        return self.record

    def record_core_share(self, program):
        """Records which share of a core a process used, if it was running when the load began."""
        began_us, spent_s = self.cpu_start.pop(program.pid, (None, None))
        if began_us is not None:
            self.core_shares.append((cpu_s(program.pid) - spent_s) * S / (self.loop.clock.now_us() - began_us))

    def collect(self, elapsed_s, calls_before, bytes_before, clients):
        """-> the part of the record that the processes and the clients counted."""
        measurements, servers = clients.measurements, {}
        for process in self.servers:
            servers |= process.ask("report")
        discovery = self.discovery.ask("report")
        gateways = [process.ask("report") for process in self.gateways]
        observed = [rows for process in gateways for rows in process["observed"]]
        gateway_count = max(1, self.scenario.fleet.hollow_gateways + self.scenario.fleet.real_gateways)
        return {
            "seconds": elapsed_s,
            "asked": clients.asked,
            "outcomes": dict(measurements.outcomes),
            "first_token_ms": percentiles(measurements.first_token_us),
            "event_delay_ms": percentiles(measurements.event_delay_us),
            "servers": summarize(servers),
            "discovery": {
                **discovery["counts"],
                "busiest_second": discovery["busiest_second"],
                "bytes_a_gateway_a_second": (discovery["counts"].get("bytes", 0) - bytes_before) / elapsed_s / gateway_count,
                "calls_a_gateway_a_second": (sum(report["calls"] for report in gateways) - calls_before)
                / elapsed_s
                / max(1, self.scenario.fleet.hollow_gateways),
            },
            "changes": propagation(discovery["published"], observed),
            "late_attempts": late_attempts(discovery["published"], servers),
            "restarts": self.restarts,
        }

    # ---- faults

    def all_servers(self, do, **fields):
        for process in self.servers:
            process.ask(do, **fields)

    def publish(self, names, **changed):
        """Changes fields of the servers' rows at discovery."""
        for name in names:
            self.rows[name] = self.rows[name] | changed
        self.discovery.ask("publish", rows=[self.rows[name] for name in names])

    def choose(self, names, count):
        """-> `count` random ones of `names`."""
        return [names[i] for i in self.random.choice(len(names), min(count, len(names)), replace=False)]

    def unix_ms(self):
        return int(time.time() * 1000)

    def machine(self, fault):
        names = self.choose(list(self.rows), fault.count)
        self.all_servers("die", names=names)
        self.loop.call_later(DISCOVERY_DELAY_US, lambda: self.publish(names, status="DELETED"))

    def rack(self, fault):
        racks = self.choose(sorted({row["group"] for row in self.rows.values()}), fault.count)
        self.lose([name for name, row in self.rows.items() if row["group"] in racks], fault, True)

    def zone(self, fault):
        self.lose([name for name, row in self.rows.items() if row["zone"] == ZONES[0]], fault, True)

    def cut(self, fault):
        self.lose([name for name, row in self.rows.items() if row["zone"] == ZONES[0]], fault, False)

    def lose(self, names, fault, cold):
        """Servers stop answering. Where `cold`, discovery reports the loss after two seconds, and the return with a new start
        time."""
        names = [name for name in names if self.rows[name]["status"] == "SERVING"]
        self.all_servers("silent", names=names, on=True)
        if cold:
            self.loop.call_later(DISCOVERY_DELAY_US, lambda: self.publish(names, status="DRAINING"))

        def restore():
            self.all_servers("silent", names=names, on=False)
            if cold:
                self.publish(names, status="SERVING", since_ms=self.unix_ms())

        self.loop.call_later(int(fault.for_s * S), restore)

    def change(self, fault):
        for position, name in enumerate(self.choose(list(self.rows), fault.count)):
            self.loop.call_later(position * STEP_US, lambda name=name: self.publish([name], status="DRAINING"))

    def silence(self, fault):
        """Discovery stops answering; it delivers the changes made meanwhile when it returns."""
        self.discovery.ask("silent", on=True)
        self.loop.call_later(int(fault.for_s * S), lambda: self.discovery.ask("silent", on=False))

    def release(self, fault):
        """A rolling restart of the real gateways."""
        tenth = max(1, -(-len(self.real) // 10))
        for step, first in enumerate(range(0, len(self.real), tenth)):
            self.loop.call_later(step * max(STEP_US, int(fault.for_s * S / 10)), self.restart, first, tenth)

    def restart(self, first, count):
        for number in range(first, min(first + count, len(self.real))):
            self.record_core_share(self.real[number])
            self.real[number].terminate()
            self.loop.call_later(0, self.start_after_exit, number)

    def start_after_exit(self, number):
        """Starts the gateway's new process as soon as the old one has exited."""
        if self.real[number].poll() is None:
            return self.loop.call_later(50 * MS, self.start_after_exit, number)
        self.real[number] = self.start_real(self.configurations[number])
        self.restarts += 1

    def roles(self, fault):
        """Every other prefill server becomes a decode server."""
        prefill = [name for name, row in self.rows.items() if row["type"] == "read"]
        names = prefill[::2]
        self.all_servers("change_role", names=names, role="write")
        self.publish(names, type="write", since_ms=self.unix_ms())

    def close(self):
        for program in self.real:
            program.kill()
            program.wait()
        for process in self.processes:
            process.kill()
        self.loop.close()
        self.folder.cleanup()


def percentiles(histogram):
    """-> milliseconds by percentile, or None where nothing was recorded."""
    if not histogram.get_total_count():
        return None
    return {str(percentile): histogram.get_value_at_percentile(percentile) / MS for percentile in (50, 95, 99, 99.9, 100)}


def summarize(servers):
    """Mean, maximum and sum of each count over all servers."""
    names = sorted({name for report in servers.values() for name in report["counts"]})
    rows = {name: [report["counts"].get(name, 0) for report in servers.values()] for name in names}
    rows["gateways met"] = [report["gateways"] for report in servers.values()]
    rows["connections at once"] = [report["max_open"] for report in servers.values()]
    return {name: {"mean": sum(values) / len(values), "most": max(values), "sum": sum(values)} for name, values in rows.items()}


def propagation(published, observed):
    """For each published change: the time until the median and the last hollow gateway received it."""
    modes, kinds, rows = {"SERVING": "ready", "DRAINING": "draining", "DELETED": "gone"}, {"read": 0, "write": 1}, []
    for name, status, role, published_us in published:
        times = []
        for gateway in observed:
            later = [
                now_us - published_us
                for server, mode, kind, now_us in gateway
                if server == name
                and now_us >= published_us
                and (mode == modes[status] and (mode == "gone" or kind == kinds[role]))
            ]
            if later:
                times.append(min(later))
        if observed:
            times.sort()
            rows.append(
                {
                    "server": name,
                    "status": status,
                    "heard_by": len(times),
                    "of": len(observed),
                    "middle_ms": times[len(times) // 2] / MS if times else None,
                    "last_ms": times[-1] / MS if len(times) == len(observed) else None,
                }
            )
    return rows


def late_attempts(published, servers):
    """How many servers received an attempt more than 6 s after discovery finally published them as draining or deleted."""
    last = {name: (published_us, status) for name, status, _, published_us in sorted(published, key=lambda row: row[3])}
    return sum(
        servers[name]["last_attempt_us"] > published_us + 6 * S
        for name, (published_us, status) in last.items()
        if status != "SERVING" and name in servers
    )
