"""The two ends of one connection between agents."""

import os
import socket

from lapiswing.transfer import decide
from lapiswing.transfer.frames import (
    AUTH,
    BODY_TYPES,
    CANCEL,
    DATA,
    DONE,
    ERROR,
    HEADER,
    HELLO,
    INDEX,
    LIST,
    MANIFEST,
    MAX_LISTED_STATES,
    OPEN,
    PROGRESS,
    STATES,
    VERSION,
    WANT,
    Auth,
    BadFrame,
    Done,
    Empty,
    Error,
    Hello,
    Open,
    Progress,
    States,
    Want,
    encode_control,
    mac_matches,
    make_mac,
    read_control,
    read_header,
)
from lapiswing.transfer.machine import Sender

UNSENT_BYTES = 131072  # half the bytes that the kernel may hold unsent
HANDSHAKE_US = 2_000_000  # limit of the handshake
FEATURES = ["xxh3", "resume", "progress", "list"]
DONE_RETRY_PAUSES_US = (0, 20_000, 60_000, 150_000, 400_000, 1_000_000, 2_000_000)
PROGRESS_REPORTS = 16  # progress reports of a receiver during one transfer


class FrameReader:
    """Reads frames from a stream. The owner has `on_frame(kind, transfer, value)`, `buffer_for(transfer, index, size)`, which
    returns the buffer for a chunk or None to skip it, and `on_chunk(transfer, index, size)`."""

    def __init__(self, stream, owner):
        self.stream, self.owner, self.unparsed, self.skip_bytes, self.header = stream, owner, bytearray(), 0, None
        self.partial_chunk = None

    def feed(self, data):
        """Takes bytes from the stream. Raises BadFrame."""
        self.unparsed += data
        self.parse()
        # The next read is limited to what is missing of the present frame, so that a chunk's bytes can be read directly into
        # its buffer.
        need = HEADER.size + INDEX.size if self.header is None else self.header[2]
        self.stream.most = max(1, min(1 << 20, self.skip_bytes or need - len(self.unparsed)))

    def parse(self):
        """Handles all complete frames."""
        while not self.stream.closed:
            if self.skip_bytes:
                part = min(self.skip_bytes, len(self.unparsed))
                del self.unparsed[:part]
                self.skip_bytes -= part
                if self.skip_bytes:
                    return
            if self.header is None:
                if len(self.unparsed) < HEADER.size:
                    return
                self.header = read_header(bytes(self.unparsed[: HEADER.size]))
                del self.unparsed[: HEADER.size]
            kind, transfer, length, check = self.header
            if kind == DATA:
                if len(self.unparsed) < INDEX.size:
                    return
                index, size = INDEX.unpack(self.unparsed[: INDEX.size])[0], length - INDEX.size
                del self.unparsed[: INDEX.size]
                self.header = None
                buffer = self.owner.buffer_for(transfer, index, size)
                if buffer is None or len(buffer) != size:
                    self.skip_bytes = size
                    if buffer is not None:
                        raise BadFrame("the size of a chunk differs from its manifest")
                    continue
                available = min(size, len(self.unparsed))
                buffer[:available] = self.unparsed[:available]
                del self.unparsed[:available]
                if available < size:
                    self.partial_chunk = (transfer, index, size)
                    return self.stream.read_into(buffer[available:])
                self.owner.on_chunk(transfer, index, size)
                continue
            if len(self.unparsed) < length:
                return
            body = bytes(self.unparsed[:length])
            del self.unparsed[:length]
            self.header = None
            self.owner.on_frame(kind, transfer, read_control(body, check, BODY_TYPES[kind]))

    def chunk_filled(self):
        """The stream has filled a chunk's buffer directly."""
        filling, self.partial_chunk = self.partial_chunk, None
        self.stream.most = HEADER.size + INDEX.size
        self.owner.on_chunk(*filling)

    def discard_rest(self, transfer):
        """Skips the rest of a chunk of this transfer that is being received. Its buffer has been released and may already belong
        to another state, whose verified chunks would be overwritten."""
        if self.partial_chunk is not None and self.partial_chunk[0] == transfer:
            self.skip_bytes, self.partial_chunk = len(self.stream.target), None
            self.stream.target = None
            self.stream.most = min(1 << 20, self.skip_bytes)


