"""All routing decisions of lapiswing.

A host creates one Router(seed, settings, now_us) and calls router.round(now_us, events, out) each round; events, outcome codes
and the writer are described in lapiswing/interface.py. Prefill servers are called readers and decode servers writers; the
stages are "read" (prefill), "write" (decode) and "direct" (both on one mixed server).

The normal path is the pair table with its shares (docs/design.md): a request is read by a prefill server drawn by share, then
written by a decode server drawn by the shares of that reader. Everything else handles failures, overload and slow start."""

from bisect import bisect_left
from itertools import accumulate
from math import ceil, log, sqrt

import numpy as np

from lapiswing.routing import learned_state
from lapiswing.routing.pair_table import BIN_EDGES_US, BIN_MIDDLES_US, PairTable
from lapiswing.routing.randomness import SeededRandom, rendezvous_rank
from lapiswing.routing.state import Attempt, Demand, Load, RequestState, RouterState, ServerState

MS = 1000
REFRESH_US = 250 * MS  # interval at which scores are recomputed and shares move, while requests are open or outcomes are new
MIN_NEW_OUTCOMES = 4  # enough to refresh before a second has passed since the last refresh
PAIRS_PER_OUTCOME = 1000  # with grouped servers a refresh costs more, so one outcome per so many pairs is required
INITIAL_PAIR_UPDATES = 200_000  # pairs scored, over all refreshes, before the first request
NEAR_BEST_FRACTION = 0.3  # shares above this fraction of the best are treated as equally good
HALVING_INTERVAL_US = (2000 * MS, 10000 * MS)  # measurements are halved no sooner and no later than this
PRIOR_OUTCOMES = 2.0  # weight of the average of a server's kind in its histogram, in outcomes
# Half life of a decode server's report on its memory; what is taken off its score when it reports all memory in use.
MEMORY_REPORT_HALF_LIFE_US, FULL_MEMORY_PENALTY = 5000 * MS, 0.4
MEMORY_FULL_FRACTION = 0.8  # from this reported use of memory a long wait means queueing, not a lost answer
# Margin before the end of the window in which servers drop repeats: covers a gateway that is held up between reading its clock
# and writing, and the network delay.
REPEAT_WINDOW_MARGIN_US = 200 * MS
# Lower failure scores are not saved for the next process; requests seen besides the present one that define a mean prompt.
MIN_SAVED_FAILURE_SCORE, MIN_OTHER_REQUESTS = 0.01, 0.01
MAX_LEARNED_STATE_AGE_US = 600 * 1000 * MS  # older state of a previous process is ignored
SLOW_START_FRACTION = 0.6  # part of what the overload rule allows that a cold server is actually sent
# Part of the limit for releasing a state that connections may take to be established; after that each attempt gets the minimum.
# An attempt counts as sent only once its connection is up, and the rest of the time is left for the release. Drawback: where
# all servers accept slowly, requests fail early.
CONNECT_FRACTION, MIN_CONNECT_US = 0.75, 10 * MS
CLAIM_FRACTION = 0.92  # part of the limit for releasing a state after which one without an answer to its write is released
# Prefix affinity among cold readers: a prefix uses every n-th of them, so no reader's admission grows by more than this factor.
COLD_AFFINITY_FACTOR = 2
COLD_POPULAR_INCREASE = 0.1  # a popular prefix is spread so that it adds at most this part to any cold reader's admission
COLD_PROMPT_ALLOWANCE = 1.5  # factor on the allowance for random variation that one prompt may use where no server is warm
# Conversations and prefixes that are known to be cached, over all servers and at one of many: they cost memory, and clients may
# send ever new ones.
MAX_CACHED_NAMES, MIN_CACHED_NAMES = 20_000, 16
BURST_HALF_LIFE_US = 1000 * MS  # of the count of own requests that reveals a burst
RETRY_BITS = 2 | 16  # flags of a request that its client has sent before
MIN_READS_PER_READER = 0.5  # own recent reads per prefill server needed to tell a late attempt from general congestion
NEVER_RAN = ("full", "unreachable", "no_way", "moot")  # outcomes which prove that the server did not run the attempt
NEVER_SENT = ("unreachable", "no_way", "moot")  # outcomes without any bytes at the server
FAILURES = ("error", "reset", "unreachable", "timed_out")


