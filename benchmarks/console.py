"""What consoles cost the reqs, and how soon a fault is on the screen.

    python -m benchmarks.console [--part load|findings] [--seconds 8] [--streams 500] [--seeds 20] [--jobs 4]

load      first-token times, longest turn of the loop and CPU of a gateway with 500 active streams, with 0, 1 and 10 consoles in
          pseudo-terminals (one on each view in turn), and the bytes a second that one console is sent
findings  the bad days' scripts: time from a fault to the first finding of any gateway; findings on quiet days, which are all false"""

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


PACE_MS = 80  # between two events of a stream: half of a core's work with 500 streams


class Console:
    def __init__(self, sock, view):
        self.pid, self.fd = pty.fork()
        if self.pid == 0:
            os.environ.update(TERM="xterm-256color", LC_ALL="C.UTF-8")
            os.execv(sys.executable, [sys.executable, "-m", "lapiswing", "console", "--at", sock])
        fcntl.ioctl(self.fd, termios.TIOCSWINSZ, struct.pack("HHHH", 40, 120, 0, 0))
        self.bytes, self.view, self.over = 0, view, False
        threading.Thread(target=self.read, daemon=True).start()

    def read(self):
        sent = False
        while not self.over:
            try:
                if select.select([self.fd], [], [], 0.2)[0]:
                    self.bytes += len(os.read(self.fd, 65536))
                    if not sent:
                        sent = True
                        os.write(self.fd, str(self.view).encode())
            except OSError:
                return

    def close(self):
        self.over = True
        os.kill(self.pid, 9)
        os.waitpid(self.pid, 0)


def load(consoles, streams, seconds):
    a, b, port = free_ports(3)
    folder = Path(tempfile.mkdtemp(prefix="lapiswing-bench-"))
    sock = str(folder / "gateway.sock")
    (folder / "s.txtpb").write_text(
        SETTINGS.format(
            port=port, servers="".join(f'box {{ id: "127.0.0.1:{p}" kind: "{k}" }}\n' for p, k in zip((a, b), ("rd", "wr")))
        )
        + f'admin {{ path: "{sock}" }}'
    )
    children, open_ones = [child("source", a, PACE_MS), child("source", b, PACE_MS)], []
    try:
        wait_port(a), wait_port(b)
        gateway = subprocess.Popen([sys.executable, "-m", "lapiswing", "serve", str(folder / "s.txtpb")])
        children.append(gateway)
        wait_port(port)
        loads = [child("load", port, streams // 2, seconds, stdout=subprocess.PIPE) for _ in range(2)]
        open_ones = [Console(sock, 1 + i % 6) for i in range(consoles)]
        time.sleep(1.6)
        cpu, start, lags = cpu_of(gateway.pid), time.monotonic(), []
        while time.monotonic() - start < seconds - 0.3:
            time.sleep(1)
            lags.append(ask(sock, "GET", "/v1/snapshot?parts=counts")["now"]["lag_us"])
        cpu = (cpu_of(gateway.pid) - cpu) / (time.monotonic() - start)
        sizes = {
            view: len(json.dumps(ask(sock, "GET", f"/v1/snapshot?parts={parts}")))
            for view, parts in (("overview", "boxes,counts,tenants,sessions,modes"), ("reqs", "reqs,counts"))
        }
        out = [json.loads(p.communicate(timeout=60)[0]) for p in loads]
        first = HdrHistogram(1, 60_000_000, 3)
        for o in out:
            first.decode_and_add(o["first"])
        return {
            "consoles": consoles,
            "streams": streams,
            "reqs_s": round(sum(o["reqs"] for o in out) / seconds, 1),
            "first_p50_ms": first.get_value_at_percentile(50) / 1000,
            "first_p99_ms": first.get_value_at_percentile(99) / 1000,
            "cpu": round(cpu, 3),
            "turn_ms_p50": round(statistics.median(lags) / 1000, 1),
            "turn_ms_most": round(max(lags) / 1000, 1),
            "bad": sum(o["bad"] for o in out),
            "snapshot_bytes": sizes,
            "terminal_bytes_s": round(sum(c.bytes for c in open_ones) / max(1, consoles) / seconds),
        }
    finally:
        for console in open_ones:
            console.close()
        for process in children:
            process.terminate()
        for process in children:
            process.wait(30)


FAULTS = {
    "hang": "silent",
    "writer-dies": "unreachable fails fast",
    "reader-dies": "unreachable fails fast",
    "fast-errors": "fails fast",
    "overload": "readers full writers full reader memory",
    "garbage": "fails fast",
}


def findings(seeds, jobs):
    days = [("quiet", s) for s in range(1, seeds + 1)] + [(n, s) for n in FAULTS for s in range(1, 6)]
    times = {}
    with ProcessPoolExecutor(jobs) as pool:
        results = list(pool.map(play_one, [(SCRIPTS[n], s, "module", None) for n, s in days]))
    false = 0
    for (name, seed), result in zip(days, results):
        if isinstance(result, str):
            click.echo(f"{name} {seed}: {result}")
        elif name == "quiet":
            false += sum(f["what"] == "begun" for f in result["findings"])
        else:
            starts = [s["at_ms"] for s in SCRIPTS[name](seed).script] or [0]
            found = [f["ms"] - min(starts) for f in result["findings"] if f["what"] == "begun" and f["kind"] in FAULTS[name]]
            times.setdefault(name, []).append(round(min(found)) if found else None)
    click.echo(json.dumps({"quiet_days": seeds, "false_findings": false}))
    for name, values in times.items():
        click.echo(json.dumps({"fault": name, "ms_to_first_finding": values}))


@click.command()
@click.option("--part", default="load")
@click.option("--seconds", default=8.0)
@click.option("--streams", default=500)
@click.option("--seeds", default=20)
@click.option("--jobs", default=4)
def main(part, seconds, streams, seeds, jobs):
    """What consoles cost, and how soon faults are found."""
    click.echo(f"# {os.cpu_count()} cores, Python {sys.version.split()[0]}")
    if part == "findings":
        return findings(seeds, jobs)
    for consoles in (0, 1, 10):
        click.echo(json.dumps(load(consoles, streams, seconds)))


if __name__ == "__main__":
    main()