class Peer:
    """Either end of a connection: the handshake and the frames."""

    def __init__(self, agent, stream, role):
        self.agent, self.loop, self.stream, self.role = agent, agent.loop, stream, role
        self.frames, self.peer_hello, self.ready = FrameReader(stream, self), None, False
        self.hello = Hello(VERSION, agent.name, FEATURES, os.urandom(16))
        stream.owner, stream.turns = self, max(24, stream.turns)
        self.timer = self.loop.call_later(HANDSHAKE_US, self.on_handshake_timeout)
        self.send(HELLO, 0, self.hello)

    def on_handshake_timeout(self):
        """Closes a connection whose handshake takes too long."""
        if not self.ready:
            self.stream.abort()

    def send(self, kind, transfer, value):
        """Sends a control frame."""
        self.stream.write(encode_control(kind, transfer, value))

    def on_data(self, data):
        """The stream has received bytes."""
        try:
            self.frames.feed(data)
        except BadFrame as problem:
            self.protocol_error(problem)

    def on_filled(self):
        """The stream has filled the buffer passed to `read_into`."""
        try:
            self.frames.chunk_filled()
        except BadFrame as problem:
            self.protocol_error(problem)

    def protocol_error(self, problem):
        """Closes the connection after an invalid frame."""
        self.agent.counts["bad frames"] += 1
        self.agent.log("bad frame", peer=self.peer_hello and self.peer_hello.agent, why=str(problem))
        self.stream.abort()

    def on_frame(self, kind, transfer, value):
        """Performs the handshake; later frames go to `handle_frame`. Raises BadFrame."""
        if self.ready:
            return self.handle_frame(kind, transfer, value)
        if kind == HELLO and self.peer_hello is None:
            if value.version != VERSION or len(value.nonce) != 16:
                raise BadFrame(f"version {value.version}")
            self.peer_hello = value
            keys = self.agent.keys
            return self.send(AUTH, 0, Auth(make_mac(keys[0], self.role, self.hello, value) if keys else b""))
        peer_role = "server" if self.role == "client" else "client"
        if (
            kind != AUTH
            or self.peer_hello is None
            or self.agent.keys
            and not mac_matches(self.agent.keys, value.mac, peer_role, self.peer_hello, self.hello)
        ):
            self.agent.counts["not authenticated"] += 1
            raise BadFrame("not authenticated")
        if self.agent.tls is not None and self.peer_hello.agent not in self.stream.peer_names():
            # An agent must not pose as another one with its own certificate.
            self.agent.counts["not authenticated"] += 1
            raise BadFrame(f"the peer claims to be {self.peer_hello.agent!r}, its certificate is for {self.stream.peer_names()}")
        self.ready = True
        self.timer.cancel()
        self.on_authenticated()
        return None

    def on_authenticated(self):
        """The handshake has succeeded."""
        pass

    def on_eof(self):
        """The peer has closed its side of the connection."""
        self.stream.close()

    def on_closed(self, why):
        """The connection has been closed, by either side."""
        self.timer.cancel()
        self.on_disconnected(why or "closed")

    def on_drained(self):
        """The stream's buffer has space again."""
        pass


class ServingPeer(Peer):
    """The serving end: the connection of an agent that fetches from this one."""

    def __init__(self, agent, stream):
        self.sender = Sender()
        super().__init__(agent, stream, "server")
        # Buffers are kept small because more urgent chunks can't overtake those in the stream's and the kernel's buffers.
        stream.high, stream.low = agent.chunk, agent.chunk // 2
        if hasattr(socket, "TCP_NOTSENT_LOWAT"):
            stream.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NOTSENT_LOWAT, 2 * UNSENT_BYTES)

    def handle_frame(self, kind, transfer, value):
        """Handles a control frame of the receiver. Raises BadFrame."""
        if kind == OPEN:
            state = self.agent.states.get(value.name)
            if state is None:
                return self.send(ERROR, transfer, Error("unknown", "sender", f"no state {value.name}"))
            if not self.sender.open(transfer, state, value.priority):
                return self.send(ERROR, transfer, Error("busy", "sender", "too many transfers on this connection"))
            return self.send(MANIFEST, transfer, state.manifest)
        if kind == LIST:
            listed = [(s.name, s.manifest.length, s.manifest.root) for s in self.agent.states.values()]
            return self.send(STATES, transfer, States(len(listed), listed[:MAX_LISTED_STATES]))
        outgoing = self.sender.transfers.get(transfer)
        if kind == WANT:
            if outgoing is not None and not self.sender.add_request(
                transfer, value.ranges, value.credit, outgoing.state.manifest.count()
            ):
                raise BadFrame("requests chunks that do not exist")
            return self.pump()
        if kind == PROGRESS:
            if outgoing is not None:
                outgoing.verified = value.chunks
            return None
        if kind == CANCEL:
            return self.sender.close(transfer)
        if kind == DONE:
            self.sender.close(transfer)
            self.send(DONE, transfer, value)
            if self.agent.on_taken and value.name in self.agent.states:
                self.agent.on_taken(value.name)
            return None
        raise BadFrame("unexpected frame from a receiver")

    def pump(self):
        """Sends chunks until the stream's buffer is full."""
        while not self.stream.full and not self.stream.closed:
            chunk = self.sender.next_chunk()
            if chunk is None:
                return
            transfer, state, index = chunk
            if not state.write(self.stream, transfer, index):
                self.agent.drop(state.name)  # its file has been changed
                continue
            self.agent.counts["chunks sent"] += 1
            self.agent.counts["bytes sent"] += state.manifest.span(index)[1]

    def on_drained(self):
        self.pump()

    def state_dropped(self, state):
        """The agent no longer serves a state: ends its transfers."""
        for transfer, outgoing in list(self.sender.transfers.items()):
            if outgoing.state is state:
                self.sender.close(transfer)
                self.send(ERROR, transfer, Error("gone", "sender", "the state was let go"))

    def buffer_for(self, transfer, index, size):
        raise BadFrame("unexpected chunk from a receiver")

    def on_chunk(self, transfer, index, size):
        pass

    def on_disconnected(self, why):
        self.agent.servers.discard(self)
        self.agent.listener.gone()


