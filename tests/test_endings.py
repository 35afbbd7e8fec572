"""Shutdowns that coincide: a signal during a drain, a server that drains or fails while the gateway stops. docs/endings.md has
the whole table."""

import pytest
from platform_harness import PlatformHarness

MS = 1000


def sigterm(harness):
    harness.node.stop()


def sigterm_twice(harness):
    harness.node.stop()
    harness.node.stop()


def sighup_in_a_drain(harness):
    harness.node.stop()
    harness.node.reload()


def sigterm_behind_a_sighup(harness):
    harness.node.reload()
    harness.node.stop()


SIGNALS = [sigterm, sigterm_twice, sighup_in_a_drain, sigterm_behind_a_sighup]
STAGES = ["prefill runs", "decode waits for its first event", "stream runs"]


def at_stage(harness, stage):
    """Sends a request. -> the client, once its request has reached the stage, where it stays for some time."""
    reader, *writers = harness.platform.servers.values()
    if stage == "prefill runs":
        reader.read_us = 200 * MS
    for writer in writers:
        if stage == "decode waits for its first event":
            writer.read_us = 200 * MS
        elif stage == "stream runs":
            writer.pause_us = 100 * MS
    client = harness.ask("a1")
    if stage == "prefill runs":
        harness.until(lambda: reader.seen)
    elif stage == "stream runs":
        harness.until(lambda: client.status)
    else:
        harness.until(lambda: any(w.seen for w in writers))
    return client


@pytest.fixture
def harness(tmp_path):
    with PlatformHarness(tmp_path, ("read", "write", "write")) as harness:
        stopped = []
        harness.loop.stop = lambda: stopped.append(1)
        harness.stopped = stopped
        yield harness


@pytest.mark.parametrize("signals", SIGNALS)
@pytest.mark.parametrize("stage", STAGES)
def test_accepted_requests_are_served_whatever_signals_arrive(harness, stage, signals):
    client = at_stage(harness, stage)
    signals(harness)
    assert not client.wait_answer().truncated
    assert client.got.count(b"HTTP/1.1 ") == 1 and client.status == 200 and b"[DONE]" in client.got
    harness.until(lambda: harness.stopped)
    harness.wait_settled()


@pytest.mark.parametrize("signals", SIGNALS)
def test_a_server_that_drains_while_the_gateway_stops_gets_no_new_request(harness, signals):
    """The list is updated until the end, also after a reload during the drain."""
    client = at_stage(harness, "prefill runs")
    signals(harness)
    draining, other = [s for s in harness.platform.servers.values() if s.role == "write"]
    draining.status = "DRAINING"
    harness.platform.discovery.tell(draining.row())
    harness.until(lambda: harness.node.server_list.rows[draining.name].mode == "draining", 1_500 * MS)
    assert not client.wait_answer().truncated
    assert client.status == 200 and not draining.seen and other.seen
    harness.until(lambda: harness.stopped)


@pytest.mark.parametrize("silent_first", [True, False])
def test_a_drain_announced_while_the_watch_is_silent_is_noticed_after_a_reload(harness, silent_first):
    draining, other = [s for s in harness.platform.servers.values() if s.role == "write"]
    harness.until(lambda: harness.platform.discovery.waiting)
    if silent_first:
        harness.platform.discovery.silent = True
    harness.platform.discovery.waiting.clear()  # the open watch gets no answer any more
    draining.status = "DRAINING"
    harness.platform.discovery.tell(draining.row())
    harness.platform.discovery.silent = False
    harness.node.reload()
    harness.until(lambda: harness.node.server_list.rows[draining.name].mode == "draining", 1_000 * MS)
    client = harness.ask("a1")
    harness.until(lambda: client.status)
    assert client.status == 200 and not draining.seen and other.seen


@pytest.mark.parametrize("how", ["hangs", "resets"])
def test_a_server_that_fails_while_the_gateway_stops_leads_to_another_attempt(harness, how):
    first = []

    def fault(exchange):
        if exchange.method == b"POST" and not first:
            first.append(exchange)
            if how == "resets":
                exchange.abort()
            return True

    for server in list(harness.platform.servers.values())[1:]:
        server.fault = fault
    client = harness.ask("a1", Req_Deadline="2.000")
    harness.until(lambda: first)
    harness.node.stop()
    harness.until(lambda: client.status)
    assert not client.wait_answer().truncated
    assert client.status == 200 and client.got.count(b"HTTP/1.1 ") == 1
    harness.until(lambda: harness.stopped)
    harness.wait_settled()


def test_the_router_gets_a_time_out_before_the_backstop_answers(tmp_path):
    """An attempt's time-out and the backstop of the same request, 0.7 ms apart, may be due in the same turn. The backstop then
    answered 502 for a request that the router rejects with 503."""
    with PlatformHarness(tmp_path, ("both",)) as harness:
        (server,) = harness.platform.servers.values()
        server.fault = lambda exchange: exchange.method == b"POST"  # accepts the request and does not answer
        client = harness.ask("a1", Req_Deadline="0.300")
        harness.until(lambda: harness.core.reqs and harness.core.reqs["a1"].attempts)
        (request,) = harness.core.reqs.values()
        while harness.loop.clock.now_us() < request.expires_us:
            pass  # the machine is busy until the request's time has expired
        assert client.wait_answer().status == 503
        assert not harness.core.counts["backstop"]
        harness.wait_settled()
