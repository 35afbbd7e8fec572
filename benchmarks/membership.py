"""Records at 2,000 boxes: python -m benchmarks.membership

find      time until a gateway's discovery has told all boxes of a service with 2,000 instances, questions asked, CPU
steady    CPU and questions a second to keep them known, with lifetimes of 30 s
flood     2,000 boxes announced at once: lists handed to the decisions, the largest, and the longest round during it"""

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


class Quiet:
    def info(self, *_, **__):
        pass

    warning = info


def serve(n):
    loop = Loop(Clock())
    server = NameServer(loop)
    for i in range(int(n)):
        name = f"b{i}.{SERVICE}"
        server.put(name, "SRV", f"0 0 9000 h{i}.bench.example.", ttl=30)
        server.put(name, "TXT", f'"role={"read" if i % 2 else "write"}" "zone=z{i % 4}"', ttl=30)
        server.put(f"h{i}.bench.example.", "A", f"10.1.{i // 250}.{i % 250 + 1}", ttl=30)
    server.put(SERVICE, "PTR", *[f"b{i}.{SERVICE}" for i in range(int(n))], ttl=30)
    print(server.address[1], flush=True)
    loop.run()


def cpu():
    t = os.times()
    return t.user + t.system


def discovery(port, told):
    loop = Loop(Clock())
    resolver = Resolver(loop, [("127.0.0.1", port)], random.Random(1))
    browser = Browser(SERVICE, Cache())
    return (
        loop,
        resolver,
        Discovery(loop, resolver, {"sd": browser}, lambda f: f, lambda s, rows: told.append(len(rows)), lambda: None, Quiet()),
    )


def find_and_keep(n):
    child = subprocess.Popen([sys.executable, "-m", "benchmarks.membership", "--role", str(n)], stdout=subprocess.PIPE)
    try:
        told, start, used = [], time.perf_counter(), cpu()
        loop, resolver, found = discovery(int(child.stdout.readline()), told)
        loop.run_until(lambda: told and told[-1] == n, 120 * S)
        click.echo(
            f"find  {told[-1:]} boxes in {time.perf_counter() - start:.2f} s, {cpu() - used:.2f} s of CPU, "
            f"{resolver.counts['asked']} questions, told {len(told)} times"
        )
        asked, used, start = resolver.counts["asked"], cpu(), time.perf_counter()
        loop.run_until(lambda: False, 60 * S)
        past = time.perf_counter() - start
        click.echo(
            f"steady  {(resolver.counts['asked'] - asked) / past:.0f} questions a second, {(cpu() - used) / past:.3f} of a core"
        )
        found.close()
    finally:
        child.kill()
        child.wait()


class Sink:
    def __getattr__(self, _name):
        return lambda *args: None


def flood(n):
    members, out = Membership(), Sink()
    members.update_list([], 0)
    group = RequestClass("g", "replayable", "all", 0, 1_000_000, 40_000, 60_000, 1.0, 0.3)
    router = Router(
        1,
        {
            "balancers": 1,
            "me": 0,
            "az": 0,
            "resolution_us": 10_000,
            "groups": [group],
            "tenants": [],
            "limits": {"max_attempts": 4, "retry_after": True, "cancel": True, "max_retry_after_us": 1_000_000},
            "rules": {"cold_from": 0.25, "ramp_time_us": 12 * S, "fall_multiple": 2.5, "overload_for_us": S},
            "penalties": {"cross_zone": 0.02},
            "family_info": {"duty_by_kind": ["read", "write"], "far_price": 0.03, "kind_memory_tokens": [100_000] * 2},
        },
        0,
    )
    rows = [Server(f"10.1.{i // 250}.{i % 250}:9000", i % 4, i % 16, i % 2, 1.0, 0, "ready") for i in range(n)]
    now, lists, worst, total, most = S, 0, 0.0, 0.0, 0
    event = members.update_records("sd", rows, now)
    while len(members.published) < n and now < 200 * S:
        if event:
            start = time.perf_counter()
            router.round(now, [event], out)
            took = time.perf_counter() - start
            lists, worst, total, most = lists + 1, max(worst, took), total + took, max(most, len(event[2]))
        now += 200_000
        event = members.tick(now)
    click.echo(
        f"flood  {len(members.published)} boxes in {now / S - 1:.0f} s of the clock, {lists} lists, the largest {most} rows; "
        f"round {worst * 1e3:.0f} ms at most, {total / max(1, lists) * 1e3:.0f} ms on average"
    )


@click.command()
@click.option("--role", hidden=True)
@click.option("--boxes", default=2000, show_default=True)
def main(role, boxes):
    """Records at many boxes."""
    if role:
        return serve(role)
    click.echo(f"# {os.cpu_count()} cores, Python {sys.version.split()[0]}")
    flood(boxes)
    find_and_keep(boxes)


if __name__ == "__main__":
    main()
