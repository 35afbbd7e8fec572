"""From exec to ready: signals that come while the program still loads."""
import json
import os
import signal
import subprocess
import time
import tomllib
from pathlib import Path

from platform_door import Door

from lapiswing.loop import free_ports
from lapiswing.node import __main__ as program

ROOT = Path(__file__).parent.parent
S = 1_000_000


def started(door, folder, **changes):
    """The command of the deploy file, as the platform starts it. -> the process, its log's path, its port."""
    port, = free_ports(1)
    path = folder / "own.json"
    path.write_text(json.dumps({**door.config, "listen": f"127.0.0.1:{port}", **changes}))
    command = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
    log = folder / "log"
    with open(log, "w") as out:
        process = subprocess.Popen(["/bin/sh", "-c", command], cwd=ROOT, stderr=out, stdout=out,
                                   env={**os.environ, "RELAY_CONFIG": str(path)})
    return process, log, port


def is_python(process):
    return b"lapiswing.node" in Path(f"/proc/{process.pid}/cmdline").read_bytes().split(b"\0")


def until_python(process):
    """The shell is not the program that `run` starts; the platform's signals go to the latter."""
    while not is_python(process):
        time.sleep(0.0005)


def test_a_new_configuration_while_the_program_still_loads_does_not_end_it(tmp_path):
    with Door(tmp_path, ("both", "both")) as door:
        process, log, port = started(door, tmp_path)
        try:
            until_python(process)

            def listens():
                process.send_signal(signal.SIGHUP)
                return process.poll() is not None or "listening" in log.read_text()
            door.until(listens, 20 * S)
            assert process.poll() is None, f"ended by {process.returncode}"
            door.port = port
            assert door.ask("a0").whole().status == 200
            process.send_signal(signal.SIGTERM)
            door.until(lambda: process.poll() is not None, 10 * S)
            assert process.returncode == 0
        finally:
            process.kill()


def test_a_stop_while_the_program_still_loads_ends_it_in_order(tmp_path):
    with Door(tmp_path, ("both", "both")) as door:
        process, log, _ = started(door, tmp_path)
        try:
            until_python(process)
            time.sleep(0.05)  # some 50 of 300 ms of loading: anywhere in it will do
            process.send_signal(signal.SIGTERM)
            assert process.wait(10) == 0
            assert "listening" not in log.read_text()
        finally:
            process.kill()
