"""The model servers and discovery agents of a soak: the platform's stand-ins, recording and failing on order."""

import selectors
import socket

from lapiswing.lab.soak.records import Attempt, State, Told
from lapiswing.loop import Listener, listen_socket
from lapiswing.loop.net import BACKLOG
from lapiswing.standin.platform import Discovery, ModelServer, Platform
from lapiswing.standin.relay import Relay

MS, S = 1000, 1_000_000
PLUGS = 4  # connections that fill a queue of none


class SoakServer(ModelServer):
    """A model server behind a relay, whose link can be held or cut."""

    def __init__(self, platform, name, role, zone="a", group=0):
        super().__init__(platform, name, role, zone, group)
        self.relay = Relay(platform.loop, self.server.listener.address)
        self.address = f"127.0.0.1:{self.relay.address[1]}"
        self.mode, self.open, self.plugs = None, set(), []
        self.events = platform.chance.choice((3, 5, 12, 40))
        self.pause_us, self.read_us = platform.chance.choice((2, 8)) * MS, platform.chance.choice((5, 20, 60)) * MS
        self.fault = self.misbehave

    def app(self, exchange):
        rid = (exchange.header(b"req-id") or b"").decode()
        exchange.attempt = None
        if rid and exchange.path.startswith(b"/v1/"):
            exchange.attempt = attempt = Attempt(
                rid,
                self.name,
                self.role,
                self.now,
                int(float(exchange.header(b"req-deadline") or 0) * 1e6),
                ran=self.role != "read",
            )
            self.platform.day.attempts.append(attempt)
            self.open.add(attempt)
        super().app(exchange)
        if exchange.attempt is not None and exchange.over and exchange.attempt.end_us is None:
            self.ended(exchange.attempt)

    @property
    def now(self):
        return self.platform.loop.clock.now_us()

    def ended(self, attempt):
        if attempt is not None and attempt.end_us is None:
            attempt.end_us = self.now
            self.open.discard(attempt)

    def misbehave(self, exchange):
        """-> whether the exchange is dealt with."""
        attempt = exchange.attempt
        if attempt is not None:
            exchange.on_left = lambda: (self.ended(attempt), self.gone())
        if self.mode == "hang":
            return True
        if self.mode == "errors" and attempt is not None:
            way = self.platform.chance.random()
            if way < 0.3:
                exchange.respond(500)
            elif way < 0.6:
                attempt.ran = False
                self.decline(exchange, 503)
            elif way < 0.8:
                exchange.conn.stream.abort()
            else:
                return False
            self.ended(attempt)
            return True
        return False

    def have_read(self, exchange, rid):
        attempt = exchange.attempt
        if exchange.over:
            # The read has ended well all the same, as its connection broke: what it left is held like any other.
            return self.ended(attempt)
        if rid in self.reading:
            self.platform.hold(rid, self)
        super().have_read(exchange, rid)
        self.ended(attempt)

    def room(self, exchange, rid):
        if exchange.method == b"DELETE":
            self.platform.released(rid)
        super().room(exchange, rid)

    def decline(self, exchange, status):
        if exchange.attempt is not None:
            exchange.attempt.ran = False
        super().decline(exchange, status)

    def step(self, exchange, number):
        attempt = exchange.attempt
        if number == 0:  # a mixed server fetches what is held elsewhere, too
            self.platform.released(attempt.rid)
        if exchange.over:
            return self.ended(attempt)
        if self.mode == "hang":
            return self.platform.loop.call_later(100 * MS, self.step, exchange, number)
        data = self.event(number) if number < self.events else self.whole()[self.size_of_events() :]
        attempt.sent += data
        attempt.events_us.append((self.now, len(attempt.sent)))
        super().step(exchange, number)
        if number >= self.events:
            attempt.whole_us = self.now
            self.ended(attempt)

    def size_of_events(self):
        return sum(len(self.event(i)) for i in range(self.events))

    def crash(self):
        for conn in list(self.server.connections):
            conn.stream.abort()
        self.relay.cut()
        self.relay.listener.close()
        self.states.clear()
        self.reading.clear()
        self.platform.lose(self)

    def come_back(self):
        """Under its name and address, as a fresh process."""
        host, port = self.address.rsplit(":", 1)
        self.relay.listener = Listener(self.platform.loop, listen_socket(host, int(port)), self.relay.accept)

    def deafen(self):
        """No new connection comes up: the queue of those that wait to be accepted is full."""
        listener = self.relay.listener
        if listener.closed or self.plugs:
            return
        self.platform.loop.watch(listener.sock, 0, None)
        listener.sock.listen(0)
        for _ in range(PLUGS):
            plug = socket.socket()
            plug.setblocking(False)
            plug.connect_ex(listener.address)
            self.plugs.append(plug)

    def hear(self):
        plugs, self.plugs = self.plugs, []
        for plug in plugs:
            plug.close()
        listener = self.relay.listener
        if plugs and not listener.closed:
            listener.sock.listen(BACKLOG)
            self.platform.loop.watch(listener.sock, selectors.EVENT_READ, listener.on_ready)

    def broken(self, lasts_us):
        self.platform.day.broken_us.setdefault(self.name, []).append((self.now, self.now + lasts_us))

    def close(self):
        self.hear()
        self.relay.close()
        self.server.listener.close()
        self.server.close()


