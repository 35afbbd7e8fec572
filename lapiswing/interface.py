"""The interface between the router and its host: the events it is given and the actions it writes.

A host makes one `Router(seed, settings, now_us)` per gateway process and calls `router.round(now_us, events, out)` with
everything that came in since the last call; `out` is the host's Writer. A request runs in two stages: "read" on a prefill
server and "write" on a decode server, or both at once on a mixed server. Each try of a stage on a server is an attempt,
numbered from 0 within its request.

Events are plain tuples, the name first:

    ("servers", kind, rows)           kind: update, replace, restored or unavailable; rows: list of Server
    ("req", id, tokens, expires_us, session, prefix, prefix_tokens, max_out, hint_us, bits, tenant, request_class)
                                      tenant and request_class are indices into the settings
    ("first", id, server, latency_us, attempt_no)      the answer has begun
    ("outcome", id, attempt_no, server, code, latency_us, ended, remark, report)
    ("place", id, server, attempt_no, held)            the answer to hold_place
    ("own_trouble", on)               whether the host's machine can open no connection: attempts wait, no server is to blame
    ("client_left", id)  ("timer", token)  ("probed", server, code, latency_us, report)  ("peer", sender, payload)

A report is a dict of a server's load figures; `queue` (requests waiting) and `held` (fraction of its memory in use) are read.
A host may store `router.learned_state()` and pass it with its age to `restore_learned_state` of the next process, before the
first list of servers.

An attempt's connection has to be up within `connect_us` and the host's own limit, else its outcome is unreachable.

Outcome codes: done, read, error, full, timed_out, unreachable, no_way, reset, cancelled, moot. `no_way`: the host's machine
could open no connection to this server; the attempt never ran, and its outcome says nothing about the server. `moot`: the host
did not send the attempt, as it was no longer needed or allowed.
Times are whole microseconds; ids are passed through unchanged.
"""

from typing import NamedTuple, Protocol


class Server(NamedTuple):
    """One row of the list of model servers."""

    id: str
    zone: int
    cell: int  # rack
    kind: int  # index into the settings' kinds of servers
    size: float
    started_us: int
    mode: str  # ready, draining or gone


class RequestClass(NamedTuple):
    """A class of requests with common targets and one rule on repeats."""

    name: str
    effect: str  # replayable, keyed or non-replayable
    repeat_scope: str  # keyed: the servers among which repeats are dropped: all, zone or cell
    repeat_window_us: int
    target_us: int  # TTFT target, of an empty prompt
    target_per_1000_us: int  # added to the TTFT target for each 1000 prompt tokens
    token_target_us: int
    priority: float
    late_priority: float
    deadline_us: int | None = None  # for which clients usually wait for a first token


class Writer(Protocol):
    """The actions of the router, carried out by the host."""

    def forward(self, req, server, timeout_us, connect_us): ...
    def hold_place(self, req, server): ...
    def release(self, req): ...
    def release_unclaimed(self, req): ...  # releases only states that no attempt waits for, while an attempt is open
    def retract(self, req, attempt_no): ...  # cancels an attempt
    def move(self, req): ...
    def push_back(self, req, retry_after_us): ...  # rejects the request: its client may retry
    def abort(self, req): ...  # fails the request
    def timer(self, after_us, token): ...
    def probe(self, server): ...
    def close(self, server): ...
    def tell(self, peer, payload): ...
    def watch(self, active): ...  # subscribes to the list of servers
    def get_list(self): ...
    def log(self, text): ...
