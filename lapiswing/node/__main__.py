"""python -m lapiswing.node: one gateway of the platform, in the foreground. Exit codes: 0 stopped, 2 a bad
configuration or an address that can't be listened on."""
import os
import sys

from lapiswing.errors import CantListen, OperatorError
from lapiswing.node.names import CONFIG
from lapiswing.node.serve import Node
from lapiswing.observe import start_logs


def main():
    path = os.environ.get(CONFIG)
    if not path:
        return f"{CONFIG} is not set"
    try:
        node = Node(path, start_logs("info"))
        node.start()
    except OSError as problem:
        raise CantListen(f"{path}: listen", problem) from None
    node.run()


if __name__ == "__main__":
    try:
        fault = main()
    except OperatorError as problem:
        fault = f"{problem}\n{problem.advice}"
    if fault:
        print(fault, file=sys.stderr)
        sys.exit(2)
