"""Translates between the bench's wire and the decision module: names and units, nothing else."""

import sys
import traceback

import orjson

from lapiswing.interface import Server
from lapiswing.policy import Router
from lapiswing.translation import report, settings_of, us

CODES = {"ok": "done", "half_done": "read", "timeout": "timed_out", "connect_failed": "unreachable"}


class Malformed(Exception):
    """Input that is not the wire's; the text names the line and the field."""


def as_is(value):
    return value


def whole(value):
    return None if value is None else int(value)


def code(word):
    return CODES.get(word, word)


def held(kind):
    return kind == 1


# wire event -> (module event, (wire field, translation, may be missing)...)
EVENTS = {
    "Call": (
        "req",
        ("Req", as_is, False),
        ("PromptLen", whole, False),
        ("ExpiresMs", us, False),
        ("Dialogue", as_is, True),
        ("SharedPrefix", as_is, True),
        ("NPrefix", whole, True),
        ("MaxTokens", whole, True),
        ("EstimateMs", us, True),
        ("StateBits", whole, True),
        ("ClientGroup", whole, True),
        ("Kind", whole, False),
    ),
    "First": ("first", ("Req", as_is, False), ("Server", as_is, False), ("LatencyMs", us, False), ("Try", whole, False)),
    "Verdict": (
        "outcome",
        ("Req", as_is, False),
        ("Try", whole, False),
        ("Server", as_is, False),
        ("Code", code, False),
        ("LatencyMs", us, True),
        ("Ended", bool, True),
        ("Remark", whole, True),
        ("ServerStats", report, True),
    ),
    "Note": ("place", ("Req", as_is, False), ("Server", as_is, False), ("Try", whole, True), ("Kind", held, False)),
    "ClientLeft": ("client_left", ("Req", as_is, False)),
    "Ring": ("timer", ("Nonce", as_is, False)),
    "StatusBack": (
        "probed",
        ("Server", as_is, False),
        ("Code", code, False),
        ("LatencyMs", us, True),
        ("ServerStats", report, True),
    ),
    "NoteFrom": ("peer", ("Sender", as_is, False), ("Msg", bytes.fromhex, False)),
}


def fields(message, wanted):
    for name, translate, optional in wanted:
        value = message.get(name)
        if value is None and not optional:
            raise Malformed(f"field {name} is missing in {message.get('t')}")
        try:
            yield translate(value)
        except (TypeError, ValueError):
            raise Malformed(f"field {name} of {message.get('t')} can't be read: {value!r}") from None


def server_of(row):
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
    """The module's writer for one gateway; each call is one line of the reply."""

    def __init__(self, gateway, lines):
        self.gateway, self.lines = gateway, lines

    def put(self, name, **args):
        self.lines.append(orjson.dumps({"t": name, "GatewayId": self.gateway, **args}))

    def forward(self, req, server, timeout_us, _up_us):
        self.put("Forward", Req=req, Server=server, GiveUpAfterMs=timeout_us / 1000)

    def hold_place(self, req, server):
        self.put("HoldPlace", Req=req, Server=server)

    def release(self, req):
        self.put("Release", Req=req)

    release_unclaimed = release  # it never drops what an attempt waits for

    def retract(self, req, attempt_no):
        self.put("Retract", Req=req, Try=attempt_no)

    def move(self, req):
        self.put("Move", Req=req)

    def push_back(self, req, come_back_us):
        self.put("SayNo", Req=req, RetryInMs=come_back_us / 1000)

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
    routers, lists, news = {}, {}, {}
    now_us = line_no = 0
    for line in source:
        line_no += 1
        try:
            message = orjson.loads(line)
            name = message["t"]
            if name == "Tick":
                (now_us,) = fields(message, (("TimeMs", us, False),))
                news = {}
                continue
            if name == "OverToYou":
                sink.write(reply(now_us, routers, news))
                sink.flush()
                continue
            if name == "Ledger":
                number, rows = fields(message, (("SetId", as_is, False), ("RowsIn", list, False)))
                lists[number] = [server_of(row) for row in rows]
                continue
            (gateway,) = fields(message, (("GatewayId", as_is, False),))
            if name == "Hello":
                seed, raw = fields(message, (("Prng", int, False), ("Settings", dict, False)))
                routers[gateway], news[gateway] = Router(seed, settings_of(raw), now_us), []
                continue
            if gateway not in routers:
                raise Malformed(f"field GatewayId of {name} names no gateway: {gateway!r}")
            if name == "CrashNow":
                del routers[gateway]
                news.pop(gateway, None)
            elif name == "DirectoryUpdate":
                (kind,) = fields(message, (("Kind", as_is, False),))
                rows = lists.get(message.get("SetId"), []) if kind != "unavailable" else []
                news.setdefault(gateway, []).append(("servers", kind, rows))
            elif name in EVENTS:
                event, *wanted = EVENTS[name]
                news.setdefault(gateway, []).append((event, *fields(message, wanted)))
            else:
                raise Malformed(f"unknown message {name!r}")
        except Malformed as problem:
            raise Malformed(f"line {line_no}: {problem}") from None
        except orjson.JSONDecodeError as problem:
            raise Malformed(f"line {line_no}: not JSON: {problem}") from None
        except (KeyError, TypeError, AttributeError) as problem:
            raise Malformed(f"line {line_no}: not a message of the wire (field {problem})") from None


def reply(now_us, routers, news):
    lines = []
    for gateway, events in news.items():
        out = WireWriter(gateway, lines)
        try:
            routers[gateway].round(now_us, events, out)
        except Exception as problem:
            traceback.print_exc(file=sys.stderr)
            out.put("Broken", Msg=f"{type(problem).__name__}: {problem}".replace("\n", " "))
            break
    lines.append(b'{"t":"Finished"}\n')
    return b"\n".join(lines)
