#!/bin/sh
# Builds the stand-ins of the cases, after the build of the deploy file. They need the standard library alone.
cd "$(dirname "$0")/.." || exit 2
[ -x .venv/bin/python ] || { echo "no .venv: run the build of deploy/balancer.toml first" >&2; exit 2; }
exec .venv/bin/python -m compileall -q review
