"""The console: its views as text, and the program in a pseudo-terminal."""

import fcntl
import json
import os
import pty
import re
import select
import signal
import struct
import subprocess
import sys
import termios
import threading
import time
import urllib.request

import pyte
import pytest
from click.testing import CliRunner

from lapiswing.cli.main import main
from lapiswing.console.model import VIEWS, Model
from lapiswing.console.text import age, clean, fit, spark, width
from lapiswing.console.views import render
from lapiswing.loop import free_ports
from lapiswing.standin.demo import write_demo

UNSAFE_NAME = "w\x1b[2J\x1b]0;owned\x07\u202e\r\n\x9b31m"
WIDE_NAME = "日本語の箱"


def snapshot(server="10.0.0.1:1", **parts):
    """A snapshot of the admin socket in which `server` has a finding. `parts` replace its own."""
    now_ms = 1_700_000_000_000
    row = {
        "role": "write",
        "mode": "ready",
        "why": None,
        "zone": 0,
        "cell": 0,
        "kind": "decode",
        "out": 3,
        "codes": {"done": 9, "error": 2},
        "last": "done",
        "first_us": 21000.0,
        "read_us": None,
        "fail_us": None,
        "starts": 0,
        "cold": False,
        "up_ms": None,
        "suspect": False,
        "bad": 0.1,
        "kept_texts": 4,
        "memory": 0.5,
        "queue": 0,
        "inflight": 1,
    }
    req = {
        "req": 7,
        "group": "g",
        "tenant": "kiosk",
        "stage": "held",
        "box": server,
        "age_ms": 1200,
        "left_ms": 400,
        "held_ms": 300,
        "prompt": 10,
        "tokens": 0,
        "forwards": 1,
        "resumes": 0,
        "outs": [],
        "trail": [],
    }
    return {
        "v": 1,
        "seq": 5,
        "unix_ms": now_ms,
        "gateway": {"name": "site", "index": 0, "version": "0", "pid": 1, "up_ms": 65_000, "port": 1, "draining": False},
        "verdict": {"level": 3, "text": f"{server} drains; things are bad."},
        "findings": [
            {
                "kind": "no box",
                "subject": server,
                "level": 3,
                "since_unix_ms": now_ms - 4200,
                "cause": "the only writer drains",
                "evidence": f"{server} drains (operator)",
                "do": "take it back",
                "page": "no-box",
                "acknowledged": False,
            }
        ],
        "boxes": [{"box": server, **row, "writes": 1.0}, {"box": "10.0.0.2:1", **row, "suspect": True}],
        "counts": {"taken": 20, "done": 11, "pushed back": 3, "aborted": 1, "left": 0, "not taken": 0, "resumed": 0},
        "now": {
            "open": 4,
            "open_limit": 100,
            "holds": 1,
            "oldest_hold_ms": 300,
            "hold_limit_ms": 500,
            "first_p50_ms": 40,
            "first_p99_ms": 90,
            "lag_us": 1,
            "read_wait_ms": 3.0,
            "write_wait_ms": 4.0,
        },
        "tenants": [
            {
                "tenant": "kiosk",
                "quota_rps": None,
                "cap": {"rps": 2.0, "left_ms": 60_000},
                "taken": 20,
                "done": 11,
                "pushed back": 3,
                "aborted": 1,
                "left": 0,
                "capped": 0,
                "tokens": 1,
                "open": 4,
            }
        ],
        "sessions": {"open": 2, "connected": 1, "away": 1, "bytes": 0},
        "store": {"mode": "full", "why": "No space left", "keys": 7, "bytes": 3 << 20},
        "tasks": {"running": [{"name": "compaction"}]},
        "records": {"sources": [{"source": f"dns-sd {server}", "state": "stale", "boxes": 3, "problem": None}]},
        "modes": [{"unix_ms": now_ms - 9000, "type": "box", "box": server, "mode": "draining", "why": "operator"}],
        "reqs": [req, {**req, "req": 8, "held_ms": None, "stage": "stream", "left_ms": None}],
    } | parts


def shown(model, columns=80, rows=24):
    """The rendered screen as text; checks that it has exactly the size."""
    lines = render(model, columns, rows, 1_700_000_000_500)
    assert len(lines) == rows
    for line in lines:
        assert sum(width(text) for _, text in line) == columns, line
    return "\n".join("".join(text for _, text in line) for line in lines)


