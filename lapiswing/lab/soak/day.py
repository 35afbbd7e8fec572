"""Plays one day of the soak: starts the fleet, lets its troubles happen, and looks at what is left at the end."""

import errno
import os
import signal
import tempfile
import time
from functools import partial
from random import Random

from lapiswing.lab.soak.clients import Clients
from lapiswing.lab.soak.platform import Agent, SoakPlatform
from lapiswing.lab.soak.process import GatewayProcess
from lapiswing.lab.soak.records import Day
from lapiswing.lab.soak.troubles import draw
from lapiswing.loop import Clock, Loop

MS, S = 1000, 1_000_000
ROLES = ("read", "read", "read", "write", "write", "write", "both", "both")
READY_S, QUIET_S = 30, 5
CALLS_A_GATEWAY = 6  # a second
FIRST_PORT, PORTS_A_DAY, DAYS_BESIDE = 10_000, 40, 500
STARVED_LOOK_US, LEAST_STARVED_US = 50 * MS, 2 * MS
FREEZE_US = 120 * MS
ERRNOS = (
    ("accept", errno.ECONNABORTED),
    ("accept", errno.ENFILE),
    ("accept", errno.ENOBUFS),
    ("connect_ex", errno.EADDRNOTAVAIL),
    ("connect_ex", errno.ENOBUFS),
    ("connect_ex", errno.ENETUNREACH),
    ("recv", errno.ENOMEM),
    ("send", errno.ENOBUFS),
    ("send", 0),
    ("sendmsg", errno.ENOMEM),
)


def ports_of(seed, count):
    """Below those that the kernel hands out, and apart from days that are played beside: a restart takes its port again."""
    first = FIRST_PORT + seed % DAYS_BESIDE * PORTS_A_DAY
    return list(range(first, first + count))


