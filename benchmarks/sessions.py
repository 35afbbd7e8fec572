"""WebSocket sessions beside plain streams.

    python -m benchmarks.sessions [--part rate|idle|turns|return|all] [--seconds 5]

rate    the same streams as plain calls and over sessions of 20: events a second, CPU of the gateway for each
idle    memory of the gateway for each of 2,000 idle sessions, and for each of 500 with one stream
turns   gaps between the events of a session with one stream, beside a session with 200, turns fair and first come
return  1,000 sessions drop together and come back together: how long until each has its next event"""

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

MARK = b'"object":"chat.completion.chunk"'


class Talker:
    """A session with `n` streams, each asking anew when it has ended (with `lasts`, asking once for that many)."""

    def __init__(self, crowd, n, lasts=None):
        self.crowd, self.n, self.lasts, self.token, self.seen, self.tail = crowd, n, lasts, None, {}, b""
        self.asked = self.last_us = 0
        self.stream = None
        self.connect()

    def connect(self):
        connect(self.crowd.loop, ("127.0.0.1", self.crowd.port), 10_000_000, self.connected)

    def connected(self, stream, why):
        if stream is None:
            self.crowd.failed += 1
            return
        self.stream, stream.owner = stream, self
        self.frames = WSConnection(ConnectionType.CLIENT)
        self.greeted = False
        stream.write(self.frames.send(Request(host="x", target="/v1/chat/sessions")))

    def say(self, **fields):
        self.stream.write(self.frames.send(TextMessage(orjson.dumps(fields).decode())))

    def ask(self):
        self.asked += 1
        length = self.lasts or LENGTHS[(self.asked * 17) % len(LENGTHS)]
        self.say(
            type="call",
            id=f"c{self.asked}",
            body={"model": "q", "stream": True, "max_tokens": length, "x": 0, "messages": [{"role": "user", "content": "soup?"}]},
        )

    def on_data(self, data):
        if not self.greeted:  # the handshake, by the library; what follows is only counted
            self.tail += data
            if b"\r\n\r\n" not in self.tail:
                return
            head, _, data = self.tail.partition(b"\r\n\r\n")
            self.frames.receive_data(head + b"\r\n\r\n")
            list(self.frames.events())
            self.greeted, self.tail = True, b""
            if self.token:
                self.say(type="resume", token=self.token, seen=self.seen)
        whole = self.tail + data
        if self.token is None and b'"token":"' in whole:
            self.token = whole.split(b'"token":"', 1)[1].split(b'"', 1)[0].decode()
            for _ in range(self.n):
                self.ask()
        n, ends = whole.count(MARK), whole.count(b'"type":"final"')
        now = self.crowd.loop.clock.now_us()
        if n:
            self.crowd.saw(self, n, now)
        for _ in range(ends if not self.lasts else 0):
            self.ask()
        # A mark that is cut stays; one that was counted does not.
        keep = max(whole.rfind(MARK) + len(MARK), whole.rfind(b'"type":"final"') + 14, len(whole) - len(MARK) + 1, 0)
        self.tail = whole[keep:] if self.token else whole

    def on_eof(self):
        self.stream.abort()

    def on_closed(self, why):
        pass

    def on_drained(self):
        pass


class Crowd:
    def __init__(self, loop, port, seconds):
        self.loop, self.port, self.failed = loop, port, 0
        self.begin = loop.clock.now_us() + 1_500_000
        self.end = self.begin + round(seconds * 1e6)
        self.events, self.gaps = 0, HdrHistogram(1, 60_000_000, 3)

    def saw(self, talker, n, now):
        if self.begin <= now < self.end:
            self.events += n
            if talker.n == 1 and talker.last_us:
                self.gaps.record_value(max(1, now - talker.last_us))
        talker.last_us = now


