"""Test harness for the platform adapter: a gateway and stand-ins for the platform on one loop, and raw HTTP clients."""

import json
import re
import socket

from lapiswing.loop import Clock, Loop, free_ports
from lapiswing.node.serve import Node
from lapiswing.standin.platform import Platform

BODY = json.dumps({"model": "chat", "stream": True, "messages": [{"role": "user", "content": "x" * 400}]}).encode()
SETTINGS = {
    "Az": 0,
    "Balancers": 1,
    "Callers": {"MarksRetry": True},
    "Classes": [
        {
            "DeadlineMs": 4000.0,
            "Effect": "retryable",
            "Group": "all",
            "LateWorth": 0.3,
            "MemorySpanMs": 5000.0,
            "Name": "chat",
            "OnTimeMs": 1200.0,
            "Stream": True,
            "Value": 1.0,
        }
    ],
    "Family": "twostage",
    "FamilyInfo": {
        "AimUsPer1000PromptTokens": [40000.0],
        "DutyByKind": ["read", "write", "both"],
        "FarPrice": 0.04,
        "KindMemoryTokens": [264519, 156363, 200139],
        "LetGoByMs": 500.0,
        "MayReserve": True,
        "ReadInPlace": False,
        "Resume": False,
        "TokenAimMs": [60.0],
    },
    "Kinds": ["read", "write", "both"],
    "Limits": {
        "Cancel": True,
        "ConnIdleMs": 15000.0,
        "ConnectTimeoutMs": 250.0,
        "CpuUsPerS": 500000,
        "MaxAttempts": 6,
        "MaxRetryAfterMs": 1000.0,
        "RetryAfter": True,
        "SecondCopies": True,
        "Probes": True,
    },
    "Me": 0,
    "MembershipMode": "automatic",
    "Penalties": {"CrossZone": 0.02},
    "Report": {"How": "inline", "Names": ["inflight", "queue", "x0", "x1"]},
    "ResolutionMs": 4.0,
    "Rules": {
        "AnswerSlackMs": 16.0,
        "ColdFrom": 0.25,
        "FallMultiple": 2.5,
        "OverloadForMs": 1000.0,
        "RampTimeMs": 12000.0,
        "StopSendingWithinMs": 1000.0,
    },
    "Tenants": [],
    "Zones": ["a", "b"],
}


OWN_BYTES = 0  # the gateway is part of the test's process, whose memory says nothing about it


class RecordingLog:
    """A log that collects (event, fields)."""

    def __init__(self):
        self.lines = []

    def info(self, event, **fields):
        self.lines.append((event, fields))

    warning = error = info


class PlatformHarness:
    """A gateway, its model servers and discovery. Use: `with PlatformHarness(folder, roles) as harness`."""

    def __init__(self, folder, roles=("read", "write", "write"), sockets=256, loop=None, known=True, log=None, settings=SETTINGS):
        self.loop = loop or Loop(Clock())
        self.platform = Platform(self.loop, roles)
        self.path = folder / "config.json"
        (self.port,) = free_ports(1)
        self.config = {
            "name": "n0",
            "listen": f"127.0.0.1:{self.port}",
            "discovery": self.platform.discovery.address,
            "seed": "0a5b",
            "limits": {"cores": 0.5, "memory_mb": 64, "sockets": sockets},
            "known": self.platform.discovery.whole() if known else None,
            "settings": settings,
        }
        self.path.write_text(json.dumps(self.config))
        self.log = log or RecordingLog()
        self.node = Node(str(self.path), self.log, self.loop, own_bytes=lambda: OWN_BYTES)
        self.node.start()
        self.core = self.node.core
        assert self.loop.run_until(lambda: self.node.server_list.rows)

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.node.close()
        self.platform.close()
        self.loop.close()

    def until(self, done, max_us=8_000_000):
        """Runs the loop until `done()` is true; fails after `max_us`."""
        assert self.loop.run_until(done, max_us), "the condition did not become true in time"

    def client(self, data=b""):
        """-> a new connection to the gateway."""
        return Client(self, data)

    def ask(self, rid, body=BODY, **fields):
        """-> a new connection on which one request has been sent."""
        return self.client(head(rid, body, **fields) + body)

    def wait_ready(self):
        """Waits until the gateway reports that clients may be sent to it, as a front does before the first request."""
        request = b"GET /-/ready HTTP/1.1\r\nHost: app.svc\r\nConnection: close\r\n\r\n"
        self.until(lambda: self.client(request).wait_answer().status == 200)

    def record_deadlines(self):
        """-> a list to which (deadline in s, time of arrival in us) of each attempt is added from now on."""
        deadlines = []

        def record(exchange):
            if exchange.method == b"POST":
                deadlines.append((float(exchange.header(b"req-deadline")), self.loop.clock.now_us()))

        for server in self.platform.servers.values():
            server.fault = record
        return deadlines

    def wait_settled(self):
        """Waits until no request and no release is open, and checks that servers hold no state."""
        self.until(lambda: not self.core.reqs and not self.node.servers.releasing)
        assert not any(s.states for s in self.platform.servers.values())


