"""The DNS resolver on the event loop. `ask(name, kind, done)` calls `done(Answer or None, why)` once, never from within `ask`;
`kind` is the record type.

A query is sent from a new socket, and so from a random port, with a random id; an answer counts only if it comes from the name
server that was asked, with this id and this question. A truncated answer is requested again over TCP. When a name server does
not answer, or fails, the next one is tried; the failed one is avoided for a growing pause. When all are in a pause, the one
whose pause ends first is used."""

import selectors
import socket

from lapiswing.dns.codec import BadAnswer, decode_answer, question
from lapiswing.loop import connect

MS = 1000
UDP_TIMEOUT_US = 400 * MS
TCP_TIMEOUT_US = 2_000 * MS
BACKOFF_MS = (0, 500, 1000, 2000, 5000, 15_000, 30_000)
MIN_ATTEMPTS = 3  # of one query, if there are fewer name servers
MAX_CONCURRENT = 64
FAILURE_RCODES = ("SERVFAIL", "REFUSED", "NOTIMP", "FORMERR")


class Upstream:
    """A name server and its recent failures."""

    def __init__(self, address):
        self.address, self.fails, self.available_us = address, 0, 0
        self.answers = self.lost = 0

    def record_success(self):
        self.answers += 1
        self.fails = self.available_us = 0

    def record_failure(self, now_us):
        self.lost += 1
        self.fails += 1
        self.available_us = now_us + BACKOFF_MS[min(self.fails, len(BACKOFF_MS) - 1)] * MS


class Resolver:
    """Answers queries by asking the configured name servers."""

    def __init__(self, loop, servers, rng, log=None):
        """`servers`: (address, port) pairs; `rng`: random.SystemRandom, or a seeded one in tests."""
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
        self.waiting, self.running = [], set()

    def ask(self, name, kind, done):
        lookup = Lookup(self, name, kind, done)
        if len(self.running) < MAX_CONCURRENT:
            self.running.add(lookup)
            self.loop.soon(lookup.start)
        else:
            self.waiting.append(lookup)
        return lookup

    def lookup_ended(self, lookup):
        self.running.discard(lookup)
        if self.waiting and len(self.running) < MAX_CONCURRENT:
            next_lookup = self.waiting.pop(0)
            self.running.add(next_lookup)
            self.loop.soon(next_lookup.start)

    def select_server(self, tried):
        """The next name server: one that this query has not tried, if any; among these the one whose pause ends first."""
        now = self.loop.clock.now_us()
        candidates = [s for s in self.servers if s not in tried] or self.servers
        return min(candidates, key=lambda s: (max(0, s.available_us - now), s.fails, self.servers.index(s)))

    def close(self):
        for lookup in [*self.running, *self.waiting]:
            lookup.cancel()


class Lookup:
    """One query, with its attempts at one name server after another."""

    def __init__(self, resolver, name, kind, done):
        self.resolver, self.loop, self.name, self.kind, self.done = resolver, resolver.loop, name, kind, done
        self.tried, self.socket, self.timer, self.tcp, self.server = [], None, None, None, None

    def start(self):
        if self.done is None:
            return
        if len(self.tried) >= max(MIN_ATTEMPTS, len(self.resolver.servers)):
            return self.finish(None, "no server answers")
        self.server = self.resolver.select_server(self.tried)
        self.tried.append(self.server)
        self.query_id = self.resolver.rng.randrange(1 << 16)
        try:
            self.query = question(self.name, self.kind, self.query_id)
        except ValueError as problem:
            return self.finish(None, str(problem))
        self.resolver.counts["asked"] += 1
        try:
            self.socket = socket.socket(socket.AF_INET6 if ":" in self.server.address[0] else socket.AF_INET, socket.SOCK_DGRAM)
            self.socket.setblocking(False)
            # Not connected, so that datagrams from other senders are received and counted.
            self.socket.bind(("", 0))
            self.socket.sendto(self.query, self.server.address)
        except OSError as problem:
            return self.attempt_failed(f"{problem.strerror}")
        self.loop.watch(self.socket, selectors.EVENT_READ, self.on_ready)
        self.timer = self.loop.call_later(UDP_TIMEOUT_US, self.timed_out)

    def on_ready(self, _mask):
        for _ in range(50):
            if self.socket is None:
                return
            try:
                data, sender = self.socket.recvfrom(65536)
            except (BlockingIOError, InterruptedError):
                return
            except OSError as problem:
                return self.attempt_failed(problem.strerror)
            if sender[:2] != tuple(self.server.address[:2]):
                self.resolver.counts["dropped: sender"] += 1
                continue
            self.on_message(data)

    def on_message(self, data):
        try:
            answer = decode_answer(data, self.query_id, self.name, self.kind)
        except BadAnswer as problem:
            self.resolver.counts[f"dropped: {problem.kind}"] += 1
            if self.tcp is not None:
                self.attempt_failed(str(problem))
            return  # over UDP the genuine answer may still arrive
        if answer.truncated and self.tcp is None:
            return self.retry_over_tcp()
        if answer.rcode in FAILURE_RCODES:
            return self.attempt_failed(answer.rcode)
        self.server.record_success()
        self.resolver.counts["answered"] += 1
        self.finish(answer, None)

    def retry_over_tcp(self):
        self.release()
        self.resolver.counts["tcp"] += 1
        self.timer = self.loop.call_later(TCP_TIMEOUT_US, self.timed_out)
        self.tcp, self.tcp_data = connect(self.loop, self.server.address, TCP_TIMEOUT_US, self.connected), bytearray()

    def connected(self, stream, why):
        if stream is None:
            return self.attempt_failed(why)
        self.tcp, stream.owner = stream, self
        stream.write(len(self.query).to_bytes(2, "big") + self.query)

    def on_data(self, data):
        self.tcp_data += data
        if len(self.tcp_data) >= 2 and len(self.tcp_data) >= 2 + int.from_bytes(self.tcp_data[:2], "big"):
            self.on_message(bytes(self.tcp_data[2 : 2 + int.from_bytes(self.tcp_data[:2], "big")]))
        elif len(self.tcp_data) > 65537:
            self.attempt_failed("the answer exceeds 65535 bytes")

    def on_eof(self):
        self.attempt_failed("the server closed the connection")

    def on_closed(self, why):
        if self.done is not None and self.tcp is not None:
            self.attempt_failed(why or "closed")

    def on_drained(self):
        pass

    def timed_out(self):
        self.resolver.counts["timed out"] += 1
        self.attempt_failed("no answer in time")

    def attempt_failed(self, why):
        self.release()
        self.server.record_failure(self.loop.clock.now_us())
        self.resolver.log("dns server", server=self.server.address[0], why=why, name=self.name)
        self.start()

    def release(self):
        """Closes the sockets and the timer of the present attempt."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        if self.socket is not None:
            self.loop.watch(self.socket, 0, None)
            self.socket.close()
            self.socket = None
        tcp, self.tcp = self.tcp, None
        if tcp is not None:
            tcp.cancel() if hasattr(tcp, "cancel") else tcp.abort()

    def finish(self, answer, why):
        self.release()
        done, self.done = self.done, None
        if answer is None:
            self.resolver.counts["failed"] += 1
        self.resolver.lookup_ended(self)
        if done:
            done(answer, why)

    def cancel(self):
        self.done = None
        self.release()
        self.resolver.lookup_ended(self)