class DayRunner:
    def __init__(self, seed, seconds, gateways, folder):
        self.seed, self.seconds, self.chance = seed, seconds, Random(seed + 1)
        self.loop, self.day = Loop(Clock()), Day(seed)
        self.platform = SoakPlatform(self.loop, ROLES, gateways, self.day, self.chance)
        ports = ports_of(seed, gateways)
        self.gateways = [
            GatewayProcess(self.loop, self.day, i, gateways, ports[i], self.platform.agents[i], folder, seed * 100 + i)
            for i in range(gateways)
        ]
        self.clients = Clients(self.loop, self.day, self.chance, self.gateways, CALLS_A_GATEWAY * gateways)
        self.loop.after.append(self.see_turn)
        self.waited = {}  # gateway -> (process, time it had waited for a processor)
        self.see_starved()

    def see_turn(self):
        """The observer's own delays, which nobody else is to blame for."""
        now = self.loop.clock.now_us()
        self.day.runner_late_us = max(self.day.runner_late_us, now - self.loop.now)

    def see_starved(self):
        """A process without a processor can't know when bytes came in: a machine that is busy elsewhere is not its fault."""
        now = self.loop.clock.now_us()
        for gateway in self.gateways:
            pid, before = self.waited.get(gateway.number, (None, 0))
            waited = gateway.waited_us() if gateway.program is not None else 0
            if gateway.program is not None and pid == gateway.program.pid and waited - before > LEAST_STARVED_US:
                self.day.starved.append((gateway.number, now, waited - before))
            self.waited[gateway.number] = (gateway.program.pid if gateway.program is not None else None, waited)
        self.loop.call_later(STARVED_LOOK_US, self.see_starved)

    def play(self):
        try:
            for gateway in self.gateways:
                gateway.start()
            self.loop.run_until(lambda: all(g.run.ready_us for g in self.gateways), READY_S * S)
            self.clients.start()
            begin = self.loop.clock.now_us()
            for trouble in draw(self.seed, self.seconds):
                self.day.troubles.append((begin + trouble.at_us, trouble))
                self.loop.call_at(begin + trouble.at_us, self.happen, trouble)
            self.loop.run_until(lambda: False, int(self.seconds * S))
            self.clients.running = False
            self.loop.run_until(lambda: not self.clients.open and not self.platform.held, QUIET_S * S)
            self.look_at_rest()
            self.end()
            return self.day
        finally:
            self.close()

    def end(self):
        """Tells all to end; some may be about to be started by an earlier trouble."""

        def all_ended():
            for gateway in self.gateways:
                gateway.term()
            return not any(gateway.alive() for gateway in self.gateways)

        self.loop.run_until(all_ended, 8 * S)

    def look_at_rest(self):
        """What processes hold that have nothing to do."""
        for gateway in self.gateways:
            if gateway.alive() and gateway.run.term_us is None:
                gateway.run.descriptors.append(gateway.descriptors())
                gateway.run.cpu_s = gateway.processor_s()

    def happen(self, trouble):
        getattr(self, trouble.kind.name.lower())(trouble)

    def gateway(self, trouble):
        return self.gateways[trouble.target % len(self.gateways)]

    def server(self, trouble):
        names = sorted(self.platform.servers)
        return self.platform.servers[names[trouble.target % len(names)]]

    # ---- of gateways

    def stop(self, trouble):
        gateway = self.gateway(trouble)
        gateway.term(partial(self.start, gateway))

    def stop_many(self, trouble):
        for i in range(len(self.gateways) // 3):
            gateway = self.gateways[(trouble.target + i) % len(self.gateways)]
            self.loop.call_later(int(trouble.draw * 500) * MS * i, gateway.term, partial(self.start, gateway))

    def log_stuck(self, trouble):
        self.gateway(trouble).stop_reading_log(trouble.lasts_us)

    def log_gone(self, trouble):
        self.gateway(trouble).stop_reading_log(None)

    def kill(self, trouble):
        gateway = self.gateway(trouble)
        if gateway.run.term_us is None:
            gateway.kill()
            self.loop.call_later(trouble.lasts_us // 4, self.start, gateway)

    @staticmethod
    def start(gateway):
        """Unless another trouble has started it meanwhile."""
        if not gateway.alive():
            gateway.start()

    def clock(self, trouble):
        gateway = self.gateway(trouble)
        gateway.clock_s = (-3600, -7, 7, 3600)[int(trouble.draw * 4)]
        self.kill(trouble)

    def freeze(self, trouble):
        gateway = self.gateway(trouble)
        if gateway.alive():
            gateway.send(signal.SIGSTOP)
            self.loop.call_later(FREEZE_US, self.thaw, gateway, gateway.program.pid)

    @staticmethod
    def thaw(gateway, pid):
        if gateway.alive() and gateway.program.pid == pid:
            os.kill(pid, signal.SIGCONT)

    def reload(self, trouble):
        gateway = self.gateway(trouble)
        old = gateway.agent
        gateway.agent = self.move_agent(gateway)
        whole = trouble.draw >= 0.3
        gateway.reload(whole)
        if not whole:
            self.loop.call_later(150 * MS, gateway.write_config)
        if trouble.draw > 0.7:
            self.loop.call_later(30 * MS, gateway.reload)
        self.loop.call_later(4 * S, self.end_agent, old)

    def move_agent(self, gateway):
        agent = Agent(self.platform, gateway.number)
        agent.index, agent.log = gateway.agent.index, list(gateway.agent.log)
        agent.silent, agent.garbage = gateway.agent.silent, gateway.agent.garbage
        self.platform.agents.append(agent)
        return agent

    def end_agent(self, agent):
        """It learns nothing any more, as the platform has left it."""
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
        self.hang_up(gateway, gateway.run, int(trouble.draw * 600) * MS)

    def hang_up(self, gateway, run, after_us):
        """Told of a new configuration so long after it has become the program."""
        if gateway.run is not run or not gateway.alive():
            return
        if not gateway.program_runs():
            return self.loop.call_later(MS, self.hang_up, gateway, run, after_us)
        if after_us:
            return self.loop.call_later(after_us, self.hang_up, gateway, run, 0)
        gateway.reload()

    def errno(self, trouble):
        gateway, now = self.gateway(trouble), self.loop.clock.now_us()
        for call, code in Random(trouble.target).sample(ERRNOS, 2):
            gateway.faults.append(
                {
                    "call": call,
                    "code": code,
                    "from_us": now,
                    "to_us": now + min(trouble.lasts_us, 600 * MS),
                    "part": 1.0 if trouble.draw < 0.3 and call == "connect_ex" else 0.3,
                }
            )
        self.day.cut_off.append((gateway.number, now, now + 600 * MS))
        gateway.write_shim()
        if gateway.run.ready_us is not None:
            gateway.send(signal.SIGUSR2)

    def crowd(self, trouble):
        self.clients.crowd(self.gateway(trouble), trouble.draw, trouble.lasts_us)

    # ---- of model servers

    def server_hang(self, trouble):
        server = self.server(trouble)
        server.mode = "hang"
        server.broken(trouble.lasts_us + 6 * S)
        self.loop.call_later(trouble.lasts_us, setattr, server, "mode", None)

    def server_errors(self, trouble):
        server = self.server(trouble)
        server.mode = "errors"
        self.loop.call_later(trouble.lasts_us, setattr, server, "mode", None)

    def server_crash(self, trouble):
        server = self.server(trouble)
        if server.relay.listener.closed:
            return
        server.broken(trouble.lasts_us + S)
        server.crash()
        self.loop.call_later(trouble.lasts_us, self.server_back, server)

    def server_back(self, server):
        if server.name in self.platform.servers:
            server.come_back()
            server.since_ms = self.unix_ms()
            self.platform.tell(server.row())

    @staticmethod
    def unix_ms():
        return time.time_ns() // 1_000_000

    def server_drain(self, trouble):
        server = self.server(trouble)
        if self.enough(server.role):
            server.status = "DRAINING"
            self.platform.tell(server.row())
            self.loop.call_later(trouble.lasts_us + 4 * S, self.serve_again, server)

    def serve_again(self, server):
        if server.name in self.platform.servers and server.status == "DRAINING":
            server.status = "SERVING"
            self.platform.tell(server.row())

    def server_replaced(self, trouble):
        server = self.server(trouble)
        if not self.enough(server.role):
            return
        new = self.platform.add(server.role)
        new.since_ms = self.unix_ms()
        del self.platform.servers[server.name]
        self.platform.retired.append(server)
        self.platform.tell({**server.row(), "status": "DELETED"})
        self.platform.tell(new.row())
        self.loop.call_later(2 * S, self.end_server, server)

    def end_server(self, server):
        server.broken(60 * S)
        if not server.relay.listener.closed:
            server.crash()

    def enough(self, role):
        return sum(s.role == role and s.status == "SERVING" for s in self.platform.servers.values()) > 1

    def link_hold(self, trouble):
        server = self.server(trouble)
        server.relay.hold = True
        server.broken(trouble.lasts_us + 6 * S)
        for state in [state for states in self.platform.held.values() for state in states]:
            state.excused = True  # whoever is sent to a link that is held has not arrived, and nobody can tell
        self.loop.call_later(trouble.lasts_us, self.release_link, server)

    @staticmethod
    def release_link(server):
        server.relay.hold = False
        server.relay.cut()  # what was on the way is lost

    def link_reset(self, trouble):
        server = self.server(trouble)
        server.broken(trouble.lasts_us + S)
        for i in range(4):
            self.loop.call_later(trouble.lasts_us * i // 4, server.relay.cut)

    def link_deaf(self, trouble):
        server = self.server(trouble)
        server.deafen()
        self.loop.call_later(trouble.lasts_us, server.hear)

    # ---- of discovery

    def discovery_silent(self, trouble):
        self.all_agents("silent", trouble.lasts_us)

    def discovery_garbage(self, trouble):
        self.all_agents("garbage", trouble.lasts_us)

    def all_agents(self, what, lasts_us):
        for agent in self.platform.agents:
            setattr(agent, what, True)
            self.loop.call_later(lasts_us, setattr, agent, what, False)

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
    """-> the Day."""
    if folder is not None:
        os.makedirs(folder, exist_ok=True)
        return DayRunner(seed, seconds, gateways, folder).play()
    with tempfile.TemporaryDirectory() as own:
        return DayRunner(seed, seconds, gateways, own).play()
