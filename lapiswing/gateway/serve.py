"""Puts one gateway together: settings, loop, boxes' list, core, chat front, signals."""

import os
import signal
import time
from pathlib import Path
from random import SystemRandom

from lapiswing.admin.serve import Admin
from lapiswing.admission import Repeats
from lapiswing.dns.browse import Browser
from lapiswing.dns.cache import Cache
from lapiswing.dns.resolver import Resolver
from lapiswing.engine import Engine
from lapiswing.gateway.core import Core
from lapiswing.gateway.fronts.chat import ChatFront
from lapiswing.gateway.fronts.mapping import Mapper
from lapiswing.gateway.fronts.websocket import SessionFront
from lapiswing.http1 import Limits, Pool, Server
from lapiswing.loop import Clock, Listener, Loop, address_of, listen_socket
from lapiswing.membership import Membership
from lapiswing.membership.discover import Discovery
from lapiswing.membership.merge import Limits as MemberLimits
from lapiswing.policy import Router
from lapiswing.settings import SettingsError, load_boxes, router_settings
from lapiswing.settings.load import ROLES, Names, boxes_of, row_of_found
from lapiswing.settings.settings_pb2 import GO_ON
from lapiswing.state import Memory
from lapiswing.store import Engine as Store
from lapiswing.store import Files, StoreError, Worker
from lapiswing.tasks import Tasks

MS = 1000
CHORES_US = 5_000 * MS
LEARNT_EVERY = 6  # of the chores: how often what the decisions learnt is put down


