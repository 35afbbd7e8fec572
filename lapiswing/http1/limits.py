"""What a server allows its clients."""

from dataclasses import dataclass


@dataclass(frozen=True)
class Limits:
    """Bytes and microseconds. A head or body that is not complete in its time is answered 408 and the connection closed; a body
    that goes on coming, with no pause longer than `body_pause_us`, has until `slow_body_us`;
    `idle_us` limits the wait for a next request; a client that reads nothing for `stall_us` while bytes wait for it is
    treated as gone."""

    head_bytes: int = 32768
    body_bytes: int = 4 << 20
    head_us: int = 10_000_000
    body_us: int = 30_000_000
    idle_us: int = 75_000_000
    stall_us: int = 30_000_000
    pipelined_bytes: int = 65536
    all_pipelined_bytes: int = 4 << 20  # over all connections; beyond it each may buffer only a little
    all_unfinished_bytes: int = 64 << 20  # of incomplete requests, over all connections; beyond it some are refused
    connections: int = 4096
    first_request_us: int | None = None  # from the opening of a connection until its first request is complete
    linger_us: int = 1_000_000  # after a last answer while its client still sends
    reclaim_idle_us: int = 2_000_000  # connections idle for this long may be closed when connections run short
    slow_body_us: int = 0
    body_pause_us: int = 1_000_000


DEFAULT_LIMITS = Limits()
