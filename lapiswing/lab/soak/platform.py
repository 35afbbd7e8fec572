"""The model servers and discovery agents of a soak: the platform's stand-ins, extended by records and by faults that can be
switched on."""

import selectors
import socket

from lapiswing.lab.soak.records import Attempt, State, StreamFault, UnavailableReport
from lapiswing.lab.soak.stream_faults import PAUSES_US, SPOILT_FORMS, write_slowly, write_spoilt
from lapiswing.loop import Listener, listen_socket
from lapiswing.loop.net import BACKLOG
from lapiswing.standin.platform import Discovery, ModelServer, Platform
from lapiswing.standin.relay import Relay

MS, S = 1000, 1_000_000  # in microseconds
BACKLOG_FILLERS = 4  # connections that fill an accept queue of length 0


class SoakServer(ModelServer):
    """A model server behind a relay that can hold or cut its connections. `mode` is None, "hang", "errors", "spoilt"
    or "slow"; of the last two a stream has one event that it replaces or writes slowly."""

    def __init__(self, platform, name, role, zone="a", group=0):
        super().__init__(platform, name, role, zone, group)
        self.relay = Relay(platform.loop, self.server.listener.address)
        self.address = f"127.0.0.1:{self.relay.address[1]}"
        self.mode, self.open_attempts, self.backlog_fillers = None, set(), []
        self.events = platform.rng.choice((3, 5, 12, 40))
        self.pause_us, self.read_us = platform.rng.choice((2, 8)) * MS, platform.rng.choice((5, 20, 60)) * MS
        self.fault = self.apply_fault_mode

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
            self.open_attempts.add(attempt)
        super().app(exchange)
        if exchange.attempt is not None and exchange.over and exchange.attempt.end_us is None:
            self.end_attempt(exchange.attempt)

    @property
    def now(self):
        return self.platform.loop.clock.now_us()

    def end_attempt(self, attempt):
        """Records the end of an attempt, if it is not recorded yet."""
        if attempt is not None and attempt.end_us is None:
            attempt.end_us = self.now
            self.open_attempts.discard(attempt)

    def apply_fault_mode(self, exchange):
        """Applies the fault mode. Returns whether it has answered the request, or leaves it without an answer on purpose."""
        attempt = exchange.attempt
        if attempt is not None:
            exchange.on_left = lambda: (self.end_attempt(attempt), self.gone())
        if self.mode == "hang":
            return True
        if self.mode == "errors" and attempt is not None:
            draw = self.platform.rng.random()
            if draw < 0.3:
                exchange.respond(500)
            elif draw < 0.6:
                attempt.ran = False
                self.decline(exchange, 503)
            elif draw < 0.8:
                exchange.conn.stream.abort()
            else:
                return False
            self.end_attempt(attempt)
            return True
        return False

    def have_read(self, exchange, rid):
        attempt = exchange.attempt
        if exchange.over:
            # The connection ended before the prefill completed; no state is recorded.
            return self.end_attempt(attempt)
        if rid in self.reading:
            self.platform.hold(rid, self)
        super().have_read(exchange, rid)
        self.end_attempt(attempt)

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
        if number == 0:  # servers of both roles also fetch state that another one holds
            self.platform.released(attempt.rid)
        if exchange.over:
            return self.end_attempt(attempt)
        if self.mode == "hang":
            return self.platform.loop.call_later(100 * MS, self.step, exchange, number)
        if number == 0 and self.mode in ("spoilt", "slow"):
            attempt.stream_fault = StreamFault(self.mode, self.platform.rng.randrange(min(self.events, 4)))
        if attempt.stream_fault is not None and attempt.stream_fault.at == number:
            return self.apply_stream_fault(exchange, attempt, number)
        data = self.event(number) if number < self.events else self.whole()[self.size_of_events() :]
        attempt.sent += data
        attempt.event_ends.append((self.now, len(attempt.sent)))
        super().step(exchange, number)
        if number >= self.events:
            attempt.completed_us = self.now
            self.end_attempt(attempt)

    def apply_stream_fault(self, exchange, attempt, number):
        """Spoils the stream from this event on, or writes this event slowly."""
        loop, rng = self.platform.loop, self.platform.rng
        exchange.on_left = lambda: (self.end_attempt(attempt), self.gone())
        if number == 0:
            exchange.begin(200, [(b"content-type", b"text/event-stream")])
        if attempt.stream_fault.mode == "spoilt":
            attempt.spoilt_us = self.now
            return write_spoilt(loop, exchange, rng.choice(SPOILT_FORMS))
        data = self.event(number)
        write_slowly(
            loop,
            exchange,
            data,
            rng.randrange(len(data)),
            rng.choice(PAUSES_US),
            lambda: self.event_written(exchange, attempt, number, data),
        )

    def event_written(self, exchange, attempt, number, data):
        """An event that was written slowly is complete: the stream goes on."""
        attempt.sent += data
        attempt.event_ends.append((self.now, len(attempt.sent)))
        self.platform.loop.call_later(self.pause_us, self.step, exchange, number + 1)

    def size_of_events(self):
        return sum(len(self.event(i)) for i in range(self.events))

    def crash(self):
        """Resets all connections, stops listening and loses all states."""
        for conn in list(self.server.connections):
            conn.stream.abort()
        self.relay.cut()
        self.relay.listener.close()
        self.states.clear()
        self.reading.clear()
        self.platform.lose_states(self)

    def restart(self):
        """Listens again under the same name and address, without any state."""
        host, port = self.address.rsplit(":", 1)
        self.relay.listener = Listener(self.platform.loop, listen_socket(host, int(port)), self.relay.accept)

    def stop_accepting(self):
        """Lets new connections time out: stops accepting and fills the accept queue."""
        listener = self.relay.listener
        if listener.closed or self.backlog_fillers:
            return
        self.platform.loop.watch(listener.sock, 0, None)
        listener.sock.listen(0)
        for _ in range(BACKLOG_FILLERS):
            sock = socket.socket()
            sock.setblocking(False)
            sock.connect_ex(listener.address)
            self.backlog_fillers.append(sock)

    def resume_accepting(self):
        fillers, self.backlog_fillers = self.backlog_fillers, []
        for sock in fillers:
            sock.close()
        listener = self.relay.listener
        if fillers and not listener.closed:
            listener.sock.listen(BACKLOG)
            self.platform.loop.watch(listener.sock, selectors.EVENT_READ, listener.on_ready)

    def record_outage(self, duration_us):
        """From now on for `duration_us` its streams may end early."""
        self.platform.day.outages_us.setdefault(self.name, []).append((self.now, self.now + duration_us))

    def close(self):
        self.resume_accepting()
        self.relay.close()
        self.server.listener.close()
        self.server.close()


