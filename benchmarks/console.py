"""Effect of consoles on requests, and time until a fault is shown.

    python -m benchmarks.console [--part load|findings] [--seconds 8] [--streams 500] [--seeds 20] [--jobs 4]

load      time to first token, longest event loop iteration and CPU of a gateway with 500 active streams and with 0, 1 and 10
          consoles in pseudo-terminals (spread over the views), and the bytes per second that one console receives
findings  fault scripts: time from a fault to the first finding of any gateway; findings on scripts without faults, which are
          all false"""

import fcntl
import json
import os
import pty
import select
import statistics
import struct
import subprocess
import sys
import tempfile
import termios
import threading
import time
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

import click
from hdrh.histogram import HdrHistogram

from benchmarks.streams import SETTINGS, child, cpu_of, wait_port
from lapiswing.admin.client import ask
from lapiswing.lab.play import play_one
from lapiswing.lab.scripts import SCRIPTS
from lapiswing.loop import free_ports


PACE_MS = 80  # between two events of a stream: half of a core with 500 streams


class Console:
    """A console process in a pseudo-terminal, on one of its views; counts the bytes it prints."""

    def __init__(self, socket_path, view):
        self.pid, self.fd = pty.fork()
        if self.pid == 0:
            os.environ.update(TERM="xterm-256color", LC_ALL="C.UTF-8")
            os.execv(sys.executable, [sys.executable, "-m", "lapiswing", "console", "--at", socket_path])
        fcntl.ioctl(self.fd, termios.TIOCSWINSZ, struct.pack("HHHH", 40, 120, 0, 0))
        self.bytes, self.view, self.over = 0, view, False
        threading.Thread(target=self.read, daemon=True).start()

    def read(self):
        view_chosen = False
        while not self.over:
            try:
                if select.select([self.fd], [], [], 0.2)[0]:
                    self.bytes += len(os.read(self.fd, 65536))
                    if not view_chosen:
                        view_chosen = True
                        os.write(self.fd, str(self.view).encode())
            except OSError:
                return

    def close(self):
        self.over = True
        os.kill(self.pid, 9)
        os.waitpid(self.pid, 0)


def load(consoles, streams, seconds):
    """-> one row of the part `load`"""
    port_a, port_b, port = free_ports(3)
    folder = Path(tempfile.mkdtemp(prefix="lapiswing-bench-"))
    socket_path = str(folder / "gateway.sock")
    (folder / "s.txtpb").write_text(
        SETTINGS.format(
            port=port,
            servers="".join(
                f'box {{ id: "127.0.0.1:{server_port}" kind: "{kind}" }}\n'
                for server_port, kind in zip((port_a, port_b), ("rd", "wr"))
            ),
        )
        + f'admin {{ path: "{socket_path}" }}'
    )
    children, open_consoles = [child("source", port_a, PACE_MS), child("source", port_b, PACE_MS)], []
    try:
        wait_port(port_a), wait_port(port_b)
        gateway = subprocess.Popen([sys.executable, "-m", "lapiswing", "serve", str(folder / "s.txtpb")])
        children.append(gateway)
        wait_port(port)
        loads = [child("load", port, streams // 2, seconds, stdout=subprocess.PIPE) for _ in range(2)]
        open_consoles = [Console(socket_path, 1 + index % 6) for index in range(consoles)]
        time.sleep(1.6)
        cpu_before_s, start_s, lags_us = cpu_of(gateway.pid), time.monotonic(), []
        while time.monotonic() - start_s < seconds - 0.3:
            time.sleep(1)
            lags_us.append(ask(socket_path, "GET", "/v1/snapshot?parts=counts")["now"]["lag_us"])
        core_share = (cpu_of(gateway.pid) - cpu_before_s) / (time.monotonic() - start_s)
        sizes = {
            view: len(json.dumps(ask(socket_path, "GET", f"/v1/snapshot?parts={parts}")))
            for view, parts in (("overview", "boxes,counts,tenants,sessions,modes"), ("reqs", "reqs,counts"))
        }
        reports = [json.loads(process.communicate(timeout=60)[0]) for process in loads]
        first_token_us = HdrHistogram(1, 60_000_000, 3)
        for report in reports:
            first_token_us.decode_and_add(report["first"])
        return {
            "consoles": consoles,
            "streams": streams,
            "reqs_s": round(sum(report["reqs"] for report in reports) / seconds, 1),
            "first_p50_ms": first_token_us.get_value_at_percentile(50) / 1000,
            "first_p99_ms": first_token_us.get_value_at_percentile(99) / 1000,
            "cpu": round(core_share, 3),
            "turn_ms_p50": round(statistics.median(lags_us) / 1000, 1),
            "turn_ms_most": round(max(lags_us) / 1000, 1),
            "bad": sum(report["bad"] for report in reports),
            "snapshot_bytes": sizes,
            "terminal_bytes_s": round(sum(console.bytes for console in open_consoles) / max(1, consoles) / seconds),
        }
    finally:
        for console in open_consoles:
            console.close()
        for process in children:
            process.terminate()
        for process in children:
            process.wait(30)


FAULTS = {  # script -> kinds of the findings that detect its fault
    "hang": "silent",
    "writer-dies": "unreachable fails fast",
    "reader-dies": "unreachable fails fast",
    "fast-errors": "fails fast",
    "overload": "readers full writers full reader memory",
    "garbage": "fails fast",
}


def findings(seeds, jobs):
    """Prints the rows of the part `findings`."""
    runs = [("quiet", seed) for seed in range(1, seeds + 1)] + [(name, seed) for name in FAULTS for seed in range(1, 6)]
    times_ms = {}
    with ProcessPoolExecutor(jobs) as pool:
        results = list(pool.map(play_one, [(SCRIPTS[name], seed, "module", None) for name, seed in runs]))
    false_findings = 0
    for (name, seed), result in zip(runs, results):
        if isinstance(result, str):
            click.echo(f"{name} {seed}: {result}")
        elif name == "quiet":
            false_findings += sum(finding["what"] == "begun" for finding in result["findings"])
        else:
            starts_ms = [step["at_ms"] for step in SCRIPTS[name](seed).script] or [0]
            found_ms = [
                finding["ms"] - min(starts_ms)
                for finding in result["findings"]
                if finding["what"] == "begun" and finding["kind"] in FAULTS[name]
            ]
            times_ms.setdefault(name, []).append(round(min(found_ms)) if found_ms else None)
    click.echo(json.dumps({"quiet_days": seeds, "false_findings": false_findings}))
    for name, values in times_ms.items():
        click.echo(json.dumps({"fault": name, "ms_to_first_finding": values}))


@click.command()
@click.option("--part", default="load")
@click.option("--seconds", default=8.0)
@click.option("--streams", default=500)
@click.option("--seeds", default=20)
@click.option("--jobs", default=4)
def main(part, seconds, streams, seeds, jobs):
    """Effect of consoles on requests, and time until faults are found."""
    click.echo(f"# {os.cpu_count()} cores, Python {sys.version.split()[0]}")
    if part == "findings":
        return findings(seeds, jobs)
    for consoles in (0, 1, 10):
        click.echo(json.dumps(load(consoles, streams, seconds)))


if __name__ == "__main__":
    main()
