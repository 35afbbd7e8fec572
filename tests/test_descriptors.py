"""Shortage of file descriptors: the program keeps working, and no server is blamed for it."""

import errno
import json
import os
import resource
import signal
import socket
import subprocess
import sys

import pytest
from platform_harness import BODY, PlatformHarness, RecordingLog, head

from lapiswing.http1 import Pool
from lapiswing.loop import Clock, Listener, Loop, free_ports, listen_socket, net

MS, S = 1000, 1_000_000


class Handler:
    def __init__(self):
        self.ends = []

    def on_head(self, status, fields):
        pass

    def on_body(self, data):
        pass

    def on_end(self):
        self.ends.append("end")

    def on_fail(self, stage, why):
        self.ends.append(stage)


def test_the_pool_never_exceeds_its_total_limit():
    loop = Loop(Clock())
    listeners = [
        Listener(loop, listen_socket("127.0.0.1", 0), lambda stream, peer: setattr(stream, "owner", RecordingLog()))
        for _ in range(3)
    ]
    pool = Pool(loop, 10, 4, max_total=5)
    handlers = [Handler() for _ in range(9)]
    for i, handler in enumerate(handlers):
        pool.request(listeners[i % 3].address, b"GET", b"/", [], b"", handler)
    assert sum(pool.open_count.values()) == 5
    loop.run_until(lambda: sum(map(len, (h.ends for h in handlers))) == 4, S)
    assert [h.ends for h in handlers] == [[]] * 5 + [["local"]] * 4
    pool.close()
    for listener in listeners:
        listener.close()
    loop.close()


def test_an_attempt_without_a_descriptor_is_rejected_and_no_server_is_blamed(tmp_path, monkeypatch):
    with PlatformHarness(tmp_path, ("both", "both")) as harness:

        def none(*args):
            raise OSError(errno.EMFILE, "Too many open files")

        real = socket.socket
        client, reused = harness.client(), harness.ask("a0").wait_answer()
        for conn in list(harness.node.pool.all):
            conn.stream.abort()
        monkeypatch.setattr(net.socket, "socket", none)
        reused.got = b""
        reused.send(head("a1") + BODY)
        harness.until(reused.ended)
        monkeypatch.setattr(net.socket, "socket", real)
        assert reused.status == 503 and b"retry-after" in reused.got.lower()
        router = harness.core.router
        assert not router.unreachable_by_zone and all(m.failure_score < 0.01 and not m.ejected for m in router.servers.values())
        client.send(head("a2") + BODY)
        assert client.wait_answer().status == 200
        harness.wait_settled()


def test_a_listener_without_any_descriptor_pauses_and_recovers(monkeypatch):
    loop, seen = Loop(Clock()), []
    listener = Listener(
        loop, listen_socket("127.0.0.1", 0), lambda stream, peer: (seen.append(stream), setattr(stream, "owner", RecordingLog()))
    )
    os.close(listener.spare_descriptor)
    listener.spare_descriptor = None

    class Full:
        def __init__(self, sock):
            self.sock = sock

        def accept(self):
            raise OSError(errno.EMFILE, "Too many open files")

        def __getattr__(self, name):
            return getattr(self.sock, name)

    client, listener.sock = socket.create_connection(listener.address), Full(listener.sock)
    loop.run_until(lambda: False, 350 * MS)
    assert loop.turns < 40  # it does not spin
    listener.sock = listener.sock.sock
    assert loop.run_until(lambda: seen, S) and listener.spare_descriptor is not None
    client.close()
    listener.close()
    loop.close()


def test_the_process_limit_applies_where_it_is_below_the_configured_one(tmp_path, monkeypatch):
    monkeypatch.setattr(resource, "getrlimit", lambda which: (128, 128))
    with PlatformHarness(tmp_path, sockets=4096) as harness:
        assert harness.node.max_clients + harness.node.pool.max_total < 128


def test_room_is_not_made_by_truncating_an_answer_to_a_slow_client(tmp_path, monkeypatch):
    with PlatformHarness(tmp_path, ("both",)) as harness:
        (server,) = harness.platform.servers.values()
        monkeypatch.setattr(server, "event", lambda number: b'data: {"choices": [], "pad": "%b"}\n\n' % (b"x" * 20_000))
        client = harness.client()
        client.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        harness.until(lambda: harness.node.server.connections)
        (conn,) = harness.node.server.connections
        conn.stream.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        client.send(head("a1") + BODY)
        harness.until(lambda: conn.served and conn.phase == "idle")
        assert conn.stream.unsent_bytes  # the kernel has not accepted the end of the answer yet
        harness.node.server.make_room()
        assert client.wait_answer().got.endswith(b"0\r\n\r\n") and not client.truncated
        harness.wait_settled()


@pytest.mark.parametrize("kind", ["silent", "one request"])
def test_idle_clients_use_all_descriptors_while_discovery_is_down(tmp_path, kind):
    """A separate process whose descriptor limit equals its configured limit."""
    sockets = 160
    with PlatformHarness(tmp_path, ("both", "both")) as harness:
        (port,) = free_ports(1)
        path = tmp_path / "own.json"
        path.write_text(
            json.dumps(
                {**harness.config, "listen": f"127.0.0.1:{port}", "limits": {"cores": 0.5, "memory_mb": 64, "sockets": sockets}}
            )
        )
        log = open(tmp_path / "log", "w")
        program = subprocess.Popen(
            [sys.executable, "-m", "lapiswing.node"],
            env={**os.environ, "RELAY_CONFIG": str(path)},
            stderr=log,
            preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_NOFILE, (sockets, sockets)),
        )
        try:
            harness.port = port
            harness.until(lambda: "listening" in (tmp_path / "log").read_text(), 20 * S)
            harness.wait_ready()
            assert harness.ask("a0").wait_answer().status == 200
            harness.loop.run_until(lambda: False, 200 * MS)
            initial = len(os.listdir(f"/proc/{program.pid}/fd"))
            discovery, old = harness.platform.discovery, harness.platform.servers["s-1"]
            discovery.silent = True
            discovery.waiting.clear()
            ask = b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n" if kind == "one request" else b""
            idle = [harness.client(ask) for _ in range(2 * sockets)]
            harness.loop.run_until(lambda: False, S)
            assert len(os.listdir(f"/proc/{program.pid}/fd")) <= sockets
            more = [harness.client(ask) for _ in range(sockets)]
            discovery.silent = False
            new = harness.platform.add("both")
            old.status = "DRAINING"
            discovery.tell(old.row(), new.row())
            began = harness.loop.clock.now_us()
            requests = [0]

            def served():
                requests[0] += 1
                client = harness.ask(f"b{requests[0]}")
                status = client.wait_answer().status
                client.close()
                return status == 200 and any(row[0] == new.name for row in harness.platform.seen(b"POST"))

            harness.until(served, 6 * S)
            assert harness.loop.clock.now_us() - began < 6 * S
            before = len([row for row in harness.platform.seen(b"POST") if row[0] == old.name])
            for i in range(5):
                assert harness.ask(f"c{i}").wait_answer().status == 200
            assert len([row for row in harness.platform.seen(b"POST") if row[0] == old.name]) == before
            for client in idle + more:
                client.close()
            harness.until(lambda: len(os.listdir(f"/proc/{program.pid}/fd")) <= initial + 6, 8 * S)
            program.send_signal(signal.SIGTERM)
            assert program.wait(10) == 0
        finally:
            program.kill()
            log.close()
    assert "fault" not in (tmp_path / "log").read_text()
