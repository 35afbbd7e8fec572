"""A gateway as a real process, started as in the deployment except that the fault-injecting shim runs it."""

import json
import os
import signal
import subprocess
import sys
from pathlib import Path

from lapiswing.admission.shutdown import earliest_kill_us
from lapiswing.http1 import Pool
from lapiswing.lab.soak import fleet_settings
from lapiswing.lab.soak.records import Process
from lapiswing.lab.status import StatusOnly

MS, S = 1000, 1_000_000  # in microseconds
READY_POLL_US = 20 * MS
SOCKET_LIMIT = 256
RELOAD_COUNTS_AFTER_US = 4 * S  # from SIGHUP until what the new agent has counts as reported, by the platform's page


class GatewayProcess:
    """One gateway of the soak over all its restarts. `run` is the record of the current process, `program` its handle."""

    def __init__(self, loop, day, number, gateway_count, port, agent, folder, seed):
        self.loop, self.day, self.number, self.gateway_count, self.agent = loop, day, number, gateway_count, agent
        self.address, self.folder, self.seed = ("127.0.0.1", port), Path(folder), seed
        self.second_copies = day.second_copies[number] = seed % 2 == 0
        self.subscribed = day.seed % 4 == 0
        self.run = self.program = None
        self.start_count, self.clock_s, self.faults = 0, 0, []
        self.pool = Pool(loop, 4, 1)
        self.log_reader, self.log_readers = None, []  # `cat` processes, one for each start
        self.config_file = self.folder / f"n{number}.json"
        self.shim_file = self.folder / f"n{number}.shim"

    def write_config(self, complete=True, counts_after_us=0):
        """Writes the configuration; with `complete=False` only its first third. Its list of servers counts as reported to the
        gateway `counts_after_us` from now."""
        text = fleet_settings.configuration(
            self.number,
            self.gateway_count,
            self.address[1],
            self.agent.address,
            self.seed + self.start_count,
            self.agent.whole(counts_after_us),
            self.second_copies,
            self.subscribed,
            SOCKET_LIMIT,
            self.day.deadline_ms,
        )
        self.config_file.write_text(text if complete else text[: len(text) // 3])

    def write_shim(self):
        """Writes the clock offset and the faults for the shim."""
        self.shim_file.write_text(json.dumps({"clock_s": self.clock_s, "faults": self.faults}))

    def start(self):
        """Starts a new process of the gateway."""
        self.start_count += 1
        self.write_config()
        self.write_shim()
        log = self.folder / f"n{self.number}.{self.start_count}.log"
        with open(log, "w") as out:
            self.log_reader = subprocess.Popen(["cat"], stdin=subprocess.PIPE, stdout=out)  # reads the log from a pipe
            self.log_readers.append(self.log_reader)
            self.program = subprocess.Popen(
                ["/bin/sh", "-c", f"trap '' HUP; exec {sys.executable} -m lapiswing.lab.soak.shim"],
                stderr=self.log_reader.stdin,
                stdout=out,
                env={
                    **os.environ,
                    "RELAY_CONFIG": str(self.config_file),
                    "SOAK_SHIM": str(self.shim_file),
                    "OPENBLAS_NUM_THREADS": "1",
                },
            )
            self.log_reader.stdin.close()
        self.run = Process(self.number, self.program.pid, self.loop.clock.now_us(), log_path=str(log))
        self.day.processes.append(self.run)
        self.poll_state(self.run)

    def poll_state(self, run):
        """Polls until the process is ready, and then for its exit."""
        if run is not self.run:
            return
        code = self.program.poll()
        if code is not None:
            if run.ended_us is None:
                run.ended_us, run.exit_code = self.loop.clock.now_us(), code
            return
        if run.ready_us is None:
            response = StatusOnly()
            self.pool.request(self.address, b"GET", b"/-/ready", [], b"", response, fresh=True)
            self.loop.call_later(READY_POLL_US, self.on_ready_response, run, response)
        else:
            self.loop.call_later(5 * READY_POLL_US, self.poll_state, run)

    def on_ready_response(self, run, response):
        if response.status == 200 and run.ready_us is None:
            run.ready_us = self.loop.clock.now_us()
        self.poll_state(run)

    def alive(self):
        return self.program is not None and self.program.poll() is None

    def signal_process(self, signal_number):
        if self.alive():
            os.kill(self.program.pid, signal_number)

    def program_started(self):
        """Whether the shell that starts it has already executed the gateway."""
        try:
            return b"lapiswing.lab.soak.shim" in Path(f"/proc/{self.program.pid}/cmdline").read_bytes().split(b"\0")
        except OSError:
            return False

    def term(self, then=None):
        """Sends SIGTERM, and SIGKILL as early as the platform may; then calls `then`."""
        run = self.run
        if run.term_us is None and self.alive():
            run.term_us = self.loop.clock.now_us()
            self.signal_process(signal.SIGTERM)
            self.loop.call_later(earliest_kill_us([int(self.day.deadline_ms * MS)]), self.kill, run, then)
        elif then is not None:
            then()

    def kill(self, run=None, then=None):
        """Sends SIGKILL if `run` is the current process; then calls `then`."""
        run = run or self.run
        if run is self.run:
            if self.alive():
                run.killed_us = self.loop.clock.now_us()
                self.program.kill()
            code = self.program.wait()
            if run.ended_us is None:
                run.ended_us, run.exit_code = self.loop.clock.now_us(), code
        if then is not None:
            then()

    def reload(self, complete=True):
        """Writes the configuration and sends SIGHUP, never to the shell that starts the gateway: SIGHUP might end it."""
        self.write_config(complete, RELOAD_COUNTS_AFTER_US)
        if self.alive() and self.program_started():
            self.signal_process(signal.SIGHUP)

    def descriptors(self):
        """Number of open file descriptors."""
        return len(os.listdir(f"/proc/{self.program.pid}/fd"))

    def cpu_wait_us(self):
        """Total time that its process was ready to run but waited for a CPU (proc(5), schedstat)."""
        try:
            return int(Path(f"/proc/{self.program.pid}/schedstat").read_text().split()[1]) // 1000
        except (OSError, IndexError, ValueError):
            return 0

    def cpu_time_s(self):
        """CPU time used so far, user and system."""
        fields = Path(f"/proc/{self.program.pid}/stat").read_text().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    def stop_reading_log(self, duration_us):
        """Stops the process that reads the log, or ends it if no time is given."""
        reader = self.log_reader
        if not duration_us:
            return reader.kill()
        reader.send_signal(signal.SIGSTOP)
        self.loop.call_later(duration_us, reader.send_signal, signal.SIGCONT)

    def close(self):
        self.pool.close()
        if self.alive():
            self.program.kill()
            self.program.wait()
        for reader in self.log_readers:
            if reader.poll() is None:
                reader.send_signal(signal.SIGCONT)
            reader.wait()  # ends at the end of its pipe
