"""Compares the same streamed load sent directly to a source, through a plain byte relay, and through the gateway.

    python -m benchmarks.streams [--seconds 6] [--streams 1,100,1000] [--json]

Each row is one path with one number of streams: requests and events per second, time to first token, CPU of the process
in the middle per request and event, and its memory per open stream. The sources and the clients are the same programs on
all paths, with two processes each, so that the single process in the middle is what is measured. `--pace` sets the ms between
events of one stream; 0 is as fast as possible."""

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

LENGTHS = range(30, 91)  # events of one response, used in turn
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
SETTINGS = """
gateway {{ name: "bench" seed: 1 }}
listen {{ port: {port} connections: 20000 }}
group {{ name: "q" effect: REPLAYABLE target_ms: 30000 deadline_ms: 60000 stream_idle_ms: 60000 resume: true }}
kind {{ name: "rd" role: READ memory_tokens: 100000000 }}
kind {{ name: "wr" role: WRITE memory_tokens: 100000000 }}
kind {{ name: "mx" role: BOTH memory_tokens: 100000000 }}
limits {{ connections_per_box: 4000 }}
log {{ level: "warning" }}
{servers}
"""


# ---- source, relay and load


class Source:
    """A model server with minimal cost: it answers prefill requests at once and sends an event to each stream every `pace_ms`.
    The streams are spread evenly over that interval, and have the lengths that their requests name."""

    def __init__(self, loop, port, pace_ms):
        self.loop, self.slots, self.count = loop, [[] for _ in range(max(1, round(pace_ms)))], 0
        self.server = Server(loop, self.app, Limits(connections=20000))
        self.server.listener = Listener(loop, listen_socket("127.0.0.1", port), self.server.accept, 20000)
        frame = {"id": "chatcmpl-x", "object": "chat.completion.chunk", "created": 0, "model": "q"}
        self.event = encode_event({**frame, "choices": [{"index": 0, "delta": {"content": "soup "}, "finish_reason": None}]})
        self.last_event = encode_event({**frame, "choices": [{"index": 0, "delta": {}, "finish_reason": "stop"}]}) + DONE
        self.prefill_response = orjson.dumps(
            {"usage": {"prompt_tokens": 9}, "kv_transfer_params": {"do_remote_prefill": True, "remote_engine_id": "x"}}
        )
        self.tick_us, self.slot = (1000 if pace_ms else 200), 0
        self.due_us = loop.clock.now_us()
        loop.call_later(self.tick_us, self.send_events)

    def app(self, exchange):
        if exchange.method == b"DELETE":
            return exchange.json(200, {})
        if b'"do_remote_decode":true' in exchange.body:
            return exchange.respond(200, self.prefill_response)
        exchange.begin(200, [(b"content-type", b"text/event-stream")])
        exchange.send(self.event)
        length = int(exchange.body.split(b'"max_tokens":', 1)[1].split(b",", 1)[0])
        # The slot that was just served is due again one pace from now.
        self.slots[self.slot - 1].append([exchange, length - 1])

    def send_events(self):
        """Sends an event to each stream of the current slot."""
        self.due_us = max(self.due_us + self.tick_us, self.loop.clock.now_us() - 20 * self.tick_us)
        self.loop.call_at(self.due_us, self.send_events)
        live = []
        for stream in self.slots[self.slot]:
            exchange = stream[0]
            if exchange.over:
                continue
            if not exchange.full:
                stream[1] -= 1
                if not stream[1]:
                    exchange.send(self.last_event)
                    exchange.end()
                    continue
                exchange.send(self.event)
            live.append(stream)
        self.slots[self.slot] = live
        self.slot = (self.slot + 1) % len(self.slots)


class Relay:
    """Copies bytes between sockets on the same event loop: the minimal work of a program in the middle."""

    def __init__(self, loop, port, targets):
        self.loop, self.targets, self.accepted = loop, targets, 0
        Listener(loop, listen_socket("127.0.0.1", port), self.accept, 20000)

    def accept(self, stream, _peer):
        RelayEnd(self, stream)


