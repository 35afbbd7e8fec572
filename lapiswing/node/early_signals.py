"""Handles signals from the first line of the program until the loop's handlers are in place. Imports nothing else of the
project, so that it can be installed first.

The command in the deploy file starts the program with SIGHUP ignored, because its default action would end a process that has
not reached its first line; the configuration is read after that. Once installed, a SIGHUP is recorded. SIGTERM ends the
program at once, since no request has been accepted before it listens."""

import os
import signal


class EarlySignals:
    """Call `install()` before other imports; `reload_requested` tells whether a SIGHUP has arrived since."""

    def __init__(self):
        self.reload_requested = False

    def install(self):
        signal.signal(signal.SIGHUP, self.on_hangup)
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, self.exit_at_once)

    def on_hangup(self, _number, _frame):
        self.reload_requested = True

    @staticmethod
    def exit_at_once(_number, _frame):
        # Not by an exception, which could be raised in the middle of an import that swallows it.
        os._exit(0)
