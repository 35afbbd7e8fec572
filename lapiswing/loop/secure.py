"""TLS on a stream: the same interface as Stream, with a handshake first.

    make_stream = secure(context, server_side=True)      # for Listener and connect

Output written before the handshake is complete waits. After it `stream.peer_names()` gives the names in the peer's
certificate. Files are read into memory to be sent, as sendfile can't encrypt without kernel TLS, which is not used."""

import os
import select
import ssl
from functools import partial

from lapiswing.loop.stream import FilePart, Stream

RECORD_BYTES = 16384  # the largest TLS record; larger writes would be split anyway


def secure(context, server_side=False):
    """-> a constructor of SecureStream, for `make_stream`."""
    return partial(SecureStream, context=context, server_side=server_side)


class SecureStream(Stream):
    """A Stream whose socket is encrypted with TLS."""

    partial_reads = True
    retriable = False  # a record that was sent in part can't be produced again
    NOT_NOW = (ssl.SSLWantReadError, ssl.SSLWantWriteError, BlockingIOError, InterruptedError)

    def __init__(self, loop, sock, owner=None, high=262144, low=65536, context=None, server_side=False):
        sock.setblocking(False)
        self.handshaken = False
        wrapped = context.wrap_socket(sock, server_side=server_side, do_handshake_on_connect=False)
        super().__init__(loop, wrapped, owner, high, low)
        self.turns = 64
        loop.soon(self.begin)

    def begin(self):
        if not self.closed and not self.handshaken:
            self.loop.guard(self, self.handshake)

    def handshake(self):
        """Continues the handshake as far as possible."""
        try:
            self.sock.do_handshake()
        except ssl.SSLWantReadError:
            self.blocked = False
            return self.update_events()
        except ssl.SSLWantWriteError:
            self.blocked = True
            return self.update_events()
        except (OSError, ValueError, AttributeError) as problem:  # SSL errors are OSErrors; others: closed before it began
            return self.drop(f"tls: {getattr(problem, 'reason', None) or problem}")
        self.handshaken, self.blocked = True, False
        self.update_events()
        self.loop.dirty.add(self)
        if self.sock.pending():
            self.loop.soon(self.read_buffered)

    def peer_names(self):
        """-> the DNS names in the peer's verified certificate; none before the handshake is complete."""
        found = self.sock.getpeercert() if self.handshaken and not self.closed else None
        return [value for kind, value in (found or {}).get("subjectAltName", ()) if kind == "DNS"]

    def on_ready(self, mask):
        if not self.handshaken:
            return self.handshake()
        return super().on_ready(mask)

    def pending(self):
        waits = select.poll()
        waits.register(self.sock, select.POLLIN)
        return bool(self.sock.pending() or waits.poll(0))

    def read(self):
        super().read()
        self.schedule_buffered_read()

    def schedule_buffered_read(self):
        # Input that OpenSSL has already taken from the kernel does not make the socket readable and would otherwise stay
        # unread until the peer sends more.
        if not self.closed and self.reading and not self.ended and self.sock.pending():
            self.loop.soon(self.read_buffered)

    def read_buffered(self):
        if not self.closed and self.reading and not self.ended:
            self.loop.guard(self, self.read)

    def resume(self):
        super().resume()
        if self.handshaken:
            self.schedule_buffered_read()

    def flush(self):
        if self.handshaken:
            super().flush()

    def send_some(self, out):
        head = out[0]
        if isinstance(head, FilePart):
            data = os.pread(head.file.fileno(), min(head.remaining, 4 * RECORD_BYTES), head.offset)
            return self.sock.send(data) if data else 0
        if len(head) >= RECORD_BYTES or len(out) == 1 or isinstance(out[1], FilePart):
            return self.sock.send(head)
        parts, size = [], 0
        for part in out:
            if isinstance(part, FilePart) or size >= RECORD_BYTES:
                break
            parts.append(part)
            size += len(part)
        return self.sock.send(b"".join(parts))
