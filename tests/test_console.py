"""The console: its views as pure text, and the program in a real pseudo-terminal."""

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

NASTY = "w\x1b[2J\x1b]0;owned\x07\u202e\r\n\x9b31m"
WIDE = "日本語の箱"


def snapshot(box="10.0.0.1:1", **more):
    now = 1_700_000_000_000
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
        "box": box,
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
        "unix_ms": now,
        "gateway": {"name": "site", "index": 0, "version": "0", "pid": 1, "up_ms": 65_000, "port": 1, "draining": False},
        "verdict": {"level": 3, "text": f"{box} drains; things are bad."},
        "findings": [
            {
                "kind": "no box",
                "subject": box,
                "level": 3,
                "since_unix_ms": now - 4200,
                "cause": "the only writer drains",
                "evidence": f"{box} drains (operator)",
                "do": "take it back",
                "page": "no-box",
                "acknowledged": False,
            }
        ],
        "boxes": [{"box": box, **row, "writes": 1.0}, {"box": "10.0.0.2:1", **row, "suspect": True}],
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
        "records": {"sources": [{"source": f"dns-sd {box}", "state": "stale", "boxes": 3, "problem": None}]},
        "modes": [{"unix_ms": now - 9000, "type": "box", "box": box, "mode": "draining", "why": "operator"}],
        "reqs": [req, {**req, "req": 8, "held_ms": None, "stage": "stream", "left_ms": None}],
    } | more


def shown(model, columns=80, rows=24):
    lines = render(model, columns, rows, 1_700_000_000_500)
    assert len(lines) == rows
    for line in lines:
        assert sum(width(text) for _, text in line) == columns, line
    return "\n".join("".join(text for _, text in line) for line in lines)


def live(**more):
    model = Model("here")
    model.connected(0)
    model.snapshot(snapshot(**more), 1_700_000_000_000)
    return model


@pytest.mark.parametrize("size", [(80, 24), (20, 5), (200, 60), (10, 2), (1, 1), (120, 30)])
@pytest.mark.parametrize("view", VIEWS)
def test_each_view_fits_each_size(size, view):
    model = live(box=WIDE * 8)
    model.show_view(view)
    shown(model, *size)
    model.show_help = True
    shown(model, *size)


@pytest.mark.parametrize("view", VIEWS)
def test_nothing_that_moves_a_cursor_reaches_the_screen(view):
    model = live(box=NASTY)
    model.show_view(view)
    model.lost(0, NASTY)
    for text in (shown(model), shown(live(box=NASTY), 200, 50)):
        assert not re.search(r"[\x00-\x09\x0b-\x1f\x7f-\x9f\u202a-\u202e\u2066-\u2069]", text)


def test_clean_and_fit():
    assert clean("a\x1b[31mb") == "a·[31mb" and clean("\u202eabc") == "·abc" and clean("x" * 999, 10) == "x" * 10
    assert clean(WIDE) == WIDE and width(fit(WIDE, 5)) == 5 and fit(WIDE, 5) == "日本…" and fit("a", 3, True) == "  a"
    assert [age(v) for v in (0, 999, 4200, 187_000, 7_500_000, None)] == ["0 ms", "999 ms", "4.2 s", "3:07", "2 h 05", "-"]
    assert spark([0, 1, 4], 3) == " ▂█" and spark([0, 8], 9, True) == " @" and spark([], 5) == ""


def test_the_overview_tells_the_finding_and_the_numbers():
    text = shown(live())
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


def test_a_lost_connection_is_told_and_what_is_shown_is_marked_as_old():
    model = live()
    model.lost(1_700_000_000_100, "refused")
    assert "NO CONNECTION" in shown(model) and "refused" in shown(model) and "ago" in shown(model)


def test_search_sort_pick_and_pause():
    model = live()
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


def test_acts_want_the_right_and_a_yes():
    model = live()
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


