"""Helper of the whole-path tests: a gateway and stand-ins on one loop, and the client side of a socket."""

import socket
import struct
import time

import orjson

from lapiswing.gateway.serve import Gateway
from lapiswing.loop import Clock, Loop, free_ports
from lapiswing.observe import start_logs
from lapiswing.settings import load_text
from lapiswing.standin import BoxSpec, Fleet

SETTINGS = """
gateway {{ name: "t" seed: 7 drain_limit_ms: 3000 }}
listen {{ port: 0 {listen} }}
group {{ name: "question" model: "question" effect: REPLAYABLE target_ms: 1000 deadline_ms: 4000 resume: {resume} }}
group {{ name: "order" model: "order" effect: KEYED repeat_scope: {scope} repeat_window_ms: 5000 target_ms: 1000
        deadline_ms: 4000 }}
group {{ name: "pay" model: "pay" effect: NON_REPLAYABLE target_ms: 1000 deadline_ms: 4000 }}
tenant {{ name: "demo" api_key: "demo" }}
tenant {{ name: "other" api_key: "other" }}
kind {{ name: "rd" role: READ memory_tokens: 200000 }}
kind {{ name: "wr" role: WRITE memory_tokens: 200000 }}
kind {{ name: "mx" role: BOTH memory_tokens: 200000 }}
log {{ level: "error" }}
{more}
"""
KIND = {"read": "rd", "write": "wr", "both": "mx"}


class GatewaySite:
    """`with GatewaySite(roles) as place`: `place.port` is the gateway's. Times of boxes are short, so tests are quick."""

    def __init__(
        self,
        roles=("read", "write", "write"),
        more="",
        resume="true",
        scope="ALL",
        loop=None,
        listen="",
        listed=True,
        ports=None,
        **box,
    ):
        self.loop = loop or Loop(Clock())
        self.ids = [f"127.0.0.1:{port}" for port in ports or free_ports(len(roles))]
        quick = {"step_ms": 3.0, "read_per_s": 100000.0} | box
        zones = [chr(97 + i) for i in range(len(roles))]
        self.specs = [BoxSpec(i, role, zone=z, cell=z, **quick) for i, role, z in zip(self.ids, roles, zones)]
        self.fleet = Fleet(self.loop, self.specs, models={"order": {"scope": scope.lower(), "window_ms": 5000}})
        self.fleet.start()
        boxes = "".join(
            f'box {{ id: "{s.id}" kind: "{KIND[s.role]}" zone: "{s.zone}" cell: "{s.cell}" }}\n' for s in self.specs if listed
        )
        settings = load_text(SETTINGS.format(more=more + boxes, resume=resume, scope=scope, listen=listen))
        # port 0 means the default to the checked settings; a test wants a free one
        settings.listen.port = free_ports(1)[0]
        self.gateway = Gateway(settings, start_logs("error"), self.loop)
        self.gateway.start()
        self.port, self.core = self.gateway.port, self.gateway.core

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.gateway.close()
        self.fleet.close()
        self.loop.close()

    def box(self, i):
        return self.fleet.boxes[self.ids[i]]

    def until(self, done, most_s=8):
        assert self.loop.run_until(done, most_s * 1_000_000), "did not happen in time"

    def rows(self, ev, **fields):
        return [r for r in self.fleet.record.rows if r["ev"] == ev and all(r.get(k) == v for k, v in fields.items())]

    def turn_for(self, ms):
        end = time.monotonic() + ms / 1000
        while time.monotonic() < end:
            self.loop.turn(5000)


class RawClient:
    """A client's bare socket beside the loop."""

    def __init__(self, place, data=b"", small=False):
        self.place, self.got, self.ended, self.broken = place, b"", False, False
        self.sock = socket.socket()
        if small:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2048)
        self.sock.settimeout(5)  # the loop doesn't turn meanwhile, so a full backlog would wait for ever
        self.sock.connect(("127.0.0.1", place.port))
        self.sock.setblocking(False)
        if data:
            self.sock.sendall(data)

    def read(self, most=1 << 20):
        try:
            part = self.sock.recv(most)
            self.got += part
            self.ended = self.ended or not part
        except BlockingIOError:
            pass
        except OSError:
            self.ended = self.broken = True
        return self.got

    def until(self, done=None, most_s=8):
        """Reads until `done(bytes)` holds, or to the end of the connection."""
        self.place.until(lambda: (self.read() is not None) and (done(self.got) if done else self.ended), most_s)
        return self.got

    def left(self):
        """Goes without a word, as by a reset."""
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.sock.close()


class ResponseCollector:
    """Handler of a request on `http1.Pool` whose answer is taken whole: `done((status, body))`, or `done((None, stage))`."""

    def __init__(self, done):
        self.done, self.status, self.parts = done, None, []

    def on_head(self, status, fields):
        self.status = status

    def on_body(self, data):
        self.parts.append(data)

    def on_end(self):
        self.done((self.status, b"".join(self.parts)))

    def on_fail(self, stage, why):
        self.done((None, stage))


def post(body, close=True, **headers):
    """The bytes of a chat call."""
    data = body if isinstance(body, bytes) else orjson.dumps(body)
    lines = ["POST /v1/chat/completions HTTP/1.1", "Host: x", "Authorization: Bearer demo", f"Content-Length: {len(data)}"]
    lines += [f"{k.replace('_', '-')}: {v}" for k, v in headers.items()] + (["Connection: close"] if close else [])
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + data


def chat(model="question", text="soup?", lab="a", stream=True, tokens=20, **more):
    return {
        "model": model,
        "stream": stream,
        "messages": [{"role": "user", "content": text}],
        "metadata": {"lab": lab, "answer_tokens": str(tokens)},
        **more,
    }


def words(got):
    """The text of a streamed answer as it came over the socket."""
    out = []
    for line in got.split(b"\n"):
        if line.startswith(b"data: {"):
            for choice in orjson.loads(line[6:]).get("choices") or ():
                out.append((choice.get("delta") or {}).get("content") or "")
    return "".join(out)


def status(got):
    return int(got[9:12])
