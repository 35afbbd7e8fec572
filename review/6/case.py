"""A keyed request runs twice: its repeat waits in a cut connection until the servers have forgotten the first run."""

import asyncio
import socket
import struct
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "rig2"))

from rig import Discovery, Fleet, Gateway, ask, now, play  # noqa: E402
from sites import tram_tickets  # noqa: E402

WINDOW_S = 1.5  # for which servers drop repeats, from the arrival of the first forward that ran
SLACK_S = 0.05
ROUNDS, CUT_S = 3, 2.5


async def main(record, folder, trouble, gateways):
    fleet, rounds = Fleet(record), {}  # rounds: id -> the servers that stay reachable in its round
    for i in range(2):
        await fleet.add(f"r{i}", "read", "depot")
        await fleet.add(f"w{i}", "write", "depot")
    for i in range(5):
        await fleet.add(f"m{i}", "both", "depot")
    mixed = [s for s in fleet.servers.values() if s.role == "both"]

    def known(rid):
        """Servers of the site drop a repeat for the window after the first run, and answer it."""
        first = next((at for at, r, _ in fleet.runs if r == rid), None)
        return first is not None and now() - first <= WINDOW_S

    async def reset(server, conn, rid, stage):
        """Runs the request and resets its connection before the first event."""
        if not trouble or server.name not in rounds.get(rid, ()) or stage == "read" or any(r == rid for _, r, _ in fleet.runs):
            return False
        fleet.fetched(rid, server.name)
        fleet.run(rid, server.name)
        await asyncio.sleep(0.3)
        record(f"{server.name} RESET under {rid}")
        conn.transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        conn.transport.abort()
        return True

    for server in fleet.servers.values():
        server.fault, server.known, server.first_s = reset, known, 0.4
    discovery = Discovery(record, lambda: [s.row() for s in fleet.servers.values()])
    await discovery.start()
    gateway = Gateway(record, folder, "n1", tram_tickets(), discovery.address, discovery.whole())
    gateways.append(gateway)
    gateway.start()
    await gateway.ready()
    tasks, count = [], 0

    async def traffic(seconds, every):
        nonlocal count
        end = now() + seconds
        while now() < end:
            count += 1
            tasks.append(asyncio.ensure_future(ask(record, gateway, f"a{count}", "seat-question", 3.5)))
            await asyncio.sleep(every)

    await traffic(8, 0.1)
    for number in range(ROUNDS):
        others = [s for s in mixed if s is not mixed[number % len(mixed)]]  # four in five servers of one kind
        heard = {s.name for s in fleet.servers.values() if s not in others}
        for i in range(12):
            rid = f"c{number}-{i}"
            rounds[rid] = heard
            tasks.append(asyncio.ensure_future(ask(record, gateway, rid, "seat-reservation", 4.0)))
        await asyncio.sleep(0.25)
        if trouble:
            record("CUT " + " ".join(s.name for s in others))
            for server in others:
                await server.cut_link()
        await traffic(CUT_S, 0.5)
        if trouble:
            record("HEALED")
            for server in others:
                await server.heal_link()
        await traffic(6, 0.1)
    await asyncio.gather(*tasks)
    breaks = []
    for rid in rounds:
        runs = [(at, name) for at, r, name in fleet.runs if r == rid]
        for at, name in runs[1:]:
            if at - runs[0][0] > WINDOW_S + SLACK_S:
                breaks.append(f"duplicate: {rid} ran at {runs[0][1]} at {runs[0][0]:.3f} s and at {name} at {at:.3f} s")
    return breaks


play(main, __file__)
