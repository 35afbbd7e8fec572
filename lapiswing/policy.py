"""All decisions of lapiswing. A host calls Router(seed, settings, now_us) once and then
router.round(now_us, events, out) each round; events, codes and the writer are in lapiswing/interface.py.
The ordinary path is the pair table and shares of docs/design.md; the rest guards it when things fail."""
from bisect import bisect_left
from collections import deque
from itertools import accumulate
from math import log
from zlib import crc32

MS = 1000
REFRESH_US = 250 * MS  # how often scores are made anew and shares move
MOVES = 4  # moves of share from worst to best pair at each refresh
STEP = 0.02  # share of all reqs that one move shifts at the most
FLOOR = 0.004  # least share of a pair, so that it is met again
NEAR = 0.3  # shares above this part of the best are near it
HALVE_EVERY = 8  # refreshes between two halvings of the histograms
EDGES = [e * MS for e in (15, 25, 40, 60, 90, 130, 190, 270, 390, 560, 800, 1150, 1650, 2400, 3500, 5000)]
MIDDLES = [10 * MS] + [(a + b) // 2 for a, b in zip(EDGES, EDGES[1:])] + [8000 * MS]
NOTHING = [0.0] * len(MIDDLES)
PRIOR = 2.0  # outcomes' worth of the fleet's average in each server's histogram
COLD_PART = 0.6  # part used of what the rule lets a cold server be sent
FAILURES = ("error", "reset", "unreachable", "timed_out")


def counted(bins, us, weight=1):
    """Durations are measured in a few coarse bins, halved now and then."""
    at = bisect_left(EDGES, us)
    return bins[:at] + [bins[at] + weight] + bins[at + 1:]


class Machine:
    def __init__(self, row, kinds):
        self.id, self.bad, self.suspect, self.trial_us, self.cold = row.id, 0.0, False, 0, False
        self.latency, self.wait = NOTHING, NOTHING  # bins of reads, and of first tokens less transfer
        self.out_tokens = self.stream_tokens = 0  # own reads, own streams
        self.trust = 1.0  # part of the text believed kept here that reads did find
        self.cost = self.read_us = self.read_tokens = self.stream_us = self.owed_us = 0.0
        self.pace, self.begun = 1.0, 0  # length of its streams against the fleet's, running ones too
        self.expect, self.unbegun = 0.0, 0  # writer's wait; writes out whose answer has not begun
        self.waiting, self.heard_us, self.busy_us = {}, 0, 0
        self.answered_us = 0  # when the latest-sent of the answered forwards was sent
        self.taken, self.took = 0, 0.0  # served since the last refresh, and a second on average
        self.sends, self.kept, self.told_us, self.told_at = deque(maxlen=400), {}, 0, 0
        self.listed(row, kinds)

    def listed(self, row, kinds):
        self.zone, self.cell, self.kind, self.mode = row.zone, row.cell, row.kind, row.mode
        self.started_us = row.started_us
        role, self.memory = kinds[min(row.kind, len(kinds) - 1)]
        self.reads, self.writes = role != "write", role != "read"


class Req:
    def __init__(self, rid, group, tenant, tokens, now, expires, target):
        self.id, self.group, self.tenant, self.tokens = rid, group, tenant, tokens
        self.arrived, self.expires, self.target = now, expires, target
        self.forwards, self.out, self.tried = [], 0, set()  # out: how many have no outcome yet
        self.holder, self.begun, self.closed, self.over = None, None, False, False
        self.ran, self.fresh = [], tokens  # forwards that may have run; tokens to read


class Router:
    def __init__(self, seed, settings, now_us):
        limits, rules, prices = settings["limits"], settings["rules"], settings["penalties"]
        family = settings["family_info"]
        self.seed, self.draws, self.groups = seed, 0, settings["groups"]
        self.gateways, self.zone = max(1, settings.get("balancers", 1)), settings.get("az", 0)
        self.most_forwards, self.may_cancel = limits["max_attempts"], limits.get("cancel", False)
        memory = [max(1, m) / self.gateways for m in family["kind_memory_tokens"]]
        self.kinds = list(zip(family["duty_by_kind"], memory))  # role, and this router's part of memory
        self.far_price, self.cross_price = family.get("far_price", 0.0), prices.get("cross_zone", 0.0)
        self.come_back_us = limits.get("max_retry_after_us", 0) if limits.get("retry_after") else 0
        # What the response target allows a prompt token stands for its read cost until one is heard.
        self.start_cost = max([g.target_per_1000_us / 1000 for g in self.groups] + [0.0]) or 50.0
        self.margin_us = settings.get("resolution_us", MS)
        self.cold_from, self.ramp_us = rules["cold_from"], rules["ramp_time_us"]
        self.cold_multiple, self.cold_window_us = rules["fall_multiple"], rules["overload_for_us"]
        self.asks = settings.get("membership_mode") == "subscribe"
        self.quota = [t.get("quota_rps", 0) / self.gateways for t in settings.get("tenants") or []]
        self.quota_left = [2 * q for q in self.quota]
        self.machines, self.reqs, self.pairs = {}, {}, {}
        self.readers, self.writers, self.share = [], [], {}
        self.transfer, self.near = [0.0] * 3, [[0.0] * 5] * 3  # same cell, same zone, other
        self.mix = [[0.0, 0.0] for _ in self.groups]  # reqs and prompt tokens seen lately
        self.kind_took, self.heat = {}, {}  # a second by a warm server of a kind; reqs by prefix
        self.token_rate, self.read_tokens, self.ticks, self.subscribed = 0.0, 0, 0, True
        self.answer_us = [0.0] * len(self.groups)  # answer length by group, as time
        self.left, self.patience = 0.0, [g.target_us for g in self.groups]
        self.lost, self.spare = 0.0, 10.0  # forwards taken back lately; further ones that failures may cause
        self.read_mean = self.wait_mean = 0.0
        self.modes, self.started, self.now = {}, False, now_us


    def round(self, now_us, events, out):
        self.now, self.out = now_us, out
        if not self.started:
            self.started = True
            out.timer(REFRESH_US, 0)
        for event in events:
            getattr(self, "on_" + event[0])(*event[1:])

    def mode(self, name, on, text):
        if self.modes.get(name, False) != on:
            self.modes[name] = on
            self.out.log(f"{name} {'on' if on else 'off'}: {text}")


    def on_servers(self, kind, rows):
        self.subscribed = kind in ("update", "replace")
        if kind == "unavailable":
            return
        for row in rows:
            machine = self.machines.get(row.id)
            if machine is None:
                self.machines[row.id] = Machine(row, self.kinds)
                continue
            if row.started_us != machine.started_us:  # it has kept nothing, and its old troubles are over
                machine.latency, machine.wait = NOTHING, NOTHING
                machine.kept, machine.bad, machine.suspect = {}, 0.0, False
                machine.sends.clear()
            machine.listed(row, self.kinds)
        if kind != "update":
            named = {row.id for row in rows}
            for machine in self.machines.values():
                machine.mode = machine.mode if machine.id in named else "gone"
        ready = [m for m in self.machines.values() if m.mode == "ready"]
        self.readers, self.writers = [m for m in ready if m.reads], [m for m in ready if m.writes]
        self.level_pairs()

    def level_pairs(self):
        rows = [(r, [r] if r.writes else self.writers) for r in self.readers]
        old = [self.pairs[r.id, w.id] for r, row in rows for w in row if (r.id, w.id) in self.pairs]
        mean = sum(old) / len(old) if old else 0.0
        new = {(r.id, w.id): mean or 1.0 / len(row) for r, row in rows for w in row}
        total = sum(self.pairs.get(p, v) for p, v in new.items()) or 1.0
        self.pairs = {p: self.pairs.get(p, v) / total for p, v in new.items()}
        self.sum_shares()

    def sum_shares(self):
        self.share = dict.fromkeys((r.id for r in self.readers), 0.0)
        for (r, _), v in self.pairs.items():
            self.share[r] += v


    def on_timer(self, token):
        self.out.timer(REFRESH_US, 0)
        self.ticks += 1
        if self.asks and not self.subscribed and self.ticks % 4 == 1:
            self.out.watch(True)  # not asked yet, the call failed or the subscription broke
        self.token_rate += (self.read_tokens / (REFRESH_US / 1e6) - self.token_rate) * 0.2
        self.read_tokens = 0
        self.quota_left = [min(2 * q, x + q * REFRESH_US / 1e6) for q, x in zip(self.quota, self.quota_left)]
        for m in self.machines.values():
            m.took += (m.taken / (REFRESH_US / 1e6) - m.took) * 0.1
            m.taken = 0
        for kind in range(len(self.kinds)):  # remembered, for when all of a kind start at once
            warm = [m.took for m in self.readers + self.writers if m.kind == kind and not m.cold]
            self.kind_took[kind] = max(sum(warm) / max(1, len(warm)), self.kind_took.get(kind, 0.0) * 0.98)
        spent = (sum(w.stream_us for w in self.writers) or 1) / max(1, sum(w.owed_us for w in self.writers))
        usual = sum(self.answer_us) / max(1, len(self.answer_us))
        for w in self.writers:
            w.stream_us += w.begun * REFRESH_US
            w.pace = max(0.5, (w.stream_us / spent + 2 * usual + MS) / (w.owed_us + 2 * usual + MS))
        self.refresh()
        if self.ticks % HALVE_EVERY == 0:
            for m in self.machines.values():
                m.latency, m.wait = [b / 2 for b in m.latency], [b / 2 for b in m.wait]
                m.stream_us, m.owed_us = m.stream_us * 0.7, m.owed_us * 0.7
            self.near = [[v / 2 for v in sums] for sums in self.near]
            self.mix = [[v / 2 for v in sums] for sums in self.mix]
            self.heat = {key: n / 2 for key, n in self.heat.items() if n > 0.5}

    def refresh(self):
        for i, (n, t, l, tl, tt) in enumerate(self.near):
            spread = n * tt - t * t
            if n > 4 and spread > 0:
                slope = (n * tl - t * l) / spread
                self.transfer[i] = max(0.0, min(slope, l / t))
        read, wait = self.with_waits(self.readers, False), self.with_waits(self.writers, True)
        # The middle one: a hung server's growing ages must not raise what counts as usual.
        self.read_mean = sorted([r.expect for r in self.readers] or [0.0])[(len(self.readers) - 1) // 2]
        self.wait_mean = sorted([w.expect for w in self.writers] or [0.0])[(len(self.writers) - 1) // 2]
        total = sum(m[0] for m in self.mix) or 1.0
        groups = [(m[0] / total, g.target_us + g.target_per_1000_us * m[1] / m[0] / 1000)
                  for m, g in zip(self.mix, self.groups) if m[0] > 0]
        tokens = sum(m[1] for m in self.mix) / total
        sums = {w.id: list(accumulate(wait[w.id])) for w in self.writers}
        base = {}
        for r in self.readers:
            bins = read[r.id]
            for w in ([r] if r.writes else self.writers):
                near = self.nearness(r, w)
                move = 0.0 if r is w else tokens * self.transfer[near]
                waits = None if r is w else sums[w.id]
                value = sum(part * self.attainment(bins, waits, target - move) for part, target in groups)
                value = (value if groups else 1.0) * min(1.0, 1.5 / w.pace)
                cost = self.far_price * (near > 0)
                cost += self.cross_price * ((r.zone != self.zone) + (w.zone != self.zone and r is not w))
                base[r.id, w.id] = value * (1 - r.bad) * (1 - w.bad) - cost
        self.move_shares(base)
        self.look_for_silence()

    def with_waits(self, machines, writing):
        """Each server's bins as parts of 1, blended with the average; what is still out counts by its age
        so far, so that a hung server's score falls before any outcome comes."""
        average = [sum(bins) for bins in zip(*(m.wait if writing else m.latency for m in machines))]
        total = sum(average)
        average = [a / total for a in average] if total else [1.0] + [0.0] * len(EDGES)
        out = {}
        for m in machines:
            bins = [b + PRIOR * a for b, a in zip(m.wait if writing else m.latency, average)]
            mean = sum(b * mid for b, mid in zip(bins, MIDDLES)) / sum(bins)
            if writing and m.told_us > EDGES[0] and self.now - m.told_at < 2000 * MS:
                bins = counted(bins, m.told_us, PRIOR)
            for sent, wr in m.waiting.values():
                if wr == writing and self.now - sent > mean:
                    bins = counted(bins, self.now - sent)
            bins = [b / total for total in (sum(bins),) for b in bins]
            m.expect = sum(b * mid for b, mid in zip(bins, MIDDLES))
            out[m.id] = bins
        return out

    @staticmethod
    def attainment(bins, cumulated, left):
        return sum(part * (1.0 if cumulated is None else cumulated[bisect_left(EDGES, left - middle)])
                   for part, middle in zip(bins, MIDDLES) if part > 1e-4 and middle < left)

    def move_shares(self, base):
        """Shares go from the worst pair to the best, each move counted at once as load to come."""
        readers, writers = {r.id: r for r in self.readers}, {w.id: w for w in self.writers}
        read_share, write_share = dict(self.share), dict.fromkeys(writers, 0.0)
        for (_, w), v in self.pairs.items():
            write_share[w] += v
        streams = sum(w.stream_tokens for w in self.writers)
        work = {r: self.token_rate * self.gateways * m.cost / 1e6 for r, m in readers.items()}
        memory = {w: 2 * m.memory for w, m in writers.items()}

        def score(pair):
            r, w = pair
            own = readers[r].out_tokens * readers[r].cost / (1000 * MS)
            used = (writers[w].stream_tokens + streams * write_share[w]) / memory[w]
            return base[pair] - 0.15 * (work[r] * read_share[r]) ** 2 - 0.1 * own - 0.4 * used * used

        for _ in range(MOVES if base else 0):
            scores = {p: score(p) for p in base}
            best = max(scores, key=lambda p: scores[p])
            worst = min((p for p in scores if self.pairs[p] > FLOOR), key=lambda p: scores[p], default=best)
            if worst == best or scores[best] - scores[worst] < 0.005:
                break
            step = min(STEP, self.pairs[worst] - FLOOR * 0.9)
            for (r, w), sign in ((worst, -step), (best, step)):
                self.pairs[r, w] += sign
                read_share[r] += sign
                write_share[w] += sign
        self.sum_shares()

    @staticmethod
    def nearness(r, w):
        return 0 if r.cell == w.cell else 1 if r.zone == w.zone else 2

    def look_for_silence(self):
        suspects = 0
        for m in self.machines.values():
            if m.waiting:
                sent, writing = next(iter(m.waiting.values()))
                quiet = self.now - max(sent, m.heard_us)
                usual = self.wait_mean if writing else self.read_mean
                if quiet > max(600 * MS, 5 * usual + 2 * m.out_tokens * m.cost):
                    if not m.suspect:
                        self.mark(m, 0.6, f"silent for {quiet // MS} ms, usual {usual / MS:.0f}")
                    self.take_back(m, False)
                self.take_back(m, True)
            suspects += m.suspect and m.mode == "ready"
        self.lost *= 0.8
        self.mode("forwards lost", self.lost > 2, f"{self.lost:.1f} taken back, spare {self.spare:.1f}")
        ready = len(self.readers) + len(self.writers)
        self.mode("trouble in common", suspects * 2 > ready, f"{suspects} suspects of {ready}")

    def take_back(self, m, overtaken):
        """What a silent server holds, or later forwards have far overtaken there, is as good as lost: reads
        have no effect, and writes are taken back where a repeat does no harm. Guards against messages that
        vanish anywhere, and one stuck slot; could harm where a server answers out of order by habit."""
        for (rid, number), (sent, writing) in list(m.waiting.items()):
            req, age = self.reqs[rid], self.now - sent
            usual = self.wait_mean if writing else self.read_mean
            if overtaken and (sent >= m.answered_us or age < max(400 * MS, 4 * usual)):
                break
            no_effect = req.forwards[number][1] == "read"
            again = self.may_cancel and self.spare >= 1 and len(req.forwards) < self.most_forwards - 1
            if again and not req.closed and (
                    no_effect or overtaken and self.groups[req.group].effect == "replayable"):
                self.lost += 1
                self.out.retract(rid, number)

    def mark(self, m, by, why):
        m.bad += (1 - m.bad) * by
        if m.bad > 0.5:
            m.trial_us = self.now + 1000 * MS
            if not m.suspect:
                m.suspect = True
                self.out.log(f"suspect {m.id} on: {why}, bad {m.bad:.2f}")

    def good(self, m):
        m.bad *= 0.75
        if m.suspect and m.bad < 0.3:
            m.suspect = False
            self.out.log(f"suspect {m.id} off: bad {m.bad:.2f}")

    def usable(self, m, req):
        if m.mode != "ready" or m.id in req.tried or m.busy_us > self.now or not self.cold_allows(m):
            return False
        if m.suspect and not self.modes.get("trouble in common"):
            return self.now >= m.trial_us and not m.waiting and len(req.forwards) < 2
        return True

    def cold_allows(self, m):
        """This router's part of what a just-started server may be sent, against what warm ones serve."""
        age = self.now - m.started_us
        m.cold = m.started_us > 0 and age < self.ramp_us * 1.2
        if not m.cold:
            return True
        sent = sum(t >= self.now - self.cold_window_us for t in m.sends)
        mean = self.kind_took.get(m.kind, 0.0) * self.cold_window_us / 1e6
        level = self.cold_from + (1 - self.cold_from) * max(0.0, age / (self.ramp_us * 1.2))
        return sent < max(1.0, mean * min(1.0, self.cold_multiple * level * COLD_PART))


    def on_req(self, rid, tokens, expires, session, prefix, prefix_tokens, _out, _hint, _bits, tenant, group):
        g = self.groups[group]
        target = self.now + g.target_us + g.target_per_1000_us * tokens // 1000
        req = self.reqs[rid] = Req(rid, group, tenant or 0, tokens, self.now, expires, target)
        req.session, req.prefix, req.prefix_tokens = session, prefix, prefix_tokens or 0
        self.mix[group][0] += 1
        self.spare, self.left = min(10.0, self.spare + 0.4), self.left * 0.97
        if prefix is not None:
            self.heat[prefix] = self.heat.get(prefix, 0) + 1
        self.mix[group][1] += tokens
        if req.tenant < len(self.quota):
            self.quota_left[req.tenant] = max(-self.quota[req.tenant], self.quota_left[req.tenant] - 1)
            req.over = self.quota_left[req.tenant] < 0
        if self.now + self.margin_us >= expires:
            return self.give_up(req)
        self.read(req)

    def read(self, req):
        if len(req.forwards) >= self.most_forwards - 1:
            return self.give_up(req)
        reader, ready_us = self.choose_reader(req)
        writers = [w for w in self.writers if self.usable(w, req)]
        if reader is None or not (reader.writes or writers):
            return self.give_up(req)
        allowed = (req.target - self.now) * (0.5 if req.over else 0.8)
        if self.left > 0.1:  # clients leave sooner than they said: what takes longer is work for nobody
            allowed = min(allowed, self.patience[req.group])
        # Never shed while the stage in question has nothing of this router's waiting: else what was learnt in
        # a jam is never learnt again and all is refused for good. The middle writer counts, not a hung one.
        waits = [w.expect for w in writers if not reader.writes] or [0.0]
        unbegun, began = sum(w.unbegun for w in writers), sum(w.took for w in writers)
        wait = min(1.5 * sum(waits) / len(waits), unbegun / max(0.5, began) * 1e6)
        # Own part of every writer's memory full and writes waiting: a rush shows here before any wait is
        # heard. Could harm where this router carries far more than its part, so it wants both.
        full = not reader.writes and all(w.stream_tokens > w.memory and w.unbegun for w in writers)
        late = full or ready_us + wait > allowed and (reader.out_tokens > 0 or wait > allowed / 2)
        figures = [int(us) // MS for us in (ready_us, wait, allowed)]
        self.mode("shedding", late, "read %d ms, wait %d, allowed %d" % tuple(figures))
        if late and self.may_push_back(req):
            return self.give_up(req, int(ready_us + wait - allowed / 2))
        kept, known = reader.kept, self.known(req, reader)
        for key, tokens in ((req.prefix, req.prefix_tokens), (req.session, req.tokens)):
            if key is not None:
                kept.pop(key, None)
                kept[key] = tokens
        while len(kept) > 2000:
            del kept[next(iter(kept))]
        req.fresh = max(1, req.tokens - known)
        self.read_tokens += req.fresh
        self.send(req, reader, "direct" if reader.writes else "read")

    @staticmethod
    def known(req, reader):
        """Prompt tokens that this reader should still have kept, as far as this router knows."""
        return max(reader.kept.get(req.session, 0), req.prefix_tokens if req.prefix in reader.kept else 0)

    def choose_reader(self, req):
        """The reader, and in what time its read should end."""
        # Once a write may have run, the effects rule binds where a new read goes, too.
        usable = [r for r in self.readers if self.usable(r, req) and self.may_forward(req, r)]
        if not usable:
            return None, 0
        drawn = self.draw([(r, self.share[r.id] + (0.05 if r.suspect else 0.0)) for r in usable])
        heard = [r.cost for r in self.readers if r.cost] or [self.start_cost]
        mean = sum(heard) / len(heard)
        ends = {}
        for r in usable:
            ahead = r.out_tokens + req.tokens - self.known(req, r) * r.trust
            ends[r.id] = max(ahead * (r.cost or mean), self.oldest(r))
        if drawn.suspect:
            return drawn, ends[drawn.id]
        allowed = max(0.25 * (req.target - req.arrived), min(ends.values()) * 1.1)
        best = max(self.share[r.id] for r in usable)
        fit = [r for r in usable if ends[r.id] <= allowed and not r.suspect]
        near = [r for r in fit if self.share[r.id] >= NEAR * best]
        home = max(fit, key=lambda r: r.kept.get(req.session, 0), default=None)
        key = req.prefix if req.prefix is not None else req.session
        # A prefix with more than half a reader's part of the reqs is kept everywhere soon; its sessions are
        # spread by their own hash, which every gateway shares, and find their earlier turns again.
        if self.heat.get(key, 0) * 2 * len(self.readers) > sum(m[0] for m in self.mix):
            key = req.session
        if home is not None and req.session in home.kept:
            drawn = home
        elif near and key is not None and (drawn in near or drawn not in fit):
            drawn = min(near, key=lambda r: -log((crc32(f"{key}/{r.id}".encode()) + 1) / 4294967297)
                        / max(1e-9, self.share[r.id]))
        elif fit and (drawn not in fit or key is None):
            drawn = min(near or fit, key=lambda r: ends[r.id])
        return drawn, ends[drawn.id]

    def oldest(self, m):
        return self.now - next(iter(m.waiting.values()))[0] if m.waiting else 0

    def draw(self, weighted):
        self.draws += 1
        chance = crc32(b"%d/%d" % (self.seed, self.draws)) / 4294967296.0
        point = chance * sum(w for _, w in weighted)
        for item, weight in weighted:
            point -= weight
            if point < 0:
                break
        return item


    def write(self, req):
        writer = self.choose_writer(req) if len(req.forwards) < self.most_forwards else None
        if writer is None:
            return self.give_up(req)
        self.send(req, writer, "write")

    def choose_writer(self, req):
        usable = [w for w in self.writers if self.usable(w, req) and self.may_forward(req, w)]
        if not usable:
            return None
        row = [(w, self.pairs.get((req.holder.id, w.id), FLOOR)) for w in usable]
        drawn, best = self.draw(row), max(v for _, v in row)
        near = [w for w, v in row if v >= NEAR * best and not w.suspect]
        return min(near, key=lambda w: w.stream_tokens / w.memory) if drawn in near else drawn

    def may_forward(self, req, machine):
        """Effects: whether a repeat at this server can do no harm."""
        g = self.groups[req.group]
        if g.effect == "replayable" or not req.ran:
            return True
        if g.effect != "keyed":
            return False
        alike = {"zone": lambda m: m.zone, "cell": lambda m: m.cell}.get(g.repeat_scope, lambda m: 0)
        return all(self.now - sent <= g.repeat_window_us - 50 * MS and alike(first) == alike(machine)
                   for first, sent in req.ran)

    def may_push_back(self, req):
        g = self.groups[req.group]
        return g.effect == "replayable" or not req.ran or (g.effect == "keyed" and g.repeat_scope == "all")

    def send(self, req, machine, stage):
        number = len(req.forwards)
        ahead = machine.out_tokens + req.fresh if stage != "write" else 0
        req.forwards.append([machine, stage, self.now, True, req.fresh, ahead])
        req.out += 1
        if stage != "read":
            req.ran.append((machine, self.now))
            machine.stream_tokens += req.tokens
        if stage != "write":
            machine.out_tokens += req.fresh
        machine.waiting[req.id, number] = (self.now, stage == "write")
        machine.unbegun += stage == "write"
        machine.sends.append(self.now)
        if machine.suspect:
            machine.trial_us = self.now + 1000 * MS
        self.out.forward(req.id, machine.id, max(MS, req.expires - self.now - self.margin_us))

    def give_up(self, req, come_back_us=1 << 40):
        """The final answer at once, and whatever is held let go."""
        req.closed = True
        if self.may_push_back(req):
            self.out.push_back(req.id, min(max(100 * MS, come_back_us), self.come_back_us))
        else:
            self.out.abort(req.id)
        self.let_go(req)


    def on_first(self, rid, server, latency, number):
        req = self.reqs.get(rid)
        if req is None or number >= len(req.forwards):
            return
        machine, stage, sent, _, fresh, ahead = req.forwards[number]
        if machine.waiting.pop((rid, number), None):
            machine.unbegun -= stage == "write"
        machine.heard_us, machine.answered_us = self.now, max(machine.answered_us, sent)
        machine.taken += 1
        req.begun, req.begun_us = number, self.now
        machine.begun += 1
        self.good(machine)
        if stage == "write" and req.holder is not None:
            near = self.nearness(req.holder, machine)
            seen = (1, req.tokens, latency, req.tokens * latency, req.tokens * req.tokens)
            self.near[near] = [a + b for a, b in zip(self.near[near], seen)]
            machine.wait = counted(machine.wait, latency - req.tokens * self.transfer[near])
        elif stage == "direct":
            machine.latency = counted(machine.latency, latency)
            self.learn_cost(machine, latency, ahead)
            machine.out_tokens -= fresh
            req.forwards[number][4] = 0
        req.holder = None

    def learn_cost(self, machine, latency, ahead):
        machine.read_us = machine.read_us * 0.85 + latency
        machine.read_tokens = machine.read_tokens * 0.85 + max(200, ahead)
        machine.cost = machine.read_us / machine.read_tokens

    def on_outcome(self, rid, number, server, code, latency, ended, remark, report):
        machine = self.machines.get(server)
        if machine is not None and report and report.get("queue") is not None:
            # What the server says waits there, at the rate at which it serves all routers.
            machine.told_us = report["queue"] / max(1.0, machine.took * self.gateways) * 1e6
            machine.told_at = self.now
        req = self.reqs.get(rid)
        forward = req.forwards[number] if req is not None and number < len(req.forwards) else [None] * 4
        if not forward[3]:
            return  # late, twice, or of a req that was never here
        machine, stage, sent, _, fresh, ahead = forward
        forward[3] = False
        req.out -= 1
        if machine.waiting.pop((rid, number), None):
            machine.unbegun -= stage == "write"
        if stage != "read":
            machine.stream_tokens -= req.tokens
            if code in ("full", "unreachable", "moot"):  # proof that it never ran
                req.ran = [r for r in req.ran if r != (machine, sent)]
        if stage != "write":
            if code == "read":
                machine.latency = counted(machine.latency, latency)
                if req.tokens - fresh > 100:
                    machine.trust += (min(1.0, (remark or 0) / (req.tokens - fresh)) - machine.trust) * 0.3
                if (remark or 0) < (req.tokens - fresh) / 2:
                    machine.kept.pop(req.session, None)
                    if (remark or 0) < req.prefix_tokens / 2:
                        machine.kept.pop(req.prefix, None)
                    ahead += req.tokens - (remark or 0) - fresh
                self.learn_cost(machine, latency, ahead)
            machine.out_tokens -= forward[4]
        if code not in ("timed_out", "cancelled", "moot"):
            machine.heard_us = self.now
            machine.answered_us = max(machine.answered_us, sent if code == "read" else 0)
        machine.taken += code == "read"
        if code in FAILURES:
            self.mark(machine, 0.6 if code == "unreachable" else 0.3, f"{code} after {latency // MS} ms")
            if code == "timed_out" and stage == "write":
                machine.wait = counted(machine.wait, latency)
            elif code == "timed_out":
                machine.latency = counted(machine.latency, latency)
        elif code in ("done", "read"):
            self.good(machine)
        elif code == "full" and remark != 1:
            machine.busy_us = self.now + 150 * MS
        if req.begun == number:
            machine.begun -= 1
            if code == "done":
                usual, took = self.answer_us[req.group], self.now - req.begun_us
                self.answer_us[req.group] = usual + (took - usual) * 0.05 if usual else took
                machine.owed_us += usual or took
        if code == "read":
            req.holder = machine
        req.closed = req.closed or bool(ended)
        if req.closed:
            return self.let_go(req)
        self.next_step(req, machine, stage, code, remark)

    def let_go(self, req):
        """A closed req: what is held for it is released, and it is forgotten with its last forward."""
        if req.holder is not None:
            self.out.release(req.id)
            req.holder = None
        if not req.out:
            del self.reqs[req.id]

    def next_step(self, req, machine, stage, code, remark):
        if req.out:
            return
        if code == "read":
            return self.write(req)
        if code == "moot" or req.begun is not None or self.now + self.margin_us >= req.expires:
            return self.give_up(req)
        if code == "full" and stage == "write" and remark == 1:
            req.holder = None
        else:
            req.tried.add(machine.id)
        self.spare = max(-1.0, self.spare - 1)
        if self.spare < 0 or req.ran and self.groups[req.group].effect == "non-replayable":
            return self.give_up(req)
        self.write(req) if req.holder is not None else self.read(req)

    def on_client_left(self, rid):
        req = self.reqs.get(rid)
        if req is None or req.closed:
            return
        req.closed, self.left = True, self.left + 0.03
        self.patience[req.group] += (self.now - req.arrived - self.patience[req.group]) * 0.1
        for number, forward in enumerate(req.forwards):  # what nobody waits for must not take capacity
            if forward[3] and number != req.begun and self.may_cancel:
                self.out.retract(rid, number)
        if not req.out:
            self.let_go(req)

    def ignore(self, *fields):
        """Places, probes and peers' messages: this module asks for none of them."""

    on_place = on_probed = on_peer = ignore
