"""Time until gateways are ready when all start at once and share a core, and its phases. Real processes on loopback.

.venv/bin/python benchmarks/ready.py [number of gateways on the core]
"""

import compileall
import json
import os
import subprocess
import sys
import tempfile
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent.parent / "tests"))
from platform_harness import SETTINGS  # noqa: E402

from lapiswing.http1 import Pool  # noqa: E402
from lapiswing.lab.status import StatusOnly  # noqa: E402
from lapiswing.loop import Clock, Loop, free_ports  # noqa: E402
from lapiswing.standin.platform import Platform  # noqa: E402

MS, S = 1000, 1_000_000


def endpoints(count):
    """Rows of the discovery list."""
    return [
        {
            "name": f"s-{index}",
            "address": f"127.0.0.1:{2000 + index}",
            "zone": "ab"[index % 2],
            "type": ("read", "write")[index % 2],
            "group": index % 8,
            "status": "SERVING",
            "weight": 1.0,
            "since_ms": 0,
        }
        for index in range(count)
    ]


def measure(gateways, servers, known, down_s, limit_s=30):
    """Starts `gateways` at once on one core; discovery does not answer for `down_s`. `known`: their configuration contains the
    list. -> seconds until each is ready, sorted"""
    loop = Loop(Clock())
    platform, pool = Platform(loop, ()), Pool(loop)
    rows = endpoints(servers)
    platform.discovery.whole = lambda: {"index": platform.discovery.index, "snapshot": True, "endpoints": rows}
    platform.discovery.silent = down_s > 0
    ports, programs, ready = free_ports(gateways), [], {}
    with tempfile.TemporaryDirectory() as folder:
        began_us = loop.clock.now_us()
        for number, port in enumerate(ports):
            path = Path(folder) / f"{number}.json"
            path.write_text(
                json.dumps(
                    {
                        "name": f"n{number}",
                        "listen": f"127.0.0.1:{port}",
                        "discovery": platform.discovery.address,
                        "seed": f"{number + 1:x}",
                        "limits": {"cores": 1 / gateways, "memory_mb": 128, "sockets": 512},
                        "settings": SETTINGS,
                        "known": {"index": 1, "snapshot": True, "endpoints": rows} if known else None,
                    }
                )
            )
            programs.append(
                subprocess.Popen(
                    [sys.executable, "-m", "lapiswing.node"],
                    stderr=subprocess.DEVNULL,
                    env={**os.environ, "RELAY_CONFIG": str(path), "OPENBLAS_NUM_THREADS": "1"},
                    preexec_fn=lambda: os.sched_setaffinity(0, {min(os.sched_getaffinity(0))}),
                )
            )
        loop.call_later(int(down_s * S), setattr, platform.discovery, "silent", False)
        try:
            while len(ready) < gateways and loop.clock.now_us() - began_us < limit_s * S:
                responses = {number: StatusOnly() for number in range(gateways) if number not in ready}
                for number, response in responses.items():
                    pool.request(("127.0.0.1", ports[number]), b"GET", b"/-/ready", [], b"", response)
                loop.run_until(lambda responses=responses: all(response.over for response in responses.values()), S // 2)
                ready.update(
                    {
                        number: (loop.clock.now_us() - began_us) / S
                        for number, response in responses.items()
                        if response.status == 200
                    }
                )
                loop.run_until(lambda: False, 50 * MS)
        finally:
            for program in programs:
                program.kill()
                program.wait()
            pool.close()
            platform.close()
            loop.close()
    return sorted(ready.values())


def phases():
    """-> seconds of processor time of the imports; (servers, configuration, first list) at 100 and 1,024 servers"""
    code = "import time; a = time.process_time(); import lapiswing.node.serve; print(time.process_time() - a)"
    imports = float(
        subprocess.run(
            [sys.executable, "-c", code],
            capture_output=True,
            text=True,
            check=True,
            env={**os.environ, "OPENBLAS_NUM_THREADS": "1"},
        ).stdout
    )
    from lapiswing.node.serve import Node

    rows = []
    for servers in (100, 1024):
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "c.json"
            path.write_text(
                json.dumps(
                    {
                        "name": "n",
                        "listen": "127.0.0.1:9",
                        "discovery": "127.0.0.1:8",
                        "seed": "1",
                        "limits": {"cores": 1, "memory_mb": 128, "sockets": 512},
                        "settings": SETTINGS,
                        "known": {"index": 1, "snapshot": True, "endpoints": endpoints(servers)},
                    }
                )
            )
            times = [time.process_time()]
            node = Node(str(path), type("Log", (), {"__getattr__": lambda self, name: lambda *args, **fields: None})())
            times.append(time.process_time())
            node.load_known_list()
            node.core.turn()
            times.append(time.process_time())
        rows.append((servers, times[1] - times[0], times[2] - times[1]))
    return imports, rows


def main(gateways):
    """Prints the phases, and the times to readiness by size of the list, known list and outage of discovery."""
    compileall.compile_dir(str(Path(__file__).parent.parent / "lapiswing"), quiet=1)  # as the build step does
    imports, rows = phases()
    print(f"imports {imports:.2f} s of a core")
    for servers, configuration, first_list in rows:
        print(f"{servers} servers: configuration {configuration:.3f} s, first list {first_list:.3f} s of a core")
    for servers in (100, 1024):
        for known in (False, True):
            for down_s in (0, 3):
                times = measure(gateways, servers, known, down_s)
                ninth_decile = times[gateways * 9 // 10 - 1] if len(times) >= gateways * 9 // 10 else None
                print(
                    f"{gateways} on one core, {servers} servers, known {'full' if known else 'empty'}, discovery down "
                    f"{down_s} s: nine in ten ready after {ninth_decile and round(ninth_decile, 1)} s, last {times[-1]:.1f} s"
                )


if __name__ == "__main__":
    main(int(sys.argv[1]) if len(sys.argv) > 1 else 10)