def test_another_life_of_the_gateway_is_told():
    model = live()
    model.feed({"seq": 6, "unix_ms": 1, "type": "tick", "counts": {"taken": 1}})
    other = snapshot()
    other["gateway"] = {**other["gateway"], "pid": 2}
    model.snapshot(other, 2)
    assert "started again" in model.message and not model.ticks and model.restarts == 1
    model.feed({"type": "lost", "from": 1, "to": 7})
    assert model.missed_changes == 7


# ---- in a terminal


class Terminal:
    def __init__(self, args, columns=80, rows=24):
        self.pid, self.fd = pty.fork()
        if self.pid == 0:
            os.environ.update(TERM="xterm-256color", LC_ALL="C.UTF-8", LANG="C.UTF-8")
            os.execv(sys.executable, [sys.executable, "-m", "lapiswing", *args])
        self.screen = pyte.Screen(columns, rows)
        self.stream, self.raw, self.ended = pyte.ByteStream(self.screen), b"", False
        self.resize(columns, rows)

    def resize(self, columns, rows):
        fcntl.ioctl(self.fd, termios.TIOCSWINSZ, struct.pack("HHHH", rows, columns, 0, 0))
        self.screen.resize(rows, columns)
        self.screen.reset()
        os.kill(self.pid, signal.SIGWINCH)

    def pump(self, seconds):
        end = time.monotonic() + seconds
        while time.monotonic() < end and not self.ended:
            if select.select([self.fd], [], [], 0.05)[0]:
                try:
                    data = os.read(self.fd, 65536)
                except OSError:
                    data = b""
                self.ended = not data
                self.raw += data
                self.stream.feed(data)
                return

    def until(self, wanted, most_s=30):
        """Until a text is on the screen, or a function of the screen holds."""
        done = wanted if callable(wanted) else (lambda text: wanted in text)
        end = time.monotonic() + most_s
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
    """Whether it runs; one that has ended and was not asked after yet has no arguments any more."""
    try:
        with open(f"/proc/{pid}/cmdline", "rb") as file:
            return bool(file.read())
    except OSError:
        return False


class Site:
    """The demo as an appliance: supervisor, gateway and stand-ins."""

    def __init__(self):
        (self.port,) = free_ports(1)
        self.file, _ = write_demo(self.port, 5)
        self.state = self.file.with_name(self.file.name + ".state")
        self.run("up", str(self.file), "--no-console")
        self.boxes = {row["box"]: row["role"] for row in self.ask("/v1/snapshot?parts=boxes")["boxes"]}

    def run(self, *args, good=True):
        done = subprocess.run([sys.executable, "-m", "lapiswing", *args], capture_output=True, text=True, timeout=60)
        assert not good or done.returncode == 0, done.stdout + done.stderr
        return done

    def ask(self, path):
        from lapiswing.admin.client import ask

        return ask(str(self.state / "gateway.sock"), "GET", path)

    def act(self, *args):
        return self.run("act", "--at", str(self.state / "control.sock"), *args)

    def call(self, text="soup?", model="menu-question"):
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
        return {c["name"]: c for c in json.loads((self.state / "status.json").read_text())["children"]}

    def close(self):
        pids = [c["pid"] for c in self.children().values()]
        self.run("down", str(self.file))
        assert not [pid for pid in pids if alive(pid)], "something was left running"


@pytest.fixture(scope="module")
def site():
    site = Site()
    yield site
    site.close()


@pytest.fixture
def terminal():
    opened = []

    def make(*args, **more):
        opened.append(Terminal([str(a) for a in args], **more))
        return opened[-1]

    yield make
    for one in opened:
        one.close()


def number_after(text, label):
    return int(re.search(rf"{label}\s+(\d+)", text).group(1))


