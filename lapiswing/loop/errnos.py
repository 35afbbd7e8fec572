"""What the errors of system calls mean to this program: one table for each group of calls.

    accept       accept4(2), with the network errors that Linux passes on from a connection that is already gone
    connect      socket(2), bind(2) and connect(2), as far as they fail at once
    transfer     recv(2), send(2), sendmsg(2), sendfile(2), shutdown(2)

What a table does not name is the peer's trouble for `transfer` and `connect`, and a fault of this program for `accept`.
EINTR is not named: Python makes an interrupted call again. EAGAIN is the loop's own word for 'not now' and never comes
here, but for connect(2), where it tells that the machine has no port left."""

import errno
from enum import Enum


class Cause(Enum):
    """Whose trouble an error is, and for how long."""

    PEER = "the peer's, or of the way to it"
    OWN_MOMENT = "of this machine, and it passes: memory, ports, routes"
    OWN_DESCRIPTORS = "of this machine: no descriptor left, in the process or in all"
    FAULT = "of this program"


DESCRIPTORS = {errno.EMFILE, errno.ENFILE}
MEMORY = {errno.ENOBUFS, errno.ENOMEM}
# Linux: "already-pending network errors on the new socket", which concern that one connection. EPERM: a firewall's rule.
GONE_IN_THE_QUEUE = {
    errno.ECONNABORTED,
    errno.EPROTO,
    errno.EPERM,
    errno.ENETDOWN,
    errno.ENOPROTOOPT,
    errno.EHOSTDOWN,
    errno.ENONET,
    errno.EHOSTUNREACH,
    errno.EOPNOTSUPP,
    errno.ENETUNREACH,
    errno.ETIMEDOUT,
    errno.ECONNRESET,
}
NO_WAY_OUT = {
    errno.EADDRNOTAVAIL,
    errno.EADDRINUSE,
    errno.EAGAIN,
    errno.ENETUNREACH,
    errno.ENETDOWN,
    errno.EPERM,
    errno.EACCES,
    errno.EAFNOSUPPORT,
    errno.EPROTONOSUPPORT,
}

ACCEPT = (
    {code: Cause.PEER for code in GONE_IN_THE_QUEUE}
    | {code: Cause.OWN_MOMENT for code in MEMORY}
    | {code: Cause.OWN_DESCRIPTORS for code in DESCRIPTORS}
)
# ENFILE is a lack of the whole machine and passes; EMFILE is this process's own bound, and the caller's to make room for.
CONNECT = {code: Cause.OWN_MOMENT for code in NO_WAY_OUT | MEMORY | {errno.ENFILE}} | {errno.EMFILE: Cause.OWN_DESCRIPTORS}
TRANSFER = {code: Cause.OWN_MOMENT for code in MEMORY}


def of_accept(code):
    return ACCEPT.get(code, Cause.FAULT)


def of_connect(code):
    """Of an error that connect(2) or what goes before it gave at once; later ones are the peer's."""
    return CONNECT.get(code, Cause.PEER)


def of_transfer(code):
    return TRANSFER.get(code, Cause.PEER)
