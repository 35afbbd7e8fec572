"""Transfers of prompt state (the output of prefill): python -m benchmarks.transfer [--part rate|small|resume|many|all]

rate     bytes per second between two processes, compared with a plain sendfile/recv_into copy of the same bytes, with and
         without verification of the chunks; CPU of both ends per GB
small    latency of small states while a large one is transferred over the same link, by target time and first-come
resume   time to finish a transfer that was interrupted at 90%, resumed and restarted
many     memory of the receiver with 200 concurrent transfers, compared with its limit"""

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


def write_certificates(folder):
    """Creates an authority for this run, with keys and certificates for both ends."""
    authority = make_authority("benchmark", 1)
    Path(folder, "authority.crt").write_bytes(authority[1])
    for name in ("sender", "r"):
        key, certificate = issue(*authority, name, 1)
        Path(folder, f"{name}.key").write_bytes(key)
        Path(folder, f"{name}.crt").write_bytes(certificate)


def tls_of(folder, name):
    return Tls(Path(folder, f"{name}.crt"), Path(folder, f"{name}.key"), Path(folder, "authority.crt"), name)


def serve(size, small_size, source="memory", folder=None):
    """A child process: an agent with one state of `size` bytes, and 2,000 of `small_size` unless that is 0. Prints its port."""
    size, small_size = int(size), int(small_size)
    loop = Loop(Clock())
    agent = Agent(loop, "sender", [b"k"], 8 * GB, tls=tls_of(folder, "sender") if folder else None)
    if source == "file":
        file, results = tempfile.NamedTemporaryFile(dir="/dev/shm" if os.path.isdir("/dev/shm") else None), []
        file.write(os.urandom(size))
        file.flush()
        agent.put_file("big", file.name, lambda state, why: results.append(state))
        loop.run_until(lambda: results, 60 * S)
    else:
        agent.put("big", os.urandom(size))
    for index in range(2000 if small_size else 0):
        agent.put(f"small{index}", os.urandom(small_size))
    print(agent.listen("127.0.0.1", 0)[1], flush=True)
    loop.run()


def bare(size):
    """A child process: sends a file of `size` bytes by sendfile to each client. Prints its port."""
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
    """Starts a child process in the role that `args` name. -> the process and its port"""
    process = subprocess.Popen([sys.executable, "-m", "benchmarks.transfer", "--role", *map(str, args)], stdout=subprocess.PIPE)
    atexit.register(process.kill)
    return process, int(process.stdout.readline())


def print_row(**row):
    click.echo("  ".join(f"{name} {value}" for name, value in row.items()))


def fetch(loop, agent, port, name, **options):
    """Fetches a state and waits for the result."""
    results, now_us = [], loop.clock.now_us()
    agent.fetch(name, [("127.0.0.1", port)], now_us + S, now_us + 60 * S, results.append, **options)
    loop.run_until(lambda: results, 60 * S)
    return results[0]


def rate():
    """Prints the rows of the part `rate`."""
    size = 512 << 20
    process, port = child("bare", size)
    buffer, best_s = bytearray(size), 9e9
    for _ in range(5):
        sock = socket.create_connection(("127.0.0.1", port))
        view, received, start_s = memoryview(buffer), 0, time.perf_counter()
        while received < size:
            received += sock.recv_into(view[received : received + (1 << 20)])
        best_s = min(best_s, time.perf_counter() - start_s)
        sock.close()
    process.kill()
    bare_rate = size / best_s
    print_row(part="rate", what="bare sendfile and recv_into", gb_s=round(bare_rate / 1e9, 2))
    original_chunk_received, folder = machine.Receiver.chunk_received, tempfile.mkdtemp()
    write_certificates(folder)
    for what, args in (
        ("with checksums", ()),
        ("without", ()),
        ("from a file, by sendfile", ("file",)),
        ("from a file, over TLS", ("file", folder)),
    ):
        process, port = child("serve", size, 0, *args)
        loop, best_s = Loop(Clock()), 9e9
        agent = Agent(loop, "r", [b"k"], 8 * GB, tls=tls_of(folder, "r") if "TLS" in what else None)
        if what == "without":
            machine.Receiver.chunk_received = lambda self, index, size: (
                self.requested.pop(index),
                self.received.__setitem__(index, 1),
                setattr(self, "missing", self.missing - 1),
                "whole" if not self.missing else "good",
            )[-1]
        cpu_before_s = cpu_of(process.pid) + sum(os.times()[:2])
        for _ in range(5):
            start_s = time.perf_counter()
            fetched = fetch(loop, agent, port, "big")
            best_s = min(best_s, time.perf_counter() - start_s)
            assert fetched.why is None, fetched.why
            fetched.free()
        cpu_s = cpu_of(process.pid) + sum(os.times()[:2]) - cpu_before_s
        print_row(
            part="rate",
            what=what,
            gb_s=round(size / best_s / 1e9, 2),
            of_bare=round(size / best_s / bare_rate, 2),
            cpu_s_gb=round(cpu_s / 5 / (size / 1e9), 3),
        )
        agent.close()
        process.kill()
        machine.Receiver.chunk_received = original_chunk_received
    shutil.rmtree(folder)


