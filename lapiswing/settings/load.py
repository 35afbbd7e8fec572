"""Text -> checked message -> the plain settings that the Router is started with.

`load_text` raises SettingsError with every fault that could be found: file, line, field and reason."""

import re
from typing import NamedTuple

from cryptography.fernet import Fernet
from google.protobuf import text_format

from lapiswing.dns.codec import question
from lapiswing.errors import OperatorError
from lapiswing.interface import RequestClass, Server
from lapiswing.loop import address_of
from lapiswing.settings import settings_pb2 as pb

MS = 1000
EFFECTS = {pb.REPLAYABLE: "replayable", pb.KEYED: "keyed", pb.NON_REPLAYABLE: "non-replayable"}
SCOPES = {pb.ALL: "all", pb.ZONE: "zone", pb.CELL: "cell"}
ROLES = {pb.READ: "read", pb.WRITE: "write", pb.BOTH: "both"}
MODES = {pb.READY: "ready", pb.DRAINING: "draining", pb.GONE: "gone"}

# What a field holds where the file leaves it out. These describe the place, not what is decided there.
DEFAULTS = {
    "gateway": {"name": "gateway", "gateways": 1, "drain_limit_ms": 20000},
    "listen": {
        "host": "127.0.0.1",
        "port": 8080,
        "connections": 4096,
        "head_bytes": 32768,
        "body_bytes": 4 << 20,
        "head_ms": 10000,
        "body_ms": 30000,
        "idle_ms": 75000,
        "stall_ms": 30000,
    },
    "limits": {
        "max_forwards": 4,
        "max_come_back_ms": 1000,
        "connect_ms": 250,
        "connections_per_box": 1024,
        "open_reqs": 20000,
        "answer_buffer_bytes": 262144,
        "event_bytes": 1 << 20,
        "repeats_kept": 10000,
        "repeat_bytes": 32 << 20,
        "margin_ms": 10,
        "resumes": 2,
    },
    "rules": {
        "drain_grace_ms": 1000,
        "cold_from": 0.25,
        "ramp_ms": 12000,
        "fall_multiple": 2.5,
        "overload_ms": 1000,
        "let_go_ms": 500,
    },
    "prices": {"far": 0.03, "cross_zone": 0.02},
    "mapping": {
        "group_header": "x-endpoint-group",
        "session_header": "x-session-id",
        "deadline_header": "x-request-timeout-ms",
        "bytes_per_token": 4.0,
        "prefix_messages": 1,
        "default_max_tokens": 512,
    },
    "sessions": {
        "per_tenant": 1000,
        "total": 4000,
        "reqs": 64,
        "session_bytes": 262144,
        "total_bytes": 256 << 20,
        "message_bytes": 4 << 20,
        "resume_ms": 15000,
        "idle_ms": 600000,
        "ping_ms": 20000,
        "stall_ms": 30000,
        "spread_ms": 5000,
    },
    "store": {"answer_bytes": 65536, "segment_bytes": 4 << 20},
    "dns": {"lifetime_floor_s": 1, "lifetime_ceiling_s": 300, "stale_s": 3600, "gone_ms": 10000, "doubt_ms": 30000},
    "admin": {"host": "127.0.0.1"},
    "log": {"level": "info", "format": "text"},
}
GROUP_DEFAULTS = {
    "target_ms": 1500,
    "target_per_1000_ms": 40,
    "token_target_ms": 60,
    "deadline_ms": 10000,
    "importance": 1.0,
    "late_importance": 0.3,
    "stream_idle_ms": 5000,
    "repeat_window_ms": 5000,
}


class Fault(NamedTuple):
    file: str
    line: int
    field: str
    reason: str

    def __str__(self):
        return f"{self.file}:{self.line}: {self.field or 'text'}: {self.reason}"


class SettingsError(OperatorError):
    """`faults`: all that were found."""

    exit_code = 2
    advice = "Mend the named fields (docs/settings.md); `lapiswing check FILE` tells all faults of a gateway's file."

    def __init__(self, faults):
        super().__init__("", "\n".join(map(str, faults)))
        self.faults, self.where = faults, faults[0].file if faults else ""


