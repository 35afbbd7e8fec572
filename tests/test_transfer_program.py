"""The transfer agent as a program, its box's side by a plain HTTP client, and the operators' commands."""

import http.client
import json
import os
import signal
import subprocess
import sys
import threading
import time
from pathlib import Path

import pytest
from click.testing import CliRunner
from gateway_site import ResponseCollector

from lapiswing.cli.main import main
from lapiswing.loop import Clock, Loop, free_ports
from lapiswing.observe import start_logs
from lapiswing.settings import SettingsError, load_agent
from lapiswing.standin.relay import Relay
from lapiswing.transfer.serve import Program, Refused, read_ask

KEY = "0123456789abcdef0123456789abcdef"


def settings_of(folder, name, ports, more=""):
    return f"""name: "{name}" folder: "{folder}" chunk_bytes: 65536 key: "{KEY}" log {{ level: "info" }}
listen {{ host: "127.0.0.1" port: {ports[0]} }} control {{ host: "127.0.0.1" port: {ports[1]} }} {more}"""


def until(done, most_s=30):
    """By time and not by a number of looks, which a fast machine has done before anything could move."""
    end = time.monotonic() + most_s
    while not done():
        assert time.monotonic() < end, "it did not get so far"


class Running:
    """An agent in a process of its own."""

    def __init__(self, folder, name, more=""):
        self.folder, self.name, self.ports = folder / name, name, free_ports(2)
        self.folder.mkdir()
        self.file = folder / f"{name}.txtpb"
        self.file.write_text(settings_of(name, name, self.ports, more))
        self.start()

    def start(self):
        self.process = subprocess.Popen(
            [sys.executable, "-m", "lapiswing", "transfer", "agent", str(self.file)], stderr=subprocess.PIPE, text=True
        )
        for line in self.process.stderr:
            if "event=listening" in line:
                return
        raise AssertionError(f"{self.name} did not start")

    def ask(self, method, path, value=None):
        connection = http.client.HTTPConnection("127.0.0.1", self.ports[1], timeout=30)
        connection.request(method, path, json.dumps(value) if value is not None else None)
        answer = connection.getresponse()
        body = answer.read()
        connection.close()
        return answer.status, json.loads(body) if answer.headers["content-type"] == "application/json" else body.decode()

    def stop(self, number=signal.SIGTERM):
        if self.process.poll() is None:
            self.process.send_signal(number)
        out = self.process.stderr.read()
        self.process.wait(10)
        self.process.stderr.close()
        return out


@pytest.fixture
def agents(tmp_path):
    running = []

    def make(name, more=""):
        running.append(Running(tmp_path, name, more))
        return running[-1]

    yield make
    for one in running:
        if one.process.poll() is None:
            one.stop(signal.SIGKILL)


class SlowLink:
    """A relay on a loop in a thread of its own."""

    def __init__(self, to, rate):
        self.loop = Loop(Clock())
        self.relay = Relay(self.loop, ("127.0.0.1", to))
        self.relay.rate, self.port = rate, self.relay.address[1]
        self.thread = threading.Thread(target=self.run)
        self.thread.start()

    def run(self):
        self.loop.running = True
        while self.loop.running:
            self.loop.turn(20_000)

    def close(self):
        self.loop.running = False
        self.thread.join()
        self.relay.close()
        self.loop.close()


def test_a_state_goes_from_box_to_box_through_both_agents(agents):
    a, b = agents("a"), agents("b")
    data = os.urandom(3_000_001)
    status, answer = a.ask("GET", "/v1/states/s%2F1")
    assert status == 404 and Path(answer["file"]).parent == a.folder
    Path(answer["file"]).write_bytes(data)
    status, row = a.ask("PUT", "/v1/states/s%2F1?takes=1")
    assert status == 201 and row["bytes"] == len(data)
    status, got = b.ask("POST", "/v1/fetches", {"name": "s/1", "from": [f"127.0.0.1:{a.ports[0]}"]})
    assert status == 200 and got["root"] == row["root"] and Path(got["file"]).read_bytes() == data
    for _ in range(100):  # the word comes by another connection than this answer
        if a.ask("GET", "/v1/states/s%2F1")[0] == 404:
            break
    else:
        raise AssertionError("taken once, and still there")
    assert os.listdir(a.folder) == []
    assert b.ask("GET", "/v1/status")[1]["used_bytes"] == len(data)
    text = b.ask("GET", "/metrics")[1]
    assert f'lapiswing_transfer_path_rate_bytes{{holder="127.0.0.1:{a.ports[0]}"}}' in text
    assert float(text.split('lapiswing_transfer_memory_bytes{what="used"} ')[1].split()[0]) == len(data)
    assert b.ask("DELETE", "/v1/states/s%2F1") == (200, {"released": True})
    assert b.ask("GET", "/v1/status")[1]["used_bytes"] == 0 and os.listdir(b.folder) == []
    assert "event=stopped" in b.stop() and b.process.returncode == 0


