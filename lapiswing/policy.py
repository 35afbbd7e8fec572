"""All decisions of lapiswing. A host calls Router(seed, settings, now_us) once and then
router.round(now_us, events, out) each round; events, codes and the writer are in lapiswing/interface.py.
The ordinary path is the pair table and shares of docs/design.md; the rest guards it when things fail."""

from bisect import bisect_left
from itertools import accumulate
from math import ceil, log, sqrt

import numpy as np

from lapiswing.routing import learned_state
from lapiswing.routing.pair_table import MIDDLES, STEPS, PairTable
from lapiswing.routing.randomness import SeededRandom, rendezvous_rank
from lapiswing.routing.state import Demand, Load, RequestState, RouterState, ServerState

MS = 1000
REFRESH_US = 250 * MS  # how often, while something is out or new, scores are made anew and shares move
NEWS = 4  # outcomes that make a refresh worth its cost before a second has passed
PAIRS_A_NEWS = 1000  # of groups: where they are many, more outcomes make a refresh worth its cost
FIRST_PAIRS = 200_000  # looked at before the first req
NEAR = 0.3  # shares above this part of the best are near it
MEMORY_US = (2000 * MS, 10000 * MS)  # measurements are halved no sooner and no later than this
PRIOR = 2.0  # outcomes' worth of its kind's average in each server's histogram
HELD_US, TOLD = 5000 * MS, 0.4  # half life of what a writer told of its memory; what a full one takes off
FULL = 0.8  # told share of memory from which a writer's wait is a queue and no lost answer
# What a repeat keeps clear of its window's end: a gateway that is held up between its clock and its write, and the way.
WINDOW_CLEAR_US = 200 * MS
LEAST_BAD, LEAST_SEEN = 0.01, 0.01  # failure score worth carrying over; requests that tell a mean prompt
LEARNT_US = 600 * 1000 * MS  # figures of an earlier life older than this are not taken up
COLD_PART = 0.6  # part used of what the rule lets a cold server be sent
# Part of the time to let go that connections may use to come up, then each so little: a forward is not out
# before, and the rest is the release's. Could harm where all are slow to come up.
UP_PART, LEAST_UP_US = 0.75, 10 * MS
UNCLAIMED_PART = 0.92  # of the time to let go, after which a state is released that no decode server has answered for
COLD_HOMES = 2  # a prefix goes to every so many-th cold reader; no one's turns grow by more, whatever is hot,
COLD_HOT = 0.1  # and a hot one to so many that it adds this part at the most to any one's
COLD_LONG = 1.5  # part of what the rule allows for chance that a prompt may take where no server is warm
RUSH_US = 1000 * MS  # half life of the count of own reqs that a rush shows in
REPEAT = 2 | 16  # bits of a req that its client has sent before
LATE_READS = 0.5  # own recent reads for each prefill server that tell a late attempt from a common jam
NEVER_RAN = ("full", "unreachable", "no_way", "moot")  # outcomes that prove it
NEVER_OUT = ("unreachable", "no_way", "moot")  # nothing has arrived
FAILURES = ("error", "reset", "unreachable", "timed_out")


