"""From a process's start until discovery has sent a list: what the agent of discovery holds binds the process from its first
moment, so a list saved by an earlier process is not used where changes are pushed."""

import time
from trace import MS, Play

import pytest
from platform_harness import SETTINGS, PlatformHarness, RecordingLog

from lapiswing.membership import startup
from lapiswing.membership.startup import MAX_UNREADY_US, Startup
from lapiswing.node.serve import Node

READY = b"GET /-/ready HTTP/1.1\r\nHost: app.svc\r\n\r\n"


class Restarted(PlatformHarness):
    """A gateway that starts again with the list that it held, while discovery is down."""

    def __init__(self, folder, roles=("read", "write", "write", "read"), change=lambda platform: None):
        """`change(platform)` runs after the list was saved and before the process starts."""
        super().__init__(folder, roles)
        self.node.close()
        self.platform.discovery.silent = True
        change(self.platform)
        self.log = RecordingLog()
        self.node = Node(str(self.path), self.log, self.loop)
        self.node.start()
        self.core = self.node.core

    def discovery_returns(self):
        self.platform.discovery.silent = False


def drain(platform):
    """Two servers begin to drain."""
    for name in ("s-1", "s-2"):
        platform.servers[name].status = "DRAINING"


def start_anew(platform):
    """Two servers have restarted a second ago and are cold."""
    for name in ("s-1", "s-2"):
        platform.servers[name].since_ms = time.time() * 1000 - 1000


@pytest.mark.parametrize("change", [drain, start_anew])
def test_nothing_goes_by_the_saved_list_while_discovery_is_down(tmp_path, change):
    """The restarted gateway sent to servers that had begun to drain, and to cold ones as if they were warm."""
    with Restarted(tmp_path, change=change) as harness:
        for number in range(8):
            client = harness.ask(f"a{number}").wait_answer()
            assert client.status == 503 and b"retry-after" in client.got.lower()
        assert not harness.platform.seen()
        harness.discovery_returns()
        harness.until(lambda: harness.node.server_list.rows)
        for number in range(8):
            assert harness.ask(f"b{number}").wait_answer().status == 200
        used = {row[0] for row in harness.platform.seen(b"POST")}
        assert used == {"s-3", "s-4"} if change is drain else used >= {"s-3", "s-4"}


def test_a_restarted_gateway_is_ready_in_time_however_long_discovery_is_down(tmp_path, monkeypatch):
    """At first it is not, so that clients go to others; then it rejects what comes."""
    monkeypatch.setattr(startup, "MAX_UNREADY_US", 300 * MS)
    with Restarted(tmp_path) as harness:
        assert harness.client(READY).wait_answer().status == 503
        harness.loop.run_until(lambda: False, 400 * MS)
        assert harness.client(READY).wait_answer().status == 200
        assert harness.ask("a1").wait_answer().status == 503 and not harness.platform.seen()


def test_where_lists_are_asked_for_the_saved_list_is_used(tmp_path, monkeypatch):
    """A change binds a gateway that has to ask only some time after it could be asked for."""
    monkeypatch.setitem(SETTINGS, "MembershipMode", "subscribe")
    with Restarted(tmp_path) as harness:
        assert harness.client(READY).wait_answer().status == 200
        assert harness.ask("a1").wait_answer().status == 200


@pytest.mark.parametrize("saved", [True, False], ids=["saved list", "no list"])
@pytest.mark.parametrize("pushed", [True, False], ids=["pushed", "asked"])
def test_each_start(pushed, saved):
    start = Startup(pushed, saved, 5 * MS)
    assert start.uses_saved_list == (saved and not pushed)
    assert not start.is_ready(False, 5 * MS) and start.is_ready(True, 5 * MS)
    assert start.is_ready(False, 5 * MS + MAX_UNREADY_US) == saved
    assert MAX_UNREADY_US < 6000 * MS  # the shortest time that a restarted process may have to become ready


def test_a_router_without_a_list_rejects_at_once():
    """Before its first list, and of each effect."""
    for effect in ("replayable", "keyed", "non-replayable"):
        play = Play(effect, listed=False)
        play.at(10, play.req(1), ("timer", 0))
        play.at(260, ("timer", 0))
        assert play.sent("push_back") == [["push_back", "1", "1000000"]] and not play.router.reqs
