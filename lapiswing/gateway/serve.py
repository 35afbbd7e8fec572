"""Puts one gateway together: settings, loop, boxes' list, core, chat front, signals."""
import os
import signal
import time
from pathlib import Path

from lapiswing.admin.serve import Admin
from lapiswing.admission import Repeats
from lapiswing.engine import Engine
from lapiswing.gateway.core import Core
from lapiswing.gateway.fronts.chat import ChatFront
from lapiswing.gateway.fronts.mapping import Mapper
from lapiswing.gateway.fronts.websocket import SessionFront
from lapiswing.http1 import Limits, Pool, Server
from lapiswing.loop import Clock, Listener, Loop, listen_socket
from lapiswing.membership import Membership
from lapiswing.policy import Router
from lapiswing.settings import SettingsError, load_boxes, router_settings
from lapiswing.settings.load import ROLES, Names, boxes_of

MS = 1000


class Gateway:
    """`start()` listens; `loop.run()` serves; `drain()` ends it. Raises OSError where it can't listen."""

    def __init__(self, settings, log, loop=None, base=".", router=Router):
        self.settings, self.log, self.base = settings, log, base
        self.loop = loop or Loop(Clock(), on_error=lambda problem: log.error(
            "fault", why=f"{type(problem).__name__}: {problem}", exc_info=problem))
        s, l = settings, settings.listen
        self.zones, self.cells = Names(), Names()
        self.pool = Pool(self.loop, s.limits.connections_per_box, connect_us=s.limits.connect_ms * MS)
        seed = s.gateway.seed or int.from_bytes(os.urandom(6), "big")
        # Names of forwards must not repeat after a restart: boxes know states by them.
        name = f"{s.gateway.name}-{s.gateway.index}-{os.urandom(4).hex()}"
        self.core = Core(self.loop, Engine(self.loop, self.pool, s.limits.event_bytes), Membership(),
                         Repeats(s.limits.repeats_kept, s.limits.repeat_bytes), s, router_settings(s, self.zones),
                         [ROLES[k.role] for k in s.kind], name, seed, log, router)
        self.core.on_list_wanted = self.read_boxes
        mapper = Mapper(s)
        self.sessions = SessionFront(self.core, mapper, s, name)
        self.front = ChatFront(self.core, mapper, lambda: not self.core.draining,
                               {b"/v1/chat/sessions": self.sessions.open})
        self.server = Server(self.loop, self.front.app, Limits(
            l.head_bytes, l.body_bytes, l.head_ms * MS, l.body_ms * MS, l.idle_ms * MS, l.stall_ms * MS,
            connections=l.connections))
        self.listener, self.stamp, self.signals = None, None, 0
        self.list_fault = self.admin = None
        self.unix_offset_us = self.loop.clock.now_us() - time.time_ns() // 1000

    def unix_to_us(self, ms):
        return max(1, ms * MS + self.unix_offset_us)

    def start(self):
        l = self.settings.listen
        sock = listen_socket(l.host, l.port)
        self.port = sock.getsockname()[1]
        self.read_boxes()
        if self.stamp is None and not self.core.membership.told:
            self.core.list_boxes(self.rows(self.settings.box))
        self.core.turn()
        self.listener = Listener(self.loop, sock, self.server.accept, l.connections,
                                 high=self.settings.limits.answer_buffer_bytes,
                                 low=self.settings.limits.answer_buffer_bytes // 4)
        self.server.listener = self.listener
        if self.settings.boxes_file:
            self.loop.call_later(self.settings.boxes_poll_ms * MS, self.poll)
        self.loop.call_later(1000 * MS, self.ask)
        if s_admin(self.settings.admin):
            self.admin = Admin(self, self.log)
            self.admin.start()
        self.log.info("listening", host=l.host, port=self.port, boxes=len(self.core.membership.told))

    def rows(self, boxes):
        return boxes_of(boxes, self.settings, self.zones, self.cells, self.unix_to_us)

    def poll(self):
        self.loop.call_later(self.settings.boxes_poll_ms * MS, self.poll)
        self.read_boxes()

    def read_boxes(self):
        """The boxes' file, where it has changed. A file that can't be read leaves the last good list standing."""
        if not self.settings.boxes_file:
            return
        path = Path(self.base, self.settings.boxes_file)
        try:
            status = path.stat()
            stamp = (status.st_mtime_ns, status.st_size, status.st_ino)
            if stamp == self.stamp:
                return
            boxes = load_boxes(path.read_text(), str(path), [k.name for k in self.settings.kind])
        except (OSError, UnicodeDecodeError, SettingsError) as problem:
            if self.stamp != "bad":
                self.stamp, self.list_fault = "bad", str(problem)
                self.log.error("boxes file can't be read; the last list stands", why=str(problem))
            return
        self.stamp, self.list_fault = stamp, None
        self.core.list_boxes(self.rows([*self.settings.box, *boxes]))

    def ask(self):
        self.loop.call_later(1000 * MS, self.ask)
        self.core.ask_drained()

    def watch_signals(self):
        for number in (signal.SIGTERM, signal.SIGINT):
            self.loop.on_signal(number, self.on_stop)
        self.loop.on_signal(signal.SIGHUP, self.read_boxes)

    def on_stop(self):
        self.signals += 1
        if self.signals > 1:
            self.log.warning("stopping at once")
            return self.loop.stop()
        self.drain()

    def drain(self):
        self.core.changed("gateway", text="draining")
        self.log.info("draining", open=self.core.open, limit_ms=self.settings.gateway.drain_limit_ms)
        self.server.drain()
        limit_us = self.settings.gateway.drain_limit_ms * MS
        self.sessions.drain(limit_us)
        self.stop_us = self.loop.clock.now_us() + limit_us
        self.close_port()
        self.core.drain(limit_us, self.finish)

    def close_port(self):
        """The port closes as soon as no session has an answer to come back for, should its link drop."""
        if self.sessions.unfinished() and self.loop.clock.now_us() < self.stop_us - 500 * MS:
            return self.loop.call_later(50 * MS, self.close_port)
        self.listener.close()

    def finish(self):
        if (self.sessions.connections or self.sessions.unfinished()) and self.loop.clock.now_us() < self.stop_us:
            return self.loop.call_later(20 * MS, self.finish)  # they are sent away one by one
        # What was written last is still on its way to clients.
        if any(c.stream.waiting for c in self.server.connections) and self.patience():
            return self.loop.call_later(20 * MS, self.finish)
        self.log.info("stopped", rounds=self.core.rounds, round_ms=self.core.round_us // MS, **{k.replace(" ", "_"): v for k, v in self.core.counts.items()})
        self.loop.stop()

    tries = 100

    def patience(self):
        self.tries -= 1
        return self.tries > 0

    def close(self):
        """For tests: lets go of all sockets."""
        if self.listener:
            self.listener.close()
        self.server.close()
        self.sessions.close()
        self.pool.close()
        if self.admin:
            self.admin.close()


def s_admin(settings):
    return settings.path or settings.control_path or settings.port
