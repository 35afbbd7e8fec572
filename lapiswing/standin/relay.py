"""A lossy relay on loopback: passes bytes between a client and a server, and does to them what bad links do.

Faults (each a field that may be changed at any time): delay_ms, rate (bytes a second), cut_after (bytes, then both sides
are reset), cut_every_ms, flip (byte offsets towards the client, or a probability), hold (half open: nothing passes, nobody
is told), truncate_after (bytes, then a tidy end), twice (offsets at which the next 64 bytes come twice)."""

from random import Random

from lapiswing.loop import Listener, connect, listen_socket


class Relay:
    def __init__(self, loop, to, seed=1):
        self.loop, self.to, self.rng = loop, to, Random(seed)
        self.listener = Listener(loop, listen_socket("127.0.0.1", 0), self.accept)
        self.address = self.listener.address
        self.delay_ms, self.rate, self.cut_after, self.cut_every_ms = 0, None, None, None
        self.flip_at, self.flip_part, self.hold, self.truncate_after, self.twice_at = set(), 0.0, False, None, set()
        self.passed = self.connections = self.flipped = 0
        self.pairs = set()

    def accept(self, stream, _peer):
        self.connections += 1
        Pair(self, stream)

    def cut(self):
        for pair in list(self.pairs):
            pair.end()

    def close(self):
        self.cut()
        self.listener.close()


class Pair:
    def __init__(self, relay, client):
        self.relay, self.loop, self.client, self.server = relay, relay.loop, Side(self, client, True), None
        self.passed, self.over = 0, False
        relay.pairs.add(self)
        client.pause()
        self.dial = connect(self.loop, relay.to, 1_000_000, self.connected)
        if relay.cut_every_ms:
            self.loop.call_later(relay.cut_every_ms * 1000, self.end)

    def connected(self, stream, why):
        if stream is None or self.over:
            if stream is not None:
                stream.abort()
            return self.end()
        self.server = Side(self, stream, False)
        self.client.stream.resume()

    def take(self, side, data):
        """Bytes from one side, for the other."""
        relay = self.relay
        if relay.hold:
            return
        if side.is_client:
            return self.server.put(data)
        start, self.passed = self.passed, self.passed + len(data)
        relay.passed += len(data)
        flips = [at - start for at in relay.flip_at if start <= at < self.passed]
        if relay.flip_part and relay.rng.random() < relay.flip_part:
            flips.append(relay.rng.randrange(len(data)))
        if flips:
            data = bytearray(data)
            for at in flips:
                data[at] ^= 0x41
                relay.flipped += 1
            data = bytes(data)
        for at in relay.twice_at:
            if start <= at < self.passed:
                cut = at - start
                data = data[:cut] + data[cut : cut + 64] + data[cut:]
        if relay.cut_after is not None and self.passed >= relay.cut_after:
            self.client.put(data[: max(0, relay.cut_after - start)])
            return self.loop.call_later(5000, self.end)
        if relay.truncate_after is not None and self.passed >= relay.truncate_after:
            self.client.put(data[: max(0, relay.truncate_after - start)])
            self.loop.soon(self.client.stream.close)
            return
        self.client.put(data)

    def end(self):
        if self.over:
            return
        self.over = True
        self.relay.pairs.discard(self)
        self.dial.cancel()
        for side in (self.client, self.server):
            if side is not None and not side.stream.closed:
                side.stream.abort()


class Side:
    def __init__(self, pair, stream, is_client):
        self.pair, self.stream, self.is_client = pair, stream, is_client
        self.line, self.free_us, self.waits = [], 0, 0
        stream.owner = self

    def on_data(self, data):
        self.pair.take(self, data)

    def put(self, data):
        """Writes now, or after the delay and at the rate of the link."""
        relay = self.pair.relay
        if not relay.delay_ms and not relay.rate:
            if not self.stream.closed:
                self.stream.write(data)
                if self.stream.full:
                    self.other().stream.pause()
            return
        now = self.pair.loop.clock.now_us()
        took = round(len(data) / relay.rate * 1e6) if relay.rate else 0
        self.free_us = max(now, self.free_us) + took
        self.waits += len(data)
        if self.waits > 262144:
            self.other().stream.pause()
        self.pair.loop.call_at(self.free_us + relay.delay_ms * 1000, self.late, data)

    def late(self, data):
        self.waits -= len(data)
        if not self.stream.closed and not self.pair.over:
            self.stream.write(data)
            other = self.other()
            if other is not None and self.waits < 131072 and not self.stream.full:
                other.stream.resume()

    def other(self):
        return self.pair.server if self.is_client else self.pair.client

    def on_drained(self):
        other = self.other()
        if other is not None and not other.stream.closed:
            other.stream.resume()

    def on_eof(self):
        other = self.other()
        if other is not None and not other.stream.closed:
            other.stream.close()
        self.stream.close()

    def on_closed(self, why):
        if not self.pair.over and (self.stream.out is not None):
            self.pair.loop.soon(self.pair.end)
