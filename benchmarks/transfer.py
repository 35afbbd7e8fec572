"""Moves of read states: python -m benchmarks.transfer [--part rate|small|resume|many|all]

rate     bytes a second between two processes, beside a bare sendfile/recv_into copy of the same bytes, and without
         checking the chunks; CPU of both ends for each GB
small    latency of small states while a big one runs over the same link, in order and first come first served
resume   time to finish a move that broke at 90%, resumed and started over
many     memory of the receiver with 200 moves at once, against its bound"""

import atexit
import os
import shutil
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path

import click

from benchmarks.streams import cpu_of, memory_of
from lapiswing.loop import Clock, Loop
from lapiswing.standin.relay import Relay
from lapiswing.transfer import machine
from lapiswing.transfer.agent import Agent
from lapiswing.transfer.certificates import Tls, issue, make_authority

GB = 1 << 30
S = 1_000_000


def keys_in(folder):
    """Certificates of an authority made for this run."""
    authority = make_authority("benchmark", 1)
    Path(folder, "authority.crt").write_bytes(authority[1])
    for name in ("sender", "r"):
        key, certificate = issue(*authority, name, 1)
        Path(folder, f"{name}.key").write_bytes(key)
        Path(folder, f"{name}.crt").write_bytes(certificate)


def tls_of(folder, name):
    return Tls(Path(folder, f"{name}.crt"), Path(folder, f"{name}.key"), Path(folder, "authority.crt"), name)


def serve(size, small, how="memory", folder=None):
    """A child: an agent with one state of `size` and 2,000 small ones; prints its port."""
    size, small = int(size), int(small)
    loop = Loop(Clock())
    agent = Agent(loop, "sender", [b"k"], 8 * GB, tls=tls_of(folder, "sender") if folder else None)
    if how == "file":
        file, out = tempfile.NamedTemporaryFile(dir="/dev/shm" if os.path.isdir("/dev/shm") else None), []
        file.write(os.urandom(size))
        file.flush()
        agent.put_file("big", file.name, lambda state, why: out.append(state))
        loop.run_until(lambda: out, 60 * S)
    else:
        agent.put("big", os.urandom(size))
    for i in range(2000 if small else 0):
        agent.put(f"small{i}", os.urandom(small))
    print(agent.listen("127.0.0.1", 0)[1], flush=True)
    loop.run()


def bare(size):
    """A child: sendfile of a file of `size` to whoever connects."""
    file = tempfile.TemporaryFile(dir="/dev/shm" if os.path.isdir("/dev/shm") else None)
    file.write(os.urandom(int(size)))
    file.flush()
    listener = socket.create_server(("127.0.0.1", 0))
    print(listener.getsockname()[1], flush=True)
    while True:
        sock, _ = listener.accept()
        sock.sendfile(file, 0)
        sock.close()


def child(*args):
    process = subprocess.Popen([sys.executable, "-m", "benchmarks.transfer", "--role", *map(str, args)], stdout=subprocess.PIPE)
    atexit.register(process.kill)
    return process, int(process.stdout.readline())


def tell(**row):
    click.echo("  ".join(f"{k} {v}" for k, v in row.items()))


def fetch(loop, agent, port, name, **more):
    out, now = [], loop.clock.now_us()
    agent.fetch(name, [("127.0.0.1", port)], now + S, now + 60 * S, out.append, **more)
    loop.run_until(lambda: out, 60 * S)
    return out[0]


def rate():
    size = 512 << 20
    process, port = child("bare", size)
    target, best = bytearray(size), 9e9
    for _ in range(5):
        sock = socket.create_connection(("127.0.0.1", port))
        view, at, start = memoryview(target), 0, time.perf_counter()
        while at < size:
            at += sock.recv_into(view[at : at + (1 << 20)])
        best = min(best, time.perf_counter() - start)
        sock.close()
    process.kill()
    bare_rate = size / best
    tell(part="rate", what="bare sendfile and recv_into", gb_s=round(bare_rate / 1e9, 2))
    real, folder = machine.Receiver.chunk_received, tempfile.mkdtemp()
    keys_in(folder)
    for what, args in (
        ("with checksums", ()),
        ("without", ()),
        ("from a file, by sendfile", ("file",)),
        ("from a file, over TLS", ("file", folder)),
    ):
        process, port = child("serve", size, 0, *args)
        loop, best = Loop(Clock()), 9e9
        agent = Agent(loop, "r", [b"k"], 8 * GB, tls=tls_of(folder, "r") if "TLS" in what else None)
        if what == "without":
            machine.Receiver.chunk_received = lambda self, i, n: (
                self.requested.pop(i),
                self.received.__setitem__(i, 1),
                setattr(self, "missing", self.missing - 1),
                "whole" if not self.missing else "good",
            )[-1]
        cpu = cpu_of(process.pid) + sum(os.times()[:2])
        for _ in range(5):
            start = time.perf_counter()
            f = fetch(loop, agent, port, "big")
            best = min(best, time.perf_counter() - start)
            assert f.why is None, f.why
            f.free()
        cpu = cpu_of(process.pid) + sum(os.times()[:2]) - cpu
        tell(
            part="rate",
            what=what,
            gb_s=round(size / best / 1e9, 2),
            of_bare=round(size / best / bare_rate, 2),
            cpu_s_gb=round(cpu / 5 / (size / 1e9), 3),
        )
        agent.close()
        process.kill()
        machine.Receiver.chunk_received = real
    shutil.rmtree(folder)


