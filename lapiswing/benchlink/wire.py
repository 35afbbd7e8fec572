"""Translates between the simulator's line protocol and the Router: names and units, nothing else. One process serves any number
of gateways, each with a Router of its own."""

import sys
import traceback

import orjson

from lapiswing.interface import Server
from lapiswing.policy import Router
from lapiswing.translation import report, settings_of, us

CODES = {"ok": "done", "half_done": "read", "timeout": "timed_out", "connect_failed": "unreachable"}


class Malformed(Exception):
    """Input that does not follow the protocol; the text names the line and the field."""


def unchanged(value):
    return value


def to_int(value):
    return None if value is None else int(value)


def outcome_code(name):
    return CODES.get(name, name)


def is_held(kind):
    return kind == 1


# message -> (router event, (field, translation, whether it may be missing)...)
EVENTS = {
    "Call": (
        "req",
        ("Req", unchanged, False),
        ("PromptLen", to_int, False),
        ("ExpiresMs", us, False),
        ("Dialogue", unchanged, True),
        ("SharedPrefix", unchanged, True),
        ("NPrefix", to_int, True),
        ("MaxTokens", to_int, True),
        ("EstimateMs", us, True),
        ("StateBits", to_int, True),
        ("ClientGroup", to_int, True),
        ("Kind", to_int, False),
    ),
    "First": ("first", ("Req", unchanged, False), ("Server", unchanged, False), ("LatencyMs", us, False), ("Try", to_int, False)),
    "Verdict": (
        "outcome",
        ("Req", unchanged, False),
        ("Try", to_int, False),
        ("Server", unchanged, False),
        ("Code", outcome_code, False),
        ("LatencyMs", us, True),
        ("Ended", bool, True),
        ("Remark", to_int, True),
        ("ServerStats", report, True),
    ),
    "Note": ("place", ("Req", unchanged, False), ("Server", unchanged, False), ("Try", to_int, True), ("Kind", is_held, False)),
    "ClientLeft": ("client_left", ("Req", unchanged, False)),
    "Ring": ("timer", ("Nonce", unchanged, False)),
    "StatusBack": (
        "probed",
        ("Server", unchanged, False),
        ("Code", outcome_code, False),
        ("LatencyMs", us, True),
        ("ServerStats", report, True),
    ),
    "NoteFrom": ("peer", ("Sender", unchanged, False), ("Msg", bytes.fromhex, False)),
}


def fields(message, wanted):
    """Yields the translated values of the wanted fields."""
    for name, translate, optional in wanted:
        value = message.get(name)
        if value is None and not optional:
            raise Malformed(f"field {name} is missing in {message.get('t')}")
        try:
            yield translate(value)
        except (TypeError, ValueError):
            raise Malformed(f"field {name} of {message.get('t')} can't be read: {value!r}") from None


def server_of(row):
    """A row of Ledger as a Server."""
    for name in ("Server", "Mode"):
        if row.get(name) is None:
            raise Malformed(f"field {name} is missing in a row of Ledger")
    return Server(
        row["Server"],
        row.get("Dc") or 0,
        row.get("Cell") or 0,
        row.get("Machine") or 0,
        row.get("Heft") or 1.0,
        us(row.get("ReadyAtMs") or 0),
        row["Mode"],
    )


class WireWriter:
    """The Writer of one gateway; each call is one line of the reply."""

    def __init__(self, gateway, lines):
        self.gateway, self.lines = gateway, lines

    def put(self, name, **args):
        self.lines.append(orjson.dumps({"t": name, "GatewayId": self.gateway, **args}))

    def forward(self, req, server, timeout_us, _connect_us):
        self.put("Forward", Req=req, Server=server, GiveUpAfterMs=timeout_us / 1000)

    def hold_place(self, req, server):
        self.put("HoldPlace", Req=req, Server=server)

    def release(self, req):
        self.put("Release", Req=req)

    release_unclaimed = release  # the simulator never drops a state that an attempt waits for

    def retract(self, req, attempt_no):
        self.put("Retract", Req=req, Try=attempt_no)

    def move(self, req):
        self.put("Move", Req=req)

    def push_back(self, req, retry_after_us):
        self.put("SayNo", Req=req, RetryInMs=retry_after_us / 1000)

    def abort(self, req):
        self.put("ReportFailure", Req=req)

    def timer(self, after_us, token):
        self.put("Defer", AfterMs=after_us / 1000, Nonce=token)

    def probe(self, server):
        self.put("Poll", Server=server)

    def close(self, server):
        self.put("Disconnect", Server=server)

    def tell(self, peer, payload):
        self.put("Tell", Target=peer, Msg=payload.hex())

    def watch(self, active):
        self.put("Watch", Active=active)

    def get_list(self):
        self.put("GetList")

    def log(self, text):
        self.put("Print", Msg=text)


def serve(source, sink):
    """Reads messages line by line; each OverToYou runs one round of every gateway with new events and writes the actions."""
    routers, lists, events = {}, {}, {}
    now_us = line_no = 0
    for line in source:
        line_no += 1
        try:
            message = orjson.loads(line)
            name = message["t"]
            if name == "Tick":
                (now_us,) = fields(message, (("TimeMs", us, False),))
                events = {}
                continue
            if name == "OverToYou":
                sink.write(reply(now_us, routers, events))
                sink.flush()
                continue
            if name == "Ledger":
                list_id, rows = fields(message, (("SetId", unchanged, False), ("RowsIn", list, False)))
                lists[list_id] = [server_of(row) for row in rows]
                continue
            (gateway,) = fields(message, (("GatewayId", unchanged, False),))
            if name == "Hello":
                seed, raw = fields(message, (("Prng", int, False), ("Settings", dict, False)))
                routers[gateway], events[gateway] = Router(seed, settings_of(raw), now_us), []
                continue
            if gateway not in routers:
                raise Malformed(f"field GatewayId of {name} names no gateway: {gateway!r}")
            if name == "CrashNow":
                del routers[gateway]
                events.pop(gateway, None)
            elif name == "DirectoryUpdate":
                (kind,) = fields(message, (("Kind", unchanged, False),))
                rows = lists.get(message.get("SetId"), []) if kind != "unavailable" else []
                events.setdefault(gateway, []).append(("servers", kind, rows))
            elif name in EVENTS:
                event, *wanted = EVENTS[name]
                events.setdefault(gateway, []).append((event, *fields(message, wanted)))
            else:
                raise Malformed(f"unknown message {name!r}")
        except Malformed as problem:
            raise Malformed(f"line {line_no}: {problem}") from None
        except orjson.JSONDecodeError as problem:
            raise Malformed(f"line {line_no}: not JSON: {problem}") from None
        except (KeyError, TypeError, AttributeError) as problem:
            raise Malformed(f"line {line_no}: not a message of the protocol (field {problem})") from None


def reply(now_us, routers, events):
    """The lines of one round of all gateways with events."""
    lines = []
    for gateway, of_gateway in events.items():
        out = WireWriter(gateway, lines)
        try:
            routers[gateway].round(now_us, of_gateway, out)
        except Exception as problem:
            traceback.print_exc(file=sys.stderr)
            out.put("Broken", Msg=f"{type(problem).__name__}: {problem}".replace("\n", " "))
            break
    lines.append(b'{"t":"Finished"}\n')
    return b"\n".join(lines)
