"""`lapiswing demo`: a gateway in this process, stand-ins for model servers in a child process."""

import os
import subprocess
import sys

import click

from lapiswing.cli.common import InputError, run_gateway
from lapiswing.settings import load_text
from lapiswing.standin.demo import write_demo


def run_demo(port, count):
    """Runs the demo with `count` stand-ins until a signal ends it: some readers (prefill), the rest writers (decode)."""
    if count < 2:
        raise InputError("--boxes: must be at least 2, a reader and a writer")
    readers = max(1, count * 2 // 5)
    settings_file, fleet_file = write_demo(port, count)
    folder = settings_file.parent
    from lapiswing.gateway.serve import Gateway
    from lapiswing.observe import start_logs

    gateway = Gateway(load_text(settings_file.read_text(), str(settings_file)), start_logs("info"))
    child = subprocess.Popen(
        [sys.executable, "-m", "lapiswing", "standin", str(fleet_file)], stdout=subprocess.PIPE, env=os.environ
    )
    try:
        if not child.stdout.readline():
            raise InputError("the stand-ins did not start")
        click.echo(f"""
{readers} readers and {count - readers} writers (stand-ins) behind http://127.0.0.1:{port}/v1, API key `demo`.
Settings and fleet: {folder}. Try, in another terminal:

  curl -N http://127.0.0.1:{port}/v1/chat/completions -H 'Authorization: Bearer demo' \\
    -H 'Content-Type: application/json' \\
    -d '{{"model": "menu-question", "stream": true, "messages": [{{"role": "user", "content": "What is for lunch?"}}]}}'

Ctrl-C ends it.
""")
        run_gateway(gateway)
    finally:
        child.terminate()
        child.wait(10)