class RelayEnd:
    """One of the two connections of a relayed connection."""

    def __init__(self, relay, stream, other=None):
        self.stream, self.other = stream, other
        stream.owner = self
        if other is None:
            stream.pause()
            relay.accepted += 1
            connect(relay.loop, relay.targets[relay.accepted % len(relay.targets)], 1_000_000, self.connected)
            self.relay = relay

    def connected(self, stream: Stream, why):
        if stream is None or self.stream.closed:
            return self.stream.abort()
        self.other = RelayEnd(self.relay, stream, self)
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
    """Keeps `stream_count` streams open: each sends a new request when its response has ended."""

    def __init__(self, loop, port, stream_count, seconds):
        self.loop, self.pool, self.port = (
            loop,
            Pool(loop, max_per_address=20000, max_idle_per_address=20000, connect_us=5_000_000),
            port,
        )
        self.first_token_us = HdrHistogram(1, 60_000_000, 3)
        self.reqs = self.events = self.bad = 0
        self.bodies = [
            orjson.dumps({"model": "q", "stream": True, "max_tokens": length, "messages": [{"role": "user", "content": "soup?"}]})
            for length in LENGTHS
        ]
        self.asked = 0
        self.begin = loop.clock.now_us() + 1_500_000  # time to open connections and warm up before counting
        self.end = self.begin + round(seconds * 1e6)
        for index in range(stream_count):
            loop.call_later(1000 + index * 500_000 // stream_count, StreamRequest, self)

    def counting(self):
        """Whether the measured time is running."""
        return self.begin <= self.loop.now < self.end


class StreamRequest:
    """One request and its streamed response."""

    tail = b""

    def __init__(self, load):
        self.load, self.sent_us, self.seen = load, load.loop.clock.now_us(), 0
        load.asked += 17  # coprime to the number of lengths, so that consecutive streams do not end together
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
        event_count = (self.tail + data).count(b"data: {")
        self.tail = data[-6:]  # the start of an event may be split between two reads
        if load.counting():
            load.events += event_count
            if not self.seen and event_count:
                load.first_token_us.record_value(max(1, load.loop.clock.now_us() - self.sent_us))
        self.seen += event_count

    def on_end(self):
        load = self.load
        if load.counting():
            load.reqs += 1
            load.bad += self.seen != self.length
        if load.loop.now < load.end:
            StreamRequest(load)

    def on_fail(self, stage, why):
        self.load.bad += self.load.counting()


def role(name, args):
    """A child process: source PORT PACE_MS, relay PORT TARGET_PORT..., load PORT STREAMS SECONDS."""
    loop = Loop(Clock())
    loop.on_signal(signal.SIGTERM, loop.stop)
    if name == "source":
        Source(loop, int(args[0]), float(args[1]))
    elif name == "relay":
        Relay(loop, int(args[0]), [("127.0.0.1", int(target_port)) for target_port in args[1:]])
    else:
        load = Load(loop, int(args[0]), int(args[1]), float(args[2]))
        loop.call_at(load.end + 200_000, loop.stop)
        loop.run()
        print(
            json.dumps(
                {"reqs": load.reqs, "events": load.events, "bad": load.bad, "first": load.first_token_us.encode().decode()}
            )
        )
        return
    loop.run()


# ---- the measurement


def child(*args, **options):
    """Starts a child process of this module in the role that `args` name."""
    return subprocess.Popen([sys.executable, "-m", "benchmarks.streams", "--role", *map(str, args)], **options)


def cpu_of(pid):
    """Processor time in seconds that a process has used so far."""
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(") ", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S


def memory_of(pid):
    """Resident memory of a process in bytes."""
    return (
        int(next(line for line in Path(f"/proc/{pid}/status").read_text().splitlines() if line.startswith("VmRSS")).split()[1])
        * 1024
    )


def wait_port(port):
    """Waits until a port on loopback accepts connections."""
    import socket

    for _ in range(200):
        try:
            return socket.create_connection(("127.0.0.1", port), 1).close()
        except OSError:
            time.sleep(0.05)
    raise SystemExit(f"port {port} does not accept connections")


def measure(path, streams, seconds, pace):
    """-> one row of the table"""
    port_a, port_b, middle_port = free_ports(3)
    children = [child("source", port_a, pace), child("source", port_b, pace)]
    folder = Path(tempfile.mkdtemp(prefix="lapiswing-bench-"))
    middle = None
    try:
        wait_port(port_a), wait_port(port_b)
        target = middle_port
        if path == "direct":
            target = port_a
        elif path == "relay":
            middle = child("relay", middle_port, port_a, port_b)
        else:
            kinds = ("mx", "mx") if path == "gateway" else ("rd", "wr")
            (folder / "s.txtpb").write_text(
                SETTINGS.format(
                    port=middle_port,
                    servers="".join(
                        f'box {{ id: "127.0.0.1:{port}" kind: "{kind}" }}\n' for port, kind in zip((port_a, port_b), kinds)
                    ),
                )
            )
            middle = subprocess.Popen([sys.executable, "-m", "lapiswing", "serve", str(folder / "s.txtpb")])
        if middle:
            children.append(middle)
            wait_port(middle_port)
        idle_bytes = memory_of(middle.pid) if middle else 0
        parts = [streams // 2, streams - streams // 2] if streams > 1 else [1]
        loads = [child("load", target, stream_count, seconds, stdout=subprocess.PIPE) for stream_count in parts]
        time.sleep(1.6)
        start_s, cpu_before_s = time.monotonic(), cpu_of(middle.pid) if middle else 0
        time.sleep(seconds - 0.3)
        elapsed_s, cpu_s = time.monotonic() - start_s, (cpu_of(middle.pid) if middle else 0) - cpu_before_s
        stream_bytes = (memory_of(middle.pid) - idle_bytes) / streams if middle else 0
        reports = [json.loads(process.communicate(timeout=60)[0]) for process in loads]
        first_token_us = HdrHistogram(1, 60_000_000, 3)
        for report in reports:
            first_token_us.decode_and_add(report["first"])
        reqs, events = (sum(report[name] for report in reports) / seconds for name in ("reqs", "events"))
        return {
            "path": path,
            "streams": streams,
            "pace_ms": pace,
            "reqs_s": round(reqs, 1),
            "events_s": round(events),
            "first_p50_ms": first_token_us.get_value_at_percentile(50) / 1000,
            "first_p99_ms": first_token_us.get_value_at_percentile(99) / 1000,
            "cpu": round(cpu_s / elapsed_s, 3),
            "cpu_us_event": round(cpu_s / elapsed_s / events * 1e6, 2) if events else None,
            "cpu_us_req": round(cpu_s / elapsed_s / reqs * 1e6) if reqs else None,
            "bytes_stream": round(stream_bytes),
            "bad": sum(report["bad"] for report in reports),
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
@click.option("--pace", default=0.0, help="ms between events of one stream; 0: as fast as possible")
@click.option("--paths", default="direct,relay,gateway,gateway-2")
@click.option("--json", "as_json", is_flag=True)
@click.argument("args", nargs=-1)
def main(as_role, seconds, streams, pace, paths, as_json, args):
    """Streams sent directly, through a relay, and through the gateway (gateway-2: prefill and decode on separate servers)."""
    if as_role:
        return role(as_role, args)
    click.echo(f"# {os.cpu_count()} cores, Python {sys.version.split()[0]}, {LENGTHS[0]} to {LENGTHS[-1]} events a response")
    for stream_count in map(int, streams.split(",")):
        for path in paths.split(","):
            row = measure(path, stream_count, seconds, pace)
            click.echo(json.dumps(row) if as_json else "  ".join(f"{name} {value}" for name, value in row.items()))


if __name__ == "__main__":
    main()
