"""Server discovery by DNS records with 2,000 servers: python -m benchmarks.membership

find      time until a gateway's discovery has reported all servers of a service with 2,000 instances; DNS queries, CPU
steady    CPU and queries per second to keep them known, with record lifetimes of 30 s
flood     2,000 servers announced at once: number and largest size of the lists given to the Router, longest Router round"""

import os
import random
import subprocess
import sys
import time

import click

from lapiswing.dns.browse import Browser
from lapiswing.dns.cache import Cache
from lapiswing.dns.resolver import Resolver
from lapiswing.interface import RequestClass, Server
from lapiswing.loop import Clock, Loop
from lapiswing.membership import Membership
from lapiswing.membership.discover import Discovery
from lapiswing.policy import Router
from lapiswing.standin.nameserver import NameServer

S = 1_000_000
SERVICE = "_llm-box._tcp.bench.example."


class NullLog:
    """Discards log records."""

    def info(self, *_, **__):
        pass

    warning = info


def serve(server_count):
    """A child process: a name server with the records of the service. Prints its port."""
    loop = Loop(Clock())
    server = NameServer(loop)
    for index in range(int(server_count)):
        name = f"b{index}.{SERVICE}"
        server.put(name, "SRV", f"0 0 9000 h{index}.bench.example.", ttl=30)
        server.put(name, "TXT", f'"role={"read" if index % 2 else "write"}" "zone=z{index % 4}"', ttl=30)
        server.put(f"h{index}.bench.example.", "A", f"10.1.{index // 250}.{index % 250 + 1}", ttl=30)
    server.put(SERVICE, "PTR", *[f"b{index}.{SERVICE}" for index in range(int(server_count))], ttl=30)
    print(server.address[1], flush=True)
    loop.run()


def cpu_s():
    """Processor time of this process."""
    times = os.times()
    return times.user + times.system


def start_discovery(port, list_sizes):
    """Browses the service; appends the size of each reported list to `list_sizes`."""
    loop = Loop(Clock())
    resolver = Resolver(loop, [("127.0.0.1", port)], random.Random(1))
    browser = Browser(SERVICE, Cache())
    return (
        loop,
        resolver,
        Discovery(
            loop,
            resolver,
            {"sd": browser},
            lambda fields: fields,
            lambda source, rows: list_sizes.append(len(rows)),
            lambda: None,
            NullLog(),
        ),
    )


def find_and_keep(server_count):
    """Prints the rows `find` and `steady`."""
    child = subprocess.Popen([sys.executable, "-m", "benchmarks.membership", "--role", str(server_count)], stdout=subprocess.PIPE)
    try:
        list_sizes, start_s, cpu_before_s = [], time.perf_counter(), cpu_s()
        loop, resolver, discovery = start_discovery(int(child.stdout.readline()), list_sizes)
        loop.run_until(lambda: list_sizes and list_sizes[-1] == server_count, 120 * S)
        click.echo(
            f"find  {list_sizes[-1:]} servers in {time.perf_counter() - start_s:.2f} s, {cpu_s() - cpu_before_s:.2f} s of CPU, "
            f"{resolver.counts['asked']} queries, {len(list_sizes)} lists reported"
        )
        asked_before, cpu_before_s, start_s = resolver.counts["asked"], cpu_s(), time.perf_counter()
        loop.run_until(lambda: False, 60 * S)
        elapsed_s = time.perf_counter() - start_s
        click.echo(
            f"steady  {(resolver.counts['asked'] - asked_before) / elapsed_s:.0f} queries a second, "
            f"{(cpu_s() - cpu_before_s) / elapsed_s:.3f} of a core"
        )
        discovery.close()
    finally:
        child.kill()
        child.wait()


class NullWriter:
    """A Router's writer that ignores all actions."""

    def __getattr__(self, _name):
        return lambda *args: None


def flood(server_count):
    """Prints the row `flood`."""
    membership, writer = Membership(), NullWriter()
    membership.update_list([], 0)
    request_class = RequestClass("g", "replayable", "all", 0, 1_000_000, 40_000, 60_000, 1.0, 0.3)
    router = Router(
        1,
        {
            "balancers": 1,
            "me": 0,
            "az": 0,
            "resolution_us": 10_000,
            "groups": [request_class],
            "tenants": [],
            "limits": {"max_attempts": 4, "retry_after": True, "cancel": True, "max_retry_after_us": 1_000_000},
            "rules": {"cold_from": 0.25, "ramp_time_us": 12 * S, "fall_multiple": 2.5, "overload_for_us": S},
            "penalties": {"cross_zone": 0.02},
            "family_info": {"duty_by_kind": ["read", "write"], "far_price": 0.03, "kind_memory_tokens": [100_000] * 2},
        },
        0,
    )
    rows = [
        Server(f"10.1.{index // 250}.{index % 250}:9000", index % 4, index % 16, index % 2, 1.0, 0, "ready")
        for index in range(server_count)
    ]
    now_us, list_count, max_round_s, total_s, max_rows = S, 0, 0.0, 0.0, 0
    event = membership.update_records("sd", rows, now_us)
    while len(membership.published) < server_count and now_us < 200 * S:
        if event:
            start_s = time.perf_counter()
            router.round(now_us, [event], writer)
            round_s = time.perf_counter() - start_s
            list_count, max_round_s, total_s, max_rows = (
                list_count + 1,
                max(max_round_s, round_s),
                total_s + round_s,
                max(max_rows, len(event[2])),
            )
        now_us += 200_000
        event = membership.tick(now_us)
    click.echo(
        f"flood  {len(membership.published)} servers in {now_us / S - 1:.0f} s of simulated time, {list_count} lists, "
        f"the largest {max_rows} rows; "
        f"round {max_round_s * 1e3:.0f} ms at most, {total_s / max(1, list_count) * 1e3:.0f} ms on average"
    )


@click.command()
@click.option("--role", hidden=True)
@click.option("--boxes", default=2000, show_default=True)
def main(role, boxes):
    """Server discovery by DNS records with many servers."""
    if role:
        return serve(role)
    click.echo(f"# {os.cpu_count()} cores, Python {sys.version.split()[0]}")
    flood(boxes)
    find_and_keep(boxes)


if __name__ == "__main__":
    main()
