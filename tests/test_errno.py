"""System calls that fail temporarily for reasons of this machine."""

import errno
import os
import socket

import pytest
from platform_harness import BODY, PlatformHarness, RecordingLog, head

from lapiswing.engine import outcomes as engine_outcomes
from lapiswing.loop import Clock, Listener, Loop, errnos, listen_socket, net
from lapiswing.node import outcomes as node_outcomes

MS, S = 1000, 1_000_000


class Failing:
    """A socket whose named calls raise the given errors, one per call, and then work again."""

    def __init__(self, sock, **errors):
        self.sock, self.errors = sock, {name: list(codes) for name, codes in errors.items()}

    def __getattr__(self, name):
        if self.errors.get(name):
            code = self.errors[name].pop(0)

            def fail(*_args):
                raise OSError(code, os.strerror(code))

            return fail
        return getattr(self.sock, name)


def listening(loop, max_connections=100):
    seen = []
    listener = Listener(
        loop,
        listen_socket("127.0.0.1", 0),
        lambda stream, peer: (seen.append(stream), setattr(stream, "owner", RecordingLog())),
        max_connections=max_connections,
    )
    return listener, seen


TEMPORARY = ("ECONNABORTED", "EPROTO", "ENETDOWN", "EHOSTUNREACH", "EPERM", "ENOBUFS", "ENOMEM")


@pytest.mark.parametrize("name", TEMPORARY)
def test_a_failed_accept_affects_no_connection_behind_it_when_the_port_closes(name):
    loop = Loop(Clock())
    listener, seen = listening(loop)
    clients = [socket.create_connection(listener.address) for _ in range(3)]
    code = getattr(errno, name)
    listener.sock = Failing(listener.sock, accept=[code, code])
    listener.accept_pending()
    listener.close()
    assert len(seen) == 3
    for client in clients:
        client.close()
    loop.close()


@pytest.mark.parametrize("name", ["EMFILE", "ENFILE"])
def test_queued_connections_are_answered_when_the_port_closes_without_a_free_descriptor(name):
    """The spare descriptor is used to refuse one; a temporary shortage does not affect those behind it."""
    loop, code = Loop(Clock()), getattr(errno, name)
    listener, seen = listening(loop)
    clients = [socket.create_connection(listener.address) for _ in range(4)]
    listener.sock = Failing(listener.sock, accept=[code, code, code])
    listener.accept_pending()
    listener.close()
    assert len(seen) + listener.refused == 4 and len(seen) >= 2
    for client in clients:
        client.close()
    loop.close()


def test_queued_connections_are_answered_when_the_port_closes_at_the_connection_limit(tmp_path):
    """Room is made at most once a turn; connections beyond the limit are refused, not reset by closing the port."""
    with PlatformHarness(tmp_path, ("both", "both")) as harness:
        harness.node.listener.max_connections = 4
        idle = [harness.ask(f"a{i}").wait_answer() for i in range(4)]
        late = [harness.ask(f"b{i}") for i in range(3)]
        harness.node.listener.room_sought_us = harness.loop.now
        harness.node.stop()
        harness.node.close_port()
        for client in late:
            client.wait_answer()
        assert [client.status for client in late] == [503] * 3
        for client in idle:
            client.close()


def test_a_machine_without_descriptors_for_a_moment_costs_no_request(tmp_path):
    """One ENFILE at accept closed the connection unread, though its request was still on its way."""
    with PlatformHarness(tmp_path, ("both", "both")) as harness:
        listener = harness.node.listener
        listener.sock = Failing(listener.sock, accept=[errno.ENFILE])
        client = harness.client()
        harness.until(lambda: not listener.sock.errors["accept"])
        client.send(head("a1") + BODY)
        assert client.wait_answer().status == 200 and not listener.refused
        harness.wait_settled()


@pytest.mark.parametrize("name", ["ENOBUFS", "ENFILE"])
def test_an_accept_that_keeps_failing_does_not_spin(name):
    loop = Loop(Clock())
    listener, seen = listening(loop)
    client = socket.create_connection(listener.address)
    real, listener.sock = listener.sock, Failing(listener.sock, accept=[getattr(errno, name)] * 10_000)
    loop.run_until(lambda: False, 350 * MS)
    assert loop.turns < 60
    listener.sock = real
    assert loop.run_until(lambda: seen, S)
    client.close()
    listener.close()
    loop.close()


