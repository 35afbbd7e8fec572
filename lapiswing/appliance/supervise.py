"""The supervisor: keeps processes running and records the last lines that each of them logged.

Its state folder holds `lock` (locked while it runs, with its process id), `status.json`, `NAME.log` for each process, and the
gateway's admin sockets. It runs in its own session, so that closing the terminal ends neither it nor the gateway. Processes that
outlived a previous supervisor are found by its `status.json` and watched further instead of being started a second time."""

import fcntl
import json
import os
import select
import signal
import subprocess
import sys
import time
from collections import deque
from pathlib import Path

from lapiswing.appliance.decide import Restarts
from lapiswing.errors import OperatorError
from lapiswing.loop import Clock, Loop

US_PER_MS = 1000
MAX_LOG_BYTES = 10 << 20
MAX_LAST_LINES = 12
STOP_TIMEOUT_US = 30_000_000  # processes that still run after this are killed


class Locked(OperatorError):
    """Another supervisor holds the lock of this folder; `pid` is its process id."""

    exit_code = 2
    advice = "`lapiswing up FILE --attach` opens the running one, `lapiswing down FILE` ends it."

    def __init__(self, folder, pid):
        super().__init__(folder, f"process {pid} runs it already")
        self.pid = pid


def take_lock(folder):
    """Returns the locked file, which the caller keeps open. Raises Locked, OSError."""
    os.makedirs(folder, mode=0o700, exist_ok=True)
    file = open(Path(folder, "lock"), "a+")
    try:
        fcntl.flock(file, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except BlockingIOError:
        file.seek(0)
        text = file.read().strip()
        file.close()
        raise Locked(folder, int(text) if text.isdigit() else 0) from None
    file.seek(0)
    file.truncate()
    file.write(str(os.getpid()))
    file.flush()
    return file


def holder_of(folder):
    """Returns the process id of the supervisor that holds this folder, or None."""
    try:
        with open(Path(folder, "lock")) as file:
            try:
                fcntl.flock(file, fcntl.LOCK_SH | fcntl.LOCK_NB)
                return None
            except BlockingIOError:
                text = file.read().strip()
                return int(text) if text.isdigit() else None
    except OSError:
        return None


class Child:
    """One supervised process. `settings_path`: a file whose change may fix invalid settings."""

    def __init__(self, supervisor, name, args, settings_path=None):
        self.supervisor, self.name, self.args, self.settings_path = supervisor, name, args, settings_path
        self.restarts, self.process, self.pid, self.fd = Restarts(), None, None, None
        self.log, self.last_lines, self.starts = Path(supervisor.folder, f"{name}.log"), [], deque(maxlen=20)
        self.settings_mtime_ns = self.read_settings_mtime_ns()

    def read_settings_mtime_ns(self):
        try:
            return os.stat(self.settings_path).st_mtime_ns if self.settings_path else None
        except OSError:
            return None

    def start(self):
        now_ms = time.time_ns() // 1_000_000
        self.starts.append(now_ms)
        env = {
            **os.environ,
            "LAPISWING_STARTS": ",".join(map(str, self.starts)),
            "LAPISWING_LAST_END": self.restarts.reason or "",
        }
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen(
                self.args, stdin=subprocess.DEVNULL, stdout=log, stderr=log, env=env, start_new_session=True
            )
        self.restarts.start(self.supervisor.now_ms())
        self.watch_process(self.process.pid)

    def watch_process(self, pid):
        """Watches for the end of the process by a pidfd, which also works for one that is not our child."""
        self.pid, self.fd = pid, os.pidfd_open(pid)
        self.supervisor.loop.watch(Descriptor(self.fd), select.POLLIN, self.on_end)

    def adopt(self, pid):
        """Takes over a process that a previous supervisor started."""
        self.restarts.start(self.supervisor.now_ms())
        self.watch_process(pid)

    def on_end(self, _mask):
        self.supervisor.loop.watch(Descriptor(self.fd), 0, None)
        os.close(self.fd)
        # The exit status of a process that is not our child is unknown: treated as a failure.
        code = self.process.wait() if self.process is not None else 1
        self.process = self.pid = self.fd = None
        self.last_lines = last_words(self.log)
        state = self.restarts.ended(self.supervisor.now_ms(), code)
        self.supervisor.report(
            f"{self.name} {self.restarts.reason}"
            + (f"; restart in {self.restarts.due_ms - self.supervisor.now_ms():.0f} ms" if state == "waits" else "")
        )

    def poll(self):
        """Starts the process if it is due, and trims its log."""
        mtime_ns = self.read_settings_mtime_ns()
        if mtime_ns != self.settings_mtime_ns:
            self.settings_mtime_ns = mtime_ns
            self.restarts.settings_changed(self.supervisor.now_ms())
        if (
            self.pid is None
            and not self.supervisor.stopping
            and (self.restarts.state == "new" or self.restarts.due(self.supervisor.now_ms()))
        ):
            self.start()
            self.supervisor.report(f"{self.name} started, process {self.pid}")
        if self.log.exists() and self.log.stat().st_size > MAX_LOG_BYTES:
            # The process writes in append mode, so the file can be truncated while it is open.
            data = self.log.read_bytes()[-MAX_LOG_BYTES // 2 :]
            self.log.with_suffix(".log.1").write_bytes(data)
            os.truncate(self.log, 0)

    def signal(self, number):
        if self.pid is not None:
            try:
                os.kill(self.pid, number)
            except ProcessLookupError:
                pass

    def row(self):
        """The entry of this process in status.json."""
        return {
            "name": self.name,
            "pid": self.pid,
            "state": self.restarts.state,
            "deaths": self.restarts.failures,
            "why": self.restarts.reason,
            "last_words": self.last_lines,
            "starts": list(self.starts),
        }


class Descriptor:
    """A file descriptor as the object with `fileno()` that the loop watches."""

    def __init__(self, fd):
        self.fd = fd

    def fileno(self):
        return self.fd


def last_words(path):
    """Returns the last lines of a log file."""
    try:
        with open(path, "rb") as file:
            file.seek(max(0, os.fstat(file.fileno()).st_size - 16384))
            return file.read().decode(errors="replace").splitlines()[-MAX_LAST_LINES:]
    except OSError:
        return []


class Supervisor:
    """Keeps the given processes running until it is stopped or the gateway ends as requested."""

    def __init__(self, folder, commands, loop=None):
        """`commands`: (name, arguments, settings file to watch or None).

        The process named `gateway` is stopped first, and its requested end also ends the supervisor."""
        self.folder, self.loop = Path(folder), loop or Loop(Clock())
        self.lock, self.stopping, self.messages = take_lock(folder), False, deque(maxlen=50)
        self.children = [Child(self, *command) for command in commands]

    def now_ms(self):
        return self.loop.clock.now_us() // US_PER_MS

    def report(self, text):
        """Logs a message and writes it to status.json."""
        self.messages.append({"unix_ms": time.time_ns() // 1_000_000, "text": text})
        print(f"{time.strftime('%Y-%m-%dT%H:%M:%S')} {text}", file=sys.stderr, flush=True)
        self.write_status()

    def write_status(self):
        path = self.folder / "status.json"
        new = path.with_suffix(".new")
        new.write_text(
            json.dumps({"pid": os.getpid(), "children": [child.row() for child in self.children], "lines": list(self.messages)})
        )
        os.rename(new, path)

    def start(self):
        # All are looked up before the first report, which overwrites status.json.
        for child, pid in [(child, self.find_surviving(child)) for child in self.children]:
            if pid:
                child.adopt(pid)
                self.report(f"{child.name} found running, process {pid}")
        for number in (signal.SIGTERM, signal.SIGINT):
            self.loop.on_signal(number, self.stop)
        self.poll()

    def find_surviving(self, child):
        """Returns the process id that a previous supervisor recorded, or None unless it still runs the same command line."""
        try:
            rows = json.loads((self.folder / "status.json").read_text())["children"]
            pid = next(row["pid"] for row in rows if row["name"] == child.name)
            args = Path(f"/proc/{pid}/cmdline").read_bytes().split(b"\0")[:-1]
            return pid if args == [argument.encode() for argument in child.args] else None
        except (OSError, ValueError, KeyError, StopIteration, TypeError):
            return None

    def poll(self):
        """Polls all processes, ten times a second."""
        for child in self.children:
            child.poll()
        if not self.stopping:
            if all(child.restarts.state == "asked" for child in self.children if child.name == "gateway"):
                self.report("the gateway ended as requested")
                self.stop()
            self.timer = self.loop.call_later(100 * US_PER_MS, self.poll)

    def stop(self):
        """Stops all processes: first the gateway, which drains, then the others. A second call kills them."""
        if self.stopping:
            for child in self.children:
                child.signal(signal.SIGKILL)
            return
        self.stopping = True
        self.stop_deadline_us = self.loop.clock.now_us() + STOP_TIMEOUT_US
        for child in self.children:
            if child.name == "gateway":
                child.signal(signal.SIGTERM)
        self.wait_for_exits()

    def wait_for_exits(self):
        late = self.loop.clock.now_us() > self.stop_deadline_us
        gateway_runs = any(child.pid is not None for child in self.children if child.name == "gateway")
        for child in self.children:
            if child.pid is not None and (late or not gateway_runs and child.name != "gateway"):
                child.signal(signal.SIGKILL if late else signal.SIGTERM)
        if any(child.pid is not None for child in self.children):
            return self.loop.call_later(50 * US_PER_MS, self.wait_for_exits)
        self.report("stopped")
        self.loop.stop()

    def run(self):
        self.start()
        self.loop.run()
        self.lock.close()
