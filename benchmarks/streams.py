"""The same streamed load straight to a source, through a bare byte relay, and through the gateway.

    python -m benchmarks.streams [--seconds 6] [--streams 1,100,1000] [--json]

Each row is one path at one number of streams: reqs and events a second, time to the first token, CPU of the process in
the middle for each req and event, its memory for each open stream, and for the gateway the share of `round` in its time.
The source and the clients are the same programs for all paths; sources and clients are two processes each, so that the
one process in the middle is what is measured. `--pace` sets the ms between events of one stream; 0 is as fast as it
goes."""

import json
import os
import signal
import subprocess
import sys
import tempfile
import time
from pathlib import Path

import click
import orjson
from hdrh.histogram import HdrHistogram

from lapiswing.chat import DONE, encode_event
from lapiswing.http1 import Limits, Pool, Server
from lapiswing.loop import Clock, Listener, Loop, Stream, connect, free_ports, listen_socket

LENGTHS = range(30, 91)  # events of one answer, in turn
TICK = os.sysconf("SC_CLK_TCK")
SETTINGS = """
gateway {{ name: "bench" seed: 1 }}
listen {{ port: {port} connections: 20000 }}
group {{ name: "q" effect: REPLAYABLE target_ms: 30000 deadline_ms: 60000 stream_idle_ms: 60000 resume: true }}
kind {{ name: "rd" role: READ memory_tokens: 100000000 }}
kind {{ name: "wr" role: WRITE memory_tokens: 100000000 }}
kind {{ name: "mx" role: BOTH memory_tokens: 100000000 }}
limits {{ connections_per_box: 4000 }}
log {{ level: "warning" }}
{boxes}
"""


# ---- the three programs


class Source:
    """A box that costs as little as can be: it answers reads at once and sends one event to each stream every `pace`
    ms. Streams have phases of their own, spread over a pace, and the lengths that their calls ask for."""

    def __init__(self, loop, port, pace_ms):
        self.loop, self.slots, self.count = loop, [[] for _ in range(max(1, round(pace_ms)))], 0
        self.server = Server(loop, self.app, Limits(connections=20000))
        self.server.listener = Listener(loop, listen_socket("127.0.0.1", port), self.server.accept, 20000)
        frame = {"id": "chatcmpl-x", "object": "chat.completion.chunk", "created": 0, "model": "q"}
        self.part = encode_event({**frame, "choices": [{"index": 0, "delta": {"content": "soup "}, "finish_reason": None}]})
        self.last = encode_event({**frame, "choices": [{"index": 0, "delta": {}, "finish_reason": "stop"}]}) + DONE
        self.read = orjson.dumps(
            {"usage": {"prompt_tokens": 9}, "kv_transfer_params": {"do_remote_prefill": True, "remote_engine_id": "x"}}
        )
        self.tick_us, self.at = (1000 if pace_ms else 200), 0
        self.due_us = loop.clock.now_us()
        loop.call_later(self.tick_us, self.step)

    def app(self, exchange):
        if exchange.method == b"DELETE":
            return exchange.json(200, {})
        if b'"do_remote_decode":true' in exchange.body:
            return exchange.respond(200, self.read)
        exchange.begin(200, [(b"content-type", b"text/event-stream")])
        exchange.send(self.part)
        length = int(exchange.body.split(b'"max_tokens":', 1)[1].split(b",", 1)[0])
        # Its next event comes a pace from now: into the slot that was just served.
        self.slots[self.at - 1].append([exchange, length - 1])

    def step(self):
        self.due_us = max(self.due_us + self.tick_us, self.loop.clock.now_us() - 20 * self.tick_us)
        self.loop.call_at(self.due_us, self.step)
        live = []
        for stream in self.slots[self.at]:
            exchange = stream[0]
            if exchange.over:
                continue
            if not exchange.full:
                stream[1] -= 1
                if not stream[1]:
                    exchange.send(self.last)
                    exchange.end()
                    continue
                exchange.send(self.part)
            live.append(stream)
        self.slots[self.at] = live
        self.at = (self.at + 1) % len(self.slots)


