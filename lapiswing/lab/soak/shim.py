"""python -m lapiswing.lab.soak.shim: one gateway of the platform whose clock and system calls may be made to fail.

The environment's SOAK_SHIM is a JSON file: {"clock_s": 3600, "faults": [{"call": "accept", "code": 105, "from_us": ...,
"to_us": ..., "part": 0.5}]}, moments of the monotonic clock, which all processes of a machine share. Read again at each
SIGUSR2, so that faults may be told to a running process."""

import json
import os
import random
import signal
import socket
import time

FILE = "SOAK_SHIM"
CALLS = ("accept", "connect_ex", "recv", "send", "sendmsg", "listen", "bind")


class Shim:
    def __init__(self, path):
        self.path, self.faults, self.chance = path, [], random.Random(path)
        self.load()

    def load(self, *_signal):
        try:
            with open(self.path) as file:
                told = json.load(file)
        except (OSError, ValueError):
            return
        self.faults = told.get("faults", [])
        self.clock_ns = int(told.get("clock_s", 0) * 1e9)

    def error(self, call):
        """-> the errno that this call fails with now, or None."""
        now_us = time.monotonic_ns() // 1000
        for fault in self.faults:
            if fault["call"] == call and fault["from_us"] <= now_us < fault["to_us"] and self.chance.random() < fault["part"]:
                return fault["code"]
        return None

    def step_clock(self):
        unix_ns, unix = time.time_ns, time.time
        time.time_ns = lambda: unix_ns() + self.clock_ns
        time.time = lambda: unix() + self.clock_ns / 1e9

    def wrap_sockets(self):
        shim, real = self, socket.socket

        class FailingSocket(real):
            """Named calls fail as the file says; a short write is a `send` with code 0."""

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
                return getattr(real, call)(self, *args)

            setattr(FailingSocket, call, failing)
        socket.socket = FailingSocket


def main():
    # As the deploy file has it, a SIGHUP is ignored until the program hears it; SIGUSR2 is this module's own.
    shim = Shim(os.environ[FILE])
    signal.signal(signal.SIGUSR2, shim.load)
    shim.step_clock()
    shim.wrap_sockets()
    import runpy

    runpy.run_module("lapiswing.node", run_name="__main__", alter_sys=True)


if __name__ == "__main__":
    main()
