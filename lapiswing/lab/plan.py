"""What a day is: boxes, settings, faults, lists, gateways' fates and clients' calls. Pure data."""

from dataclasses import dataclass, field


@dataclass
class CallPlan:
    """One thing that a client wants. `leave_ms` after sending it goes away (and, with `again`, asks anew at once)."""

    id: str
    at_ms: float
    gateway: int
    model: str
    texts: list  # (role, content) of each message
    tokens: int
    deadline_ms: int
    retries: int = 2
    leave_ms: float | None = None
    again: bool = False
    stream: bool = True
    slow: bool = False  # takes its answer in small sips
    honour: bool = True  # stays away as long as told
    target_ms: float = 1000.0
    importance: float = 1.0
    late_importance: float = 0.3
    tenant: str = "demo"
    session: int | None = None  # over this WebSocket session in place of a call of its own


@dataclass
class Group:
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
    name: str
    seed: int
    boxes: list  # dicts of BoxSpec fields
    groups: list
    calls: list
    length_ms: float
    script: list = field(default_factory=list)  # faults at the boxes
    lists: list = field(default_factory=list)  # (at_ms, box id, mode, cold since ms of the day or None)
    fates: list = field(default_factory=list)  # (at_ms, gateway, "kill", "term" or "start")
    cuts: list = field(default_factory=list)  # (at_ms, session, ms until it comes back): the link drops
    records: list | None = None  # boxes are found by DNS-SD; (at_ms, what, value) of the name server, see run.Run.record_step
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
    wants: list = field(default_factory=list)  # cases that the audit must have seen, see audit.py
    notes: list = field(default_factory=list)  # what could not be mapped


KINDS = {"read": "rd", "write": "wr", "both": "mx"}


SERVICE = "_llm-box._tcp.lab.example."


def settings_text(day, index, port, nameserver=0):
    """The settings file of one gateway of the day."""
    lines = [
        f'gateway {{ name: "lab" index: {index} gateways: {day.gateways} drain_limit_ms: 3000',
        f'          zone: "{day.zones[index % len(day.zones)]}" seed: {day.seed * 1000 + index + 1} }}',
        f"listen {{ port: {port} }}",
        *(
            [f'dns {{ server: "127.0.0.1:{nameserver}" service: "{SERVICE}" gone_ms: 1500 doubt_ms: {day.doubt_ms} }}']
            if day.records is not None
            else ['boxes_file: "boxes.txtpb"', "boxes_poll_ms: 100"]
        ),
        f"limits {{ margin_ms: {day.margin_ms} max_forwards: {day.max_forwards} max_come_back_ms: {day.max_come_back_ms} }}",
        f"rules {{ drain_grace_ms: {day.grace_ms} cold_from: {day.cold_from} ramp_ms: {day.ramp_ms} "
        f"fall_multiple: {day.fall_multiple} overload_ms: {day.overload_ms} let_go_ms: {day.let_go_ms} }}",
        'log { level: "info" format: "json" }',
        f'admin {{ path: "gateway{index}.sock" }}',
        'tenant { name: "demo" api_key: "demo" }',
    ]
    for g in day.groups:
        lines.append(
            f'group {{ name: "{g.name}" model: "{g.name}" effect: {g.effect} repeat_scope: {g.scope} '
            f"repeat_window_ms: {g.window_ms} target_ms: {g.target_ms} target_per_1000_ms: {g.target_per_1000_ms} "
            f"token_target_ms: {g.token_target_ms} deadline_ms: {g.deadline_ms} importance: {g.importance} "
            f"late_importance: {g.late_importance} resume: {str(g.resume).lower()} stream_idle_ms: 1500 }}"
        )
    for role, kind in KINDS.items():
        memory = day.read_memory if role == "read" else day.write_memory
        lines.append(f'kind {{ name: "{kind}" role: {role.upper()} memory_tokens: {memory} }}')
    return "\n".join(lines) + "\n"


def boxes_text(day, modes, started):
    """The boxes' file: `modes` by box id (left out: not listed), `started` Unix ms by box id."""
    return "".join(
        f'box {{ id: "{b["id"]}" kind: "{KINDS[b["role"]]}" zone: "{b["zone"]}" cell: "{b["cell"]}" '
        f"mode: {modes[b['id']].upper()} started_ms: {started.get(b['id'], 0)} }}\n"
        for b in day.boxes
        if modes.get(b["id"], "gone") != "gone"
    )
