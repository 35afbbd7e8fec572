"""Messages between gateways over TCP streams of the event loop. A message is lost where its peer can't be
reached, stalls or closes, but is never altered, joined or split; between two gateways the messages that arrive
do so in the order in which they were sent. Each peer costs one bounded queue: a peer that stalls delays no
other, and when its queue is full the oldest messages are dropped, as later updates supersede earlier ones.

    transport = Streams(loop, "127.0.0.1", 9300, on_message)
    transport.send("10.0.0.5:9300", data)"""

import struct
from collections import deque

from lapiswing.fleet.messages import MAX_MESSAGE_BYTES
from lapiswing.loop import Listener, address_of, connect, listen_socket
from lapiswing.loop.byte_budget import ByteBudget

MS = 1000
FRAME_HEADER = struct.Struct(">I")  # the size of the message that follows
CONNECT_TIMEOUT_US = 1000 * MS
STALL_TIMEOUT_US = 3000 * MS  # data is waiting and the peer reads none: the connection is cut
IDLE_TIMEOUT_US = 20_000 * MS  # a connection without traffic is closed
MAX_QUEUED_BYTES = 128 * 1024  # for one peer
MAX_PEERS, MAX_INBOUND = 256, 1024  # outgoing connections; incoming ones
MAX_INCOMPLETE_BYTES = 16 << 20  # of messages that have not come whole, over all incoming connections
MAX_MESSAGES_PER_CALL = 64  # of one connection
RECONNECT_DELAY_US = 200 * MS  # to a peer that could not be reached


class Streams:
    """The transport of one gateway: a listener and one outgoing connection to each peer."""

    def __init__(self, loop, host, port, on_message, max_queued_bytes=MAX_QUEUED_BYTES):
        """`on_message(data)`. Raises OSError: the address can't be listened on."""
        self.loop, self.on_message, self.max_queued_bytes = loop, on_message, max_queued_bytes
        self.listener = Listener(loop, listen_socket(host, port), self.accept, MAX_INBOUND)
        self.port = self.listener.address[1]
        self.peers, self.inbound, self.closed = {}, set(), False
        self.incomplete = ByteBudget(MAX_INCOMPLETE_BYTES)
        self.counts = {"sent": 0, "dropped": 0, "got": 0, "garbage": 0}
        self.sweep_timer = loop.call_later(1000 * MS, self.sweep)

    def send(self, address, data):
        """Never blocks, never raises; what can't be sent is dropped and counted."""
        if self.closed or len(data) > MAX_MESSAGE_BYTES:
            self.counts["dropped"] += 1
            return
        peer = self.peers.get(address)
        if peer is None:
            if len(self.peers) >= MAX_PEERS:
                oldest = min(self.peers.values(), key=lambda p: p.used_us)
                oldest.end()
            try:
                peer = self.peers[address] = Peer(self, address)
            except ValueError:
                self.counts["dropped"] += 1
                return
        peer.send(data)

    def accept(self, stream, _peer):
        self.inbound.add(InboundConnection(self, stream))

    def sweep(self):
        self.sweep_timer = self.loop.call_later(1000 * MS, self.sweep)
        for peer in list(self.peers.values()):
            peer.check()

    def close(self):
        if self.closed:
            return
        self.closed = True
        self.sweep_timer.cancel()
        self.listener.close()
        for connection in [*self.peers.values(), *self.inbound]:
            connection.end()


