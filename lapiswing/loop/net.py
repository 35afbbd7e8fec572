"""Listening and connecting."""

import errno
import os
import selectors
import socket

from lapiswing.loop.errnos import Cause, of_accept, of_connect
from lapiswing.loop.stream import Stream

BACKLOG = 1024  # connections that the kernel holds ready
NO_DESCRIPTOR = "connect: no descriptor left here"  # says nothing of whom it was for
REST_US = 100_000  # a listener's, while not even the spare descriptor is there
AGAIN_US = 20_000  # between two tries to connect, while this machine can't
ACCEPTS = 64  # accepted in one turn
STUCK = 8  # turns without room until what comes is closed


def listen_socket(host, port, backlog=BACKLOG):
    """A bound, listening, non-blocking socket; the port can be taken again at once after a kill. Raises OSError."""
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_STREAM)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind((host, port))
        sock.listen(backlog)
        sock.setblocking(False)
    except OSError:
        sock.close()
        raise
    return sock


def address_of(text):
    """host:port -> (host, port); an IPv6 host stands in brackets. Raises ValueError."""
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise ValueError(f"{text!r} is not host:port")
    return host.strip("[]"), int(port)


def free_ports(n):
    """Ports of 127.0.0.1 that nobody listens on just now."""
    socks = [listen_socket("127.0.0.1", 0) for _ in range(n)]
    ports = [s.getsockname()[1] for s in socks]
    for s in socks:
        s.close()
    return ports


class Listener:
    """Accepts on a socket and hands each Stream to `on_stream(stream, peer)`. Over `most` open connections, or
    while the process has no descriptor left, a connection is accepted and closed at once: the spare descriptor
    is given up for that, else the kernel would report readiness without end."""

    def __init__(self, loop, sock, on_stream, max_connections=4096, high=262144, low=65536, make_stream=Stream):
        self.loop, self.sock, self.on_stream, self.max_connections, self.make_stream = (
            loop,
            sock,
            on_stream,
            max_connections,
            make_stream,
        )
        self.high, self.low, self.open, self.refused, self.closed = high, low, 0, 0, False
        self.spare = os.open(os.devnull, os.O_RDONLY)
        self.address = sock.getsockname()
        loop.watch(sock, selectors.EVENT_READ, self.on_ready)

    def on_ready(self, _mask):
        for _ in range(ACCEPTS):
            if self.closed or not self.has_room() or not self.accept_one():
                return

    def take_rest(self):
        """Accepts what has connected by now, for an owner that is about to close: a close resets what waits there. What
        there is no place for is turned away, and no failure costs those behind it."""
        for _ in range(BACKLOG):
            if self.closed or not self.accept_one(closing=True):
                return

    def has_room(self):
        """Whether to accept now; where all places are taken it looks for some."""
        if self.open < self.max_connections or self.make_room is None:
            return True
        # Once a turn: what was accepted in this one may have its request waiting, and is read before the next.
        if self.roomed_us == self.loop.now:
            return False
        self.roomed_us = self.loop.now
        self.make_room()
        self.stuck = self.stuck + 1 if self.open >= self.max_connections else 0
        return not 0 < self.stuck < STUCK

    def accept_one(self, closing=False):
        """-> whether to go on. Nothing is put off while `closing`."""
        try:
            sock, peer = self.sock.accept()
        except BlockingIOError:
            return False
        except OSError as problem:
            return self.after_failure(problem, closing)
        if self.open >= self.max_connections:
            self.turn_away(sock)
            return True
        self.open += 1
        try:
            stream = self.make_stream(self.loop, sock, high=self.high, low=self.low)
        except (OSError, ValueError):  # with TLS: a peer that is gone already
            sock.close()
            self.open -= 1
            return True
        self.loop.guard(stream, self.on_stream, stream, peer)
        return True

    def after_failure(self, problem, closing):
        """-> whether to go on."""
        cause = of_accept(problem.errno)
        if cause is Cause.PEER or cause is Cause.OWN_DESCRIPTORS and self.accept_and_close():
            return True
        if closing:
            return cause is not Cause.FAULT
        self.rest()
        if cause is Cause.FAULT:
            raise problem
        return False

    def accept_and_close(self):
        if self.spare is not None:
            os.close(self.spare)
            self.spare = None
        try:
            self.turn_away(self.sock.accept()[0])
            return True
        except OSError:
            return False
        finally:
            self.open_spare()

    def turn_away(self, sock):
        self.refused += 1
        try:
            if self.on_refused is not None:
                self.on_refused(sock)
        except OSError:
            pass  # a peer that has gone is owed nothing
        finally:
            sock.close()

    def rest(self):
        """Guards the loop against a readiness that nothing can be done about; clients wait in the kernel meanwhile."""
        self.loop.watch(self.sock, 0, None)
        self.loop.call_later(REST_US, self.wake)

    def wake(self):
        if not self.closed:
            if self.spare is None:
                self.open_spare()
            self.loop.watch(self.sock, selectors.EVENT_READ, self.on_ready)

    def open_spare(self):
        try:
            self.spare = os.open(os.devnull, os.O_RDONLY)
        except OSError:
            pass  # tried again at the next refusal

    roomed_us, stuck = None, 0  # the turn of the last call of `make_room`; calls since there was some
    make_room = None  # called when `most` are open; may close some
    on_refused = None  # called with the socket of a connection that there is no place for, before it is closed

    def gone(self):
        """The owner of a stream tells that it has closed."""
        self.open -= 1

    def abort(self):
        """A failing callback must not end the listener."""

    def close(self):
        if not self.closed:
            self.closed = True
            self.loop.watch(self.sock, 0, None)
            self.sock.close()
            if self.spare is not None:
                os.close(self.spare)