class Router(RouterState):
    def __init__(self, seed, settings, now_us):
        limits, rules, prices, family = (settings[k] for k in ("limits", "rules", "penalties", "family_info"))
        super().__init__(now_us, len(settings["groups"]), len(family["duty_by_kind"]), len(MIDDLES))
        self.chance, self.groups = SeededRandom(seed), settings["groups"]
        self.gateways, self.zone = max(1, settings.get("balancers", 1)), settings.get("az", 0)
        self.most_forwards, self.may_cancel = limits["max_attempts"], limits.get("cancel", False)
        memory = [max(1, m) / self.gateways for m in family["kind_memory_tokens"]]
        self.kinds = list(zip(family["duty_by_kind"], memory))  # role, and this router's part of memory
        self.table = PairTable(self.zone, family.get("far_price", 0.0), prices.get("cross_zone", 0.0))
        self.come_back_us = limits.get("max_retry_after_us", 0) if limits.get("retry_after") else 0
        # A prompt token's read cost until one is heard: what the response target allows it.
        self.start_cost = max([g.target_per_1000_us / 1000 for g in self.groups] + [0.0]) or 50.0
        self.margin_us, self.cold_multiple = settings.get("resolution_us", MS), rules["fall_multiple"]
        self.cold_from, self.slow_start_us = rules["cold_from"], rules["ramp_time_us"] * 1.2
        self.fall_us = rules["overload_for_us"]  # the window in which a cold server's work is counted
        let_go_us = family.get("let_go_by_us") or 500 * MS
        self.up_us, self.unclaimed_us = int(let_go_us * UP_PART), int(let_go_us * UNCLAIMED_PART)
        self.asks = settings.get("membership_mode") == "subscribe"
        self.quota = [t.get("quota_rps", 0) / self.gateways for t in settings.get("tenants") or []]
        self.spare, self.pause_us = 10.0, 1000 * MS  # forwards to spare; between two trials of a suspect
        self.names = settings.get("kinds") or []

    def learned_state(self):  # what a later process may start from
        return learned_state.save(self, LEAST_BAD)

    def restore_learned_state(self, learnt, age_us):
        """Starts from an earlier process's figures, before the first list; -> a line on what was taken up."""
        if not 0 <= age_us <= LEARNT_US:
            return f"nothing taken up: {age_us // (1000 * MS)} s old"
        return learned_state.restore(self, learnt)

    def round(self, now_us, events, out):
        self.now, self.out = now_us, out
        for name, *fields in events:
            getattr(self, "on_" + name)(*fields)
        if not self.timer and (self.news or self.reqs or self.asks and not self.subscribed):
            self.timer = True
            out.timer(REFRESH_US, 0)

    def on_servers(self, kind, rows):
        self.subscribed, self.unreachable_by_zone = kind in ("update", "replace"), {}
        if kind == "unavailable":
            return
        for row in rows:
            if row.id not in self.servers:
                self.servers[row.id] = ServerState(row, self.kinds, len(self.servers))
            machine, carried = self.servers[row.id], self.carried.pop(row.id, None)
            if carried and abs(carried[0] - row.started_us) < MS:  # the same start of it
                _, machine.failure_score, machine.read_us, machine.read_tokens = carried
                machine.ejected = machine.failure_score > 0.5
            if row.started_us != machine.started_us:  # it has kept nothing, and its old troubles are over
                machine.cached_prefixes, machine.failure_score, machine.ejected = {}, 0.0, False
                self.reads[machine.at] = self.waits[machine.at] = 0.0
            machine.listed(row, self.kinds)
        named = {row.id for row in rows}
        for machine in [m for m in self.servers.values() if kind != "update" and m.id not in named]:
            machine.mode = "gone"
        self.keep_measurements()
        self.level_pairs()

    def level_pairs(self):
        ready = [m for m in self.servers.values() if m.mode == "ready"]
        self.cold_until = max([m.started_us + self.slow_start_us for m in ready if m.started_us], default=0)
        self.set_ready_servers(ready)
        self.table.arrange(self.readers, self.writers)
        # By what is known without outcomes; less often for many pairs, as nobody is served meanwhile.
        pairs = max(1, len(self.readers) * len(self.writers))
        for _ in range(0 if self.refreshed_us else min(12, max(2, FIRST_PAIRS // pairs))):
            self.refresh()
        self.refreshed_us = self.refreshed_us or self.now

    def on_timer(self, token):
        if token:
            return self.look_at_claim(token)
        self.timer = False
        if self.asks and not self.subscribed and self.now >= self.ask_us:
            self.ask_us = self.now + 1000 * MS
            self.out.watch(True)  # not asked yet, the call failed or the subscription broke
        worth = self.table.pairs.size / PAIRS_A_NEWS if self.table.racks_per_group else 0
        if self.news >= max(NEWS, worth) or self.now - self.refreshed_us >= 4 * REFRESH_US:
            self.measure(max(1, self.now - self.refreshed_us))
            self.refresh()
        self.look_for_silence()

    def measure(self, past):
        self.read_span += past
        self.pause_us = max(1000 * MS, 5 * self.read_span / max(1.0, sum(m[0] for m in self.mix)))
        self.stream_us += self.begun * past
        self.took += (self.served * 1e6 / past - self.took) * (1 - 0.9 ** (past / REFRESH_US))
        keep = 0.975 ** (past / REFRESH_US)
        for kind, sums in enumerate(self.kind_took):  # remembered while all of a kind are cold
            warm = [m.at for m in self.of_kind[kind] if not m.cold]
            if warm:
                sums[:] = sums[0] * keep + self.served[warm].sum(), sums[1] * keep + len(warm) * past / 1e6
        self.served[:], self.news, self.refreshed_us = 0, 0, self.now
        # Halved by evidence, so that few outcomes are remembered longer than many.
        past = self.now - self.halved_us
        if past >= MEMORY_US[0] and self.seen >= 2 * len(self.servers) or past >= MEMORY_US[1]:
            self.halved_us, self.seen = self.now, 0
            self.reads, self.waits = self.reads / 2, self.waits / 2
            self.stream_us, self.owed_us = self.stream_us * 0.7, self.owed_us * 0.7
            self.near, self.mix = [v / 2 for v in self.near], [[v / 2 for v in sums] for sums in self.mix]
            self.read_tokens, self.read_span = self.read_tokens / 2, self.read_span / 2
            self.recent_reqs, self.read_well = self.recent_reqs / 2, self.read_well / 2
            for m in self.readers:
                m.read_us, m.read_tokens = m.read_us / 2, m.read_tokens / 2

    def refresh(self):
        if not self.table.pairs.size:
            return
        n, t, l, tl, tt = self.near
        if n > 4 and n * tt > t * t:
            self.transfer[0] = max(0.0, min((n * tl - t * l) / (n * tt - t * t), l / t))
        usual = sum(self.answer_us) / max(1, len(self.answer_us))
        stream, owed = self.stream_us[self.w_at], self.owed_us[self.w_at]
        stream = stream * (max(1, owed.sum()) / (stream.sum() or 1))
        kinds, lean = np.array([w.kind for w in self.writers]), 2 * usual + MS
        pace = np.ones(len(kinds))
        for of in (kinds == kind for kind in set(kinds.tolist())):  # it leans on its kind's
            whole = (stream[of].sum() + lean) / (owed[of].sum() + lean)
            pace[of] = np.maximum(0.5, (stream[of] + lean * whole) / (owed[of] + lean))
        read, reads_end = self.with_waits(self.readers, self.reads, self.r_at, False)
        wait, waits_end = self.with_waits(self.writers, self.waits, self.w_at, True)
        # For shedding the middle of each: lost answers are no queue, and no jam ends by shedding for them.
        middle = MIDDLES[(wait.cumsum(axis=1) < 0.5).sum(axis=1)].tolist()
        self.expect = dict(zip((w.id for w in self.writers), middle))
        # The middle one: a hung server's ages must not raise what is usual.
        self.typical_read_us, self.typical_wait_us = (np.sort(e)[(len(e) - 1) // 2] for e in (reads_end, waits_end))
        total = sum(m[0] for m in self.mix)
        tokens = sum(m[1] for m in self.mix) / (total or 1.0)
        demands = [
            Demand(m[0] / total, g.target_us + g.target_per_1000_us * m[1] / m[0] / 1000 - MIDDLES)
            for m, g in zip(self.mix, self.groups)
            if m[0] > 0
        ]
        good = [np.array([1 - m.failure_score for m in side]) for side in (self.readers, self.writers)]
        pace = np.minimum(1.0, 1.5 / pace)
        self.table.refresh(read, wait, demands, pace, good, self.load(), tokens, self.hop)

    def hop(self, reader, way):
        """Time a token that a move takes: what the way takes when free and, out of the cell, times the strain
        that this router's own moves found on the one link of the reader's cell, leaning on a free one."""
        if way == 0:
            return self.transfer[0]
        took, free = self.links.get(reader.cell, (0.0, 0.0))
        lean = 2000 * self.transfer[way] + 1
        return self.transfer[way] * (took + lean) / (free + lean)

    def with_waits(self, machines, table, at, writing):  # parts of 1, leaning on the kind's; ages count
        bins, kinds = table[at], np.array([m.kind for m in machines])
        whole = bins.sum(axis=0)
        whole = whole / whole.sum() if whole.sum() else (MIDDLES == MIDDLES[0]) * 1.0
        for of in (kinds == kind for kind in set(kinds.tolist())):
            average = bins[of].sum(axis=0) + PRIOR * whole
            bins[of] += PRIOR * average / average.sum()
        ends = bins @ MIDDLES / bins.sum(axis=1)
        for i, m in enumerate(machines):
            if writing and m.reported_wait_us > STEPS[0] and self.now - m.wait_reported_us < 2000 * MS:
                bins[i, bisect_left(STEPS, m.reported_wait_us)] += PRIOR
            for sent, wr in m.waiting.values():
                if wr == writing and self.now - sent > ends[i]:
                    bins[i, bisect_left(STEPS, self.now - sent)] += 1
        bins /= bins.sum(axis=1)[:, None]
        return bins, bins @ MIDDLES

    def load(self):
        """What each server has to bear as shares go, from own requests and reports."""
        own, memory = (np.array([getattr(w, of) for w in self.writers]) for of in ("stream_tokens", "memory"))
        # A third of memory at least, so that an idle router still spreads.
        streams = max(sum(own.tolist()), sum(memory.tolist()) / 3)
        cost = np.array([self.cost_of(r) for r in self.readers])
        n = self.begun[self.w_at].sum() / len(self.writers)
        known = n / (n + 1)  # a writer's own streams say something of it only where each has some
        # What writers told of their memory, leaning on the mean of all as it grows old.
        fresh = 0.5 ** (np.array([self.now - w.memory_reported_us for w in self.writers]) / HELD_US)
        held = np.array([w.memory_used for w in self.writers])
        held = fresh * held + (1 - fresh) * (fresh @ held / max(1e-9, fresh.sum()))
        # All routers use the one link of a cell: their part of its time, from own prompts and shares.
        flow = sum(m[1] for m in self.mix) * self.gateways / self.read_span
        ahead = np.array([r.out_tokens for r in self.readers]) * cost / (1000 * MS)
        work = self.read_tokens * self.gateways / self.read_span * cost
        return Load(
            ahead, work, known * own, (2 - known) * streams, 2 * memory, TOLD * held * held, flow * np.array(self.transfer)
        )

    def look_for_silence(self):
        """What a silent server holds, or later forwards have far overtaken there, is as good as lost: reads
        have no effect, and writes are taken back where a repeat does no harm. Guards against messages that
        vanish anywhere, and one stuck slot; could harm where a server answers out of order by habit."""
        if self.own_trouble:
            return self.forgive_waits()
        known = self.reads.sum() >= LATE_READS * len(self.readers)
        suspects = sum(m.ejected and m.mode == "ready" for m in self.servers.values())
        listed = len({*self.table.rows.index_of, *self.table.columns.index_of})
        self.mode("trouble in common", suspects * 2 > listed, f"{suspects} suspects")
        for m in [m for m in self.servers.values() if m.waiting]:
            most = 2 * m.out_tokens * self.cost_of(m)
            for (rid, number), (sent, writing) in list(m.waiting.items()):
                req, quiet = self.reqs[rid], self.now - max(sent, m.heard_us)
                usual, waited = self.typical_wait_us if writing else self.typical_read_us, self.now - sent
                # One forward alone may just be slow.
                silent = quiet > max(600 * MS, 5 * usual + most) * (1 + 2 / len(m.waiting) ** 2)
                overtaken = sent < m.answered_us and waited >= max(400 * MS, 4 * usual)
                _, stage, _, _, _, ahead = req.attempts[number]
                # Far behind what it should take alone: behind others' work, or its answer was lost. Could
                # harm where taking back stops nothing; the usual time keeps a common jam from moving all.
                # Without enough reads to tell it, the moves of many gateways would multiply a jam.
                again, holder = self.groups[req.group].effect == "replayable", req.holder
                late = (
                    known
                    and (stage == "read" or stage == "write" and again and m.memory_used < FULL)
                    and (max(0.25 * (req.target - req.arrived), 3 * usual) < waited < min(req.target, req.expires) - self.now)
                )
                if late:
                    move = self.hop(holder, 1 + (holder.zone != m.zone)) if stage == "write" and holder else 0
                    late = waited > 3 * (ahead * self.cost_of(m) + req.tokens * move)
                if silent and not m.ejected:
                    self.mark(m, 0.6, f"silent for {quiet // MS} ms, usual {usual / MS:.0f}")
                harmless = stage == "read" or (overtaken or late) and again
                if (
                    (silent or overtaken or late)
                    and harmless
                    and not req.closed
                    and self.may_cancel
                    and (self.spare >= 1 and len(req.attempts) < self.most_forwards - 1)
                ):
                    self.out.retract(rid, number)

    def mark(self, m, by, why):
        m.failure_score += (1 - m.failure_score) * by * max(0.2, 1 - 2.5 * self.failing)  # what all do says little of one
        if m.failure_score > 0.5:
            m.next_probe_us = self.now + self.pause_us
            if not m.ejected:
                m.ejected = True
                self.out.log(f"suspect {m.id} on: {why}, bad {m.failure_score:.2f}")

    def good(self, m):
        m.failure_score *= 0.75
        self.unreachable_by_zone.pop(m.zone, None)
        if m.ejected and m.failure_score < 0.3:
            m.ejected = False
            self.out.log(f"suspect {m.id} off: bad {m.failure_score:.2f}")

    def usable(self, m, req):
        m.cold = m.started_us > 0 and self.now - m.started_us < self.slow_start_us
        trial = self.now >= m.next_probe_us and not m.waiting and len(req.attempts) < 2
        return (
            m.mode == "ready" and m.id not in req.tried and (not m.ejected or self.modes.get("trouble in common", False) or trial)
        )

    def reachable(self, machines, req):
        """The usable ones, if any is left outside zones that look cut off: where connections of two servers,
        or this req's, did not come up and none answered since. Guards against trying a lost zone one by one;
        could harm where single servers of a zone hang, by a pause."""
        lost = {
            zone
            for zone, ids in self.unreachable_by_zone.items()
            if self.now - max(ids.values()) < self.pause_us and (len(ids) > 1 or not req.tried.isdisjoint(ids))
        }
        usable = [m for m in machines if self.usable(m, req) and self.may_forward(req, m)]
        return [m for m in usable if m.zone not in lost] or usable

    def cold_level(self, m):
        """What the rule lets a just-started server be sent by now, in multiples of what a warm one can do."""
        warmed = (self.now - m.started_us) / self.slow_start_us
        return self.cold_multiple * (self.cold_from + (1 - self.cold_from) * warmed)

    def bears(self, m, long, mean, part):
        """Whether a prompt, `long` times the mean of `mean` tokens, takes no more than a part of what the
        rule allows for chance. Guards against one that alone brings a server down; could harm long ones
        where few are warm."""
        n = self.fall_us * self.cold_level(m) / max(1.0, mean * self.cost_of(m))
        return long <= part * (sqrt(n) + 1)

    def readers_rate(self):
        """Requests a second that this gateway's part of all prefill servers can do: the more of what warm
        ones served and what the reads' own cost allows. No bound while nothing was served."""
        served = sum(took / of for took, of in (self.kind_took[r.kind] for r in self.readers))
        mean = self.mean_tokens()
        able = sum(1e6 / max(1.0, mean * self.cost_of(r)) for r in self.readers) / self.gateways
        return max(served, able) if served else 1e6

    def turn_of(self, at, cold, shares, all_cold, key=None):
        """The just-started server that takes this forward, or None: each by its share, an equal one at the
        most, times the part that the rule lets it be sent. In own reqs and not in time, so that a router that
        has just started or hears little knows its part too, all add up to it, and nothing is saved for a
        burst; the less of the reqs is served, and the more come at once, the less. A req has one draw,
        whatever its retries and its client's. Could harm where more is asked than ever served, and where all
        of a role are cold after a time of little traffic."""
        if not cold:
            return None
        served = min(1.0, (self.read_well + self.reads_out + 1) / (self.recent_reqs + 1))
        usual = sum(m[0] for m in self.mix) * RUSH_US / log(2) / (self.read_span + self.now - self.refreshed_us)
        if all_cold:  # no jam shows then, and `usual` would learn the rush
            usual = min(usual, self.readers_rate() * RUSH_US / 1e6 / log(2))
        served *= min(1.0, (usual + 1) / max(1.0, self.rush))
        parts = []
        for m, share in zip(cold, shares):
            parts.append((m, share * served * min(1.0, self.cold_level(m) * COLD_PART)))
        if key is not None and len(parts) > 2:  # most work there is text that it has not kept
            parts.sort(key=lambda p: -log(1 - rendezvous_rank(key, p[0])) / max(p[1], 1e-9))
            more = min(COLD_HOMES, 1 + COLD_HOT / max(0.01, self.heat_of(key)))
            homes, whole = ceil(len(parts) / more), sum(part for _, part in parts)
            parts = [(m, min(whole / homes, more * part)) for m, part in parts[:homes]]
        ends = accumulate(part for _, part in parts)
        return next((m for (m, _), end in zip(parts, ends) if at < end), None)

    def on_req(self, rid, tokens, expires, session, prefix, prefix_tokens, _out, _hint, bits, tenant, group):
        g = self.groups[group]
        target = self.now + g.target_us + g.target_per_1000_us * tokens // 1000
        req = self.reqs[rid] = RequestState(rid, group, tenant or 0, tokens, self.now, expires, target)
        req.session, req.prefix, req.prefix_tokens = session, prefix, prefix_tokens or 0
        req.repeat = bool(bits & REPEAT)
        fade = 0.5 ** ((self.now - self.rush_us) / RUSH_US)
        self.rush, self.rush_us = self.rush * fade + (not req.repeat), self.now
        self.mix[group] = [self.mix[group][0] + 1, self.mix[group][1] + tokens]
        self.spare, self.recent_reqs = min(10.0, self.spare + 0.6), self.recent_reqs + 1
        if prefix is not None:
            self.heat[prefix] = self.heat.get(prefix, 0) + 1
            if sum(self.heat.values()) > 80:
                self.heat = {key: n / 2 for key, n in self.heat.items() if n > 0.5}
        req.over_quota = req.tenant < len(self.quota) and self.remaining_quota(req.tenant) < 0
        self.read(req)

    def remaining_quota(self, tenant):  # its quota, as of the last refresh
        quota = self.quota[tenant]
        left, at = self.quota_left.get(tenant, (2 * quota, self.began_us))
        return min(2 * quota + 4, left + quota * max(0, self.refreshed_us - at) / 1e6)

    def read(self, req):
        if len(req.attempts) >= self.most_forwards - 1 or self.now + self.margin_us >= req.expires:
            return self.give_up(req)
        # One draw for both roles, so that their parts coincide.
        at = self.chance() if self.now < self.cold_until and not req.attempts and not req.repeat else 1.0
        reader, ready_us = self.choose_reader(req, at)
        writers = [w for w in self.writers if self.usable(w, req)]
        if reader and not reader.writes and all(w.cold for w in writers):  # no read that no writer takes
            req.turn = self.turn_of(at, writers, [1 / len(self.writers) for _ in writers], True)
            reader = reader if req.turn else None
        if reader is None:
            self.recent_reqs = max(0.0, self.recent_reqs - 1)
            return self.give_up(req)
        # Its client may leave before the target: what takes longer is work for nobody.
        patience = req.expires - self.now - self.margin_us
        allowed = min((req.target - self.now) * (0.5 if req.over_quota else 0.8), patience)
        # Never shed with less than this router's part waiting: else what a jam taught is never learnt again.
        waits = [self.expect.get(w.id, 0.0) for w in writers if not reader.writes] or [0.0]
        unbegun, began = max(0, sum(len(w.waiting) for w in writers) - 1), self.took[self.w_at].sum()
        wait = min(1.5 * sum(waits) / len(waits), unbegun / max(0.5, began) * 1e6)
        # A rush shows before any wait is heard; could harm a router with far more than its part.
        full = not reader.writes and all(w.stream_tokens > w.memory and w.waiting for w in writers)
        mine = max(self.reads_out, self.chance() / 4) * self.gateways > len(self.readers)
        late = full or ready_us + wait > allowed and (reader.out_tokens > 0 or mine or wait > allowed / 2)
        # Clients that leave before the target and come again at once fill all readers; could harm a share
        # that is sent to few gateways only.
        late = late or req.over_quota and req.expires < req.target and not req.attempts
        self.mode("shedding", late, "read %d ms, wait %d of %d" % (ready_us / MS, wait / MS, allowed / MS))
        if late and self.may_push_back(req):
            return self.give_up(req, int(ready_us + wait - allowed / 2))
        if req.tenant < len(self.quota) and not req.attempts:
            left = max(-self.quota[req.tenant] - 2, self.remaining_quota(req.tenant) - 1)
            self.quota_left[req.tenant] = left, self.refreshed_us
        kept, req.fresh = reader.cached_prefixes, max(1, req.tokens - self.known(req, reader))
        if len(kept) > 2000:
            kept.clear()
        kept.update({req.prefix: req.prefix_tokens, req.session: req.tokens})
        kept.pop(None, None)
        self.read_tokens += req.fresh
        self.send(req, reader, "direct" if reader.writes else "read")

    def known(self, req, reader):  # prompt tokens that it should still have kept, as far as this router knows
        return max(reader.cached_prefixes.get(req.session, 0), req.prefix_tokens if req.prefix in reader.cached_prefixes else 0)

    def cold_reader(self, req, at, cold, all_cold, key):
        """The cold reader whose turn it is, or None. What counts there is work: a long prompt's turns are as
        much rarer as it is longer than the mean. The first request of a process has none: nothing tells how long
        it is. Could harm where all are cold and no second request comes, by the wait that its client is told."""
        mean = self.mean_besides(req.tokens, LEAST_SEEN)
        if not mean:
            return None
        long = req.tokens / mean
        bearing = [r for r in cold if self.bears(r, long, mean, COLD_LONG if all_cold else 1.0)]
        parts = [min(self.table.share[r.id], 1 / len(self.readers)) for r in bearing]
        return self.turn_of(at * max(1.0, long), bearing, parts, all_cold, key)

    def choose_reader(self, req, at):
        """The reader, and in what time its read should end. The effects rule binds new reads too."""
        usable = self.reachable(self.readers, req)
        cold, usable = [r for r in usable if r.cold], [r for r in usable if not r.cold]
        key = req.prefix if req.prefix is not None else req.session
        turn = self.cold_reader(req, at, cold, not usable, key) if cold else None
        if turn or not usable:
            return turn, 0
        shares, trial = self.table.share, 0.3 / len(usable)  # a suspect is here for a trial only
        drawn = self.chance.draw([(r, shares[r.id] + trial * r.ejected) for r in usable])
        ends = {}
        for r in usable:
            ahead = r.out_tokens + req.tokens - self.known(req, r) * r.trust
            oldest = next(iter(r.waiting.values()), (self.now,))[0]
            ends[r.id] = max(ahead * self.cost_of(r), self.now - oldest)
        if drawn.ejected:
            return drawn, ends[drawn.id]
        allowed = max(0.25 * (req.target - req.arrived), min(ends.values()) * 1.1)
        fit = [r for r in usable if ends[r.id] <= allowed and not r.ejected]
        share = shares[drawn.id]  # the best or near it; mixed servers have shares of their own
        near = [r for r in usable if NEAR * share <= shares[r.id] <= share / NEAR and not r.ejected]
        home = max(fit, key=lambda r: r.cached_prefixes.get(req.session, 0), default=drawn)
        if req.session in home.cached_prefixes and home in fit:
            drawn = home
        elif near and key is not None:
            # A prefix has two homes, a hot one so many that it takes half of none; its sessions spread over
            # them by a hash that every gateway shares. What fits at none goes on to as many more, the same
            # for all gateways, so that a jam does not scatter texts.
            # Ranks follow the shares the more, the less this router's own reads tell of each reader.
            by = max(0.0, 1 - self.reads.sum() / (4 * len(self.readers)))
            homes = max(1, min(2, len(near) // 3), ceil(2 * len(near) * self.heat_of(key)))
            near.sort(key=lambda r: -log(1 - rendezvous_rank(key, r)) / shares[r.id] ** by)
            ranked = sorted(near[:homes], key=lambda r: rendezvous_rank(req.session, r)) + near[homes : 2 * homes]
            drawn = next((r for r in ranked if r in fit), None) or ranked[0]
        elif drawn not in fit or key is None:
            drawn = min(near or usable, key=lambda r: ends[r.id])
        return drawn, ends[drawn.id]

    def heat_of(self, key):  # its part of the reqs, leaning on the chance that two share their prefix
        n, start = sum(self.heat.values()), 0.25 / max(1, len(self.readers))
        alike = (sum(h * max(0, h - 1) for h in self.heat.values()) + 50 * start) / (n * (n - 1) + 50)
        return (max(0, self.heat.get(key, 0) - 1) + 10 * alike) / (n + 10)

    def cost_of(self, r):
        """Read time a token there, leaning on its kind's while little is heard of it."""
        us, tokens = self.kind_cost[r.kind]
        kind = us / tokens if tokens else self.start_cost
        return (r.read_us + 1000 * kind) / (r.read_tokens + 1000)

    def write(self, req):
        writer = self.choose_writer(req) if len(req.attempts) < self.most_forwards else None
        self.send(req, writer, "write") if writer else self.give_up(req)

    def choose_writer(self, req):
        usable = self.reachable(self.writers, req)
        if not usable:
            return None
        shares, column = self.table.shares_from(req.holder), self.table.columns.index_of
        cold, usable = [w for w in usable if w.cold], [w for w in usable if not w.cold]
        if req.turn in cold:
            return req.turn
        if cold:  # never more than an equal share of all, however near it is to some readers
            most = 1 / len(self.writers) / np.maximum(self.table.writer_shares(), 1e-9)
            turns = shares / (shares.sum() or 1.0) * np.minimum(1.0, most)
            at = 1.0 if any(stage == "write" for _, stage, *_ in req.attempts) else self.chance()
            turn = self.turn_of(at, cold, [turns[column[w.id]] for w in cold], not usable)
            if turn or not usable:
                return turn
        row = [(w, shares[column[w.id]] or 1e-6) for w in usable]
        drawn, best = self.chance.draw(row), max(v for _, v in row)
        near = {w: v for w, v in row if v >= NEAR * best and not w.ejected}
        least = min((w.stream_tokens / w.memory for w in near), default=0)  # nothing at many: draw by share
        least = [(w, v) for w, v in near.items() if w.stream_tokens / w.memory == least]
        return self.chance.draw(least) if drawn in near else drawn

    def may_forward(self, req, machine):
        """Effects: whether a repeat at this server can do no harm."""
        g = self.groups[req.group]
        alike = {"zone": lambda m: m.zone, "cell": lambda m: m.cell}.get(g.repeat_scope, lambda m: 0)
        return (
            g.effect == "replayable"
            or not req.ran
            or g.effect == "keyed"
            and all(self.window_left(g, sent) >= 0 and alike(first) == alike(machine) for first, sent in req.ran)
        )

    def window_left(self, group, sent_us):
        """Time in which a repeat of an attempt sent then may still begin."""
        return sent_us + group.repeat_window_us - WINDOW_CLEAR_US - self.now

    def up_within(self, req):
        """In what time an attempt's connection has to be up: for a state that is held, and for a repeat's window."""
        g, left = self.groups[req.group], req.up_by - self.now
        if g.effect == "keyed":
            left = min([left] + [self.window_left(g, sent) for _, sent in req.ran])
        return max(LEAST_UP_US, left)

    def may_push_back(self, req):
        g = self.groups[req.group]
        return g.effect == "replayable" or not req.ran or (g.effect == "keyed" and g.repeat_scope == "all")

    def send(self, req, machine, stage):
        number, ahead = len(req.attempts), machine.out_tokens + req.fresh if stage != "write" else 0
        req.attempts.append([machine, stage, self.now, True, req.fresh, ahead])
        req.out += 1
        up_us = self.up_within(req)
        if stage != "read":
            req.ran.append((machine, self.now))
            machine.stream_tokens += req.tokens
        if stage != "write":
            machine.out_tokens, self.reads_out = machine.out_tokens + req.fresh, self.reads_out + 1
        machine.waiting[req.id, number] = (self.now, stage == "write")
        if machine.ejected:
            machine.next_probe_us = self.now + self.pause_us
        self.out.forward(req.id, machine.id, max(MS, req.expires - self.now - self.margin_us), up_us)
        if stage == "write" and req.holder is not None:
            self.watch_claim(req, number)

    def watch_claim(self, req, number):
        """Has a state looked after that an attempt at a decode server is to fetch."""
        self.claims += 1
        self.unclaimed[self.claims] = req.id, number
        self.out.timer(max(MS, req.held_us + self.unclaimed_us - self.now), self.claims)

    def look_at_claim(self, token):
        """Guards against an attempt that never arrived, on a connection that has fallen silent: it is not out, and the
        state's time runs on. A release drops only what no attempt waits for, so it does no harm to one that has arrived;
        could harm by its message, and by a new prefill where the attempt arrives just behind it."""
        rid, number = self.unclaimed.pop(token, (None, None))
        req = self.reqs.get(rid)
        if req is not None and not req.closed and req.begun is None and req.attempts[number][3]:
            self.out.release_unclaimed(rid)

    def give_up(self, req, come_back_us=1 << 40):
        """The final answer at once, and whatever is held let go."""
        req.closed = True
        if self.may_push_back(req):
            self.out.push_back(req.id, min(max(100 * MS, come_back_us), self.come_back_us))
        else:
            self.out.abort(req.id)
        self.clean_up(req)

    def on_first(self, rid, server, latency, number):
        req = self.reqs.get(rid)
        if req is None or number >= len(req.attempts):
            return
        machine, stage, sent, _, fresh, ahead = req.attempts[number]
        machine.waiting.pop((rid, number), None)
        machine.heard_us, machine.answered_us = self.now, max(machine.answered_us, sent)
        self.served[machine.at] += 1
        self.begun[machine.at] += 1
        self.news, self.seen = self.news + 1, self.seen + 1
        req.begun, req.begun_us = number, self.now
        self.good(machine)
        if stage == "write" and req.holder is not None:
            holder = req.holder
            way = 0 if holder.cell == machine.cell else 1 + (holder.zone != machine.zone)
            if way == 0:
                seen = (1, req.tokens, latency, req.tokens * latency, req.tokens * req.tokens)
                self.near = [a + b for a, b in zip(self.near, seen)]
            elif req.tokens > 500:  # free: about the least seen; a crowded link takes much more
                least = self.transfer[way] * 1.02 or latency / req.tokens
                self.transfer[way] = min(least, latency / req.tokens)
            wait = latency - req.tokens * self.hop(holder, way)
            self.waits[machine.at, bisect_left(STEPS, wait)] += 1
            if way:
                took, free = self.links.get(holder.cell, (0.0, 0.0))
                self.links[holder.cell] = took * 0.85 + latency, free * 0.85 + req.tokens * self.transfer[way]
        elif stage == "direct":
            self.read_well += 1
            self.learn_read(machine, latency, ahead)
            machine.out_tokens, self.reads_out = machine.out_tokens - fresh, self.reads_out - 1
            req.attempts[number][4] = 0
        req.holder = None

    def learn_read(self, machine, latency, ahead, of_kind=True):
        self.reads[machine.at, bisect_left(STEPS, latency)] += 1
        machine.read_us = machine.read_us * 0.85 + latency
        machine.read_tokens = machine.read_tokens * 0.85 + max(200, ahead)
        if of_kind:
            sums = self.kind_cost[machine.kind]
            sums[:] = sums[0] * 0.75 + latency, sums[1] * 0.75 + max(200, ahead)

    def on_outcome(self, rid, number, server, code, latency, ended, remark, report):
        machine = self.servers.get(server)
        if machine is not None and report and report.get("held") is not None:
            machine.memory_used, machine.memory_reported_us = report["held"], self.now
        if machine is not None and report and report.get("queue") is not None:
            took, of = self.kind_took[machine.kind]  # at its kind's rate of serving all routers
            machine.reported_wait_us = report["queue"] * 1e6 / max(1.0, took / of * self.gateways)
            machine.wait_reported_us = self.now
        req = self.reqs.get(rid)
        forward = req.attempts[number] if req is not None and number < len(req.attempts) else [None] * 4
        if not forward[3]:
            return  # late, twice, or of a req that was never here
        machine, stage, sent, _, fresh, ahead = forward
        forward[3], req.out = False, req.out - 1
        machine.waiting.pop((rid, number), None)
        if stage != "read":
            machine.stream_tokens -= req.tokens
            if code in NEVER_RAN:
                req.ran = [r for r in req.ran if r != (machine, sent)]
        if stage != "write":
            machine.out_tokens -= forward[4]
            self.reads_out -= forward[4] > 0
            if code == "read":
                if req.tokens - fresh > 100:
                    machine.trust += (min(1.0, (remark or 0) / (req.tokens - fresh)) - machine.trust) * 0.3
                if (remark or 0) < (req.tokens - fresh) / 2:
                    machine.cached_prefixes.pop(req.session, None)
                    if (remark or 0) < req.prefix_tokens / 2:
                        machine.cached_prefixes.pop(req.prefix, None)
                    ahead += req.tokens - (remark or 0) - fresh
                self.read_well += 1
                self.learn_read(machine, latency, ahead)
        if code not in NEVER_OUT and (stage == "read" and code != "full" or req.up_by < req.expires):  # it was out, and may hold
            req.up_by = min(req.expires, self.now + self.up_us)
        if code not in ("timed_out", "cancelled", "no_way", "moot"):
            machine.heard_us = self.now
            machine.answered_us = max(machine.answered_us, sent if code == "read" else 0)
        self.served[machine.at] += code == "read"
        self.news, self.seen = self.news + 1, self.seen + 1
        self.failing += ((code in FAILURES) - self.failing) * 0.05
        if code == "unreachable":
            self.unreachable_by_zone.setdefault(machine.zone, {})[machine.id] = self.now
        if code in FAILURES:
            self.mark(machine, 0.6 if code == "unreachable" else 0.3, f"{code} after {latency // MS} ms")
            if code == "timed_out" and stage == "write":
                self.waits[machine.at, bisect_left(STEPS, latency)] += 1
            elif code == "timed_out":  # tells of this server, not of what its whole kind costs a token
                self.learn_read(machine, latency, ahead, of_kind=False)
        elif code in ("done", "read"):
            self.good(machine)
        if req.begun == number:
            self.begun[machine.at] -= 1
            if code == "done":
                usual, took = self.answer_us[req.group], self.now - req.begun_us
                self.answer_us[req.group] = usual + (took - usual) * 0.05 if usual else took
                self.owed_us[machine.at] += usual or took
        if code == "read":
            req.holder, req.held_us = machine, self.now
        req.closed = req.closed or bool(ended)
        if req.closed:
            self.clean_up(req)
        elif not req.out:
            self.next_step(req, machine, stage, code, remark)

    def clean_up(self, req):
        if req.holder is not None:
            self.out.release(req.id)
            req.holder = None
        if not req.out:
            del self.reqs[req.id]

    def next_step(self, req, machine, stage, code, remark):
        if code == "moot" or req.begun is not None or self.now + self.margin_us >= req.expires:
            return self.give_up(req)
        if code == "read":
            return self.write(req)
        if code == "full" and stage == "write" and remark == 1:
            req.holder = None  # the state may only be cut off, and then still fills its reader
            self.out.release(req.id)
        elif stage != "read" or code != "reset" or self.failing < 0.1:
            req.tried.add(machine.id)  # where answers get lost all over, its reader still keeps the text
        # What never left this machine is no load anywhere; could harm by five further tries of each request.
        self.spare = max(-1.0, self.spare - (code != "no_way"))
        if self.spare < 0 or req.ran and self.groups[req.group].effect == "non-replayable":
            return self.give_up(req)
        self.write(req) if req.holder is not None else self.read(req)

    def on_client_left(self, rid):
        req = self.reqs.get(rid)
        if req is None or req.closed:
            return
        req.closed = True
        for number, forward in enumerate(req.attempts):
            if forward[3] and number != req.begun and self.may_cancel:  # nobody waits for it
                self.out.retract(rid, number)
        if not req.out:
            self.clean_up(req)

    def on_own_trouble(self, on):
        self.own_trouble = on
        self.mode("no connection can be opened here", on, "attempts wait for one")
        self.forgive_waits()

    def forgive_waits(self):
        """What has waited for this machine tells nothing of its server. Guards against moving all attempts at once,
        and rejecting what still has time; could harm where a server hangs too, by the time that this lasts."""
        for machine in self.servers.values():
            machine.waiting = {key: (self.now, writing) for key, (_, writing) in machine.waiting.items()}

    on_place = on_probed = on_peer = lambda self, *fields: None  # this module asks for none of them