def live_model(**options):
    """A connected model that has a snapshot; `options`: of `snapshot`."""
    model = Model("here")
    model.connected(0)
    model.snapshot(snapshot(**options), 1_700_000_000_000)
    return model


@pytest.mark.parametrize("size", [(80, 24), (20, 5), (200, 60), (10, 2), (1, 1), (120, 30)])
@pytest.mark.parametrize("view", VIEWS)
def test_each_view_fits_each_size(size, view):
    model = live_model(server=WIDE_NAME * 8)
    model.show_view(view)
    shown(model, *size)
    model.show_help = True
    shown(model, *size)


@pytest.mark.parametrize("view", VIEWS)
def test_no_control_characters_reach_the_screen(view):
    model = live_model(server=UNSAFE_NAME)
    model.show_view(view)
    model.lost(0, UNSAFE_NAME)
    for text in (shown(model), shown(live_model(server=UNSAFE_NAME), 200, 50)):
        assert not re.search(r"[\x00-\x09\x0b-\x1f\x7f-\x9f\u202a-\u202e\u2066-\u2069]", text)


def test_clean_fit_age_and_spark():
    assert clean("a\x1b[31mb") == "a·[31mb" and clean("\u202eabc") == "·abc" and clean("x" * 999, 10) == "x" * 10
    assert (
        clean(WIDE_NAME) == WIDE_NAME
        and width(fit(WIDE_NAME, 5)) == 5
        and fit(WIDE_NAME, 5) == "日本…"
        and fit("a", 3, True) == "  a"
    )
    assert [age(v) for v in (0, 999, 4200, 187_000, 7_500_000, None)] == ["0 ms", "999 ms", "4.2 s", "3:07", "2 h 05", "-"]
    assert spark([0, 1, 4], 3) == " ▂█" and spark([0, 8], 9, True) == " @" and spark([], 5) == ""


def test_overview_shows_findings_and_counters():
    text = shown(live_model())
    for part in (
        "SERIOUS",
        "the only writer drains, for 4.2 s",
        "do: take it back",
        "oldest 300 ms of 500 ms",
        "pushed back",
        "store full",
        "compaction",
        "boxes, stale",
    ):
        assert part in text
    assert "NO CONNECTION" not in text


def test_lost_connection_is_shown_with_the_age_of_the_snapshot():
    model = live_model()
    model.lost(1_700_000_000_100, "refused")
    assert "NO CONNECTION" in shown(model) and "refused" in shown(model) and "ago" in shown(model)


def test_search_sort_select_and_pause():
    model = live_model()
    model.key("2")
    assert [r["box"] for r in model.listed()] == ["10.0.0.1:1", "10.0.0.2:1"]
    model.key("r")
    assert [r["box"] for r in model.listed()][0] == "10.0.0.2:1"
    for key in ["/", "0", ".", "2", "enter"]:
        model.key(key)
    assert [r["box"] for r in model.listed()] == ["10.0.0.2:1"]
    model.key("esc")
    assert len(model.listed()) == 2
    model.key("p")
    model.snapshot(snapshot(boxes=[]), 1)
    assert len(model.listed()) == 2
    model.key("p")
    model.snapshot(snapshot(boxes=[]), 1)
    assert model.listed() == [] and "none" in shown(model)
    model.key("3")
    assert model.key("enter") == ("req", 7)
    model.key("s")
    model.key("G")
    assert model.selected == 1
    assert model.key("q") == ("quit",)


def test_actions_need_control_access_and_confirmation():
    model = live_model()
    model.key("2")
    assert model.key("d") is None and "look only" in model.message
    model.may_act = True
    assert model.key("d") is None and model.prompt
    for key in "no":
        model.key(key)
    assert model.key("enter") is None and model.message == "Nothing was done."
    model.key("d")
    for key in "yes":
        model.key(key)
    assert model.key("enter") == ("act", {"act": "drain", "what": "10.0.0.1:1"})
    assert model.key("t") == ("act", {"act": "take-back", "what": "10.0.0.1:1"})
    model.key("5")
    model.key("c")
    for key in "2.5":
        model.key(key)
    assert model.key("enter") == ("act", {"act": "cap", "what": "kiosk", "rps": 2.5})
    model.key("c")
    model.key("x")
    assert model.key("enter") is None and "is not a number" in model.message
    assert model.key("u") == ("act", {"act": "uncap", "what": "kiosk"})
    assert model.key("a") == ("act", {"act": "acknowledge", "what": "10.0.0.1:1", "kind": "no box"})