class Gateway:
    """`start()` listens; `loop.run()` serves; `drain()` ends it. Raises OSError where it can't listen."""

    def __init__(self, settings, log, loop=None, base=".", router=Router):
        self.settings, self.log, self.base = settings, log, base
        self.loop = loop or Loop(
            Clock(), on_error=lambda problem: log.error("fault", why=f"{type(problem).__name__}: {problem}", exc_info=problem)
        )
        s, l = settings, settings.listen
        self.zones, self.cells = Names(), Names()
        self.pool = Pool(self.loop, s.limits.connections_per_box, connect_us=s.limits.connect_ms * MS)
        seed = s.gateway.seed or int.from_bytes(os.urandom(6), "big")
        # Names of forwards must not repeat after a restart: boxes know states by them.
        name = f"{s.gateway.name}-{s.gateway.index}-{os.urandom(4).hex()}"
        self.tasks, self.store = Tasks(self.loop), None
        if s.store.folder:
            self.store = Store(
                Files(os.path.join(base, s.store.folder)),
                Worker(self.loop),
                segment_bytes=s.store.segment_bytes,
                log=lambda event, **fields: log.warning(event, **fields),
            )
        self.unix_offset_us = self.loop.clock.now_us() - time.time_ns() // 1000
        memory = Memory(
            self.store,
            lambda: (self.loop.clock.now_us() - self.unix_offset_us) // MS,
            self.unix_to_us,
            s.store.answer_bytes,
            s.store.when_lost == GO_ON,
        )
        self.core = Core(
            self.loop,
            Engine(self.loop, self.pool, s.limits.event_bytes),
            Membership(MemberLimits(s.dns.gone_ms * MS, s.dns.doubt_ms * MS)),
            Repeats(s.limits.repeats_kept, s.limits.repeat_bytes),
            s,
            router_settings(s, self.zones),
            [ROLES[k.role] for k in s.kind],
            name,
            seed,
            log,
            router,
            memory,
        )
        self.core.on_list_wanted = self.read_boxes
        mapper = Mapper(s)
        self.sessions = SessionFront(self.core, mapper, s, name)
        self.front = ChatFront(self.core, mapper, lambda: not self.core.draining, {b"/v1/chat/sessions": self.sessions.open})
        self.server = Server(
            self.loop,
            self.front.app,
            Limits(
                l.head_bytes,
                l.body_bytes,
                l.head_ms * MS,
                l.body_ms * MS,
                l.idle_ms * MS,
                l.stall_ms * MS,
                connections=l.connections,
            ),
        )
        self.listener, self.stamp, self.signals = None, None, 0
        self.list_fault = self.admin = None

    def unix_to_us(self, ms):
        return ms * MS + self.unix_offset_us

    def started_us(self, unix_ms):
        """A box's start in the loop's time; 0 stays long ago, and nothing that was told becomes it."""
        return max(1, self.unix_to_us(unix_ms)) if unix_ms else 0

    def start(self):
        l = self.settings.listen
        sock = listen_socket(l.host, l.port)
        self.port = sock.getsockname()[1]
        if self.store is not None:
            self.remember()
        self.read_boxes()
        if self.stamp is None and not self.core.membership.published:
            self.core.update_servers(self.rows(self.settings.box))
        if self.settings.dns.service or self.settings.dns.srv:
            self.discover()
        self.core.turn()
        self.listener = Listener(
            self.loop,
            sock,
            self.server.accept,
            l.connections,
            high=self.settings.limits.answer_buffer_bytes,
            low=self.settings.limits.answer_buffer_bytes // 4,
        )
        self.server.listener = self.listener
        if self.settings.boxes_file:
            self.loop.call_later(self.settings.boxes_poll_ms * MS, self.poll)
        self.loop.call_later(1000 * MS, self.ask)
        if self.settings.HasField("fleet"):
            self.join_fleet()
        if s_admin(self.settings.admin):
            self.admin = Admin(self, self.log)
            self.admin.start()
        self.log.info("listening", host=l.host, port=self.port, boxes=len(self.core.membership.published))

    def discover(self):
        """Looks for boxes by records, from now on."""
        d, core = self.settings.dns, self.core
        cache = Cache(d.lifetime_floor_s, d.lifetime_ceiling_s, stale_s=d.stale_s)
        browsers = {f"dns-sd {n}": Browser(n, cache) for n in d.service} | {
            f"srv {n}": Browser(n, cache, sd=False) for n in d.srv
        }
        resolver = Resolver(
            self.loop, [address_of(a) for a in d.server], SystemRandom(), lambda event, **fields: self.log.debug(event, **fields)
        )
        self.discovery = Discovery(
            self.loop,
            resolver,
            browsers,
            lambda found: row_of_found(found, self.settings, self.zones, self.cells, self.started_us),
            core.records,
            core.look_at_members,
            self.log,
        )

    discovery = fleet = None

    def join_fleet(self):
        """The link to other copies, loaded where it is wanted only. Raises OSError where it can't listen."""
        from lapiswing.fleet.host import Host

        s = self.settings
        usable = self.store is not None and self.store.mode == "good"
        self.fleet = Host(self.loop, s.fleet, s.gateway.name, s.gateway.zone, self.store if usable else None, self.log)
        self.fleet.start()

    def remember(self):
        """Opens the store and takes up what an earlier life left. One that can't be read leaves the gateway without memory, as one that
        can't be written does later. Raises StoreError: another process has it open."""
        start = time.monotonic()
        try:
            self.store.open()
        except StoreError as problem:
            if problem.kind == "locked":
                raise
            self.store.refuse(str(problem))
            return self.log.error(
                "store can't be opened; calls with a key are pushed back"
                if not self.core.memory.go_on
                else "store can't be opened; nothing is remembered",
                why=str(problem),
            )
        core = self.core
        found = core.memory.restore(core.repeats, core.membership, core.caps, [t.name for t in self.settings.tenant])
        self.log.info(
            "remembered",
            keys=len(found.keys),
            drains=len(found.drains),
            caps=len(found.caps),
            unreadable=found.unreadable or None,
            ms=round((time.monotonic() - start) * 1000),
        )
        self.take_up(found)
        self.loop.call_later(CHORES_US, self.chores)

    def take_up(self, found):
        """Gives the decisions what an earlier life of them learnt; what is taken up of it is their affair. Whatever can't be
        used means a fresh start and a line that says why."""
        record, router = found.learnt, self.core.router
        if record is None or not hasattr(router, "restore_learned_state"):
            return self.log.info("learnt figures", start="fresh", why=found.learnt_why)
        try:
            figures = {
                **record.figures,
                "boxes": [[box, self.started_us(started), *rest] for box, started, *rest in record.figures["boxes"]],
            }
            said = router.restore_learned_state(figures, (self.core.memory.unix_ms() - record.saved_unix_ms) * MS)
        except (ValueError, TypeError, LookupError) as problem:
            return self.log.warning("learnt figures", start="fresh", why=f"can't be used: {problem}")
        self.log.info("learnt figures", said=said)

    def save_learned_state(self):
        if self.store is None or not hasattr(self.core.router, "learned_state"):
            return
        figures = self.core.router.learned_state()
        # Start times as Unix milliseconds: the loop's own time means nothing to the next life.
        figures["boxes"] = [
            [box, round((started - self.unix_offset_us) / MS) if started else 0, *rest]
            for box, started, *rest in figures["boxes"]
        ]
        self.core.memory.save_learned_state(figures)

    chores_done = 0

    def chores(self):
        self.loop.call_later(CHORES_US, self.chores)
        self.chores_done += 1
        if self.chores_done % LEARNT_EVERY == 0:
            self.save_learned_state()
        names = {row["name"] for row in self.tasks.rows()}
        if self.store.wants_compaction() and "compaction" not in names:
            self.tasks.add("compaction", self.store.compact(), priority=7, share=0.1)
        if "expiry" not in names:
            self.tasks.add("expiry", self.store.expire(), priority=8, share=0.05)

    def rows(self, boxes):
        return boxes_of(boxes, self.settings, self.zones, self.cells, self.started_us)

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
        self.core.update_servers(self.rows([*self.settings.box, *boxes]))

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
        self.save_learned_state()
        if self.fleet is not None:
            self.fleet.close()
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
        if any(c.stream.unsent_bytes for c in self.server.connections) and self.patience():
            return self.loop.call_later(20 * MS, self.finish)
        self.log.info(
            "stopped",
            rounds=self.core.rounds,
            round_ms=self.core.round_us // MS,
            **{k.replace(" ", "_"): v for k, v in self.core.counts.items()},
        )
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
        self.tasks.close()
        if self.discovery:
            self.discovery.close()
        if self.fleet is not None:
            self.fleet.close(at_once=True)
        if self.store is not None:
            self.store.close()
        if self.admin:
            self.admin.close()


def s_admin(settings):
    return settings.path or settings.control_path or settings.port