def role(name, args):
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
    crowd = Crowd(loop, port, seconds)
    lasts = int(args[4]) if len(args) > 4 else None
    talkers = []
    for i in range(sessions):
        loop.call_later(1000 + i * 800_000 // sessions, lambda: talkers.append(Talker(crowd, streams, lasts)))
    if name == "return":
        loop.call_at(crowd.begin + 1_000_000, loop.stop)
        loop.run()
        for t in talkers:
            t.stream.abort()
        crowd.waiting, start = set(talkers), loop.clock.now_us()
        crowd.saw = lambda talker, n, now: crowd.waiting.discard(talker)
        for t in talkers:
            # Only the last event counts as not seen, so that there is one to come at once.
            t.seen, t.tail = {}, b""
            t.connect()
        loop.run_until(lambda: not crowd.waiting, 60_000_000)
        print(
            json.dumps(
                {"sessions": sessions, "all_served_ms": (loop.clock.now_us() - start) // 1000, "not_served": len(crowd.waiting)}
            )
        )
        return None
    loop.call_at(crowd.end + 100_000, loop.stop)
    loop.run()
    print(
        json.dumps(
            {
                "events": crowd.events,
                "failed": crowd.failed,
                "gap_p50_ms": crowd.gaps.get_value_at_percentile(50) / 1000,
                "gap_p99_ms": crowd.gaps.get_value_at_percentile(99) / 1000,
            }
        )
    )
    return None


def mine(*args, **more):
    return subprocess.Popen([sys.executable, "-m", "benchmarks.sessions", "--role", *map(str, args)], **more)


class Setting:
    """Two sources and a gateway."""

    def __init__(self, pace, fair=True, more=""):
        a, b, self.port = free_ports(3)
        self.children = [child("source", a, pace), child("source", b, pace)]
        wait_port(a), wait_port(b)
        file = Path(tempfile.mkdtemp(prefix="lapiswing-bench-")) / "s.txtpb"
        file.write_text(
            SETTINGS.format(port=self.port, servers=more + "".join(f'box {{ id: "127.0.0.1:{p}" kind: "mx" }}\n' for p in (a, b)))
        )
        self.gateway = (
            subprocess.Popen([sys.executable, "-m", "lapiswing", "serve", str(file)]) if fair else mine("gateway", file)
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
        time.sleep(1.8)
        start, cpu = time.monotonic(), cpu_of(self.gateway.pid)
        time.sleep(seconds - 0.6)
        return (cpu_of(self.gateway.pid) - cpu) / (time.monotonic() - start)


def tell(**row):
    click.echo("  ".join(f"{k} {v}" for k, v in row.items()))


LARGE = "sessions { reqs: 1000 session_bytes: 2000000 }\n"


def rate(seconds):
    for pace, streams in ((40, 400), (0, 400)):
        for kind in ("plain", "sessions"):
            with Setting(pace, more=LARGE) as s:
                if kind == "plain":
                    loads = [child("load", s.port, streams // 2, seconds, stdout=subprocess.PIPE) for _ in range(2)]
                else:
                    loads = [mine("load", s.port, streams // 40, 20, seconds, stdout=subprocess.PIPE) for _ in range(2)]
                cpu = s.cpu_during(seconds)
                events = sum(json.loads(p.communicate(timeout=90)[0])["events"] for p in loads) / seconds
                tell(
                    part="rate",
                    kind=kind,
                    streams=streams,
                    pace_ms=pace,
                    events_s=round(events),
                    cpu=round(cpu, 3),
                    cpu_us_event=round(cpu / events * 1e6, 2),
                )


def idle(_seconds):
    with Setting(40, more=LARGE) as s:
        before = memory_of(s.gateway.pid)
        load = mine("load", s.port, 2000, 0, 6, stdout=subprocess.PIPE)
        time.sleep(5)
        tell(part="idle", sessions=2000, bytes_session=round((memory_of(s.gateway.pid) - before) / 2000))
        load.communicate(timeout=60)
    with Setting(40, more=LARGE) as s:
        before = memory_of(s.gateway.pid)
        load = mine("load", s.port, 500, 1, 6, stdout=subprocess.PIPE)
        time.sleep(5)
        tell(part="active", sessions=500, bytes_session=round((memory_of(s.gateway.pid) - before) / 500))
        load.communicate(timeout=60)


def turns(seconds):
    for fair in (True, False):
        with Setting(0, fair, LARGE) as s:
            small = mine("load", s.port, 1, 1, seconds, stdout=subprocess.PIPE)
            big = mine("load", s.port, 1, 200, seconds, stdout=subprocess.PIPE)
            row = json.loads(small.communicate(timeout=90)[0])
            events = json.loads(big.communicate(timeout=90)[0])["events"] / seconds
            tell(
                part="turns",
                fair=fair,
                big_events_s=round(events),
                small_events_s=round(row["events"] / seconds),
                gap_p50_ms=row["gap_p50_ms"],
                gap_p99_ms=row["gap_p99_ms"],
            )


def back(_seconds):
    with Setting(200, more=LARGE) as s:
        load = mine("return", s.port, 1000, 1, 3, 2000, stdout=subprocess.PIPE)
        tell(part="return", **json.loads(load.communicate(timeout=120)[0]))


@click.command()
@click.option("--role", "as_role", hidden=True)
@click.option("--part", default="all")
@click.option("--seconds", default=5.0)
@click.argument("args", nargs=-1)
def main(as_role, part, seconds, args):
    """Sessions beside plain streams."""
    if as_role:
        return role(as_role, args)
    parts = {"rate": rate, "idle": idle, "turns": turns, "return": back}
    for name in parts if part == "all" else [part]:
        parts[name](seconds)


if __name__ == "__main__":
    main()
