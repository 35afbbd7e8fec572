"""python -m lapiswing.node: runs one gateway of the platform in the foreground. Exit codes: 0 stopped, 2 invalid
configuration or an address that can't be listened on."""

from lapiswing.node.early_signals import EarlySignals

EARLY = EarlySignals()
if __name__ == "__main__":
    EARLY.install()  # before the other imports, which can take over a second on a busy machine

import os  # noqa: E402
import sys  # noqa: E402

from lapiswing.errors import OperatorError  # noqa: E402
from lapiswing.node.names import CONFIG_VARIABLE  # noqa: E402
from lapiswing.node.serve import Node  # noqa: E402
from lapiswing.observe import start_logs  # noqa: E402


def main():
    path = os.environ.get(CONFIG_VARIABLE)
    if not path:
        return f"{CONFIG_VARIABLE} is not set"
    node = Node.load_with_retries(path, start_logs("info"))
    node.watch_signals()  # before it listens: a signal that arrives after that must find its handler
    if EARLY.reload_requested:
        node.loop.soon(node.reload)
    node.start()
    node.run()


if __name__ == "__main__":
    try:
        fault = main()
    except OperatorError as problem:
        fault = f"{problem}\n{problem.advice}"
    if fault:
        print(fault, file=sys.stderr)
        sys.exit(2)
