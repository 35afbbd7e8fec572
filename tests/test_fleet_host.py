"""The fleet link in running gateways: sockets, store, settings, facts for operators. Three hosts on one loop."""

import subprocess
import sys
import types

import pytest
from platform_harness import RecordingLog
from simfiles import SimFiles

from lapiswing.fleet.host import OTHERS_PREFIX, OWN_PREFIX, Host
from lapiswing.loop import Clock, Loop, free_ports
from lapiswing.settings import SettingsError, load_text
from lapiswing.store import Engine, Files, InlineWorker

S = 1_000_000
CATCH_UP_US = 10 * S  # a gateway receives rows that it has missed within this time (docs/fleet.md)
KEY = "0123456789abcdef"
BASE = """gateway { name: "gw-a" } group { name: "q" effect: REPLAYABLE } tenant { name: "t" api_key: "k" }
kind { name: "m" role: BOTH memory_tokens: 1000 } box { id: "127.0.0.1:9" kind: "m" }
"""


class Site:
    """Hosts by name, each with a store of its own."""

    def __init__(self, folder, names=("a", "b", "c")):
        self.loop, self.folder, self.hosts, self.stores, self.rows = Loop(Clock()), folder, {}, {}, []
        self.ports = dict(zip(names, free_ports(len(names))))
        for name in names:
            self.start(name)

    def start(self, name, files=None):
        store = self.stores[name] = Engine(files or Files(self.folder / name), InlineWorker()).open()
        settings = types.SimpleNamespace(
            listen=types.SimpleNamespace(host="127.0.0.1", port=self.ports[name]),
            address="",
            peer=[f"127.0.0.1:{port}" for port in self.ports.values()],
            key=[KEY],
        )
        host = self.hosts[name] = Host(
            self.loop, settings, name, "z", store, RecordingLog(), on_row=lambda row: self.rows.append((name, row.key))
        )
        host.start()
        return host

    def kill(self, name):
        self.hosts.pop(name).close(at_once=True)
        self.stores.pop(name).close()

    def until(self, done, timeout_us=15 * S):
        assert self.loop.run_until(done, timeout_us), "the expected state was not reached in time"

    def ready(self):
        return all(h.link.may_write() and len(h.link.members.alive()) == len(self.hosts) - 1 for h in self.hosts.values())

    def close(self):
        for name in list(self.hosts):
            self.kill(name)
        self.loop.close()


@pytest.fixture
def site(tmp_path):
    site = Site(tmp_path)
    site.until(site.ready)
    yield site
    site.close()


def test_a_row_is_on_the_writers_disk_before_it_is_published_and_reaches_every_disk(site):
    stored, a = [], site.hosts["a"]
    publish = a.link.publish
    a.link.publish = lambda raw: (stored.append(dict(site.stores["a"].range(OWN_PREFIX, b"f/o0"))), publish(raw))
    a.write("k", b"1")
    assert list(stored[0]) == [OWN_PREFIX + b"k"]
    store_key = OTHERS_PREFIX + f"{a.link.id}/k".encode()
    site.until(lambda: all(site.stores[n].get(store_key) for n in "bc"))
    assert sorted(site.rows) == [("b", "k"), ("c", "k")]


def test_a_row_that_cannot_be_written_to_the_disk_is_not_published(tmp_path):
    site = Site(tmp_path)
    files = SimFiles()
    site.kill("a")
    a = site.start("a", files)
    site.until(site.ready)

    def fail(operation, name):
        if operation == "write":
            raise OSError(28, "No space left on device")

    files.fail = fail
    errors = []
    a.write("k", b"1", errors.append)
    assert errors and errors[0] and a.failed_writes == 1
    site.loop.run_until(lambda: False, 2 * S)
    assert not site.rows and not any(h.link.rows.table for h in site.hosts.values())
    site.close()


