"""From exec to ready: signals that come while the program still loads."""

import json
import os
import signal
import subprocess
import time
import tomllib
from pathlib import Path

from platform_harness import PlatformHarness

from lapiswing.loop import free_ports
from lapiswing.node import __main__ as program

ROOT = Path(__file__).parent.parent
S = 1_000_000


def started(harness, folder, **changes):
    """The command of the deploy file, as the platform starts it. -> the process, its log's path, its port."""
    (port,) = free_ports(1)
    path = folder / "own.json"
    path.write_text(json.dumps({**harness.config, "listen": f"127.0.0.1:{port}", **changes}))
    command = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
    log = folder / "log"
    with open(log, "w") as out:
        process = subprocess.Popen(
            ["/bin/sh", "-c", command], cwd=ROOT, stderr=out, stdout=out, env={**os.environ, "RELAY_CONFIG": str(path)}
        )
    return process, log, port


def is_python(process):
    """The shell is not the program that `run` starts; the platform's signals go to the latter."""
    return b"lapiswing.node" in Path(f"/proc/{process.pid}/cmdline").read_bytes().split(b"\0")


def catches(process, number):
    caught = next(line for line in Path(f"/proc/{process.pid}/status").read_text().splitlines() if line.startswith("SigCgt"))
    return bool(int(caught.split()[1], 16) >> number - 1 & 1)


def test_a_new_configuration_while_the_program_still_loads_does_not_end_it(tmp_path):
    with PlatformHarness(tmp_path, ("both", "both")) as harness:
        process, log, port = started(harness, tmp_path)
        try:
            harness.until(lambda: is_python(process))

            def listens():
                process.send_signal(signal.SIGHUP)
                return process.poll() is not None or "listening" in log.read_text()

            harness.until(listens, 20 * S)
            assert process.poll() is None, f"ended by {process.returncode}"
            harness.port = port
            assert harness.ask("a0").wait_answer().status == 200
            process.send_signal(signal.SIGTERM)
            harness.until(lambda: process.poll() is not None, 10 * S)
            assert process.returncode == 0
        finally:
            process.kill()


def test_a_stop_while_the_program_still_loads_ends_it_in_order(tmp_path):
    with PlatformHarness(tmp_path, ("both", "both")) as harness:
        process, log, _ = started(harness, tmp_path)
        try:
            harness.until(lambda: is_python(process) and catches(process, signal.SIGTERM))
            process.send_signal(signal.SIGTERM)
            harness.until(lambda: process.poll() is not None)
            assert process.returncode == 0
            assert "listening" not in log.read_text()
        finally:
            process.kill()


def test_a_configuration_that_changes_right_after_it_was_read_is_not_missed(tmp_path, monkeypatch):
    """The signal comes in the very moment between reading the file and hearing signals on the loop."""
    with PlatformHarness(tmp_path, ("both", "both")) as harness:
        (port,) = free_ports(1)
        path = tmp_path / "own.json"
        path.write_text(json.dumps({**harness.config, "listen": f"127.0.0.1:{port}", "discovery": "127.0.0.1:9"}))
        load, nodes = program.Node.__init__, []

        def loaded(node, *args, **kwargs):
            load(node, *args, **kwargs)
            nodes.append(node)
            path.write_text(json.dumps({**harness.config, "listen": f"127.0.0.1:{port}"}))
            os.kill(os.getpid(), signal.SIGHUP)

        def run(node):
            end = time.monotonic() + 5
            while time.monotonic() < end and node.discovery.address[1] == 9:
                node.loop.turn(50_000)

        monkeypatch.setattr(program.Node, "__init__", loaded)
        monkeypatch.setattr(program.Node, "run", run)
        monkeypatch.setenv("RELAY_CONFIG", str(path))
        handlers = {number: signal.getsignal(number) for number in (signal.SIGHUP, signal.SIGTERM, signal.SIGINT, signal.SIGUSR1)}
        program.EARLY.install()  # as the program does first of all
        try:
            program.main()
            assert nodes[0].discovery.address == ("127.0.0.1", int(harness.config["discovery"].split(":")[1]))
        finally:
            signal.set_wakeup_fd(-1)
            for number, handler in handlers.items():
                signal.signal(number, handler)
            program.EARLY.reload_requested = False
            nodes[0].close()
