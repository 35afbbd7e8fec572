"""An event loop on `selectors`: timers, streams with bounded buffers, listeners, signals, and a clock that tests can replace.
Independent of HTTP and of the gateway."""

from lapiswing.loop.clock import Clock, ManualClock
from lapiswing.loop.core import Loop, Timer
from lapiswing.loop.net import NO_DESCRIPTOR, Listener, address_of, connect, free_ports, listen_socket
from lapiswing.loop.secure import secure
from lapiswing.loop.stream import Stream

__all__ = [
    "Clock",
    "Listener",
    "Loop",
    "ManualClock",
    "NO_DESCRIPTOR",
    "Stream",
    "Timer",
    "address_of",
    "connect",
    "free_ports",
    "listen_socket",
    "secure",
]