def test_a_killed_agent_goes_on_after_its_start_and_serves_what_it_had(agents):
    a, b = agents("a"), agents("b")
    data = os.urandom(20_000_000)
    (a.folder / "s").write_bytes(data)
    assert a.ask("PUT", "/v1/states/s")[0] == 201
    link = SlowLink(a.ports[0], 25_000_000)
    try:
        ask = {"name": "s", "from": [f"127.0.0.1:{link.port}"], "expires_ms": 20_000}
        lost = []

        def first():
            try:
                b.ask("POST", "/v1/fetches", ask)
            except (OSError, http.client.HTTPException):
                lost.append(True)

        thread = threading.Thread(target=first)
        thread.start()
        until(lambda: any(m["left"] is not None and m["left"] < 10_000_000 for m in b.ask("GET", "/v1/status")[1]["fetches"]))
        b.stop(signal.SIGKILL)
        thread.join()
        assert lost and sorted(os.listdir(b.folder)) == ["s.part", "s.part.manifest"]
        b.start()
        status, got = b.ask("POST", "/v1/fetches", ask)
        assert status == 200 and Path(got["file"]).read_bytes() == data
        counts = b.ask("GET", "/v1/status")[1]["counts"]
        assert counts["chunks found again"] > 150 and counts["chunks found again"] + counts["chunks received"] == 306
    finally:
        link.close()
    a.stop(signal.SIGKILL)
    a.start()  # its state has a manifest, and is served again once its bytes were held against it
    until(lambda: a.ask("GET", "/v1/status")[1]["states"])
    assert [s["name"] for s in a.ask("GET", "/v1/status")[1]["states"]] == ["s"]


def test_keys_are_read_again_on_a_signal_and_bad_settings_change_nothing(agents):
    a = agents("a")
    good = a.file.read_text()
    a.file.write_text(good.replace(KEY, "x"))
    a.process.send_signal(signal.SIGHUP)
    assert any("settings can't be read" in line and "shorter than 16" in line for line in iter(a.process.stderr.readline, ""))
    a.file.write_text(good + f'key: "{KEY[::-1]}"')
    a.process.send_signal(signal.SIGHUP)
    assert any("keys=2" in line for line in iter(a.process.stderr.readline, ""))


# ---- on the test's own loop


class Inside:
    def __init__(self, folder, name="a", more=""):
        self.loop = Loop(Clock())
        self.program = Program(load_agent(settings_of(folder, name, free_ports(2), more)), start_logs("error"), self.loop)
        self.program.start()
        self.agent = self.program.agent

    def until(self, done):
        assert self.loop.run_until(done, 10_000_000)

    def ask(self, method, target, value=None):
        """One request; -> a list that the answer comes into, and what ends the connection."""
        from lapiswing.http1 import Pool

        out, pool = [], Pool(self.loop, 8)
        exchange = pool.request(
            self.program.control,
            method.encode(),
            target.encode(),
            [],
            json.dumps(value).encode() if value is not None else b"",
            ResponseCollector(out.append),
        )
        return out, exchange

    def answer(self, *args):
        out, _ = self.ask(*args)
        self.until(lambda: out)
        status, body = out[0]
        return status, json.loads(body)

    def close(self):
        self.program.close()
        self.loop.close()


@pytest.fixture
def inside(tmp_path):
    made = []

    def make(*args, **more):
        made.append(Inside(tmp_path / f"folder{len(made)}", *args, **more))
        return made[-1]

    yield make
    for one in made:
        one.close()


