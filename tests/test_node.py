"""The platform adapter, against stand-ins of the platform's servers and discovery."""

import gc
import json
import os
import signal
import subprocess
import sys
import time
import weakref
from trace import Recorder

import pytest
from platform_harness import BODY, SETTINGS, PlatformHarness, RecordingLog, head

from lapiswing.gateway import core as core_module
from lapiswing.loop import address_of, free_ports
from lapiswing.loop.stream import Stream
from lapiswing.membership import Membership
from lapiswing.membership.starts import ServerStarts
from lapiswing.node import serve as node_serve
from lapiswing.node import servers as node_servers
from lapiswing.node import view
from lapiswing.node.config import check_settings, load
from lapiswing.node.discovery import LIST_DECODER, WATCH_WAIT_MS, ServerList
from lapiswing.node.outcomes import of_failure, of_status, parse_load
from lapiswing.policy import Router
from lapiswing.standin.platform import Discovery

S = 1_000_000


def test_a_request_is_prefilled_and_decoded_and_its_stream_passed_on_unchanged(tmp_path):
    with PlatformHarness(tmp_path) as harness:
        for server in harness.platform.servers.values():
            server.load = b"TEXT inflight=1, queue=0, x0=0.2, x1=0.1"
        client = harness.ask("a1").wait_answer()
        assert client.status == 200 and not client.truncated
        assert client.body == harness.platform.servers["s-2"].whole()
        sent = harness.platform.seen(b"POST")
        assert [row[0] for row in sent][0] == "s-1" and len(sent) == 2
        assert {row[1:] for row in sent} == {(b"POST", b"/v1/chat/completions", "a1", BODY)}
        harness.wait_settled()


def test_a_request_leaves_nothing_behind_without_garbage_collection(tmp_path):
    """Bodies kept alive by reference cycles of ended requests let the memory grow."""
    with PlatformHarness(tmp_path, ("read", "write", "both")) as harness:
        seen = []
        for module, name in ((core_module, "Req"), (node_servers, "ServerAttempt")):
            tracked = getattr(module, name)
            original_init = tracked.__init__

            def init(self, *args, original_init=original_init):
                original_init(self, *args)
                seen.append(weakref.ref(self))

            tracked.__init__ = init
            harness.loop.soon(lambda: None)
            try:
                gc.collect()
                gc.disable()
                for i in range(6):
                    client = harness.ask(f"r{name}{i}").wait_answer()
                    client.close()
                harness.wait_settled()
                harness.until(lambda: not harness.node.server.connections)
                harness.loop.run_until(lambda: False, 30_000)
            finally:
                tracked.__init__ = original_init
                gc.enable()
        assert len(seen) >= 12
        # None may be kept alive, not even by timers that are not due yet.
        assert sum(ref() is not None for ref in seen) == 0, [type(ref()) for ref in seen if ref() is not None]


def invalid_answer(answer, after=0):
    """-> a fault: these bytes once in place of a complete answer; the connection stays open."""
    left = [1]

    def fault(exchange):
        if exchange.path != b"/v1/chat/completions" or not left:
            return False
        left.pop()
        exchange.conn.server.loop.call_later(after, exchange.write, answer)
        return True

    return fault


def test_a_release_does_not_drop_the_state_of_the_next_prefill(tmp_path):
    """When a decode fails before its first event, the next decode server finds no state to fetch and the router prefills again.
    If the release of the first state then drops the second one, the request is rejected."""
    with PlatformHarness(tmp_path, ("read", "write", "write", "write")) as harness:
        reader, *writers = harness.platform.servers.values()
        reader.read_us = 60_000
        first = []

        def fault(exchange):
            if exchange.path != b"/v1/chat/completions" or first:
                return False
            first.append(exchange)
            reader.states.clear()  # the decode server has fetched the state
            exchange.write(b"\x00\x01 noise\r\n\r\n")
            return True

        for writer in writers:
            writer.fault = fault
        client = harness.ask("a1").wait_answer()
        assert client.status == 200 and not client.truncated
        harness.wait_settled()
        rows = [(row[1], row[0]) for row in harness.platform.seen()]
        assert [r for r in rows if r[0] == b"POST"].count((b"POST", "s-1")) == 2  # one more prefill, and no third one