def lines_of(text):
    """{path: line} of every field in a text-format file, such as 'group[1].target_ms', by the library's tokenizer.
    The parsed message no longer knows its lines, and a fault without one is half told."""
    found, stack, counts = {}, [""], [{}]
    tokenizer = text_format.Tokenizer(text.split("\n"))
    name = None
    try:
        while not tokenizer.AtEnd():
            token, line = tokenizer.token, tokenizer._line + 1
            if token in ("{", "<"):
                if name is not None:
                    stack.append(name)
                    counts.append({})
                name = None
            elif token in ("}", ">"):
                if len(stack) > 1:
                    stack.pop()
                    counts.pop()
                name = None
            elif re.fullmatch(r"[A-Za-z_]\w*", token) and name is None:
                number = counts[-1].get(token, 0)
                counts[-1][token] = number + 1
                path = f"{stack[-1]}.{token}" if stack[-1] else token
                found[f"{path}[{number}]"] = line
                found.setdefault(path, line)
                name = f"{path}[{number}]"
            elif token not in (":", ";", ","):
                name = None  # a value
            elif token == ":":
                tokenizer.NextToken()
                if not tokenizer.AtEnd() and tokenizer.token not in ("{", "<", "["):
                    name = None
                    tokenizer.NextToken()
                continue
            tokenizer.NextToken()
    except text_format.ParseError:
        pass  # the parser itself has said it
    return found


def parse(text, file, message):
    """Fills `message`; -> faults. Unknown fields are all told, not only the first."""
    faults, lines = [], lines_of(text)
    try:
        text_format.Parse(text, type(message)(), allow_unknown_field=True)
    except text_format.ParseError as problem:
        # Not a text that its fields could be looked up in: an unclosed block would put all that follows into it.
        return [Fault(file, problem.GetLine() or 1, "", re.sub(r"^\d+:\d+ : ", "", str(problem)))], lines
    for path, line in lines.items():
        if not path.endswith("]"):
            continue
        descriptor, plain = message.DESCRIPTOR, re.sub(r"\[\d+\]", "", path).split(".")
        for i, name in enumerate(plain):
            field = descriptor.fields_by_name.get(name) if descriptor is not None else None
            if field is None:
                if descriptor is not None and i == len(plain) - 1:
                    faults.append(Fault(file, line, ".".join(plain), "no such field"))
                break
            descriptor = field.message_type
    try:
        text_format.Parse(text, message)
    except text_format.ParseError as problem:
        reason = re.sub(r"^\d+:\d+ : ", "", str(problem))
        if not any("no such field" in f.reason and f.line == problem.GetLine() for f in faults):
            faults.append(Fault(file, problem.GetLine() or 1, "", reason))
    return faults, lines


def load_text(text, file="settings"):
    """-> Settings with defaults filled in. Raises SettingsError."""
    settings = pb.Settings()
    faults, lines = parse(text, file, settings)
    if faults:
        raise SettingsError(sorted(set(faults), key=lambda f: f.line))
    for name, values in DEFAULTS.items():
        fill(getattr(settings, name), values)
    for group in settings.group:
        fill(group, GROUP_DEFAULTS)
    if not settings.boxes_poll_ms:
        settings.boxes_poll_ms = 250
    faults = [Fault(file, line_for(lines, field), field, reason) for field, reason in wrong(settings)]
    if faults:
        raise SettingsError(faults)
    return settings


AGENT_DEFAULTS = {
    "listen": {"host": "0.0.0.0", "port": 9100},
    "control": {"host": "127.0.0.1", "port": 9101},
    "log": {"level": "info", "format": "text"},
}
AGENT_PLAIN = {"memory_bytes": 4 << 30, "chunk_bytes": 1 << 20, "cold_ms": 12000}


def load_agent(text, file="settings"):
    """A transfer agent's settings, with defaults filled in. Raises SettingsError."""
    settings = pb.TransferAgent()
    faults, lines = parse(text, file, settings)
    if not faults:
        for name, values in AGENT_DEFAULTS.items():
            fill(getattr(settings, name), values)
        fill(settings, AGENT_PLAIN)
        faults = [Fault(file, line_for(lines, field), field, reason) for field, reason in wrong_agent(settings)]
    if faults:
        raise SettingsError(sorted(set(faults), key=lambda f: f.line))
    return settings


