"""Signals that arrive between exec and readiness, while the program is loading."""

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


def start(harness, folder, **changes):
    """Runs the command of the deploy file as the platform does. -> the process, the path of its log, its port."""
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
    """Whether the shell has been replaced by the program, to which the platform sends its signals."""
    return b"lapiswing.node" in Path(f"/proc/{process.pid}/cmdline").read_bytes().split(b"\0")


def catches(process, number):
    """Whether the process has a handler for the signal."""
    mask = next(line for line in Path(f"/proc/{process.pid}/status").read_text().splitlines() if line.startswith("SigCgt"))
    return bool(int(mask.split()[1], 16) >> number - 1 & 1)


def test_a_new_configuration_during_loading_does_not_end_the_program(tmp_path):
    with PlatformHarness(tmp_path, ("both", "both")) as harness:
        process, log, port = start(harness, tmp_path)
        try:
            harness.until(lambda: is_python(process))

            def signal_until_listening():
                process.send_signal(signal.SIGHUP)
                return process.poll() is not None or "listening" in log.read_text()

            harness.until(signal_until_listening, 20 * S)
            assert process.poll() is None, f"ended by {process.returncode}"
            harness.port = port
            harness.wait_ready()
            assert harness.ask("a0").wait_answer().status == 200
            process.send_signal(signal.SIGTERM)
            harness.until(lambda: process.poll() is not None, 10 * S)
            assert process.returncode == 0
        finally:
            process.kill()


def test_a_stop_during_loading_ends_the_program_cleanly(tmp_path):
    with PlatformHarness(tmp_path, ("both", "both")) as harness:
        process, log, _ = start(harness, tmp_path)
        try:
            harness.until(lambda: is_python(process) and catches(process, signal.SIGTERM))
            process.send_signal(signal.SIGTERM)
            harness.until(lambda: process.poll() is not None)
            assert process.returncode == 0
            assert "listening" not in log.read_text()
        finally:
            process.kill()


def test_a_configuration_that_changes_right_after_it_was_read_is_not_missed(tmp_path, monkeypatch):
    """The signal arrives after the file was read and before the loop handles signals."""
    with PlatformHarness(tmp_path, ("both", "both")) as harness:
        (port,) = free_ports(1)
        path = tmp_path / "own.json"
        path.write_text(json.dumps({**harness.config, "listen": f"127.0.0.1:{port}", "discovery": "127.0.0.1:9"}))
        init, nodes = program.Node.__init__, []

        def init_and_change(node, *args, **kwargs):
            init(node, *args, **kwargs)
            nodes.append(node)
            path.write_text(json.dumps({**harness.config, "listen": f"127.0.0.1:{port}"}))
            os.kill(os.getpid(), signal.SIGHUP)

        def run(node):
            end = time.monotonic() + 5
            while time.monotonic() < end and node.discovery.address[1] == 9:
                node.loop.turn(50_000)

        monkeypatch.setattr(program.Node, "__init__", init_and_change)
        monkeypatch.setattr(program.Node, "run", run)
        monkeypatch.setenv("RELAY_CONFIG", str(path))
        handlers = {number: signal.getsignal(number) for number in (signal.SIGHUP, signal.SIGTERM, signal.SIGINT, signal.SIGUSR1)}
        program.EARLY.install()  # as the program does first
        try:
            program.main()
            assert nodes[0].discovery.address == ("127.0.0.1", int(harness.config["discovery"].split(":")[1]))
        finally:
            signal.set_wakeup_fd(-1)
            for number, handler in handlers.items():
                signal.signal(number, handler)
            program.EARLY.reload_requested = False
            nodes[0].close()
