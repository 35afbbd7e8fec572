"""The scripted days, each a function of a seed. `required_cases` names the cases that a day is there to test; the audit must
see all of them."""

from random import Random

from lapiswing.lab.plan import CallPlan, ClassPlan, Day

SHARED = [
    "You answer questions about the week's menu. " * 60,
    "Allergens by dish: " + "soup: celery; " * 120,
    "You take and change orders for lunch. " * 40,
]
LENGTH_MS = 7000


def servers(readers=3, writers=4, mixed=0, **more):
    """Specs of prefill servers (role "read"), decode servers ("write") and servers that do both, in two zones."""
    out = []
    for i in range(readers + writers + mixed):
        role = "read" if i < readers else "write" if i < readers + writers else "both"
        out.append(
            {
                "id": f"b{i}",
                "role": role,
                "zone": "ab"[i % 2],
                "cell": "ab"[i % 2],
                "step_ms": 8.0,
                "read_per_s": 12000.0,
                "rate": 14.0 if role == "read" else 10.0,
                "slots": 24,
                "queue": 24,
                "memory": 120000,
                "ramp_ms": 4000.0,
                "cold_from": 0.3,
                **more,
            }
        )
    return out


def classes():
    """The request classes of all scripted days, one for each effect and repeat scope."""
    return [
        ClassPlan("question", resume=True),
        ClassPlan("order", "KEYED"),
        ClassPlan("order-here", "KEYED", "ZONE"),
        ClassPlan("pay", "NON_REPLAYABLE"),
    ]


CLASS_SHARES = [("question", 0.6), ("order", 0.2), ("order-here", 0.1), ("pay", 0.1)]


def calls(rng, rate, length_ms=LENGTH_MS, gateways=2, mix=CLASS_SHARES, tokens=(8, 60), **more):
    """Poisson arrivals of calls at `rate` per second. Some continue an earlier conversation."""
    out, at_ms = [], 0.0
    conversations = []
    while True:
        at_ms += rng.expovariate(rate) * 1000
        if at_ms >= length_ms:
            return out
        model = rng.choices([m for m, _ in mix], [p for _, p in mix])[0]
        if conversations and rng.random() < 0.4:
            texts = list(rng.choice(conversations))
            texts += [("assistant", "soup and bread " * rng.randint(3, 20))]
        else:
            texts = [("system", SHARED[rng.randrange(len(SHARED))])]
        texts.append(("user", f"Question {rng.randrange(10**9)}: " + "what is for lunch? " * rng.randint(1, 40)))
        conversations = [*conversations[-30:], texts]
        out.append(
            CallPlan(
                f"c{len(out)}",
                at_ms,
                rng.randrange(gateways),
                model,
                texts,
                rng.randint(*tokens),
                6000,
                importance=2.0 if model != "question" else 1.0,
                stream=rng.random() < 0.85,
                **more,
            )
        )


def of_role(rows, role):
    """The ids of the servers with this role."""
    return [b["id"] for b in rows if b["role"] == role]


def make_day(name, seed, rate=22, required_cases=(), script=(), rows=None, plans=None, rng=None, **more):
    """A Day with the usual request classes; `rows` are server specs, `plans` the calls."""
    rng = rng or Random(f"{name}/{seed}")
    rows = rows or servers()
    return Day(
        name,
        seed,
        rows,
        classes(),
        plans if plans is not None else calls(rng, rate),
        LENGTH_MS,
        script=list(script),
        required_cases=["final done", *required_cases],
        **more,
    )


def quiet(seed):
    """No faults."""
    return make_day("quiet", seed, rate=15)


def reader_dies(seed):
    """A prefill server crashes."""
    rng = Random(f"reader_dies/{seed}")
    rows = servers(read_per_s=4000.0)
    victim = rng.choice(of_role(rows, "read"))
    return make_day(
        "reader-dies",
        seed,
        rows=rows,
        rng=rng,
        required_cases=["fault die", "down"],
        script=[{"at_ms": rng.uniform(1500, 3500), "boxes": [victim], "do": "die"}],
    )


def writer_dies(seed):
    """Two decode servers crash while they stream answers."""
    rng = Random(f"writer_dies/{seed}")
    rows = servers()
    return make_day(
        "writer-dies-mid-stream",
        seed,
        rows=rows,
        rng=rng,
        plans=calls(rng, 22, tokens=(60, 120)),
        required_cases=["fault die", "end left"],
        script=[
            {"at_ms": rng.uniform(1500, 2500), "boxes": [of_role(rows, "write")[0]], "do": "die"},
            {"at_ms": rng.uniform(3000, 4500), "boxes": [of_role(rows, "write")[2]], "do": "die"},
        ],
    )


