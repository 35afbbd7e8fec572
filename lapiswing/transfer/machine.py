"""What one receiver and one sending connection do, without I/O.

Receiver: owns a state's memory until it is whole. A chunk counts only when its bytes fit the manifest. What is verified
survives the connection and the sender; a sender with another root means another state, and starts over.

Sender: what one connection has been asked for. A chunk goes out only against credit, which the receiver grants by the
chunk: granted = sent + left, always."""

from collections import deque

from lapiswing.transfer.frames import sum_of


class Receiver:
    """`memory`: a writable buffer of the state's length, which `allocate(manifest)` gives, or None where there is no
    room."""

    def __init__(self, name, allocate):
        self.name, self.allocate = name, allocate
        self.manifest = self.memory = None
        self.received, self.missing = bytearray(), 0
        self.requested = {}  # chunk asked for on the present connection -> when
        self.next, self.again = 0, deque()  # chunks from `next` on were never asked for; `again`: to be asked again
        self.corrupt = self.starts = 0

    def take_manifest(self, manifest):
        """-> 'new', 'same' (goes on with what it has), 'other' (starts over) or 'no room'. Raises BadFrame."""
        manifest.check()
        if self.manifest is not None and manifest.root == self.manifest.root:
            self.connection_lost()
            return "same"
        what = "new" if self.manifest is None else "other"
        self.memory = self.manifest = None
        memory = self.allocate(manifest)
        if memory is None:
            return "no room"
        self.memory, self.manifest = memoryview(memory), manifest
        self.received, self.missing = bytearray(manifest.count()), manifest.count()
        self.starts += 1
        self.connection_lost()
        return what

    def restore(self, manifest, memory, have):
        """Goes on with what an earlier receiver left; `have`: 1 for each chunk whose bytes fit."""
        self.manifest, self.memory, self.received = manifest, memoryview(memory), bytearray(have)
        self.missing = have.count(0)
        self.starts += 1

    def connection_lost(self):
        """The connection is gone: what was asked for on it is to be asked for again."""
        self.requested.clear()
        self.again.clear()
        self.next = 0

    def ask(self, most, now_us):
        """The next chunks to ask for, as ranges; at most `most` chunks."""
        ranges = []
        while most > 0:
            index = self.choose()
            if index is None:
                break
            self.requested[index] = now_us
            if ranges and ranges[-1][1] == index:
                ranges[-1] = (ranges[-1][0], index + 1)
            else:
                ranges.append((index, index + 1))
            most -= 1
        return ranges

    def choose(self):
        while self.again:
            index = self.again.popleft()
            if not self.received[index] and index not in self.requested:
                return index
        while self.next < len(self.received):
            index, self.next = self.next, self.next + 1
            if not self.received[index] and index not in self.requested:
                return index
        return None

    def place(self, index):
        """Where a chunk's bytes go, or None where it was not asked for (they are then read past)."""
        if index not in self.requested or self.received[index]:
            return None
        at, size = self.manifest.span(index)
        return self.memory[at : at + size]

    def chunk_received(self, index, size):
        """A chunk's bytes are in their place. -> 'good', 'whole' (the last one), 'corrupt' or 'unasked'."""
        if self.manifest is None or index not in self.requested or self.received[index]:
            return "unasked"
        del self.requested[index]
        at, length = self.manifest.span(index)
        if size != length or sum_of(self.memory[at : at + length]) != self.manifest.sum_of(index):
            self.corrupt += 1
            self.again.append(index)
            return "corrupt"
        self.received[index] = 1
        self.missing -= 1
        return "whole" if not self.missing else "good"

    def left(self):
        """Bytes still missing, nearly: whole chunks."""
        return self.missing * self.manifest.chunk if self.manifest else None


class Sending:
    __slots__ = ("transfer", "state", "priority", "queue", "credit", "granted", "sent", "verified")

    def __init__(self, transfer, state, priority):
        self.transfer, self.state, self.priority = transfer, state, priority
        self.queue, self.credit, self.granted, self.sent, self.verified = deque(), 0, 0, 0, 0


class Sender:
    """Transfers of one connection. `next()` gives the chunk to send now: the lowest priority number first, in turn
    among equals."""

    def __init__(self, most=64):
        self.most, self.transfers, self.turn = most, {}, deque()

    def open(self, transfer, state, priority):
        """-> False where the connection has too many, or this number is in use."""
        if len(self.transfers) >= self.most or transfer in self.transfers:
            return False
        self.transfers[transfer] = Sending(transfer, state, priority)
        self.turn.append(transfer)
        return True

    def want(self, transfer, ranges, credit, count):
        """-> False where the receiver asks for what is not there; unknown transfers (cancelled just now) are passed
        over."""
        one = self.transfers.get(transfer)
        if one is None:
            return True
        asked = 0
        for first, last in ranges:
            if not 0 <= first < last <= count:
                return False
            asked += last - first
            if asked > count:
                return False
            one.queue.extend(range(first, last))
        if len(one.queue) > 2 * count:
            return False
        one.credit += credit
        one.granted += credit
        return True

    def close(self, transfer):
        if self.transfers.pop(transfer, None) is not None:
            self.turn.remove(transfer)

    def next(self):
        """-> (transfer, state, index) or None."""
        ready = [t for t in self.turn if self.transfers[t].queue and self.transfers[t].credit > 0]
        if not ready:
            return None
        best = min(self.transfers[t].priority for t in ready)
        transfer = next(t for t in ready if self.transfers[t].priority == best)
        self.turn.remove(transfer)
        self.turn.append(transfer)
        one = self.transfers[transfer]
        one.credit -= 1
        one.sent += 1
        return transfer, one.state, one.queue.popleft()
