"""Maps a day file of the platform's simulator (JSON) to a Day that is played with stand-in servers.

Mapped are: servers (roles, speeds, slots, queues, memory, links, cells and zones), gateways and their zones, request classes,
traffic (drawn again from the file's distributions), the clients' time limits, retries and regard for retry-after, the delays
of the server list, and the kinds of trouble that have a method `do_<kind>` below. What can't be mapped is named in `notes` and
printed with the result."""

from math import exp, log
from random import Random

import orjson

from lapiswing.errors import OperatorError
from lapiswing.lab.plan import CallPlan, ClassPlan, Day

US = 1_000_000
WORDS = "soup rice beans bread salad apple plum tea leek kale oats figs corn peas mint nuts ".split()
EFFECTS = {"safe": "REPLAYABLE", "keyed": "KEYED", "unsafe": "NON_REPLAYABLE"}
ROLES = ("read", "write", "both")
BYTES_PER_TOKEN = 4  # as the stand-in servers count tokens


class ReplayError(OperatorError):
    """The file is not a day of the simulator, or one that can't be played with stand-in servers."""

    exit_code = 2
    advice = "Give a two-stage day of the platform's simulator (JSON)."


def load_day(text, speed=1.0, scale=1.0, seed=1, where=""):
    """Returns the Day. `speed`: factor by which the day, its servers and its clients run faster. `scale`: share of the servers
    and of the traffic that is played. Raises ReplayError."""
    try:
        raw = orjson.loads(text)
        if raw["family"] != "twostage":
            raise ReplayError(where, f"family {raw['family']!r}: only two-stage days can be played")
        return DayMapper(raw, speed, scale, seed).day()
    except orjson.JSONDecodeError as problem:
        raise ReplayError(where, f"not JSON: {problem}") from None
    except (KeyError, TypeError, IndexError, ValueError) as problem:
        raise ReplayError(where, f"not a day of the simulator: {type(problem).__name__} {problem}") from None


