"""A gateway as a real process: started as deployed, but for the shim in front of it."""

import json
import os
import signal
import subprocess
import sys
from pathlib import Path

from lapiswing.http1 import Pool
from lapiswing.lab.soak import site
from lapiswing.lab.soak.records import Process
from lapiswing.lab.status import StatusOnly

MS, S = 1000, 1_000_000
KILL_US = 3700 * MS  # from SIGTERM to SIGKILL
LOOK_US = 20 * MS
SOCKETS = 256


class GatewayProcess:
    def __init__(self, loop, day, number, count, port, agent, folder, seed):
        self.loop, self.day, self.number, self.count, self.agent = loop, day, number, count, agent
        self.address, self.folder, self.seed = ("127.0.0.1", port), Path(folder), seed
        self.second_copies = day.second_copies[number] = seed % 2 == 0
        self.asked = day.seed % 4 == 0
        self.run = self.program = None
        self.runs, self.clock_s, self.faults = 0, 0, []
        self.pool = Pool(loop, 4, 1)
        self.reader, self.readers = None, []  # of the log, by run
        self.config = self.folder / f"n{number}.json"
        self.shim = self.folder / f"n{number}.shim"

    def write_config(self, whole=True):
        text = site.configuration(
            self.number,
            self.count,
            self.address[1],
            self.agent.address,
            self.seed + self.runs,
            self.agent.whole(),
            self.second_copies,
            self.asked,
            SOCKETS,
        )
        self.config.write_text(text if whole else text[: len(text) // 3])

    def write_shim(self):
        self.shim.write_text(json.dumps({"clock_s": self.clock_s, "faults": self.faults}))

    def start(self):
        self.runs += 1
        self.write_config()
        self.write_shim()
        log = self.folder / f"n{self.number}.{self.runs}.log"
        with open(log, "w") as out:
            self.reader = subprocess.Popen(["cat"], stdin=subprocess.PIPE, stdout=out)  # the log goes through a pipe
            self.readers.append(self.reader)
            self.program = subprocess.Popen(
                ["/bin/sh", "-c", f"trap '' HUP; exec {sys.executable} -m lapiswing.lab.soak.shim"],
                stderr=self.reader.stdin,
                stdout=out,
                env={**os.environ, "RELAY_CONFIG": str(self.config), "SOAK_SHIM": str(self.shim), "OPENBLAS_NUM_THREADS": "1"},
            )
            self.reader.stdin.close()
        self.run = Process(self.number, self.program.pid, self.loop.clock.now_us(), log=str(log))
        self.day.processes.append(self.run)
        self.look(self.run)

    def look(self, run):
        """Asks whether it is ready, until it is or has ended."""
        if run is not self.run:
            return
        code = self.program.poll()
        if code is not None:
            if run.ended_us is None:
                run.ended_us, run.code = self.loop.clock.now_us(), code
            return
        if run.ready_us is None:
            asked = StatusOnly()
            self.pool.request(self.address, b"GET", b"/-/ready", [], b"", asked, fresh=True)
            self.loop.call_later(LOOK_US, self.heard, run, asked)
        else:
            self.loop.call_later(5 * LOOK_US, self.look, run)

    def heard(self, run, asked):
        if asked.status == 200 and run.ready_us is None:
            run.ready_us = self.loop.clock.now_us()
        self.look(run)

    def alive(self):
        return self.program is not None and self.program.poll() is None

    def send(self, number):
        if self.alive():
            os.kill(self.program.pid, number)

    def program_runs(self):
        """Whether it is the program by now, and not the shell before it."""
        try:
            return b"lapiswing.lab.soak.shim" in Path(f"/proc/{self.program.pid}/cmdline").read_bytes().split(b"\0")
        except OSError:
            return False

    def term(self, then=None):
        run = self.run
        if run.term_us is None and self.alive():
            run.term_us = self.loop.clock.now_us()
            self.send(signal.SIGTERM)
            self.loop.call_later(KILL_US, self.kill, run, then)
        elif then is not None:
            then()

    def kill(self, run=None, then=None):
        run = run or self.run
        if run is self.run:
            if self.alive():
                run.killed_us = self.loop.clock.now_us()
                self.program.kill()
            code = self.program.wait()
            if run.ended_us is None:
                run.ended_us, run.code = self.loop.clock.now_us(), code
        if then is not None:
            then()

    def reload(self, whole=True):
        """Tells the program, never the shell before it, which has the signal's default action."""
        self.write_config(whole)
        if self.alive() and self.program_runs():
            self.send(signal.SIGHUP)

    def descriptors(self):
        return len(os.listdir(f"/proc/{self.program.pid}/fd"))

    def waited_us(self):
        """Time that its process has spent ready to run, without a processor (proc(5), schedstat)."""
        try:
            return int(Path(f"/proc/{self.program.pid}/schedstat").read_text().split()[1]) // 1000
        except (OSError, IndexError, ValueError):
            return 0

    def processor_s(self):
        fields = Path(f"/proc/{self.program.pid}/stat").read_text().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    def stop_reading_log(self, lasts_us):
        """Its reader stands still; for good where no time is given."""
        reader = self.reader
        if not lasts_us:
            return reader.kill()
        reader.send_signal(signal.SIGSTOP)
        self.loop.call_later(lasts_us, reader.send_signal, signal.SIGCONT)

    def close(self):
        self.pool.close()
        if self.alive():
            self.program.kill()
            self.program.wait()
        for reader in self.readers:
            if reader.poll() is None:
                reader.send_signal(signal.SIGCONT)
            reader.wait()  # it has come to the end of its pipe
