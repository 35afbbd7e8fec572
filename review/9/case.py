"""Readers fall silent: the state that a read in doubt has left stays held while the next read is lost in an open connection."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "rig2"))

from rig import Discovery, Fleet, Gateway, ask, now, play  # noqa: E402
from sites import obedar_chat  # noqa: E402

LIMIT_S = 0.5 + 0.3 + 0.05
ROUNDS, CUT_S = 3, 6.0


async def main(record, folder, trouble, gateways):
    fleet = Fleet(record)
    for i in range(5):
        (await fleet.add(f"r{i}", "read", "ba-ruzinov")).read_s = 0.06
        await fleet.add(f"w{i}", "write", "ba-ruzinov")
    readers = [s for s in fleet.servers.values() if s.role == "read"]
    discovery = Discovery(record, lambda: [s.row() for s in fleet.servers.values()])
    await discovery.start()
    gateway = Gateway(record, folder, "n1", obedar_chat(), discovery.address, discovery.whole())
    gateways.append(gateway)
    gateway.start()
    await gateway.ready()
    tasks, count = [], 0

    async def traffic(seconds, every):
        nonlocal count
        end = now() + seconds
        while now() < end:
            count += 1
            tasks.append(asyncio.ensure_future(ask(record, gateway, f"a{count}", "menu-question", 5.0)))
            await asyncio.sleep(every)

    await traffic(8, 0.1)
    for number in range(ROUNDS):
        for i in range(3):
            tasks.append(asyncio.ensure_future(ask(record, gateway, f"c{number}-{i}", "menu-question", 5.0)))
        await asyncio.sleep(0.03)
        silent = [s for s in readers if s is not readers[number + 2]]
        if trouble:
            record("CUT " + " ".join(s.name for s in silent))
            for server in silent:
                await server.cut_link()
        await asyncio.sleep(0.5)
        await traffic(CUT_S - 0.5, 0.5)
        if trouble:
            record("HEALED")
            for server in silent:
                await server.heal_link()
        await traffic(10, 0.1)
    await asyncio.gather(*tasks)
    await asyncio.sleep(1.5)
    breaks = []
    for rid in sorted({hold[0] for hold in fleet.holds}):
        worst, at = fleet.longest_pin(rid)
        if worst > LIMIT_S:
            breaks.append(
                f"pinned: {rid}, held with no forward out for {worst:.3f} s from {at:.3f} s; {LIMIT_S:.2f} s are allowed"
            )
    return breaks


play(main, __file__)