def head(rid, body=BODY, path="/v1/chat/completions", method="POST", **fields):
    """-> the bytes of a request head; keyword arguments replace header fields, None removes one."""
    headers = {
        "Req-Id": rid,
        "Req-Kind": "chat",
        "Req-Key": "k1",
        "Req-Deadline": "3.000",
        "Req-Extra": "prefix=p1,prompt_len=100,prefix_len=40,max_out=50",
        "Content-Length": str(len(body)),
    }
    headers |= {k.replace("_", "-"): v for k, v in fields.items()}
    lines = "".join(f"{k}: {v}\r\n" for k, v in headers.items() if v is not None)
    return f"{method} {path} HTTP/1.1\r\nHost: app.svc\r\n{lines}\r\n".encode()


class Client:
    """A client's connection to the gateway, driven by the test."""

    def __init__(self, harness, data=b""):
        self.harness, self.got, self.closed = harness, b"", False
        self.sock = socket.create_connection(("127.0.0.1", harness.port))
        self.sock.setblocking(False)
        if data:
            self.send(data)

    def send(self, data):
        self.sock.setblocking(True)
        self.sock.sendall(data)
        self.sock.setblocking(False)

    def send_in_turns(self, data):
        """Sends more than the kernel takes at once, while the gateway, which runs in this thread, reads it."""
        unsent = memoryview(data)
        while unsent:
            try:
                unsent = unsent[self.sock.send(unsent) :]
            except BlockingIOError:
                self.harness.loop.turn(1000)

    def receive(self):
        """-> everything received so far."""
        try:
            while not self.closed:
                data = self.sock.recv(65536)
                self.got += data
                self.closed = not data
        except BlockingIOError:
            pass
        except OSError:
            self.closed = True
        return self.got

    @property
    def status(self):
        self.receive()
        return int(self.got[9:12]) if len(self.got) > 12 else None

    def statuses(self):
        """-> the statuses of all answers that have begun."""
        return [int(status) for status in re.findall(rb"HTTP/1\.1 (\d{3})", self.receive())]

    def ended(self):
        """Whether a complete answer has been received or the connection has ended."""
        got = self.receive()
        head_bytes, _, body = got.partition(b"\r\n\r\n")
        if self.closed:
            return True
        if b"chunked" in head_bytes:
            return body.endswith(b"0\r\n\r\n")
        length = head_bytes.lower().partition(b"content-length: ")[2].split(b"\r\n")[0]
        return bool(length) and len(body) >= int(length)

    def wait_answer(self):
        """Runs the loop until the answer is complete. -> self"""
        self.harness.until(self.ended)
        return self

    @property
    def body(self):
        """The decoded chunked body."""
        rest, out = self.receive().partition(b"\r\n\r\n")[2], b""
        while rest:
            size, _, rest = rest.partition(b"\r\n")
            out, rest = out + rest[: int(size, 16)], rest[int(size, 16) + 2 :]
        return out

    @property
    def truncated(self):
        """Whether the answer ended without its last chunk."""
        return not self.receive().endswith(b"0\r\n\r\n")

    def close(self):
        self.sock.close()