def hang(seed):
    """Servers accept requests without answering, and streams stall."""
    rng = Random(f"hang/{seed}")
    rows = servers()
    return make_day(
        "hang",
        seed,
        rows=rows,
        rng=rng,
        required_cases=["fault hang", "fault stall"],
        script=[
            {"at_ms": 1200, "for_ms": 2500, "boxes": [rng.choice(of_role(rows, "write"))], "do": "hang"},
            {"at_ms": 2000, "for_ms": 2500, "boxes": [rng.choice(of_role(rows, "read"))], "do": "hang"},
            {"at_ms": 4000, "for_ms": 2000, "boxes": [rng.choice(of_role(rows, "write"))], "do": "stall"},
        ],
    )


def fast_errors(seed):
    """Servers answer at once with errors, or refuse all requests."""
    rng = Random(f"fast_errors/{seed}")
    rows = servers()
    return make_day(
        "fast-errors",
        seed,
        rows=rows,
        rng=rng,
        required_cases=["fault errors", "end error"],
        script=[
            {"at_ms": 1000, "for_ms": 3000, "boxes": [rng.choice(of_role(rows, "write"))], "do": "errors", "size": 0.9},
            {"at_ms": 2500, "for_ms": 2500, "boxes": [rng.choice(of_role(rows, "read"))], "do": "errors", "size": 0.9},
            {"at_ms": 4500, "for_ms": 1500, "boxes": [rng.choice(of_role(rows, "write"))], "do": "refuse"},
        ],
    )


def drain(seed):
    """One server is listed as draining, one reports itself that it drains, and one leaves the list while it still runs."""
    rng = Random(f"drain/{seed}")
    rows = servers()
    readers, writers = of_role(rows, "read"), of_role(rows, "write")
    return make_day(
        "drain",
        seed,
        rows=rows,
        rng=rng,
        required_cases=["told that a box drains or is gone", "fault drain", "end refused"],
        script=[{"at_ms": 2500, "for_ms": 2000, "boxes": [writers[3]], "do": "drain"}],
        list_changes=[
            (1200 + rng.uniform(0, 300), writers[0], "draining", None),
            (1800, readers[0], "gone", None),
            (4500, writers[0], "ready", None),
            (4700, readers[0], "ready", None),
        ],
    )


def cold(seed):
    """Two decode servers and a prefill server crash and return in slow start; the list announces their return."""
    rng = Random(f"cold/{seed}")
    rows = servers(4, 5)
    readers, writers = of_role(rows, "read"), of_role(rows, "write")
    away = rng.uniform(600, 1500)
    list_changes = [
        (1500 + away + 20 + rng.uniform(0, 150), b, "ready", 1500 + away) for b in (writers[0], writers[1], readers[0])
    ]
    return make_day(
        "returns-cold",
        seed,
        rows=rows,
        rng=rng,
        rate=30,
        required_cases=["fault die", "up", "cold"],
        script=[{"at_ms": 1500, "for_ms": away, "boxes": [writers[0], writers[1], readers[0]], "do": "die"}],
        list_changes=[(1600, b, "gone", None) for b in (writers[0], writers[1], readers[0])] + list_changes,
    )


def lying_list(seed):
    """The list shows crashed servers as ready, drops running ones, and is late with both."""
    rng = Random(f"lying_list/{seed}")
    rows = servers(3, 5)
    rows[-1]["up"] = False  # listed, but never running
    readers, writers = of_role(rows, "read"), of_role(rows, "write")
    return make_day(
        "list-lies",
        seed,
        rows=rows,
        rng=rng,
        required_cases=["fault die", "told that a box drains or is gone"],
        script=[{"at_ms": 1500, "boxes": [writers[1]], "do": "die"}],
        list_changes=[
            (2000, writers[0], "gone", None),
            (2300, writers[2], "draining", None),
            (2300, readers[1], "gone", None),
            (2600, writers[2], "ready", None),
            (2900, writers[2], "draining", None),
            (3300, writers[2], "ready", None),
            (4300, writers[0], "ready", None),
            (4300, readers[1], "ready", None),
            (5500, writers[1], "gone", None),
        ],
    )


def gateway_killed(seed):
    """One gateway is killed, the other ended by SIGTERM; both are started again."""
    rng = Random(f"gateway_killed/{seed}")
    return make_day(
        "gateway-killed",
        seed,
        rng=rng,
        required_cases=["tries at a killed gateway"],
        gateway_events=[(2000 + rng.uniform(0, 500), 0, "kill"), (2700, 0, "start"), (4200, 1, "term"), (5200, 1, "start")],
    )


