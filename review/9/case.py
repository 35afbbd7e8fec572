"""A gateway comes back while discovery is silent, and serves from its old list: what the agent has counts as told."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "rig2"))

from rig import Discovery, Fleet, Gateway, ask, now, play  # noqa: E402
from sites import suva_catchup  # noqa: E402

GRACE_S, SLACK_S = 0.5, 0.05
SILENT_S = 8.0
GATEWAYS = 3  # of which one dies


async def main(record, folder, trouble, gateways):
    fleet = Fleet(record)
    for i in range(5):
        await fleet.add(f"r{i}", "read", "walu-bay")
        await fleet.add(f"w{i}", "write", "walu-bay")

    async def draining(server, conn, rid, stage):
        """A server that drains turns away what is new."""
        if server.status != "DRAINING":
            return False
        server.end([o for o in fleet.outs if o.rid == rid and o.conn is conn][-1], 503, srv_declined="1")
        return True

    for server in fleet.servers.values():
        server.fault = draining
    discovery = Discovery(record, lambda: [s.row() for s in fleet.servers.values()])
    await discovery.start()
    for i in range(GATEWAYS):
        settings = {**suva_catchup(), "Balancers": GATEWAYS, "Me": i}
        gateways.append(Gateway(record, folder, f"n{i}", settings, discovery.address, discovery.whole()))
        gateways[i].start()
    for each in gateways:
        await each.ready()
    gateway, serving = gateways[0], list(gateways)  # the one that dies; those to which the front sends
    tasks, count = [], 0

    async def traffic(seconds):
        nonlocal count
        end = now() + seconds
        while now() < end:
            count += 1
            tasks.append(asyncio.ensure_future(ask(record, serving[count % len(serving)], f"a{count}", "catchup-chat", 6.0)))
            await asyncio.sleep(0.05)

    await traffic(4)
    gateway.kill()
    serving.remove(gateway)
    await traffic(0.5)
    for name in ("r0", "w0"):
        fleet.servers[name].status = "DRAINING"
    discovery.tell(fleet.servers["r0"].row(), fleet.servers["w0"].row())  # from now on the agent has it
    await traffic(1.0)
    silent_since = now()
    if trouble:
        record("SILENT: discovery is down")
        discovery.silent = True
    await traffic(0.5)
    born = now()
    gateway.start()  # with the list that it held when it was killed

    async def return_of_discovery():
        await asyncio.sleep(silent_since + SILENT_S - now())
        if trouble:
            record("discovery is back")
            discovery.back()

    back = asyncio.ensure_future(return_of_discovery())
    await gateway.ready()
    serving.append(gateway)
    await traffic(max(3.0, silent_since + SILENT_S + 2 - now()))
    await back
    await asyncio.gather(*tasks)
    limit = born + GRACE_S + SLACK_S
    late = [o for o in fleet.outs if o.server in ("r0", "w0") and o.since > limit]
    if not late:
        return []
    return [
        f"drain: {len(late)} forwards to r0 and w0 after {limit:.3f} s; the gateway started at {born:.3f} s, when the agent had "
        f"their drain; from {late[0].since:.3f} to {late[-1].since:.3f} s"
    ]


play(main, __file__)
