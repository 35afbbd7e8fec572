"""The clients of a soak: calls of all request classes with various time limits, and connections that send no complete request."""

import json
import socket

from lapiswing.http1 import Pool
from lapiswing.lab.soak.fleet_settings import CLASS_EFFECTS
from lapiswing.lab.soak.records import Call

MS, S = 1000, 1_000_000  # in microseconds
LATE_ANSWER_WAIT_US = 1500 * MS  # a client still waits this long past its deadline, so that a late answer is seen
SLOW_READ_PAUSE_US = 400 * MS
STREAM_LIMIT_US = 12 * S  # for a complete stream
NEW_CONNECTIONS_AFTER_TERM_US = 300 * MS  # the platform still sends new connections to a gateway this long after SIGTERM


CROWD_OF_GATEWAY = 60
CROWD_STEP_US = 250 * MS
HALF_HEAD = b"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n"
LONG_BODY_HEAD = HALF_HEAD + b"Content-Length: 200000\r\n\r\n"
# (bytes sent at once, bytes sent at each step) of requests that never become complete
CROWD_FORMS = (
    (b"", b""),
    (LONG_BODY_HEAD + b"x" * 150_000, b""),
    (LONG_BODY_HEAD, b"x" * 500),
    (HALF_HEAD + b"".join(b"a%d:\r\n" % number for number in range(120)), b""),
    (HALF_HEAD, b"a: b\r\n"),
)


class SlowClient:
    """A client that never completes its request. Reads nothing, and connects again when it was closed."""

    def __init__(self, gateway, form):
        self.gateway, self.form, self.sock = gateway, form, None

    def step(self):
        """Connects, or sends a little more."""
        try:
            if self.sock is None:
                self.sock = socket.socket()
                self.sock.setblocking(False)
                self.sock.connect_ex(self.gateway.address)
                self.unsent = memoryview(self.form[0])
                return
            self.unsent = self.unsent or memoryview(self.form[1])
            if self.unsent:
                self.unsent = self.unsent[self.sock.send(self.unsent) :]
            if not self.sock.recv(1):
                self.close()
        except BlockingIOError:
            pass
        except OSError:
            self.close()

    def close(self):
        if self.sock is not None:
            self.sock.close()
            self.sock = None


class AnswerListener:
    """Records the answer of one call."""

    def __init__(self, clients, call, reused_connection):
        self.clients, self.call, self.reused_connection = clients, call, reused_connection
        self.exchange = None

    @property
    def now(self):
        return self.clients.loop.clock.now_us()

    def on_head(self, status, fields):
        self.call.status, self.call.head_us = status, self.now
        if self.call.reads_slowly:
            self.exchange.pause()
            self.clients.loop.call_later(SLOW_READ_PAUSE_US, self.exchange.resume)

    def on_body(self, data):
        self.call.body += data
        self.call.arrivals.append((self.now, len(self.call.body)))
        self.call.last_bytes_us = self.now

    def on_end(self):
        self.call.final_answers += 1
        self.call.end_us = self.now
        self.clients.call_ended(self)

    def on_fail(self, stage, why):
        if stage in ("sent", "unsent") and self.reused_connection and self.call.status is None:
            return self.clients.send_again(self.call)  # the gateway closed the idle connection meanwhile
        self.call.failed, self.call.end_us = stage, self.now
        self.clients.call_ended(self)


