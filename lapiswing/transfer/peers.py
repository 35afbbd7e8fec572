"""The two ends of one connection between agents."""

import os
import socket

from lapiswing.transfer import decide
from lapiswing.transfer.frames import (
    AUTH,
    CANCEL,
    DATA,
    DONE,
    ERROR,
    FORMS,
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
    Error,
    Hello,
    Nothing,
    Open,
    Progress,
    States,
    Want,
    control,
    mac,
    mac_fits,
    read_control,
    read_header,
)
from lapiswing.transfer.machine import Sender

UNSENT = 131072
HANDSHAKE_US = 2_000_000
FEATURES = ["xxh3", "resume", "progress", "list"]
DONE_PAUSES_US = (0, 20_000, 60_000, 150_000, 400_000, 1_000_000, 2_000_000)
TOLD = 16  # times a move in which its receiver tells how far it is


class Frames:
    """Reads frames off a stream. The owner has `on_frame(kind, transfer, value)`, `place(transfer, index, size)` -> where a
    chunk goes (or None: read past), and `on_chunk(transfer, index, size)`."""

    def __init__(self, stream, owner):
        self.stream, self.owner, self.raw, self.skip, self.head = stream, owner, bytearray(), 0, None
        self.filling = None

    def feed(self, data):
        self.raw += data
        self.parse()
        # What comes next is read in just the right size, so that a chunk's bytes go straight to their place.
        need = HEADER.size + INDEX.size if self.head is None else self.head[2]
        self.stream.most = max(1, min(1 << 20, self.skip or need - len(self.raw)))

    def parse(self):
        while not self.stream.closed:
            if self.skip:
                part = min(self.skip, len(self.raw))
                del self.raw[:part]
                self.skip -= part
                if self.skip:
                    return
            if self.head is None:
                if len(self.raw) < HEADER.size:
                    return
                self.head = read_header(bytes(self.raw[: HEADER.size]))
                del self.raw[: HEADER.size]
            kind, transfer, length, check = self.head
            if kind == DATA:
                if len(self.raw) < INDEX.size:
                    return
                index, size = INDEX.unpack(self.raw[: INDEX.size])[0], length - INDEX.size
                del self.raw[: INDEX.size]
                self.head = None
                place = self.owner.place(transfer, index, size)
                if place is None or len(place) != size:
                    self.skip = size
                    if place is not None:
                        raise BadFrame("a chunk of another size than its manifest's")
                    continue
                here = min(size, len(self.raw))
                place[:here] = self.raw[:here]
                del self.raw[:here]
                if here < size:
                    self.filling = (transfer, index, size)
                    return self.stream.read_into(place[here:])
                self.owner.on_chunk(transfer, index, size)
                continue
            if len(self.raw) < length:
                return
            body = bytes(self.raw[:length])
            del self.raw[:length]
            self.head = None
            self.owner.on_frame(kind, transfer, read_control(body, check, FORMS[kind]))

    def filled(self):
        filling, self.filling = self.filling, None
        self.stream.most = HEADER.size + INDEX.size
        self.owner.on_chunk(*filling)

    def divert(self, transfer):
        """The rest of a chunk of this transfer that is just coming in goes nowhere. Guards the memory that was let go: it
        may be another state's by now, with chunks verified that the rest would overwrite."""
        if self.filling is not None and self.filling[0] == transfer:
            self.skip, self.filling = len(self.stream.target), None
            self.stream.target = None
            self.stream.most = min(1 << 20, self.skip)