def test_restart_of_the_gateway_is_shown():
    model = live_model()
    model.feed({"seq": 6, "unix_ms": 1, "type": "tick", "counts": {"taken": 1}})
    other = snapshot()
    other["gateway"] = {**other["gateway"], "pid": 2}
    model.snapshot(other, 2)
    assert "started again" in model.message and not model.ticks and model.restarts == 1
    model.feed({"type": "lost", "from": 1, "to": 7})
    assert model.missed_changes == 7


# ---- in a terminal


class Terminal:
    """A command in a pseudo-terminal, with an emulated screen."""

    def __init__(self, args, columns=80, rows=24):
        self.pid, self.fd = pty.fork()
        if self.pid == 0:
            os.environ.update(TERM="xterm-256color", LC_ALL="C.UTF-8", LANG="C.UTF-8")
            os.execv(sys.executable, [sys.executable, "-m", "lapiswing", *args])
        self.screen = pyte.Screen(columns, rows)
        self.stream, self.output, self.ended = pyte.ByteStream(self.screen), b"", False
        self.resize(columns, rows)

    def resize(self, columns, rows):
        fcntl.ioctl(self.fd, termios.TIOCSWINSZ, struct.pack("HHHH", rows, columns, 0, 0))
        self.screen.resize(rows, columns)
        self.screen.reset()
        os.kill(self.pid, signal.SIGWINCH)

    def pump(self, seconds):
        """Passes output to the emulated screen, once; waits for it at most so long."""
        end = time.monotonic() + seconds
        while time.monotonic() < end and not self.ended:
            if select.select([self.fd], [], [], 0.05)[0]:
                try:
                    data = os.read(self.fd, 65536)
                except OSError:
                    data = b""
                self.ended = not data
                self.output += data
                self.stream.feed(data)
                return

    def until(self, wanted, timeout_s=30):
        """Waits until a text is on the screen, or a function of the screen's text is true; returns the text."""
        done = wanted if callable(wanted) else (lambda text: wanted in text)
        end = time.monotonic() + timeout_s
        while not done(self.text()):
            assert time.monotonic() < end and not self.ended, f"not seen: {wanted}\n{self.text()}"
            self.pump(0.1)
        return self.text()

    def text(self):
        return "\n".join(self.screen.display)

    def key(self, data):
        os.write(self.fd, data)

    def close(self):
        try:
            os.kill(self.pid, signal.SIGKILL)
        except ProcessLookupError:
            pass
        os.close(self.fd)
        try:
            os.waitpid(self.pid, 0)
        except ChildProcessError:
            pass


def alive(pid):
    """Whether a process runs. One that has ended but was not waited for (a zombie) has an empty command line."""
    try:
        with open(f"/proc/{pid}/cmdline", "rb") as file:
            return bool(file.read())
    except OSError:
        return False


class DemoSite:
    """The demo as started by `lapiswing up`: supervisor, gateway and stand-in servers."""

    def __init__(self):
        (self.port,) = free_ports(1)
        self.file, _ = write_demo(self.port, 5)
        self.state = self.file.with_name(self.file.name + ".state")
        self.run("up", str(self.file), "--no-console")
        self.roles = {row["box"]: row["role"] for row in self.ask("/v1/snapshot?parts=boxes")["boxes"]}

    def run(self, *args, expect_success=True):
        """Runs a command of lapiswing to its end."""
        done = subprocess.run([sys.executable, "-m", "lapiswing", *args], capture_output=True, text=True, timeout=60)
        assert not expect_success or done.returncode == 0, done.stdout + done.stderr
        return done

    def ask(self, path):
        from lapiswing.admin.client import ask

        return ask(str(self.state / "gateway.sock"), "GET", path)

    def act(self, *args):
        return self.run("act", "--at", str(self.state / "control.sock"), *args)

    def call(self, text="soup?", model="menu-question"):
        """Sends one chat request and returns its duration in s."""
        body = json.dumps({"model": model, "messages": [{"role": "user", "content": text}], "metadata": {"answer_tokens": "5"}})
        request = urllib.request.Request(
            f"http://127.0.0.1:{self.port}/v1/chat/completions",
            body.encode(),
            {"authorization": "Bearer demo", "content-type": "application/json"},
        )
        start = time.monotonic()
        with urllib.request.urlopen(request, timeout=20) as answer:
            answer.read()
        return time.monotonic() - start

    def children(self):
        """The supervisor's children by name."""
        return {c["name"]: c for c in json.loads((self.state / "status.json").read_text())["children"]}

    def close(self):
        pids = [c["pid"] for c in self.children().values()]
        self.run("down", str(self.file))
        assert not [pid for pid in pids if alive(pid)], "something was left running"