class Agent(Discovery):
    """The discovery agent of one gateway. Records which rows it sent that mark a server as unavailable."""

    def __init__(self, platform, gateway):
        super().__init__(platform)
        self.gateway = gateway

    def whole(self, counts_after_us=0):
        """-> the whole list, whose rows count as reported to the gateway `counts_after_us` from now."""
        answer = super().whole()
        self.record_unavailable(answer["endpoints"], counts_after_us)
        gone = self.platform.day.unavailable_us.keys() - self.platform.servers.keys()
        self.record_unavailable([{"name": name, "status": "DELETED"} for name in gone], counts_after_us)
        return answer

    def answer(self, exchange, after):
        self.record_unavailable([row for index, row in self.log if index > after])
        super().answer(exchange, after)

    def record_unavailable(self, rows, counts_after_us=0):
        """Records the rows among `rows` that mark a server as draining or deleted."""
        now_us = self.platform.loop.clock.now_us()
        for row in rows:
            if row["status"] != "SERVING":
                self.platform.day.unavailable_reports.append(
                    UnavailableReport(self.gateway, row["name"], now_us, now_us + counts_after_us)
                )

    def publish_row(self, index, row):
        """Adds a changed row and answers the open watches."""
        self.index = index
        self.log.append((index, row))
        waiting, self.waiting = self.waiting, []
        for exchange, after in waiting:
            if exchange.over:
                continue
            if self.silent:  # an agent that falls silent also drops its open watches
                continue
            self.answer(exchange, after)


class SoakPlatform(Platform):
    """Model servers in two zones and an agent for each gateway; both write their records to `day`."""

    def __init__(self, loop, roles, gateways, day, rng):
        self.day, self.rng = day, rng
        self.held = {}  # rid -> [State], one for each server that has prefilled it
        super().__init__(loop, ())
        self.agents = [Agent(self, i) for i in range(gateways)]
        for role in roles:
            self.add(role)

    def add(self, role):
        self.count += 1
        server = SoakServer(self, f"s-{self.count}", role, "ab"[self.count % 2], self.count % 2)
        self.servers[server.name] = server
        return server

    def publish(self, row):
        """Sends one changed row to all agents."""
        self.discovery.index += 1
        now = self.loop.clock.now_us()
        if row["status"] == "SERVING":
            self.day.ready_again_us.setdefault(row["name"], []).append(now)
        else:
            self.day.unavailable_us[row["name"]] = now
        for agent in self.agents:
            agent.publish_row(self.discovery.index, row)

    def hold(self, rid, server):
        """`server` now holds the prefill state of `rid`."""
        state = State(rid, server.name, self.loop.clock.now_us())
        self.held.setdefault(rid, []).append(state)
        self.day.states.append(state)

    def released(self, rid):
        """All states of `rid` were fetched or released."""
        for state in self.held.pop(rid, ()):
            state.end_us = self.loop.clock.now_us()

    def lose_states(self, server):
        """The states held by a server are lost in its crash."""
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
