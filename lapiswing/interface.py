"""What the decision module is given and what it writes to.

A host makes one `Router(seed, settings, now_us)` per gateway process and calls
`router.round(now_us, events, out)` with everything that came in since the last call.
Events are plain tuples, first field the name:

    ("servers", kind, rows)           kind: update, replace, restored or unavailable; rows: Server
    ("req", id, tokens, expires_us, session, prefix, prefix_tokens, most_out, hint_us, bits, tenant, group)
    ("first", id, server, latency_us, attempt_no)      the answer has begun
    ("outcome", id, attempt_no, server, code, latency_us, ended, remark, report)
    ("place", id, server, attempt_no, held)            the answer to hold_place
    ("own_trouble", on)    whether the host's machine can open no connection: attempts wait, and no server is to blame
    ("client_left", id)  ("timer", token)  ("probed", server, code, latency_us, report)  ("peer", sender, payload)

A report is a dict of figures; `queue` (reqs waiting) and `held` (share of memory held) are read.
A host may keep `router.learned_state()` and give it with its age to the next life's `restore_learned_state`, before the first list.

A forward's connection has to be up within `up_us` and the host's own bound, else its outcome is unreachable.

Outcome codes: done, read, error, full, timed_out, unreachable, no_way, reset, cancelled, moot. `no_way`: the host's machine could open no
connection to this server; it never ran, and says nothing of the server.
Times are whole microseconds; ids are passed through unchanged.
"""

from typing import NamedTuple, Protocol


class Server(NamedTuple):
    id: str
    zone: int
    cell: int
    kind: int
    size: float
    started_us: int
    mode: str  # ready, draining or gone


class RequestClass(NamedTuple):
    name: str
    effect: str  # replayable, keyed or non-replayable
    repeat_scope: str  # keyed: which servers drop repeats together: all, zone or cell
    repeat_window_us: int
    target_us: int
    target_per_1000_us: int
    token_target_us: int
    priority: float
    late_priority: float


class Writer(Protocol):
    def forward(self, req, server, timeout_us, up_us): ...
    def hold_place(self, req, server): ...
    def release(self, req): ...
    def release_unclaimed(self, req): ...  # what no attempt waits for, while one is out
    def retract(self, req, attempt_no): ...
    def move(self, req): ...
    def push_back(self, req, come_back_us): ...
    def abort(self, req): ...
    def timer(self, after_us, token): ...
    def probe(self, server): ...
    def close(self, server): ...
    def tell(self, peer, payload): ...
    def watch(self, active): ...
    def get_list(self): ...
    def log(self, text): ...