class Link(Peer):
    """The fetching end: the connection to one holder, shared by all fetches that use it."""

    def __init__(self, agent, address, stream):
        self.address, self.fetches, self.last_transfer = address, {}, 0
        self.window = agent.windows.setdefault(address, decide.Window())
        self.last_progress_us, self.list_callbacks = agent.loop.clock.now_us(), {}
        self.unacknowledged = {}  # DONE frames without an answer: transfer -> PendingDone
        super().__init__(agent, stream, "client")

    def on_authenticated(self):
        """Starts the fetches that wait for this link."""
        for fetch in self.agent.awaiting_link.pop(self.address, []):
            fetch.on_link_ready(self)

    def add(self, fetch):
        """Starts a fetch on this link."""
        self.last_transfer += 1
        fetch.link, fetch.transfer = self, self.last_transfer
        self.fetches[self.last_transfer] = fetch
        fetch.opened, fetch.link_joined_us = False, self.loop.clock.now_us()
        root = fetch.receiver.manifest.root if fetch.receiver.manifest else None
        self.send(OPEN, self.last_transfer, Open(fetch.name, root, fetch.priority))

    def ask_list(self, done):
        """Requests the list of states. `done(States)` is called with the answer, if there is one before the connection ends."""
        self.last_transfer += 1
        self.list_callbacks[self.last_transfer] = done
        self.send(LIST, self.last_transfer, Empty())

    def handle_frame(self, kind, transfer, value):
        """Handles a control frame of the holder. Raises BadFrame."""
        if kind == STATES:
            done = self.list_callbacks.pop(transfer, None)
            return done and done(value)
        if kind == DONE:
            self.last_progress_us = self.loop.now
            return self.unacknowledged.pop(transfer, None) and None
        fetch = self.fetches.get(transfer)
        if fetch is None:
            return None  # has just been cancelled
        self.last_progress_us = self.loop.now
        if kind == MANIFEST:
            if value.name != fetch.name:
                raise BadFrame("manifest of another state")
            result = fetch.receiver.accept_manifest(value)
            if result == "no room":
                return fetch.finish("no room")
            fetch.opened = True
            if result == "other":
                self.agent.counts["started over"] += 1
            elif result == "same":
                self.agent.counts["resumed"] += 1
            fetch.reported_missing = fetch.receiver.missing
            if not fetch.receiver.missing:
                return self.complete(fetch)
            return self.pump()
        if kind == ERROR:
            self.fetches.pop(transfer, None)
            fetch.link = None
            self.loop.soon(self.pump)
            return fetch.on_link_failed(
                self.address, f"{value.code}: {value.text[:200]}", final=value.code in ("unknown", "gone")
            )
        raise BadFrame("unexpected frame from a sender")

    def in_flight(self):
        """Number of requested chunks that have not arrived."""
        return sum(len(f.receiver.requested) for f in self.fetches.values())

    def pump(self):
        """Requests as many chunks as the window allows, in the order of `decide.order_moves`."""
        free_slots = self.window.allowed() - self.in_flight()
        if free_slots <= 0 or not self.ready or self.stream.closed:
            return
        now = self.loop.clock.now_us()
        opened = {f.transfer: f for f in self.fetches.values() if f.opened}
        moves = [decide.Move(t, f.due_us, f.receiver.left()) for t, f in opened.items()]
        for transfer in opened if self.agent.plain else decide.order_moves(moves, now, self.window.rate):
            ranges = opened[transfer].receiver.request_chunks(free_slots, now)
            if ranges:
                count = sum(b - a for a, b in ranges)
                self.send(WANT, transfer, Want(ranges, count))
                free_slots -= count
                if free_slots <= 0:
                    return

    def buffer_for(self, transfer, index, size):
        """The buffer for a chunk, or None to skip it."""
        self.last_progress_us = self.loop.now  # also for chunks of cancelled fetches: the link is alive
        fetch = self.fetches.get(transfer)
        return fetch.buffer_for(index) if fetch is not None else None

    def on_chunk(self, transfer, index, size):
        """A chunk has arrived in its buffer: verifies it and requests more."""
        fetch = self.fetches.get(transfer)
        if fetch is None:
            return
        receiver, now = fetch.receiver, self.loop.clock.now_us()
        requested_us, in_flight = receiver.requested.get(index, now), self.in_flight()
        result = receiver.chunk_received(index, size)
        if result == "corrupt":
            self.agent.counts["corrupt chunks"] += 1
            fetch.corrupt_chunks[self.address] = fetch.corrupt_chunks.get(self.address, 0) + 1
            if fetch.corrupt_chunks[self.address] >= decide.MAX_FAILURES:  # the path corrupts data
                self.drop(fetch)
                return fetch.on_link_failed(self.address, "corrupt chunks")
        elif result in ("good", "whole"):
            self.last_progress_us = now
            self.agent.counts["chunks received"] += 1
            self.agent.counts["bytes received"] += size
            fetch.failures[self.address] = 0
            fetch.received_bytes += size
            self.window.chunk_verified(now - requested_us, size, in_flight)
            if result == "whole":
                self.complete(fetch)
            elif (
                fetch.reported_missing - receiver.missing >= max(1, len(receiver.received) // PROGRESS_REPORTS)
                and "progress" in self.peer_hello.features
            ):
                fetch.reported_missing = receiver.missing
                self.send(PROGRESS, transfer, Progress(len(receiver.received) - receiver.missing))
        self.pump()

    def complete(self, fetch):
        """A fetch has all chunks: tells the holder, which may then release the state."""
        self.fetches.pop(fetch.transfer, None)
        fetch.link = None
        self.agent.paths.record(self.address, True)
        self.send_done(PendingDone(self.agent, self.address, fetch.name), fetch.transfer)
        fetch.complete()

    def send_done(self, pending, transfer=None):
        """Sends DONE for a state and waits for the answer."""
        if transfer is None:
            self.last_transfer += 1
            transfer = self.last_transfer
        if not self.unacknowledged and not self.fetches:
            self.last_progress_us = self.loop.now  # the link was idle: the stall timeout starts now
        self.unacknowledged[transfer] = pending
        self.send(DONE, transfer, Done(pending.name))

    def drop(self, fetch):
        """Takes a fetch off this link."""
        if self.fetches.pop(fetch.transfer, None) is not None:
            self.frames.discard_rest(fetch.transfer)
            self.send(CANCEL, fetch.transfer, Empty())
            fetch.receiver.connection_lost()
            fetch.link = None
            self.loop.soon(self.pump)  # its share of the window is free for other fetches

    def check_stalled(self, now):
        """Closes the link if requests are open and nothing has arrived for any fetch: a half-open connection or a hanging
        sender."""
        if (self.fetches or self.unacknowledged) and now - self.last_progress_us > max(
            self.window.stall_timeout_us(), 0 if self.ready else HANDSHAKE_US
        ):
            self.agent.counts["stalls"] += 1
            self.stream.abort()

    def on_disconnected(self, why):
        """Fails all fetches on this link, which then continue elsewhere."""
        if self.agent.links.get(self.address) is self:
            del self.agent.links[self.address]
        self.window.on_connection_lost()
        fetches, self.fetches = list(self.fetches.values()), {}
        fetches += self.agent.awaiting_link.pop(self.address, []) if not self.ready else []
        for fetch in fetches:
            fetch.link = None
            fetch.receiver.connection_lost()
            fetch.on_link_failed(self.address, f"connection {why}")
        unacknowledged, self.unacknowledged = self.unacknowledged, {}
        for pending in unacknowledged.values():
            pending.on_link_failed(self.address, why)


class PendingDone:
    """A DONE message that the holder has not acknowledged. If it were lost with its connection, the holder would keep the state
    until it expires. It is repeated on other connections after growing pauses, and given up in the end. It takes the place of a
    fetch on a link."""

    link = None

    def __init__(self, agent, holder, name):
        self.agent, self.holder, self.name, self.pauses = agent, holder, name, iter(DONE_RETRY_PAUSES_US)
        self.receiver = self

    def on_link_ready(self, link):
        """The link is open: sends DONE again."""
        link.send_done(self)

    def on_link_failed(self, _holder, _why, final=False):
        """The link has failed: tries again after a pause, or gives up."""
        pause = next(self.pauses, None)
        if pause is None:
            self.agent.counts["words lost"] += 1
        elif not self.agent.closed:
            self.agent.loop.call_later(pause, self.retry)

    def retry(self):
        """Sends DONE again, on a new link if needed."""
        if not self.agent.closed:
            self.agent.attach_to_holder(self.holder, self)

    def connection_lost(self):
        """As Receiver.connection_lost; there is nothing to request again."""
        pass
