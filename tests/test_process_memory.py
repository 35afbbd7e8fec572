"""A gateway process stays within its memory while hundreds of clients stop, or go slowly, at the worst moment."""

import json
import socket

import pytest
from gateway_process import GatewayProgram
from platform_harness import BODY, PlatformHarness, head

MS, S = 1000, 1_000_000  # in microseconds
CLIENTS, SOCKETS = 250, 512
FREE_MB = 14  # between what the program takes for itself and its limit
USUAL_EVERY_US = 100 * MS
LARGE_BODY = json.dumps({"messages": [{"role": "user", "content": "x" * 250_000}]}).encode()
MANY_FIELDS = "".join(f"{number:x}:\r\n" for number in range(110)).encode()
SLOW_BYTES = 2000  # of one write of a slow client


def half_a_request(number):
    return head(f"c{number}", LARGE_BODY) + LARGE_BODY[: len(LARGE_BODY) * 4 // 5]


def whole_request(number):
    return head(f"c{number}", LARGE_BODY, Req_Deadline="5.000") + LARGE_BODY


def many_short_fields(number):
    return head(f"c{number}", LARGE_BODY).removesuffix(b"\r\n") + MANY_FIELDS + b"\r\nx"


def much_behind_an_open_request(number):
    return head(f"c{number}", Req_Deadline="5.000") + BODY + whole_request(f"{number}b")


def usual_request(number):
    return head(f"c{number}", Req_Deadline="5.000") + BODY


class Crowd:
    """Clients that send something each, at most `piece` bytes at a time."""

    def __init__(self, harness, request, piece):
        self.harness, self.piece, self.unsent = harness, piece, {}
        for number in range(CLIENTS):
            sock = socket.socket()
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2048)
            sock.setblocking(False)
            sock.connect_ex(("127.0.0.1", harness.port))
            self.unsent[sock] = memoryview(request(number))

    def send_some(self):
        for sock, rest in self.unsent.items():
            try:
                self.unsent[sock] = rest[sock.send(rest[: self.piece]) :] if rest else rest
            except BlockingIOError:
                pass
            except OSError:
                self.unsent[sock] = b""

    def close(self):
        for sock in self.unsent:
            sock.close()


def hang(exchange):
    return exchange.method == b"POST" and (exchange.header(b"req-id") or b"").startswith(b"c")


def write_a_long_answer(exchange):
    if not hang(exchange):
        return False
    event = b'data: {"choices":[{"index":0,"delta":{"content":"%b"},"finish_reason":null}]}\n\n' % (b"y" * 700)
    exchange.begin(200, [])
    for _ in range(300):
        exchange.send(event)
    return True


CASES = {
    "half a request": (half_a_request, 1 << 20, hang),
    "written slowly": (whole_request, SLOW_BYTES, None),
    "many short fields": (many_short_fields, 1 << 20, None),
    "open requests": (whole_request, 1 << 20, hang),
    "behind an open request": (much_behind_an_open_request, 1 << 20, hang),
    "long answers that nobody reads": (usual_request, 1 << 20, write_a_long_answer),
}
OVERLOADS = {"behind an open request", "long answers that nobody reads"}  # more open requests than connections to servers


def peak_memory_mb(folder, limit_mb, request, piece, fault, seconds):
    """-> (its peak, the statuses of usual requests sent meanwhile)."""
    folder.mkdir()
    with (
        PlatformHarness(folder, ("both",) * 4, sockets=4096) as harness,
        GatewayProgram(harness, folder, memory_mb=limit_mb, sockets=SOCKETS) as program,
    ):
        for server in harness.platform.servers.values():
            server.fault = fault
        if request is None:
            return program.memory_mb(), []
        crowd, usual = Crowd(harness, request, piece), []
        ask_at_us = end_us = harness.loop.clock.now_us()
        end_us += seconds * S
        while harness.loop.clock.now_us() < end_us:
            harness.loop.turn(2000)
            crowd.send_some()
            if harness.loop.clock.now_us() >= ask_at_us:
                ask_at_us += USUAL_EVERY_US
                usual.append(harness.ask(f"usual{len(usual)}"))
        harness.until(lambda: all(client.ended() for client in usual))
        crowd.close()
        assert program.process.poll() is None
        return program.memory_mb(), [client.status for client in usual]


@pytest.fixture(scope="module")
def own_mb(tmp_path_factory):
    """What a gateway without clients uses on this machine."""
    return peak_memory_mb(tmp_path_factory.mktemp("own") / "a", 512, None, 0, None, 0)[0]


@pytest.mark.parametrize("name", CASES)
def test_the_process_stays_within_its_memory_and_serves_usual_requests(tmp_path, own_mb, name):
    """Guards against shares of the whole limit, as if the program itself took nothing of it."""
    limit_mb = own_mb + FREE_MB
    request, piece, fault = CASES[name]
    peak_mb, statuses = peak_memory_mb(tmp_path / "a", limit_mb, request, piece, fault, 5)
    assert peak_mb < limit_mb
    assert set(statuses) <= {200, 503}
    if name not in OVERLOADS:
        assert statuses.count(200) > 0.9 * len(statuses), statuses
