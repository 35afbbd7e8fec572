"""Records of what clients, model servers and discovery agents observed during a day, without any judgement. All times are
microseconds of one monotonic clock."""

from dataclasses import dataclass, field


@dataclass(frozen=True)
class StreamFault:
    """A fault of one stream: its mode, and the number of the event at which it begins."""

    mode: str
    at: int


@dataclass(eq=False)
class Attempt:
    """One request that a model server received for a client's call, recorded once it has arrived completely."""

    rid: str
    server: str
    role: str
    at_us: int
    stated_time_left_us: int  # time limit that the gateway stated in the request
    ran: bool = False  # it may have taken effect
    end_us: int | None = None
    sent: bytearray = field(default_factory=bytearray)  # bytes of the answer stream written so far
    stream_fault: StreamFault | None = None
    spoilt_us: int | None = None  # since when its stream is spoilt
    completed_us: int | None = None  # when the last byte of the stream was written
    event_ends: list = field(default_factory=list)  # (time written, length of the stream by then)


@dataclass(eq=False)
class State:
    """The KV state that a prefill server holds for a call."""

    rid: str
    server: str
    from_us: int
    end_us: int | None = None
    excused: bool = False  # its server crashed or was unreachable


@dataclass(eq=False)
class Call:
    """One request of a client. It is sent a second time only if its reused connection was closed while it was being sent."""

    rid: str
    gateway: int
    effect: str
    deadline_us: int  # time limit from sent_us
    sent_us: int
    reused_connection: bool = False  # sent on an idle keep-alive connection
    client_left_us: int | None = None  # when the client closed the connection
    status: int | None = None
    head_us: int | None = None
    end_us: int | None = None
    failed: str | None = None  # stage of the exchange at which it failed
    body: bytearray = field(default_factory=bytearray)
    final_answers: int = 0
    reads_slowly: bool = False  # the client pauses before it reads the body
    arrivals: list = field(default_factory=list)  # (time, length of the body by then)
    last_bytes_us: int | None = None
    first_sent_us: int | None = None  # time of the first send, if it was sent twice
    answer_listener: object = None  # the AnswerListener of its exchange
    resend_target: tuple = ()  # (gateway, class name)


@dataclass(eq=False)
class Process:
    """One process of a gateway."""

    gateway: int
    pid: int
    started_us: int
    ready_us: int | None = None
    term_us: int | None = None
    killed_us: int | None = None
    ended_us: int | None = None
    exit_code: int | None = None
    log_path: str = ""
    cpu_s: float = 0.0
    descriptors: list = field(default_factory=list)


@dataclass(eq=False)
class UnavailableReport:
    """A discovery row that marks a server as draining or deleted, as an agent sent it to its gateway."""

    gateway: int
    server: str
    written_us: int  # when the row was written
    at_us: int  # from when on it counts as reported


@dataclass(eq=False)
class Day:
    """All records of one run of the soak."""

    seed: int
    deadline_ms: float = 3000.0  # the longest of its clients
    crowded: bool = False  # whether clients that stop or go slowly are there all day
    calls: dict = field(default_factory=dict)  # rid -> Call
    attempts: list = field(default_factory=list)
    states: list = field(default_factory=list)
    processes: list = field(default_factory=list)
    unavailable_reports: list = field(default_factory=list)
    unavailable_us: dict = field(default_factory=dict)  # server -> when discovery last listed it as draining or deleted
    ready_again_us: dict = field(default_factory=dict)  # server -> the times at which discovery listed it as ready again
    outages_us: dict = field(default_factory=dict)  # server -> [(from, to)] in which its streams may end early
    troubles: list = field(default_factory=list)
    connect_failures: list = field(default_factory=list)  # (gateway, from, to) in which its connect calls may fail
    cpu_waits: list = field(
        default_factory=list
    )  # (gateway, time, us that its process waited for a CPU since the previous sample)
    second_copies: dict = field(default_factory=dict)  # gateway -> whether its settings allow them
    observer_delay_us: int = 0  # longest iteration of the observer's own loop; added to the tolerances

    def second_copies_off(self, gateway):
        return not self.second_copies.get(gateway, True)