def test_the_numbers_on_the_screen_are_the_gateways_and_the_boxs(site, terminal):
    t = terminal("console", "--at", site.state / "gateway.sock", "--read-only")
    t.until("All well")
    for i in range(15):
        site.call(f"question {i}")
    snap = site.ask("/v1/snapshot")
    done, boxes = snap["counts"]["done"], {b["box"]: b for b in snap["boxes"]}
    text = t.until(lambda s: f"done {done}," in s)
    assert number_after(text, "pushed back") == snap["counts"]["pushed back"]
    assert number_after(text, " open") == 0
    t.key(b"2")
    text = t.until(lambda s: "5 in all" in s)
    for name, row in boxes.items():
        line = next(line for line in text.splitlines() if name in line)
        assert row["role"] in line and "ready" in line and re.search(r"\s0\s*$", line)
    t.key(b"5")
    t.until(lambda s: re.search(rf"demo\s+0\s+{done}\s+{done}\s+0\s+0", s))
    t.key(b"d")
    t.until("look only")
    t.key(b"q")
    t.pump(1)


def test_an_operator_drains_all_writers_from_the_console_and_takes_one_back(site, terminal):
    t = terminal("up", site.file, "--attach")
    t.until("All well")
    writers = [b for b, role in site.boxes.items() if role == "write"]
    for box in writers[1:]:
        site.act("drain", box)
    t.key(b"2")
    t.until("draining (operator)")
    row = sorted(site.boxes).index(writers[0])
    t.key(b"g" + b"j" * row)
    t.until(lambda s: f">{writers[0]}" in s)
    t.key(b"d")
    t.until("Type yes")
    t.key(b"yes\r")
    t.until("SERIOUS")
    text = t.until("3 of 3 writers drain")
    other = terminal("console", "--at", site.state / "gateway.sock", "--mono")  # opened while no writer is left
    other.until("all 3 writers drain")
    assert "do: " in other.text()
    done = site.run("status", "--at", str(site.state / "gateway.sock"), good=False)
    assert done.returncode == 4 and "all 3 writers drain" in done.stdout
    t.key(b"t")
    t.until(lambda s: "SERIOUS" not in s)
    for box in writers[1:]:
        site.act("take-back", box)
    t.until("All well")
    site.call()
    audit = [json.loads(line) for line in (site.state / "audit.jsonl").read_text().splitlines()]
    assert [a["ask"]["act"] for a in audit][-6:] == ["drain", "drain", "drain", "take-back", "take-back", "take-back"]
    assert text


def test_tiny_and_back_closed_by_hangup_and_stopped_in_a_busy_minute(site, terminal):
    """Whatever becomes of a console, reqs are answered as before."""
    t, stopped, hung = (terminal("console", "--at", site.state / "gateway.sock") for _ in range(3))
    for one in (t, stopped, hung):
        one.until("All well")
    os.kill(stopped.pid, signal.SIGSTOP)
    os.kill(hung.pid, signal.SIGHUP)
    before, times, end = site.ask("/v1/snapshot")["counts"]["done"], [], threading.Event()

    def busy():
        while not end.is_set():
            times.append(site.call("busy"))

    threads = [threading.Thread(target=busy) for _ in range(4)]
    for thread in threads:
        thread.start()
    t.resize(20, 5)
    t.until(lambda s: "site" in s or "demo" in s)
    for key in (b"1", b"2", b"3", b"?", b"x", b"/", b"\x1b", b"6"):
        t.key(key)
        t.pump(0.3)
    t.resize(80, 24)
    t.until("overview")
    while len(times) < 60:
        t.pump(0.1)
    end.set()
    for thread in threads:
        thread.join()
    hung.pump(1)
    os.kill(stopped.pid, signal.SIGCONT)
    stopped.until(lambda s: f"done {before + len(times)}," in s)
    counts = site.ask("/v1/snapshot")["counts"]
    assert counts["done"] == before + len(times) and counts["aborted"] == 0 and counts["pushed back"] == 0
    assert max(times) < 3


def test_ten_consoles_at_once(site, terminal):
    many = [terminal("console", "--at", site.state / "gateway.sock", columns=100) for _ in range(10)]
    for one in many:
        one.until("All well")
    assert site.call() < 3
    for one in many:
        one.key(b"q")


