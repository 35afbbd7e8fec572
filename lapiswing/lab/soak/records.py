"""What clients, model servers and agents saw of a day: typed rows, no judgement. Times in us of one monotonic clock."""

from dataclasses import dataclass, field


@dataclass(eq=False)
class Attempt:
    """One request for a client's call as a model server got it, its last byte included."""

    rid: str
    server: str
    role: str
    at_us: int
    told_left_us: int  # what the gateway said it would wait
    ran: bool = False  # it may have had its effect
    end_us: int | None = None
    sent: bytearray = field(default_factory=bytearray)  # of a stream
    whole_us: int | None = None  # when its stream was written to its end
    events_us: list = field(default_factory=list)  # (when written, bytes of the stream by then)


@dataclass(eq=False)
class State:
    """What a prefill server holds for a call."""

    rid: str
    server: str
    from_us: int
    end_us: int | None = None
    excused: bool = False  # its server died, or was out of reach


@dataclass(eq=False)
class Call:
    """One request of a client, sent once (or once more, where the end of a kept connection crossed it)."""

    rid: str
    gateway: int
    effect: str
    deadline_us: int  # span
    sent_us: int
    kept: bool = False  # sent on a connection that had served before
    left_us: int | None = None  # its client closed
    status: int | None = None
    head_us: int | None = None
    end_us: int | None = None
    failed: str | None = None  # the stage at which its connection ended
    body: bytearray = field(default_factory=bytearray)
    finals: int = 0
    sips: bool = False  # it takes its answer slowly
    arrivals: list = field(default_factory=list)  # (when, bytes of the answer by then)
    last_bytes_us: int | None = None
    first_us: int | None = None  # when it was sent first
    listener: object = None  # hears the answer
    again: tuple = ()  # where and how it was sent


@dataclass(eq=False)
class Process:
    """One run of a gateway."""

    gateway: int
    pid: int
    started_us: int
    ready_us: int | None = None
    term_us: int | None = None
    killed_us: int | None = None
    ended_us: int | None = None
    code: int | None = None
    log: str = ""
    cpu_s: float = 0.0
    descriptors: list = field(default_factory=list)


@dataclass(eq=False)
class Told:
    """A server's row that says draining or gone, as an agent wrote it to its gateway."""

    gateway: int
    server: str
    at_us: int


@dataclass(eq=False)
class Day:
    seed: int
    calls: dict = field(default_factory=dict)  # rid -> Call
    attempts: list = field(default_factory=list)
    states: list = field(default_factory=list)
    processes: list = field(default_factory=list)
    told: list = field(default_factory=list)
    changed: dict = field(default_factory=dict)  # server -> when the list first said that it drains or is gone
    back: dict = field(default_factory=dict)  # server -> when it was listed as ready again
    broken_us: dict = field(default_factory=dict)  # server -> [(from, to)] in which its streams may end early
    troubles: list = field(default_factory=list)
    cut_off: list = field(default_factory=list)  # (gateway, from, to) in which it may not be able to open connections
    starved: list = field(default_factory=list)  # (gateway, when, us that its process waited for a processor before that)
    second_copies: dict = field(default_factory=dict)  # by gateway, whether its settings allow them
    runner_late_us: int = 0  # the longest turn of the observer itself: its own slack

    def copies_off(self, gateway):
        return not self.second_copies.get(gateway, True)