@pytest.mark.parametrize("name", ["ENOBUFS", "ENOMEM"])
def test_an_event_is_sent_again_after_a_lack_of_memory(tmp_path, name):
    with PlatformHarness(tmp_path, ("both", "both")) as harness:
        client = harness.client()
        harness.until(lambda: harness.node.server.connections)
        (conn,) = harness.node.server.connections
        client.send(head("a1") + BODY)
        harness.until(lambda: conn.stream.sent)
        conn.stream.sock = Failing(conn.stream.sock, send=[getattr(errno, name)] * 3, sendmsg=[getattr(errno, name)])
        assert client.wait_answer().status == 200 and not client.truncated and not client.closed
        harness.wait_settled()


@pytest.mark.parametrize("name", ["ENOBUFS", "ENOMEM"])
def test_a_read_is_repeated_after_a_lack_of_memory(tmp_path, name):
    with PlatformHarness(tmp_path, ("both", "both")) as harness:
        client = harness.client()
        harness.until(lambda: harness.node.server.connections)
        (conn,) = harness.node.server.connections
        conn.stream.sock = Failing(conn.stream.sock, recv=[getattr(errno, name)] * 3)
        client.send(head("a1") + BODY)
        assert client.wait_answer().status == 200
        harness.wait_settled()


class LocalPorts:
    """While `code` is set, every attempt to connect from this machine fails with it."""

    def __init__(self, monkeypatch, code):
        self.code = code
        ports, real = self, socket.socket

        class Socket(real):
            def connect_ex(self, address):
                return ports.code or super().connect_ex(address)

        monkeypatch.setattr(net.socket, "socket", Socket)


def recorded_failures(router):
    return (
        {m.id: (round(m.failure_score, 6), m.ejected) for m in router.servers.values()},
        dict(router.unreachable_by_zone),
        router.failing,
    )


@pytest.mark.parametrize("name", ["EADDRNOTAVAIL", "ENOBUFS", "ENETUNREACH", "ENOMEM", "ENFILE"])
def test_while_this_machine_can_not_connect_requests_wait_and_no_server_is_blamed(tmp_path, monkeypatch, name):
    with PlatformHarness(tmp_path, ("read", "read", "write", "write")) as harness:
        assert harness.ask("a0").wait_answer().status == 200
        harness.wait_settled()
        for conn in list(harness.node.pool.all):
            conn.stream.abort()
        ports, before = LocalPorts(monkeypatch, getattr(errno, name)), recorded_failures(harness.core.router)
        clients = [harness.ask(f"b{i}") for i in range(40)]
        harness.until(lambda: len(harness.core.reqs) == 40)
        harness.loop.run_until(lambda: False, 600 * MS)
        assert not any(client.receive() for client in clients)  # none is rejected while it still has time
        assert recorded_failures(harness.core.router) == before
        ports.code = None
        for client in clients:
            assert client.wait_answer().status == 200 and not client.truncated
        assert recorded_failures(harness.core.router)[:2] == before[:2]
        harness.wait_settled()


def test_a_request_that_can_not_be_sent_in_time_is_rejected_and_its_state_released(tmp_path, monkeypatch):
    """Connecting fails from after the prefill on: the state must not be held beyond its time."""
    with PlatformHarness(tmp_path, ("read", "write")) as harness:
        ports = LocalPorts(monkeypatch, None)
        reader = harness.platform.servers["s-1"]
        client = harness.ask("a1")
        harness.until(lambda: reader.seen)
        ports.code = errno.EADDRNOTAVAIL
        for conn in list(harness.node.pool.all):
            if conn.exchange is None:
                conn.stream.abort()
        assert client.wait_answer().status == 503
        assert harness.loop.clock.now_us() - reader.seen_us[0] < 800 * MS
        ports.code = None
        harness.wait_settled()


def test_an_attempt_that_waits_for_a_connection_is_withdrawn_when_its_server_drains(tmp_path, monkeypatch):
    with PlatformHarness(tmp_path, ("both",)) as harness:
        (old,) = harness.platform.servers.values()
        harness.until(lambda: harness.platform.discovery.waiting)
        ports = LocalPorts(monkeypatch, errno.EADDRNOTAVAIL)
        client = harness.ask("a1")
        harness.until(lambda: harness.core.reqs and harness.core.reqs["a1"].attempts)
        new = harness.platform.add("both")
        old.status = "DRAINING"
        harness.platform.discovery.tell(old.row(), new.row())
        harness.until(lambda: new.name in harness.node.server_list.rows)
        ports.code = None
        assert client.wait_answer().status == 200
        assert [row[0] for row in harness.platform.seen(b"POST")] == [new.name]
        assert not harness.core.router.unreachable_by_zone
        harness.wait_settled()


