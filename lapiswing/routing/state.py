"""The state that a Router keeps of servers, requests and measurements. No decision is taken here."""

from typing import NamedTuple

import numpy as np


class ServerState:
    """One model server as this router knows it."""

    def __init__(self, row, kinds, table_row):
        self.id, self.row = row.id, table_row  # row: of this server in the router's tables of measurements
        self.failure_score, self.ejected, self.next_probe_us, self.cold = 0.0, False, 0, False
        # Prompt tokens of own open reads; tokens of own open streams; time and tokens of recent reads.
        self.tokens_in_flight = self.stream_tokens = self.read_us = self.read_tokens = 0
        self.cache_accuracy, self.cached_prefixes = 1.0, {}  # fraction of expected cache hits found; tokens by session or prefix
        # Open attempts without an answer: (request, number) -> (sent, whether it is a write).
        self.waiting, self.last_response_us, self.reported_wait_us, self.wait_reported_us = {}, 0, 0, 0
        self.memory_used, self.memory_reported_us = 0.0, -1 << 40  # fraction of its memory, as last reported
        self.newest_answered_us = 0  # when the most recently sent of the answered attempts was sent
        self.update_from_list(row, kinds)

    def update_from_list(self, row, kinds):
        """Takes over a row of the list."""
        self.zone, self.cell, self.mode, self.started_us = row.zone, row.cell, row.mode, row.started_us
        self.kind = min(row.kind, len(kinds) - 1)
        role, self.memory_tokens = kinds[self.kind]
        self.reads, self.writes = role != "write", role != "read"


class Attempt:
    """One attempt of a request at one server. Its stage is read, write or direct."""

    __slots__ = ("server", "stage", "sent_us", "is_open", "uncached_tokens", "tokens_ahead", "has_read_load")

    def __init__(self, server, stage, sent_us, uncached_tokens, tokens_ahead):
        """`uncached_tokens`: of the prompt, which the server has to read; `tokens_ahead`: prompt tokens queued at the server up
        to its end."""
        self.server, self.stage, self.sent_us = server, stage, sent_us
        self.uncached_tokens, self.tokens_ahead = uncached_tokens, tokens_ahead
        self.is_open = True  # until its outcome
        self.has_read_load = stage != "write"  # whether its read counts in the server's load


class RequestState:
    """One request from its arrival until it is closed and no attempt is open."""

    def __init__(self, rid, class_index, tenant, tokens, now_us, expires_us, due_us):
        self.id, self.class_index, self.tenant, self.tokens = (
            rid,
            class_index,
            tenant,
            tokens,
        )  # class_index: of its request class
        # due_us: by when the first token is due. connect_by_us: by when an attempt's connection has to be up, so that a held
        # state is released in time.
        self.arrived_us, self.due_us, self.expires, self.connect_by_us = now_us, due_us, expires_us, expires_us
        self.attempts, self.open_attempts, self.tried = [], 0, set()
        self.held_since_us = None  # since when a server holds its state
        self.holder = self.begun_attempt = self.cold_writer = None  # cold_writer: a cold decode server that admits it
        # may_have_run: (server, sent) of attempts that may have had their effect.
        self.may_have_run, self.uncached_tokens, self.closed, self.over_quota = [], tokens, False, False


class Demand(NamedTuple):
    """One request class: its fraction of all requests, and for each bin of prefill latency what it leaves of the TTFT target."""

    fraction: float
    left_us: np.ndarray


class Load(NamedTuple):
    """What makes pairs worse as shares grow: load of prefill servers, of decode servers and of links."""

    queued_s: np.ndarray  # seconds of prefill work that this gateway has open at each prefill server
    work: np.ndarray  # load on each prefill server if all prefill work of all gateways went there
    own_tokens: np.ndarray  # tokens of own streams at each decode server, weighted by how much they say
    shared_tokens: float  # tokens of streams that are distributed by the shares
    memory_tokens: np.ndarray  # capacity of each decode server
    memory_penalty: np.ndarray  # taken off each decode server's score for the memory use that it reports
    link_use: np.ndarray  # by distance: part of a link's time if all moves had that distance


