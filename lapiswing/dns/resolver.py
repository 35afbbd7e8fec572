"""The resolver on the loop. `ask(name, kind, done)` -> `done(Answer or None, why)`, once, never from within the call.

A question goes out from a new socket (so from a random port) with a random id; an answer counts only when it comes from the server that was
asked, with this id and this question. A truncated one is asked for again over TCP. A server that does not answer, or fails, is left
for the next; it is tried again after a growing pause, and when all are bad, the one whose pause ends first."""

import selectors
import socket

from lapiswing.dns.codec import BadAnswer, question, read
from lapiswing.loop import connect

MS = 1000
TRY_US = 400 * MS
TCP_US = 2_000 * MS
PAUSES_MS = (0, 500, 1000, 2000, 5000, 15_000, 30_000)
TRIES = 3  # of one question
AT_ONCE = 64
FAILS = ("SERVFAIL", "REFUSED", "NOTIMP", "FORMERR")


class Upstream:
    """One server."""

    def __init__(self, address):
        self.address, self.fails, self.free_us = address, 0, 0
        self.answers = self.lost = 0

    def good(self):
        self.answers += 1
        self.fails = self.free_us = 0

    def bad(self, now_us):
        self.lost += 1
        self.fails += 1
        self.free_us = now_us + PAUSES_MS[min(self.fails, len(PAUSES_MS) - 1)] * MS


class Resolver:
    def __init__(self, loop, servers, rng, log=None):
        """`servers`: (address, port); `rng`: random.SystemRandom, or a seeded one in tests."""
        self.loop, self.rng, self.log = loop, rng, log or (lambda event, **fields: None)
        self.servers = [Upstream(a) for a in servers]
        self.counts = dict.fromkeys(
            (
                "asked",
                "answered",
                "timed out",
                "tcp",
                "dropped: garbage",
                "dropped: id",
                "dropped: question",
                "dropped: size",
                "dropped: sender",
                "failed",
            ),
            0,
        )
        self.line, self.running = [], set()

    def ask(self, name, kind, done):
        one = Lookup(self, name, kind, done)
        if len(self.running) < AT_ONCE:
            self.running.add(one)
            self.loop.soon(one.start)
        else:
            self.line.append(one)
        return one

    def ended(self, one):
        self.running.discard(one)
        if self.line and len(self.running) < AT_ONCE:
            following = self.line.pop(0)
            self.running.add(following)
            self.loop.soon(following.start)

    def pick(self, tried):
        """The next server: a good one that this question has not tried, else the one that is free first."""
        now = self.loop.clock.now_us()
        fresh = [s for s in self.servers if s not in tried] or self.servers
        return min(fresh, key=lambda s: (max(0, s.free_us - now), s.fails, self.servers.index(s)))

    def close(self):
        for one in [*self.running, *self.line]:
            one.cancel()


class Lookup:
    def __init__(self, resolver, name, kind, done):
        self.resolver, self.loop, self.name, self.kind, self.done = resolver, resolver.loop, name, kind, done
        self.tried, self.sock, self.timer, self.tcp, self.server = [], None, None, None, None

    def start(self):
        if self.done is None:
            return
        if len(self.tried) >= max(TRIES, len(self.resolver.servers)):
            return self.finish(None, "no server answers")
        self.server = self.resolver.pick(self.tried)
        self.tried.append(self.server)
        self.number = self.resolver.rng.randrange(1 << 16)
        try:
            self.data = question(self.name, self.kind, self.number)
        except ValueError as problem:
            return self.finish(None, str(problem))
        self.resolver.counts["asked"] += 1
        try:
            self.sock = socket.socket(socket.AF_INET6 if ":" in self.server.address[0] else socket.AF_INET, socket.SOCK_DGRAM)
            self.sock.setblocking(False)
            # Not connected: what comes from another sender is to be seen, and counted.
            self.sock.bind(("", 0))
            self.sock.sendto(self.data, self.server.address)
        except OSError as problem:
            return self.failed(f"{problem.strerror}")
        self.loop.watch(self.sock, selectors.EVENT_READ, self.on_ready)
        self.timer = self.loop.call_later(TRY_US, self.late)

    def on_ready(self, _mask):
        for _ in range(50):
            if self.sock is None:
                return
            try:
                data, sender = self.sock.recvfrom(65536)
            except (BlockingIOError, InterruptedError):
                return
            except OSError as problem:
                return self.failed(problem.strerror)
            if sender[:2] != tuple(self.server.address[:2]):
                self.resolver.counts["dropped: sender"] += 1
                continue
            self.take(data)

    def take(self, data):
        try:
            answer = read(data, self.number, self.name, self.kind)
        except BadAnswer as problem:
            self.resolver.counts[f"dropped: {problem.kind}"] += 1
            if self.tcp is not None:
                self.failed(str(problem))
            return  # over UDP the true answer may still come
        if answer.truncated and self.tcp is None:
            return self.over_tcp()
        if answer.rcode in FAILS:
            return self.failed(answer.rcode)
        self.server.good()
        self.resolver.counts["answered"] += 1
        self.finish(answer, None)

    def over_tcp(self):
        self.let_go()
        self.resolver.counts["tcp"] += 1
        self.timer = self.loop.call_later(TCP_US, self.late)
        self.tcp, self.raw = connect(self.loop, self.server.address, TCP_US, self.connected), bytearray()

    def connected(self, stream, why):
        if stream is None:
            return self.failed(why)
        self.tcp, stream.owner = stream, self
        stream.write(len(self.data).to_bytes(2, "big") + self.data)

    def on_data(self, data):
        self.raw += data
        if len(self.raw) >= 2 and len(self.raw) >= 2 + int.from_bytes(self.raw[:2], "big"):
            self.take(bytes(self.raw[2 : 2 + int.from_bytes(self.raw[:2], "big")]))
        elif len(self.raw) > 65537:
            self.failed("more than an answer can be")

    def on_eof(self):
        self.failed("the server ended the connection")

    def on_closed(self, why):
        if self.done is not None and self.tcp is not None:
            self.failed(why or "closed")

    def on_drained(self):
        pass

    def late(self):
        self.resolver.counts["timed out"] += 1
        self.failed("no answer in time")

    def failed(self, why):
        self.let_go()
        self.server.bad(self.loop.clock.now_us())
        self.resolver.log("dns server", server=self.server.address[0], why=why, name=self.name)
        self.start()

    def let_go(self):
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        if self.sock is not None:
            self.loop.watch(self.sock, 0, None)
            self.sock.close()
            self.sock = None
        tcp, self.tcp = self.tcp, None
        if tcp is not None:
            tcp.cancel() if hasattr(tcp, "cancel") else tcp.abort()

    def finish(self, answer, why):
        self.let_go()
        done, self.done = self.done, None
        if answer is None:
            self.resolver.counts["failed"] += 1
        self.resolver.ended(self)
        if done:
            done(answer, why)

    def cancel(self):
        self.done = None
        self.let_go()
        self.resolver.ended(self)