@pytest.fixture(scope="module")
def site():
    site = DemoSite()
    yield site
    site.close()


@pytest.fixture
def terminal():
    opened = []

    def open_terminal(*args, **size):
        opened.append(Terminal([str(arg) for arg in args], **size))
        return opened[-1]

    yield open_terminal
    for console in opened:
        console.close()


def number_after(text, label):
    return int(re.search(rf"{label}\s+(\d+)", text).group(1))


def test_counts_on_the_screen_match_the_admin_snapshot(site, terminal):
    console = terminal("console", "--at", site.state / "gateway.sock", "--read-only")
    console.until("All well")
    for i in range(15):
        site.call(f"question {i}")
    snap = site.ask("/v1/snapshot")
    done, rows_by_server = snap["counts"]["done"], {row["box"]: row for row in snap["boxes"]}
    text = console.until(lambda s: f"done {done}," in s)
    assert number_after(text, "pushed back") == snap["counts"]["pushed back"]
    assert number_after(text, " open") == 0
    console.key(b"2")
    text = console.until(lambda s: "5 in all" in s)
    for name, row in rows_by_server.items():
        line = next(line for line in text.splitlines() if name in line)
        assert row["role"] in line and "ready" in line and re.search(r"\s0\s*$", line)
    console.key(b"5")
    console.until(lambda s: re.search(rf"demo\s+0\s+{done}\s+{done}\s+0\s+0", s))
    console.key(b"d")
    console.until("look only")
    console.key(b"q")
    console.pump(1)


def test_operator_drains_all_writers_and_takes_one_back(site, terminal):
    console = terminal("up", site.file, "--attach")
    console.until("All well")
    writers = [name for name, role in site.roles.items() if role == "write"]
    for name in writers[1:]:
        site.act("drain", name)
    console.key(b"2")
    console.until("draining (operator)")
    row_index = sorted(site.roles).index(writers[0])
    console.key(b"g" + b"j" * row_index)
    console.until(lambda s: f">{writers[0]}" in s)
    console.key(b"d")
    console.until("Type yes")
    console.key(b"yes\r")
    console.until("SERIOUS")
    text = console.until("3 of 3 writers drain")
    other = terminal("console", "--at", site.state / "gateway.sock", "--mono")  # opened while no writer is left
    other.until("all 3 writers drain")
    assert "do: " in other.text()
    done = site.run("status", "--at", str(site.state / "gateway.sock"), expect_success=False)
    assert done.returncode == 4 and "all 3 writers drain" in done.stdout
    console.key(b"t")
    console.until(lambda s: "SERIOUS" not in s)
    for name in writers[1:]:
        site.act("take-back", name)
    console.until("All well")
    site.call()
    audit = [json.loads(line) for line in (site.state / "audit.jsonl").read_text().splitlines()]
    assert [a["ask"]["act"] for a in audit][-6:] == ["drain", "drain", "drain", "take-back", "take-back", "take-back"]
    assert text


def test_resized_stopped_or_closed_consoles_do_not_disturb_requests(site, terminal):
    """Requests must be answered as before while one console is made tiny, one is stopped and one is hung up."""
    resized, stopped, hung = (terminal("console", "--at", site.state / "gateway.sock") for _ in range(3))
    for console in (resized, stopped, hung):
        console.until("All well")
    os.kill(stopped.pid, signal.SIGSTOP)
    os.kill(hung.pid, signal.SIGHUP)
    before, durations_s, end = site.ask("/v1/snapshot")["counts"]["done"], [], threading.Event()

    def send_requests():
        while not end.is_set():
            durations_s.append(site.call("busy"))

    threads = [threading.Thread(target=send_requests) for _ in range(4)]
    for thread in threads:
        thread.start()
    resized.resize(20, 5)
    resized.until(lambda s: "site" in s or "demo" in s)
    for key in (b"1", b"2", b"3", b"?", b"x", b"/", b"\x1b", b"6"):
        resized.key(key)
        resized.pump(0.3)
    resized.resize(80, 24)
    resized.until("overview")
    while len(durations_s) < 60:
        resized.pump(0.1)
    end.set()
    for thread in threads:
        thread.join()
    hung.pump(1)
    os.kill(stopped.pid, signal.SIGCONT)
    stopped.until(lambda s: f"done {before + len(durations_s)}," in s)
    counts = site.ask("/v1/snapshot")["counts"]
    assert counts["done"] == before + len(durations_s) and counts["aborted"] == 0 and counts["pushed back"] == 0
    assert max(durations_s) < 3


