"""Compares the router's record of each model server with the state of the sockets. For diagnosis; SIGUSR1 logs it."""


def rows(core, servers, pool):
    """-> one dict for each server that the router knows. `believed` and `out` count attempts without an outcome, as recorded
    by the router and by the core; `busy` counts connections with a request on them, including releases."""
    believed, out = {}, {}
    for req in core.router.reqs.values():
        for attempt in req.attempts:
            if attempt.is_open:
                believed[attempt.server.id] = believed.get(attempt.server.id, 0) + 1
    for req in core.reqs.values():
        for attempt in req.attempts.values():
            out[attempt.server] = out.get(attempt.server, 0) + 1
    busy, idle = {}, {}
    for conn in pool.all:
        counts = idle if conn.exchange is None else busy
        counts[conn.address] = counts.get(conn.address, 0) + 1
    result = []
    for server in core.router.servers.values():
        address = servers.addresses.get(server.id)
        result.append(
            {
                "box": server.id,
                "mode": server.mode,
                "listed": address is not None,
                "suspect": server.ejected,
                "cold": server.cold,
                "bad": round(server.failure_score, 2),
                "held": round(server.memory_used, 2),
                "told_ms": server.reported_wait_us // 1000,
                "believed": believed.get(server.id, 0),
                "unbegun": len(server.waiting),
                "out": out.get(server.id, 0),
                "busy": busy.get(address, 0),
                "idle": idle.get(address, 0),
            }
        )
    return result
