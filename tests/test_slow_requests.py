"""Requests that go out slowly, because the model server takes them slowly or not at all: the final answer is in time."""

import copy
import json
import socket

import pytest
from platform_harness import SETTINGS, PlatformHarness

from lapiswing.http1.client import ClientConnection

MS = 1000
DEADLINE_MS = 600
MAX_LATE_US = 50 * MS  # the platform's slack on sockets
LARGE_BODY = json.dumps({"messages": [{"role": "user", "content": "x" * 250_000}]}).encode()


class SlowReading:
    """Makes a stand-in server read `size` bytes of each connection every `pause_us`."""

    def __init__(self, server, size, pause_us=20 * MS):
        self.loop, self.size, self.pause_us = server.platform.loop, size, pause_us
        self.accept, self.accepted = server.server.accept, 0
        server.server.listener.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        server.server.listener.on_stream = self.on_stream

    def on_stream(self, stream, peer):
        self.accepted += 1
        stream.pause()
        stream.turns = 1
        stream.most = max(1, self.size)
        self.accept(stream, peer)
        if self.size:
            self.read_some(stream)

    def read_some(self, stream):
        if not stream.closed:
            stream.reading = True
            stream.read()
            stream.reading = False
            self.loop.call_later(self.pause_us, self.read_some, stream)


def settings_with(effect, cancel):
    settings = copy.deepcopy(SETTINGS)
    settings["Classes"][0]["Effect"] = effect
    settings["Limits"]["Cancel"] = cancel
    return settings


@pytest.fixture(params=[True, False], ids=["cancel", "no cancel"])
def cancel(request):
    return request.param


@pytest.mark.parametrize("roles", [("both",), ("read", "write")], ids="+".join)
@pytest.mark.parametrize("effect", ["retryable", "dedup", "fragile"])
@pytest.mark.parametrize("size", [0, 64], ids=["not at all", "slowly"])
def test_the_answer_is_in_time_while_servers_take_the_request_slowly(tmp_path, cancel, effect, roles, size):
    with PlatformHarness(tmp_path, roles, settings=settings_with(effect, cancel)) as harness:
        for server in harness.platform.servers.values():
            SlowReading(server, size)
        client = harness.ask("a1", LARGE_BODY, Req_Deadline=f"{DEADLINE_MS / 1000:.3f}")
        began_us = harness.loop.clock.now_us()
        harness.until(client.ended, 5000 * MS)
        assert harness.loop.clock.now_us() - began_us < DEADLINE_MS * MS + MAX_LATE_US
        # The kernel has taken the whole request, so it may still arrive: what must not run twice is failed.
        assert client.status == (502 if effect == "fragile" and "both" in roles else 503)
        assert (b"retry-after" in client.got.lower()) == (client.status == 503)
        harness.until(lambda: not harness.core.reqs)


@pytest.mark.parametrize("size", [0, 64], ids=["not at all", "slowly"])
def test_a_request_that_was_not_sent_to_its_end_is_refused_rather_than_failed(tmp_path, monkeypatch, cancel, size):
    """Its connection is closed before its last byte is written, so it can't have run: trying again does no harm."""

    def start(connection, exchange, start=ClientConnection.start):
        connection.stream.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        start(connection, exchange)

    monkeypatch.setattr(ClientConnection, "start", start)
    with PlatformHarness(tmp_path, ("both",), settings=settings_with("fragile", cancel)) as harness:
        SlowReading(harness.platform.servers["s-1"], size)
        client = harness.ask("a1", LARGE_BODY, Req_Deadline=f"{DEADLINE_MS / 1000:.3f}").wait_answer()
        assert client.status == 503 and b"retry-after" in client.got.lower()
        assert not harness.platform.seen(b"POST")


def test_a_request_that_is_taken_slowly_and_in_time_is_served(tmp_path, cancel):
    with PlatformHarness(tmp_path, ("both",), settings=settings_with("fragile", cancel)) as harness:
        (server,) = harness.platform.servers.values()
        reading = SlowReading(server, 16384, 30 * MS)
        client = harness.ask("a1", LARGE_BODY, Req_Deadline="3.000").wait_answer()
        assert client.status == 200 and not client.truncated and client.body == server.whole() and reading.accepted == 1