def small():
    """Prints the rows of the part `small`."""
    for plain in (False, True):
        process, port = child("serve", 1500 << 20, 65536)
        loop = Loop(Clock())
        relay = Relay(loop, ("127.0.0.1", port))
        relay.rate = 100e6  # a link with limited rate and a delay, so that transfers have to wait
        relay.delay_ms = 1
        agent = Agent(loop, "r", [b"k"], 8 * GB, plain=plain)
        now_us = loop.clock.now_us()
        large_results, times_s = [], []
        agent.fetch("big", [relay.address], now_us + 30 * S, now_us + 60 * S, large_results.append)
        loop.run_until(lambda: agent.counts["chunks received"] > 200, 10 * S)
        for index in range(150):
            start_s = time.perf_counter()
            now_us, results = loop.clock.now_us(), []
            agent.fetch(f"small{index}", [relay.address], now_us + S // 5, now_us + 20 * S, results.append, priority=1)
            loop.run_until(lambda: results, 20 * S)
            if large_results:
                break
            times_s.append(time.perf_counter() - start_s)
            results[0].free()
        times_s.sort()
        assert times_s, f"the large transfer ended before the first small one: {large_results[0].why}, {agent.counts}"
        print_row(
            part="small",
            order="first come" if plain else "by target",
            n=len(times_s),
            p50_ms=round(times_s[len(times_s) // 2] * 1e3, 1),
            p99_ms=round(times_s[int(len(times_s) * 0.99)] * 1e3, 1),
        )
        agent.close()
        relay.close()
        process.kill()


def resume():
    """Prints the rows of the part `resume`."""
    size = 256 << 20
    process, port = child("serve", size, 0)
    for plain in (False, True):
        loop = Loop(Clock())
        relay = Relay(loop, ("127.0.0.1", port))
        relay.rate, relay.cut_after = 400e6, int(size * 0.9)
        agent = Agent(loop, "r", [b"k"], 8 * GB, plain=plain)
        results, now_us = [], loop.clock.now_us()
        agent.fetch("big", [relay.address], now_us + 30 * S, now_us + 60 * S, results.append)
        loop.run_until(lambda: agent.counts["breaks"], 30 * S)
        relay.cut_after, start_s = None, time.perf_counter()
        loop.run_until(lambda: results, 30 * S)
        print_row(
            part="resume",
            how="started over" if plain else "resumed",
            why=results[0].why,
            seconds=round(time.perf_counter() - start_s, 3),
        )
        agent.close()
        relay.close()
    process.kill()


def many():
    """Prints the row of the part `many`."""
    process, port = child("serve", 16 << 20, 0)
    loop = Loop(Clock())
    limit_bytes = 64 << 20
    agent = Agent(loop, "r", [b"k"], limit_bytes)
    bytes_before, results, now_us = memory_of(os.getpid()), [], loop.clock.now_us()
    for _ in range(200):
        agent.fetch("big", [("127.0.0.1", port)], now_us + S, now_us + 20 * S, results.append)
    max_grown_bytes = 0

    def sample_memory():
        nonlocal max_grown_bytes
        max_grown_bytes = max(max_grown_bytes, memory_of(os.getpid()) - bytes_before)
        return len(results) == 200

    loop.run_until(sample_memory, 30 * S)
    print_row(
        part="many",
        moves=200,
        bound_mb=limit_bytes >> 20,
        held_mb=agent.used_bytes >> 20,
        grown_mb=max_grown_bytes >> 20,
        whole=sum(result.why is None for result in results),
        no_room=sum(result.why == "no room" for result in results),
    )
    agent.close()
    process.kill()


@click.command()
@click.option("--role", hidden=True)
@click.option("--part", default="all")
@click.argument("args", nargs=-1)
def main(role, part, args):
    """Transfers of prompt state between agents."""
    if role:
        return {"serve": serve, "bare": bare}[role](*args)
    parts = {"rate": rate, "small": small, "resume": resume, "many": many}
    for name in ("rate", "resume", "many") if part == "all" else [part]:
        parts[name]()


if __name__ == "__main__":
    main()