@pytest.mark.parametrize(
    "value,reason",
    [
        (None, "no JSON"),
        ({}, "name"),
        ({"name": "s"}, "from"),
        ({"name": "s", "from": ["x"]}, "from"),
        ({"name": "s", "from": []}, "from"),
        ({"name": "", "from": ["a:1"]}, "name"),
        ({"name": "s", "from": ["a:1"], "expires_ms": 0}, "expires_ms"),
        ({"name": "s", "from": ["a:1"], "due_ms": True}, "due_ms"),
        ({"name": "s", "from": ["a:1"], "read_anew_ms": "soon"}, "read_anew_ms"),
    ],
)
def test_bad_asks_get_a_reason(value, reason):
    with pytest.raises(Refused, match=reason):
        read_ask(json.dumps(value).encode() if value is not None else b"{")


def test_paths_methods_and_names_that_are_no_good(inside):
    p = inside()
    assert p.answer("GET", "/nothing")[0] == 404 and p.answer("POST", "/v1/states/s")[0] == 405
    assert p.answer("PUT", "/v1/states/" + "x" * 300)[0] == 400 and p.answer("PUT", "/v1/states/s?takes=x")[0] == 400
    assert p.answer("PUT", "/v1/states/s")[0] == 404 and p.answer("DELETE", "/v1/states/s")[0] == 404
    assert p.answer("GET", "/healthz") == (200, {"draining": False})


def test_who_asks_for_a_fetch_and_goes_ends_it_unless_another_waits(inside):
    p = inside()
    held = Relay(p.loop, ("127.0.0.1", 1))
    held.hold = True
    ask = {"name": "s", "from": [f"127.0.0.1:{held.address[1]}"], "expires_ms": 60_000}
    one, first = p.ask("POST", "/v1/fetches", ask)
    two, second = p.ask("POST", "/v1/fetches", ask)
    p.until(lambda: len(p.program.waiting) == 1 and len(next(iter(p.program.waiting.values())).exchanges) == 2)
    first.cancel()
    p.until(lambda: len(next(iter(p.program.waiting.values())).exchanges) == 1)
    assert len(p.agent.fetches) == 1
    second.cancel()
    p.until(lambda: not p.program.waiting)
    assert not p.agent.fetches and not one and not two
    held.close()


def test_a_fetch_that_fails_says_why_and_what_to_do(inside):
    a = inside()
    out = a.answer("POST", "/v1/fetches", {"name": "s", "from": [f"127.0.0.1:{free_ports(1)[0]}"], "expires_ms": 2000})
    assert out[0] == 502 and "refused" in out[1]["error"]["message"] and out[1]["advice"] == "read anew"
    a.program.drain()
    assert a.answer("POST", "/v1/fetches", {"name": "s", "from": ["127.0.0.1:1"]})[0] == 503


def test_the_memory_bound_holds_for_what_boxes_put(inside):
    p = inside(more="memory_bytes: 100000")
    folder = Path(p.program.folder)
    for name, size in (("one", 60_000), ("two", 60_000)):
        (folder / name).write_bytes(os.urandom(size))
    assert p.answer("PUT", "/v1/states/one")[0] == 201 and p.answer("PUT", "/v1/states/two")[0] == 507
    assert p.agent.used_bytes == 60_000 and p.answer("DELETE", "/v1/states/one")[0] == 200 and p.agent.used_bytes == 0
    assert p.answer("PUT", "/v1/states/two")[0] == 201


def test_a_state_that_nobody_lets_go_of_goes_by_itself(inside):
    p = inside(more="keep_ms: 50")
    (Path(p.program.folder) / "s").write_bytes(b"state")
    assert p.answer("PUT", "/v1/states/s")[0] == 201
    p.until(lambda: not p.agent.states)
    assert p.agent.used_bytes == 0 and os.listdir(p.program.folder) == []


def test_a_file_without_manifest_is_not_served_after_a_start(tmp_path):
    folder = tmp_path / "f"
    folder.mkdir()
    (folder / "half").write_bytes(b"its box was writing when it died")
    p = Inside(folder)
    p.loop.run_until(lambda: False, 50_000)
    assert not p.agent.states and (folder / "half").exists()
    p.close()


