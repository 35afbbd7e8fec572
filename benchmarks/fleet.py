"""Benchmarks of the fleet link: time until a killed member is detected, cost while idle, and cost when all members start.

    python benchmarks/fleet.py [--seeds 20]
    python benchmarks/fleet.py --days 1000 [--from 0]     # random fault scenarios by seed; exit code 1 if one fails

Simulated: links under a simulated clock and network (0.2 to 2 ms per message). Real: links in one process on
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

S = 1000  # milliseconds


def quantile(values, part):
    """-> the value below which `part` of the values lie"""
    values = sorted(values)
    return values[min(len(values) - 1, int(len(values) * part))]


def kill_detection(member_count, seeds, loss=0.0):
    """Kills 3 members for each seed. -> ms until all others know, for each; number of false reports of "gone"."""
    durations_ms, false_reports = [], 0
    for seed in range(seeds):
        fleet = Fleet(member_count, seed)
        fleet.start_all(1000)
        assert fleet.run(30 * S, fleet.all_alive)
        fleet.run(5 * S)
        fleet.net.loss = loss
        dead, wrong_reports = set(), []
        for node in fleet.up():
            node.link.on_member = lambda member, previous: (
                wrong_reports.append(member.id)
                if member.state == "gone" and int(member.id.partition("#")[0][3:]) not in dead
                else None
            )
        for victim in (member_count - 1, member_count - 2, member_count - 3):
            dead.add(victim)
            fleet.kill(victim)
            living = [number for number in range(member_count) if number not in dead]
            durations_ms.append(fleet.run(30 * S, lambda: all(fleet.sees(number, victim) == "gone" for number in living)))
        false_reports += len(wrong_reports)
    return durations_ms, false_reports


def idle(member_count):
    """Simulates an idle fleet. -> for each member: bytes per second, messages per second, processor time of the protocol logic
    per second; and the messages of the busiest member after the start"""
    fleet = Fleet(member_count, 1)
    fleet.start_all(1000)
    fleet.run(40 * S)
    start_messages = max(node.link.counts["out"] for node in fleet.up())
    bytes_before, began_s = sum(node.link.counts["bytes out"] for node in fleet.up()), time.process_time()
    messages_before = fleet.messages
    fleet.run(30 * S)
    spent_s = time.process_time() - began_s
    bytes_out = sum(node.link.counts["bytes out"] for node in fleet.up()) - bytes_before
    return (
        bytes_out / member_count / 30,
        (fleet.messages - messages_before) / member_count / 30,
        spent_s / member_count / 30,
        start_messages,
    )


def real(member_count, seconds=10):
    """Runs links on loopback sockets in one process. -> ms until all know of each of 3 killed ones; share of a core and bytes
    per second of an idle one; number of links"""
    loop, ports = Loop(Clock()), free_ports(member_count)
    links, transports = [], []

    def tick(number):
        if transports[number] is not None:
            links[number].tick(loop.clock.now_us())
            loop.call_later(TICK_US, tick, number)

    for number, port in enumerate(ports):
        rng = Random(number)
        transport = Streams(
            loop,
            "127.0.0.1",
            port,
            lambda data, number=number: transports[number] and links[number].heard(loop.clock.now_us(), data),
        )
        transports.append(transport)
        links.append(
            Link(
                f"gw-{number}",
                f"127.0.0.1:{port}",
                [f"127.0.0.1:{seed_port}" for seed_port in ports[:3]],
                [b"k" * 32],
                rng.random,
                rng.randbytes(16),
                transport.send,
                loop.clock.now_us(),
            )
        )
        loop.call_later(rng.randrange(TICK_US), tick, number)
    link_ids = {link.id for link in links}
    assert loop.run_until(lambda: all(len(link.members.alive()) == member_count - 1 for link in links), 20_000_000)
    loop.run_until(lambda: False, 5_000_000)
    began_s, bytes_before = time.process_time(), sum(link.counts["bytes out"] for link in links)
    loop.run_until(lambda: False, seconds * 1_000_000)
    core_share = (time.process_time() - began_s) / seconds / member_count
    bytes_per_s = (sum(link.counts["bytes out"] for link in links) - bytes_before) / seconds / member_count
    durations_ms, dead = [], set()
    for victim in range(member_count - 1, member_count - 4, -1):
        transports[victim].close()
        transports[victim] = None
        dead.add(victim)
        killed_us = loop.clock.now_us()
        assert loop.run_until(
            lambda: all(
                links[number].members.state_of(links[victim].id) == "gone" for number in range(member_count) if number not in dead
            ),
            20_000_000,
        )
        durations_ms.append((loop.clock.now_us() - killed_us) / 1000)
    for transport in transports:
        if transport is not None:
            transport.close()
    loop.close()
    return durations_ms, core_share, bytes_per_s, len(link_ids)


def days(seeds):
    """Plays random fault scenarios; exits with 1 if one fails."""
    began_s, failed = time.monotonic(), 0
    for seed in seeds:
        day = fleetdays.play(seed)
        if day.faults:
            failed += 1
            print(f"seed {seed}: {'; '.join(day.faults[:3])}")
    print(f"{len(seeds)} days, {failed} failed, {time.monotonic() - began_s:.0f} s")
    sys.exit(1 if failed else 0)


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--seeds", type=int, default=10)
    parser.add_argument("--days", type=int)
    parser.add_argument("--from", type=int, default=0, dest="first")
    args = parser.parse_args()
    if args.days:
        return days(range(args.first, args.first + args.days))
    seeds = args.seeds
    for member_count, seed_count in ((20, seeds * 3), (200, seeds)):
        durations_ms, _ = kill_detection(member_count, seed_count)
        print(
            f"simulated, {member_count}: killed known to all, {len(durations_ms)} kills: "
            f"median {quantile(durations_ms, 0.5):.0f} ms, p99 {quantile(durations_ms, 0.99):.0f} ms, "
            f"most {max(durations_ms):.0f} ms"
        )
    for member_count, seed_count in ((20, seeds), (200, max(1, seeds // 5))):
        durations_ms, false_reports = kill_detection(member_count, seed_count, 0.05)
        print(
            f"simulated, {member_count}, 5% loss: median {quantile(durations_ms, 0.5):.0f} ms, most {max(durations_ms):.0f} ms, "
            f"live ones declared gone {false_reports}"
        )
    for member_count in (20, 200):
        bytes_out, messages, spent_s, start_messages = idle(member_count)
        print(
            f"simulated, {member_count}, idle: {bytes_out / 1000:.2f} kB/s and {messages:.1f} messages/s per member, "
            f"protocol logic {100 * spent_s:.2f}% of a core; all starting within 1 s, the busiest sent "
            f"{start_messages} messages in its first 40 s"
        )
    durations_ms, core_share, bytes_per_s, member_count = real(20)
    shown = ", ".join(f"{duration:.0f}" for duration in durations_ms)
    print(
        f"real sockets, {member_count} in one process: killed known to all {shown} ms; idle "
        f"{100 * core_share:.2f}% of a core and {bytes_per_s / 1000:.2f} kB/s per member"
    )


if __name__ == "__main__":
    main()
