"""Compares WebSocket sessions with plain HTTP streams.

    python -m benchmarks.sessions [--part rate|idle|turns|return|all] [--seconds 5]

rate    the same streams as plain requests and in sessions of 20 streams: events per second, CPU of the gateway per event
idle    memory of the gateway per session, for 2,000 idle sessions and for 500 with one stream each
turns   gaps between the events of a session with one stream beside a session with 200, with fair and first-come scheduling
return  1,000 sessions disconnect and reconnect together: time until each has received its next event"""

import json
import subprocess
import sys
import tempfile
import time
from pathlib import Path

import click
import orjson
from hdrh.histogram import HdrHistogram
from wsproto import ConnectionType, WSConnection
from wsproto.events import Request, TextMessage

from benchmarks.streams import LENGTHS, SETTINGS, child, cpu_of, free_ports, memory_of, wait_port
from lapiswing.loop import Clock, Loop, connect

EVENT_MARK = b'"object":"chat.completion.chunk"'


class SessionClient:
    """A session with `stream_count` streams. Each stream sends a new request when it has ended; with `length`, each sends a
    single request for that many events."""

    def __init__(self, load, stream_count, length=None):
        self.load, self.stream_count, self.length, self.token, self.seen, self.tail = load, stream_count, length, None, {}, b""
        self.asked = self.last_us = 0
        self.stream = None
        self.connect()

    def connect(self):
        connect(self.load.loop, ("127.0.0.1", self.load.port), 10_000_000, self.connected)

    def connected(self, stream, why):
        if stream is None:
            self.load.failed += 1
            return
        self.stream, stream.owner = stream, self
        self.frames = WSConnection(ConnectionType.CLIENT)
        self.upgraded = False
        stream.write(self.frames.send(Request(host="x", target="/v1/chat/sessions")))

    def send(self, **fields):
        """Sends a message of the session protocol."""
        self.stream.write(self.frames.send(TextMessage(orjson.dumps(fields).decode())))

    def request(self):
        """Starts the next stream."""
        self.asked += 1
        length = self.length or LENGTHS[(self.asked * 17) % len(LENGTHS)]
        self.send(
            type="call",
            id=f"c{self.asked}",
            body={"model": "q", "stream": True, "max_tokens": length, "x": 0, "messages": [{"role": "user", "content": "soup?"}]},
        )

    def on_data(self, data):
        if not self.upgraded:  # the library handles the handshake; later data is only searched for events
            self.tail += data
            if b"\r\n\r\n" not in self.tail:
                return
            head, _, data = self.tail.partition(b"\r\n\r\n")
            self.frames.receive_data(head + b"\r\n\r\n")
            list(self.frames.events())
            self.upgraded, self.tail = True, b""
            if self.token:
                self.send(type="resume", token=self.token, seen=self.seen)
        buffered = self.tail + data
        if self.token is None and b'"token":"' in buffered:
            self.token = buffered.split(b'"token":"', 1)[1].split(b'"', 1)[0].decode()
            for _ in range(self.stream_count):
                self.request()
        event_count, ended = buffered.count(EVENT_MARK), buffered.count(b'"type":"final"')
        now_us = self.load.loop.clock.now_us()
        if event_count:
            self.load.on_events(self, event_count, now_us)
        for _ in range(ended if not self.length else 0):
            self.request()
        # Keeps a mark that is split between two reads, and drops those that were counted.
        keep_from = max(
            buffered.rfind(EVENT_MARK) + len(EVENT_MARK),
            buffered.rfind(b'"type":"final"') + 14,
            len(buffered) - len(EVENT_MARK) + 1,
            0,
        )
        self.tail = buffered[keep_from:] if self.token else buffered

    def on_eof(self):
        self.stream.abort()

    def on_closed(self, why):
        pass

    def on_drained(self):
        pass