def small():
    for plain in (False, True):
        process, port = child("serve", 1500 << 20, 65536)
        loop = Loop(Clock())
        relay = Relay(loop, ("127.0.0.1", port))
        relay.rate = 100e6  # a link, with a delay; else there is nothing to wait for
        relay.delay_ms = 1
        agent = Agent(loop, "r", [b"k"], 8 * GB, plain=plain)
        now = loop.clock.now_us()
        big, times = [], []
        agent.fetch("big", [relay.address], now + 30 * S, now + 60 * S, big.append)
        loop.run_until(lambda: agent.counts["chunks received"] > 200, 10 * S)
        for i in range(150):
            start = time.perf_counter()
            now, out = loop.clock.now_us(), []
            agent.fetch(f"small{i}", [relay.address], now + S // 5, now + 20 * S, out.append, priority=1)
            loop.run_until(lambda: out, 20 * S)
            if big:
                break
            times.append(time.perf_counter() - start)
            out[0].free()
        times.sort()
        assert times, f"the big one ended too soon: {big[0].why}, {agent.counts}"
        tell(
            part="small",
            order="first come" if plain else "by target",
            n=len(times),
            p50_ms=round(times[len(times) // 2] * 1e3, 1),
            p99_ms=round(times[int(len(times) * 0.99)] * 1e3, 1),
        )
        agent.close()
        relay.close()
        process.kill()


def resume():
    size = 256 << 20
    process, port = child("serve", size, 0)
    for plain in (False, True):
        loop = Loop(Clock())
        relay = Relay(loop, ("127.0.0.1", port))
        relay.rate, relay.cut_after = 400e6, int(size * 0.9)
        agent = Agent(loop, "r", [b"k"], 8 * GB, plain=plain)
        out, now = [], loop.clock.now_us()
        agent.fetch("big", [relay.address], now + 30 * S, now + 60 * S, out.append)
        loop.run_until(lambda: agent.counts["breaks"], 30 * S)
        relay.cut_after, start = None, time.perf_counter()
        loop.run_until(lambda: out, 30 * S)
        tell(
            part="resume",
            how="started over" if plain else "resumed",
            why=out[0].why,
            seconds=round(time.perf_counter() - start, 3),
        )
        agent.close()
        relay.close()
    process.kill()


def many():
    process, port = child("serve", 16 << 20, 0)
    loop = Loop(Clock())
    bound = 64 << 20
    agent = Agent(loop, "r", [b"k"], bound)
    before, out, now = memory_of(os.getpid()), [], loop.clock.now_us()
    for _ in range(200):
        agent.fetch("big", [("127.0.0.1", port)], now + S, now + 20 * S, out.append)
    most = 0

    def look():
        nonlocal most
        most = max(most, memory_of(os.getpid()) - before)
        return len(out) == 200

    loop.run_until(look, 30 * S)
    tell(
        part="many",
        moves=200,
        bound_mb=bound >> 20,
        held_mb=agent.used_bytes >> 20,
        grown_mb=most >> 20,
        whole=sum(f.why is None for f in out),
        no_room=sum(f.why == "no room" for f in out),
    )
    agent.close()
    process.kill()


@click.command()
@click.option("--role", hidden=True)
@click.option("--part", default="all")
@click.argument("args", nargs=-1)
def main(role, part, args):
    """Moves of read states."""
    if role:
        return {"serve": serve, "bare": bare}[role](*args)
    parts = {"rate": rate, "small": small, "resume": resume, "many": many}
    for name in ("rate", "resume", "many") if part == "all" else [part]:
        parts[name]()


if __name__ == "__main__":
    main()