def wrong_agent(s):
    if not s.name:
        yield "name", "is missing"
    if not s.folder:
        yield "folder", "is missing"
    for name in ("listen", "control"):
        if getattr(s, name).port > 65535:
            yield f"{name}.port", f"{getattr(s, name).port} is not a port"
    if not s.control.host.startswith("127.") and s.control.host not in ("::1", "localhost"):
        yield "control.host", f"{s.control.host!r} is not loopback: whoever reaches it may fetch and delete states"
    if not 4096 <= s.chunk_bytes <= 4 << 20:
        yield "chunk_bytes", "must lie between 4 KiB and 4 MiB"
    if s.memory_bytes < s.chunk_bytes:
        yield "memory_bytes", "is less than one chunk"
    yield from wrong_keys("key", s.key, " (`lapiswing keys transfer` makes one)")
    if s.HasField("tls"):
        for name in ("certificate_file", "key_file", "authority_file"):
            if not getattr(s.tls, name):
                yield f"tls.{name}", "is missing"
    elif not s.key and not s.listen.host.startswith("127."):
        yield "key", "with neither key nor tls everybody on the network may take states: say at least one"
    yield from wrong_log(s.log)


def fill(message, values):
    for name, value in values.items():
        if not getattr(message, name):
            setattr(message, name, value)


def line_for(lines, field):
    while field:
        for path in (field, field + "[0]"):
            if path in lines:
                return lines[path]
        field = field.rpartition(".")[0]
    return 1


