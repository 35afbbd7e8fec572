"""Runs the adapter for the simulator: python -m lapiswing.benchlink."""

import sys

from lapiswing.benchlink.wire import Malformed, serve

try:
    serve(sys.stdin.buffer, sys.stdout.buffer)
except Malformed as problem:
    print(f"benchlink: {problem}", file=sys.stderr)
    sys.exit(2)
