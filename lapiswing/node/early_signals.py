"""Signals between exec and the moment in which the loop hears them. Loads nothing else, so that it can be first.

The command in the deploy file starts the program with SIGHUP ignored, since its default action would end a process that
has not come to its first line yet; the configuration is read after that. From here on a SIGHUP is remembered. SIGTERM ends
the program at once: nothing has been taken before it listens."""

import os
import signal


class EarlySignals:
    """`watch()` first, then load; `hung_up` tells whether the configuration may have changed since."""

    def __init__(self):
        self.hung_up = False

    def watch(self):
        signal.signal(signal.SIGHUP, self.remember)
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, self.leave)

    def remember(self, _number, _frame):
        self.hung_up = True

    @staticmethod
    def leave(_number, _frame):
        # Not by an exception: it could come up in the middle of an import, which would hide it.
        os._exit(0)
