"""Assembles the gateway process: settings, event loop, server list, core, fronts and signals."""

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
from lapiswing.http1 import SETTLE_US, Limits, Pool, Server
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
MAINTENANCE_PERIOD_US = 5_000 * MS
SAVE_LEARNED_STATE_EVERY = 6  # maintenance runs between two records of the router's learned state


class Gateway:
    """One gateway: `start()` listens, `loop.run()` serves, `drain()` ends it. `start` raises OSError if it can't listen."""

    def __init__(self, settings, log, loop=None, base=".", router=Router):
        self.settings, self.log, self.base = settings, log, base
        self.loop = loop or Loop(
            Clock(), on_error=lambda error: log.error("fault", why=f"{type(error).__name__}: {error}", exc_info=error)
        )
        config, listen = settings, settings.listen
        self.zones, self.cells = Names(), Names()
        self.pool = Pool(
            self.loop, config.limits.connections_per_box, connect_us=config.limits.connect_ms * MS, settle_us=SETTLE_US
        )
        seed = config.gateway.seed or int.from_bytes(os.urandom(6), "big")
        # Names of states must not repeat after a restart, as servers identify states by them.
        name = f"{config.gateway.name}-{config.gateway.index}-{os.urandom(4).hex()}"
        self.tasks, self.store = Tasks(self.loop), None
        if config.store.folder:
            self.store = Store(
                Files(os.path.join(base, config.store.folder)),
                Worker(self.loop),
                segment_bytes=config.store.segment_bytes,
                log=lambda event, **fields: log.warning(event, **fields),
            )
        self.unix_offset_us = self.loop.clock.now_us() - time.time_ns() // 1000
        memory = Memory(
            self.store,
            lambda: (self.loop.clock.now_us() - self.unix_offset_us) // MS,
            self.unix_to_us,
            config.store.answer_bytes,
            config.store.when_lost == GO_ON,
        )
        self.core = Core(
            self.loop,
            Engine(self.loop, self.pool, config.limits.event_bytes, config.limits.open_bytes),
            Membership(MemberLimits(config.dns.gone_ms * MS, config.dns.doubt_ms * MS)),
            Repeats(config.limits.repeats_kept, config.limits.repeat_bytes),
            config,
            router_settings(config, self.zones),
            [ROLES[kind.role] for kind in config.kind],
            name,
            seed,
            log,
            router,
            memory,
        )
        self.core.on_list_wanted = self.read_servers_file
        mapper = Mapper(config)
        self.sessions = SessionFront(self.core, mapper, config, name)
        self.front = ChatFront(self.core, mapper, lambda: not self.core.draining, {b"/v1/chat/sessions": self.sessions.open})
        self.server = Server(
            self.loop,
            self.front.app,
            Limits(
                listen.head_bytes,
                listen.body_bytes,
                listen.head_ms * MS,
                listen.body_ms * MS,
                listen.idle_ms * MS,
                listen.stall_ms * MS,
                connections=listen.connections,
                all_unfinished_bytes=max(listen.unfinished_bytes, listen.head_bytes + listen.body_bytes),
            ),
        )
        self.server.on_limit = self.log_input_limit
        self.listener, self.servers_file_stamp, self.stop_signals = None, None, 0
        self.list_fault = self.admin = None

    def log_input_limit(self, at_limit):
        """Logs that incomplete requests begin or cease to be refused."""
        account = self.server.account
        self.log.warning(
            "incomplete requests refused",
            state="begins" if at_limit else "over",
            unfinished_bytes=account.unfinished_bytes,
            refused=account.refused,
        )

    def unix_to_us(self, ms):
        """Converts Unix milliseconds to the loop's time."""
        return ms * MS + self.unix_offset_us

    def started_us(self, unix_ms):
        """Returns the start of a server in the loop's time. 0 means unknown and is never returned for a known start."""
        return max(1, self.unix_to_us(unix_ms)) if unix_ms else 0

    def start(self):
        """Opens the store, loads the server list and listens."""
        listen = self.settings.listen
        sock = listen_socket(listen.host, listen.port)
        self.port = sock.getsockname()[1]
        if self.store is not None:
            self.open_store()
        self.read_servers_file()
        if self.servers_file_stamp is None and not self.core.membership.published:
            self.core.update_servers(self.rows_of(self.settings.box))
        if self.settings.dns.service or self.settings.dns.srv:
            self.discover()
        self.core.turn()
        self.listener = Listener(
            self.loop,
            sock,
            self.server.accept,
            listen.connections,
            high=self.settings.limits.answer_buffer_bytes,
            low=self.settings.limits.answer_buffer_bytes // 4,
        )
        self.server.listener = self.listener
        if self.settings.boxes_file:
            self.loop.call_later(self.settings.boxes_poll_ms * MS, self.poll_servers_file)
        self.loop.call_later(1000 * MS, self.probe_drained)
        if self.settings.HasField("fleet"):
            self.join_fleet()
        if admin_enabled(self.settings.admin):
            self.admin = Admin(self, self.log)
            self.admin.start()
        self.log.info("listening", host=listen.host, port=self.port, boxes=len(self.core.membership.published))

    def discover(self):
        """Starts the discovery of servers by DNS records."""
        dns, core = self.settings.dns, self.core
        cache = Cache(dns.lifetime_floor_s, dns.lifetime_ceiling_s, stale_s=dns.stale_s)
        browsers = {f"dns-sd {name}": Browser(name, cache) for name in dns.service} | {
            f"srv {name}": Browser(name, cache, sd=False) for name in dns.srv
        }
        resolver = Resolver(
            self.loop,
            [address_of(address) for address in dns.server],
            SystemRandom(),
            lambda event, **fields: self.log.debug(event, **fields),
        )
        self.discovery = Discovery(
            self.loop,
            resolver,
            browsers,
            lambda found: row_of_found(found, self.settings, self.zones, self.cells, self.started_us),
            core.update_records,
            core.check_membership,
            self.log,
        )

    discovery = fleet = None

    def join_fleet(self):
        """Starts the link to other gateways. Its package is loaded only where the settings ask for it. Raises OSError if it
        can't listen."""
        from lapiswing.fleet.host import Host

        settings = self.settings
        usable = self.store is not None and self.store.mode == "good"
        self.fleet = Host(
            self.loop, settings.fleet, settings.gateway.name, settings.gateway.zone, self.store if usable else None, self.log
        )
        self.fleet.start()

    def open_store(self):
        """Opens the store and restores what a previous process recorded. If the store can't be read, the gateway runs without
        it, as it does if the store can't be written later. Raises StoreError if another process has it open."""
        start = time.monotonic()
        try:
            self.store.open()
        except StoreError as error:
            if error.kind == "locked":
                raise
            self.store.refuse(str(error))
            return self.log.error(
                "store can't be opened; calls with a key are rejected"
                if not self.core.memory.go_on
                else "store can't be opened; nothing is recorded",
                why=str(error),
            )
        core = self.core
        found = core.memory.restore(core.repeats, core.membership, core.caps, [tenant.name for tenant in self.settings.tenant])
        self.log.info(
            "remembered",
            keys=len(found.keys),
            drains=len(found.drains),
            caps=len(found.caps),
            unreadable=found.unreadable or None,
            ms=round((time.monotonic() - start) * 1000),
        )
        self.restore_router(found)
        self.loop.call_later(MAINTENANCE_PERIOD_US, self.maintain)

    def restore_router(self, found):
        """Gives the router the learned state of a previous process. The router decides what it uses of it. If it can't be used
        at all, the router starts fresh, and the reason is logged."""
        record, router = found.learnt, self.core.router
        if record is None or not hasattr(router, "restore_learned_state"):
            return self.log.info("learnt figures", start="fresh", why=found.learnt_why)
        try:
            figures = {
                **record.figures,
                "boxes": [[server, self.started_us(started), *rest] for server, started, *rest in record.figures["boxes"]],
            }
            summary = router.restore_learned_state(figures, (self.core.memory.unix_ms() - record.saved_unix_ms) * MS)
        except (ValueError, TypeError, LookupError) as error:
            return self.log.warning("learnt figures", start="fresh", why=f"can't be used: {error}")
        self.log.info("learnt figures", said=summary)

    def save_learned_state(self):
        """Records what the router has learned."""
        if self.store is None or not hasattr(self.core.router, "learned_state"):
            return
        figures = self.core.router.learned_state()
        # Start times as Unix milliseconds, as the loop's time has no meaning in the next process.
        figures["boxes"] = [
            [server, round((started - self.unix_offset_us) / MS) if started else 0, *rest]
            for server, started, *rest in figures["boxes"]
        ]
        self.core.memory.save_learned_state(figures)

    maintenance_runs = 0

    def maintain(self):
        """Records the learned state, and starts compaction and expiry in the store."""
        self.loop.call_later(MAINTENANCE_PERIOD_US, self.maintain)
        self.maintenance_runs += 1
        if self.maintenance_runs % SAVE_LEARNED_STATE_EVERY == 0:
            self.save_learned_state()
        names = {row["name"] for row in self.tasks.rows()}
        if self.store.wants_compaction() and "compaction" not in names:
            self.tasks.add("compaction", self.store.compact(), priority=7, share=0.1)
        if "expiry" not in names:
            self.tasks.add("expiry", self.store.expire(), priority=8, share=0.05)

    def rows_of(self, entries):
        """Returns `box` entries of the settings as rows for the router."""
        return boxes_of(entries, self.settings, self.zones, self.cells, self.started_us)

    def poll_servers_file(self):
        """Looks for a change of the file with the server list, again and again."""
        self.loop.call_later(self.settings.boxes_poll_ms * MS, self.poll_servers_file)
        self.read_servers_file()

    def read_servers_file(self):
        """Reads the file with the server list if it has changed. If it can't be read, the last good list stays in use."""
        if not self.settings.boxes_file:
            return
        path = Path(self.base, self.settings.boxes_file)
        try:
            file_status = path.stat()
            stamp = (file_status.st_mtime_ns, file_status.st_size, file_status.st_ino)
            if stamp == self.servers_file_stamp:
                return
            entries = load_boxes(path.read_text(), str(path), [kind.name for kind in self.settings.kind])
        except (OSError, UnicodeDecodeError, SettingsError) as error:
            if self.servers_file_stamp != "bad":
                self.servers_file_stamp, self.list_fault = "bad", str(error)
                self.log.error("boxes file can't be read; the last list stands", why=str(error))
            return
        self.servers_file_stamp, self.list_fault = stamp, None
        self.core.update_servers(self.rows_of([*self.settings.box, *entries]))

    def probe_drained(self):
        """Has the core ask draining servers for their load once a second."""
        self.loop.call_later(1000 * MS, self.probe_drained)
        self.core.probe_drained()

    def watch_signals(self):
        """Drains on SIGTERM and SIGINT, reads the file with the server list on SIGHUP."""
        for number in (signal.SIGTERM, signal.SIGINT):
            self.loop.on_signal(number, self.on_stop)
        self.loop.on_signal(signal.SIGHUP, self.read_servers_file)

    def on_stop(self):
        """Drains at the first signal, stops at once at the second."""
        self.stop_signals += 1
        if self.stop_signals > 1:
            self.log.warning("stopping at once")
            return self.loop.stop()
        self.drain()

    def drain(self):
        """Takes no more calls, and ends the loop once all are answered or at the limit."""
        self.save_learned_state()
        if self.fleet is not None:
            self.fleet.close()
        self.core.notify_change("gateway", text="draining")
        self.log.info("draining", open=self.core.open, limit_ms=self.settings.gateway.drain_limit_ms)
        self.server.drain()
        limit_us = self.settings.gateway.drain_limit_ms * MS
        self.sessions.drain(limit_us)
        self.stop_due_us = self.loop.clock.now_us() + limit_us
        self.close_port()
        self.core.drain(limit_us, self.finish)

    def close_port(self):
        """Closes the port as soon as no WebSocket session has an answer for which its client might have to reconnect."""
        if self.sessions.unfinished() and self.loop.clock.now_us() < self.stop_due_us - 500 * MS:
            return self.loop.call_later(50 * MS, self.close_port)
        self.listener.close()

    def finish(self):
        """Ends the loop once the sessions and the writes to clients have ended."""
        if (self.sessions.connections or self.sessions.unfinished()) and self.loop.clock.now_us() < self.stop_due_us:
            return self.loop.call_later(20 * MS, self.finish)  # the sessions are closed one after the other
        # The last responses may still be in the write buffers.
        if any(conn.stream.unsent_bytes for conn in self.server.connections) and self.may_wait_longer():
            return self.loop.call_later(20 * MS, self.finish)
        self.log.info(
            "stopped",
            rounds=self.core.rounds,
            round_ms=self.core.round_us // MS,
            **{name.replace(" ", "_"): count for name, count in self.core.counts.items()},
        )
        self.loop.stop()

    write_polls_left = 100

    def may_wait_longer(self):
        """Bounds the wait for write buffers."""
        self.write_polls_left -= 1
        return self.write_polls_left > 0

    def close(self):
        """Closes all sockets. For tests."""
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


def admin_enabled(settings):
    """Whether the settings ask for an admin socket."""
    return settings.path or settings.control_path or settings.port