def overload(seed):
    """More load than the servers can do; many clients ignore the retry-after."""
    rng = Random(f"overload/{seed}")
    rows = servers(2, 2, read_per_s=6000.0, slots=8, queue=6)
    plans = calls(rng, 60, tokens=(20, 80))
    for plan in plans:
        plan.honour = rng.random() < 0.6
    return make_day("overload", seed, rows=rows, rng=rng, plans=plans, required_cases=["final pushed back"])


def leavers(seed):
    """Clients disconnect at any point; some repeat the call at once with the same key, others read slowly."""
    rng = Random(f"leavers/{seed}")
    plans = calls(rng, 25)
    for plan in plans:
        if rng.random() < 0.4:
            plan.leave_ms, plan.again = rng.uniform(5, 700), rng.random() < 0.7
        elif rng.random() < 0.1:
            plan.slow = True
    return make_day("leavers", seed, rng=rng, plans=plans, required_cases=["final left", "end left"])


def several(seed):
    """Within seconds a decode server hangs, answers get lost everywhere, two servers crash and return in slow start, and a
    gateway is killed."""
    rng = Random(f"several/{seed}")
    rows = servers(4, 5, 1)
    readers, writers = of_role(rows, "read"), of_role(rows, "write")
    plans = calls(rng, 28)
    for plan in plans:
        if rng.random() < 0.1:
            plan.leave_ms, plan.again = rng.uniform(50, 600), True
    return make_day(
        "several-at-once",
        seed,
        rows=rows,
        rng=rng,
        plans=plans,
        required_cases=["fault hang", "fault lost", "tries at a killed gateway", "end lost"],
        script=[
            {"at_ms": 1500, "for_ms": 2000, "boxes": [writers[0]], "do": "hang"},
            {"at_ms": 2000, "for_ms": 2500, "boxes": [*readers, *writers[2:]], "do": "lost", "size": 0.25},
            {"at_ms": 2500, "for_ms": 1000, "boxes": [writers[1], readers[0]], "do": "die"},
            {"at_ms": 3000, "for_ms": 1500, "boxes": [writers[3]], "do": "slow", "size": 6},
            {"at_ms": 4800, "for_ms": 1200, "boxes": [rng.choice(readers)], "do": "garbage", "size": "bytes"},
        ],
        list_changes=[
            (2700, writers[1], "gone", None),
            (2700, readers[0], "gone", None),
            (3600, writers[1], "ready", 3500),
            (3600, readers[0], "ready", 3500),
        ],
        gateway_events=[(2600, 1, "kill"), (3300, 1, "start")],
    )


def garbage(seed):
    """Servers send invalid answers: random bytes, endless heads, endless lines, broken JSON."""
    rng = Random(f"garbage/{seed}")
    rows = servers(3, 5)
    readers, writers = of_role(rows, "read"), of_role(rows, "write")
    return make_day(
        "garbage",
        seed,
        rows=rows,
        rng=rng,
        rate=16,
        required_cases=["fault garbage", "end garbage"],
        script=[
            {"at_ms": 1000 + 1000 * i, "for_ms": 900, "boxes": [box], "do": "garbage", "size": kind}
            for i, (box, kind) in enumerate(
                [(writers[0], "bytes"), (readers[0], "head"), (writers[1], "line"), (readers[1], "json"), (writers[2], "json")]
            )
        ],
    )


def sessions(seed):
    """60% of the calls use twelve sessions whose connections break repeatedly; the rest are plain HTTP."""
    rng = Random(f"sessions/{seed}")
    plans = calls(rng, 25)
    for plan in plans:
        if rng.random() < 0.6:
            plan.session = rng.randrange(12)
    session_drops = [(rng.uniform(800, 6500), s, rng.choice([5, 50, 200, 800])) for s in range(12) for _ in range(4)]
    return make_day(
        "sessions",
        seed,
        rng=rng,
        plans=plans,
        session_drops=sorted(session_drops),
        required_cases=["tries over sessions", "sessions cut"],
    )


