"""Turns a day file of the operators' bench into a Day for stand-ins. The file stays where it is.

Mapped: boxes (roles, speeds, slots, queues, memory, links, cells and zones), gateways and their zones, endpoint groups,
traffic as drawn anew from the day's own figures, clients' patience, retries and manners, the list's delays, and each
kind of trouble below. What can't be mapped is named in `notes` and printed with the result."""

from math import exp, log
from random import Random

import orjson

from lapiswing.errors import OperatorError
from lapiswing.lab.plan import CallPlan, Day, Group

US = 1_000_000
WORDS = "soup rice beans bread salad apple plum tea leek kale oats figs corn peas mint nuts ".split()
EFFECTS = {"safe": "REPLAYABLE", "keyed": "KEYED", "unsafe": "NON_REPLAYABLE"}
ROLES = ("read", "write", "both")
BYTES = 4  # of text for a token, as stand-ins count


class ReplayError(OperatorError):
    """A file that is not a bench day, or one that no stand-in can play."""

    exit_code = 2
    advice = "Give a two-stage day as the operators' bench keeps it (JSON)."


def load_day(text, speed=1.0, scale=1.0, seed=1, where=""):
    """`speed`: the day's time runs that much faster, boxes and clients with it. `scale`: of traffic and of boxes.
    Raises ReplayError."""
    try:
        raw = orjson.loads(text)
        if raw["family"] != "twostage":
            raise ReplayError(where, f"family {raw['family']!r}: only two-stage days can be played")
        return Mapped(raw, speed, scale, seed).day()
    except orjson.JSONDecodeError as problem:
        raise ReplayError(where, f"not JSON: {problem}") from None
    except (KeyError, TypeError, IndexError, ValueError) as problem:
        raise ReplayError(where, f"not a day of the bench: {type(problem).__name__} {problem}") from None


