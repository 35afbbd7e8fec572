"""Cost of one idle gateway process by number of servers: memory, processor time and bytes from discovery.

.venv/bin/python -m benchmarks.scale process
"""

import json
import os
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import NamedTuple

from benchmarks.scale.discovery import FleetDiscovery
from benchmarks.scale.rig import GATEWAY_SETTINGS, ROOT, SOCKETS, ZONES, cpu_s, resident_mb
from benchmarks.scale.settings import server_rows
from benchmarks.scale.target import TARGET
from lapiswing.loop import Clock, Loop, free_ports

MS, S = 1000, 1_000_000
SETTLE_US = 3 * S  # after the start, before the measurement
MEASURED_US = 8 * S
CHANGES = 20


class ProcessCost(NamedTuple):
    """Cost of one gateway process with a list of `servers` servers."""

    servers: int
    resident_mb: float
    idle_core: float
    list_bytes: int  # size of the full list
    discovery_bytes_a_second: float  # while nothing changes
    change_core_ms: float  # processor time of a change of one server, with everything it triggers
    change_bytes: float


def endpoints(servers):
    """Rows of the discovery list."""
    return [
        {
            "name": row.id,
            "address": f"127.0.0.1:{20_000 + i}",
            "zone": ZONES[row.zone],
            "type": "read" if row.kind == 0 else "write",
            "group": row.cell,
            "status": "SERVING",
            "weight": 1.0,
            "since_ms": 0,
        }
        for i, row in enumerate(server_rows(servers, TARGET.prefill_part, TARGET.zones))
    ]


def measure(servers):
    """Starts a gateway and measures it, first idle and then while servers change."""
    loop, rows = Loop(Clock()), endpoints(servers)
    discovery, port = FleetDiscovery(loop, rows), free_ports(1)[0]
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "gateway.json"
        path.write_text(
            json.dumps(
                {
                    "name": "g0",
                    "listen": f"127.0.0.1:{port}",
                    "discovery": discovery.address,
                    "seed": "a1",
                    "known": None,
                    "settings": {**GATEWAY_SETTINGS, "Balancers": TARGET.gateways, "Zones": list(ZONES[: TARGET.zones])},
                    "limits": {"cores": 1.0, "memory_mb": 128, "sockets": SOCKETS},
                }
            )
        )
        program = subprocess.Popen(
            [sys.executable, "-m", "lapiswing.node"],
            cwd=ROOT,
            stderr=subprocess.DEVNULL,
            env={**os.environ, "RELAY_CONFIG": str(path), "OPENBLAS_NUM_THREADS": "1"},
        )
        try:
            assert loop.run_until(lambda: discovery.counts["calls"] > 1, 20 * S), "the gateway did not start within 20 s"
            loop.run_until(lambda: False, SETTLE_US)
            idle_core, idle_bytes = measure_during(loop, program, discovery, lambda: None)
            busy_core, busy_bytes = measure_during(loop, program, discovery, lambda: change(loop, discovery, rows))
            return ProcessCost(
                servers,
                resident_mb(program.pid),
                idle_core,
                len(discovery.full_list()),
                idle_bytes,
                (busy_core - idle_core) * MEASURED_US / MS / CHANGES,
                (busy_bytes - idle_bytes) * MEASURED_US / S / CHANGES,
            )
        finally:
            program.kill()
            program.wait()
            discovery.server.close()
            discovery.listener.close()
            loop.close()


def measure_during(loop, program, discovery, begin):
    """Calls `begin` and measures for MEASURED_US. -> share of a core, bytes per second from discovery"""
    cpu_before_s, bytes_before, began_s = cpu_s(program.pid), discovery.counts["bytes"], time.monotonic()
    begin()
    loop.run_until(lambda: False, MEASURED_US)
    elapsed_s = time.monotonic() - began_s
    return (cpu_s(program.pid) - cpu_before_s) / elapsed_s, (discovery.counts["bytes"] - bytes_before) / elapsed_s


def change(loop, discovery, rows):
    """Lets servers start to drain, one after the other."""
    for index in range(CHANGES):
        row = rows[index] | {"status": "DRAINING"}
        loop.call_later(index * MEASURED_US // CHANGES, discovery.publish, [row])


def slope(sizes):
    """-> a ProcessCost for each size."""
    return [measure(servers) for servers in sizes]
