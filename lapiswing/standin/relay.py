"""A TCP relay on loopback that forwards bytes between clients and a server and injects network faults.

Faults are fields that may be changed at any time:

delay_ms          added to every transfer of bytes
rate              bandwidth in bytes per second
cut_after         both sides are reset after this many bytes towards the client
cut_every_ms      both sides are reset this long after the connection was accepted
flip_at           offsets of bytes towards the client that are corrupted
flip_part         probability that a byte of a received piece towards the client is corrupted
hold              drops all bytes and leaves the connections open, as with a half-open connection
truncate_after    the client's connection is closed in an orderly way after this many bytes
twice_at          offsets of bytes towards the client at which the next 64 bytes are sent twice"""

from random import Random

from lapiswing.loop import Listener, connect, listen_socket

US_PER_MS = 1000
CONNECT_TIMEOUT_US = 1_000_000
DELAY_BEFORE_RESET_US = 5000  # lets the bytes before the cut reach the client
PAUSE_ABOVE_BYTES = 262144
RESUME_BELOW_BYTES = 131072
REPEATED_BYTES = 64


class Relay:
    """Listens at `address` and forwards each connection to the server at `to`."""

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
        """Resets all connections."""
        for pair in list(self.pairs):
            pair.end()

    def close(self):
        self.cut()
        self.listener.close()


class Pair:
    """One client connection and its connection to the server."""

    def __init__(self, relay, client):
        self.relay, self.loop, self.client, self.server = relay, relay.loop, Side(self, client, True), None
        self.passed, self.over = 0, False
        relay.pairs.add(self)
        client.pause()
        self.pending_connect = connect(self.loop, relay.to, CONNECT_TIMEOUT_US, self.connected)
        if relay.cut_every_ms:
            self.loop.call_later(relay.cut_every_ms * US_PER_MS, self.end)

    def connected(self, stream, why):
        if stream is None or self.over:
            if stream is not None:
                stream.abort()
            return self.end()
        self.server = Side(self, stream, False)
        self.client.stream.resume()

    def take(self, side, data):
        """Forwards bytes from one side to the other, with the faults that apply."""
        relay = self.relay
        if relay.hold:
            return
        if side.is_client:
            return self.server.put(data)
        start, self.passed = self.passed, self.passed + len(data)
        relay.passed += len(data)
        flips = [offset - start for offset in relay.flip_at if start <= offset < self.passed]
        if relay.flip_part and relay.rng.random() < relay.flip_part:
            flips.append(relay.rng.randrange(len(data)))
        if flips:
            data = bytearray(data)
            for index in flips:
                data[index] ^= 0x41
                relay.flipped += 1
            data = bytes(data)
        for offset in relay.twice_at:
            if start <= offset < self.passed:
                index = offset - start
                data = data[:index] + data[index : index + REPEATED_BYTES] + data[index:]
        if relay.cut_after is not None and self.passed >= relay.cut_after:
            self.client.put(data[: max(0, relay.cut_after - start)])
            return self.loop.call_later(DELAY_BEFORE_RESET_US, self.end)
        if relay.truncate_after is not None and self.passed >= relay.truncate_after:
            self.client.put(data[: max(0, relay.truncate_after - start)])
            self.loop.soon(self.client.stream.close)
            return
        self.client.put(data)

    def end(self):
        """Resets both connections."""
        if self.over:
            return
        self.over = True
        self.relay.pairs.discard(self)
        self.pending_connect.cancel()
        for side in (self.client, self.server):
            if side is not None and not side.stream.closed:
                side.stream.abort()


class Side:
    """One of the two connections of a pair."""

    def __init__(self, pair, stream, is_client):
        self.pair, self.stream, self.is_client = pair, stream, is_client
        self.pending_writes, self.free_us, self.delayed_bytes = [], 0, 0  # free_us: when the link has sent all earlier bytes
        stream.owner = self

    def on_data(self, data):
        self.pair.take(self, data)

    def put(self, data):
        """Writes to this side, now or after the delay and the time that the link's bandwidth takes."""
        relay = self.pair.relay
        if not relay.delay_ms and not relay.rate:
            if not self.stream.closed:
                self.stream.write(data)
                if self.stream.full:
                    self.other().stream.pause()
            return
        now = self.pair.loop.clock.now_us()
        duration_us = round(len(data) / relay.rate * 1e6) if relay.rate else 0
        self.free_us = max(now, self.free_us) + duration_us
        self.delayed_bytes += len(data)
        if self.delayed_bytes > PAUSE_ABOVE_BYTES:
            self.other().stream.pause()
        self.pair.loop.call_at(self.free_us + relay.delay_ms * US_PER_MS, self.write_delayed, data)

    def write_delayed(self, data):
        self.delayed_bytes -= len(data)
        if not self.stream.closed and not self.pair.over:
            self.stream.write(data)
            other = self.other()
            if other is not None and self.delayed_bytes < RESUME_BELOW_BYTES and not self.stream.full:
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
