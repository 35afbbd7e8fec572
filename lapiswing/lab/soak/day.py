"""Runs one day of the soak: starts the fleet, injects its troubles, and samples resource use at the end."""

import errno
import os
import signal
import tempfile
import time
from functools import partial
from random import Random

from lapiswing.lab.soak.clients import Clients
from lapiswing.lab.soak.fleet_settings import DEADLINES_MS
from lapiswing.lab.soak.platform import Agent, SoakPlatform
from lapiswing.lab.soak.process import RELOAD_COUNTS_AFTER_US, GatewayProcess
from lapiswing.lab.soak.records import Day
from lapiswing.lab.soak.troubles import draw
from lapiswing.loop import Clock, Loop

MS, S = 1000, 1_000_000  # in microseconds
ROLES = ("read", "read", "read", "write", "write", "write", "both", "both")
STARTUP_LIMIT_S, SETTLE_LIMIT_S = 30, 5
CALLS_PER_S_PER_GATEWAY = 6
FIRST_PORT, PORTS_PER_DAY, PARALLEL_DAYS = 10_000, 40, 500
CROWDED_EVERY = 5  # days
CPU_WAIT_POLL_US, MIN_CPU_WAIT_US = 50 * MS, 2 * MS  # shorter waits are not recorded
FREEZE_US = 120 * MS
SIGNAL_PAUSE_US = 40 * MS  # between the signals of a series
ERRNOS = (
    ("accept", errno.ECONNABORTED),
    ("accept", errno.ENFILE),
    ("accept", errno.ENOBUFS),
    ("connect_ex", errno.EADDRNOTAVAIL),
    ("connect_ex", errno.ENOBUFS),
    ("connect_ex", errno.ENETUNREACH),
    ("recv", errno.ENOMEM),
    ("send", errno.ENOBUFS),
    ("send", 0),  # a short write
    ("sendmsg", errno.ENOMEM),
)


def ports_of(process, count):
    """Ports below the kernel's ephemeral range and different for each process that plays a day, since a restarted gateway needs
    its port again."""
    first = FIRST_PORT + process % PARALLEL_DAYS * PORTS_PER_DAY
    return list(range(first, first + count))


