"""State machines of one receiver and of one sending connection, without I/O.

Receiver: owns the memory of a state until it is complete. A chunk is accepted only if its checksum fits the manifest. Verified
chunks survive the connection and the sender; a sender whose state has another root has a different state, and the transfer
starts over.

Sender: the chunks requested on one connection. A chunk is sent only against credit, which the receiver grants in chunks:
granted = sent + remaining credit, always."""

from collections import deque

from lapiswing.transfer.frames import checksum_of


class Receiver:
    """Receives one state. `allocate(manifest)` returns a writable buffer of the state's length, or None if there is no room."""

    def __init__(self, name, allocate):
        self.name, self.allocate = name, allocate
        self.manifest = self.memory = None
        self.received, self.missing = bytearray(), 0
        self.requested = {}  # chunk requested on the present connection -> time
        self.next_index, self.retry = (
            0,
            deque(),
        )  # from `next_index` on, no chunk was requested yet; `retry`: to be requested again
        self.corrupt = self.starts = 0

    def accept_manifest(self, manifest):
        """A sender has announced its state. Returns 'new', 'same' (continues with the chunks it has), 'other' (starts over) or
        'no room'. Raises BadFrame."""
        manifest.check()
        if self.manifest is not None and manifest.root == self.manifest.root:
            self.connection_lost()
            return "same"
        result = "new" if self.manifest is None else "other"
        self.memory = self.manifest = None
        memory = self.allocate(manifest)
        if memory is None:
            return "no room"
        self.memory, self.manifest = memoryview(memory), manifest
        self.received, self.missing = bytearray(manifest.count()), manifest.count()
        self.starts += 1
        self.connection_lost()
        return result

    def restore(self, manifest, memory, have):
        """Continues with chunks that a previous process left. `have`: 1 for each verified chunk."""
        self.manifest, self.memory, self.received = manifest, memoryview(memory), bytearray(have)
        self.missing = have.count(0)
        self.starts += 1

    def connection_lost(self):
        """The connection is lost: chunks requested on it have to be requested again."""
        self.requested.clear()
        self.retry.clear()
        self.next_index = 0

    def request_chunks(self, max_chunks, now_us):
        """Chooses at most `max_chunks` chunks to request, and returns them as ranges."""
        ranges = []
        while max_chunks > 0:
            index = self.next_missing()
            if index is None:
                break
            self.requested[index] = now_us
            if ranges and ranges[-1][1] == index:
                ranges[-1] = (ranges[-1][0], index + 1)
            else:
                ranges.append((index, index + 1))
            max_chunks -= 1
        return ranges

    def next_missing(self):
        """The next chunk that is neither received nor requested, or None."""
        while self.retry:
            index = self.retry.popleft()
            if not self.received[index] and index not in self.requested:
                return index
        while self.next_index < len(self.received):
            index, self.next_index = self.next_index, self.next_index + 1
            if not self.received[index] and index not in self.requested:
                return index
        return None

    def buffer_for(self, index):
        """The buffer for a chunk's bytes, or None if it was not requested; its bytes are then skipped."""
        if index not in self.requested or self.received[index]:
            return None
        offset, size = self.manifest.span(index)
        return self.memory[offset : offset + size]

    def chunk_received(self, index, size):
        """A chunk's bytes are in the buffer. Returns 'good', 'whole' (the state is complete), 'corrupt' or 'unrequested'."""
        if self.manifest is None or index not in self.requested or self.received[index]:
            return "unrequested"
        del self.requested[index]
        offset, length = self.manifest.span(index)
        if size != length or checksum_of(self.memory[offset : offset + length]) != self.manifest.checksum_of(index):
            self.corrupt += 1
            self.retry.append(index)
            return "corrupt"
        self.received[index] = 1
        self.missing -= 1
        return "whole" if not self.missing else "good"

    def left(self):
        """Approximate number of missing bytes, in whole chunks; None if the size is unknown."""
        return self.missing * self.manifest.chunk if self.manifest else None


class OutgoingTransfer:
    """One state that is being sent. `credit`: chunks that may still be sent; `verified`: chunks that the receiver has
    reported."""

    __slots__ = ("transfer", "state", "priority", "queue", "credit", "granted", "sent", "verified")

    def __init__(self, transfer, state, priority):
        self.transfer, self.state, self.priority = transfer, state, priority
        self.queue, self.credit, self.granted, self.sent, self.verified = deque(), 0, 0, 0, 0


class Sender:
    """The transfers of one connection. `next_chunk()` chooses what to send: the lowest priority number first, round robin among
    equals."""

    def __init__(self, max_transfers=64):
        self.max_transfers, self.transfers, self.round_robin = max_transfers, {}, deque()

    def open(self, transfer, state, priority):
        """Starts a transfer. Returns False if the connection has too many, or the number is in use."""
        if len(self.transfers) >= self.max_transfers or transfer in self.transfers:
            return False
        self.transfers[transfer] = OutgoingTransfer(transfer, state, priority)
        self.round_robin.append(transfer)
        return True

    def add_request(self, transfer, ranges, credit, count):
        """Adds requested chunks and credit. `count`: chunks of the state. Returns False if the request is invalid. Unknown
        transfers are ignored, as they may just have been cancelled."""
        outgoing = self.transfers.get(transfer)
        if outgoing is None:
            return True
        requested = 0
        for first, last in ranges:
            if not 0 <= first < last <= count:
                return False
            requested += last - first
            if requested > count:
                return False
            outgoing.queue.extend(range(first, last))
        if len(outgoing.queue) > 2 * count:
            return False
        outgoing.credit += credit
        outgoing.granted += credit
        return True

    def close(self, transfer):
        """Ends a transfer."""
        if self.transfers.pop(transfer, None) is not None:
            self.round_robin.remove(transfer)

    def next_chunk(self):
        """The chunk to send now, as (transfer, state, index), or None."""
        ready = [t for t in self.round_robin if self.transfers[t].queue and self.transfers[t].credit > 0]
        if not ready:
            return None
        best = min(self.transfers[t].priority for t in ready)
        transfer = next(t for t in ready if self.transfers[t].priority == best)
        self.round_robin.remove(transfer)
        self.round_robin.append(transfer)
        outgoing = self.transfers[transfer]
        outgoing.credit -= 1
        outgoing.sent += 1
        return transfer, outgoing.state, outgoing.queue.popleft()
