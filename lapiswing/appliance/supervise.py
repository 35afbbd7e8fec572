"""The supervisor: keeps processes running, and their last words.

In its state folder: `lock` (held while it runs, with its process id), `status.json`, `NAME.log` for each process, and the gateway's admin
sockets. It runs in a session of its own, so that closing the terminal ends neither it nor the gateway. Processes that outlived
their supervisor are found again by what it wrote down, and watched on, not started twice."""

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

MS = 1000
LOG_BYTES = 10 << 20
LAST_WORDS = 12  # lines
STOP_US = 30_000_000


class Locked(OperatorError):
    """Another supervisor holds this folder; `pid` is its process id."""

    exit_code = 2
    advice = "`lapiswing up FILE --attach` opens the one that runs, `lapiswing down FILE` ends it."

    def __init__(self, folder, pid):
        super().__init__(folder, f"process {pid} runs it already")
        self.pid = pid


def take_lock(folder):
    """-> the open file, to be kept. Raises Locked, OSError."""
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
    """The process id of the running supervisor, or None."""
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
    """One process that is kept running. `watch`: a file whose change may mend bad settings."""

    def __init__(self, owner, name, args, watch=None):
        self.owner, self.name, self.args, self.watch = owner, name, args, watch
        self.restarts, self.process, self.pid, self.fd = Restarts(), None, None, None
        self.log, self.words, self.starts = Path(owner.folder, f"{name}.log"), [], deque(maxlen=20)
        self.stamp = self.stamp_now()

    def stamp_now(self):
        try:
            return os.stat(self.watch).st_mtime_ns if self.watch else None
        except OSError:
            return None

    def start(self):
        now_ms = time.time_ns() // 1_000_000
        self.starts.append(now_ms)
        env = {**os.environ, "LAPISWING_STARTS": ",".join(map(str, self.starts)), "LAPISWING_LAST_END": self.restarts.why or ""}
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen(
                self.args, stdin=subprocess.DEVNULL, stdout=log, stderr=log, env=env, start_new_session=True
            )
        self.restarts.start(self.owner.now_ms())
        self.follow(self.process.pid)

    def follow(self, pid):
        """Learns of its end by a descriptor of the process: it need not be our child."""
        self.pid, self.fd = pid, os.pidfd_open(pid)
        self.owner.loop.watch(Descriptor(self.fd), select.POLLIN, self.on_end)

    def adopt(self, pid):
        self.restarts.start(self.owner.now_ms())
        self.follow(pid)

    def on_end(self, _mask):
        self.owner.loop.watch(Descriptor(self.fd), 0, None)
        os.close(self.fd)
        # Of a process that is not our child nobody tells how it ended: taken for a death.
        code = self.process.wait() if self.process is not None else 1
        self.process = self.pid = self.fd = None
        self.words = last_words(self.log)
        state = self.restarts.ended(self.owner.now_ms(), code)
        self.owner.told(
            f"{self.name} {self.restarts.why}"
            + (f"; again in {self.restarts.due_ms - self.owner.now_ms():.0f} ms" if state == "waits" else "")
        )

    def look(self):
        stamp = self.stamp_now()
        if stamp != self.stamp:
            self.stamp = stamp
            self.restarts.settings_changed(self.owner.now_ms())
        if (
            self.pid is None
            and not self.owner.stopping
            and (self.restarts.state == "new" or self.restarts.due(self.owner.now_ms()))
        ):
            self.start()
            self.owner.told(f"{self.name} started, process {self.pid}")
        if self.log.exists() and self.log.stat().st_size > LOG_BYTES:
            # The process appends, so the file can be cut under it.
            data = self.log.read_bytes()[-LOG_BYTES // 2 :]
            self.log.with_suffix(".log.1").write_bytes(data)
            os.truncate(self.log, 0)

    def signal(self, number):
        if self.pid is not None:
            try:
                os.kill(self.pid, number)
            except ProcessLookupError:
                pass

    def row(self):
        return {
            "name": self.name,
            "pid": self.pid,
            "state": self.restarts.state,
            "deaths": self.restarts.deaths,
            "why": self.restarts.why,
            "last_words": self.words,
            "starts": list(self.starts),
        }


class Descriptor:
    def __init__(self, fd):
        self.fd = fd

    def fileno(self):
        return self.fd


def last_words(path):
    try:
        with open(path, "rb") as file:
            file.seek(max(0, os.fstat(file.fileno()).st_size - 16384))
            return file.read().decode(errors="replace").splitlines()[-LAST_WORDS:]
    except OSError:
        return []


class Supervisor:
    def __init__(self, folder, commands, loop=None):
        """`commands`: (name, arguments, file to watch or None); the one named `gateway` may be found running."""
        self.folder, self.loop = Path(folder), loop or Loop(Clock())
        self.lock, self.stopping, self.lines = take_lock(folder), False, deque(maxlen=50)
        self.children = [Child(self, *command) for command in commands]

    def now_ms(self):
        return self.loop.clock.now_us() // MS

    def told(self, text):
        self.lines.append({"unix_ms": time.time_ns() // 1_000_000, "text": text})
        print(f"{time.strftime('%Y-%m-%dT%H:%M:%S')} {text}", file=sys.stderr, flush=True)
        self.write_status()

    def write_status(self):
        path = self.folder / "status.json"
        new = path.with_suffix(".new")
        new.write_text(json.dumps({"pid": os.getpid(), "children": [c.row() for c in self.children], "lines": list(self.lines)}))
        os.rename(new, path)

    def start(self):
        for child, pid in [(c, self.outlived(c)) for c in self.children]:  # all are looked up before the first is written down
            if pid:
                child.adopt(pid)
                self.told(f"{child.name} found running, process {pid}")
        for number in (signal.SIGTERM, signal.SIGINT):
            self.loop.on_signal(number, self.stop)
        self.look()

    def outlived(self, child):
        """The process id that a supervisor before this one wrote down, if that process is still the same program."""
        try:
            rows = json.loads((self.folder / "status.json").read_text())["children"]
            pid = next(r["pid"] for r in rows if r["name"] == child.name)
            args = Path(f"/proc/{pid}/cmdline").read_bytes().split(b"\0")[:-1]
            return pid if args == [a.encode() for a in child.args] else None
        except (OSError, ValueError, KeyError, StopIteration, TypeError):
            return None

    def look(self):
        for child in self.children:
            child.look()
        if not self.stopping:
            if all(c.restarts.state == "asked" for c in self.children if c.name == "gateway"):
                self.told("the gateway ended as asked")
                self.stop()
            self.timer = self.loop.call_later(100 * MS, self.look)

    def stop(self):
        """Ends all: the gateway drains first, the others go when it is gone."""
        if self.stopping:
            for child in self.children:
                child.signal(signal.SIGKILL)
            return
        self.stopping = True
        self.stop_us = self.loop.clock.now_us() + STOP_US
        for child in self.children:
            if child.name == "gateway":
                child.signal(signal.SIGTERM)
        self.wait_ends()

    def wait_ends(self):
        late = self.loop.clock.now_us() > self.stop_us
        gateway = any(c.pid is not None for c in self.children if c.name == "gateway")
        for child in self.children:
            if child.pid is not None and (late or not gateway and child.name != "gateway"):
                child.signal(signal.SIGKILL if late else signal.SIGTERM)
        if any(c.pid is not None for c in self.children):
            return self.loop.call_later(50 * MS, self.wait_ends)
        self.told("stopped")
        self.loop.stop()

    def run(self):
        self.start()
        self.loop.run()
        self.lock.close()
