"""A connected socket with a bounded outgoing buffer."""

import os
import selectors
import socket
import struct
from collections import deque
from itertools import islice, takewhile

from lapiswing.loop.errnos import Cause, of_transfer

READ = 65536
STARVED_US = 10_000  # pause of a stream for whose call the machine had no memory
LARGE = 32768
MORE = getattr(socket, "MSG_MORE", 0)
LINGER_BYTES = 262144  # read and thrown away by a lingering close
READ_TURNS = 4  # reads of one stream in a turn, so that one fast sender does not delay the others


class FilePart:
    """Bytes of an open file that are to go out. `file` is kept until they are: whatever has `fileno()` and closes itself
    when the last one lets go of it. A plain number could be closed, and mean another file by the time it is sent."""

    __slots__ = ("file", "at", "left")

    def __init__(self, file, at, size):
        self.file, self.at, self.left = file, at, size

    def __len__(self):
        return self.left


class Stream:
    """The owner sets `owner` to an object with
        on_data(bytes)      what came in
        on_eof()            the peer will send no more
        on_closed(why)      once; why is None where this side closed, else a short text
        on_drained()        after `full` was true, when the buffer is below its low mark again
    `write` never blocks and never refuses; a polite owner stops producing while `full` is true. Output is
    flushed at the end of the loop's turn, so that many small writes are one system call."""

    def __init__(self, loop, sock, owner=None, high=262144, low=65536):
        sock.setblocking(False)
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        except OSError:
            pass  # a Unix socket has no such option
        self.loop, self.sock, self.owner, self.high, self.low = loop, sock, owner, high, low
        self.out, self.unsent_bytes, self.full = deque(), 0, False
        self.sent = self.received = 0
        self.last_progress_us = loop.clock.now_us()  # when the peer last took or gave bytes
        self.reading, self.closed, self.closing, self.ended = True, False, False, False
        self.events = 0
        self.linger_us = self.linger_left = 0
        self.lingering = None  # the timer that ends a lingering close
        self.starved = None  # the timer that ends a pause for want of memory
        self.update()

    def update(self):
        events = (
            0
            if self.starved is not None
            else (selectors.EVENT_READ if self.reading and not self.ended else 0) | (selectors.EVENT_WRITE if self.blocked else 0)
        )
        if events != self.events and not self.closed:
            self.loop.watch(self.sock, events, self.on_ready)
            self.events = events

    blocked = False  # the kernel's buffer was full at the last try
    records = False  # reads may bring less than there is, see SecureStream
    target, most, turns = None, READ, READ_TURNS  # an owner that knows what comes next may set `most`, for one read

    def read_into(self, view):
        """What comes in next goes straight into `view`; then `owner.on_filled()`, and `on_data` again."""
        self.target = view

    def transfer_failed(self, problem):
        """What the machine has no memory for is done again after a pause; every other error is the connection's end."""
        if not self.may_repeat or of_transfer(problem.errno) is not Cause.OWN_MOMENT:
            return self.drop(f"reset: {problem.strerror}")
        if self.starved is None:
            self.starved = self.loop.call_later(STARVED_US, self.try_again)
        self.update()

    def try_again(self):
        self.starved = None
        self.update()
        self.loop.guard(self, self.flush)

    may_repeat = True  # whether a call that failed may be made again with the same bytes

    def pause(self):
        self.reading = False
        self.update()

    def resume(self):
        self.reading = True
        self.update()

    def on_ready(self, mask):
        if mask & selectors.EVENT_WRITE:
            self.blocked = False
            self.flush()
        if mask & selectors.EVENT_READ and not self.closed:
            self.read()

    def read(self):
        for _ in range(self.turns):
            if self.closed or not self.reading or self.ended:
                return
            try:
                if self.target is not None:
                    size = self.sock.recv_into(self.target)
                    data = None if size else b""
                else:
                    data = self.sock.recv(self.most)
            except self.NOT_NOW:
                return
            except OSError as problem:
                return self.transfer_failed(problem)
            self.last_progress_us = self.loop.now
            if data is None:
                self.received += size
                self.target = self.target[size:]
                if not self.target:
                    self.target = None
                    self.owner.on_filled()
                continue
            if not data:
                self.ended = True
                if self.lingering is not None:
                    return self.drop(None)
                self.update()
                return self.owner.on_eof()
            self.received += len(data)
            if self.lingering is not None:
                self.linger_left -= len(data)
                if self.linger_left < 0:
                    return self.abort()
                continue
            asked = self.most
            self.owner.on_data(data)
            if len(data) < asked and self.target is None and not self.records:
                return

    def catch_up(self):
        """Reads all that has come in by now, an end behind it too, and not at the loop's next turn."""
        for _ in range(self.turns):
            before = self.received
            self.read()
            if self.closed or self.ended or not self.reading or self.received == before:
                return

    def pending(self):
        """Whether bytes or an end have come in that were not read yet."""
        try:
            self.sock.recv(1, socket.MSG_PEEK)
        except self.NOT_NOW:
            return False
        except OSError:
            pass
        return True

    NOT_NOW = (BlockingIOError, InterruptedError)

    def write(self, data):
        if self.closed or self.closing or not data:
            return
        if not self.out:
            self.last_progress_us = self.loop.now
        self.out.append(data)
        self.unsent_bytes += len(data)
        if self.unsent_bytes > self.high:
            self.full = True
        self.loop.dirty.add(self)

    def write_file(self, file, at, size):
        """`size` bytes of an open file from `at` on, by the kernel itself where it can (sendfile)."""
        self.write(FilePart(file, at, size))

    def send_some(self, out):
        """Gives the kernel what it takes of the first parts. -> how many bytes."""
        if isinstance(out[0], FilePart):
            part = out[0]
            return os.sendfile(self.sock.fileno(), part.file.fileno(), part.at, part.left)
        # Joined: a gather write of many small parts costs more than copying them; large ones go alone.
        if len(out) == 1 or len(out[0]) > LARGE:
            return self.sock.send(out[0])
        if len(out[1]) > LARGE:
            return self.sock.send(out[0], MORE) if isinstance(out[1], FilePart) else self.sock.sendmsg((out[0], out[1]))
        return self.sock.send(b"".join(takewhile(lambda part: not isinstance(part, FilePart), islice(out, 64))))

    def flush(self):
        if self.closed or self.blocked or self.starved is not None:
            return
        out = self.out
        while out:
            try:
                done = self.send_some(out)
            except self.NOT_NOW:
                self.blocked = True
                break
            except OSError as problem:
                return self.transfer_failed(problem)
            if not done:  # a file that has become shorter while it is being sent: what was promised can't come
                return self.drop("file ended early")
            self.last_progress_us = self.loop.now
            self.sent += done
            self.unsent_bytes -= done
            while done:
                head = out[0]
                if len(head) > done:
                    if isinstance(head, FilePart):
                        head.at, head.left = head.at + done, head.left - done
                    else:
                        out[0] = memoryview(head)[done:]
                    break
                done -= len(head)
                out.popleft()
        if self.blocked or self.events & selectors.EVENT_WRITE:
            self.update()
        if self.full and self.unsent_bytes <= self.low:
            self.full = False
            self.owner.on_drained()
        if not self.out and self.closing and self.lingering is None:
            self.part()

    def close(self, linger_us=0, linger_bytes=LINGER_BYTES):
        """Closes once all that was written is with the kernel. A close over bytes that were not read is a reset, which
        can destroy what was written last: with `linger_us` this side only ends its sending, and what still comes is
        read and thrown away until the peer's end, for that time and so many bytes at the most. Could harm where peers
        never close, by a descriptor for that time."""
        if self.closed:
            return
        if not self.closing:
            self.closing, self.linger_us, self.linger_left = True, linger_us, linger_bytes
        self.flush()

    def part(self):
        if not self.linger_us or self.ended:
            return self.drop(None)
        try:
            self.sock.shutdown(socket.SHUT_WR)
        except OSError:
            return self.drop(None)
        self.lingering = self.loop.call_later(self.linger_us, self.drop, None)
        self.resume()

    def abort(self):
        """Closes at once with a reset, so that the peer does not take it for an end."""
        if self.closed:
            return
        try:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        except OSError:
            pass
        self.drop(None)

    def drop(self, why):
        if self.closed:
            return
        self.closed = True
        for timer in (self.lingering, self.starved):
            if timer is not None:
                timer.cancel()
        self.loop.watch(self.sock, 0, None)
        self.loop.dirty.discard(self)
        self.sock.close()
        self.out.clear()
        self.unsent_bytes = 0
        owner, self.owner = self.owner, None  # no cycle is left behind
        self.loop.guard(None, owner.on_closed, why)
