"""Listening and connecting sockets."""

import errno
import os
import selectors
import socket
from itertools import count

from lapiswing.loop.errnos import Cause, accept_error_cause, connect_error_cause
from lapiswing.loop.stream import Stream

BACKLOG = 1024  # established connections that the kernel queues for accept
NO_DESCRIPTOR = "connect: no descriptor left here"  # says nothing about the peer
ACCEPT_PAUSE_US = 100_000  # after a failed accept while even the spare descriptor is missing
CONNECT_RETRY_US = 20_000  # between attempts while this machine can't connect
MAX_ACCEPTS_PER_TURN = 64
FIRST_FREE_PORT, FREE_PORTS = 30_000, 2_700
port_numbers = count(os.getpid() * 911)  # processes that start together begin far apart
MAX_TURNS_WITHOUT_ROOM = 8  # then new connections are accepted and closed


def listen_socket(host, port, backlog=BACKLOG):
    """-> a bound, listening, non-blocking socket. The port can be bound again right after the process was killed. Raises
    OSError."""
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
    """host:port -> (host, port); an IPv6 host is written in brackets. Raises ValueError."""
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise ValueError(f"{text!r} is not host:port")
    return host.strip("[]"), int(port)


def free_ports(n):
    """-> `n` ports of 127.0.0.1 that nobody listens on at the moment. They are below the usual range of ports that the kernel
    chooses, and each process tries others first, so that nobody takes one before it is used."""
    ports = []
    while len(ports) < n:
        port = FIRST_FREE_PORT + next(port_numbers) % FREE_PORTS
        try:
            listen_socket("127.0.0.1", port).close()
        except OSError:
            continue
        ports.append(port)
    return ports


class Listener:
    """Accepts on a socket and passes each Stream to `on_stream(stream, peer)`. Beyond `max_connections`, or while the process
    has no descriptor left, a connection is accepted and closed at once; in the latter case a spare descriptor is given up to
    accept it. Otherwise the kernel would report the socket as readable without end."""

    def __init__(self, loop, sock, on_stream, max_connections=4096, high=262144, low=65536, make_stream=Stream):
        self.loop, self.sock, self.on_stream, self.max_connections, self.make_stream = (
            loop,
            sock,
            on_stream,
            max_connections,
            make_stream,
        )
        self.high, self.low, self.open, self.refused, self.closed = high, low, 0, 0, False
        self.spare_descriptor = os.open(os.devnull, os.O_RDONLY)
        self.address = sock.getsockname()
        loop.watch(sock, selectors.EVENT_READ, self.on_ready)

    def on_ready(self, _mask):
        for _ in range(MAX_ACCEPTS_PER_TURN):
            if self.closed or not self.has_room() or not self.accept_one():
                return

    def accept_pending(self):
        """Accepts what has connected by now, for an owner that is about to close, since closing resets queued connections.
        Those beyond the limit are refused; an error with one connection does not affect those queued behind it."""
        for _ in range(BACKLOG):
            if self.closed or not self.accept_one(closing=True):
                return

    def has_room(self):
        """-> whether to accept now. Asks `make_room` if the limit is reached."""
        if self.open < self.max_connections or self.make_room is None:
            return True
        # At most once a turn: connections accepted in this one may have sent a request, which is read before the next.
        if self.room_sought_us == self.loop.now:
            return False
        self.room_sought_us = self.loop.now
        self.make_room()
        self.turns_without_room = self.turns_without_room + 1 if self.open >= self.max_connections else 0
        return not 0 < self.turns_without_room < MAX_TURNS_WITHOUT_ROOM

    def accept_one(self, closing=False):
        """-> whether to continue. With `closing` no accept is postponed."""
        try:
            sock, peer = self.sock.accept()
        except BlockingIOError:
            return False
        except OSError as problem:
            return self.on_accept_error(problem, closing)
        if self.open >= self.max_connections:
            self.reject(sock)
            return True
        self.open += 1
        try:
            stream = self.make_stream(self.loop, sock, high=self.high, low=self.low)
        except (OSError, ValueError):  # with TLS: the peer has already gone
            sock.close()
            self.open -= 1
            return True
        stream.from_client = True
        self.loop.accepted(sock)
        self.loop.guard(stream, self.on_stream, stream, peer)
        return True

    def on_accept_error(self, problem, closing):
        """-> whether to continue."""
        cause = accept_error_cause(problem.errno)
        if cause is Cause.PEER:
            return True
        # A full table of the whole machine passes: the connection waits in the kernel's queue, as its request may still be on
        # its way. The process's own limit stays until room is made, and a port that closes resets what waits.
        must_refuse = cause is Cause.NO_DESCRIPTORS and (closing or problem.errno != errno.ENFILE)
        if must_refuse and self.accept_and_close():
            return True
        if closing:
            return cause is not Cause.INTERNAL_ERROR
        self.pause_accepting()
        if cause is Cause.INTERNAL_ERROR:
            raise problem
        return False

    def accept_and_close(self):
        """Uses the spare descriptor to accept and refuse one connection. -> whether that worked."""
        if self.spare_descriptor is not None:
            os.close(self.spare_descriptor)
            self.spare_descriptor = None
        try:
            self.reject(self.sock.accept()[0])
            return True
        except OSError:
            return False
        finally:
            self.open_spare_descriptor()

    def reject(self, sock):
        """Closes a connection beyond the limit, after `on_refused`."""
        self.refused += 1
        try:
            if self.on_refused is not None:
                self.on_refused(sock)
        except OSError:
            pass  # the peer has gone
        finally:
            sock.close()

    def pause_accepting(self):
        """Stops watching for a while, as the loop would spin on a readable socket that can't be accepted from. Clients wait in
        the kernel's queue meanwhile."""
        self.loop.watch(self.sock, 0, None)
        self.loop.call_later(ACCEPT_PAUSE_US, self.resume_accepting)

    def resume_accepting(self):
        if not self.closed:
            if self.spare_descriptor is None:
                self.open_spare_descriptor()
            self.loop.watch(self.sock, selectors.EVENT_READ, self.on_ready)

    def open_spare_descriptor(self):
        try:
            self.spare_descriptor = os.open(os.devnull, os.O_RDONLY)
        except OSError:
            pass  # retried at the next refusal

    room_sought_us, turns_without_room = None, 0  # time of the last call of `make_room`; consecutive turns without success
    make_room = None  # called when `max_connections` are open; may close some
    on_refused = None  # called with the socket of a refused connection before it is closed

    def gone(self):
        """To be called by the owner of a stream when it has closed."""
        self.open -= 1

    def abort(self):
        """A callback that raises does not end the listener; see Loop.guard."""

    def close(self):
        if not self.closed:
            self.closed = True
            self.loop.watch(self.sock, 0, None)
            self.sock.close()
            if self.spare_descriptor is not None:
                os.close(self.spare_descriptor)


