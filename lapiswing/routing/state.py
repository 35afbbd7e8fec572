"""What a Router keeps of each server and of each request. No decision is taken here."""

from typing import NamedTuple

import numpy as np


class ServerState:
    def __init__(self, row, kinds, at):
        self.id, self.at = row.id, at  # at: its row in the router's tables of measurements
        self.failure_score, self.ejected, self.next_probe_us, self.cold = 0.0, False, 0, False
        self.out_tokens = self.stream_tokens = self.read_us = self.read_tokens = 0  # own; heard
        self.trust, self.cached_prefixes = 1.0, {}  # part of the text believed kept here that reads did find
        self.waiting, self.heard_us, self.reported_wait_us, self.wait_reported_us = {}, 0, 0, 0
        self.memory_used, self.memory_reported_us = 0.0, -1 << 40  # share of its memory that it last told as held
        self.answered_us = 0  # when the latest-sent of the answered forwards was sent
        self.listed(row, kinds)

    def listed(self, row, kinds):
        self.zone, self.cell, self.mode, self.started_us = row.zone, row.cell, row.mode, row.started_us
        self.kind = min(row.kind, len(kinds) - 1)
        role, self.memory = kinds[self.kind]
        self.reads, self.writes = role != "write", role != "read"


class RequestState:
    def __init__(self, rid, group, tenant, tokens, now, expires, target):
        self.id, self.group, self.tenant, self.tokens = rid, group, tenant, tokens
        self.arrived, self.target, self.expires, self.up_by = now, target, expires, expires  # up_by: UP_PART
        self.attempts, self.out, self.tried = [], 0, set()  # out: how many have no outcome yet
        self.held_us = now  # since when the holder holds its state
        self.holder = self.begun = self.turn = None  # turn: a cold writer that will take it
        self.ran, self.fresh, self.closed, self.over_quota = [], tokens, False, False  # ran: forwards that may have


class Demand(NamedTuple):
    """Of one class of requests: its part of all, and what each bin of prefill latency leaves of its target, in us."""

    part: float
    left: np.ndarray


class Load(NamedTuple):
    """What shares worsen: by prefill server, by decode server, and of the links."""

    ahead: np.ndarray  # seconds of prefill work that this gateway has out there
    work: np.ndarray  # of all gateways, if all of it went there
    own: np.ndarray  # tokens of own streams there, as far as these tell
    streams: float  # tokens of streams that follow the shares
    memory: np.ndarray  # tokens that fit there
    told: np.ndarray  # what the memory that it told as held takes off its score
    flow: np.ndarray  # seconds a second that all moves of one nearness would take of a link


class RouterState:
    """What a Router has seen so far, all at nothing."""

    TABLES = ("reads", "waits", "served", "took", "stream_us", "owed_us", "begun")  # with a row for each server

    def __init__(self, now_us, groups, kinds, bins):
        """`groups`, `kinds`: how many classes of requests and kinds of servers; `bins`: of a histogram."""
        self.now = self.began_us = now_us
        self.servers, self.reqs, self.expect = {}, {}, {}
        self.readers, self.writers, self.of_kind = [], [], [[] for _ in range(kinds)]
        self.r_at = self.w_at = np.zeros(0, int)  # rows of the tables of measurements
        self.reads, self.waits = np.zeros((2, 0, bins))  # bins of reads; of waits for a writer
        # Served since the last refresh and a second on average; stream time, what it should be; open streams.
        self.served, self.took, self.stream_us, self.owed_us, self.begun = np.zeros((5, 0))
        # A move's cost a token: same cell, same zone, other; sums for its slope inside a cell.
        self.transfer, self.near = [0.0] * 3, [0.0] * 5
        self.links = {}  # by reader's cell: time of moves that left it, what they take on a free link
        self.mix = [[0.0, 0.0] for _ in range(groups)]  # reqs and prompt tokens seen lately
        self.kind_took = [[0.0, 1.0] for _ in range(kinds)]  # served by warm servers of a kind, their seconds
        self.kind_cost = [[0.0, 0.0] for _ in range(kinds)]  # read time and tokens lately
        self.heat, self.unreachable_by_zone = {}, {}  # reqs by prefix; servers whose connections did not come up, by zone
        self.read_tokens, self.read_span, self.reads_out, self.subscribed = 0.0, 1000, 0, True
        self.rush, self.rush_us = 0.0, now_us  # reqs of the last moments that may have a turn
        self.recent_reqs = self.read_well = 0.0  # lately: reqs, less those without a turn; reads that ended well
        self.news, self.timer, self.refreshed_us, self.halved_us = 0, False, 0, now_us
        self.seen, self.ask_us, self.failing = 0, 0, 0.0  # outcomes since halving; part that fail
        self.answer_us = [0.0] * groups  # answer length, as time
        self.typical_read_us, self.typical_wait_us, self.modes = 0.0, 0.0, {}
        self.quota_left = {}  # of tenants seen: what was left of their share, and when
        self.claims, self.unclaimed = 0, {}  # states that an attempt is to fetch: (request, attempt) by timer token
        self.own_trouble = False  # this machine can open no connection
        self.carried = {}  # servers of an earlier process, by id

    def set_ready_servers(self, ready):
        """The servers that requests may go to now."""
        self.readers, self.writers = [m for m in ready if m.reads], [m for m in ready if m.writes]
        self.r_at, self.w_at = (np.array([m.at for m in side], int) for side in (self.readers, self.writers))
        self.of_kind = [[m for m in ready if m.kind == kind] for kind in range(len(self.of_kind))]

    def keep_measurements(self):
        """A row for each server that is new; those of servers that have left and have no open request are forgotten,
        else every new id would stay for good."""
        busy = {forward[0].id for req in self.reqs.values() for forward in req.attempts}
        more = len(self.servers) - len(self.took)
        self.servers = {m.id: m for m in self.servers.values() if m.mode != "gone" or m.id in busy}
        at = [m.at for m in self.servers.values()]
        for name in self.TABLES:
            table = getattr(self, name)
            setattr(self, name, np.concatenate((table, np.zeros((more, *table.shape[1:]))))[at])
        for row, machine in enumerate(self.servers.values()):
            machine.at = row

    def mean_tokens(self):
        """Of a prompt, lately."""
        return sum(m[1] for m in self.mix) / max(1, sum(m[0] for m in self.mix))

    def mean_besides(self, tokens, least):
        """Mean prompt of the requests seen besides one of `tokens`, 0 where there were `least` or fewer: the first one
        of a process would else count as usual, however long."""
        seen = sum(m[0] for m in self.mix) - 1
        return max(0, sum(m[1] for m in self.mix) - tokens) / seen if seen > least else 0

    def mode(self, name, on, text):
        """Logs a mode's change once."""
        if self.modes.get(name, False) != on:
            self.modes[name] = on
            self.out.log(f"{name} {'on' if on else 'off'}: {text}")