def test_a_killed_gateway_restarts_with_its_identity_and_all_rows(site):
    a = site.hosts["a"]
    a.write("k", b"1")
    site.hosts["b"].write("k", b"2")
    site.until(lambda: all(len(h.link.rows.table) == 2 for h in site.hosts.values()))
    old_id = a.link.id
    site.kill("a")
    site.hosts["b"].write("k", b"3")
    site.loop.run_until(lambda: False, S // 2)
    a = site.start("a")
    assert a.link.id == old_id and len(a.link.rows.table) == 2 and not a.link.may_write()
    site.until(lambda: a.link.may_write() and site.ready())
    b = site.hosts["b"].link.id
    site.until(lambda: a.link.rows.rows_of(b)["k"].value == b"3", CATCH_UP_US)
    assert a.link.id == old_id
    assert a.write("k", b"4").version == 2


def test_a_gateway_whose_folder_was_emptied_takes_a_new_identity(site):
    a = site.hosts["a"]
    a.write("k", b"1")
    site.until(lambda: all(len(h.link.rows.table) == 1 for h in site.hosts.values()))
    old_id = a.link.id
    site.kill("a")
    for file in (site.folder / "a").iterdir():
        file.unlink()
    a = site.start("a")
    site.until(site.ready)
    site.until(lambda: "k" in a.link.rows.rows_of(old_id), CATCH_UP_US)
    assert a.link.id != old_id and a.link.rows.rows_of(old_id)["k"].value == b"1"
    a.write("k", b"2")
    site.until(lambda: all(len(h.link.rows.table) == 2 for h in site.hosts.values()))


def test_a_gateway_that_closes_has_left_within_two_seconds(site):
    a = site.hosts["a"]
    a.close()
    site.until(lambda: all(site.hosts[n].link.members.state_of(a.link.id) == "left" for n in "bc"), 2 * S)


def test_a_killed_gateway_is_gone_for_all_within_five_seconds(site):
    old_id = site.hosts["a"].link.id
    site.kill("a")
    site.until(lambda: all(site.hosts[n].link.members.state_of(old_id) == "gone" for n in "bc"), 5 * S)


def test_a_gateway_with_a_foreign_key_has_no_peers(site):
    (port,) = free_ports(1)
    site.ports["x"] = port
    stranger = site.start("x")
    stranger.link.seal.keys[:] = [b"another key of 16"]
    site.loop.run_until(lambda: False, 3 * S)
    assert not stranger.link.members.alive()
    assert all(len(site.hosts[n].link.members.all) == 2 for n in "abc")


def test_facts_and_log_events_for_operators(site):
    facts = site.hosts["a"].facts()
    assert facts["may_write"] and [m["state"] for m in facts["members"]] == ["alive", "alive"]
    events = {event for event, _ in site.hosts["a"].log.lines}
    assert {"fleet link", "fleet member", "fleet: identity kept"} <= events


@pytest.mark.parametrize(
    "fleet, field, why",
    [
        ("", "fleet.listen", "a host and a port"),
        ('listen { host: "127.0.0.1" port: 8080 } key: "0123456789abcdef"', "fleet.listen.port", "the chat"),
        ('listen { host: "0.0.0.0" port: 9300 } key: "0123456789abcdef"', "fleet.address", "wildcard fleet.listen.host"),
        ('listen { host: "127.0.0.1" port: 9300 } key: "short"', "fleet.key[0]", "shorter than 16"),
        ('listen { host: "127.0.0.1" port: 9300 }', "fleet.key", "anybody"),
        ('listen { host: "127.0.0.1" port: 9300 } key: "0123456789abcdef" peer: "x"', "fleet.peer[0]", "host:port"),
    ],
)
def test_wrong_settings_are_reported_by_field_and_reason(fleet, field, why):
    with pytest.raises(SettingsError) as problem:
        load_text(BASE + f"fleet {{ {fleet} }}", "s")
    assert any(f.field == field and why in f.reason for f in problem.value.faults), problem.value.faults


def test_a_gateway_joins_when_configured_and_otherwise_does_not_load_the_fleet_link(site):
    from gateway_site import GatewaySite

    (port,) = free_ports(1)
    more = f'fleet {{ listen {{ host: "127.0.0.1" port: {port} }} peer: "127.0.0.1:{site.ports["a"]}" key: "{KEY}" }}\n'
    with GatewaySite(more=more) as place:
        fleet, deadline_us = place.gateway.fleet, site.loop.clock.now_us() + 10 * S
        while not fleet.link.may_write() and site.loop.clock.now_us() < deadline_us:
            site.loop.turn(5_000)
            place.loop.turn(5_000)
        assert fleet.link.may_write() and len(fleet.facts()["members"]) == 3
        place.gateway.drain()
        assert fleet.link.members.left
    code = "import sys, lapiswing.gateway.serve; print([m for m in sys.modules if m.startswith('lapiswing.fleet')])"
    done = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True)
    assert done.stdout.strip() == "[]"