class Agent(Discovery):
    """The discovery agent of one gateway."""

    def __init__(self, platform, gateway):
        super().__init__(platform)
        self.gateway = gateway

    def whole(self):
        answer = super().whole()
        self.note(answer["endpoints"])
        gone = self.platform.day.changed.keys() - self.platform.servers.keys()
        self.note([{"name": name, "status": "DELETED"} for name in gone])
        return answer

    def answer(self, exchange, after):
        self.note([row for index, row in self.log if index > after])
        super().answer(exchange, after)

    def note(self, rows):
        now = self.platform.loop.clock.now_us()
        for row in rows:
            if row["status"] != "SERVING":
                self.platform.day.told.append(Told(self.gateway, row["name"], now))

    def tell_row(self, index, row):
        self.index = index
        self.log.append((index, row))
        waiting, self.waiting = self.waiting, []
        for exchange, after in waiting:
            if exchange.over:
                continue
            if self.silent:  # open watches that fall silent are broken
                continue
            self.answer(exchange, after)


class SoakPlatform(Platform):
    """Servers in two zones, an agent for each gateway, and what both saw, in `day`."""

    def __init__(self, loop, roles, gateways, day, chance):
        self.day, self.chance = day, chance
        self.held = {}  # rid -> [State], one for each server that has read it
        super().__init__(loop, ())
        self.agents = [Agent(self, i) for i in range(gateways)]
        for role in roles:
            self.add(role)

    def add(self, role):
        self.count += 1
        server = SoakServer(self, f"s-{self.count}", role, "ab"[self.count % 2], self.count % 2)
        self.servers[server.name] = server
        return server

    def tell(self, row):
        """One row's change, to all agents."""
        self.discovery.index += 1
        now = self.loop.clock.now_us()
        if row["status"] == "SERVING":
            self.day.back[row["name"]] = now
        else:
            self.day.changed[row["name"]] = now
        for agent in self.agents:
            agent.tell_row(self.discovery.index, row)

    def hold(self, rid, server):
        state = State(rid, server.name, self.loop.clock.now_us())
        self.held.setdefault(rid, []).append(state)
        self.day.states.append(state)

    def released(self, rid):
        for state in self.held.pop(rid, ()):
            state.end_us = self.loop.clock.now_us()

    def lose(self, server):
        for rid, states in list(self.held.items()):
            for state in [state for state in states if state.server == server.name]:
                state.excused, state.end_us = True, self.loop.clock.now_us()
                states.remove(state)
            if not states:
                del self.held[rid]

    def close(self):
        for server in [*self.servers.values(), *self.retired]:
            server.close()
        for agent in [*self.agents, self.discovery]:
            agent.server.listener.close()
            agent.server.close()