def invalid(**fields):
    return head("b1", **fields) + BODY


INVALID_REQUESTS = {
    "no id": invalid(Req_Id=None),
    "unreadable id": invalid(Req_Id="a b"),
    "unknown class": invalid(Req_Kind="chat_x"),
    "no class": invalid(Req_Kind=None),
    "deadline is not a number": invalid(Req_Deadline="soon"),
    "deadline nan": invalid(Req_Deadline="nan"),
    "deadline negative": invalid(Req_Deadline="-1"),
    "no deadline": invalid(Req_Deadline=None),
    "tokens are not a number": invalid(Req_Extra="prompt_len=-5"),
    "no body": head("b1", b""),
    "not json": head("b1", b"{") + b"{",
    "no chat request": head("b1", b"[]") + b"[]",
    "length negative": invalid(Content_Length="-1"),
    "length huge": invalid(Content_Length="99999999999999999999"),
    "60 MB": invalid(Content_Length=str(60 << 20)),
    "chunked and length": invalid(Transfer_Encoding="chunked"),
    "length wrong": invalid(Content_Length=str(len(BODY) - 7)),
    "other path": invalid(path="/x"),
    "other method": invalid(method="PUT"),
    "noise": b"\x00\xff\x17 noise\r\n\r\n",
    "long head": b"GET / HTTP/1.1\r\n" + b"a: b\r\n" * 4000,
    "two ids": head("b1").replace(b"Req-Kind", b"Req-Id: b2\r\nReq-Kind") + BODY,
}


@pytest.mark.parametrize("name", INVALID_REQUESTS)
def test_an_invalid_request_gets_an_error_or_a_close_and_reaches_no_server(tmp_path, name):
    with PlatformHarness(tmp_path) as harness:
        client = harness.client(INVALID_REQUESTS[name])
        harness.until(client.ended, 3_000_000)
        assert client.closed or 400 <= client.status < 600
        harness.until(lambda: not harness.node.server.connections, 3_000_000)
        assert harness.platform.seen(b"POST", b"PUT") == []
        assert harness.ask("good").wait_answer().status == 200


def test_input_behind_an_invalid_request_is_not_parsed(tmp_path):
    """500 invalid requests in one piece would block the loop for 30 ms."""
    with PlatformHarness(tmp_path) as harness:
        client = harness.client(invalid(Req_Kind="x") * 300).wait_answer()
        harness.until(lambda: client.ended() and client.closed)
        assert client.got.count(b"HTTP/1.1 400") <= 1 and harness.node.server.requests == 1


@pytest.mark.parametrize("sent", [b"", b"POST /v1", head("h1")[:-2], head("h1") + BODY[:10]])
def test_a_connection_without_a_complete_request_is_closed_within_3_s(tmp_path, sent):
    with PlatformHarness(tmp_path) as harness:
        client, begun = harness.client(sent), harness.loop.clock.now_us()
        harness.until(client.ended, 4_000_000)
        assert harness.loop.clock.now_us() - begun < 2_900_000 and not harness.platform.seen(b"POST")


def test_a_request_with_the_id_of_an_open_one_is_refused(tmp_path):
    with PlatformHarness(tmp_path) as harness:
        harness.platform.servers["s-1"].read_us = 200_000
        first = harness.ask("same")
        harness.until(lambda: harness.core.reqs)
        second = harness.ask("same").wait_answer()
        assert second.status == 409 and first.wait_answer().status == 200
        assert len(harness.platform.seen(b"POST")) == 2
        harness.wait_settled()


def test_hundreds_of_silent_connections_leave_room_for_normal_clients(tmp_path):
    with PlatformHarness(tmp_path, sockets=128) as harness:
        limit = harness.node.max_clients
        silent = [harness.client() for _ in range(limit + 40)]
        harness.until(lambda: harness.node.listener.open >= limit)
        assert all(harness.ask(f"u{i}").wait_answer().status == 200 for i in range(5))
        assert harness.node.listener.open <= limit
        for client in silent:
            client.close()