class connect:
    """Opens a connection to (host, port) or a Unix path, then calls `done(stream, None)` or `done(None, why)`, never from within
    the constructor. `make_stream` builds the stream on the connected socket. Immediate errors of this machine are retried for
    `timeout_us`, or for `local_retry_us` as long as `is_widespread(self)` says that other addresses fail too;
    `failed_locally` is then true, and `why` says nothing about the peer."""

    def __init__(self, loop, address, timeout_us, done, make_stream=Stream, local_retry_us=0, is_widespread=None):
        self.loop, self.address, self.timeout_us, self.done, self.make_stream = loop, address, timeout_us, done, make_stream
        self.is_widespread = is_widespread
        self.started_us = loop.clock.now_us()
        self.deadline_us = self.started_us + max(local_retry_us, timeout_us)
        self.sock = self.timer = None
        self.failed_locally = False
        self.open_socket()

    def open_socket(self):
        """Starts one attempt to connect."""
        host = self.address
        family = socket.AF_UNIX if isinstance(host, str) else socket.AF_INET6 if ":" in host[0] else socket.AF_INET
        try:
            self.sock = socket.socket(family, socket.SOCK_STREAM)
            self.sock.setblocking(False)
            code = self.sock.connect_ex(host)
        except OSError as problem:
            return self.connect_failed(problem.errno, problem.strerror or str(problem))
        if code not in (0, errno.EINPROGRESS):
            return self.connect_failed(code, os.strerror(code))
        self.failed_locally = False
        self.loop.watch(self.sock, selectors.EVENT_WRITE, self.on_ready)
        left_us = max(0, self.deadline_us - self.loop.clock.now_us())
        self.timer = self.loop.call_later(min(self.timeout_us, left_us), self.finish, "connect: no answer in time")

    def connect_failed(self, code, text):
        """Handles an error that was reported at once: retries or gives up."""
        cause = connect_error_cause(code)
        self.failed_locally = cause is not Cause.PEER
        if cause is Cause.LOCAL_TRANSIENT and self.may_retry():
            if self.sock is not None:
                self.sock.close()
                self.sock = None
            self.timer = self.loop.call_later(CONNECT_RETRY_US, self.open_socket)
            return
        self.loop.soon(self.finish, NO_DESCRIPTOR if cause is Cause.NO_DESCRIPTORS else f"connect: {text}")

    def may_retry(self):
        widespread = self.is_widespread is not None and self.is_widespread(self)
        deadline_us = self.deadline_us if widespread else self.started_us + self.timeout_us
        return self.loop.clock.now_us() + CONNECT_RETRY_US < deadline_us

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
                why, self.failed_locally = f"connect: {problem}", True
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
        """Called if the callback raises."""
        self.finish("connect: failed")
