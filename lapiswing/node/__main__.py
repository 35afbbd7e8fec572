"""python -m lapiswing.node: one gateway of the platform, in the foreground. Exit codes: 0 stopped, 2 a bad
configuration or an address that can't be listened on."""
import os
import sys

from lapiswing.node.config import ConfigError
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
    except ConfigError as problem:
        return str(problem)
    except OSError as problem:
        return f"{path}: listen: {problem.strerror or problem}"
    node.run()


if __name__ == "__main__":
    fault = main()
    if fault:
        print(fault, file=sys.stderr)
        sys.exit(2)