class Peer:
    """An outgoing connection and the messages queued for it."""

    def __init__(self, transport, address):
        """Raises ValueError: the address is not host:port."""
        self.transport, self.loop, self.address = transport, transport.loop, address
        self.socket_address = address_of(address)
        self.queue, self.queued_bytes, self.stream = deque(), 0, None
        self.used_us = self.loop.now
        self.connecting = connect(self.loop, self.socket_address, CONNECT_TIMEOUT_US, self.connected)

    def send(self, data):
        self.used_us = self.loop.now
        self.queue.append(data)
        self.queued_bytes += len(data)
        while self.queued_bytes > self.transport.max_queued_bytes:
            self.queued_bytes -= len(self.queue.popleft())
            self.transport.counts["dropped"] += 1
        self.flush()

    def flush(self):
        """Hands messages to the stream, but only a quarter of the queue's limit: during a stall the rest stays
        in the queue, where the oldest can be dropped."""
        stream, max_unsent_bytes = self.stream, self.transport.max_queued_bytes // 4
        while stream is not None and self.queue and not stream.full and stream.unsent_bytes < max_unsent_bytes:
            data = self.queue.popleft()
            self.queued_bytes -= len(data)
            stream.write(FRAME_HEADER.pack(len(data)))
            stream.write(data)
            self.transport.counts["sent"] += 1

    def connected(self, stream, why):
        self.connecting = None
        if stream is None:
            self.transport.counts["dropped"] += len(self.queue)
            self.queue.clear()
            self.queued_bytes = 0
            # Kept for a short time, so that not every message to an unreachable gateway opens a connection.
            self.loop.call_later(RECONNECT_DELAY_US, self.end)
            return
        if self.transport.closed:
            return stream.abort()
        stream.high = stream.low = self.transport.max_queued_bytes // 4
        stream.owner, self.stream = self, stream
        self.flush()

    def check(self):
        """Closes the connection if it has stalled or is idle."""
        now = self.loop.now
        has_unsent = self.stream is not None and (self.stream.unsent_bytes or self.queue)
        if has_unsent and now - self.stream.last_sent_us > STALL_TIMEOUT_US:
            self.transport.counts["dropped"] += len(self.queue)
            return self.end()
        if now - self.used_us > IDLE_TIMEOUT_US:
            return self.end()
        self.flush()

    # Callbacks of the stream

    def on_data(self, data):
        self.end()  # the accepting side sends nothing on this connection

    def on_eof(self):
        self.end()

    def on_drained(self):
        self.flush()

    def on_closed(self, why):
        self.stream = None
        self.end()

    def end(self):
        if self.transport.peers.get(self.address) is self:
            del self.transport.peers[self.address]
        if self.connecting is not None:
            self.connecting.cancel()
            self.connecting = None
        if self.stream is not None:
            stream, self.stream = self.stream, None
            stream.abort() if stream.unsent_bytes else stream.close()
        self.queue.clear()
        self.queued_bytes = 0

    abort = end


class InboundConnection:
    """A connection that another gateway opened. It carries frames: a size, then the message."""

    def __init__(self, transport, stream):
        self.transport, self.stream, self.data = transport, stream, bytearray()
        self.counted_bytes = 0
        stream.owner = self

    def on_data(self, data):
        self.data += data
        if not self.transport.incomplete.take(len(data)):
            self.transport.counts["dropped"] += 1
            return self.end()
        self.counted_bytes += len(data)
        if not self.messages_put_off:
            self.take_messages()

    def take_messages(self):
        """Passes on some of the whole messages that have come, and puts the others off: tiny ones cost far more than their bytes."""
        self.messages_put_off = False
        offset = 0
        for _ in range(MAX_MESSAGES_PER_CALL):
            size = self.next_message_size(offset)
            if size is None:
                break
            message = bytes(self.data[offset + FRAME_HEADER.size : offset + FRAME_HEADER.size + size])
            offset += FRAME_HEADER.size + size
            self.transport.counts["got"] += 1
            self.transport.on_message(message)
            if self.stream is None:
                return
        else:
            self.messages_put_off = True
            self.stream.pause()
            self.transport.loop.put_off_call(self, self.take_messages)
        if self.stream is None:
            return
        del self.data[:offset]
        self.transport.incomplete.give_back(offset)
        self.counted_bytes -= offset
        if not self.messages_put_off and not self.stream.reading:
            self.stream.resume()

    def next_message_size(self, offset):
        """-> the size of the message that begins at `offset`, None if it is not complete. Ends the connection if it is invalid."""
        if self.stream is None or len(self.data) - offset < FRAME_HEADER.size:
            return None
        (size,) = FRAME_HEADER.unpack_from(self.data, offset)
        if not 0 < size <= MAX_MESSAGE_BYTES:
            self.transport.counts["garbage"] += 1
            self.end()
            return None
        return size if len(self.data) - offset - FRAME_HEADER.size >= size else None

    messages_put_off = False  # whether `take_messages` will be called

    def on_eof(self):
        self.end()

    def on_drained(self):
        pass

    def on_closed(self, why):
        self.stream = None
        self.end()

    def end(self):
        self.transport.incomplete.give_back(self.counted_bytes)
        self.counted_bytes = 0
        if self in self.transport.inbound:
            self.transport.inbound.discard(self)
            self.transport.listener.gone()
        if self.stream is not None:
            stream, self.stream = self.stream, None
            stream.abort()

    abort = end