def sessions_in_trouble(seed):
    """Session connections break while servers crash and hang, one gateway is killed and the other drains."""
    rng = Random(f"sessions_in_trouble/{seed}")
    rows = servers(4, 5)
    readers, writers = of_role(rows, "read"), of_role(rows, "write")
    plans = calls(rng, 25)
    for plan in plans:
        if rng.random() < 0.6:
            plan.session = rng.randrange(12)
        elif rng.random() < 0.1:
            plan.leave_ms, plan.again = rng.uniform(50, 600), True
    session_drops = [(rng.uniform(800, 6500), s, rng.choice([5, 50, 200])) for s in range(12) for _ in range(3)]
    return make_day(
        "sessions-in-trouble",
        seed,
        rows=rows,
        rng=rng,
        plans=plans,
        session_drops=sorted(session_drops),
        required_cases=["tries over sessions", "sessions cut", "tries at a killed gateway", "fault hang"],
        script=[
            {"at_ms": 1500, "boxes": [writers[0]], "do": "die"},
            {"at_ms": 2500, "for_ms": 1500, "boxes": [writers[1]], "do": "hang"},
            {"at_ms": 3500, "for_ms": 2000, "boxes": [readers[0], writers[2]], "do": "lost", "size": 0.3},
        ],
        gateway_events=[(2200, 1, "kill"), (2900, 1, "start"), (4500, 0, "term"), (6200, 0, "start")],
    )


def moves(seed, plain=False):
    """Servers transfer real state bytes over paths that slow down, corrupt, cut and hold the transfers. Calls use HTTP and
    sessions."""
    rng = Random(f"moves/{seed}")
    rows = servers(4, 5, state_bytes=1024, plain_moves=plain)
    readers = of_role(rows, "read")
    plans = calls(rng, 25)
    for plan in plans:
        if rng.random() < 0.3:
            plan.session = rng.randrange(6)
    return make_day(
        "plain-moves" if plain else "moves",
        seed,
        rows=rows,
        rng=rng,
        plans=plans,
        session_drops=[(rng.uniform(1000, 6000), s, 50) for s in range(6)],
        required_cases=["moved", "fault path_flip", "fault path_cut", "fault path_hold", "fault path_slow"],
        script=[
            {"at_ms": 800, "for_ms": 1800, "boxes": [readers[0], readers[1]], "do": "path_flip", "size": 0.15},
            {"at_ms": 2200, "for_ms": 1800, "boxes": [readers[1], readers[2]], "do": "path_cut", "size": 60},
            {"at_ms": 2200, "for_ms": 1800, "boxes": [readers[1], readers[2]], "do": "path_slow", "size": 6_000_000},
            {"at_ms": 4200, "for_ms": 700, "boxes": [readers[0]], "do": "path_hold"},
            {"at_ms": 5000, "for_ms": 900, "boxes": [readers[3]], "do": "die"},
            {"at_ms": 5200, "for_ms": 1000, "boxes": [readers[2]], "do": "path_slow", "size": 1_500_000},
        ],
    )


def plain_moves(seed):
    """The same with plain transfers: no resumption, first come first served. A baseline for `moves`."""
    return moves(seed, plain=True)


def lying_records(seed, believing=False):
    """Servers are found by DNS records alone. The records lose most servers; then the name server stops answering and answers
    garbage, while one decode server crashes and returns in slow start and another is marked as draining."""
    rng = Random(f"lying_records/{seed}")
    rows = servers(4, 5)
    readers, writers = of_role(rows, "read"), of_role(rows, "write")
    at_ms = rng.uniform(1200, 1600)
    return make_day(
        "believing-records" if believing else "lying-records",
        seed,
        rows=rows,
        rng=rng,
        doubt_ms=1 if believing else 3000,
        required_cases=["told that a box drains or is gone", "fault die"],
        dns_steps=[
            (at_ms, "withdraw", [*readers[:3], *writers[1:4]]),
            (at_ms + 2200, "withdraw", []),
            (4600, "silent", True),
            (5600, "silent", False),
            (5600, "garbage", rng.choice(["bytes", "id", "question"])),
            (6400, "garbage", ""),
        ],
        script=[
            {"at_ms": 2000, "for_ms": 1500, "boxes": [writers[4]], "do": "die"},
            {"at_ms": 5000, "for_ms": 1000, "boxes": [readers[3]], "do": "hang"},
        ],
        list_changes=[(2100, writers[4], "gone", None), (3550, writers[4], "ready", 3500), (2700, writers[0], "draining", None)],
    )  # writers[0] is marked as draining while the records are not trusted, and read before the name server stops answering


def believing_records(seed):
    """The same with gateways that trust the newest records at once. A baseline for `lying-records`."""
    return lying_records(seed, believing=True)


# By name, as the option --script has it.
SCRIPTS = {
    day.__name__.replace("_", "-"): day
    for day in (
        quiet,
        reader_dies,
        writer_dies,
        hang,
        fast_errors,
        drain,
        cold,
        lying_list,
        gateway_killed,
        overload,
        leavers,
        several,
        garbage,
        sessions,
        sessions_in_trouble,
        moves,
        plain_moves,
        lying_records,
        believing_records,
    )
}