class DayRunner:
    """Runs one day. The method that applies a trouble has the lower-case name of its kind."""

    def __init__(self, seed, seconds, gateways, folder):
        self.seed, self.seconds, self.rng = seed, seconds, Random(seed + 1)
        self.loop = Loop(Clock())
        self.day = Day(seed, DEADLINES_MS[seed % len(DEADLINES_MS)], seed % CROWDED_EVERY == 0)
        self.platform = SoakPlatform(self.loop, ROLES, gateways, self.day, self.rng)
        ports = ports_of(os.getpid(), gateways)
        self.gateways = [
            GatewayProcess(self.loop, self.day, i, gateways, ports[i], self.platform.agents[i], folder, seed * 100 + i)
            for i in range(gateways)
        ]
        self.clients = Clients(self.loop, self.day, self.rng, self.gateways, CALLS_PER_S_PER_GATEWAY * gateways)
        self.loop.after.append(self.measure_own_delay)
        self.last_cpu_wait = {}  # gateway number -> (pid, total CPU wait at the last sample)
        self.measure_cpu_waits()

    def measure_own_delay(self):
        """Records delays of the observer's own loop, which must not count against the gateways."""
        now = self.loop.clock.now_us()
        self.day.observer_delay_us = max(self.day.observer_delay_us, now - self.loop.now)

    def measure_cpu_waits(self):
        """Records how long each gateway waited for a CPU. Meanwhile it can't notice input, and a busy host is not its fault."""
        now = self.loop.clock.now_us()
        for gateway in self.gateways:
            pid, before = self.last_cpu_wait.get(gateway.number, (None, 0))
            waited = gateway.cpu_wait_us() if gateway.program is not None else 0
            if gateway.program is not None and pid == gateway.program.pid and waited - before > MIN_CPU_WAIT_US:
                self.day.cpu_waits.append((gateway.number, now, waited - before))
            self.last_cpu_wait[gateway.number] = (gateway.program.pid if gateway.program is not None else None, waited)
        self.loop.call_later(CPU_WAIT_POLL_US, self.measure_cpu_waits)

    def play(self):
        """Runs the day. Returns its records."""
        try:
            for gateway in self.gateways:
                gateway.start()
            self.loop.run_until(lambda: all(g.run.ready_us for g in self.gateways), STARTUP_LIMIT_S * S)
            self.clients.start()
            if self.day.crowded:
                self.clients.start_standing_crowd()
            begin = self.loop.clock.now_us()
            for trouble in draw(self.seed, self.seconds):
                self.day.troubles.append((begin + trouble.at_us, trouble))
                self.loop.call_at(begin + trouble.at_us, self.apply, trouble)
            self.loop.run_until(lambda: False, int(self.seconds * S))
            self.clients.running = False
            self.loop.run_until(lambda: not self.clients.open_listeners and not self.platform.held, SETTLE_LIMIT_S * S)
            self.sample_idle_processes()
            self.end()
            return self.day
        finally:
            self.close()

    def end(self):
        """Ends all gateways, including those that an earlier trouble is about to start."""

        def all_ended():
            for gateway in self.gateways:
                gateway.term()
            return not any(gateway.alive() for gateway in self.gateways)

        self.loop.run_until(all_ended, 8 * S)

    def sample_idle_processes(self):
        """Samples open descriptors and CPU time of idle processes."""
        for gateway in self.gateways:
            if gateway.alive() and gateway.run.term_us is None:
                gateway.run.descriptors.append(gateway.descriptors())
                gateway.run.cpu_s = gateway.cpu_time_s()

    def apply(self, trouble):
        getattr(self, trouble.kind.name.lower())(trouble)

    def gateway(self, trouble):
        """The gateway that is the target of a trouble."""
        return self.gateways[trouble.target % len(self.gateways)]

    def server(self, trouble):
        """The model server that is the target of a trouble."""
        names = sorted(self.platform.servers)
        return self.platform.servers[names[trouble.target % len(names)]]

    # ---- troubles of gateways

    def stop(self, trouble):
        gateway = self.gateway(trouble)
        gateway.term(partial(self.start, gateway))

    def stop_many(self, trouble):
        for i in range(len(self.gateways) // 3):
            gateway = self.gateways[(trouble.target + i) % len(self.gateways)]
            self.loop.call_later(int(trouble.variant * 500) * MS * i, gateway.term, partial(self.start, gateway))

    def signal_series(self, trouble):
        gateway = self.gateway(trouble)
        if not gateway.alive() or gateway.run.term_us is not None or gateway.run.ready_us is None:
            return
        if trouble.variant < 0.5:
            gateway.reload()
            gateway.signal_process(signal.SIGHUP)
        gateway.term(partial(self.start, gateway))
        series = (signal.SIGTERM, signal.SIGHUP, signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
        for position, number in enumerate(series[: 2 + int(trouble.variant * 4)], 1):
            self.loop.call_later(position * SIGNAL_PAUSE_US, self.signal_run, gateway, gateway.run, number)

    @staticmethod
    def signal_run(gateway, run, number):
        """Sends a signal to the process of `run`, if it still runs."""
        if gateway.run is run:
            gateway.signal_process(number)

    def log_stuck(self, trouble):
        self.gateway(trouble).stop_reading_log(trouble.duration_us)

    def log_gone(self, trouble):
        self.gateway(trouble).stop_reading_log(None)

    def kill(self, trouble):
        gateway = self.gateway(trouble)
        if gateway.run.term_us is None:
            gateway.kill()
            self.loop.call_later(trouble.duration_us // 4, self.start, gateway)

    @staticmethod
    def start(gateway):
        """Starts the gateway unless another trouble has done so meanwhile."""
        if not gateway.alive():
            gateway.start()

    def clock(self, trouble):
        gateway = self.gateway(trouble)
        gateway.clock_s = (-3600, -7, 7, 3600)[int(trouble.variant * 4)]
        self.kill(trouble)

    def freeze(self, trouble):
        gateway = self.gateway(trouble)
        if gateway.alive():
            gateway.signal_process(signal.SIGSTOP)
            self.loop.call_later(FREEZE_US, self.unfreeze, gateway, gateway.program.pid)

    @staticmethod
    def unfreeze(gateway, pid):
        if gateway.alive() and gateway.program.pid == pid:
            os.kill(pid, signal.SIGCONT)

    def reload(self, trouble):
        gateway = self.gateway(trouble)
        old = gateway.agent
        gateway.agent = self.new_agent(gateway)
        complete = trouble.variant >= 0.3
        gateway.reload(complete)
        if not complete:
            self.loop.call_later(150 * MS, gateway.write_config, True, RELOAD_COUNTS_AFTER_US)
        if trouble.variant > 0.7:
            self.loop.call_later(30 * MS, gateway.reload)
        self.loop.call_later(4 * S, self.close_agent, old)

    def new_agent(self, gateway):
        """Starts another discovery agent for the gateway, with the state of its present one."""
        agent = Agent(self.platform, gateway.number)
        agent.index, agent.log = gateway.agent.index, list(gateway.agent.log)
        agent.silent, agent.garbage = gateway.agent.silent, gateway.agent.garbage
        self.platform.agents.append(agent)
        return agent

    def close_agent(self, agent):
        """Ends an agent that no gateway uses any more."""
        if agent in self.platform.agents:
            self.platform.agents.remove(agent)
            agent.server.listener.close()
            agent.server.close()

    def reload_at_start(self, trouble):
        gateway = self.gateway(trouble)
        if gateway.run.term_us is not None or not gateway.alive():
            return
        gateway.kill()
        gateway.start()
        self.send_reload(gateway, gateway.run, int(trouble.variant * 600) * MS)

    def send_reload(self, gateway, run, after_us):
        """Reloads the configuration `after_us` after the shell has executed the gateway."""
        if gateway.run is not run or not gateway.alive():
            return
        if not gateway.program_started():
            return self.loop.call_later(MS, self.send_reload, gateway, run, after_us)
        if after_us:
            return self.loop.call_later(after_us, self.send_reload, gateway, run, 0)
        gateway.reload()

    def errno(self, trouble):
        gateway, now = self.gateway(trouble), self.loop.clock.now_us()
        for call, code in Random(trouble.target).sample(ERRNOS, 2):
            gateway.faults.append(
                {
                    "call": call,
                    "code": code,
                    "from_us": now,
                    "to_us": now + min(trouble.duration_us, 600 * MS),
                    "part": 1.0 if trouble.variant < 0.3 and call == "connect_ex" else 0.3,
                }
            )
        self.day.connect_failures.append((gateway.number, now, now + 600 * MS))
        gateway.write_shim()
        if gateway.run.ready_us is not None:
            gateway.signal_process(signal.SIGUSR2)

    def crowd(self, trouble):
        self.clients.crowd(self.gateway(trouble), trouble.variant, trouble.duration_us)

    # ---- troubles of model servers

    def server_hang(self, trouble):
        server = self.server(trouble)
        server.mode = "hang"
        server.record_outage(trouble.duration_us + 6 * S)
        self.loop.call_later(trouble.duration_us, setattr, server, "mode", None)

    def streams_spoilt(self, trouble):
        self.set_mode(trouble, "spoilt")

    def streams_slow(self, trouble):
        self.set_mode(trouble, "slow")

    def set_mode(self, trouble, mode):
        """Sets the fault mode of a server for the time of the trouble."""
        server = self.server(trouble)
        server.mode = mode
        self.loop.call_later(trouble.duration_us, setattr, server, "mode", None)

    def server_errors(self, trouble):
        self.set_mode(trouble, "errors")

    def server_crash(self, trouble):
        server = self.server(trouble)
        if server.relay.listener.closed:
            return
        server.record_outage(trouble.duration_us + S)
        server.crash()
        self.loop.call_later(trouble.duration_us, self.restart_server, server)

    def restart_server(self, server):
        if server.name in self.platform.servers:
            server.restart()
            server.since_ms = self.unix_ms()
            self.platform.publish(server.row())

    @staticmethod
    def unix_ms():
        return time.time_ns() // 1_000_000

    def server_drain(self, trouble):
        server = self.server(trouble)
        if self.has_other_server(server.role):
            server.status = "DRAINING"
            self.platform.publish(server.row())
            self.loop.call_later(trouble.duration_us + 4 * S, self.end_drain, server)

    def end_drain(self, server):
        if server.name in self.platform.servers and server.status == "DRAINING":
            server.status = "SERVING"
            self.platform.publish(server.row())

    def server_replaced(self, trouble):
        server = self.server(trouble)
        if not self.has_other_server(server.role):
            return
        new_server = self.platform.add(server.role)
        new_server.since_ms = self.unix_ms()
        del self.platform.servers[server.name]
        self.platform.retired.append(server)
        self.platform.publish({**server.row(), "status": "DELETED"})
        self.platform.publish(new_server.row())
        self.loop.call_later(2 * S, self.shut_down_server, server)

    def shut_down_server(self, server):
        server.record_outage(60 * S)
        if not server.relay.listener.closed:
            server.crash()

    def has_other_server(self, role):
        """Whether another server of the role stays available if one is taken away."""
        return sum(s.role == role and s.status == "SERVING" for s in self.platform.servers.values()) > 1

    def link_hold(self, trouble):
        server = self.server(trouble)
        server.relay.hold = True
        server.record_outage(trouble.duration_us + 6 * S)
        for state in [state for states in self.platform.held.values() for state in states]:
            state.excused = True  # requests sent over the held link have not arrived, and the gateway can't tell
        self.loop.call_later(trouble.duration_us, self.end_link_hold, server)

    @staticmethod
    def end_link_hold(server):
        server.relay.hold = False
        server.relay.cut()  # bytes in transit are lost

    def link_reset(self, trouble):
        server = self.server(trouble)
        server.record_outage(trouble.duration_us + S)
        for i in range(4):
            self.loop.call_later(trouble.duration_us * i // 4, server.relay.cut)

    def link_deaf(self, trouble):
        server = self.server(trouble)
        server.stop_accepting()
        self.loop.call_later(trouble.duration_us, server.resume_accepting)

    # ---- troubles of discovery

    def discovery_silent(self, trouble):
        self.set_on_agents("silent", trouble.duration_us)

    def discovery_garbage(self, trouble):
        self.set_on_agents("garbage", trouble.duration_us)

    def set_on_agents(self, fault, duration_us):
        for agent in self.platform.agents:
            setattr(agent, fault, True)
            self.loop.call_later(duration_us, setattr, agent, fault, False)

    def watch_lost(self, trouble):
        for agent in self.platform.agents:
            agent.waiting.clear()

    def close(self):
        self.clients.close()
        for gateway in self.gateways:
            gateway.close()
        self.platform.close()
        self.loop.close()


def play(seed, seconds=16.0, gateways=10, folder=None):
    """Runs the day of `seed` and returns its records, a Day. Logs and configurations go to `folder`, or are deleted."""
    if folder is not None:
        os.makedirs(folder, exist_ok=True)
        return DayRunner(seed, seconds, gateways, folder).play()
    with tempfile.TemporaryDirectory() as temporary:
        return DayRunner(seed, seconds, gateways, temporary).play()