class DayMapper:
    """Maps one parsed day file; see `day`."""

    def __init__(self, raw, speed, scale, seed):
        self.raw, self.speed, self.scale, self.seed = raw, speed, scale, seed
        self.rng = Random(f"replay/{seed}/{raw['noise']}")
        self.notes, self.family, self.kinds = [], raw["fam"], raw["tiers"][0]["kinds"]
        self.length_ms = self.ms(raw["length"])
        self.script, self.list_changes, self.gateway_events = [], [], []

    def ms(self, us):
        """A time of the file (microseconds) in ms of the day."""
        return us / 1000 / self.speed

    def day(self):
        """Returns the Day."""
        raw = self.raw
        self.selected = self.selected_servers()
        self.make_server_specs()
        self.zones = [raw["zones"][b["zone"]] for b in raw["balancers"]]
        self.rate = self.capacity() * raw["traffic"]["load"]
        classes = [
            ClassPlan(
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
                bool(self.family["resume"]) and c["effect"] == "safe",
            )
            for c, t in zip(raw["classes"], self.family["talks"])
        ]
        plans = self.calls(classes)
        for trouble in raw["troubles"]:
            self.map_trouble(trouble)
        kinds, roles = self.kinds, self.family["roles"]
        memory = {
            role: min((e["memory"] for e, r in zip(self.family["engines"], roles) if r == role), default=100000) for role in ROLES
        }
        for name, why in (("cpu", "the gateways' CPU is real here"), ("jitter", "network delays are loopback's")):
            self.notes.append(f"{name}: {why}")
        if raw["tenants"]:
            self.notes.append("tenants: all traffic is one tenant's; shares and quotas are not scored")
        if self.speed != 1:
            self.notes.append(f"speed {self.speed:g}: built-in times of the gateway (refresh, silence limits) don't scale")
        tier = raw["tiers"][0]
        return Day(
            f"replay {raw['site']} {raw['kind'].replace('/', '-')}",
            self.seed,
            self.server_specs,
            classes,
            plans,
            self.length_ms,
            script=self.script,
            list_changes=sorted(self.list_changes),
            gateway_events=sorted(self.gateway_events),
            gateways=len(raw["balancers"]),
            zones=self.zones,
            grace_ms=round(self.ms(raw["drain_grace"])),
            let_go_ms=round(self.ms(self.family["release"])),
            cold_from=tier["stated_cold_from"],
            ramp_ms=round(self.ms(tier["stated_cold"])),
            fall_multiple=raw["fall_multiple"],
            overload_ms=round(self.ms(raw["fall_for"])),
            max_forwards=raw["allow"]["max_attempts"],
            max_come_back_ms=round(self.ms(raw["clients"]["max_retry_after"])),
            read_memory=memory["read"],
            write_memory=memory["write"],
            required_cases=["final done"],
            notes=self.notes,
        )

    def selected_servers(self):
        """(index, row) of the servers that are played: all, or a share of each kind, at least one."""
        rows = list(enumerate(self.raw["servers"]))
        if self.scale >= 1:
            return rows
        out = []
        for kind in sorted({s["kind"] for _, s in rows}):
            of_kind = [r for r in rows if r[1]["kind"] == kind]
            out += of_kind[: max(1, round(len(of_kind) * self.scale))]
        self.notes.append(f"scale {self.scale:g}: {len(out)} of {len(rows)} servers, traffic by their capacity")
        return sorted(out)

    def make_server_specs(self):
        """Makes the specs of the stand-in servers."""
        self.server_specs, self.spec_of_index = [], {}
        for i, server in self.selected:
            engine, kind, role = (
                self.family["engines"][server["kind"]],
                self.kinds[server["kind"]],
                self.family["roles"][server["kind"]],
            )
            speed = server["speed"] * self.speed
            spec = {
                "id": f"s{i}",
                "role": role,
                "zone": self.raw["zones"][server["zone"]],
                "cell": f"c{server['cell']}",
                "read_per_s": engine["read_per_s"] * speed,
                "read_queue": engine["slots"] + engine["queue"],
                "slots": engine["slots"],
                "queue": engine["queue"],
                "memory": engine["memory"],
                "kept": engine["memory"],
                "step_ms": engine["step_ms"] / speed,
                "per_stream_ms": engine["per_seq_ms"] / speed,
                "near_per_s": self.family["near"] * self.speed,
                "far_times": max(1.0, self.family["near"] / self.family["far"] / 2),
                "cold_from": kind["cold_from"],
                "ramp_ms": self.ms(kind["cold"]),
                "fall_multiple": self.raw["fall_multiple"],
                "overload_ms": self.ms(self.raw["fall_for"]),
                "up": server["up"],
                "listed": server["up"],
            }
            self.server_specs.append(spec)
            self.spec_of_index[i] = spec
        for spec in self.server_specs:
            spec["rate"] = self.rate_of(spec)

    def mean(self, field):
        """The mean of a field over the classes, weighted by their shares of the traffic."""
        shares = [c["share"] for c in self.raw["classes"]]
        return sum(s * t[field] for s, t in zip(shares, self.family["talks"])) / sum(shares)

    def mean_prompt_tokens(self):
        """Mean prompt length: the shared prefix and all turns so far."""
        return (
            self.mean("prefix_share") * self.mean("prefix_tokens")
            + self.mean("new_tokens") * (self.mean("turns") + 1) / 2
            + self.mean("out_tokens") * (self.mean("turns") - 1) / 2
        )

    def rate_of(self, spec):
        """Requests per second of this server when warm, estimated from the day's means."""
        if spec["role"] == "read":
            return spec["read_per_s"] / (self.mean("new_tokens") + 0.2 * self.mean_prompt_tokens())
        streams = min(spec["slots"], spec["memory"] / (self.mean_prompt_tokens() + self.mean("out_tokens")))
        step_ms = spec["step_ms"] + spec["per_stream_ms"] * streams
        return streams / (self.mean("out_tokens") * step_ms / 1000)

    def capacity(self):
        """Requests per second that all servers together can do."""
        by_role = {role: sum(spec["rate"] for spec in self.server_specs if spec["role"] == role) for role in ROLES}
        return min(by_role["read"], by_role["write"]) + by_role["both"] / 2

    # ---- traffic

    def text(self, tokens):
        """Random words of about `tokens` tokens."""
        size, out = max(1, int(tokens)) * BYTES_PER_TOKEN, []
        while size > 0:
            word = self.rng.choice(WORDS)
            out.append(word)
            size -= len(word) + 1
        return " ".join(out)

    def draw_lognormal(self, mean, sigma):
        return mean * exp(self.rng.gauss(-sigma * sigma / 2, sigma))

    def active_troubles(self, kind, at_ms):
        """The troubles of this kind that are active at this time."""
        return [t for t in self.raw["troubles"] if t["kind"] == kind and self.ms(t["at"]) <= at_ms < self.ms(t["at"] + t["len"])]

    def calls(self, classes):
        """Draws all calls: conversations arrive at random and have one or more turns."""
        raw, clients, rng = self.raw, self.raw["clients"], self.rng
        raw_classes, talks = raw["classes"], self.family["talks"]
        prefixes = [[self.text(self.draw_lognormal(t["prefix_tokens"], 0.3)) for _ in range(t["prefixes"])] for t in talks]
        hot_texts = {}
        out, at_ms, peak = [], 0.0, max([t["size"] for t in raw["troubles"] if t["kind"] == "burst"] + [1.0])
        turns = [max(1.0, t["turns"]) for t in talks]
        mean_turns = sum(c["share"] * n for c, n in zip(raw_classes, turns)) / sum(c["share"] for c in raw_classes)
        by_zone = [[i for i, b in enumerate(raw["balancers"]) if b["zone"] == z] for z in range(len(raw["zones"]))]
        while True:
            at_ms += rng.expovariate(self.rate / mean_turns * peak) * 1000
            if at_ms >= self.length_ms:
                break
            factor = max([t["size"] for t in self.active_troubles("burst", at_ms)] + [1.0])
            if rng.random() > factor / peak:
                continue
            class_index = rng.choices(range(len(raw_classes)), [c["share"] / n for c, n in zip(raw_classes, turns)])[0]
            talk, request_class, texts = talks[class_index], classes[class_index], []
            hot_trouble = next((t for t in self.active_troubles("hot_key", at_ms) if rng.random() < t["size"]), None)
            if hot_trouble is not None:
                key = (hot_trouble["at"], rng.randrange(max(1, int(hot_trouble["extra"]))))
                texts.append(("system", hot_texts.setdefault(key, self.text(self.family["hot_tokens"]))))
            elif rng.random() < talk["prefix_share"]:
                texts.append(
                    (
                        "system",
                        rng.choices(
                            prefixes[class_index], [(i + 1) ** -talk["prefix_zipf"] for i in range(len(prefixes[class_index]))]
                        )[0],
                    )
                )
            zone = rng.choices(range(len(by_zone)), raw["traffic"]["zone_share"])[0]
            gateway = rng.choice(by_zone[zone] or range(len(raw["balancers"])))
            when_ms = at_ms
            for _ in range(
                1 + int(rng.expovariate(1 / max(0.01, turns[class_index] - 1)) + 0.5) if turns[class_index] > 1 else 1
            ):
                tokens = self.draw_lognormal(talk["new_tokens"], talk["new_sigma"])
                for trouble in self.active_troubles("heavy_tail", when_ms):
                    if trouble["which"] == class_index and rng.random() < trouble["extra"]:
                        tokens *= trouble["size"]
                tokens_left = talk["max_context"] - sum(len(c) for _, c in texts) // BYTES_PER_TOKEN
                if tokens_left < 50 or when_ms >= self.length_ms:
                    break
                texts = [*texts, ("user", self.text(min(tokens, tokens_left)))]
                size = sum(len(c) for _, c in texts) // BYTES_PER_TOKEN
                answer_tokens = max(2, min(talk["max_out"], round(self.draw_lognormal(talk["out_tokens"], talk["out_sigma"]))))
                deadline_ms = request_class.deadline_ms + 2 * request_class.target_per_1000_ms * size / 1000
                plan = CallPlan(
                    f"c{len(out)}",
                    when_ms,
                    gateway,
                    request_class.name,
                    texts,
                    answer_tokens,
                    round(deadline_ms),
                    retries=int(clients["retries"]),
                    honour=rng.random() < clients["honour"],
                    target_ms=request_class.target_ms + request_class.target_per_1000_ms * size / 1000,
                    importance=request_class.importance,
                    late_importance=request_class.late_importance,
                )
                if raw["traffic"]["worth_by_work"]:
                    plan.importance *= (size / 4 + answer_tokens * 10) / (
                        self.mean_prompt_tokens() / 4 + self.mean("out_tokens") * 10
                    )
                if rng.random() < clients["impatient"]:
                    plan.leave_ms = rng.uniform(0.1, 0.6) * request_class.target_ms
                for trouble in self.active_troubles("give_up", when_ms):
                    if rng.random() < trouble["size"]:
                        plan.leave_ms, plan.again = trouble["extra"] * request_class.target_ms, trouble.get("how") != "leave"
                out.append(plan)
                texts = [*texts, ("assistant", self.text(answer_tokens))]
                when_ms += (
                    answer_tokens * request_class.token_target_ms / 2 + rng.expovariate(1 / talk["think_s"]) * 1000 / self.speed
                )
        if any(t["kind"] == "give_up" for t in raw["troubles"]):
            self.notes.append("give_up: taken as that share of the clients leaving after that fraction of the TTFT target")
        return sorted(out, key=lambda p: p.at_ms)

    # ---- troubles

    def map_trouble(self, trouble):
        """Maps one trouble by the method for its kind."""
        map_kind = getattr(self, "do_" + trouble["kind"], None)
        if map_kind is None:
            self.notes.append(f"trouble {trouble['kind']}: not supported")
            return
        map_kind(trouble, self.ms(trouble["at"]), self.ms(trouble["len"]))

    def affected(self, trouble):
        """The ids of the servers that a trouble affects."""
        return [self.spec_of_index[i]["id"] for i in trouble["on"] if i in self.spec_of_index]

    def fault(self, at_ms, for_ms, servers, do, size=None):
        if servers:
            self.script.append({"at_ms": at_ms, "for_ms": for_ms, "boxes": servers, "do": do, "size": size})

    def change_list(self, at_ms, server, mode, cold_start_ms=None):
        self.list_changes.append((at_ms, server, mode, cold_start_ms))

    def restart(self, server, at_ms, for_ms):
        """Crashes and returns in slow start; the list shows both with its delays."""
        discovery = self.raw["discovery"]
        self.fault(at_ms, for_ms, [server], "die")
        if for_ms > self.ms(discovery["silent_notice"]):
            self.change_list(at_ms + self.ms(discovery["silent_notice"]), server, "gone")
        self.change_list(at_ms + for_ms + self.ms(discovery["add"]), server, "ready", at_ms + for_ms)

    def do_slow(self, trouble, at_ms, for_ms):
        self.fault(at_ms, for_ms, self.affected(trouble), "slow", trouble["size"])

    def do_fast_errors(self, trouble, at_ms, for_ms):
        self.fault(at_ms, for_ms, self.affected(trouble), "errors", trouble["size"])

    def do_answer_lost(self, trouble, at_ms, for_ms):
        self.fault(at_ms, for_ms, self.affected(trouble), "lost", trouble["size"])

    def do_flush(self, trouble, at_ms, for_ms):
        self.fault(at_ms, None, [spec["id"] for spec in self.server_specs], "flush", trouble["size"])

    def do_ageing(self, trouble, at_ms, for_ms):
        """Slows down in ten steps by the same factor, then crashes and returns in slow start."""
        for server in self.affected(trouble):
            for i in range(10):
                self.fault(
                    at_ms + for_ms * i / 10, for_ms / 10, [server], "slow", exp(log(max(1.01, trouble["size"])) * (i + 1) / 10)
                )
            self.restart(server, at_ms + for_ms, trouble["extra"] * 1000 / self.speed)

    def do_mass_restart(self, trouble, at_ms, for_ms):
        servers = self.affected(trouble)
        for i, server in enumerate(servers):
            self.restart(server, at_ms + for_ms * i / len(servers), 300 / self.speed)

    def do_balancer_crash(self, trouble, at_ms, for_ms):
        for i in trouble["on"]:
            self.gateway_events += [(at_ms, i, "kill"), (at_ms + for_ms, i, "start")]

    def do_balancer_roll(self, trouble, at_ms, for_ms):
        for step in trouble["steps"]:
            for i in step["stop"]:
                stop_ms = self.ms(step["at"])
                self.gateway_events += [
                    (stop_ms, i, "kill"),
                    (stop_ms + max(200, trouble["extra"] * 1000 / self.speed), i, "start"),
                ]

    def do_discovery_stale(self, trouble, at_ms, for_ms):
        delay_ms = trouble["size"] * 1000 / self.speed
        self.list_changes = [(w + delay_ms if at_ms <= w < at_ms + for_ms else w, b, m, c) for w, b, m, c in self.list_changes]

    def do_burst(self, trouble, at_ms, for_ms):
        pass  # `calls` takes it into account

    do_hot_key = do_heavy_tail = do_give_up = do_burst

    def do_report_late(self, trouble, at_ms, for_ms):
        self.notes.append("trouble report_late: stand-in servers report with each answer and can't be late")