class Mapped:
    def __init__(self, raw, speed, scale, seed):
        self.raw, self.speed, self.scale, self.seed = raw, speed, scale, seed
        self.rng = Random(f"replay/{seed}/{raw['noise']}")
        self.notes, self.fam, self.kinds = [], raw["fam"], raw["tiers"][0]["kinds"]
        self.length_ms = self.ms(raw["length"])
        self.script, self.lists, self.fates = [], [], []

    def ms(self, us):
        return us / 1000 / self.speed

    def day(self):
        raw = self.raw
        self.servers = self.chosen()
        self.make_boxes()
        self.zones = [raw["zones"][b["zone"]] for b in raw["balancers"]]
        self.rate = self.capacity() * raw["traffic"]["load"]
        groups = [
            Group(
                c["name"],
                EFFECTS[c["effect"]],
                c["group"].upper(),
                round(self.ms(c["window"])),
                round(self.ms(c["aim"])),
                round(t["aim_ms_per_k"] / self.speed),
                round(t["token_ms"] / self.speed),
                round(self.ms(c["deadline"])),
                c["worth"],
                c["late_worth"],
                bool(self.fam["resume"]) and c["effect"] == "safe",
            )
            for c, t in zip(raw["classes"], self.fam["talks"])
        ]
        plans = self.calls(groups)
        for trouble in raw["troubles"]:
            self.trouble(trouble)
        kinds, roles = self.kinds, self.fam["roles"]
        memory = {
            role: min((e["memory"] for e, r in zip(self.fam["engines"], roles) if r == role), default=100000) for role in ROLES
        }
        for name, why in (("cpu", "the gateways' CPU is real here"), ("jitter", "network delays are loopback's")):
            self.notes.append(f"{name}: {why}")
        if raw["tenants"]:
            self.notes.append("tenants: all traffic is one tenant's; shares and quotas are not scored")
        if self.speed != 1:
            self.notes.append(
                f"speed {self.speed:g}: the module's own times (its refresh, its patience with silence) don't scale"
            )
        tier = raw["tiers"][0]
        return Day(
            f"replay {raw['site']} {raw['kind'].replace('/', '-')}",
            self.seed,
            self.boxes,
            groups,
            plans,
            self.length_ms,
            script=self.script,
            lists=sorted(self.lists),
            fates=sorted(self.fates),
            gateways=len(raw["balancers"]),
            zones=self.zones,
            grace_ms=round(self.ms(raw["drain_grace"])),
            let_go_ms=round(self.ms(self.fam["release"])),
            cold_from=tier["stated_cold_from"],
            ramp_ms=round(self.ms(tier["stated_cold"])),
            fall_multiple=raw["fall_multiple"],
            overload_ms=round(self.ms(raw["fall_for"])),
            max_forwards=raw["allow"]["max_attempts"],
            max_come_back_ms=round(self.ms(raw["clients"]["max_retry_after"])),
            read_memory=memory["read"],
            write_memory=memory["write"],
            wants=["final done"],
            notes=self.notes,
        )

    def chosen(self):
        """Which servers are played: all, or a part with at least one reader and one writer."""
        rows = list(enumerate(self.raw["servers"]))
        if self.scale >= 1:
            return rows
        out = []
        for kind in sorted({s["kind"] for _, s in rows}):
            mine = [r for r in rows if r[1]["kind"] == kind]
            out += mine[: max(1, round(len(mine) * self.scale))]
        self.notes.append(f"scale {self.scale:g}: {len(out)} of {len(rows)} boxes, traffic by their capacity")
        return sorted(out)

    def make_boxes(self):
        self.boxes, self.by_index = [], {}
        for i, s in self.servers:
            engine, kind, role = self.fam["engines"][s["kind"]], self.kinds[s["kind"]], self.fam["roles"][s["kind"]]
            speed = s["speed"] * self.speed
            box = {
                "id": f"s{i}",
                "role": role,
                "zone": self.raw["zones"][s["zone"]],
                "cell": f"c{s['cell']}",
                "read_per_s": engine["read_per_s"] * speed,
                "read_queue": engine["slots"] + engine["queue"],
                "slots": engine["slots"],
                "queue": engine["queue"],
                "memory": engine["memory"],
                "kept": engine["memory"],
                "step_ms": engine["step_ms"] / speed,
                "per_stream_ms": engine["per_seq_ms"] / speed,
                "near_per_s": self.fam["near"] * self.speed,
                "far_times": max(1.0, self.fam["near"] / self.fam["far"] / 2),
                "cold_from": kind["cold_from"],
                "ramp_ms": self.ms(kind["cold"]),
                "fall_multiple": self.raw["fall_multiple"],
                "overload_ms": self.ms(self.raw["fall_for"]),
                "up": s["up"],
                "listed": s["up"],
            }
            self.boxes.append(box)
            self.by_index[i] = box
        for box in self.boxes:
            box["rate"] = self.rate_of(box)

    def mean(self, field):
        shares = [c["share"] for c in self.raw["classes"]]
        return sum(s * t[field] for s, t in zip(shares, self.fam["talks"])) / sum(shares)

    def prompt(self):
        """Mean prompt tokens: what is shared, and all turns so far."""
        return (
            self.mean("prefix_share") * self.mean("prefix_tokens")
            + self.mean("new_tokens") * (self.mean("turns") + 1) / 2
            + self.mean("out_tokens") * (self.mean("turns") - 1) / 2
        )

    def rate_of(self, box):
        """Reqs a second of this box when warm: an estimate from the day's means."""
        if box["role"] == "read":
            return box["read_per_s"] / (self.mean("new_tokens") + 0.2 * self.prompt())
        streams = min(box["slots"], box["memory"] / (self.prompt() + self.mean("out_tokens")))
        step = box["step_ms"] + box["per_stream_ms"] * streams
        return streams / (self.mean("out_tokens") * step / 1000)

    def capacity(self):
        by_role = {role: sum(b["rate"] for b in self.boxes if b["role"] == role) for role in ROLES}
        return min(by_role["read"], by_role["write"]) + by_role["both"] / 2

    # ---- traffic

    def text(self, tokens):
        """Words of about so many tokens; their order is drawn, so that texts differ."""
        size, out = max(1, int(tokens)) * BYTES, []
        while size > 0:
            word = self.rng.choice(WORDS)
            out.append(word)
            size -= len(word) + 1
        return " ".join(out)

    def drawn(self, mean, sigma):
        return mean * exp(self.rng.gauss(-sigma * sigma / 2, sigma))

    def within(self, kind, at_ms):
        return [t for t in self.raw["troubles"] if t["kind"] == kind and self.ms(t["at"]) <= at_ms < self.ms(t["at"] + t["len"])]

    def calls(self, groups):
        raw, clients, rng = self.raw, self.raw["clients"], self.rng
        classes, talks = raw["classes"], self.fam["talks"]
        prefixes = [[self.text(self.drawn(t["prefix_tokens"], 0.3)) for _ in range(t["prefixes"])] for t in talks]
        hot = {}
        out, at, peak = [], 0.0, max([t["size"] for t in raw["troubles"] if t["kind"] == "burst"] + [1.0])
        turns = [max(1.0, t["turns"]) for t in talks]
        mean_turns = sum(c["share"] * n for c, n in zip(classes, turns)) / sum(c["share"] for c in classes)
        by_zone = [[i for i, b in enumerate(raw["balancers"]) if b["zone"] == z] for z in range(len(raw["zones"]))]
        while True:
            at += rng.expovariate(self.rate / mean_turns * peak) * 1000
            if at >= self.length_ms:
                break
            factor = max([t["size"] for t in self.within("burst", at)] + [1.0])
            if rng.random() > factor / peak:
                continue
            k = rng.choices(range(len(classes)), [c["share"] / n for c, n in zip(classes, turns)])[0]
            talk, group, texts = talks[k], groups[k], []
            trouble = next((t for t in self.within("hot_key", at) if rng.random() < t["size"]), None)
            if trouble is not None:
                key = (trouble["at"], rng.randrange(max(1, int(trouble["extra"]))))
                texts.append(("system", hot.setdefault(key, self.text(self.fam["hot_tokens"]))))
            elif rng.random() < talk["prefix_share"]:
                texts.append(
                    ("system", rng.choices(prefixes[k], [(i + 1) ** -talk["prefix_zipf"] for i in range(len(prefixes[k]))])[0])
                )
            zone = rng.choices(range(len(by_zone)), raw["traffic"]["zone_share"])[0]
            gateway = rng.choice(by_zone[zone] or range(len(raw["balancers"])))
            when = at
            for _ in range(1 + int(rng.expovariate(1 / max(0.01, turns[k] - 1)) + 0.5) if turns[k] > 1 else 1):
                tokens = self.drawn(talk["new_tokens"], talk["new_sigma"])
                for t in self.within("heavy_tail", when):
                    if t["which"] == k and rng.random() < t["extra"]:
                        tokens *= t["size"]
                room = talk["max_context"] - sum(len(c) for _, c in texts) // BYTES
                if room < 50 or when >= self.length_ms:
                    break
                texts = [*texts, ("user", self.text(min(tokens, room)))]
                size = sum(len(c) for _, c in texts) // BYTES
                made = max(2, min(talk["max_out"], round(self.drawn(talk["out_tokens"], talk["out_sigma"]))))
                deadline = group.deadline_ms + 2 * group.target_per_1000_ms * size / 1000
                plan = CallPlan(
                    f"c{len(out)}",
                    when,
                    gateway,
                    group.name,
                    texts,
                    made,
                    round(deadline),
                    retries=int(clients["retries"]),
                    honour=rng.random() < clients["honour"],
                    target_ms=group.target_ms + group.target_per_1000_ms * size / 1000,
                    importance=group.importance,
                    late_importance=group.late_importance,
                )
                if raw["traffic"]["worth_by_work"]:
                    plan.importance *= (size / 4 + made * 10) / (self.prompt() / 4 + self.mean("out_tokens") * 10)
                if rng.random() < clients["impatient"]:
                    plan.leave_ms = rng.uniform(0.1, 0.6) * group.target_ms
                for t in self.within("give_up", when):
                    if rng.random() < t["size"]:
                        plan.leave_ms, plan.again = t["extra"] * group.target_ms, t.get("how") != "leave"
                out.append(plan)
                texts = [*texts, ("assistant", self.text(made))]
                when += made * group.token_target_ms / 2 + rng.expovariate(1 / talk["think_s"]) * 1000 / self.speed
        if any(t["kind"] == "give_up" for t in raw["troubles"]):
            self.notes.append("give_up: read as that part of the clients leaving after that part of the response target")
        return sorted(out, key=lambda p: p.at_ms)

    # ---- trouble

    def trouble(self, t):
        map_it = getattr(self, "do_" + t["kind"], None)
        if map_it is None:
            self.notes.append(f"trouble {t['kind']}: no stand-in for it")
            return
        map_it(t, self.ms(t["at"]), self.ms(t["len"]))

    def struck(self, t):
        return [self.by_index[i]["id"] for i in t["on"] if i in self.by_index]

    def fault(self, at, lasts, boxes, do, size=None):
        if boxes:
            self.script.append({"at_ms": at, "for_ms": lasts, "boxes": boxes, "do": do, "size": size})

    def listed(self, at, box, mode, cold=None):
        self.lists.append((at, box, mode, cold))

    def away(self, box, at, lasts):
        """Dies and returns cold; the list tells of both with its delays."""
        d = self.raw["discovery"]
        self.fault(at, lasts, [box], "die")
        if lasts > self.ms(d["silent_notice"]):
            self.listed(at + self.ms(d["silent_notice"]), box, "gone")
        self.listed(at + lasts + self.ms(d["add"]), box, "ready", at + lasts)

    def do_slow(self, t, at, lasts):
        self.fault(at, lasts, self.struck(t), "slow", t["size"])

    def do_fast_errors(self, t, at, lasts):
        self.fault(at, lasts, self.struck(t), "errors", t["size"])

    def do_answer_lost(self, t, at, lasts):
        self.fault(at, lasts, self.struck(t), "lost", t["size"])

    def do_flush(self, t, at, lasts):
        self.fault(at, None, [b["id"] for b in self.boxes], "flush", t["size"])

    def do_ageing(self, t, at, lasts):
        """Grows slower, in ten steps by the same factor, then dies and returns cold."""
        for box in self.struck(t):
            for i in range(10):
                self.fault(at + lasts * i / 10, lasts / 10, [box], "slow", exp(log(max(1.01, t["size"])) * (i + 1) / 10))
            self.away(box, at + lasts, t["extra"] * 1000 / self.speed)

    def do_mass_restart(self, t, at, lasts):
        boxes = self.struck(t)
        for i, box in enumerate(boxes):
            self.away(box, at + lasts * i / len(boxes), 300 / self.speed)

    def do_balancer_crash(self, t, at, lasts):
        for i in t["on"]:
            self.fates += [(at, i, "kill"), (at + lasts, i, "start")]

    def do_balancer_roll(self, t, at, lasts):
        for step in t["steps"]:
            for i in step["stop"]:
                when = self.ms(step["at"])
                self.fates += [(when, i, "kill"), (when + max(200, t["extra"] * 1000 / self.speed), i, "start")]

    def do_discovery_stale(self, t, at, lasts):
        late = t["size"] * 1000 / self.speed
        self.lists = [(w + late if at <= w < at + lasts else w, b, m, c) for w, b, m, c in self.lists]

    def do_burst(self, t, at, lasts):
        pass  # in the traffic

    do_hot_key = do_heavy_tail = do_give_up = do_burst

    def do_report_late(self, t, at, lasts):
        self.notes.append("trouble report_late: stand-ins report with each answer and can't be late")