def wrong(s):
    """Yields (field, reason) for what parses but can't be served."""
    if not s.group:
        yield "group", "at least one endpoint group is needed"
    if not s.kind:
        yield "kind", "at least one kind of box is needed"
    records = s.dns.service or s.dns.srv
    if not s.box and not s.boxes_file and not records:
        yield "box", "no box, no boxes_file and no dns.service or dns.srv"
    if records and not s.dns.server:
        yield "dns.server", "is missing: whom to ask"
    for i, server in enumerate(s.dns.server):
        yield from wrong_address(f"dns.server[{i}]", server)
    for field in ("service", "srv"):
        for i, name in enumerate(getattr(s.dns, field)):
            try:
                question(name, "SRV", 0)
            except ValueError as problem:
                yield f"dns.{field}[{i}]", f"is no name: {problem}"
    if s.dns.kind and s.dns.kind not in [k.name for k in s.kind]:
        yield "dns.kind", f"{s.dns.kind!r} is no kind"
    if s.listen.port > 65535:
        yield "listen.port", f"{s.listen.port} is not a port"
    if s.gateway.index >= s.gateway.gateways:
        yield "gateway.index", f"{s.gateway.index} is not below gateways ({s.gateway.gateways})"
    if not 0 < s.rules.cold_from <= 1:
        yield "rules.cold_from", "must lie above 0 and at most at 1"
    if s.rules.fall_multiple <= 1:
        yield "rules.fall_multiple", "must be above 1"
    if s.limits.max_forwards < 2:
        yield "limits.max_forwards", "a req needs a read and a write: at least 2"
    yield from wrong_log(s.log)
    if s.mapping.load_memory in ("queue", "inflight", "draining"):
        yield "mapping.load_memory", f"{s.mapping.load_memory!r} tells something else"
    if s.mapping.load_memory and not re.fullmatch(r"[A-Za-z_][\w.-]{0,63}", s.mapping.load_memory):
        yield "mapping.load_memory", f"{s.mapping.load_memory!r} is no name of a figure"
    if s.mapping.bytes_per_token <= 0:
        yield "mapping.bytes_per_token", "must be above 0"
    seen = {}
    for i, g in enumerate(s.group):
        at = f"group[{i}]"
        if not g.name:
            yield f"{at}.name", "is missing"
        if g.name in seen:
            yield f"{at}.name", f"{g.name!r} stands twice"
        seen[g.name] = i
        if g.effect == pb.EFFECT_UNSET:
            yield f"{at}.effect", "say REPLAYABLE, KEYED or NON_REPLAYABLE: whether a req may run again is not guessed"
        if g.resume and g.effect != pb.REPLAYABLE:
            yield f"{at}.resume", "only a replayable group's stream may go on elsewhere"
        if g.deadline_ms <= s.limits.margin_ms * 2:
            yield f"{at}.deadline_ms", "leaves no time"
    models = [m for g in s.group for m in g.model]
    for i, g in enumerate(s.group):
        for m in g.model:
            if models.count(m) > 1 and not g.header_value:
                yield f"group[{i}].model", f"{m!r} belongs to more than one group and no header_value tells them apart"
    keys = [k for t in s.tenant for k in t.api_key]
    for i, t in enumerate(s.tenant):
        if not t.api_key:
            yield f"tenant[{i}].api_key", "a tenant without a key can't be told from others"
        for k in t.api_key:
            if keys.count(k) > 1:
                yield f"tenant[{i}].api_key", "a key stands twice"
    kinds = [k.name for k in s.kind]
    for i, k in enumerate(s.kind):
        if k.role == pb.ROLE_UNSET:
            yield f"kind[{i}].role", "say READ, WRITE or BOTH"
        if not k.memory_tokens:
            yield f"kind[{i}].memory_tokens", "is missing"
        if kinds.count(k.name) > 1:
            yield f"kind[{i}].name", f"{k.name!r} stands twice"
    if s.admin.port:
        if not s.admin.key and not s.admin.control_key:
            yield "admin.key", "a port without a key is open to everybody who reaches it"
        if s.admin.port > 65535 or s.admin.port == s.listen.port:
            yield "admin.port", f"{s.admin.port} is not a port of its own"
    if not 65536 <= s.store.segment_bytes <= 1 << 30:
        yield "store.segment_bytes", "must lie between 64 KiB and 1 GiB"
    for name in ("key", "control_key"):
        yield from wrong_keys(f"admin.{name}", getattr(s.admin, name))
    if s.admin.path and s.admin.path == s.admin.control_path:
        yield "admin.control_path", "is the same as path: whoever may look could act"
    for i, key in enumerate(s.sessions.token_key):
        try:
            Fernet(key)
        except ValueError:
            yield f"sessions.token_key[{i}]", "is not a key: 32 bytes in URL-safe base64 (`lapiswing keys session`)"
    if s.HasField("fleet"):
        yield from wrong_fleet(s)
    yield from wrong_boxes(s.box, kinds)


def wrong_fleet(s):
    f = s.fleet
    if not f.listen.host or not 0 < f.listen.port < 65536:
        yield "fleet.listen", "host and port are wanted"
    elif f.listen.port == s.listen.port:
        yield "fleet.listen.port", f"{f.listen.port} is the chat API's"
    if f.address:
        yield from wrong_address("fleet.address", f.address)
    elif f.listen.host in ("0.0.0.0", "::"):
        yield "fleet.address", "is missing: others can't connect to every address of this machine"
    for i, peer in enumerate(f.peer):
        yield from wrong_address(f"fleet.peer[{i}]", peer)
    if not f.key:
        yield "fleet.key", "is missing: anybody could speak for a copy"
    yield from wrong_keys("fleet.key", f.key)
    if not s.gateway.name or "#" in s.gateway.name or len(s.gateway.name) > 40:
        yield "gateway.name", "a copy of a fleet needs a name of its own, 40 characters at most and without #"


def wrong_keys(field, keys, more=""):
    for i, key in enumerate(keys):
        if len(key) < 16:
            yield f"{field}[{i}]", f"is shorter than 16 characters{more}"


def wrong_log(log):
    if log.level not in ("debug", "info", "warning", "error"):
        yield "log.level", f"{log.level!r} is none of debug, info, warning, error"
    if log.format not in ("text", "json"):
        yield "log.format", f"{log.format!r} is neither text nor json"


def wrong_address(field, text):
    try:
        address_of(text)
    except ValueError as problem:
        yield field, str(problem)