class Peer:
    """What both ends share: the handshake and the frames."""

    def __init__(self, agent, stream, role):
        self.agent, self.loop, self.stream, self.role = agent, agent.loop, stream, role
        self.frames, self.peer_hello, self.ready = Frames(stream, self), None, False
        self.hello = Hello(VERSION, agent.name, FEATURES, os.urandom(16))
        stream.owner, stream.turns = self, max(24, stream.turns)
        self.timer = self.loop.call_later(HANDSHAKE_US, self.slow)
        self.send(HELLO, 0, self.hello)

    def slow(self):
        if not self.ready:
            self.stream.abort()

    def send(self, kind, transfer, value):
        self.stream.write(control(kind, transfer, value))

    def on_data(self, data):
        try:
            self.frames.feed(data)
        except BadFrame as problem:
            self.bad(problem)

    def on_filled(self):
        try:
            self.frames.filled()
        except BadFrame as problem:
            self.bad(problem)

    def bad(self, problem):
        self.agent.counts["bad frames"] += 1
        self.agent.log("bad frame", peer=self.peer_hello and self.peer_hello.agent, why=str(problem))
        self.stream.abort()

    def on_frame(self, kind, transfer, value):
        if self.ready:
            return self.take(kind, transfer, value)
        if kind == HELLO and self.peer_hello is None:
            if value.version != VERSION or len(value.nonce) != 16:
                raise BadFrame(f"version {value.version}")
            self.peer_hello = value
            keys = self.agent.keys
            return self.send(AUTH, 0, Auth(mac(keys[0], self.role, self.hello, value) if keys else b""))
        other = "server" if self.role == "client" else "client"
        if (
            kind != AUTH
            or self.peer_hello is None
            or self.agent.keys
            and not mac_fits(self.agent.keys, value.mac, other, self.peer_hello, self.hello)
        ):
            self.agent.counts["not authenticated"] += 1
            raise BadFrame("not authenticated")
        if self.agent.tls is not None and self.peer_hello.agent not in self.stream.peer_names():
            # One agent's certificate must not speak for another.
            self.agent.counts["not authenticated"] += 1
            raise BadFrame(f"says it is {self.peer_hello.agent!r}, its certificate is for {self.stream.peer_names()}")
        self.ready = True
        self.timer.cancel()
        self.begin()
        return None

    def begin(self):
        pass

    def on_eof(self):
        self.stream.close()

    def on_closed(self, why):
        self.timer.cancel()
        self.gone(why or "closed")

    def on_drained(self):
        pass


class Server(Peer):
    """One who fetches from us."""

    def __init__(self, agent, stream):
        self.sender = Sender()
        super().__init__(agent, stream, "server")
        # What waits here and in the kernel can't be overtaken by what is more urgent.
        stream.high, stream.low = agent.chunk, agent.chunk // 2
        if hasattr(socket, "TCP_NOTSENT_LOWAT"):
            stream.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NOTSENT_LOWAT, 2 * UNSENT)

    def take(self, kind, transfer, value):
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
        one = self.sender.transfers.get(transfer)
        if kind == WANT:
            if one is not None and not self.sender.want(transfer, value.ranges, value.credit, one.state.manifest.count()):
                raise BadFrame("asks for chunks that are not there")
            return self.pump()
        if kind == PROGRESS:
            if one is not None:
                one.verified = value.chunks
            return None
        if kind == CANCEL:
            return self.sender.close(transfer)
        if kind == DONE:
            self.sender.close(transfer)
            self.send(DONE, transfer, value)
            if self.agent.on_taken and value.name in self.agent.states:
                self.agent.on_taken(value.name)
            return None
        raise BadFrame("not for a sender")

    def pump(self):
        while not self.stream.full and not self.stream.closed:
            item = self.sender.next()
            if item is None:
                return
            transfer, state, index = item
            if not state.write(self.stream, transfer, index):
                self.agent.drop(state.name)  # its file has changed under it
                continue
            self.agent.counts["chunks sent"] += 1
            self.agent.counts["bytes sent"] += state.manifest.span(index)[1]

    def on_drained(self):
        self.pump()

    def dropped(self, state):
        for transfer, one in list(self.sender.transfers.items()):
            if one.state is state:
                self.sender.close(transfer)
                self.send(ERROR, transfer, Error("gone", "sender", "the state was let go"))

    def place(self, transfer, index, size):
        raise BadFrame("a chunk for a sender")

    def on_chunk(self, transfer, index, size):
        pass

    def gone(self, why):
        self.agent.servers.discard(self)
        self.agent.listener.gone()


