"""How a stream that has begun comes to its end, by what its server sends or withholds: docs/endings.md has the whole table."""

import copy
from dataclasses import dataclass

import pytest
from gateway_process import GatewayProgram
from platform_harness import SETTINGS, PlatformHarness

from lapiswing.http1.client import READ_BYTES
from lapiswing.standin.platform import ModelServer

MS, S = 1000, 1_000_000  # in microseconds
CLIENT_WAIT_US = 5 * S  # the platform's limit after the last event
SOCKET_SLACK_US = 50 * MS
HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
EVENT = ModelServer.event(0)
DONE = b"data: [DONE]\n\n"
LAST_CHUNK = b"0\r\n\r\n"
HUGE_CHUNK = b"c0000000\r\n"


def chunk(data):
    return b"%x\r\n%b\r\n" % (len(data), data)


OPENING = CHUNKED + chunk(EVENT)


@dataclass
class Part:
    """Bytes that a server writes `after_us` the part before, `times` times."""

    data: bytes
    after_us: int = 0
    times: int = 1


SOON = 30 * MS
FOREVER = 40  # times half a second: longer than any test waits
HALF_S = 500 * MS
NOTHING_MORE = {
    "silence": [Part(OPENING)],
    "comments": [Part(OPENING), Part(chunk(b": ping\n\n"), HALF_S, FOREVER)],
    "load reports": [Part(OPENING), Part(chunk(b": Srv-Load: TEXT inflight=1\n\n"), HALF_S, FOREVER)],
    "empty lines": [Part(OPENING), Part(chunk(b"\n\n"), HALF_S, FOREVER)],
    "a huge chunk of comments": [Part(OPENING), Part(HUGE_CHUNK, SOON), Part(b": x\n\n", HALF_S, FOREVER)],
    "a huge chunk of empty lines": [Part(OPENING), Part(HUGE_CHUNK, SOON), Part(b"\n", HALF_S, FOREVER)],
    "a huge chunk of noise": [Part(OPENING), Part(HUGE_CHUNK, SOON), Part(b"x" * 100, HALF_S, FOREVER)],
    "a huge chunk of events": [Part(OPENING), Part(HUGE_CHUNK, SOON), Part(EVENT, HALF_S, FOREVER)],
    "a huge chunk at once": [Part(OPENING + HUGE_CHUNK), Part(EVENT, HALF_S, FOREVER)],
    "an event without end": [Part(OPENING + chunk(EVENT[:-3])), Part(chunk(b"x"), HALF_S, FOREVER)],
    "a chunk's extension without end": [Part(OPENING + b"5;"), Part(b"a", HALF_S, FOREVER)],
    "trailer fields without end": [Part(OPENING + chunk(DONE) + b"0\r\n"), Part(b"a: b\r\n", HALF_S, FOREVER)],
    "a huge length, and events": [Part(HEAD + b"Content-Length: 3000000000\r\n\r\n" + EVENT), Part(EVENT, HALF_S, FOREVER)],
    "a length, and comments": [Part(HEAD + b"Content-Length: 9000\r\n\r\n" + EVENT), Part(b": x\n\n", HALF_S, FOREVER)],
    "no length, and comments": [Part(HEAD + b"\r\n" + EVENT), Part(b": x\n\n", HALF_S, FOREVER)],
    "the end mark, and silence": [Part(OPENING + chunk(DONE))],
    "the end mark, and comments": [Part(OPENING + chunk(DONE)), Part(chunk(b": x\n\n"), HALF_S, FOREVER)],
    "the end mark, and events": [Part(OPENING + chunk(DONE)), Part(chunk(EVENT), HALF_S, FOREVER)],
    "two end marks and more": [Part(OPENING + chunk(DONE)), Part(chunk(DONE), HALF_S, FOREVER)],
}
# Requests without an effect that can be given another server get an answer before their first event; these must not be cut.
WRITTEN_SLOWLY = {
    "events far apart": [Part(OPENING), Part(chunk(EVENT), 4 * S), Part(chunk(DONE) + LAST_CHUNK, 100 * MS)],
    "a pause in a chunk": [
        Part(OPENING + b"%x\r\n%b" % (len(EVENT), EVENT[:20])),
        Part(EVENT[20:] + b"\r\n", 4 * S),
        Part(chunk(DONE) + LAST_CHUNK, 100 * MS),
    ],
    "a pause in a chunk's size": [
        Part(OPENING + b"%x" % len(EVENT)),
        Part(b"\r\n" + EVENT + b"\r\n", 4 * S),
        Part(chunk(DONE) + LAST_CHUNK, 100 * MS),
    ],
    "a pause before the last chunk": [Part(OPENING + chunk(DONE)), Part(LAST_CHUNK, 4 * S)],
    "comments between events": [Part(OPENING), Part(chunk(b": x\n\n"), 200 * MS, 20), Part(chunk(EVENT + DONE) + LAST_CHUNK)],
    "single empty lines": [
        Part(OPENING + chunk(b"\n")),
        Part(chunk(b"\n"), HALF_S, 3),
        Part(chunk(b"\n" + EVENT), HALF_S),
        Part(chunk(DONE) + LAST_CHUNK, SOON),
    ],
    "single bytes": [Part(OPENING), *[Part(bytes([b]), 20 * MS) for b in chunk(EVENT) + chunk(DONE) + LAST_CHUNK]],
    "a long answer in chunks of one byte": [
        Part(OPENING + b"".join(chunk(bytes([byte])) for byte in EVENT * 600)),
        Part(chunk(DONE) + LAST_CHUNK, SOON),
    ],
    "seven seconds in all": [Part(OPENING), Part(chunk(EVENT), S, 7), Part(chunk(DONE) + LAST_CHUNK)],
}


