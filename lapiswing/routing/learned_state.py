"""Saves what a router has learned, for the next process: plain lists that refer to things by name and id.

Kinds of servers and request classes are matched by name, so their figures survive a change of the fleet; a server's figures
apply only to the same start of it. Shares, links, waits, cached prefixes and tenants' quotas depend on the old fleet and start
afresh."""

MAX_FIGURE = 1 << 62


def save(router, min_failure_score):
    """-> for each request class the duration of answers; for each kind its read cost and what one of its servers served for
    all gateways together; for each server its failure score and read cost. A server without read cost gets a row only with a
    failure score above `min_failure_score`."""
    kinds = [
        [name, role, *cost, float(served[0] / served[1]) * router.gateways]
        for name, (role, _), cost, served in zip(router.kind_names, router.kinds, router.kind_read_cost, router.kind_served)
    ]
    servers = [
        [s.id, s.started_us, s.failure_score, s.read_us, s.read_tokens]
        for s in router.servers.values()
        if s.mode == "ready" and (s.failure_score > min_failure_score or s.read_tokens)
    ]
    classes = [[c.name, us] for c, us in zip(router.request_classes, router.answer_us)]
    return {"groups": classes, "kinds": kinds, "boxes": servers}


def restore(router, saved):
    """-> a text on what was restored. Raises ValueError, TypeError or LookupError on saved state that can't be read; then
    nothing is restored."""
    if not all(type(x) is str or 0 <= x < MAX_FIGURE for v in saved.values() for row in v for x in row):
        raise ValueError("a figure is out of range")
    classes = {name: float(us) for name, us in saved["groups"]}
    kinds = {(name, role): [*map(float, (us, tokens, rps))] for name, role, us, tokens, rps in saved["kinds"]}
    servers = {
        server: (int(started_us), min(1.0, score), float(us), float(tokens))
        for server, started_us, score, us, tokens in saved["boxes"]
    }
    router.answer_us, router.restored_servers = [classes.get(c.name, 0.0) for c in router.request_classes], servers
    known = [kinds.get((name, role)) for name, (role, _) in zip(router.kind_names, router.kinds)]
    for i, (us, tokens, rps) in [(i, row) for i, row in enumerate(known) if row]:
        router.kind_read_cost[i], router.kind_served[i] = [us, tokens], [rps / router.gateways, 1.0]
    return "restored: %d of %d kinds, %d of %d request classes, %d servers" % (
        len(known) - known.count(None),
        len(router.kinds),
        sum(us > 0 for us in router.answer_us),
        len(router.request_classes),
        len(servers),
    )