INVALID_ANSWERS = {
    "noise": b"\x00\x01\x02 noise\r\n\r\n",
    "no status": b"HTTP/1.1 2x0 OK\r\n\r\n",
    "bad chunk size": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\ndata: {}\n\n\r\n",
    "endless head": b"HTTP/1.1 200 OK\r\n" + b"x: y\r\n" * 20000,
    "no event": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n8\r\nnothing\n\r\n0\r\n\r\n",
}


@pytest.mark.parametrize("name", INVALID_ANSWERS)
def test_an_answer_that_is_invalid_before_its_first_event_is_a_failed_attempt(tmp_path, name):
    with PlatformHarness(tmp_path, ("both", "both")) as harness:
        left = [1]

        def fault(exchange):
            if exchange.path != b"/v1/chat/completions" or not left:
                return False
            left.pop()
            exchange.write(INVALID_ANSWERS[name])
            return True

        for server in harness.platform.servers.values():
            server.fault = fault
        client = harness.ask("a1").wait_answer()
        assert client.status == 200 and not client.truncated and client.body == harness.platform.servers["s-1"].whole()
        assert len(harness.platform.seen(b"POST")) == 2


EVENT = b'data: {"choices":[{"index":0,"delta":{"content":"w"},"finish_reason":null}]}\n\n'
START = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%b\r\n" % (
    len(EVENT),
    EVENT,
)
INVALID_CONTINUATIONS = {
    "size unreadable": b"zz\r\n" + EVENT,
    "size too small": b"4\r\n" + EVENT + b"\r\n",
    "size too big": b"%x\r\n%b\r\n" % (len(EVENT) + 40, EVENT),
    "3 GB": b"c0000000\r\n" + b"x" * 200000,
    "3 GB of events": b"c0000000\r\n" + EVENT * 6000,
    "no event": b"5\r\nxxx\n\n\r\n",
}


@pytest.mark.parametrize("name", INVALID_CONTINUATIONS)
def test_an_answer_that_becomes_invalid_later_ends_without_the_last_chunk(tmp_path, name):
    with PlatformHarness(tmp_path, ("both",)) as harness:

        def fault(exchange):
            if exchange.path != b"/v1/chat/completions":
                return False
            exchange.write(START)
            harness.loop.call_later(30_000, exchange.write, INVALID_CONTINUATIONS[name])
            return True

        harness.platform.servers["s-1"].fault = fault
        client = harness.ask("a1")
        harness.until(lambda: client.receive() and client.closed, 5_000_000)
        assert client.status == 200 and client.truncated and client.body.startswith(EVENT)
        assert len(harness.platform.seen(b"POST")) == 1
        harness.wait_settled()