class RouterState:
    """Everything that a Router has measured, empty at first."""

    # Arrays with a row for each server.
    TABLES = (
        "read_histogram",
        "wait_histogram",
        "served",
        "served_per_s",
        "stream_time_us",
        "expected_stream_us",
        "open_streams",
    )

    def __init__(self, now_us, classes, kinds, bins):
        """`classes`, `kinds`, `bins`: how many request classes, kinds of servers and histogram bins there are."""
        self.now = self.began_us = now_us
        self.servers, self.reqs, self.median_wait_us = {}, {}, {}
        self.readers, self.writers, self.servers_by_kind = [], [], [[] for _ in range(kinds)]
        self.reader_rows = self.writer_rows = np.zeros(0, int)  # rows in the tables of measurements
        self.read_histogram, self.wait_histogram = np.zeros((2, 0, bins))  # read latencies; waits at decode servers
        # Requests served since the last refresh, and per second on average; time of open streams, measured and expected;
        # open streams.
        self.served, self.served_per_s, self.stream_time_us, self.expected_stream_us, self.open_streams = np.zeros((5, 0))
        # Time per token of a move: inside a cell, inside a zone, across zones; sums of the linear fit for moves inside a cell.
        self.transfer_us_per_token, self.same_cell_sums = [0.0] * 3, [0.0] * 5
        self.links = {}  # by the reader's cell: time of moves out of the cell, measured and on an idle link
        self.class_mix = [[0.0, 0.0] for _ in range(classes)]  # recent requests and their prompt tokens, by request class
        self.kind_served = [[0.0, 1.0] for _ in range(kinds)]  # requests served by the warm servers of a kind, and their seconds
        self.kind_read_cost = [[0.0, 0.0] for _ in range(kinds)]  # time and tokens of recent reads of a kind
        # Recent requests by prefix; by zone the servers whose connections did not come up, and when.
        self.popularity, self.unreachable_by_zone = {}, {}
        self.read_tokens, self.read_span_us, self.reads_in_flight, self.subscribed = 0.0, 1000, 0, True
        self.burst, self.burst_updated_us = 0.0, now_us  # decaying count of own requests, without clients' retries
        self.recent_reqs = self.successful_reads = 0.0  # recent: requests, less those that found no reader; reads that ended well
        self.new_outcomes, self.timer_set, self.refreshed_us, self.halved_us = 0, False, 0, now_us
        self.outcomes_since_halving, self.subscribe_again_us, self.failing = 0, 0, 0.0  # failing: recent fraction of failures
        self.answer_us = [0.0] * classes  # mean duration of an answer
        self.typical_read_us, self.typical_wait_us, self.modes = 0.0, 0.0, {}
        self.quota_left = {}  # by tenant: what was left of its quota, and when
        # Checks whether a held state has to be released beside an attempt: (request, attempt) by timer token.
        self.last_release_check, self.release_checks = 0, {}
        self.own_trouble = False  # this machine can open no connection
        self.restored_servers = {}  # servers of the previous process, by id

    def set_ready_servers(self, ready):
        """Sets the servers that requests may go to."""
        self.readers, self.writers = [s for s in ready if s.reads], [s for s in ready if s.writes]
        self.reader_rows, self.writer_rows = (np.array([s.row for s in side], int) for side in (self.readers, self.writers))
        self.servers_by_kind = [[s for s in ready if s.kind == kind] for kind in range(len(self.servers_by_kind))]

    def resize_tables(self):
        """Adds a row for each new server, and forgets servers that have left and have no open request: else the tables would
        grow with every new id."""
        busy = {attempt.server.id for req in self.reqs.values() for attempt in req.attempts}
        added = len(self.servers) - len(self.served_per_s)
        self.servers = {s.id: s for s in self.servers.values() if s.mode != "gone" or s.id in busy}
        rows = [s.row for s in self.servers.values()]
        for name in self.TABLES:
            table = getattr(self, name)
            setattr(self, name, np.concatenate((table, np.zeros((added, *table.shape[1:]))))[rows])
        for row, server in enumerate(self.servers.values()):
            server.row = row

    def mean_prompt_tokens(self):
        """Of recent requests."""
        return sum(m[1] for m in self.class_mix) / max(1, sum(m[0] for m in self.class_mix))

    def mean_prompt_excluding(self, tokens, min_requests):
        """Mean prompt of the requests seen besides one of `tokens`, 0 with `min_requests` others or fewer: else the first
        request of a process would count as usual, however long it is."""
        others = sum(m[0] for m in self.class_mix) - 1
        return max(0, sum(m[1] for m in self.class_mix) - tokens) / others if others > min_requests else 0

    def set_mode(self, name, on, text):
        """Sets a mode and logs each change of it."""
        if self.modes.get(name, False) != on:
            self.modes[name] = on
            self.out.log(f"{name} {'on' if on else 'off'}: {text}")
