"""What the decisions believe of each model server, beside what the sockets show. For those who look;
SIGUSR1 logs it."""


def rows(core, servers, pool):
    """One dict for each server that the module knows. `believed` and `out` are forwards without an outcome, by
    the module's books and the core's; `busy` are connections with a request on them, releases included."""
    believed, out = {}, {}
    for req in core.router.reqs.values():
        for forward in req.attempts:
            if forward[3]:
                believed[forward[0].id] = believed.get(forward[0].id, 0) + 1
    for req in core.reqs.values():
        for one in req.attempts.values():
            out[one.server] = out.get(one.server, 0) + 1
    busy, idle = {}, {}
    for conn in pool.all:
        side = idle if conn.exchange is None else busy
        side[conn.address] = side.get(conn.address, 0) + 1
    found = []
    for m in core.router.servers.values():
        address = servers.addresses.get(m.id)
        found.append(
            {
                "box": m.id,
                "mode": m.mode,
                "listed": address is not None,
                "suspect": m.ejected,
                "cold": m.cold,
                "bad": round(m.failure_score, 2),
                "held": round(m.memory_used, 2),
                "told_ms": m.reported_wait_us // 1000,
                "believed": believed.get(m.id, 0),
                "unbegun": len(m.waiting),
                "out": out.get(m.id, 0),
                "busy": busy.get(address, 0),
                "idle": idle.get(address, 0),
            }
        )
    return found