EXTRA_BYTES = {
    "1xx ahead": (b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\n", b""),
    "second answer behind": (b"", b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno"),
    "noise behind": (b"", b"\x00\x01\x02"),
}


@pytest.mark.parametrize("name", EXTRA_BYTES)
def test_bytes_around_a_valid_answer_do_no_harm(tmp_path, name):
    with PlatformHarness(tmp_path, ("both",)) as harness:
        ahead, behind = EXTRA_BYTES[name]
        server = harness.platform.servers["s-1"]

        def fault(exchange):
            if exchange.path != b"/v1/chat/completions":
                return False
            data = server.whole()
            exchange.write(ahead + START[: START.index(b"\r\n\r\n") + 4] + b"%x\r\n%b\r\n0\r\n\r\n" % (len(data), data) + behind)
            return True

        server.fault = fault
        server.load = b"TEXT inflight=many, queue"
        for i in range(3):
            client = harness.ask(f"a{i}").wait_answer()
            assert client.status == 200 and not client.truncated and client.body == server.whole()
        if behind:
            assert harness.node.pool.reused == 0
        harness.wait_settled()


def test_a_stream_that_stops_is_ended_for_its_client_within_5_s(tmp_path):
    """A client left waiting on a stream that has stopped counts as a lost request."""
    with PlatformHarness(tmp_path, ("both",)) as harness:
        harness.platform.servers["s-1"].fault = invalid_answer(START)
        client = harness.ask("a1")
        harness.until(lambda: EVENT in client.receive())
        begun = harness.loop.clock.now_us()
        harness.until(lambda: client.receive() and client.closed, 6_000_000)
        assert 3_500_000 < harness.loop.clock.now_us() - begun < 4_900_000 and client.truncated
        harness.wait_settled()


# ---- discovery, signals, configuration


def test_servers_are_added_drained_and_removed_by_the_watch(tmp_path):
    with PlatformHarness(tmp_path, ("both",)) as harness:
        platform, old = harness.platform, harness.platform.servers["s-1"]
        new = platform.add("both")
        platform.discovery.tell(new.row())
        harness.until(lambda: len(harness.node.server_list.rows) == 2)
        old.status = "DRAINING"
        platform.discovery.tell(old.row())
        harness.until(lambda: harness.core.router.servers["s-1"].mode == "draining")
        for i in range(4):
            assert harness.ask(f"a{i}").wait_answer().status == 200
        assert {row[0] for row in platform.seen(b"POST")} == {"s-2"}
        platform.discovery.tell(platform.remove(old))
        harness.until(lambda: "s-1" not in harness.core.router.servers)
        assert "s-1" not in harness.core.kinds and "s-1" not in harness.node.servers.addresses


@pytest.mark.parametrize("how", ["silent", "garbage"])
def test_the_list_stays_in_use_while_discovery_is_silent_or_unreadable(tmp_path, how):
    with PlatformHarness(tmp_path, ("both",)) as harness:
        discovery = harness.platform.discovery
        setattr(discovery, how, True)
        discovery.tell(harness.platform.servers["s-1"].row())
        harness.until(lambda: any("discovery silent" in line for line in harness.log.lines), 8_000_000)
        assert harness.ask("a1").wait_answer().status == 200
        setattr(discovery, how, False)
        harness.until(lambda: any("discovery heard" in line for line in harness.log.lines), 8_000_000)


def test_a_reload_changes_discovery_under_load_and_an_invalid_file_changes_nothing(tmp_path):
    with PlatformHarness(tmp_path, ("both",)) as harness:
        server = harness.platform.servers["s-1"]
        server.pause_us = 100_000
        client = harness.ask("a1")
        harness.until(lambda: client.status)
        other = Discovery(harness.platform)
        other.index = 90
        for text in ("{", json.dumps({**harness.config, "discovery": "nowhere"})):
            harness.path.write_text(text)
            harness.node.reload()
        assert harness.node.discovery.address == address_of(harness.platform.discovery.address)
        assert sum("configuration can't be read" in line[0] for line in harness.log.lines) == 2
        for address in (other.address, harness.platform.discovery.address, other.address):
            harness.path.write_text(json.dumps({**harness.config, "discovery": address}))
            harness.node.reload()
        added = harness.platform.add("both")
        other.tell(added.row())
        harness.until(lambda: added.name in harness.node.server_list.rows)
        assert client.wait_answer().status == 200 and not client.truncated
        other.server.listener.close()
        other.server.close()


def test_after_sigterm_accepted_requests_are_served_and_others_rejected(tmp_path):
    with PlatformHarness(tmp_path, ("both",)) as harness:
        server, stopped = harness.platform.servers["s-1"], []
        server.pause_us = 250_000
        harness.loop.stop = lambda: stopped.append(harness.loop.clock.now_us())
        reused = harness.ask("a0").wait_answer()
        client = harness.ask("a1")
        harness.until(lambda: client.status)
        harness.node.stop()
        harness.node.stop()  # a second signal has no effect
        late = harness.ask("a2").wait_answer()
        reused.got = b""
        reused.send(head("a3") + BODY)
        for answer in (late, reused.wait_answer()):
            assert (
                answer.status == 503 and b"retry-after: 1.0" in answer.got.lower() and b"connection: close" in answer.got.lower()
            )
        assert harness.client(b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n").wait_answer().status == 503
        assert client.wait_answer().status == 200 and not client.truncated
        harness.until(lambda: stopped)
        assert not harness.core.reqs and [row[3] for row in harness.platform.seen(b"POST")] == ["a0", "a1"]


INVALID_CONFIGURATIONS = {
    "file: not JSON": lambda c: "{",
    "seed: not a hexadecimal": lambda c: c | {"seed": "xyz"},
    "limits.sockets: Expected `int`": lambda c: c | {"limits": {"cores": 1, "memory_mb": 64, "sockets": "many"}},
    "limits.sockets: less than": lambda c: c | {"limits": {"cores": 1, "memory_mb": 64, "sockets": 8}},
    "listen: ": lambda c: c | {"listen": "here"},
    "discovery: ": lambda c: c | {"discovery": "127.0.0.1"},
    "settings.rules: is missing": lambda c: c | {"settings": {k: v for k, v in SETTINGS.items() if k != "Rules"}},
    "settings.classes: ": lambda c: c | {"settings": {**SETTINGS, "Classes": []}},
    "settings.family_info.duty_by_kind: ": lambda c: c | {"settings": {**SETTINGS, "Kinds": ["one"]}},
}


@pytest.mark.parametrize("message", INVALID_CONFIGURATIONS)
def test_an_invalid_configuration_is_reported_with_file_field_and_reason(tmp_path, message):
    path = tmp_path / "config.json"
    valid = {
        "name": "n",
        "listen": "127.0.0.1:9",
        "discovery": "127.0.0.1:8",
        "seed": "1f",
        "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 256},
        "settings": SETTINGS,
    }
    path.write_text(json.dumps(valid))
    load(str(path))
    value = INVALID_CONFIGURATIONS[message](valid)
    path.write_text(value if isinstance(value, str) else json.dumps(value))
    done = subprocess.run(
        [sys.executable, "-m", "lapiswing.node"],
        env={**os.environ, "RELAY_CONFIG": str(path)},
        capture_output=True,
        text=True,
        timeout=30,
    )
    assert done.returncode == 2 and f"{path}: {message}" in done.stderr


def test_the_program_serves_and_ends_on_sigterm(tmp_path):
    with PlatformHarness(tmp_path, ("both",)) as harness:
        (port,) = free_ports(1)
        path = tmp_path / "own.json"
        path.write_text(json.dumps({**harness.config, "listen": f"127.0.0.1:{port}"}))
        program = subprocess.Popen(
            [sys.executable, "-m", "lapiswing.node"],
            env={**os.environ, "RELAY_CONFIG": str(path)},
            stderr=subprocess.PIPE,
            text=True,
        )
        try:
            assert "listening" in program.stderr.readline() + program.stderr.readline()
            harness.port = port
            harness.wait_ready()
            assert harness.ask("a1").wait_answer().status == 200
            program.send_signal(signal.SIGHUP)
            assert harness.ask("a2").wait_answer().status == 200
            program.send_signal(signal.SIGTERM)
            assert program.wait(10) == 0
        finally:
            program.kill()
            program.stderr.close()


# ---- attempts, states


def test_answers_and_failures_of_a_server_map_to_outcome_codes():
    assert [of_status(s, d) for s, d in ((200, False), (202, False), (503, True), (504, True), (410, True))] == [
        ("stream", None),
        ("read", None),
        ("full", 0),
        ("full", 0),
        ("full", 1),
    ]
    assert {of_status(s, False)[0] for s in (500, 503, 504, 410, 302, 429)} == {"error"}
    assert of_status(500, True)[0] == "error" and of_status(400, False)[0] == "answered"
    assert [of_failure(s) for s in ("connect", "unsent", "sent", "head", "body")] == [
        "unreachable",
        "unreachable",
        "reset",
        "reset",
        "reset",
    ]
    names = {"queue", "x0"}
    assert parse_load(b"TEXT queue=2, x0=0.5, other=1", names) == {"queue": 2.0, "held": 0.5}
    for invalid_report in (None, b"", b"TEXT queue=", b"queue=nan", b"queue=-1", b"\xff" * 9, b"queue=1," * 100):
        assert parse_load(invalid_report, names) is None


def test_when_a_client_leaves_its_attempt_is_cancelled_and_its_state_released(tmp_path):
    with PlatformHarness(tmp_path) as harness:
        reader = harness.platform.servers["s-1"]
        reader.read_us = 300_000
        client = harness.ask("a1")
        harness.until(lambda: reader.seen)
        client.close()
        harness.until(lambda: reader.left == 1)
        harness.wait_settled()
        assert [row[1:4] for row in harness.platform.seen(b"DELETE")] == [(b"DELETE", b"/bootstrap/rooms/a1", "")]


def test_a_release_goes_to_another_server_if_its_holder_is_unreachable(tmp_path):
    with PlatformHarness(tmp_path) as harness:
        reader, *writers = harness.platform.servers.values()
        begun = []

        def unreachable(exchange):  # holds the state and answers no release
            return exchange.method == b"DELETE"

        reader.fault = unreachable

        def error(exchange):
            if exchange.path == b"/v1/chat/completions":
                begun.append(harness.loop.clock.now_us())
                exchange.respond(500)
                return True

        for writer in writers:
            writer.fault = error
        client = harness.ask("a1").wait_answer()
        assert client.status in (502, 503)
        releases = lambda: [row for row in harness.platform.seen(b"DELETE") if row[0] != "s-1"]  # noqa: E731
        harness.until(releases)
        assert harness.loop.clock.now_us() - begun[-1] < 500_000  # the platform's time limit
        harness.wait_settled()


def test_a_failed_connection_proves_that_the_attempt_did_not_run(tmp_path):
    with PlatformHarness(tmp_path, ("both", "both")) as harness:
        dead = harness.platform.servers["s-1"]
        dead.server.listener.close()
        dead.server.close()
        for i in range(4):
            assert harness.ask(f"a{i}").wait_answer().status == 200
        assert all(row[0] == "s-2" for row in harness.platform.seen(b"POST"))


class RecordingRouter(Router):
    def round(self, now_us, events, out):
        self.recorded = getattr(self, "recorded", []) + [e for e in events if e[0] == "req"]
        super().round(now_us, events, out)


def test_the_router_gets_the_clients_fields(tmp_path, monkeypatch):
    monkeypatch.setattr(node_serve.Node.__init__, "__defaults__", (None, RecordingRouter))
    with PlatformHarness(tmp_path, ("both",)) as harness:
        now = harness.loop.clock.now_us()
        harness.ask("a1", Req_Retry="1").wait_answer()
        harness.ask("a2", Req_Retry="again", Req_Key=None, Req_Extra=None, Req_Deadline="0.5").wait_answer()
        (_, rid, tokens, expires, session, prefix, prefix_tokens, max_out, hint, bits, tenant, group), two = (
            harness.core.router.recorded
        )
        assert (rid, tokens, session, prefix, prefix_tokens, max_out, hint, bits, tenant, group) == (
            "a1",
            100,
            "k1",
            "p1",
            40,
            50,
            None,
            2,
            0,
            0,
        )
        # Counted from the request's first byte, which came after `now`; input that was ready at once counts from the turn before.
        assert 3 * S - 50_000 <= expires - now < 3.2 * S
        assert two[2:3] + two[4:7] + two[9:10] == (len(BODY) // 4, None, None, 0, 16)


def test_a_rejected_request_is_answered_at_once_with_a_retry_after_time(tmp_path):
    with PlatformHarness(tmp_path, ("read",)) as harness:  # no decode server
        begun = harness.loop.clock.now_us()
        client = harness.ask("a1").wait_answer()
        assert client.status == 503 and b"retry-after: " in client.got.lower()
        assert harness.loop.clock.now_us() - begun < 500_000 and not harness.platform.seen(b"POST")


@pytest.mark.parametrize(
    "status, held, release_expected", [(200, True, True), (409, False, False), (404, False, False), (204, None, True)]
)
def test_a_held_place_is_reported_and_released(tmp_path, status, held, release_expected):
    """After an unclear answer the place may be held, so it is released as well."""
    with PlatformHarness(tmp_path) as harness:
        reader, writer, _ = harness.platform.servers.values()
        reader.read_us = 100_000

        def fault(exchange):
            if exchange.method == b"POST" and exchange.path.startswith(b"/bootstrap"):
                exchange.respond(status)
                return True

        writer.fault = fault
        client = harness.ask("a1")
        harness.until(lambda: reader.seen)
        results = []
        harness.core.place_answered, real = lambda *args: (results.append(args[-1]), real(*args)), harness.core.place_answered
        harness.core.hold_place("a1", writer.name)
        harness.until(lambda: results)
        assert results == [held] and (harness.core.reqs["a1"].left is not None) == release_expected
        client.close()
        harness.wait_settled()
        assert harness.platform.seen(b"DELETE")


def test_the_recorded_state_of_each_server_matches_the_sockets(tmp_path):
    with PlatformHarness(tmp_path, ("both", "both")) as harness:
        for server in harness.platform.servers.values():
            server.pause_us = 100_000
        clients = [harness.ask(f"a{i}") for i in range(6)]
        harness.until(lambda: all(c.status for c in clients))
        rows = view.rows(harness.core, harness.node.servers, harness.node.pool)
        assert sum(r["believed"] for r in rows) == 6 and all(r["believed"] == r["out"] == r["busy"] for r in rows)
        harness.node.log_view()
        assert sum(line[0] == "view" for line in harness.log.lines) == 3
        for client in clients:
            client.wait_answer()
        harness.wait_settled()


def test_thousands_of_servers_and_requests_leave_nothing_behind(tmp_path):
    with PlatformHarness(tmp_path, ("both", "both")) as harness:
        core, rows = harness.core, harness.node.server_list
        first = list(rows.rows.values())
        for i in range(1500):
            rows.rows = {r.id: r for r in first + [first[0]._replace(id=f"x-{i}", kind=i % 3)]}
            harness.node.on_list_change()
            core.turn()
        for i in range(300):
            client = harness.ask(f"a{i}", Req_Key=f"k{i}").wait_answer()
            assert client.status == 200
            client.close()
        harness.wait_settled()
        harness.until(lambda: not harness.node.server.connections)
        router = core.router
        assert len(router.servers) <= 3 and len(core.kinds) <= 3 and len(core.tally.servers) <= 3
        assert max(router.table.pairs.shape) <= 3 and len(router.served) <= 3 and not router.reqs and not core.ended
        assert len(harness.node.pool.open_count) <= 2 and len(harness.node.pool.all) <= 2 * harness.node.pool.max_idle_per_address
        assert len(harness.loop.watched) < 40 and len([t for t in harness.loop.timers if t[2].call is not None]) < 20


def test_room_is_sought_once_a_turn(tmp_path, monkeypatch):
    """With 9,500 connections that sent one request and stayed open, a search for room at each accepted connection, which peeks
    at hundreds of others, took a whole core, and requests waited 0.9 s."""
    peeks, real = [], Stream.pending
    monkeypatch.setattr(Stream, "pending", lambda self: peeks.append(1) or real(self))
    with PlatformHarness(tmp_path, sockets=128) as harness:
        limit = harness.node.max_clients
        clients = [harness.client(b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n") for _ in range(4 * limit)]
        turns = harness.loop.turns
        harness.until(lambda: all(c.ended() for c in clients))
        assert len(peeks) <= 64 * (harness.loop.turns - turns)
        assert harness.node.listener.refused == 0  # each was answered
        for client in clients:
            client.close()


def targets_of(*endpoints, index=5, snapshot=True):
    return LIST_DECODER.decode(json.dumps({"index": index, "snapshot": snapshot, "endpoints": endpoints}).encode())


def endpoint(name, status="SERVING", **fields):
    return {
        "name": name,
        "address": "127.0.0.1:9000",
        "zone": "a",
        "type": "read",
        "group": 1,
        "status": status,
        "weight": 1.0,
        "since_ms": 0,
        **fields,
    }


@pytest.mark.parametrize(
    "unreadable",
    [
        endpoint("bad", status="SLEEPING"),
        endpoint("bad", type="m9"),
        endpoint("bad", address="nowhere"),
        endpoint("bad", group="x"),
        endpoint("bad", since_ms="today"),
        {"name": "bad"},
    ],
)
def test_an_unreadable_row_affects_only_its_own_server(unreadable):
    """The other rows are applied; a server whose own row can't be read gets no new requests."""
    rows, log = ServerList(["read"], ["a"], ServerStarts(0)), RecordingLog()
    rows.apply(targets_of(endpoint("s-1"), endpoint("bad"), endpoint("s-2")), 1)
    rows.apply(targets_of(unreadable, endpoint("s-2", status="DRAINING"), endpoint("s-3"), index=6, snapshot=False), 1)
    assert {name: row.mode for name, row in rows.rows.items()} == {"s-1": "ready", "s-2": "draining", "s-3": "ready"}
    rows.log_faults(log)
    rows.apply(targets_of(unreadable, endpoint("s-1"), index=7), 1)
    rows.log_faults(log)
    assert list(rows.rows) == ["s-1"] and len(log.lines) == 1 and log.lines[0][1]["count"] == 1
    with pytest.raises(ValueError):
        rows.apply(targets_of(unreadable, index=8), 1)
    assert list(rows.rows) == ["s-1"] and rows.index == 7


def test_an_unreadable_change_without_a_name_leads_to_a_request_for_the_whole_list(tmp_path):
    with PlatformHarness(tmp_path) as harness:
        discovery, targets = harness.node.discovery, []
        discovery.pool.request = lambda address, method, target, *rest: targets.append(target) or OpenExchange()
        for body in (
            b'{"index":90,"snapshot":false,"endpoints":[7]}',
            b'{"index":91,"snapshot":true,"endpoints":[7,' + json.dumps(endpoint("s-9")).encode() + b"]}",
        ):
            discovery.answered(discovery.call, 200, body)
        assert targets == [b"/api/targets", b"/api/targets?after=91&wait_ms=%d" % WATCH_WAIT_MS]


class OpenExchange:
    def cancel(self):
        pass


def test_lists_of_1100_servers_and_1100_gateways_are_applied_changed_and_replaced():
    """At least 1,024 of each are supported, in bounded time."""
    rows, members, out = ServerList(["read", "write", "both"], ["a", "b"], ServerStarts(0)), Membership(), Recorder()
    router = Router(7, check_settings("config.json", {**SETTINGS, "Balancers": 1100}), 0)

    def endpoints_of(first, count, **fields):
        return [
            endpoint(
                f"s-{n}",
                type=("read", "write", "both", "write")[n % 4],
                zone="ab"[n % 2],
                group=n // 6,
                address=f"127.0.0.1:{n + 1}",
                **fields,
            )
            for n in range(first, first + count)
        ]

    for step, (endpoints, snapshot) in enumerate(
        [(endpoints_of(0, 1100), True), (endpoints_of(0, 40, status="DRAINING"), False), (endpoints_of(2000, 1100), True)]
    ):
        now, before = (step + 1) * S, time.process_time()
        rows.apply(targets_of(*endpoints, index=step, snapshot=snapshot), 1)
        router.round(now, [members.update_list(list(rows.rows.values()), now)], out)
        for n in range(3):
            router.round(now, [("req", f"{step}.{n}", 900, now + 5 * S, f"k{n}", None, 0, 200, None, 0, 0, 0)], out)
        assert sum(m.mode == "ready" for m in router.servers.values()) == (1100, 1060, 1100)[step]
        assert time.process_time() - before < (20 if step == 0 else 5)
    to = [int(line.split()[2][2:]) for line in out.lines if line.startswith("forward ")]
    assert [n >= 2000 for n in to] == [False] * 6 + [True] * 3
    assert all(n >= 40 for n in to[3:])
