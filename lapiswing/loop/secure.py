"""TLS on a stream: the same promises as Stream's, with a handshake in front.

    make = secure(context, server_side=True)      # for Listener's and connect's `make`

What is written before the handshake is over waits. `stream.peer_names()` tells afterwards whom the certificate names. Bytes
of files go through memory here: the kernel can't encrypt them for us without its own TLS, which is not asked for."""

import os
import select
import ssl
from functools import partial

from lapiswing.loop.stream import FilePart, Stream

RECORD = 16384  # TLS puts at most this much into one record: more at once would only be cut


def secure(context, server_side=False):
    return partial(SecureStream, context=context, server_side=server_side)


class SecureStream(Stream):
    records = True
    may_repeat = False  # a record that went out in part can't be made again
    NOT_NOW = (ssl.SSLWantReadError, ssl.SSLWantWriteError, BlockingIOError, InterruptedError)

    def __init__(self, loop, sock, owner=None, high=262144, low=65536, context=None, server_side=False):
        sock.setblocking(False)
        self.shaken = False
        wrapped = context.wrap_socket(sock, server_side=server_side, do_handshake_on_connect=False)
        super().__init__(loop, wrapped, owner, high, low)
        self.turns = 64
        loop.soon(self.begin)

    def begin(self):
        if not self.closed and not self.shaken:
            self.loop.guard(self, self.shake)

    def shake(self):
        try:
            self.sock.do_handshake()
        except ssl.SSLWantReadError:
            self.blocked = False
            return self.update()
        except ssl.SSLWantWriteError:
            self.blocked = True
            return self.update()
        except (OSError, ValueError, AttributeError) as problem:  # ssl errors are OSErrors; the rest: gone before it began
            return self.drop(f"tls: {getattr(problem, 'reason', None) or problem}")
        self.shaken, self.blocked = True, False
        self.update()
        self.loop.dirty.add(self)
        if self.sock.pending():
            self.loop.soon(self.read_rest)

    def peer_names(self):
        """DNS names of the peer's certificate, which the handshake has checked; none before it."""
        found = self.sock.getpeercert() if self.shaken and not self.closed else None
        return [value for kind, value in (found or {}).get("subjectAltName", ()) if kind == "DNS"]

    def on_ready(self, mask):
        if not self.shaken:
            return self.shake()
        return super().on_ready(mask)

    def pending(self):
        waits = select.poll()
        waits.register(self.sock, select.POLLIN)
        return bool(self.sock.pending() or waits.poll(0))

    def read(self):
        super().read()
        self.look_for_rest()

    def look_for_rest(self):
        # What OpenSSL has already taken from the kernel makes no socket readable: without this it would lie there until
        # the peer sends more.
        if not self.closed and self.reading and not self.ended and self.sock.pending():
            self.loop.soon(self.read_rest)

    def read_rest(self):
        if not self.closed and self.reading and not self.ended:
            self.loop.guard(self, self.read)

    def resume(self):
        super().resume()
        if self.shaken:
            self.look_for_rest()

    def flush(self):
        if self.shaken:
            super().flush()

    def send_some(self, out):
        head = out[0]
        if isinstance(head, FilePart):
            data = os.pread(head.file.fileno(), min(head.left, 4 * RECORD), head.at)
            return self.sock.send(data) if data else 0
        if len(head) >= RECORD or len(out) == 1 or isinstance(out[1], FilePart):
            return self.sock.send(head)
        parts, size = [], 0
        for part in out:
            if isinstance(part, FilePart) or size >= RECORD:
                break
            parts.append(part)
            size += len(part)
        return self.sock.send(b"".join(parts))