@pytest.mark.parametrize(
    "change,field,reason",
    [
        (('name: "a"', 'name: ""'), "name", "missing"),
        (("65536", "100"), "chunk_bytes", "4 KiB"),
        ((KEY, "short"), "key[0]", "16"),
        (('control { host: "127.0.0.1"', 'control { host: "0.0.0.0"'), "control.host", "loopback"),
        (('log { level: "info" }', 'log { level: "loud" }'), "log.level", "none of"),
        (("folder:", "folders:"), "folders", "no such field"),
        (("log {", 'tls { key_file: "k" } log {'), "tls.certificate_file", "missing"),
    ],
)
def test_bad_settings_are_told_with_file_field_and_reason(tmp_path, change, field, reason):
    text = settings_of("f", "a", (1, 2))
    assert load_agent(text).memory_bytes == 4 << 30
    with pytest.raises(SettingsError) as problem:
        load_agent(text.replace(*change), "agent.txtpb")
    assert any((f.file, f.field) == ("agent.txtpb", field) and reason in f.reason for f in problem.value.faults)
    path = tmp_path / "agent.txtpb"
    path.write_text(text.replace(*change))
    result = CliRunner().invoke(main, ["transfer", "agent", str(path)])
    assert result.exit_code == 2 and field in result.output


def test_an_open_network_wants_a_key_or_tls():
    with pytest.raises(SettingsError, match="everybody"):
        load_agent('name: "a" folder: "f"')


# ---- operators' commands


def run(*args):
    result = CliRunner().invoke(main, [str(a) for a in args])
    return result.exit_code, result.output


def test_send_fetch_and_inspect_over_tls(tmp_path):
    keys = tmp_path / "keys"
    assert run("keys", "authority", keys)[0] == 0
    for name in ("operator", "a"):
        assert run("keys", "agent", keys, name)[0] == 0
    assert run("keys", "agent", keys, "a")[0] == 2 and run("keys", "agent", keys, "a", "--renew")[0] == 0
    assert run("keys", "agent", keys, "../a")[0] == 2 and run("keys", "agent", tmp_path, "a")[0] == 2
    assert run("keys", "check", keys, "a") == (0, "a: good for 90 days\n") and run("keys", "check", keys, "b")[0] == 2
    assert (keys / "a.key").stat().st_mode & 0o77 == 0
    data = os.urandom(5_000_000)
    (tmp_path / "s").write_bytes(data)
    (tmp_path / "got").mkdir()
    sender = subprocess.Popen(
        [
            sys.executable,
            "-m",
            "lapiswing",
            "transfer",
            "send",
            str(tmp_path / "s"),
            "--as",
            "a",
            "--tls",
            str(keys),
            "--for-s",
            "60",
        ],
        stdout=subprocess.PIPE,
        text=True,
    )
    try:
        where = sender.stdout.readline().split()[-1]
        status, seen = run("transfer", "inspect", where, "--tls", keys, "--json")
        assert status == 0 and json.loads(seen)["agent"] == "a" and json.loads(seen)["states"][0]["bytes"] == len(data)
        assert run("transfer", "inspect", where, "--within-s", 1)[0] == 1  # without a certificate
        status, text = run("transfer", "fetch", "s", "--from", where, "--to", tmp_path / "got", "--tls", keys)
        assert status == 0 and (tmp_path / "got" / "s").read_bytes() == data, text
        assert sender.wait(20) == 0 and "taken 1 time" in sender.stdout.read()
    finally:
        sender.kill()
        sender.stdout.close()
        sender.wait()
    assert "whole" in run("transfer", "inspect", tmp_path / "got")[1]
    status, text = run("transfer", "fetch", "t", "--from", where, "--to", tmp_path / "got", "--within-s", 3)
    assert status == 1 and "Connection refused" in text


@pytest.mark.parametrize(
    "args,reason",
    [
        (["send", "none"], "No such file"),
        (["fetch", "s", "--from", "x"], "host:port"),
        (["inspect", "nothing"], "neither"),
        (["fetch", "s", "--from", "a:1", "--to", "/nowhere"], "no such folder"),
        (["agent", "none"], "No such file"),
        (["fetch", "s.part", "--from", "a:1"], "can't be called"),
        (["send", "none", "--key-file", "none"], "none: "),
        (["inspect", "127.0.0.1:1", "--tls", "/nowhere"], "No such file"),
    ],
)
def test_bad_arguments_end_with_2_and_a_reason(args, reason):
    status, text = run("transfer", *args)
    assert status == 2 and reason in text
