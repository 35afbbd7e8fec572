"""Figures of the fleet link: how soon a killed member is known, what it costs idle, what a start of all
costs.

    python benchmarks/fleet.py [--seeds 20]
    python benchmarks/fleet.py --days 1000 [--from 0]     # bad days by seed; exit code 1 where one broke

Simulated: links under a simulated clock and network (0.2 to 2 ms a message). Real: links in one process on
loopback sockets."""

import argparse
import sys
import time
from random import Random

from lapiswing.fleet.link import TICK_US, Link
from lapiswing.fleet.transport import Streams
from lapiswing.lab import fleetdays
from lapiswing.lab.fleetsim import Fleet
from lapiswing.loop import Clock, Loop, free_ports

S = 1000


def middle(values, part):
    values = sorted(values)
    return values[min(len(values) - 1, int(len(values) * part))]


def killed(n, seeds, loss=0.0):
    """-> ms until all know, for each of 3 kills a seed; words 'gone' on members that lived."""
    took, alarms = [], 0
    for seed in range(seeds):
        fleet = Fleet(n, seed)
        fleet.start_all(1000)
        assert fleet.run(30 * S, fleet.all_alive)
        fleet.run(5 * S)
        fleet.net.loss = loss
        dead, wrong = set(), []
        for node in fleet.up():
            node.link.on_member = lambda one, was: (
                wrong.append(one.id) if one.state == "gone" and int(one.id.partition("#")[0][3:]) not in dead else None
            )
        for victim in (n - 1, n - 2, n - 3):
            dead.add(victim)
            fleet.kill(victim)
            living = [i for i in range(n) if i not in dead]
            took.append(fleet.run(30 * S, lambda: all(fleet.sees(i, victim) == "gone" for i in living)))
        alarms += len(wrong)
    return took, alarms


def idle(n):
    """-> bytes a second and messages a second of one copy, and the processor time of the deciding part,
    simulated."""
    fleet = Fleet(n, 1)
    fleet.start_all(1000)
    fleet.run(40 * S)
    start = max(node.link.counts["out"] for node in fleet.up())
    before, begun = sum(node.link.counts["bytes out"] for node in fleet.up()), time.process_time()
    messages = fleet.messages
    fleet.run(30 * S)
    spent = time.process_time() - begun
    out = sum(node.link.counts["bytes out"] for node in fleet.up()) - before
    return out / n / 30, (fleet.messages - messages) / n / 30, spent / n / 30, start


def real(n, seconds=10):
    """n links on loopback sockets in one process. -> ms until a killed one is known to all; share of a core
    for each, idle."""
    loop, ports = Loop(Clock()), free_ports(n)
    links, transports = [], []

    def tick(i):
        if transports[i] is not None:
            links[i].tick(loop.clock.now_us())
            loop.call_later(TICK_US, tick, i)

    for i, port in enumerate(ports):
        rng = Random(i)
        transport = Streams(
            loop, "127.0.0.1", port, lambda data, i=i: transports[i] and links[i].heard(loop.clock.now_us(), data)
        )
        transports.append(transport)
        links.append(
            Link(
                f"gw-{i}",
                f"127.0.0.1:{port}",
                [f"127.0.0.1:{p}" for p in ports[:3]],
                [b"k" * 32],
                rng.random,
                rng.randbytes(16),
                transport.send,
                loop.clock.now_us(),
            )
        )
        loop.call_later(rng.randrange(TICK_US), tick, i)
    everyone = {link.id for link in links}
    assert loop.run_until(lambda: all(len(link.members.alive()) == n - 1 for link in links), 20_000_000)
    loop.run_until(lambda: False, 5_000_000)
    begun, bytes_ = time.process_time(), sum(link.counts["bytes out"] for link in links)
    loop.run_until(lambda: False, seconds * 1_000_000)
    share = (time.process_time() - begun) / seconds / n
    traffic = (sum(link.counts["bytes out"] for link in links) - bytes_) / seconds / n
    took, dead = [], set()
    for victim in range(n - 1, n - 4, -1):
        transports[victim].close()
        transports[victim] = None
        dead.add(victim)
        at = loop.clock.now_us()
        assert loop.run_until(
            lambda: all(links[i].members.state_of(links[victim].id) == "gone" for i in range(n) if i not in dead), 20_000_000
        )
        took.append((loop.clock.now_us() - at) / 1000)
    for transport in transports:
        if transport is not None:
            transport.close()
    loop.close()
    return took, share, traffic, len(everyone)


def days(seeds):
    begun, bad = time.monotonic(), 0
    for seed in seeds:
        day = fleetdays.play(seed)
        if day.faults:
            bad += 1
            print(f"seed {seed}: {'; '.join(day.faults[:3])}")
    print(f"{len(seeds)} days, {bad} bad, {time.monotonic() - begun:.0f} s")
    sys.exit(1 if bad else 0)


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--seeds", type=int, default=10)
    parser.add_argument("--days", type=int)
    parser.add_argument("--from", type=int, default=0, dest="first")
    args = parser.parse_args()
    if args.days:
        return days(range(args.first, args.first + args.days))
    seeds = args.seeds
    for n, count in ((20, seeds * 3), (200, seeds)):
        took, _ = killed(n, count)
        print(
            f"simulated, {n}: killed known to all, {len(took)} kills: median {middle(took, 0.5):.0f} ms, "
            f"p99 {middle(took, 0.99):.0f} ms, most {max(took):.0f} ms"
        )
    for n, count in ((20, seeds), (200, max(1, seeds // 5))):
        took, alarms = killed(n, count, 0.05)
        print(
            f"simulated, {n}, 5% loss: median {middle(took, 0.5):.0f} ms, most {max(took):.0f} ms, "
            f"live ones declared gone {alarms}"
        )
    for n in (20, 200):
        out, messages, spent, start = idle(n)
        print(
            f"simulated, {n}, idle: {out / 1000:.2f} kB/s and {messages:.1f} messages/s a copy, "
            f"deciding part {100 * spent:.2f}% of a core; all starting within 1 s, the busiest sent "
            f"{start} messages in its first 40 s"
        )
    took, share, traffic, n = real(20)
    told = ", ".join(f"{t:.0f}" for t in took)
    print(
        f"real sockets, {n} in one process: killed known to all {told} ms; idle "
        f"{100 * share:.2f}% of a core and {traffic / 1000:.2f} kB/s a copy"
    )


if __name__ == "__main__":
    main()
