"""`python -m lapiswing.lab.soak.shim` runs one gateway (`lapiswing.node`) with fault injection for its wall clock and socket
calls.

The environment variable SOAK_SHIM names a JSON file: {"clock_s": 3600, "faults": [{"call": "accept", "code": 105,
"from_us": ..., "to_us": ..., "part": 0.5}]}. `clock_s` is added to the wall clock; `part` is the probability that the call
fails between the two times, which are on the monotonic clock that all processes of a machine share. The file is read again
at each SIGUSR2, so that faults can be added to a running process."""

import json
import os
import random
import signal
import socket
import time

FILE = "SOAK_SHIM"
CALLS = ("accept", "connect_ex", "recv", "send", "sendmsg", "listen", "bind")


class Shim:
    """The injected faults and clock offset, as last read from the file."""

    def __init__(self, path):
        self.path, self.faults, self.rng = path, [], random.Random(path)
        self.load()

    def load(self, *_signal):
        """Reads the file. An unreadable file changes nothing."""
        try:
            with open(self.path) as file:
                content = json.load(file)
        except (OSError, ValueError):
            return
        self.faults = content.get("faults", [])
        self.clock_ns = int(content.get("clock_s", 0) * 1e9)

    def error(self, call):
        """Returns the errno with which this call is to fail now, or None."""
        now_us = time.monotonic_ns() // 1000
        for fault in self.faults:
            if fault["call"] == call and fault["from_us"] <= now_us < fault["to_us"] and self.rng.random() < fault["part"]:
                return fault["code"]
        return None

    def step_clock(self):
        """Adds the offset to the wall clock."""
        unix_ns, unix = time.time_ns, time.time
        time.time_ns = lambda: unix_ns() + self.clock_ns
        time.time = lambda: unix() + self.clock_ns / 1e9

    def wrap_sockets(self):
        """Replaces the socket class by one whose calls can fail."""
        shim, real_socket = self, socket.socket

        class FailingSocket(real_socket):
            """Fails the named calls as the file says. Code 0 for `send` makes it a short write."""

            def connect_ex(self, address):
                return shim.error("connect_ex") or super().connect_ex(address)

            def send(self, data, *flags):
                code = shim.error("send")
                if code == 0:
                    return super().send(bytes(data)[: max(1, len(data) // 3)], *flags)
                if code is not None:
                    raise OSError(code, os.strerror(code))
                return super().send(data, *flags)

        for call in ("accept", "recv", "sendmsg"):

            def failing(self, *args, call=call):
                code = shim.error(call)
                if code:
                    raise OSError(code, os.strerror(code))
                return getattr(real_socket, call)(self, *args)

            setattr(FailingSocket, call, failing)
        socket.socket = FailingSocket


def main():
    # SIGHUP stays ignored until the gateway installs its handler, as in the deployment; SIGUSR2 is used by this module only.
    shim = Shim(os.environ[FILE])
    signal.signal(signal.SIGUSR2, shim.load)
    shim.step_clock()
    shim.wrap_sockets()
    import runpy

    runpy.run_module("lapiswing.node", run_name="__main__", alter_sys=True)


if __name__ == "__main__":
    main()
