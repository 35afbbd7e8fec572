"""The description of a day (one run of a fault scenario): servers, settings, faults, changes of the server list, starts and ends
of gateways, and the clients' calls. Pure data, and the settings files that follow from it."""

from dataclasses import dataclass, field


@dataclass
class CallPlan:
    """One call that a client makes. `leave_ms` after sending it the client disconnects, and with `again` it repeats the call at
    once."""

    id: str
    at_ms: float
    gateway: int
    model: str
    texts: list  # (role, content) of each message
    tokens: int  # length of the answer
    deadline_ms: int
    retries: int = 2
    leave_ms: float | None = None
    again: bool = False
    stream: bool = True
    slow: bool = False  # reads its answer slowly, in small parts
    honour: bool = True  # waits as long as the answer's retry-after says
    target_ms: float = 1000.0
    importance: float = 1.0
    late_importance: float = 0.3
    tenant: str = "demo"
    session: int | None = None  # number of the WebSocket session that carries the call; None for a plain HTTP request


@dataclass
class ClassPlan:
    """One request class, with the fields of a `group` in the settings."""

    name: str
    effect: str = "REPLAYABLE"
    scope: str = "ALL"
    window_ms: int = 5000
    target_ms: int = 1000
    target_per_1000_ms: int = 40
    token_target_ms: int = 60
    deadline_ms: int = 3000
    importance: float = 1.0
    late_importance: float = 0.3
    resume: bool = False


@dataclass
class Day:
    """One day. Times are ms since its start."""

    name: str
    seed: int
    server_specs: list  # dicts with the fields of a stand-in server (standin.box.BoxSpec)
    classes: list
    calls: list
    length_ms: float
    script: list = field(default_factory=list)  # faults at the servers
    list_changes: list = field(default_factory=list)  # (at_ms, server id, mode, its cold start in ms or None)
    gateway_events: list = field(default_factory=list)  # (at_ms, gateway, "kill", "term" or "start")
    session_drops: list = field(default_factory=list)  # (at_ms, session, ms until it reconnects): its connection breaks
    dns_steps: list | None = None  # servers are found by DNS-SD; steps (at_ms, what, value) of the name server, see Run.dns_step
    doubt_ms: int = 3000
    gateways: int = 2
    zones: list = field(default_factory=lambda: ["a", "b"])  # of the gateways, in turn
    grace_ms: int = 1000
    let_go_ms: int = 500
    margin_ms: int = 40
    cold_from: float = 0.3
    ramp_ms: int = 4000
    fall_multiple: float = 2.5
    overload_ms: int = 1000
    max_forwards: int = 6
    max_come_back_ms: int = 1000
    read_memory: int = 120000
    write_memory: int = 120000
    required_cases: list = field(default_factory=list)  # cases that the audit must see, keys of `seen` in audit.py
    notes: list = field(default_factory=list)  # parts of a replayed day that could not be mapped


KINDS = {"read": "rd", "write": "wr", "both": "mx"}  # role -> name of the kind in the settings


SERVICE = "_llm-box._tcp.lab.example."


def settings_text(day, index, port, nameserver=0):
    """The settings file of gateway `index`. `nameserver` is the port of the DNS server, if the day uses one."""
    lines = [
        f'gateway {{ name: "lab" index: {index} gateways: {day.gateways} drain_limit_ms: 3000',
        f'          zone: "{day.zones[index % len(day.zones)]}" seed: {day.seed * 1000 + index + 1} }}',
        f"listen {{ port: {port} }}",
        *(
            [f'dns {{ server: "127.0.0.1:{nameserver}" service: "{SERVICE}" gone_ms: 1500 doubt_ms: {day.doubt_ms} }}']
            if day.dns_steps is not None
            else ['boxes_file: "boxes.txtpb"', "boxes_poll_ms: 100"]
        ),
        f"limits {{ margin_ms: {day.margin_ms} max_forwards: {day.max_forwards} max_come_back_ms: {day.max_come_back_ms} }}",
        f"rules {{ drain_grace_ms: {day.grace_ms} cold_from: {day.cold_from} ramp_ms: {day.ramp_ms} "
        f"fall_multiple: {day.fall_multiple} overload_ms: {day.overload_ms} let_go_ms: {day.let_go_ms} }}",
        'log { level: "info" format: "json" }',
        f'admin {{ path: "gateway{index}.sock" }}',
        'tenant { name: "demo" api_key: "demo" }',
    ]
    for group in day.classes:
        lines.append(
            f'group {{ name: "{group.name}" model: "{group.name}" effect: {group.effect} repeat_scope: {group.scope} '
            f"repeat_window_ms: {group.window_ms} target_ms: {group.target_ms} target_per_1000_ms: {group.target_per_1000_ms} "
            f"token_target_ms: {group.token_target_ms} deadline_ms: {group.deadline_ms} importance: {group.importance} "
            f"late_importance: {group.late_importance} resume: {str(group.resume).lower()} stream_idle_ms: 1500 }}"
        )
    for role, kind in KINDS.items():
        memory = day.read_memory if role == "read" else day.write_memory
        lines.append(f'kind {{ name: "{kind}" role: {role.upper()} memory_tokens: {memory} }}')
    return "\n".join(lines) + "\n"


def boxes_text(day, modes, started):
    """The file that lists the servers: `modes` by server id (missing ones are not listed), `started` by server id in Unix ms."""
    return "".join(
        f'box {{ id: "{b["id"]}" kind: "{KINDS[b["role"]]}" zone: "{b["zone"]}" cell: "{b["cell"]}" '
        f"mode: {modes[b['id']].upper()} started_ms: {started.get(b['id'], 0)} }}\n"
        for b in day.server_specs
        if modes.get(b["id"], "gone") != "gone"
    )
