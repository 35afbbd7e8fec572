#!/bin/sh
# Runs the Python part of a case with the environment that the build of the deploy file has made.
cd "$(dirname "$0")/.." || exit 2
[ -x .venv/bin/python ] || { echo "no .venv: run the build of deploy/balancer.toml first" >&2; exit 2; }
PYTHONPATH=review exec .venv/bin/python "review/$1/case.py"