class connect:
    """Opens a connection to (host, port) or a Unix path; then `done(stream, None)` or `done(None, why)`, never from within
    this call. `make` builds the stream on the connected socket. What fails at once for a reason of this machine is tried
    again for `timeout_us`, and for `wait_us` as long as `common(self)` says that it is not this address alone; `own` is then
    true, and `why` says nothing of the peer."""

    def __init__(self, loop, address, timeout_us, done, make_stream=Stream, wait_us=0, common=None):
        self.loop, self.address, self.timeout_us, self.done, self.make_stream = loop, address, timeout_us, done, make_stream
        self.common = common
        self.begun_us = loop.clock.now_us()
        self.until_us = self.begun_us + max(wait_us, timeout_us)
        self.sock = self.timer = None
        self.own = False
        self.begin()

    def begin(self):
        host = self.address
        family = socket.AF_UNIX if isinstance(host, str) else socket.AF_INET6 if ":" in host[0] else socket.AF_INET
        try:
            self.sock = socket.socket(family, socket.SOCK_STREAM)
            self.sock.setblocking(False)
            code = self.sock.connect_ex(host)
        except OSError as problem:
            return self.failed(problem.errno, problem.strerror or str(problem))
        if code not in (0, errno.EINPROGRESS):
            return self.failed(code, os.strerror(code))
        self.own = False
        self.loop.watch(self.sock, selectors.EVENT_WRITE, self.on_ready)
        left_us = max(0, self.until_us - self.loop.clock.now_us())
        self.timer = self.loop.call_later(min(self.timeout_us, left_us), self.finish, "connect: no answer in time")

    def failed(self, code, text):
        cause = of_connect(code)
        self.own = cause is not Cause.PEER
        if cause is Cause.OWN_MOMENT and self.may_wait():
            if self.sock is not None:
                self.sock.close()
                self.sock = None
            self.timer = self.loop.call_later(AGAIN_US, self.begin)
            return
        self.loop.soon(self.finish, NO_DESCRIPTOR if cause is Cause.OWN_DESCRIPTORS else f"connect: {text}")

    def may_wait(self):
        common = self.common is not None and self.common(self)
        until_us = self.until_us if common else self.begun_us + self.timeout_us
        return self.loop.clock.now_us() + AGAIN_US < until_us

    def on_ready(self, _mask):
        code = self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        self.finish(f"connect: {os.strerror(code)}" if code else None)

    def finish(self, why):
        if self.done is None:
            return
        done, self.done = self.done, None
        if self.timer:
            self.timer.cancel()
        if self.sock is not None:
            self.loop.watch(self.sock, 0, None)
        stream = None
        if why is None:
            try:
                stream = self.make_stream(self.loop, self.sock)
            except (OSError, ValueError) as problem:
                why, self.own = f"connect: {problem}", True
        if stream is not None:
            done(stream, None)
        else:
            if self.sock is not None:
                self.sock.close()
            done(None, why)

    def cancel(self):
        """Gives up; `done` is not called."""
        if self.done is not None:
            self.done = None
            if self.timer:
                self.timer.cancel()
            if self.sock is not None:
                self.loop.watch(self.sock, 0, None)
                self.sock.close()

    def abort(self):
        self.finish("connect: failed")
