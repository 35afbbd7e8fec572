"""Messages between copies over the loop's streams. A message is lost where its peer can't be reached, stalls
or goes away, and never altered, joined or split; between two copies those that arrive come in the order they
were sent. Each peer costs one bounded queue: one that stalls delays nobody else, and when its queue is full
the oldest go, for later news makes earlier news worthless.

    transport = Streams(loop, "127.0.0.1", 9300, on_message)
    transport.send("10.0.0.5:9300", data)"""

import struct
from collections import deque

from lapiswing.fleet.messages import MOST
from lapiswing.loop import Listener, address_of, connect, listen_socket

MS = 1000
SIZE = struct.Struct(">I")
CONNECT_US = 1000 * MS
STALL_US = 3000 * MS  # bytes wait and the peer takes none: it is cut off
IDLE_US = 20_000 * MS  # a connection that nothing went over is closed
MOST_WAITING = 128 * 1024  # bytes for one peer
MOST_PEERS, MOST_IN = 256, 1024  # connections that were opened here; that others opened
AGAIN_US = 200 * MS  # to a peer that could not be reached


class Streams:
    def __init__(self, loop, host, port, on_message, most_waiting=MOST_WAITING):
        """`on_message(data)`. Raises OSError: the address can't be listened on."""
        self.loop, self.on_message, self.most_waiting = loop, on_message, most_waiting
        self.listener = Listener(loop, listen_socket(host, port), self.accept, MOST_IN)
        self.port = self.listener.address[1]
        self.peers, self.inward, self.closed = {}, set(), False
        self.counts = {"sent": 0, "dropped": 0, "got": 0, "garbage": 0}
        self.sweep_timer = loop.call_later(1000 * MS, self.sweep)

    def send(self, address, data):
        """Never blocks, never raises; what can't be sent is dropped and counted."""
        if self.closed or len(data) > MOST:
            self.counts["dropped"] += 1
            return
        peer = self.peers.get(address)
        if peer is None:
            if len(self.peers) >= MOST_PEERS:
                oldest = min(self.peers.values(), key=lambda p: p.used_us)
                oldest.end()
            try:
                peer = self.peers[address] = Peer(self, address)
            except ValueError:
                self.counts["dropped"] += 1
                return
        peer.send(data)

    def accept(self, stream, _peer):
        self.inward.add(Inward(self, stream))

    def sweep(self):
        self.sweep_timer = self.loop.call_later(1000 * MS, self.sweep)
        for peer in list(self.peers.values()):
            peer.look()

    def close(self):
        if self.closed:
            return
        self.closed = True
        self.sweep_timer.cancel()
        self.listener.close()
        for one in [*self.peers.values(), *self.inward]:
            one.end()


class Peer:
    """A connection that this side opened, and what waits for it."""

    def __init__(self, transport, address):
        """Raises ValueError: no address."""
        self.transport, self.loop, self.address = transport, transport.loop, address
        self.place = address_of(address)
        self.queue, self.waiting, self.stream = deque(), 0, None
        self.used_us = self.loop.now
        self.dial = connect(self.loop, self.place, CONNECT_US, self.connected)

    def send(self, data):
        self.used_us = self.loop.now
        self.queue.append(data)
        self.waiting += len(data)
        while self.waiting > self.transport.most_waiting:
            self.waiting -= len(self.queue.popleft())
            self.transport.counts["dropped"] += 1
        self.push()

    def push(self):
        """The stream takes only so much at a time that a stall leaves what waits here, where the oldest can
        go."""
        stream, most = self.stream, self.transport.most_waiting // 4
        while stream is not None and self.queue and not stream.full and stream.unsent_bytes < most:
            data = self.queue.popleft()
            self.waiting -= len(data)
            stream.write(SIZE.pack(len(data)))
            stream.write(data)
            self.transport.counts["sent"] += 1

    def connected(self, stream, why):
        self.dial = None
        if stream is None:
            self.transport.counts["dropped"] += len(self.queue)
            self.queue.clear()
            self.waiting = 0
            # Kept for a moment, so that each message to a copy that is gone does not cost a connection.
            self.loop.call_later(AGAIN_US, self.end)
            return
        if self.transport.closed:
            return stream.abort()
        stream.high = stream.low = self.transport.most_waiting // 4
        stream.owner, self.stream = self, stream
        self.push()

    def look(self):
        now = self.loop.now
        waits = self.stream is not None and (self.stream.unsent_bytes or self.queue)
        if waits and now - self.stream.last_progress_us > STALL_US:
            self.transport.counts["dropped"] += len(self.queue)
            return self.end()
        if now - self.used_us > IDLE_US:
            return self.end()
        self.push()

    # the stream's owner

    def on_data(self, data):
        self.end()  # nothing is said this way

    def on_eof(self):
        self.end()

    def on_drained(self):
        self.push()

    def on_closed(self, why):
        self.stream = None
        self.end()

    def end(self):
        if self.transport.peers.get(self.address) is self:
            del self.transport.peers[self.address]
        if self.dial is not None:
            self.dial.cancel()
            self.dial = None
        if self.stream is not None:
            stream, self.stream = self.stream, None
            stream.abort() if stream.unsent_bytes else stream.close()
        self.queue.clear()
        self.waiting = 0

    abort = end


class Inward:
    """A connection that another copy opened: frames, a size and the message."""

    def __init__(self, transport, stream):
        self.transport, self.stream, self.data = transport, stream, bytearray()
        stream.owner = self

    def on_data(self, data):
        self.data += data
        at = 0
        while len(self.data) - at >= SIZE.size:
            (size,) = SIZE.unpack_from(self.data, at)
            if not 0 < size <= MOST:
                self.transport.counts["garbage"] += 1
                return self.end()
            if len(self.data) - at - SIZE.size < size:
                break
            message = bytes(self.data[at + SIZE.size : at + SIZE.size + size])
            at += SIZE.size + size
            self.transport.counts["got"] += 1
            self.transport.on_message(message)
            if self.stream is None:
                return
        del self.data[:at]

    def on_eof(self):
        self.end()

    def on_drained(self):
        pass

    def on_closed(self, why):
        self.stream = None
        self.end()

    def end(self):
        if self in self.transport.inward:
            self.transport.inward.discard(self)
            self.transport.listener.gone()
        if self.stream is not None:
            stream, self.stream = self.stream, None
            stream.abort()

    abort = end
