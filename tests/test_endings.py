"""Two endings that cross: a signal in a drain, a server that drains while the gateway stops, a hung server beside both.
docs/endings.md has the whole table."""

import pytest
from platform_door import Door

MS = 1000


def sigterm(door):
    door.node.stop()


def sigterm_twice(door):
    door.node.stop()
    door.node.stop()


def sighup_in_a_drain(door):
    door.node.stop()
    door.node.reload()


def sigterm_behind_a_sighup(door):
    door.node.reload()
    door.node.stop()


SIGNALS = [sigterm, sigterm_twice, sighup_in_a_drain, sigterm_behind_a_sighup]
STAGES = ["prefill runs", "decode waits for its first event", "stream runs"]


def at_stage(door, stage):
    """Asks, and returns the client once its request has reached the stage, where it stays for some time."""
    reader, *writers = door.platform.servers.values()
    if stage == "prefill runs":
        reader.read_us = 200 * MS
    for writer in writers:
        if stage == "decode waits for its first event":
            writer.read_us = 200 * MS
        elif stage == "stream runs":
            writer.pause_us = 100 * MS
    client = door.ask("a1")
    if stage == "prefill runs":
        door.until(lambda: reader.seen)
    elif stage == "stream runs":
        door.until(lambda: client.status)
    else:
        door.until(lambda: any(w.seen for w in writers))
    return client


@pytest.fixture
def door(tmp_path):
    with Door(tmp_path, ("read", "write", "write")) as door:
        stopped = []
        door.loop.stop = lambda: stopped.append(1)
        door.stopped = stopped
        yield door


@pytest.mark.parametrize("signals", SIGNALS)
@pytest.mark.parametrize("stage", STAGES)
def test_what_was_taken_is_served_whatever_signals_come(door, stage, signals):
    client = at_stage(door, stage)
    signals(door)
    assert not client.whole().cut
    assert client.got.count(b"HTTP/1.1 ") == 1 and client.status == 200 and b"[DONE]" in client.got
    door.until(lambda: door.stopped)
    door.settled()


@pytest.mark.parametrize("signals", SIGNALS)
def test_a_server_that_drains_while_the_gateway_stops_gets_nothing_new(door, signals):
    """The list is followed up to the end, also over a reload in the drain."""
    client = at_stage(door, "prefill runs")
    signals(door)
    leaver, other = [s for s in door.platform.servers.values() if s.role == "write"]
    leaver.status = "DRAINING"
    door.platform.discovery.tell(leaver.row())
    door.until(lambda: door.node.rows.rows[leaver.name].mode == "draining", 1_500 * MS)
    assert not client.whole().cut
    assert client.status == 200 and not leaver.seen and other.seen
    door.until(lambda: door.stopped)


@pytest.mark.parametrize("silent_first", [True, False])
def test_a_drain_told_while_the_watch_is_silent_is_heard_after_a_reload(door, silent_first):
    leaver, other = [s for s in door.platform.servers.values() if s.role == "write"]
    door.until(lambda: door.platform.discovery.waiting)
    if silent_first:
        door.platform.discovery.silent = True
    door.platform.discovery.waiting.clear()  # the open watch is answered nothing more
    leaver.status = "DRAINING"
    door.platform.discovery.tell(leaver.row())
    door.platform.discovery.silent = False
    door.node.reload()
    door.until(lambda: door.node.rows.rows[leaver.name].mode == "draining", 1_000 * MS)
    client = door.ask("a1")
    door.until(lambda: client.status)
    assert client.status == 200 and not leaver.seen and other.seen


@pytest.mark.parametrize("how", ["hangs", "resets"])
def test_a_server_that_fails_while_the_gateway_stops_costs_a_further_attempt(door, how):
    first = []

    def fault(exchange):
        if exchange.method == b"POST" and not first:
            first.append(exchange)
            if how == "resets":
                exchange.abort()
            return True

    for server in list(door.platform.servers.values())[1:]:
        server.fault = fault
    client = door.ask("a1", Req_Deadline="2.000")
    door.until(lambda: first)
    door.node.stop()
    door.until(lambda: client.status)
    assert not client.whole().cut
    assert client.status == 200 and client.got.count(b"HTTP/1.1 ") == 1
    door.until(lambda: door.stopped)
    door.settled()


def test_the_decisions_hear_a_time_out_before_the_guard_behind_them_answers(tmp_path):
    """Seen in the soak: an attempt's time-out and the guard of the same request, 0.7 ms apart, came up in one turn, and the
    guard answered 502 for what the decisions reject with 503."""
    with Door(tmp_path, ("both",)) as door:
        (server,) = door.platform.servers.values()
        server.fault = lambda exchange: exchange.method == b"POST"  # takes it and says nothing
        client = door.ask("a1", Req_Deadline="0.300")
        door.until(lambda: door.core.reqs and door.core.reqs["a1"].attempts)
        (request,) = door.core.reqs.values()
        while door.loop.clock.now_us() < request.expires_us:
            pass  # the machine is busy elsewhere, for the rest of its time
        assert client.whole().status == 503
        assert not door.core.counts["backstop"]
        door.settled()
