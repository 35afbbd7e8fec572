#!/bin/sh
# Builds what the cases 6 to 10 start beside the gateway: the stand-ins in rig2/ and the scripts of the cases. They need the
# standard library only, so that compiling them is all. Run after the build line of the deploy file.
set -e
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q review/rig2 review/6 review/7 review/8 review/9 review/10
