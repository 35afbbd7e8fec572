"""A connected socket with a bounded output buffer."""

import os
import selectors
import socket
import struct
from collections import deque
from itertools import islice, takewhile

from lapiswing.loop.errnos import Cause, transfer_error_cause

READ_BYTES = 65536
NO_MEMORY_PAUSE_US = 10_000  # before a transfer is retried that failed for lack of kernel memory
LARGE_BYTES = 32768  # parts larger than this are sent without copying
MORE_FLAG = getattr(socket, "MSG_MORE", 0)
LINGER_BYTES = 262144  # input discarded by a lingering close
MAX_READS = 4  # of one stream per turn, so that a fast sender does not delay the others


class FilePart:
    """A range of an open file to be sent. `file` is kept until then: an object with `fileno()` that closes itself when it is no
    longer referenced. A bare descriptor could be closed and refer to another file by the time it is used."""

    __slots__ = ("file", "offset", "remaining")

    def __init__(self, file, offset, size):
        self.file, self.offset, self.remaining = file, offset, size

    def __len__(self):
        return self.remaining


class Stream:
    """The owner sets `owner` to an object with
        on_data(bytes)      input has arrived
        on_eof()            the peer will send no more
        on_closed(why)      once; why is None if this side closed the stream, otherwise a short text
        on_drained()        after `full` was true, when the buffer has fallen to its low mark
    `write` never blocks and never refuses; an owner should stop producing while `full` is true. Output is flushed at the end of
    the loop's turn, so that many small writes become one system call."""

    def __init__(self, loop, sock, owner=None, high=262144, low=65536):
        sock.setblocking(False)
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        except OSError:
            pass  # a Unix socket has no such option
        self.loop, self.sock, self.owner, self.high, self.low = loop, sock, owner, high, low
        self.out, self.unsent_bytes, self.full = deque(), 0, False
        self.sent = self.received = 0
        self.last_received_us = self.last_sent_us = loop.clock.now_us()  # sent: when the kernel last accepted bytes
        self.reading, self.closed, self.closing, self.ended = True, False, False, False
        self.events = 0
        self.linger_us = self.linger_left = 0
        self.lingering = None  # the timer that ends a lingering close
        self.memory_timer = None  # the timer that ends a pause for lack of memory
        self.update_events()

    def update_events(self):
        """Watches the socket for what is needed now."""
        events = (
            0
            if self.memory_timer is not None
            else (selectors.EVENT_READ if self.reading and not self.ended else 0) | (selectors.EVENT_WRITE if self.blocked else 0)
        )
        if events != self.events and not self.closed:
            self.loop.watch(self.sock, events, self.on_ready)
            self.events = events

    check_before_send = None  # called once, right before the next bytes are sent; returns False if it has closed the stream
    from_client = False  # whether the peer opened the connection: served under the loop's budget for clients
    blocked = False  # the kernel's send buffer was full at the last attempt
    partial_reads = False  # a read may return less than is available, see SecureStream
    target, most, turns = None, READ_BYTES, MAX_READS  # `most`: size of a read; an owner that expects less may lower it

    def read_into(self, view):
        """Reads the next input straight into `view`, then calls `owner.on_filled()`; after that `on_data` is used again."""
        self.target = view

    def transfer_failed(self, problem):
        """Retries after a pause if the machine had no memory; every other error ends the connection."""
        if not self.retriable or transfer_error_cause(problem.errno) is not Cause.LOCAL_TRANSIENT:
            return self.drop(f"reset: {problem.strerror}")
        if self.memory_timer is None:
            self.memory_timer = self.loop.call_later(NO_MEMORY_PAUSE_US, self.retry_transfer)
        self.update_events()

    def retry_transfer(self):
        self.memory_timer = None
        self.update_events()
        self.loop.guard(self, self.flush)

    retriable = True  # whether a failed call may be repeated with the same bytes

    def pause(self):
        """Stops reading."""
        self.reading = False
        self.update_events()

    def resume(self):
        """Continues reading."""
        self.reading = True
        self.update_events()

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
            self.last_received_us = self.loop.now
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
                self.update_events()
                return self.owner.on_eof()
            self.received += len(data)
            if self.lingering is not None:
                self.linger_left -= len(data)
                if self.linger_left < 0:
                    return self.abort()
                continue
            asked = self.most
            self.owner.on_data(data)
            if len(data) < asked and self.target is None and not self.partial_reads:
                return

    def read_available(self):
        """Reads everything that has arrived by now, including the end, without waiting for the loop's next turn. The owner bounds
        it: by pausing, or by closing a stream that brings too much."""
        before = None
        while not self.closed and not self.ended and self.reading and self.received != before:
            before = self.received
            self.read()

    def pending(self):
        """Whether unread bytes or an unread end have arrived."""
        try:
            self.sock.recv(1, socket.MSG_PEEK)
        except self.NOT_NOW:
            return False
        except OSError:
            pass
        return True

    NOT_NOW = (BlockingIOError, InterruptedError)

    def write(self, data):
        """Buffers output; ignored once the stream is closed or closing."""
        if self.closed or self.closing or not data:
            return
        if not self.out:
            self.last_sent_us = self.loop.now  # what is left unsent waits from now on
        self.out.append(data)
        self.unsent_bytes += len(data)
        if self.unsent_bytes > self.high:
            self.full = True
        self.loop.dirty.add(self)

    def write_file(self, file, offset, size):
        """Writes `size` bytes of an open file from `offset` on, with sendfile where possible."""
        self.write(FilePart(file, offset, size))

    def send_some(self, out):
        """Passes as much of the first parts to the kernel as it accepts. -> the number of bytes."""
        if isinstance(out[0], FilePart):
            part = out[0]
            return os.sendfile(self.sock.fileno(), part.file.fileno(), part.offset, part.remaining)
        # Small parts are joined, as copying them costs less than a gathering write; large ones are sent alone.
        if len(out) == 1 or len(out[0]) > LARGE_BYTES:
            return self.sock.send(out[0])
        if len(out[1]) > LARGE_BYTES:
            return self.sock.send(out[0], MORE_FLAG) if isinstance(out[1], FilePart) else self.sock.sendmsg((out[0], out[1]))
        return self.sock.send(b"".join(takewhile(lambda part: not isinstance(part, FilePart), islice(out, 64))))

    def flush(self):
        """Sends buffered output until the kernel accepts no more."""
        if self.closed or self.blocked or self.memory_timer is not None:
            return
        if self.check_before_send is not None:
            check, self.check_before_send = self.check_before_send, None
            if not check():
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
            if not done:  # the file has become shorter while it is being sent: the promised bytes can't be delivered
                return self.drop("file ended early")
            self.last_sent_us = self.loop.now
            self.sent += done
            self.unsent_bytes -= done
            while done:
                head = out[0]
                if len(head) > done:
                    if isinstance(head, FilePart):
                        head.offset, head.remaining = head.offset + done, head.remaining - done
                    else:
                        out[0] = memoryview(head)[done:]
                    break
                done -= len(head)
                out.popleft()
        if self.blocked or self.events & selectors.EVENT_WRITE:
            self.update_events()
        if self.full and self.unsent_bytes <= self.low:
            self.full = False
            self.owner.on_drained()
        if not self.out and self.closing and self.lingering is None:
            self.finish_close()

    def close(self, linger_us=0, linger_bytes=LINGER_BYTES):
        """Closes once the kernel has all buffered output. Closing with unread input sends a reset, which can destroy the last
        output. With `linger_us` this side therefore only shuts down sending, and discards input until the peer's end, for at
        most that time and that many bytes. Against peers that never close this occupies a descriptor for that time."""
        if self.closed:
            return
        if not self.closing:
            self.closing, self.linger_us, self.linger_left = True, linger_us, linger_bytes
        self.flush()

    def finish_close(self):
        """All output is with the kernel: closes, or begins to linger."""
        if not self.linger_us or self.ended:
            return self.drop(None)
        try:
            self.sock.shutdown(socket.SHUT_WR)
        except OSError:
            return self.drop(None)
        self.lingering = self.loop.call_later(self.linger_us, self.drop, None)
        self.resume()

    def abort(self):
        """Closes at once with a reset, so that the peer does not take it for a regular end."""
        if self.closed:
            return
        try:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        except OSError:
            pass
        self.drop(None)

    def drop(self, why):
        """Closes the socket and calls `on_closed`."""
        if self.closed:
            return
        self.closed = True
        for timer in (self.lingering, self.memory_timer):
            if timer is not None:
                timer.cancel()
        self.loop.watch(self.sock, 0, None)
        self.loop.dirty.discard(self)
        self.sock.close()
        self.out.clear()
        self.unsent_bytes = 0
        owner, self.owner = self.owner, None  # avoids a reference cycle
        self.loop.guard(None, owner.on_closed, why)