def test_a_gateway_that_is_killed_comes_back_under_its_console(site, terminal):
    t = terminal("up", site.file, "--attach")
    t.until("All well")
    site.call()
    old = site.children()["gateway"]
    os.kill(old["pid"], signal.SIGKILL)
    t.until("started again")
    new = site.children()["gateway"]
    assert new["pid"] != old["pid"] and new["why"] == "killed by signal 9" and new["last_words"]
    site.call()
    text = t.until("this gateway was started again")
    assert "killed by signal 9" in text.replace("\n", " ")


def test_closing_the_terminal_leaves_routing_running_and_a_lock_prevents_two(site, terminal):
    t = terminal("up", site.file, "--attach")
    t.until("demo")
    pids = {c["pid"] for c in site.children().values()}
    os.kill(t.pid, signal.SIGHUP)
    t.pump(1)
    site.call()
    again = site.run("up", str(site.file), "--no-console")
    assert "Running" in again.stdout and {c["pid"] for c in site.children().values()} == pids
    second = site.run("up", str(site.file), "--foreground", good=False)
    assert second.returncode == 2 and "runs it already" in second.stderr


def test_a_supervisor_that_dies_leaves_the_gateway_and_the_next_one_finds_it(site):
    from lapiswing.appliance.supervise import holder_of

    gateway, supervisor = site.children()["gateway"]["pid"], holder_of(site.state)
    os.kill(supervisor, signal.SIGKILL)
    end = time.monotonic() + 10
    while holder_of(site.state) is not None and time.monotonic() < end:
        time.sleep(0.02)
    site.call()
    boxes = site.children()["stand-ins"]["pid"]
    site.run("up", str(site.file), "--no-console")
    assert site.children()["gateway"]["pid"] == gateway and site.children()["stand-ins"]["pid"] == boxes
    site.call()


def test_status_tells_and_its_exit_code_can_be_used(site, tmp_path):
    done = site.run("status", "--at", str(site.state / "gateway.sock"), "--json", good=False)
    assert done.returncode in (0, 3) and json.loads(done.stdout)["v"] == 1
    assert CliRunner().invoke(main, ["status", "--at", str(tmp_path / "none")]).exit_code == 5
    result = CliRunner().invoke(main, ["console", "--at", str(tmp_path / "none")])
    assert result.exit_code == 2 and "no such socket" in result.output
    assert CliRunner().invoke(main, ["up"]).exit_code == 2
    assert CliRunner().invoke(main, ["up", str(tmp_path / "x")]).exit_code == 2
    assert CliRunner().invoke(main, ["down", str(tmp_path / "x")]).exit_code == 2


def test_bad_settings_are_told_at_once_and_nothing_is_left_running(tmp_path):
    file = tmp_path / "bad.txtpb"
    file.write_text('gateway { nam: "x" }')
    result = CliRunner().invoke(main, ["up", str(file), "--no-console"])
    assert result.exit_code == 2 and "nam: no such field" in result.output
    from lapiswing.appliance.supervise import holder_of

    assert holder_of(tmp_path / "bad.txtpb.state") is None


def test_a_gateway_that_can_not_start_says_why(tmp_path):
    import socket

    held = socket.create_server(("127.0.0.1", 0))
    file = tmp_path / "taken.txtpb"
    file.write_text(
        f'listen {{ port: {held.getsockname()[1]} }} group {{ name: "g" effect: REPLAYABLE }} '
        'kind { name: "k" role: BOTH memory_tokens: 10 } box { id: "127.0.0.1:9" kind: "k" }'
    )
    done = subprocess.run(
        [sys.executable, "-m", "lapiswing", "up", str(file), "--no-console"], capture_output=True, text=True, timeout=60
    )
    assert done.returncode == 2 and "can't listen" in done.stderr
    held.close()
    subprocess.run([sys.executable, "-m", "lapiswing", "down", str(file)], capture_output=True, timeout=60)