def test_the_tables_cover_every_error_of_the_manual_pages():
    """accept(2), connect(2) and socket(2), without errors caused by programming mistakes and those that Python handles."""
    accept = {
        "ECONNABORTED",
        "EMFILE",
        "ENFILE",
        "ENOBUFS",
        "ENOMEM",
        "EPROTO",
        "EPERM",
        "ENETDOWN",
        "ENOPROTOOPT",
        "EHOSTDOWN",
        "ENONET",
        "EHOSTUNREACH",
        "EOPNOTSUPP",
        "ENETUNREACH",
    }
    assert not [name for name in accept if getattr(errno, name) not in errnos.ACCEPT]
    local = {
        "EACCES",
        "EPERM",
        "EADDRINUSE",
        "EADDRNOTAVAIL",
        "EAFNOSUPPORT",
        "EAGAIN",
        "ENETUNREACH",
        "EMFILE",
        "ENFILE",
        "ENOBUFS",
        "ENOMEM",
        "EPROTONOSUPPORT",
    }
    assert not [name for name in local if errnos.connect_error_cause(getattr(errno, name)) is errnos.Cause.PEER]
    peer = {"ECONNREFUSED", "ETIMEDOUT", "EHOSTUNREACH", "ECONNRESET"}
    assert {errnos.connect_error_cause(getattr(errno, name)) for name in peer} == {errnos.Cause.PEER}
    assert {errnos.transfer_error_cause(getattr(errno, name)) for name in peer | {"EPIPE"}} == {errnos.Cause.PEER}


def unreachable(monkeypatch, address, code):
    """Connections to one address fail at once, as without a route to its network."""
    real = socket.socket

    class Socket(real):
        def connect_ex(self, target):
            return code if target == address else super().connect_ex(target)

    monkeypatch.setattr(net.socket, "socket", Socket)


@pytest.mark.parametrize("name", ["ENETUNREACH", "EPERM", "EADDRNOTAVAIL"])
def test_a_single_server_without_a_route_delays_a_request_but_does_not_fail_it(tmp_path, monkeypatch, name):
    with PlatformHarness(tmp_path, ("both", "both")) as harness:
        one, other = harness.platform.servers.values()
        host, port = one.address.rsplit(":", 1)
        unreachable(monkeypatch, (host, int(port)), getattr(errno, name))
        began_us = harness.loop.clock.now_us()
        for i in range(6):
            client = harness.ask(f"a{i}")
            assert client.wait_answer().status == 200
        assert harness.loop.clock.now_us() - began_us < 6 * 400 * MS
        assert {row[0] for row in harness.platform.seen(b"POST")} == {other.name}
        harness.wait_settled()


def test_occasional_failures_to_connect_are_not_treated_as_widespread(tmp_path, monkeypatch):
    """Each is retried at once, nothing is logged, and no attempt's time starts anew."""
    with PlatformHarness(tmp_path, ("both", "both")) as harness:
        attempts = [0]
        real = socket.socket

        class Socket(real):
            def connect_ex(self, address):
                attempts[0] += 1
                return errno.EADDRNOTAVAIL if attempts[0] % 2 else super().connect_ex(address)

        monkeypatch.setattr(net.socket, "socket", Socket)
        clients = [harness.ask(f"a{i}") for i in range(20)]
        for client in clients:
            assert client.wait_answer().status == 200
        assert not [fields for event, fields in harness.log.lines if "can be opened here" in str(fields)]
        harness.wait_settled()


def test_an_internal_error_of_accept_does_not_keep_the_port_from_closing():
    loop = Loop(Clock())
    listener, _ = listening(loop)
    listener.sock = Failing(listener.sock, accept=[errno.EINVAL] * 2)
    listener.accept_pending()
    listener.close()
    assert listener.closed
    loop.close()


def test_each_stage_of_a_failed_exchange_maps_to_the_same_outcome_in_both_protocols():
    stages = {"local": "moot", "no route": "no_way", "connect": "unreachable", "unsent": "unreachable"}
    may_have_run = dict.fromkeys(("sent", "head", "body"), "reset")
    for table in (engine_outcomes, node_outcomes):
        assert {stage: table.of_failure(stage) for stage in stages | may_have_run} == stages | may_have_run
