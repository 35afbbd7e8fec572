"""What one real gateway process costs with nothing to do, as the list grows: memory, processor time, discovery's bytes.

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
SETTLED_US = 3 * S  # after the start
MEASURED_US = 8 * S
CHANGES = 20


class ProcessCost(NamedTuple):
    servers: int
    resident_mb: float
    idle_core: float
    list_bytes: int  # the whole list
    discovery_bytes_a_second: float  # with nothing new
    change_core_ms: float  # processor time of one server's change, all that it sets off counted
    change_bytes: float


def endpoints(servers):
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
            assert loop.run_until(lambda: discovery.counts["calls"] > 1, 20 * S), "the gateway did not come up"
            loop.run_until(lambda: False, SETTLED_US)
            idle_core, idle_bytes = over(loop, program, discovery, lambda: None)
            spent, sent = over(loop, program, discovery, lambda: change(loop, discovery, rows))
            return ProcessCost(
                servers,
                resident_mb(program.pid),
                idle_core,
                len(discovery.whole_list()),
                idle_bytes,
                (spent - idle_core) * MEASURED_US / MS / CHANGES,
                (sent - idle_bytes) * MEASURED_US / S / CHANGES,
            )
        finally:
            program.kill()
            program.wait()
            discovery.server.close()
            discovery.listener.close()
            loop.close()


def over(loop, program, discovery, begin):
    """-> share of a core and discovery's bytes a second over the time that is measured."""
    spent, sent, began = cpu_s(program.pid), discovery.counts["bytes"], time.monotonic()
    begin()
    loop.run_until(lambda: False, MEASURED_US)
    past = time.monotonic() - began
    return (cpu_s(program.pid) - spent) / past, (discovery.counts["bytes"] - sent) / past


def change(loop, discovery, rows):
    for i in range(CHANGES):
        row = rows[i] | {"status": "DRAINING"}
        loop.call_later(i * MEASURED_US // CHANGES, discovery.tell, [row])


def slope(sizes):
    return [measure(servers) for servers in sizes]