def test_ten_consoles_at_once(site, terminal):
    consoles = [terminal("console", "--at", site.state / "gateway.sock", columns=100) for _ in range(10)]
    for console in consoles:
        console.until("All well")
    assert site.call() < 3
    for console in consoles:
        console.key(b"q")


def test_console_shows_the_restart_of_a_killed_gateway(site, terminal):
    console = terminal("up", site.file, "--attach")
    console.until("All well")
    site.call()
    old = site.children()["gateway"]
    os.kill(old["pid"], signal.SIGKILL)
    console.until("started again")
    new = site.children()["gateway"]
    assert new["pid"] != old["pid"] and new["why"] == "killed by signal 9" and new["last_words"]
    site.call()
    text = console.until("this gateway was started again")
    assert "killed by signal 9" in text.replace("\n", " ")


def test_site_survives_its_terminal_and_a_lock_prevents_a_second_supervisor(site, terminal):
    console = terminal("up", site.file, "--attach")
    console.until("demo")
    pids = {c["pid"] for c in site.children().values()}
    os.kill(console.pid, signal.SIGHUP)
    console.pump(1)
    site.call()
    again = site.run("up", str(site.file), "--no-console")
    assert "Running" in again.stdout and {c["pid"] for c in site.children().values()} == pids
    second = site.run("up", str(site.file), "--foreground", expect_success=False)
    assert second.returncode == 2 and "runs it already" in second.stderr


def test_new_supervisor_takes_over_the_processes_of_a_killed_one(site):
    from lapiswing.appliance.supervise import holder_of

    gateway, supervisor = site.children()["gateway"]["pid"], holder_of(site.state)
    os.kill(supervisor, signal.SIGKILL)
    end = time.monotonic() + 10
    while holder_of(site.state) is not None and time.monotonic() < end:
        time.sleep(0.02)
    site.call()
    stand_ins = site.children()["stand-ins"]["pid"]
    site.run("up", str(site.file), "--no-console")
    assert site.children()["gateway"]["pid"] == gateway and site.children()["stand-ins"]["pid"] == stand_ins
    site.call()


def test_exit_codes_of_status_and_other_commands(site, tmp_path):
    done = site.run("status", "--at", str(site.state / "gateway.sock"), "--json", expect_success=False)
    assert done.returncode in (0, 3) and json.loads(done.stdout)["v"] == 1
    assert CliRunner().invoke(main, ["status", "--at", str(tmp_path / "none")]).exit_code == 5
    result = CliRunner().invoke(main, ["console", "--at", str(tmp_path / "none")])
    assert result.exit_code == 2 and "no such socket" in result.output
    assert CliRunner().invoke(main, ["up"]).exit_code == 2
    assert CliRunner().invoke(main, ["up", str(tmp_path / "x")]).exit_code == 2
    assert CliRunner().invoke(main, ["down", str(tmp_path / "x")]).exit_code == 2


def test_invalid_settings_are_reported_and_nothing_is_left_running(tmp_path):
    file = tmp_path / "bad.txtpb"
    file.write_text('gateway { nam: "x" }')
    result = CliRunner().invoke(main, ["up", str(file), "--no-console"])
    assert result.exit_code == 2 and "nam: no such field" in result.output
    from lapiswing.appliance.supervise import holder_of

    assert holder_of(tmp_path / "bad.txtpb.state") is None


def test_gateway_that_can_not_listen_says_why(tmp_path):
    import socket

    occupied = socket.create_server(("127.0.0.1", 0))
    file = tmp_path / "taken.txtpb"
    file.write_text(
        f'listen {{ port: {occupied.getsockname()[1]} }} group {{ name: "g" effect: REPLAYABLE }} '
        'kind { name: "k" role: BOTH memory_tokens: 10 } box { id: "127.0.0.1:9" kind: "k" }'
    )
    done = subprocess.run(
        [sys.executable, "-m", "lapiswing", "up", str(file), "--no-console"], capture_output=True, text=True, timeout=60
    )
    assert done.returncode == 2 and "can't listen" in done.stderr
    occupied.close()
    subprocess.run([sys.executable, "-m", "lapiswing", "down", str(file)], capture_output=True, timeout=60)