class Relay:
    """Bytes from one socket to another, on the same loop: what any program in the middle must do at least."""

    def __init__(self, loop, port, to):
        self.loop, self.to, self.turn = loop, to, 0
        Listener(loop, listen_socket("127.0.0.1", port), self.accept, 20000)

    def accept(self, stream, _peer):
        Half(self, stream)


class Half:
    def __init__(self, relay, stream, other=None):
        self.stream, self.other = stream, other
        stream.owner = self
        if other is None:
            stream.pause()
            relay.turn += 1
            connect(relay.loop, relay.to[relay.turn % len(relay.to)], 1_000_000, self.joined)
            self.relay = relay

    def joined(self, stream: Stream, why):
        if stream is None or self.stream.closed:
            return self.stream.abort()
        self.other = Half(self.relay, stream, self)
        self.stream.resume()

    def on_data(self, data):
        self.other.stream.write(data)
        if self.other.stream.full:
            self.stream.pause()

    def on_drained(self):
        self.other.stream.resume()

    def on_eof(self):
        self.other.stream.close() if self.other else None
        self.stream.close()

    def on_closed(self, why):
        if self.other and not self.other.stream.closed:
            self.other.stream.close()


class Load:
    """`n` streams at once, each asking anew when its answer has ended."""

    def __init__(self, loop, port, n, seconds):
        self.loop, self.pool, self.port = (
            loop,
            Pool(loop, max_per_address=20000, max_idle_per_address=20000, connect_us=5_000_000),
            port,
        )
        self.first = HdrHistogram(1, 60_000_000, 3)
        self.reqs = self.events = self.bad = 0
        self.bodies = [
            orjson.dumps({"model": "q", "stream": True, "max_tokens": k, "messages": [{"role": "user", "content": "soup?"}]})
            for k in LENGTHS
        ]
        self.asked = 0
        self.begin = loop.clock.now_us() + 1_500_000  # connections are opened and caches warm before it counts
        self.end = self.begin + round(seconds * 1e6)
        for i in range(n):
            loop.call_later(1000 + i * 500_000 // n, Ask, self)

    def counts(self):
        return self.begin <= self.loop.now < self.end


class Ask:
    tail = b""

    def __init__(self, load):
        self.load, self.sent, self.seen = load, load.loop.clock.now_us(), 0
        load.asked += 17  # no common factor with the lengths: neighbours don't end together
        self.length = LENGTHS[load.asked % len(LENGTHS)]
        load.pool.request(
            ("127.0.0.1", load.port),
            b"POST",
            b"/v1/chat/completions",
            [(b"content-type", b"application/json")],
            load.bodies[load.asked % len(LENGTHS)],
            self,
        )

    def on_head(self, status, fields):
        self.load.bad += status != 200

    def on_body(self, data):
        load = self.load
        n = (self.tail + data).count(b"data: {")
        self.tail = data[-6:]  # an event's beginning may be cut anywhere
        if load.counts():
            load.events += n
            if not self.seen and n:
                load.first.record_value(max(1, load.loop.clock.now_us() - self.sent))
        self.seen += n

    def on_end(self):
        load = self.load
        if load.counts():
            load.reqs += 1
            load.bad += self.seen != self.length
        if load.loop.now < load.end:
            Ask(load)

    def on_fail(self, stage, why):
        self.load.bad += self.load.counts()


def role(name, args):
    """A child process: source PORT PACE, relay PORT TO..., load PORT N SECONDS."""
    loop = Loop(Clock())
    loop.on_signal(signal.SIGTERM, loop.stop)
    if name == "source":
        Source(loop, int(args[0]), float(args[1]))
    elif name == "relay":
        Relay(loop, int(args[0]), [("127.0.0.1", int(p)) for p in args[1:]])
    else:
        load = Load(loop, int(args[0]), int(args[1]), float(args[2]))
        loop.call_at(load.end + 200_000, loop.stop)
        loop.run()
        print(json.dumps({"reqs": load.reqs, "events": load.events, "bad": load.bad, "first": load.first.encode().decode()}))
        return
    loop.run()


# ---- the measurement


def child(*args, **more):
    return subprocess.Popen([sys.executable, "-m", "benchmarks.streams", "--role", *map(str, args)], **more)


def cpu_of(pid):
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(") ", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICK


def memory_of(pid):
    return (
        int(next(line for line in Path(f"/proc/{pid}/status").read_text().splitlines() if line.startswith("VmRSS")).split()[1])
        * 1024
    )


def wait_port(port):
    import socket

    for _ in range(200):
        try:
            return socket.create_connection(("127.0.0.1", port), 1).close()
        except OSError:
            time.sleep(0.05)
    raise SystemExit(f"port {port} did not open")


def measure(path, streams, seconds, pace):
    """One row."""
    a, b, middle_port = free_ports(3)
    children = [child("source", a, pace), child("source", b, pace)]
    folder = Path(tempfile.mkdtemp(prefix="lapiswing-bench-"))
    middle = None
    try:
        wait_port(a), wait_port(b)
        target = middle_port
        if path == "direct":
            target = a
        elif path == "relay":
            middle = child("relay", middle_port, a, b)
        else:
            kinds = ("mx", "mx") if path == "gateway" else ("rd", "wr")
            (folder / "s.txtpb").write_text(
                SETTINGS.format(
                    port=middle_port, boxes="".join(f'box {{ id: "127.0.0.1:{p}" kind: "{k}" }}\n' for p, k in zip((a, b), kinds))
                )
            )
            middle = subprocess.Popen([sys.executable, "-m", "lapiswing", "serve", str(folder / "s.txtpb")])
        if middle:
            children.append(middle)
            wait_port(middle_port)
        idle = memory_of(middle.pid) if middle else 0
        parts = [streams // 2, streams - streams // 2] if streams > 1 else [1]
        loads = [child("load", target, n, seconds, stdout=subprocess.PIPE) for n in parts]
        time.sleep(1.6)
        start, cpu = time.monotonic(), cpu_of(middle.pid) if middle else 0
        time.sleep(seconds - 0.3)
        past, cpu = time.monotonic() - start, (cpu_of(middle.pid) if middle else 0) - cpu
        memory = (memory_of(middle.pid) - idle) / streams if middle else 0
        out = [json.loads(p.communicate(timeout=60)[0]) for p in loads]
        first = HdrHistogram(1, 60_000_000, 3)
        for o in out:
            first.decode_and_add(o["first"])
        reqs, events = (sum(o[k] for o in out) / seconds for k in ("reqs", "events"))
        return {
            "path": path,
            "streams": streams,
            "pace_ms": pace,
            "reqs_s": round(reqs, 1),
            "events_s": round(events),
            "first_p50_ms": first.get_value_at_percentile(50) / 1000,
            "first_p99_ms": first.get_value_at_percentile(99) / 1000,
            "cpu": round(cpu / past, 3),
            "cpu_us_event": round(cpu / past / events * 1e6, 2) if events else None,
            "cpu_us_req": round(cpu / past / reqs * 1e6) if reqs else None,
            "bytes_stream": round(memory),
            "bad": sum(o["bad"] for o in out),
        }
    finally:
        for process in children:
            process.terminate()
        for process in children:
            process.wait(30)


@click.command()
@click.option("--role", "as_role", hidden=True)
@click.option("--seconds", default=6.0)
@click.option("--streams", default="1,100,1000")
@click.option("--pace", default=0.0, help="ms between events of one stream; 0: as fast as it goes")
@click.option("--paths", default="direct,relay,gateway,gateway-2")
@click.option("--json", "as_json", is_flag=True)
@click.argument("args", nargs=-1)
def main(as_role, seconds, streams, pace, paths, as_json, args):
    """Streams straight, through a relay, through the gateway (gateway-2: read and written on two boxes)."""
    if as_role:
        return role(as_role, args)
    click.echo(f"# {os.cpu_count()} cores, Python {sys.version.split()[0]}, {LENGTHS[0]} to {LENGTHS[-1]} events an answer")
    for n in map(int, streams.split(",")):
        for path in paths.split(","):
            row = measure(path, n, seconds, pace)
            click.echo(json.dumps(row) if as_json else "  ".join(f"{k} {v}" for k, v in row.items()))


if __name__ == "__main__":
    main()