class Router(RouterState):
    """Decides where each request is read and written, and when it is retried, rejected or failed."""

    def __init__(self, seed, settings, now_us):
        limits, rules, prices, family = (settings[k] for k in ("limits", "rules", "penalties", "family_info"))
        super().__init__(now_us, len(settings["groups"]), len(family["duty_by_kind"]), len(BIN_MIDDLES_US))
        self.random, self.request_classes = SeededRandom(seed), settings["groups"]
        self.gateways, self.zone = max(1, settings.get("balancers", 1)), settings.get("az", 0)
        self.max_attempts, self.may_cancel = limits["max_attempts"], limits.get("cancel", False)
        memory_tokens = [max(1, m) / self.gateways for m in family["kind_memory_tokens"]]
        self.kinds = list(zip(family["duty_by_kind"], memory_tokens))  # role, and this gateway's part of a server's memory
        self.table = PairTable(self.zone, family.get("far_price", 0.0), prices.get("cross_zone", 0.0))
        self.max_retry_after_us = limits.get("max_retry_after_us", 0) if limits.get("retry_after") else 0
        # Read time per prompt token until one is measured: what the TTFT target allows for it.
        self.initial_us_per_token = max([c.target_per_1000_us / 1000 for c in self.request_classes] + [0.0]) or 50.0
        self.margin_us, self.cold_multiple = settings.get("resolution_us", MS), rules["fall_multiple"]
        self.cold_from, self.slow_start_us, self.cold_until = rules["cold_from"], rules["ramp_time_us"] * 1.2, 0
        self.overload_window_us = rules["overload_for_us"]  # in which a cold server's work is counted
        release_limit_us = family.get("let_go_by_us") or 500 * MS
        self.connect_us, self.claim_us = int(release_limit_us * CONNECT_FRACTION), int(release_limit_us * CLAIM_FRACTION)
        self.must_subscribe = settings.get("membership_mode") == "subscribe"
        self.quota = [t.get("quota_rps", 0) / self.gateways for t in settings.get("tenants") or []]
        self.retry_budget, self.probe_interval_us = 10.0, 1000 * MS  # attempts; time between two probes of an ejected server
        self.kind_names = settings.get("kinds") or []

    def learned_state(self):
        """What the next process may start from: plain lists and dicts."""
        return learned_state.save(self, MIN_SAVED_FAILURE_SCORE)

    def restore_learned_state(self, saved, age_us):
        """Starts from the state of a previous process, before the first list. -> a text on what was restored."""
        if not 0 <= age_us <= MAX_LEARNED_STATE_AGE_US:
            return f"nothing restored: {age_us // (1000 * MS)} s old"
        return learned_state.restore(self, saved)

    def round(self, now_us, events, out):
        """Handles the events that came in since the last round and writes the resulting actions to `out`."""
        self.now, self.out = now_us, out
        for name, *fields in events:
            getattr(self, "on_" + name)(*fields)
        if not self.timer_set and (self.new_outcomes or self.reqs or self.must_subscribe and not self.subscribed):
            self.timer_set = True
            out.timer(REFRESH_US, 0)

    def on_servers(self, kind, rows):
        self.subscribed, self.unreachable_by_zone = kind in ("update", "replace"), {}
        if kind == "unavailable":
            return
        for row in rows:
            if row.id not in self.servers:
                self.servers[row.id] = ServerState(row, self.kinds, len(self.servers))
            server, restored = self.servers[row.id], self.restored_servers.pop(row.id, None)
            if restored and abs(restored[0] - row.started_us) < MS:  # the same start of this server
                _, server.failure_score, server.read_us, server.read_tokens = restored
                server.ejected = server.failure_score > 0.5
            if row.started_us != server.started_us:  # a restart empties its cache and ends its earlier failures
                server.cached_prefixes, server.failure_score, server.ejected = {}, 0.0, False
                self.read_histogram[server.row] = self.wait_histogram[server.row] = 0.0
            server.update_from_list(row, self.kinds)
        listed = {row.id for row in rows}
        for server in [s for s in self.servers.values() if kind != "update" and s.id not in listed]:
            server.mode = "gone"
        self.resize_tables()
        self.rebuild_pairs()

    def rebuild_pairs(self):
        """Arranges the pair table for the servers that are ready now."""
        ready = [s for s in self.servers.values() if s.mode == "ready"]
        self.cold_until = max([s.started_us + self.slow_start_us for s in ready if s.started_us], default=0)
        self.set_ready_servers(ready)
        self.table.arrange(self.readers, self.writers)
        # Before the first request, by what is known without outcomes: fewer times for many pairs, since no request is served
        # meanwhile.
        pairs = max(1, len(self.readers) * len(self.writers))
        for _ in range(0 if self.refreshed_us else min(12, max(2, INITIAL_PAIR_UPDATES // pairs))):
            self.refresh()
        self.refreshed_us = self.refreshed_us or self.now

    def on_timer(self, token):
        if token:
            return self.check_release(token)
        self.timer_set = False
        if self.must_subscribe and not self.subscribed and self.now >= self.subscribe_again_us:
            self.subscribe_again_us = self.now + 1000 * MS
            self.out.watch(True)  # not subscribed yet, the call failed or the subscription broke
        required = self.table.pairs.size / PAIRS_PER_OUTCOME if self.table.racks_per_group else 0
        if self.new_outcomes >= max(MIN_NEW_OUTCOMES, required) or self.now - self.refreshed_us >= 4 * REFRESH_US:
            self.update_measurements(max(1, self.now - self.refreshed_us))
            self.refresh()
        self.check_overdue_attempts()

    def update_measurements(self, elapsed_us):
        """Brings averages up to date after `elapsed_us`, and halves old measurements when it is time."""
        self.read_span_us += elapsed_us
        self.probe_interval_us = max(1000 * MS, 5 * self.read_span_us / max(1.0, sum(m[0] for m in self.class_mix)))
        self.stream_time_us += self.open_streams * elapsed_us
        self.served_per_s += (self.served * 1e6 / elapsed_us - self.served_per_s) * (1 - 0.9 ** (elapsed_us / REFRESH_US))
        keep = 0.975 ** (elapsed_us / REFRESH_US)
        for kind, sums in enumerate(self.kind_served):  # the last value stays while all servers of a kind are cold
            warm = [s.row for s in self.servers_by_kind[kind] if not s.cold]
            if warm:
                sums[:] = sums[0] * keep + self.served[warm].sum(), sums[1] * keep + len(warm) * elapsed_us / 1e6
        self.served[:], self.new_outcomes, self.refreshed_us = 0, 0, self.now
        # Halved by the number of outcomes too, so that few outcomes are remembered for longer than many.
        elapsed_us = self.now - self.halved_us
        if (
            elapsed_us >= HALVING_INTERVAL_US[0]
            and self.outcomes_since_halving >= 2 * len(self.servers)
            or elapsed_us >= HALVING_INTERVAL_US[1]
        ):
            self.halved_us, self.outcomes_since_halving = self.now, 0
            self.read_histogram, self.wait_histogram = self.read_histogram / 2, self.wait_histogram / 2
            self.stream_time_us, self.expected_stream_us = self.stream_time_us * 0.7, self.expected_stream_us * 0.7
            self.same_cell_sums, self.class_mix = (
                [v / 2 for v in self.same_cell_sums],
                [[v / 2 for v in sums] for sums in self.class_mix],
            )
            self.read_tokens, self.read_span_us = self.read_tokens / 2, self.read_span_us / 2
            self.recent_reqs, self.successful_reads = self.recent_reqs / 2, self.successful_reads / 2
            for server in self.readers:
                server.read_us, server.read_tokens = server.read_us / 2, server.read_tokens / 2

    def refresh(self):
        """Recomputes the scores of all pairs from the present measurements and moves shares once."""
        if not self.table.pairs.size:
            return
        samples, sum_tokens, sum_latency, sum_product, sum_squares = self.same_cell_sums
        if samples > 4 and samples * sum_squares > sum_tokens * sum_tokens:
            self.transfer_us_per_token[0] = max(
                0.0,
                min(
                    (samples * sum_product - sum_tokens * sum_latency) / (samples * sum_squares - sum_tokens * sum_tokens),
                    sum_latency / sum_tokens,
                ),
            )
        usual_us = sum(self.answer_us) / max(1, len(self.answer_us))
        stream, expected = self.stream_time_us[self.writer_rows], self.expected_stream_us[self.writer_rows]
        stream = stream * (max(1, expected.sum()) / (stream.sum() or 1))
        kinds, prior_us = np.array([w.kind for w in self.writers]), 2 * usual_us + MS
        slowness = np.ones(len(kinds))
        for of_kind in (kinds == kind for kind in set(kinds.tolist())):  # shrunk towards the average of the kind
            average = (stream[of_kind].sum() + prior_us) / (expected[of_kind].sum() + prior_us)
            slowness[of_kind] = np.maximum(0.5, (stream[of_kind] + prior_us * average) / (expected[of_kind] + prior_us))
        read, mean_reads_us = self.latency_distributions(self.readers, self.read_histogram, self.reader_rows, False)
        wait, mean_waits_us = self.latency_distributions(self.writers, self.wait_histogram, self.writer_rows, True)
        # Load shedding uses each writer's median: lost answers are not a queue, and shedding for them would end no congestion.
        medians_us = BIN_MIDDLES_US[(wait.cumsum(axis=1) < 0.5).sum(axis=1)].tolist()
        self.median_wait_us = dict(zip((w.id for w in self.writers), medians_us))
        # The median over the servers: the ages of attempts at a server that hangs must not raise what counts as typical.
        self.typical_read_us, self.typical_wait_us = (np.sort(e)[(len(e) - 1) // 2] for e in (mean_reads_us, mean_waits_us))
        requests = sum(m[0] for m in self.class_mix)
        mean_tokens = sum(m[1] for m in self.class_mix) / (requests or 1.0)
        demands = [
            Demand(m[0] / requests, c.target_us + c.target_per_1000_us * m[1] / m[0] / 1000 - BIN_MIDDLES_US)
            for m, c in zip(self.class_mix, self.request_classes)
            if m[0] > 0
        ]
        health = [np.array([1 - s.failure_score for s in side]) for side in (self.readers, self.writers)]
        speed = np.minimum(1.0, 1.5 / slowness)
        self.table.refresh(read, wait, demands, speed, health, self.load(), mean_tokens, self.move_us_per_token)

    def move_us_per_token(self, reader, distance):
        """Time per token of moving a state from this reader over a distance (see PairTable.distance): the time on an idle
        link and, out of the cell, times the congestion that this gateway's own moves met on the link of the reader's cell,
        shrunk towards an idle link."""
        if distance == 0:
            return self.transfer_us_per_token[0]
        measured_us, idle_us = self.links.get(reader.cell, (0.0, 0.0))
        prior_us = 2000 * self.transfer_us_per_token[distance] + 1
        return self.transfer_us_per_token[distance] * (measured_us + prior_us) / (idle_us + prior_us)

    def latency_distributions(self, servers, histogram, rows, writing):
        """-> for each server the distribution of its latency over the bins, summing to 1, and its mean. Shrunk towards the
        distribution of its kind; attempts that are open for longer than the mean count with their age."""
        bins, kinds = histogram[rows], np.array([s.kind for s in servers])
        overall = bins.sum(axis=0)
        overall = overall / overall.sum() if overall.sum() else (BIN_MIDDLES_US == BIN_MIDDLES_US[0]) * 1.0
        for of_kind in (kinds == kind for kind in set(kinds.tolist())):
            average = bins[of_kind].sum(axis=0) + PRIOR_OUTCOMES * overall
            bins[of_kind] += PRIOR_OUTCOMES * average / average.sum()
        means_us = bins @ BIN_MIDDLES_US / bins.sum(axis=1)
        for i, server in enumerate(servers):
            if writing and server.reported_wait_us > BIN_EDGES_US[0] and self.now - server.wait_reported_us < 2000 * MS:
                bins[i, bisect_left(BIN_EDGES_US, server.reported_wait_us)] += PRIOR_OUTCOMES
            for sent_us, of_write in server.waiting.values():
                if of_write == writing and self.now - sent_us > means_us[i]:
                    bins[i, bisect_left(BIN_EDGES_US, self.now - sent_us)] += 1
        bins /= bins.sum(axis=1)[:, None]
        return bins, bins @ BIN_MIDDLES_US

    def load(self):
        """The load that shares put on each server, from this gateway's own requests and the servers' reports."""
        own, memory = (np.array([getattr(w, name) for w in self.writers]) for name in ("stream_tokens", "memory_tokens"))
        # At least a third of the memory, so that an idle gateway still spreads its requests.
        streams = max(sum(own.tolist()), sum(memory.tolist()) / 3)
        us_per_token = np.array([self.read_us_per_token(r) for r in self.readers])
        streams_per_writer = self.open_streams[self.writer_rows].sum() / len(self.writers)
        confidence = streams_per_writer / (
            streams_per_writer + 1
        )  # own streams say something about a writer only where each writer has some
        # The writers' reports on their memory, shrunk towards the mean of all as they grow old.
        freshness = 0.5 ** (np.array([self.now - w.memory_reported_us for w in self.writers]) / MEMORY_REPORT_HALF_LIFE_US)
        used = np.array([w.memory_used for w in self.writers])
        used = freshness * used + (1 - freshness) * (freshness @ used / max(1e-9, freshness.sum()))
        # All gateways use the one link of a cell: the part of its time that they take, from own prompts and shares.
        token_rate = sum(m[1] for m in self.class_mix) * self.gateways / self.read_span_us
        queued_s = np.array([r.tokens_in_flight for r in self.readers]) * us_per_token / (1000 * MS)
        work = self.read_tokens * self.gateways / self.read_span_us * us_per_token
        return Load(
            queued_s,
            work,
            confidence * own,
            (2 - confidence) * streams,
            2 * memory,
            FULL_MEMORY_PENALTY * used * used,
            token_rate * np.array(self.transfer_us_per_token),
        )

    def check_overdue_attempts(self):
        """Cancels attempts whose answer is probably lost: at a server that has fallen silent, or overtaken there by attempts
        that were sent much later. Reads have no effect and may always be cancelled, writes where a repeat does no harm.
        Guards against messages lost anywhere, and against one stuck slot of a server. Drawback: a server that answers out of
        order as a habit gets attempts cancelled."""
        if self.own_trouble:
            return self.restart_waits()
        enough_reads = self.read_histogram.sum() >= MIN_READS_PER_READER * len(self.readers)
        ejected = sum(s.ejected and s.mode == "ready" for s in self.servers.values())
        listed = len({*self.table.rows.index_of, *self.table.columns.index_of})
        self.set_mode("trouble in common", ejected * 2 > listed, f"{ejected} suspects")
        for server in [s for s in self.servers.values() if s.waiting]:
            queue_us = 2 * server.tokens_in_flight * self.read_us_per_token(server)
            for (rid, number), (sent_us, writing) in list(server.waiting.items()):
                req, silence_us = self.reqs[rid], self.now - max(sent_us, server.last_response_us)
                usual_us, waited_us = self.typical_wait_us if writing else self.typical_read_us, self.now - sent_us
                # The limit is higher for few open attempts: a single one may just be slow.
                silent = silence_us > max(600 * MS, 5 * usual_us + queue_us) * (1 + 2 / len(server.waiting) ** 2)
                overtaken = sent_us < server.newest_answered_us and waited_us >= max(400 * MS, 4 * usual_us)
                attempt = req.attempts[number]
                # Late: far beyond the time that it should take alone, so it is queued behind other work or its answer was lost.
                # Drawback: where cancelling stops nothing the work is done twice. The typical time keeps general congestion
                # from moving all attempts, and without enough own reads to recognise congestion no attempt is moved: the
                # moves of many gateways would multiply it.
                replayable, holder = self.request_classes[req.class_index].effect == "replayable", req.holder
                late = (
                    enough_reads
                    and (
                        attempt.stage == "read"
                        or attempt.stage == "write"
                        and replayable
                        and server.memory_used < MEMORY_FULL_FRACTION
                    )
                    and (
                        max(0.25 * (req.due_us - req.arrived_us), 3 * usual_us)
                        < waited_us
                        < min(req.due_us, req.expires) - self.now
                    )
                )
                if late:
                    move_us = (
                        self.move_us_per_token(holder, 1 + (holder.zone != server.zone))
                        if attempt.stage == "write" and holder
                        else 0
                    )
                    late = waited_us > 3 * (attempt.tokens_ahead * self.read_us_per_token(server) + req.tokens * move_us)
                if silent and not server.ejected:
                    self.record_failure(server, 0.6, f"silent for {silence_us // MS} ms, usual {usual_us / MS:.0f}")
                harmless = attempt.stage == "read" or (overtaken or late) and replayable
                if (
                    (silent or overtaken or late)
                    and harmless
                    and not req.closed
                    and self.may_cancel
                    and (self.retry_budget >= 1 and len(req.attempts) < self.max_attempts - 1)
                ):
                    self.out.retract(rid, number)

    def record_failure(self, server, weight, why):
        """Raises a server's failure score; beyond a half the server is ejected."""
        # Where many servers fail at once a failure says little about this one.
        server.failure_score += (1 - server.failure_score) * weight * max(0.2, 1 - 2.5 * self.failing)
        if server.failure_score > 0.5:
            server.next_probe_us = self.now + self.probe_interval_us
            if not server.ejected:
                server.ejected = True
                self.out.log(f"suspect {server.id} on: {why}, bad {server.failure_score:.2f}")

    def record_success(self, server):
        """Lowers a server's failure score, and readmits an ejected server once it is low."""
        server.failure_score *= 0.75
        self.unreachable_by_zone.pop(server.zone, None)
        if server.ejected and server.failure_score < 0.3:
            server.ejected = False
            self.out.log(f"suspect {server.id} off: bad {server.failure_score:.2f}")

    def usable(self, server, req):
        """Whether a request may go to this server: an ejected one takes single probes, or all where most are ejected."""
        server.cold = server.started_us > 0 and self.now - server.started_us < self.slow_start_us
        probe = self.now >= server.next_probe_us and not server.waiting and len(req.attempts) < 2
        return (
            server.mode == "ready"
            and server.id not in req.tried
            and (not server.ejected or self.modes.get("trouble in common", False) or probe)
        )

    def available(self, servers, req):
        """The usable servers, if any remain outside zones that look unreachable: zones where the connections of two servers,
        or of this request, did not come up and no server has answered since. Guards against trying the servers of a lost zone
        one by one. Drawback: where single servers of a zone hang, the whole zone is left out for one probe interval."""
        unreachable = {
            zone
            for zone, failed_at in self.unreachable_by_zone.items()
            if self.now - max(failed_at.values()) < self.probe_interval_us
            and (len(failed_at) > 1 or not req.tried.isdisjoint(failed_at))
        }
        usable = [s for s in servers if self.usable(s, req) and self.may_attempt(req, s)]
        return [s for s in usable if s.zone not in unreachable] or usable

    def slow_start_level(self, server):
        """What a just-started server may be sent by now, as a multiple of what a warm one can do."""
        warmed = (self.now - server.started_us) / self.slow_start_us
        return self.cold_multiple * (self.cold_from + (1 - self.cold_from) * warmed)

    def can_take_prompt(self, server, relative_length, mean_tokens, allowance):
        """Whether a prompt of `relative_length` times the mean stays within a part of what the overload rule allows for random
        variation. Guards against a single prompt that overloads a cold server. Drawback: long prompts wait where few servers
        are warm."""
        prompts = self.overload_window_us * self.slow_start_level(server) / max(1.0, mean_tokens * self.read_us_per_token(server))
        return relative_length <= allowance * (sqrt(prompts) + 1)

    def prefill_rate(self):
        """Requests per second that this gateway's part of all prefill servers can do: the higher of what warm servers served
        and what the measured read cost allows. Unbounded while nothing was served."""
        served = sum(requests / seconds for requests, seconds in (self.kind_served[r.kind] for r in self.readers))
        mean_tokens = self.mean_prompt_tokens()
        possible = sum(1e6 / max(1.0, mean_tokens * self.read_us_per_token(r)) for r in self.readers) / self.gateways
        return max(served, possible) if served else 1e6

    def admit_to_cold(self, draw, cold, shares, all_cold, key=None):
        """Slow start: the just-started server that takes this attempt, or None. Each server takes the fraction of requests
        that is its share, at most an equal one, times the part that the overload rule allows at its age.

        Counted in own requests and not in time, so that a gateway that has just started or has little traffic knows its part
        too, the parts of all gateways add up to what is allowed, and no allowance accumulates for a burst. Lowered where
        little of the demand is served and in a burst. A request has one draw, whatever its retries and its client's.
        Drawback: too little is admitted where demand always exceeds what is served, and where all servers of a role are
        cold after a time of little traffic."""
        if not cold:
            return None
        admitted = min(1.0, (self.successful_reads + self.reads_in_flight + 1) / (self.recent_reqs + 1))
        usual = (
            sum(m[0] for m in self.class_mix) * BURST_HALF_LIFE_US / log(2) / (self.read_span_us + self.now - self.refreshed_us)
        )
        if all_cold:  # no queue is measured then, and `usual` would adapt to the burst
            usual = min(usual, self.prefill_rate() * BURST_HALF_LIFE_US / 1e6 / log(2))
        admitted *= min(1.0, (usual + 1) / max(1.0, self.burst))
        parts = []
        for server, share in zip(cold, shares):
            parts.append((server, share * admitted * min(1.0, self.slow_start_level(server) * SLOW_START_FRACTION)))
        if key is not None and len(parts) > 2:  # most of a cold server's work is text that it has not cached yet
            parts.sort(key=lambda p: -log(1 - rendezvous_rank(key, p[0])) / max(p[1], 1e-9))
            factor = min(COLD_AFFINITY_FACTOR, 1 + COLD_POPULAR_INCREASE / max(0.01, self.popularity_of(key)))
            targets, total = ceil(len(parts) / factor), sum(part for _, part in parts)
            parts = [(server, min(total / targets, factor * part)) for server, part in parts[:targets]]
        bounds = accumulate(part for _, part in parts)
        return next((server for (server, _), bound in zip(parts, bounds) if draw < bound), None)

    def on_req(self, rid, tokens, expires_us, session, prefix, prefix_tokens, _max_out, _hint, bits, tenant, class_index):
        request_class = self.request_classes[class_index]
        due_us = self.now + request_class.target_us + request_class.target_per_1000_us * tokens // 1000
        req = self.reqs[rid] = RequestState(rid, class_index, tenant or 0, tokens, self.now, expires_us, due_us)
        req.session, req.prefix, req.prefix_tokens = session, prefix, prefix_tokens or 0
        req.client_retry = bool(bits & RETRY_BITS)
        decay = 0.5 ** ((self.now - self.burst_updated_us) / BURST_HALF_LIFE_US)
        self.burst, self.burst_updated_us = self.burst * decay + (not req.client_retry), self.now
        self.class_mix[class_index] = [self.class_mix[class_index][0] + 1, self.class_mix[class_index][1] + tokens]
        self.retry_budget, self.recent_reqs = min(10.0, self.retry_budget + 0.6), self.recent_reqs + 1
        if prefix is not None:
            self.popularity[prefix] = self.popularity.get(prefix, 0) + 1
            if sum(self.popularity.values()) > 80:
                self.popularity = {key: n / 2 for key, n in self.popularity.items() if n > 0.5}
        req.over_quota = req.tenant < len(self.quota) and self.remaining_quota(req.tenant) < 0
        self.read(req)

    def remaining_quota(self, tenant):
        """What is left of a tenant's quota, as of the last refresh."""
        quota = self.quota[tenant]
        left, counted_us = self.quota_left.get(tenant, (2 * quota, self.began_us))
        return min(2 * quota + 4, left + quota * max(0, self.refreshed_us - counted_us) / 1e6)

    def read(self, req):
        """Sends the request to a prefill server, or rejects it where its TTFT target can't be met."""
        if len(req.attempts) >= self.max_attempts - 1 or self.now + self.margin_us >= req.expires:
            return self.give_up(req)
        # One draw for both roles, so that a request admitted to a cold reader also has a cold writer.
        draw = self.random() if self.now < self.cold_until and not req.attempts and not req.client_retry else 1.0
        reader, ready_us = self.choose_reader(req, draw)
        writers = [w for w in self.writers if self.usable(w, req)]
        if reader and not reader.writes and all(w.cold for w in writers):  # no read without a writer that takes its state
            req.cold_writer = self.admit_to_cold(draw, writers, [1 / len(self.writers) for _ in writers], True)
            reader = reader if req.cold_writer else None
        if reader is None:
            self.recent_reqs = max(0.0, self.recent_reqs - 1)
            return self.give_up(req)
        # Its client may leave before the target: work that takes longer would be wasted.
        patience_us = req.expires - self.now - self.margin_us
        allowed_us = min((req.due_us - self.now) * (0.5 if req.over_quota else 0.8), patience_us)
        # Never shed while less than this gateway's part waits: else estimates made under congestion would never be corrected.
        waits_us = [self.median_wait_us.get(w.id, 0.0) for w in writers if not reader.writes] or [0.0]
        queued, served_per_s = max(0, sum(len(w.waiting) for w in writers) - 1), self.served_per_s[self.writer_rows].sum()
        wait_us = min(1.5 * sum(waits_us) / len(waits_us), queued / max(0.5, served_per_s) * 1e6)
        # Full memory shows a burst before any wait is measured. Drawback: a gateway with far more than its part of the traffic
        # sheds too early.
        full = not reader.writes and all(w.stream_tokens > w.memory_tokens and w.waiting for w in writers)
        has_part = max(self.reads_in_flight, self.random() / 4) * self.gateways > len(self.readers)
        late = full or ready_us + wait_us > allowed_us and (reader.tokens_in_flight > 0 or has_part or wait_us > allowed_us / 2)
        # Clients that leave before the target and come back at once would fill all readers. Drawback: a tenant whose traffic
        # goes to few gateways only gets less than its quota.
        late = late or req.over_quota and req.expires < req.due_us and not req.attempts
        self.set_mode("shedding", late, "read %d ms, wait %d of %d" % (ready_us / MS, wait_us / MS, allowed_us / MS))
        if late and self.may_reject(req):
            return self.give_up(req, int(ready_us + wait_us - allowed_us / 2))
        if req.tenant < len(self.quota) and not req.attempts:
            left = max(-self.quota[req.tenant] - 2, self.remaining_quota(req.tenant) - 1)
            self.quota_left[req.tenant] = left, self.refreshed_us
        cached, req.uncached_tokens = reader.cached_prefixes, max(1, req.tokens - self.cached_tokens(req, reader))
        if len(cached) > max(MIN_CACHED_NAMES, MAX_CACHED_NAMES // len(self.servers)):
            cached.clear()
        cached.update({req.prefix: req.prefix_tokens, req.session: req.tokens})
        cached.pop(None, None)
        self.read_tokens += req.uncached_tokens
        self.send(req, reader, "direct" if reader.writes else "read")

    def cached_tokens(self, req, reader):
        """Prompt tokens that the reader should still have cached, as far as this gateway knows."""
        return max(reader.cached_prefixes.get(req.session, 0), req.prefix_tokens if req.prefix in reader.cached_prefixes else 0)

    def admit_to_cold_reader(self, req, draw, cold, all_cold, key):
        """The cold reader that takes this request, or None. Reads are admitted by work: a prompt is admitted as much less
        often as it is longer than the mean. The first request of a process is never admitted, since nothing defines a mean.
        Drawback: where all readers are cold and no second request comes, its client waits for its retry-after time."""
        mean_tokens = self.mean_prompt_excluding(req.tokens, MIN_OTHER_REQUESTS)
        if not mean_tokens:
            return None
        relative_length = req.tokens / mean_tokens
        able = [
            r for r in cold if self.can_take_prompt(r, relative_length, mean_tokens, COLD_PROMPT_ALLOWANCE if all_cold else 1.0)
        ]
        shares = [min(self.table.share[r.id], 1 / len(self.readers)) for r in able]
        return self.admit_to_cold(draw * max(1.0, relative_length), able, shares, all_cold, key)

    def choose_reader(self, req, draw):
        """-> the reader, or None, and the time in which its read should end. Rules on repeated effects bind new reads too."""
        usable = self.available(self.readers, req)
        cold, usable = [r for r in usable if r.cold], [r for r in usable if not r.cold]
        key = req.prefix if req.prefix is not None else req.session
        admitted = self.admit_to_cold_reader(req, draw, cold, not usable, key) if cold else None
        if admitted or not usable:
            return admitted, 0
        shares, probe_share = self.table.share, 0.3 / len(usable)  # an ejected server is usable only for a probe
        drawn = self.random.draw([(r, shares[r.id] + probe_share * r.ejected) for r in usable])
        ready_us = {}
        for reader in usable:
            tokens = reader.tokens_in_flight + req.tokens - self.cached_tokens(req, reader) * reader.cache_accuracy
            oldest_us = next(iter(reader.waiting.values()), (self.now,))[0]
            ready_us[reader.id] = max(tokens * self.read_us_per_token(reader), self.now - oldest_us)
        if drawn.ejected:
            return drawn, ready_us[drawn.id]
        allowed_us = max(0.25 * (req.due_us - req.arrived_us), min(ready_us.values()) * 1.1)
        fit = [r for r in usable if ready_us[r.id] <= allowed_us and not r.ejected]
        share = shares[drawn.id]  # the best or near it; mixed servers have shares of their own
        near = [r for r in usable if NEAR_BEST_FRACTION * share <= shares[r.id] <= share / NEAR_BEST_FRACTION and not r.ejected]
        previous = max(fit, key=lambda r: r.cached_prefixes.get(req.session, 0), default=drawn)
        if req.session in previous.cached_prefixes and previous in fit:
            drawn = previous  # has cached this conversation
        elif near and key is not None:
            # Affinity by rendezvous hashing: a prefix has two target readers, a popular one so many that it takes at most half
            # of each; its conversations are spread over them by a hash that all gateways share. What fits at no target goes on
            # to as many further readers, the same ones for all gateways, so that congestion does not scatter prefixes.
            # Ranks are weighted by share, the more the less this gateway's own reads say about each reader.
            exponent = max(0.0, 1 - self.read_histogram.sum() / (4 * len(self.readers)))
            targets = max(1, min(2, len(near) // 3), ceil(2 * len(near) * self.popularity_of(key)))
            near.sort(key=lambda r: -log(1 - rendezvous_rank(key, r)) / shares[r.id] ** exponent)
            ranked = sorted(near[:targets], key=lambda r: rendezvous_rank(req.session, r)) + near[targets : 2 * targets]
            drawn = next((r for r in ranked if r in fit), None) or ranked[0]
        elif drawn not in fit or key is None:
            drawn = min(near or usable, key=lambda r: ready_us[r.id])
        return drawn, ready_us[drawn.id]

    def popularity_of(self, key):
        """A prefix's part of the recent requests, shrunk towards the probability that two requests share their prefix."""
        total, prior = sum(self.popularity.values()), 0.25 / max(1, len(self.readers))
        same = (sum(h * max(0, h - 1) for h in self.popularity.values()) + 50 * prior) / (total * (total - 1) + 50)
        return (max(0, self.popularity.get(key, 0) - 1) + 10 * same) / (total + 10)

    def read_us_per_token(self, server):
        """Measured read time per prompt token, shrunk towards that of the server's kind while there are few measurements."""
        us, tokens = self.kind_read_cost[server.kind]
        prior = us / tokens if tokens else self.initial_us_per_token
        return (server.read_us + 1000 * prior) / (server.read_tokens + 1000)

    def write(self, req):
        """Sends the request, whose state a reader holds, to a decode server."""
        writer = self.choose_writer(req) if len(req.attempts) < self.max_attempts else None
        self.send(req, writer, "write") if writer else self.give_up(req)

    def choose_writer(self, req):
        usable = self.available(self.writers, req)
        if not usable:
            return None
        shares, column = self.table.shares_from(req.holder), self.table.columns.index_of
        cold, usable = [w for w in usable if w.cold], [w for w in usable if not w.cold]
        if req.cold_writer in cold:
            return req.cold_writer
        if cold:  # no more than an equal share of all requests, even where it is near to some readers
            limit = 1 / len(self.writers) / np.maximum(self.table.writer_shares(), 1e-9)
            cold_shares = shares / (shares.sum() or 1.0) * np.minimum(1.0, limit)
            draw = 1.0 if any(attempt.stage == "write" for attempt in req.attempts) else self.random()
            admitted = self.admit_to_cold(draw, cold, [cold_shares[column[w.id]] for w in cold], not usable)
            if admitted or not usable:
                return admitted
        weighted = [(w, shares[column[w.id]] or 1e-6) for w in usable]
        drawn, best = self.random.draw(weighted), max(share for _, share in weighted)
        near = {w: share for w, share in weighted if share >= NEAR_BEST_FRACTION * best and not w.ejected}
        # Among nearly equal writers the least loaded one; where several have no stream, a draw by share.
        least_used = min((w.stream_tokens / w.memory_tokens for w in near), default=0)
        least_used = [(w, share) for w, share in near.items() if w.stream_tokens / w.memory_tokens == least_used]
        return self.random.draw(least_used) if drawn in near else drawn

    def may_attempt(self, req, server):
        """Whether an attempt at this server can't repeat an effect: replayable, never run yet, or dropped as a repeat."""
        request_class = self.request_classes[req.class_index]
        domain = {"zone": lambda s: s.zone, "cell": lambda s: s.cell}.get(request_class.repeat_scope, lambda s: 0)
        return (
            request_class.effect == "replayable"
            or not req.may_have_run
            or request_class.effect == "keyed"
            and self.repeat_time_left(req) > 0
            and all(domain(first) == domain(server) for first, _ in req.may_have_run)
        )

    def repeat_time_left(self, req):
        """Time in which an attempt of the request may still reach a server: of a keyed request that may have run, until the
        servers forget its first attempt; of any other, until it expires."""
        request_class, ends_us = self.request_classes[req.class_index], req.expires
        if request_class.effect == "keyed":
            window_us = request_class.repeat_window_us - REPEAT_WINDOW_MARGIN_US
            ends_us = min([ends_us] + [sent_us + window_us for _, sent_us in req.may_have_run])
        return ends_us - self.now

    def connect_time_left(self, req):
        """Time in which an attempt's connection has to be up, for the release of a held state and for a repeat's window."""
        return max(MIN_CONNECT_US, min(req.connect_by_us - self.now, self.repeat_time_left(req)))

    def answer_time_left(self, req, stage):
        """Time after which an attempt that has not begun to answer is given up. A repeat that may have its effect ends with its
        window. Guards against one that is held up on its way and arrives when the first attempt is forgotten. Drawback: a
        repeat that waits in a queue beyond the window is lost."""
        left_us = req.expires - self.now - self.margin_us
        return max(MS, left_us if stage == "read" else min(left_us, self.repeat_time_left(req)))

    def may_reject(self, req):
        """Whether the client may be told to retry: no attempt has run, or a repeat anywhere is harmless."""
        request_class = self.request_classes[req.class_index]
        return (
            request_class.effect == "replayable"
            or not req.may_have_run
            or (request_class.effect == "keyed" and request_class.repeat_scope == "all")
        )

    def send(self, req, server, stage):
        """Sends one attempt and adds it to the request's attempts and to the server's load."""
        number, tokens_ahead = len(req.attempts), server.tokens_in_flight + req.uncached_tokens if stage != "write" else 0
        req.attempts.append(Attempt(server, stage, self.now, req.uncached_tokens, tokens_ahead))
        req.open_attempts += 1
        timeout_us, connect_us = self.answer_time_left(req, stage), self.connect_time_left(req)
        if stage != "read":
            req.may_have_run.append((server, self.now))
            server.stream_tokens += req.tokens
        if stage != "write":
            server.tokens_in_flight, self.reads_in_flight = (
                server.tokens_in_flight + req.uncached_tokens,
                self.reads_in_flight + 1,
            )
        server.waiting[req.id, number] = (self.now, stage == "write")
        if server.ejected:
            server.next_probe_us = self.now + self.probe_interval_us
        self.out.forward(req.id, server.id, timeout_us, connect_us)
        if stage == "write" and req.holder is not None:
            self.schedule_release_check(req, number)

    def schedule_release_check(self, req, number):
        """Sets a timer for a held state that this attempt is to fetch."""
        self.last_release_check += 1
        self.release_checks[self.last_release_check] = req.id, number
        self.out.timer(max(MS, req.held_since_us + self.claim_us - self.now), self.last_release_check)

    def check_release(self, token):
        """Releases a held state at the end of its time if the attempt has no answer by then, whether or not its client still
        waits. Guards against an attempt that never arrived, on a connection that fell silent: then nothing stops the state's
        time. The release drops a state only where no attempt waits for it, so it does no harm to an attempt that has arrived.
        Drawback: one more message, and a second prefill where the attempt arrives just after the release."""
        rid, number = self.release_checks.pop(token, (None, None))
        req = self.reqs.get(rid)
        if req is not None and req.begun_attempt is None and req.attempts[number].is_open:
            self.out.release_unclaimed(rid)

    def give_up(self, req, retry_after_us=1 << 40):
        """Answers the client finally, with a rejection where it may retry, and releases what is held."""
        req.closed = True
        if self.may_reject(req):
            self.out.push_back(req.id, min(max(100 * MS, retry_after_us), self.max_retry_after_us))
        else:
            self.out.abort(req.id)
        self.clean_up(req)

    def on_first(self, rid, server_id, latency_us, number):
        req = self.reqs.get(rid)
        if req is None or number >= len(req.attempts):
            return
        attempt = req.attempts[number]
        server, stage = attempt.server, attempt.stage
        server.waiting.pop((rid, number), None)
        server.last_response_us, server.newest_answered_us = self.now, max(server.newest_answered_us, attempt.sent_us)
        self.served[server.row] += 1
        self.open_streams[server.row] += 1
        self.new_outcomes, self.outcomes_since_halving = self.new_outcomes + 1, self.outcomes_since_halving + 1
        req.begun_attempt, req.begun_us = number, self.now
        self.record_success(server)
        if stage == "write" and req.holder is not None:
            holder = req.holder
            distance = 0 if holder.cell == server.cell else 1 + (holder.zone != server.zone)
            if distance == 0:
                sample = (1, req.tokens, latency_us, req.tokens * latency_us, req.tokens * req.tokens)
                self.same_cell_sums = [a + b for a, b in zip(self.same_cell_sums, sample)]
            elif req.tokens > 500:  # the time on an idle link is about the least seen: a congested link takes much longer
                idle_us = self.transfer_us_per_token[distance] * 1.02 or latency_us / req.tokens
                self.transfer_us_per_token[distance] = min(idle_us, latency_us / req.tokens)
            wait_us = latency_us - req.tokens * self.move_us_per_token(holder, distance)
            self.wait_histogram[server.row, bisect_left(BIN_EDGES_US, wait_us)] += 1
            if distance:
                measured_us, idle_us = self.links.get(holder.cell, (0.0, 0.0))
                self.links[holder.cell] = (
                    measured_us * 0.85 + latency_us,
                    idle_us * 0.85 + req.tokens * self.transfer_us_per_token[distance],
                )
        elif stage == "direct":
            self.successful_reads += 1
            self.record_read(server, latency_us, attempt.tokens_ahead)
            self.end_read_load(attempt)
        req.holder = None

    def record_read(self, server, latency_us, tokens, for_kind=True):
        """Adds a read of `tokens`, those queued ahead of it included, to the measurements of its server and kind."""
        self.read_histogram[server.row, bisect_left(BIN_EDGES_US, latency_us)] += 1
        server.read_us = server.read_us * 0.85 + latency_us
        server.read_tokens = server.read_tokens * 0.85 + max(200, tokens)
        if for_kind:
            sums = self.kind_read_cost[server.kind]
            sums[:] = sums[0] * 0.75 + latency_us, sums[1] * 0.75 + max(200, tokens)

    def on_outcome(self, rid, number, server_id, code, latency_us, ended, remark, report):
        server = self.servers.get(server_id)
        if server is not None and report and report.get("held") is not None:
            server.memory_used, server.memory_reported_us = report["held"], self.now
        if server is not None and report and report.get("queue") is not None:
            requests, seconds = self.kind_served[server.kind]  # the queue is served at the rate of all gateways' requests
            server.reported_wait_us = report["queue"] * 1e6 / max(1.0, requests / seconds * self.gateways)
            server.wait_reported_us = self.now
        req = self.reqs.get(rid)
        attempt = req.attempts[number] if req is not None and number < len(req.attempts) else None
        if attempt is None or not attempt.is_open:
            return  # late, a duplicate, or of a request that this router does not know
        server, stage, sent_us, tokens_ahead = attempt.server, attempt.stage, attempt.sent_us, attempt.tokens_ahead
        attempt.is_open, req.open_attempts = False, req.open_attempts - 1
        server.waiting.pop((rid, number), None)
        if stage != "read":
            server.stream_tokens -= req.tokens
            if code in NEVER_RAN:
                req.may_have_run = [r for r in req.may_have_run if r != (server, sent_us)]
        if stage != "write":
            self.end_read_load(attempt)
            if code == "read":
                expected_cached = req.tokens - attempt.uncached_tokens
                if expected_cached > 100:
                    server.cache_accuracy += (min(1.0, (remark or 0) / expected_cached) - server.cache_accuracy) * 0.3
                if (remark or 0) < expected_cached / 2:
                    server.cached_prefixes.pop(req.session, None)
                    if (remark or 0) < req.prefix_tokens / 2:
                        server.cached_prefixes.pop(req.prefix, None)
                    tokens_ahead += expected_cached - (remark or 0)
                self.successful_reads += 1
                self.record_read(server, latency_us, tokens_ahead)
        # The attempt was sent, so it may hold a state that has to be released in time.
        if code not in NEVER_SENT and (stage == "read" and code != "full" or req.connect_by_us < req.expires):
            req.connect_by_us = min(req.expires, self.now + self.connect_us)
        if code not in ("timed_out", "cancelled", "no_way", "moot"):
            server.last_response_us = self.now
            server.newest_answered_us = max(server.newest_answered_us, sent_us if code == "read" else 0)
        self.served[server.row] += code == "read"
        self.new_outcomes, self.outcomes_since_halving = self.new_outcomes + 1, self.outcomes_since_halving + 1
        self.failing += ((code in FAILURES) - self.failing) * 0.05
        if code == "unreachable":
            self.unreachable_by_zone.setdefault(server.zone, {})[server.id] = self.now
        if code in FAILURES:
            self.record_failure(server, 0.6 if code == "unreachable" else 0.3, f"{code} after {latency_us // MS} ms")
            if code == "timed_out" and stage == "write":
                self.wait_histogram[server.row, bisect_left(BIN_EDGES_US, latency_us)] += 1
            elif code == "timed_out":  # says something about this server, not about the cost per token of its kind
                self.record_read(server, latency_us, tokens_ahead, for_kind=False)
        elif code in ("done", "read"):
            self.record_success(server)
        if req.begun_attempt == number:
            self.open_streams[server.row] -= 1
            if code == "done":
                usual_us, took_us = self.answer_us[req.class_index], self.now - req.begun_us
                self.answer_us[req.class_index] = usual_us + (took_us - usual_us) * 0.05 if usual_us else took_us
                self.expected_stream_us[server.row] += usual_us or took_us
        if code == "read":
            req.holder, req.held_since_us = server, self.now
        req.closed = req.closed or bool(ended)
        if req.closed:
            self.clean_up(req)
        elif not req.open_attempts:
            self.next_step(req, server, stage, code, remark)

    def end_read_load(self, attempt):
        """Takes the read of an attempt off its server's load, once."""
        if attempt.has_read_load:
            attempt.has_read_load = False
            attempt.server.tokens_in_flight -= attempt.uncached_tokens
            self.reads_in_flight -= 1

    def clean_up(self, req):
        """Releases the state of a closed request, and forgets the request once no attempt is open."""
        if req.holder is not None:
            self.out.release(req.id)
            req.holder = None
        if not req.open_attempts:
            del self.reqs[req.id]

    def next_step(self, req, server, stage, code, remark):
        """What follows the outcome of the last open attempt: the write, a retry or the end."""
        if code == "moot" or req.begun_attempt is not None or self.now + self.margin_us >= req.expires:
            return self.give_up(req)
        if code == "read":
            return self.write(req)
        if code == "full" and stage == "write" and remark == 1:
            req.holder = None  # the holder may only be unreachable from there and still hold the state
            self.out.release(req.id)
        elif stage != "read" or code != "reset" or self.failing < 0.1:
            req.tried.add(server.id)  # where answers get lost in general, the reader still has the prompt cached
        # What never left this machine is no load anywhere. Drawback: up to five more attempts of each request.
        self.retry_budget = max(-1.0, self.retry_budget - (code != "no_way"))
        if self.retry_budget < 0 or req.may_have_run and self.request_classes[req.class_index].effect == "non-replayable":
            return self.give_up(req)
        self.write(req) if req.holder is not None else self.read(req)

    def on_client_left(self, rid):
        req = self.reqs.get(rid)
        if req is None or req.closed:
            return
        req.closed = True
        for number, attempt in enumerate(req.attempts):
            if attempt.is_open and number != req.begun_attempt and self.may_cancel:  # no client waits for it any more
                self.out.retract(rid, number)
        if not req.open_attempts:
            self.clean_up(req)

    def on_own_trouble(self, on):
        self.own_trouble = on
        self.set_mode("no connection can be opened here", on, "attempts wait for one")
        self.restart_waits()

    def restart_waits(self):
        """Counts the waiting time of all open attempts from now on: what has waited for this machine says nothing about the
        servers. Guards against moving all attempts at once, and against rejecting requests that still have time. Drawback: a
        server that hangs at the same time is recognised later, by as long as this lasts."""
        for server in self.servers.values():
            server.waiting = {key: (self.now, writing) for key, (_, writing) in server.waiting.items()}

    on_place = on_probed = on_peer = lambda self, *fields: None  # this router asks for none of these