class Clients:
    """Starts calls at random times and connections without complete requests."""

    def __init__(self, loop, day, rng, gateways, calls_per_s):
        """`gateways`: GatewayProcess objects."""
        self.loop, self.day, self.rng, self.gateways, self.calls_per_s = loop, day, rng, gateways, calls_per_s
        self.pools = [Pool(loop, 200, 40, 3 * S, 500 * MS) for _ in gateways]
        self.call_count, self.idle_sockets, self.running = 0, [], True
        self.open_listeners = set()
        self.standing_crowd = []

    def start(self):
        self.loop.call_later(int(self.rng.expovariate(self.calls_per_s) * S), self.arrive)

    def arrive(self):
        """Starts a call at a random gateway and schedules the next arrival."""
        if not self.running:
            return
        self.start()
        ready = [g for g in self.gateways if self.reaches(g)]
        if ready:
            self.start_call(self.rng.choice(ready))

    def reaches(self, gateway):
        """Whether the platform would still send a call to this gateway."""
        run = gateway.run
        if run is None or run.ready_us is None or run.killed_us is not None:
            return False
        return (
            run.term_us is None
            or self.loop.clock.now_us() < run.term_us + NEW_CONNECTIONS_AFTER_TERM_US
            or self.has_idle_connection(gateway)
        )

    def has_idle_connection(self, gateway):
        """Whether an idle keep-alive connection to the gateway exists."""
        return any(self.pools[gateway.number].idle.get(gateway.address, ()))

    def start_call(self, gateway):
        """Draws a call, sends it, and for some calls schedules that the client disconnects."""
        self.call_count += 1
        name = self.rng.choice(["chat", "chat", "order", "pay"])
        patience_us = int(min(self.rng.choice((60, 150, 400, 1200, 3000, 3000, 3000)), self.day.deadline_ms) * MS)
        call = Call(
            f"q{self.day.seed}.{self.call_count}", gateway.number, CLASS_EFFECTS[name], patience_us, self.loop.clock.now_us()
        )
        call.reads_slowly = self.rng.random() < 0.05
        self.day.calls[call.rid] = call
        self.send(call, gateway, name)
        if self.rng.random() < 0.12:
            self.loop.call_later(int(self.rng.uniform(0, min(1.0, patience_us / S)) * S), self.leave, call)

    def send(self, call, gateway, name, fresh=False):
        """Sends the request of a call and schedules the client's time limits."""
        text = f"{call.rid} " + "x" * 4 * self.rng.choice((20, 200, 2000))
        body = json.dumps({"model": name, "stream": True, "messages": [{"role": "user", "content": text}]}).encode()
        left_us = call.sent_us + call.deadline_us - self.loop.clock.now_us()
        fields = [
            (b"req-id", call.rid.encode()),
            (b"req-kind", name.encode()),
            (b"req-key", b"k%d" % self.rng.randrange(40)),
            (b"req-deadline", b"%.3f" % (max(MS, left_us) / S)),
            (b"req-extra", b"prefix=p%d,prompt_len=%d,prefix_len=10,max_out=50" % (self.rng.randrange(6), len(text) // 4)),
        ]
        if name == "order":
            fields.append((b"idempotency-key", call.rid.encode()))
        call.reused_connection = not fresh and self.has_idle_connection(gateway)
        listener = call.answer_listener = AnswerListener(self, call, call.reused_connection)
        call.resend_target = (gateway, name)
        listener.exchange = self.pools[gateway.number].request(
            gateway.address, b"POST", b"/v1/chat/completions", fields, body, listener, fresh=fresh
        )
        self.open_listeners.add(listener)
        self.loop.call_later(max(0, left_us) + LATE_ANSWER_WAIT_US, self.give_up, call, False)
        self.loop.call_later(STREAM_LIMIT_US, self.give_up, call, True)

    def send_again(self, call):
        """Sends the call once more on a new connection, if the gateway still accepts any."""
        self.open_listeners.discard(call.answer_listener)
        gateway, name = call.resend_target
        run = gateway.run
        if run is None or run.killed_us is not None or run.term_us is not None:
            call.failed, call.end_us = "away", self.loop.clock.now_us()
            return
        call.first_sent_us, call.sent_us = call.sent_us, self.loop.clock.now_us()
        self.send(call, gateway, name, fresh=True)

    def leave(self, call):
        """The client disconnects before the answer is complete."""
        if call.end_us is None and call.client_left_us is None:
            call.client_left_us = self.loop.clock.now_us()
            call.answer_listener.exchange.cancel()
            self.open_listeners.discard(call.answer_listener)

    def give_up(self, call, stream):
        """The client gives up: no response head well past its deadline, or a stream that takes too long."""
        if call.end_us is None and call.client_left_us is None and (stream or call.head_us is None):
            call.failed, call.end_us = "nothing", self.loop.clock.now_us()
            call.answer_listener.exchange.cancel()
            self.open_listeners.discard(call.answer_listener)

    def call_ended(self, listener):
        self.open_listeners.discard(listener)

    def crowd(self, gateway, variant, duration_us):
        """Opens connections that send nothing, half a request, or many pipelined requests."""
        payloads = (
            b"",
            b"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nContent-Le",
            b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n" * 40,
        )
        for i in range(int(20 + 180 * variant)):
            sock = socket.socket()
            sock.setblocking(False)
            sock.connect_ex(gateway.address)
            self.idle_sockets.append(sock)
            self.loop.call_later(20 * MS, self.send_bytes, sock, payloads[i % 3])
        self.loop.call_later(duration_us, self.close_idle_sockets)

    def start_standing_crowd(self):
        """Connects clients that stop, or go slowly, and come again whenever they are closed."""
        for gateway in self.gateways:
            for number in range(CROWD_OF_GATEWAY):
                self.standing_crowd.append(SlowClient(gateway, CROWD_FORMS[number % len(CROWD_FORMS)]))
        self.loop.call_later(CROWD_STEP_US, self.step_crowd)

    def step_crowd(self):
        """Has each of them send a little more."""
        if self.running:
            for client in self.standing_crowd:
                client.step()
            self.loop.call_later(CROWD_STEP_US, self.step_crowd)

    @staticmethod
    def send_bytes(sock, data):
        try:
            if data:
                sock.send(data)
        except OSError:
            pass  # the gateway may refuse or close such connections

    def close_idle_sockets(self):
        idle_sockets, self.idle_sockets = self.idle_sockets, []
        for sock in idle_sockets:
            sock.close()

    def close(self):
        self.close_idle_sockets()
        for client in self.standing_crowd:
            client.close()
        for pool in self.pools:
            pool.close()