class SessionLoad:
    """Counts the events of all sessions, and the gaps between the events of sessions with one stream."""

    def __init__(self, loop, port, seconds):
        self.loop, self.port, self.failed = loop, port, 0
        self.begin = loop.clock.now_us() + 1_500_000
        self.end = self.begin + round(seconds * 1e6)
        self.events, self.gaps = 0, HdrHistogram(1, 60_000_000, 3)

    def on_events(self, client, event_count, now_us):
        if self.begin <= now_us < self.end:
            self.events += event_count
            if client.stream_count == 1 and client.last_us:
                self.gaps.record_value(max(1, now_us - client.last_us))
        client.last_us = now_us


def role(name, args):
    """A child process: gateway FILE (first-come scheduling), or load|return PORT SESSIONS STREAMS SECONDS [LENGTH]."""
    loop = Loop(Clock())
    if name == "gateway":
        from lapiswing.cli.common import read_settings
        from lapiswing.cli.main import run
        from lapiswing.gateway.serve import Gateway
        from lapiswing.observe import start_logs
        from lapiswing.settings import load_text

        gateway = Gateway(read_settings(args[0], load_text), start_logs("warning"))
        gateway.sessions.book.fair = False
        return run(gateway)
    port, sessions, streams, seconds = int(args[0]), int(args[1]), int(args[2]), float(args[3])
    load = SessionLoad(loop, port, seconds)
    length = int(args[4]) if len(args) > 4 else None
    clients = []
    for index in range(sessions):
        loop.call_later(1000 + index * 800_000 // sessions, lambda: clients.append(SessionClient(load, streams, length)))
    if name == "return":
        loop.call_at(load.begin + 1_000_000, loop.stop)
        loop.run()
        for client in clients:
            client.stream.abort()
        load.waiting, start_us = set(clients), loop.clock.now_us()
        load.on_events = lambda client, event_count, now_us: load.waiting.discard(client)
        for client in clients:
            # No event is acknowledged, so that the gateway has one to send at once.
            client.seen, client.tail = {}, b""
            client.connect()
        loop.run_until(lambda: not load.waiting, 60_000_000)
        print(
            json.dumps(
                {"sessions": sessions, "all_served_ms": (loop.clock.now_us() - start_us) // 1000, "not_served": len(load.waiting)}
            )
        )
        return None
    loop.call_at(load.end + 100_000, loop.stop)
    loop.run()
    print(
        json.dumps(
            {
                "events": load.events,
                "failed": load.failed,
                "gap_p50_ms": load.gaps.get_value_at_percentile(50) / 1000,
                "gap_p99_ms": load.gaps.get_value_at_percentile(99) / 1000,
            }
        )
    )
    return None


def session_child(*args, **options):
    """Starts a child process of this module in the role that `args` name."""
    return subprocess.Popen([sys.executable, "-m", "benchmarks.sessions", "--role", *map(str, args)], **options)


class BenchmarkProcesses:
    """Two sources and a gateway. `fair`: fair scheduling of sessions, the default of the gateway; `more`: further settings."""

    def __init__(self, pace, fair=True, more=""):
        port_a, port_b, self.port = free_ports(3)
        self.children = [child("source", port_a, pace), child("source", port_b, pace)]
        wait_port(port_a), wait_port(port_b)
        file = Path(tempfile.mkdtemp(prefix="lapiswing-bench-")) / "s.txtpb"
        file.write_text(
            SETTINGS.format(
                port=self.port,
                servers=more + "".join(f'box {{ id: "127.0.0.1:{port}" kind: "mx" }}\n' for port in (port_a, port_b)),
            )
        )
        self.gateway = (
            subprocess.Popen([sys.executable, "-m", "lapiswing", "serve", str(file)]) if fair else session_child("gateway", file)
        )
        self.children.append(self.gateway)
        wait_port(self.port)

    def __enter__(self):
        return self

    def __exit__(self, *_):
        for process in self.children:
            process.kill()
        for process in self.children:
            process.wait(30)

    def cpu_during(self, seconds):
        """-> the share of a core that the gateway uses while the load runs."""
        time.sleep(1.8)
        start_s, cpu_before_s = time.monotonic(), cpu_of(self.gateway.pid)
        time.sleep(seconds - 0.6)
        return (cpu_of(self.gateway.pid) - cpu_before_s) / (time.monotonic() - start_s)


def print_row(**row):
    click.echo("  ".join(f"{name} {value}" for name, value in row.items()))


LARGE_SESSIONS = "sessions { reqs: 1000 session_bytes: 2000000 }\n"


def rate(seconds):
    """Prints the rows of the part `rate`."""
    for pace, streams in ((40, 400), (0, 400)):
        for kind in ("plain", "sessions"):
            with BenchmarkProcesses(pace, more=LARGE_SESSIONS) as processes:
                if kind == "plain":
                    loads = [child("load", processes.port, streams // 2, seconds, stdout=subprocess.PIPE) for _ in range(2)]
                else:
                    loads = [
                        session_child("load", processes.port, streams // 40, 20, seconds, stdout=subprocess.PIPE)
                        for _ in range(2)
                    ]
                core_share = processes.cpu_during(seconds)
                events_per_s = sum(json.loads(process.communicate(timeout=90)[0])["events"] for process in loads) / seconds
                print_row(
                    part="rate",
                    kind=kind,
                    streams=streams,
                    pace_ms=pace,
                    events_s=round(events_per_s),
                    cpu=round(core_share, 3),
                    cpu_us_event=round(core_share / events_per_s * 1e6, 2),
                )


def idle(_seconds):
    """Prints the rows of the part `idle`."""
    with BenchmarkProcesses(40, more=LARGE_SESSIONS) as processes:
        bytes_before = memory_of(processes.gateway.pid)
        load = session_child("load", processes.port, 2000, 0, 6, stdout=subprocess.PIPE)
        time.sleep(5)
        print_row(part="idle", sessions=2000, bytes_session=round((memory_of(processes.gateway.pid) - bytes_before) / 2000))
        load.communicate(timeout=60)
    with BenchmarkProcesses(40, more=LARGE_SESSIONS) as processes:
        bytes_before = memory_of(processes.gateway.pid)
        load = session_child("load", processes.port, 500, 1, 6, stdout=subprocess.PIPE)
        time.sleep(5)
        print_row(part="active", sessions=500, bytes_session=round((memory_of(processes.gateway.pid) - bytes_before) / 500))
        load.communicate(timeout=60)


def turns(seconds):
    """Prints the rows of the part `turns`."""
    for fair in (True, False):
        with BenchmarkProcesses(0, fair, LARGE_SESSIONS) as processes:
            small = session_child("load", processes.port, 1, 1, seconds, stdout=subprocess.PIPE)
            large = session_child("load", processes.port, 1, 200, seconds, stdout=subprocess.PIPE)
            small_report = json.loads(small.communicate(timeout=90)[0])
            large_events_per_s = json.loads(large.communicate(timeout=90)[0])["events"] / seconds
            print_row(
                part="turns",
                fair=fair,
                big_events_s=round(large_events_per_s),
                small_events_s=round(small_report["events"] / seconds),
                gap_p50_ms=small_report["gap_p50_ms"],
                gap_p99_ms=small_report["gap_p99_ms"],
            )


def reconnect(_seconds):
    """Prints the row of the part `return`."""
    with BenchmarkProcesses(200, more=LARGE_SESSIONS) as processes:
        load = session_child("return", processes.port, 1000, 1, 3, 2000, stdout=subprocess.PIPE)
        print_row(part="return", **json.loads(load.communicate(timeout=120)[0]))


@click.command()
@click.option("--role", "as_role", hidden=True)
@click.option("--part", default="all")
@click.option("--seconds", default=5.0)
@click.argument("args", nargs=-1)
def main(as_role, part, seconds, args):
    """Compares WebSocket sessions with plain HTTP streams."""
    if as_role:
        return role(as_role, args)
    parts = {"rate": rate, "idle": idle, "turns": turns, "return": reconnect}
    for name in parts if part == "all" else [part]:
        parts[name](seconds)


if __name__ == "__main__":
    main()
