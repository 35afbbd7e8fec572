"""The fleet link: membership of the gateways of one fleet, and rows of data replicated among them. It takes no
part in routing requests.

    members   which gateways are alive, suspected, gone or have left: SWIM with Lifeguard's refinements; no I/O
    rows      rows with one writer each, merged by the larger version, compared by digests; no I/O
    messages  the messages, as msgpack structs
    seal      message authentication, addressing and protection against replay; no I/O
    link      one gateway of the fleet: the four above combined, still without I/O
    transport messages over TCP streams of the event loop
    host      the link in a running gateway: sockets, timer and store

docs/design/fleet.md has the rules and the reasons for them."""

from lapiswing.fleet.link import Link
from lapiswing.fleet.members import MemberConfig

__all__ = ["Link", "MemberConfig"]