class Link(Peer):
    """Our connection to one holder, with all fetches that use it."""

    def __init__(self, agent, address, stream):
        self.address, self.fetches, self.count = address, {}, 0
        self.window = agent.windows.setdefault(address, decide.Window())
        self.moved_us, self.listing = agent.loop.clock.now_us(), {}
        self.unheard = {}  # what was said to be here, and the holder has not answered yet: transfer -> Owed
        super().__init__(agent, stream, "client")

    def begin(self):
        for fetch in self.agent.waiting.pop(self.address, []):
            fetch.on_link_ready(self)

    def add(self, fetch):
        self.count += 1
        fetch.link, fetch.transfer = self, self.count
        self.fetches[self.count] = fetch
        fetch.opened, fetch.joined_us = False, self.loop.clock.now_us()
        root = fetch.receiver.manifest.root if fetch.receiver.manifest else None
        self.send(OPEN, self.count, Open(fetch.name, root, fetch.priority))

    def ask_list(self, done):
        """`done(States)`, where the holder can tell; nothing where the connection ends first."""
        self.count += 1
        self.listing[self.count] = done
        self.send(LIST, self.count, Nothing())

    def take(self, kind, transfer, value):
        if kind == STATES:
            done = self.listing.pop(transfer, None)
            return done and done(value)
        if kind == DONE:
            self.moved_us = self.loop.now
            return self.unheard.pop(transfer, None) and None
        fetch = self.fetches.get(transfer)
        if fetch is None:
            return None  # cancelled just now
        self.moved_us = self.loop.now
        if kind == MANIFEST:
            if value.name != fetch.name:
                raise BadFrame("manifest of another state")
            what = fetch.receiver.take_manifest(value)
            if what == "no room":
                return fetch.end("no room")
            fetch.opened = True
            if what == "other":
                self.agent.counts["started over"] += 1
            elif what == "same":
                self.agent.counts["resumed"] += 1
            fetch.told_at = fetch.receiver.missing
            if not fetch.receiver.missing:
                return self.whole(fetch)
            return self.pump()
        if kind == ERROR:
            self.fetches.pop(transfer, None)
            fetch.link = None
            self.loop.soon(self.pump)
            return fetch.on_link_failed(
                self.address, f"{value.code}: {value.text[:200]}", final=value.code in ("unknown", "gone")
            )
        raise BadFrame("not for a receiver")

    def in_flight(self):
        return sum(len(f.receiver.requested) for f in self.fetches.values())

    def pump(self):
        """Asks for as many chunks as the window allows, in the order that the decisions give."""
        room = self.window.allowed() - self.in_flight()
        if room <= 0 or not self.ready or self.stream.closed:
            return
        now = self.loop.clock.now_us()
        open_ones = {f.transfer: f for f in self.fetches.values() if f.opened}
        moves = [decide.Move(t, f.due_us, f.receiver.left()) for t, f in open_ones.items()]
        for transfer in open_ones if self.agent.plain else decide.order(moves, now, self.window.rate):
            ranges = open_ones[transfer].receiver.ask(room, now)
            if ranges:
                asked = sum(b - a for a, b in ranges)
                self.send(WANT, transfer, Want(ranges, asked))
                room -= asked
                if room <= 0:
                    return

    def place(self, transfer, index, size):
        self.moved_us = self.loop.now  # also for chunks of what was cancelled: the link lives
        fetch = self.fetches.get(transfer)
        return fetch.place(index) if fetch is not None else None

    def on_chunk(self, transfer, index, size):
        fetch = self.fetches.get(transfer)
        if fetch is None:
            return
        receiver, now = fetch.receiver, self.loop.clock.now_us()
        asked, flight = receiver.requested.get(index, now), self.in_flight()
        what = receiver.chunk_received(index, size)
        if what == "corrupt":
            self.agent.counts["corrupt chunks"] += 1
            fetch.corrupt[self.address] = fetch.corrupt.get(self.address, 0) + 1
            if fetch.corrupt[self.address] >= decide.BREAKS:  # a path that damages what it carries
                self.drop(fetch)
                return fetch.on_link_failed(self.address, "corrupt chunks")
        elif what in ("good", "whole"):
            self.moved_us = now
            self.agent.counts["chunks received"] += 1
            self.agent.counts["bytes received"] += size
            fetch.fails[self.address] = 0
            fetch.gained += size
            self.window.chunk(now - asked, size, flight)
            if what == "whole":
                self.whole(fetch)
            elif (
                fetch.told_at - receiver.missing >= max(1, len(receiver.received) // TOLD)
                and "progress" in self.peer_hello.features
            ):
                fetch.told_at = receiver.missing
                self.send(PROGRESS, transfer, Progress(len(receiver.received) - receiver.missing))
        self.pump()

    def whole(self, fetch):
        """Here, verified; the sender may let go of it."""
        self.fetches.pop(fetch.transfer, None)
        fetch.link = None
        self.agent.paths.told(self.address, True)
        self.say_done(Owed(self.agent, self.address, fetch.name), fetch.transfer)
        fetch.whole()

    def say_done(self, owed, transfer=None):
        if transfer is None:
            self.count += 1
            transfer = self.count
        if not self.unheard and not self.fetches:
            self.moved_us = self.loop.now  # it has been idle: its time counts from here
        self.unheard[transfer] = owed
        self.send(DONE, transfer, Done(owed.name))

    def drop(self, fetch):
        if self.fetches.pop(fetch.transfer, None) is not None:
            self.frames.divert(fetch.transfer)
            self.send(CANCEL, fetch.transfer, Nothing())
            fetch.receiver.connection_lost()
            fetch.link = None
            self.loop.soon(self.pump)  # the window is free for the others

    def overdue(self, now):
        """Asked, and nothing comes, for any fetch of this link: half open, or a sender that hangs."""
        if (self.fetches or self.unheard) and now - self.moved_us > max(
            self.window.stall_us(), 0 if self.ready else HANDSHAKE_US
        ):
            self.agent.counts["stalls"] += 1
            self.stream.abort()

    def gone(self, why):
        if self.agent.links.get(self.address) is self:
            del self.agent.links[self.address]
        self.window.broke()
        fetches, self.fetches = list(self.fetches.values()), {}
        fetches += self.agent.waiting.pop(self.address, []) if not self.ready else []
        for fetch in fetches:
            fetch.link = None
            fetch.receiver.connection_lost()
            fetch.on_link_failed(self.address, f"connection {why}")
        unheard, self.unheard = self.unheard, {}
        for owed in unheard.values():
            owed.on_link_failed(self.address, why)


class Owed:
    """The word to a holder that its state is here. Guards the holder's memory: a word lost with its connection would leave
    the state there until it expires. It is said again over other connections after growing pauses, and then given up."""

    link = None

    def __init__(self, agent, holder, name):
        self.agent, self.holder, self.name, self.pauses = agent, holder, name, iter(DONE_PAUSES_US)
        self.receiver = self

    def on_link_ready(self, link):
        link.say_done(self)

    def on_link_failed(self, _holder, _why, final=False):
        pause = next(self.pauses, None)
        if pause is None:
            self.agent.counts["words lost"] += 1
        elif not self.agent.closed:
            self.agent.loop.call_later(pause, self.again)

    def again(self):
        if not self.agent.closed:
            self.agent.attach_to_holder(self.holder, self)

    def connection_lost(self):
        pass
