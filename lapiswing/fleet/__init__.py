"""The fleet link: who the other copies of the program are, and rows that spread among them. It decides
nothing on reqs.

    members   who is alive, suspected, gone or has left; SWIM with Lifeguard's refinements; pure
    rows      rows with one writer each, merged by the larger version, compared by digests; pure
    messages  what is said, as msgpack structs
    seal      MAC, addressee, protection against replay; pure
    link      one member: the four above put together, still without I/O
    transport messages over the loop's streams

docs/design/fleet.md has the rules and why they are so."""

from lapiswing.fleet.link import Link
from lapiswing.fleet.members import Figures

__all__ = ["Figures", "Link"]
