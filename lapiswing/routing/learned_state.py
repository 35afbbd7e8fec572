"""What the decisions of one process learnt, for the next one: plain lists by names and ids.

Kinds and groups count by name, so they outlive a move; a server only as the same start of it. Shares, links, waits, texts
and tenants' shares belong to the old shape and start afresh."""

MOST = 1 << 62  # of any figure


def save(router, least_bad):
    """-> the lengths of answers, of each kind its read cost and what all gateways together were served by one, of each
    server its trouble and read cost. `least_bad`: of a failure score, that alone is worth a row."""
    kinds = [
        [name, role, *cost, float(took[0] / took[1]) * router.gateways]
        for name, (role, _), cost, took in zip(router.names, router.kinds, router.kind_cost, router.kind_took)
    ]
    boxes = [
        [m.id, m.started_us, m.failure_score, m.read_us, m.read_tokens]
        for m in router.servers.values()
        if m.mode == "ready" and (m.failure_score > least_bad or m.read_tokens)
    ]
    groups = [[g.name, us] for g, us in zip(router.groups, router.answer_us)]
    return {"groups": groups, "kinds": kinds, "boxes": boxes}


def restore(router, learnt):
    """-> a line on what was taken up. Raises ValueError, TypeError or LookupError on what can't be read, and then nothing
    is taken up."""
    if not all(type(x) is str or 0 <= x < MOST for v in learnt.values() for row in v for x in row):
        raise ValueError("a figure is out of range")
    groups = {name: float(us) for name, us in learnt["groups"]}
    kinds = {(name, role): [*map(float, (us, of, rps))] for name, role, us, of, rps in learnt["kinds"]}
    boxes = {box: (int(started), min(1.0, bad), float(us), float(tokens)) for box, started, bad, us, tokens in learnt["boxes"]}
    router.answer_us, router.carried = [groups.get(g.name, 0.0) for g in router.groups], boxes
    known = [kinds.get((name, role)) for name, (role, _) in zip(router.names, router.kinds)]
    for i, (us, tokens, rps) in [(i, row) for i, row in enumerate(known) if row]:
        router.kind_cost[i], router.kind_took[i] = [us, tokens], [rps / router.gateways, 1.0]
    return "taken up: %d of %d kinds, %d of %d groups, %d boxes" % (
        len(known) - known.count(None),
        len(router.kinds),
        sum(us > 0 for us in router.answer_us),
        len(router.groups),
        len(boxes),
    )
