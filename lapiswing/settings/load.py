"""Loads settings in protobuf text format, checks them and converts them to what the Router is started with.

`load_text` and `load_agent` raise SettingsError with every fault found: file, line, field and reason. The roles `read` and
`write` are the prefill and the decode stage. The schema calls a model server a `box`, a request class a `group`, an attempt
a `forward` and a retry after a delay a `come_back`; those names belong to the file format."""

import re
from typing import NamedTuple

from cryptography.fernet import Fernet
from google.protobuf import text_format

from lapiswing.dns.codec import question
from lapiswing.errors import OperatorError
from lapiswing.interface import RequestClass, Server
from lapiswing.loop import address_of
from lapiswing.settings import settings_pb2 as pb

US_PER_MS = 1000
EFFECTS = {pb.REPLAYABLE: "replayable", pb.KEYED: "keyed", pb.NON_REPLAYABLE: "non-replayable"}
SCOPES = {pb.ALL: "all", pb.ZONE: "zone", pb.CELL: "cell"}
ROLES = {pb.READ: "read", pb.WRITE: "write", pb.BOTH: "both"}
MODES = {pb.READY: "ready", pb.DRAINING: "draining", pb.GONE: "gone"}

# Values of the fields that the file leaves out. Each describes the deployment; routing constants are not settings.
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
        "unfinished_bytes": 64 << 20,
        "idle_ms": 75000,
        "stall_ms": 30000,
    },
    "limits": {
        "max_forwards": 4,
        "max_come_back_ms": 1000,
        "connect_ms": 250,
        "connections_per_box": 1024,
        "open_reqs": 20000,
        "open_bytes": 256 << 20,
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
    """One fault of a settings file. `field` is the path of the field; empty where the text can't be parsed."""

    file: str
    line: int
    field: str
    reason: str

    def __str__(self):
        return f"{self.file}:{self.line}: {self.field or 'text'}: {self.reason}"


class SettingsError(OperatorError):
    """A settings file that can't be used; `faults` holds all faults found in it."""

    exit_code = 2
    advice = "Mend the named fields (docs/settings.md); `lapiswing check FILE` tells all faults of a gateway's file."

    def __init__(self, faults):
        super().__init__("", "\n".join(map(str, faults)))
        self.faults, self.where = faults, faults[0].file if faults else ""


def find_field_lines(text):
    """-> {path: line} of every field in a text-format file, such as 'group[1].target_ms', found with protobuf's tokenizer.

    A parsed message doesn't keep line numbers, which the reports of faults need."""
    lines, parents, counts = {}, [""], [{}]
    tokenizer = text_format.Tokenizer(text.split("\n"))
    open_path = None
    try:
        while not tokenizer.AtEnd():
            token, line = tokenizer.token, tokenizer._line + 1
            if token in ("{", "<"):
                if open_path is not None:
                    parents.append(open_path)
                    counts.append({})
                open_path = None
            elif token in ("}", ">"):
                if len(parents) > 1:
                    parents.pop()
                    counts.pop()
                open_path = None
            elif re.fullmatch(r"[A-Za-z_]\w*", token) and open_path is None:
                index = counts[-1].get(token, 0)
                counts[-1][token] = index + 1
                path = f"{parents[-1]}.{token}" if parents[-1] else token
                lines[f"{path}[{index}]"] = line
                lines.setdefault(path, line)
                open_path = f"{path}[{index}]"
            elif token not in (":", ";", ","):
                open_path = None  # a value
            elif token == ":":
                tokenizer.NextToken()
                if not tokenizer.AtEnd() and tokenizer.token not in ("{", "<", "["):
                    open_path = None
                    tokenizer.NextToken()
                continue
            tokenizer.NextToken()
    except text_format.ParseError:
        pass  # parse() reports it
    return lines


def parse(text, file, message):
    """Fills `message` from `text`; -> (faults, lines of the fields). Reports every unknown field, not only the first."""
    faults, lines = [], find_field_lines(text)
    try:
        text_format.Parse(text, type(message)(), allow_unknown_field=True)
    except text_format.ParseError as problem:
        # Fields can't be looked up in text that doesn't parse: an unclosed block would contain all that follows it.
        return [Fault(file, problem.GetLine() or 1, "", re.sub(r"^\d+:\d+ : ", "", str(problem)))], lines
    for path, line in lines.items():
        if not path.endswith("]"):
            continue
        descriptor, names = message.DESCRIPTOR, re.sub(r"\[\d+\]", "", path).split(".")
        for i, name in enumerate(names):
            field = descriptor.fields_by_name.get(name) if descriptor is not None else None
            if field is None:
                if descriptor is not None and i == len(names) - 1:
                    faults.append(Fault(file, line, ".".join(names), "no such field"))
                break
            descriptor = field.message_type
    try:
        text_format.Parse(text, message)
    except text_format.ParseError as problem:
        reason = re.sub(r"^\d+:\d+ : ", "", str(problem))
        if not any("no such field" in fault.reason and fault.line == problem.GetLine() for fault in faults):
            faults.append(Fault(file, problem.GetLine() or 1, "", reason))
    return faults, lines


def load_text(text, file="settings"):
    """-> the gateway's Settings with defaults filled in. Raises SettingsError."""
    settings = pb.Settings()
    faults, lines = parse(text, file, settings)
    if faults:
        raise SettingsError(sorted(set(faults), key=lambda fault: fault.line))
    for name, values in DEFAULTS.items():
        fill_defaults(getattr(settings, name), values)
    for group in settings.group:
        fill_defaults(group, GROUP_DEFAULTS)
    if not settings.boxes_poll_ms:
        settings.boxes_poll_ms = 250
    faults = [Fault(file, line_for(lines, field), field, reason) for field, reason in gateway_faults(settings)]
    if faults:
        raise SettingsError(faults)
    return settings


AGENT_DEFAULTS = {
    "listen": {"host": "0.0.0.0", "port": 9100},
    "control": {"host": "127.0.0.1", "port": 9101},
    "log": {"level": "info", "format": "text"},
}
AGENT_TOP_LEVEL_DEFAULTS = {"memory_bytes": 4 << 30, "chunk_bytes": 1 << 20, "cold_ms": 12000}


def load_agent(text, file="settings"):
    """-> a transfer agent's settings with defaults filled in. Raises SettingsError."""
    settings = pb.TransferAgent()
    faults, lines = parse(text, file, settings)
    if not faults:
        for name, values in AGENT_DEFAULTS.items():
            fill_defaults(getattr(settings, name), values)
        fill_defaults(settings, AGENT_TOP_LEVEL_DEFAULTS)
        faults = [Fault(file, line_for(lines, field), field, reason) for field, reason in agent_faults(settings)]
    if faults:
        raise SettingsError(sorted(set(faults), key=lambda fault: fault.line))
    return settings


def agent_faults(settings):
    """Yields (field, reason) for transfer agent settings that parse but can't be used."""
    if not settings.name:
        yield "name", "is missing"
    if not settings.folder:
        yield "folder", "is missing"
    for name in ("listen", "control"):
        if getattr(settings, name).port > 65535:
            yield f"{name}.port", f"{getattr(settings, name).port} is not a port"
    if not settings.control.host.startswith("127.") and settings.control.host not in ("::1", "localhost"):
        yield "control.host", f"{settings.control.host!r} is not loopback: whoever reaches it can fetch and delete states"
    if not 4096 <= settings.chunk_bytes <= 4 << 20:
        yield "chunk_bytes", "must be between 4 KiB and 4 MiB"
    if settings.memory_bytes < settings.chunk_bytes:
        yield "memory_bytes", "is less than one chunk"
    yield from key_faults("key", settings.key, " (`lapiswing keys transfer` makes one)")
    if settings.HasField("tls"):
        for name in ("certificate_file", "key_file", "authority_file"):
            if not getattr(settings.tls, name):
                yield f"tls.{name}", "is missing"
    elif not settings.key and not settings.listen.host.startswith("127."):
        yield "key", "with neither key nor tls everybody on the network can fetch states: set at least one"
    yield from log_faults(settings.log)


def fill_defaults(message, values):
    """Sets the fields of `message` that are unset or zero to the values given by name."""
    for name, value in values.items():
        if not getattr(message, name):
            setattr(message, name, value)


def line_for(lines, field):
    """-> the line of a field, else of its nearest enclosing message that is in the text, else 1."""
    while field:
        for path in (field, field + "[0]"):
            if path in lines:
                return lines[path]
        field = field.rpartition(".")[0]
    return 1


def gateway_faults(settings):
    """Yields (field, reason) for gateway settings that parse but can't be used."""
    if not settings.group:
        yield "group", "at least one group is needed"
    if not settings.kind:
        yield "kind", "at least one kind of server is needed"
    records = settings.dns.service or settings.dns.srv
    if not settings.box and not settings.boxes_file and not records:
        yield "box", "no box, no boxes_file and no dns.service or dns.srv"
    if records and not settings.dns.server:
        yield "dns.server", "is missing: dns.service and dns.srv need a name server"
    for i, server in enumerate(settings.dns.server):
        yield from address_faults(f"dns.server[{i}]", server)
    for field in ("service", "srv"):
        for i, name in enumerate(getattr(settings.dns, field)):
            try:
                question(name, "SRV", 0)
            except ValueError as problem:
                yield f"dns.{field}[{i}]", f"is not a DNS name: {problem}"
    if settings.dns.kind and settings.dns.kind not in [kind.name for kind in settings.kind]:
        yield "dns.kind", f"{settings.dns.kind!r} is not the name of a kind"
    if settings.listen.port > 65535:
        yield "listen.port", f"{settings.listen.port} is not a port"
    if settings.gateway.index >= settings.gateway.gateways:
        yield "gateway.index", f"{settings.gateway.index} is not below gateways ({settings.gateway.gateways})"
    if not 0 < settings.rules.cold_from <= 1:
        yield "rules.cold_from", "must be above 0 and at most 1"
    if settings.rules.fall_multiple <= 1:
        yield "rules.fall_multiple", "must be above 1"
    if settings.limits.max_forwards < 2:
        yield "limits.max_forwards", "must be at least 2: a request needs a read and a write"
    yield from log_faults(settings.log)
    if settings.mapping.load_memory in ("queue", "inflight", "draining"):
        yield "mapping.load_memory", f"{settings.mapping.load_memory!r} already has another meaning in x-load"
    if settings.mapping.load_memory and not re.fullmatch(r"[A-Za-z_][\w.-]{0,63}", settings.mapping.load_memory):
        yield "mapping.load_memory", f"{settings.mapping.load_memory!r} can't be the name of a figure in x-load"
    if settings.mapping.bytes_per_token <= 0:
        yield "mapping.bytes_per_token", "must be above 0"
    seen = {}
    for i, group in enumerate(settings.group):
        path = f"group[{i}]"
        if not group.name:
            yield f"{path}.name", "is missing"
        if group.name in seen:
            yield f"{path}.name", f"{group.name!r} is used twice"
        seen[group.name] = i
        if group.effect == pb.EFFECT_UNSET:
            yield f"{path}.effect", "must be REPLAYABLE, KEYED or NON_REPLAYABLE: whether a request may run again has no default"
        if group.resume and group.effect != pb.REPLAYABLE:
            yield f"{path}.resume", "only the streams of a REPLAYABLE group can be resumed on another server"
        if group.deadline_ms <= settings.limits.margin_ms * 2:
            yield f"{path}.deadline_ms", "must be more than twice limits.margin_ms"
    models = [model for group in settings.group for model in group.model]
    for i, group in enumerate(settings.group):
        for model in group.model:
            if models.count(model) > 1 and not group.header_value:
                yield f"group[{i}].model", f"{model!r} belongs to more than one group and no header_value tells them apart"
    keys = [key for tenant in settings.tenant for key in tenant.api_key]
    for i, tenant in enumerate(settings.tenant):
        if not tenant.api_key:
            yield f"tenant[{i}].api_key", "is missing: a tenant is recognised by its key"
        for key in tenant.api_key:
            if keys.count(key) > 1:
                yield f"tenant[{i}].api_key", "a key is used twice"
    kinds = [kind.name for kind in settings.kind]
    for i, kind in enumerate(settings.kind):
        if kind.role == pb.ROLE_UNSET:
            yield f"kind[{i}].role", "must be READ, WRITE or BOTH"
        if not kind.memory_tokens:
            yield f"kind[{i}].memory_tokens", "is missing"
        if kinds.count(kind.name) > 1:
            yield f"kind[{i}].name", f"{kind.name!r} is used twice"
    if settings.admin.port:
        if not settings.admin.key and not settings.admin.control_key:
            yield "admin.key", "is missing: a port without a key is open to everybody who reaches it"
        if settings.admin.port > 65535 or settings.admin.port == settings.listen.port:
            yield "admin.port", f"{settings.admin.port} is above 65535 or the same as listen.port"
    if not 65536 <= settings.store.segment_bytes <= 1 << 30:
        yield "store.segment_bytes", "must be between 64 KiB and 1 GiB"
    for name in ("key", "control_key"):
        yield from key_faults(f"admin.{name}", getattr(settings.admin, name))
    if settings.admin.path and settings.admin.path == settings.admin.control_path:
        yield "admin.control_path", "is the same as path: whoever may read could also act"
    for i, key in enumerate(settings.sessions.token_key):
        try:
            Fernet(key)
        except ValueError:
            yield f"sessions.token_key[{i}]", "is not a key: 32 bytes in URL-safe base64 (`lapiswing keys session`)"
    if settings.HasField("fleet"):
        yield from fleet_faults(settings)
    yield from server_entry_faults(settings.box, kinds)


def fleet_faults(settings):
    """Yields (field, reason) for the settings of a fleet of gateways."""
    fleet = settings.fleet
    if not fleet.listen.host or not 0 < fleet.listen.port < 65536:
        yield "fleet.listen", "needs a host and a port"
    elif fleet.listen.port == settings.listen.port:
        yield "fleet.listen.port", f"{fleet.listen.port} is the port of the chat API (listen.port)"
    if fleet.address:
        yield from address_faults("fleet.address", fleet.address)
    elif fleet.listen.host in ("0.0.0.0", "::"):
        yield "fleet.address", "is missing: a wildcard fleet.listen.host is no address that other gateways can connect to"
    for i, peer in enumerate(fleet.peer):
        yield from address_faults(f"fleet.peer[{i}]", peer)
    if not fleet.key:
        yield "fleet.key", "is missing: without it anybody could pose as a gateway of the fleet"
    yield from key_faults("fleet.key", fleet.key)
    if not settings.gateway.name or "#" in settings.gateway.name or len(settings.gateway.name) > 40:
        yield "gateway.name", "a gateway of a fleet needs a name of its own, of at most 40 characters and without #"


def key_faults(field, keys, hint=""):
    """Yields (field, reason) for keys that are too short."""
    for i, key in enumerate(keys):
        if len(key) < 16:
            yield f"{field}[{i}]", f"is shorter than 16 characters{hint}"


def log_faults(log):
    """Yields (field, reason) for the settings of logs."""
    if log.level not in ("debug", "info", "warning", "error"):
        yield "log.level", f"{log.level!r} is none of debug, info, warning, error"
    if log.format not in ("text", "json"):
        yield "log.format", f"{log.format!r} is neither text nor json"


def address_faults(field, text):
    """Yields (field, reason) for text that isn't host:port."""
    try:
        address_of(text)
    except ValueError as problem:
        yield field, str(problem)


def server_entry_faults(entries, kinds):
    """Yields (field, reason) for `box` entries; `kinds`: the names of the known kinds."""
    ids = [entry.id for entry in entries]
    for i, entry in enumerate(entries):
        yield from address_faults(f"box[{i}].id", entry.id)
        if ids.count(entry.id) > 1:
            yield f"box[{i}].id", f"{entry.id!r} is used twice"
        if entry.kind not in kinds:
            yield f"box[{i}].kind", f"{entry.kind!r} is none of {', '.join(kinds) or 'no kinds'}"


def load_boxes(text, file, kinds):
    """-> the `box` entries of a boxes_file. Raises SettingsError."""
    message = pb.Settings()
    faults, lines = parse(text, file, message)
    faults += [Fault(file, line_for(lines, field), field, reason) for field, reason in server_entry_faults(message.box, kinds)]
    if faults:
        raise SettingsError(faults)
    return list(message.box)


class Names:
    """Assigns numbers to names in the order of their first use: the Router identifies zones and cells by number."""

    def __init__(self):
        self.numbers = {}

    def __call__(self, name):
        return self.numbers.setdefault(name, len(self.numbers))


def boxes_of(entries, settings, zones, cells, unix_to_us):
    """-> rows for the Router from `box` entries. `unix_to_us` converts Unix milliseconds to the loop's time in us."""
    kinds = [kind.name for kind in settings.kind]
    return [
        Server(
            entry.id,
            zones(entry.zone),
            cells((entry.zone, entry.cell)),
            kinds.index(entry.kind),
            entry.size or 1.0,
            unix_to_us(entry.started_ms) if entry.started_ms else 0,
            MODES[entry.mode],
        )
        for entry in entries
    ]


def row_of_found(found, settings, zones, cells, unix_to_us):
    """-> the row for the Router from a server found in DNS records. Raises ValueError where no configured kind fits it."""
    kinds = [kind.name for kind in settings.kind]
    kind_name = found.kind or None
    if kind_name is None and found.role is not None:
        kind_name = next((kind.name for kind in settings.kind if ROLES[kind.role] == found.role), None)
        if kind_name is None:
            raise ValueError(f"no configured kind has the role {found.role}")
    kind_name = kind_name or settings.dns.kind or (kinds[0] if len(kinds) == 1 else None)
    if kind_name not in kinds:
        raise ValueError(
            f"kind {kind_name!r} is none of {', '.join(kinds)}" if kind_name else "its records give neither kind nor role"
        )
    return Server(
        found.id,
        zones(found.zone),
        cells((found.zone, found.cell)),
        kinds.index(kind_name),
        found.size,
        unix_to_us(found.gen_ms) if found.gen_ms else 0,
        "draining" if found.draining else "ready",
    )


def router_settings(settings, zones):
    """-> the `settings` argument of `Router(seed, settings, now_us)`. `zones` numbers the names of zones."""
    request_classes = [
        RequestClass(
            group.name,
            EFFECTS[group.effect],
            SCOPES[group.repeat_scope],
            group.repeat_window_ms * US_PER_MS,
            group.target_ms * US_PER_MS,
            group.target_per_1000_ms * US_PER_MS,
            group.token_target_ms * US_PER_MS,
            group.importance,
            group.late_importance,
        )
        for group in settings.group
    ]
    return {
        "balancers": settings.gateway.gateways,
        "me": settings.gateway.index,
        "az": zones(settings.gateway.zone),
        "resolution_us": settings.limits.margin_ms * US_PER_MS,
        "groups": request_classes,
        "tenants": [{"name": tenant.name, "quota_rps": tenant.quota_rps or 1e9} for tenant in settings.tenant],
        "membership_mode": "automatic",
        "kinds": [kind.name for kind in settings.kind],
        "limits": {
            "max_attempts": settings.limits.max_forwards,
            "retry_after": True,
            "cancel": not settings.limits.keep_forwards,
            "max_retry_after_us": settings.limits.max_come_back_ms * US_PER_MS,
        },
        "rules": {
            "cold_from": settings.rules.cold_from,
            "ramp_time_us": settings.rules.ramp_ms * US_PER_MS,
            "fall_multiple": settings.rules.fall_multiple,
            "overload_for_us": settings.rules.overload_ms * US_PER_MS,
        },
        "penalties": {"cross_zone": settings.prices.cross_zone},
        "family_info": {
            "duty_by_kind": [ROLES[kind.role] for kind in settings.kind],
            "far_price": settings.prices.far,
            "kind_memory_tokens": [kind.memory_tokens for kind in settings.kind],
            "let_go_by_us": settings.rules.let_go_ms * US_PER_MS,
        },
    }
