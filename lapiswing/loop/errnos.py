"""What the errors of system calls mean to this program: one table for each group of calls.

    accept       accept4(2), including network errors that Linux reports for a connection that is already gone
    connect      socket(2), bind(2) and connect(2), as far as they fail at once
    transfer     recv(2), send(2), sendmsg(2), sendfile(2), shutdown(2)

Errors that are not in a table are caused by the peer (`transfer`, `connect`) or by this program (`accept`). EINTR is absent
because Python repeats interrupted calls. EAGAIN is handled by the loop and only gets here from connect(2), where it means that
the machine has no free port."""

import errno
from enum import Enum


class Cause(Enum):
    """What caused an error and whether it may pass."""

    PEER = "the peer's, or of the way to it"
    LOCAL_TRANSIENT = "of this machine, and it passes: memory, ports, routes"
    NO_DESCRIPTORS = "of this machine: no descriptor left, in the process or in all"
    INTERNAL_ERROR = "of this program"


DESCRIPTORS = {errno.EMFILE, errno.ENFILE}
MEMORY = {errno.ENOBUFS, errno.ENOMEM}
# Linux: "already-pending network errors on the new socket", which concern that one connection. EPERM: a firewall's rule.
PEER_GONE_BEFORE_ACCEPT = {
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
NO_LOCAL_ROUTE = {
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
    {code: Cause.PEER for code in PEER_GONE_BEFORE_ACCEPT}
    | {code: Cause.LOCAL_TRANSIENT for code in MEMORY}
    | {code: Cause.NO_DESCRIPTORS for code in DESCRIPTORS}
)
# ENFILE is a limit of the whole machine and passes. EMFILE is this process's own limit, for which the caller must make room.
CONNECT = {code: Cause.LOCAL_TRANSIENT for code in NO_LOCAL_ROUTE | MEMORY | {errno.ENFILE}} | {
    errno.EMFILE: Cause.NO_DESCRIPTORS
}
TRANSFER = {code: Cause.LOCAL_TRANSIENT for code in MEMORY}


def accept_error_cause(code):
    """-> Cause of an error of accept."""
    return ACCEPT.get(code, Cause.INTERNAL_ERROR)


def connect_error_cause(code):
    """-> Cause of an error reported at once by connect(2) or the calls before it; later errors are caused by the peer."""
    return CONNECT.get(code, Cause.PEER)


def transfer_error_cause(code):
    """-> Cause of an error of reading or writing."""
    return TRANSFER.get(code, Cause.PEER)