class ScriptedStream:
    """Writes the parts of a stream as an answer."""

    def __init__(self, loop, exchange, parts):
        self.loop, self.exchange = loop, exchange
        self.parts = [part for part in parts for _ in range(part.times)]
        self.sent_all = False
        self.send_next()

    def send_next(self):
        if self.exchange.over or self.exchange.conn.stream.closed:
            return
        part = self.parts.pop(0)
        self.exchange.write(part.data)
        self.sent_all = not self.parts
        if self.parts:
            self.loop.call_later(self.parts[0].after_us, self.send_next)


class Script:
    """Answers each request by the stream that its number names, and records how the clients' connections end."""

    def __init__(self, harness, streams):
        self.harness, self.streams, self.names = harness, streams, list(streams)
        self.clients, self.begun_us, self.ended_us = {}, {}, {}
        for server in harness.platform.servers.values():
            server.fault = self.answer

    def answer(self, exchange):
        if exchange.method != b"POST":
            return False
        name = self.names[int(exchange.header(b"req-id").rpartition(b"-")[2])]
        ScriptedStream(self.harness.loop, exchange, self.streams[name])
        return True

    def play(self, max_us):
        """Sends a request for each stream and waits for the ends of all, or for `max_us`."""
        self.sent_us = self.harness.loop.clock.now_us()
        for number, name in enumerate(self.names):
            self.clients[name] = self.harness.ask(f"stream-{number}")
        self.harness.loop.run_until(lambda: self.look() == len(self.names), max_us)

    def look(self):
        """Notes which streams have begun or ended. -> how many have ended."""
        now = self.harness.loop.clock.now_us()
        for name, client in self.clients.items():
            if EVENT in client.receive():
                self.begun_us.setdefault(name, now)
            if client.closed or client.got.endswith(LAST_CHUNK):
                self.ended_us.setdefault(name, now)
        return len(self.ended_us)


def settings_with(effect, cancel, resume):
    settings = copy.deepcopy(SETTINGS)
    settings["Classes"][0]["Effect"] = effect
    settings["Limits"]["Cancel"] = cancel
    settings["FamilyInfo"]["Resume"] = resume
    return settings


SITES = {
    "repeatable, with cancel": settings_with("retryable", True, False),
    "not repeatable, resumed by clients": settings_with("fragile", False, True),
}


@pytest.fixture(params=SITES)
def site(request):
    return SITES[request.param]


def test_a_client_is_not_left_waiting_on_a_stream_that_brings_no_more_events(tmp_path, site):
    with PlatformHarness(tmp_path, ("both",) * 4, settings=site) as harness, GatewayProgram(harness, tmp_path):
        script = Script(harness, NOTHING_MORE)
        script.play(9 * S)
        limit_us = CLIENT_WAIT_US + SOCKET_SLACK_US
        late = [n for n in NOTHING_MORE if script.ended_us.get(n, 1 << 62) - script.begun_us.get(n, script.sent_us) > limit_us]
        whole = [n for n, client in script.clients.items() if client.status == 200 and not client.truncated]
        assert not late and not whole


def test_a_stream_that_is_written_slowly_is_not_cut(tmp_path, site):
    with PlatformHarness(tmp_path, ("both",) * 4, settings=site) as harness, GatewayProgram(harness, tmp_path):
        script = Script(harness, WRITTEN_SLOWLY)
        script.play(9 * S)
        assert not [name for name, client in script.clients.items() if client.truncated]


def test_what_came_before_a_fault_reaches_the_client_before_the_connection_ends(tmp_path):
    """A reset would take the head of the answer with it: a request that was read, and no answer at all."""
    with PlatformHarness(tmp_path, ("both",)) as harness:
        sent = b"".join(chunk(EVENT) for _ in range(2 * READ_BYTES // len(EVENT)))
        harness.platform.servers["s-1"].fault = lambda exchange: exchange.write(CHUNKED + sent + b"zz\r\n") or True
        client = harness.ask("a1").wait_answer()
        assert client.status == 200 and EVENT in client.body and client.truncated