def wrong_boxes(boxes, kinds):
    ids = [b.id for b in boxes]
    for i, b in enumerate(boxes):
        yield from wrong_address(f"box[{i}].id", b.id)
        if ids.count(b.id) > 1:
            yield f"box[{i}].id", f"{b.id!r} stands twice"
        if b.kind not in kinds:
            yield f"box[{i}].kind", f"{b.kind!r} is none of {', '.join(kinds) or 'no kinds'}"


def load_boxes(text, file, kinds):
    """A boxes_file -> its entries. Raises SettingsError."""
    message = pb.Settings()
    faults, lines = parse(text, file, message)
    faults += [Fault(file, line_for(lines, f), f, reason) for f, reason in wrong_boxes(message.box, kinds)]
    if faults:
        raise SettingsError(faults)
    return list(message.box)


class Names:
    """Numbers for names, in the order in which they are met: the decisions know zones and cells as numbers."""

    def __init__(self):
        self.known = {}

    def __call__(self, name):
        return self.known.setdefault(name, len(self.known))


def boxes_of(boxes, settings, zones, cells, unix_to_us):
    """`box` entries -> rows for the Router. `unix_to_us` turns Unix milliseconds into the loop's time."""
    kinds = [k.name for k in settings.kind]
    return [
        Server(
            b.id,
            zones(b.zone),
            cells((b.zone, b.cell)),
            kinds.index(b.kind),
            b.size or 1.0,
            unix_to_us(b.started_ms) if b.started_ms else 0,
            MODES[b.mode],
        )
        for b in boxes
    ]


def row_of_found(found, settings, zones, cells, unix_to_us):
    """A box that records tell of -> a row. Raises ValueError: it can't be one of ours."""
    kinds = [k.name for k in settings.kind]
    name = found.kind or None
    if name is None and found.role is not None:
        name = next((k.name for k in settings.kind if ROLES[k.role] == found.role), None)
        if name is None:
            raise ValueError(f"no kind of box here has the role {found.role}")
    name = name or settings.dns.kind or (kinds[0] if len(kinds) == 1 else None)
    if name not in kinds:
        raise ValueError(f"kind {name!r} is none of {', '.join(kinds)}" if name else "its records tell neither kind nor role")
    return Server(
        found.id,
        zones(found.zone),
        cells((found.zone, found.cell)),
        kinds.index(name),
        found.size,
        unix_to_us(found.gen_ms) if found.gen_ms else 0,
        "draining" if found.draining else "ready",
    )


def router_settings(s, zones):
    """What `Router(seed, settings, now_us)` is given."""
    groups = [
        RequestClass(
            g.name,
            EFFECTS[g.effect],
            SCOPES[g.repeat_scope],
            g.repeat_window_ms * MS,
            g.target_ms * MS,
            g.target_per_1000_ms * MS,
            g.token_target_ms * MS,
            g.importance,
            g.late_importance,
        )
        for g in s.group
    ]
    return {
        "balancers": s.gateway.gateways,
        "me": s.gateway.index,
        "az": zones(s.gateway.zone),
        "resolution_us": s.limits.margin_ms * MS,
        "groups": groups,
        "tenants": [{"name": t.name, "quota_rps": t.quota_rps or 1e9} for t in s.tenant],
        "membership_mode": "automatic",
        "kinds": [k.name for k in s.kind],
        "limits": {
            "max_attempts": s.limits.max_forwards,
            "retry_after": True,
            "cancel": not s.limits.keep_forwards,
            "max_retry_after_us": s.limits.max_come_back_ms * MS,
        },
        "rules": {
            "cold_from": s.rules.cold_from,
            "ramp_time_us": s.rules.ramp_ms * MS,
            "fall_multiple": s.rules.fall_multiple,
            "overload_for_us": s.rules.overload_ms * MS,
        },
        "penalties": {"cross_zone": s.prices.cross_zone},
        "family_info": {
            "duty_by_kind": [ROLES[k.role] for k in s.kind],
            "far_price": s.prices.far,
            "kind_memory_tokens": [k.memory_tokens for k in s.kind],
            "let_go_by_us": s.rules.let_go_ms * MS,
        },
    }
