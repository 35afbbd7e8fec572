"""Commands of a site's staff: status, console, act, up, down."""

import json
import os
import signal
import subprocess
import sys
import time
from pathlib import Path

import click

from lapiswing.cli.common import InputError, at_option, key_option, read_settings

EXITS = {0: 0, 1: 0, 2: 3, 3: 4}
NO_ANSWER = 5


@click.command()
@at_option
@key_option
@click.option("--json", "as_json", is_flag=True)
def status(where, key, as_json):
    """Say how the gateway is, once.

    Exit codes: 0 well, 3 a warning, 4 something serious, 5 no answer."""
    from lapiswing.admin.client import AdminError, ask
    from lapiswing.console.text import age, clean

    try:
        head = ask(where, "GET", "/v1/verdict", key=key)
    except AdminError as problem:
        if as_json:
            click.echo(json.dumps({"error": str(problem)}))
        else:
            click.echo(f"No answer: {clean(problem)}\nTo do: {problem.advice}", err=True)
        sys.exit(NO_ANSWER)
    if as_json:
        click.echo(json.dumps(head))
    else:
        click.echo(clean(head["verdict"]["text"]))
        for f in head["findings"]:
            about = f"{clean(f['subject'])}: " if f["subject"] else ""
            click.echo(
                f"- {about}{clean(f['cause'])}, for {age(head['unix_ms'] - f['since_unix_ms'])}. {clean(f['evidence'])}.\n"
                f"  do: {clean(f['do'])}"
            )
    sys.exit(EXITS[head["verdict"]["level"]])


@click.command()
@at_option
@key_option
@click.option("--mono", is_flag=True, help="No colours, plain characters.")
@click.option("--read-only", is_flag=True, help="Don't use the control socket, where there is one beside.")
def console(where, key, mono, read_only):
    """Watch a gateway on the terminal. It may be opened and closed at any time; `?` in it tells the keys."""
    control = where
    if "/" in where or not where.rpartition(":")[2].isdigit():
        beside = Path(where).with_name("control.sock")
        if not read_only and Path(where).name == "gateway.sock" and os.access(beside, os.W_OK):
            control = str(beside)
        if not os.path.exists(control) and not os.path.exists(where):
            raise InputError(f"{where}: no such socket; `admin.path` in the settings names it")
    if not sys.stdout.isatty():
        raise InputError("the console wants a terminal; `lapiswing status` does without")
    from lapiswing.console.app import run_console

    run_console(
        control,
        key,
        may_act=not read_only and (control != where or "control" in where or bool(key)),
        mono=mono or "NO_COLOR" in os.environ,
    )


@click.group()
@click.option(
    "--at",
    "where",
    envvar="LAPISWING_CONTROL",
    default="control.sock",
    show_default=True,
    help="Control socket: a Unix path or host:port.",
)
@key_option
@click.pass_context
def act(context, where, key):
    """Act on a running gateway; each act is written to its audit log."""
    context.obj = where, key


def do(context, value):
    from lapiswing.admin.client import ask

    where, key = context.obj
    click.echo(ask(where, "POST", "/v1/actions", value, key)["done"])


@act.command()
@click.argument("box")
@click.pass_context
def drain(context, box):
    """Send nothing new to a box; what it has begun ends."""
    do(context, {"act": "drain", "what": box})


@act.command("take-back")
@click.argument("box")
@click.pass_context
def take_back(context, box):
    """End an operator's drain."""
    do(context, {"act": "take-back", "what": box})


@act.command()
@click.argument("tenant")
@click.argument("rps", type=float)
@click.option("--minutes", default=60.0, show_default=True)
@click.pass_context
def cap(context, tenant, rps, minutes):
    """Let a tenant send at most RPS reqs a second at this gateway, for a while."""
    do(context, {"act": "cap", "what": tenant, "rps": rps, "minutes": minutes})


@act.command()
@click.argument("tenant")
@click.pass_context
def uncap(context, tenant):
    """Lift a cap."""
    do(context, {"act": "uncap", "what": tenant})


@act.command("acknowledge")
@click.argument("kind")
@click.argument("subject", default="")
@click.pass_context
def acknowledge(context, kind, subject):
    """Put a finding behind the others until it is over."""
    do(context, {"act": "acknowledge", "kind": kind, "what": subject})


@act.command("drain-gateway")
@click.pass_context
def drain_gateway(context):
    """Let the gateway end: no new reqs, running ones finish."""
    do(context, {"act": "drain-gateway"})


# ---- the appliance


def state_of(file):
    path = Path(file)
    return path.with_name(path.name + ".state")


def commands_of(file, folder, fleet=None):
    here = [sys.executable, "-m", "lapiswing"]
    out = [("gateway", [*here, "serve", str(file), "--admin-folder", str(folder)], str(file))]
    if fleet:
        out.insert(0, ("stand-ins", [*here, "standin", str(fleet)], None))
    return out


@click.command()
@click.argument("file", required=False, type=click.Path(dir_okay=False))
@click.option("--demo", is_flag=True, help="Without FILE: stand-in boxes on this machine.")
@click.option("--port", default=8080, show_default=True, help="Of the demo's gateway.")
@click.option("--attach", is_flag=True, help="Only the console; fails where nothing runs.")
@click.option("--no-console", is_flag=True, help="Start, say where it runs, and return.")
@click.option("--foreground", is_flag=True, hidden=True)
@click.option("--fleet", type=click.Path(), hidden=True)
def up(file, demo, port, attach, no_console, foreground, fleet):
    """Run the appliance: the gateway, kept running, with the console in front.

    Leaving the console or closing the terminal leaves the gateway running; `lapiswing up FILE --attach` opens it again,
    `lapiswing down FILE` ends all."""
    from lapiswing.appliance.supervise import Supervisor, holder_of

    if demo and not file:
        file, fleet = demo_files(port)
    if not file:
        raise InputError("a settings FILE is wanted, or --demo")
    file = Path(file).resolve()
    if not file.exists():
        raise InputError(f"{file}: No such file or directory")
    folder = state_of(file)
    if fleet is None and (file.parent / "fleet.json").exists() and file.parent.name.startswith("lapiswing-demo"):
        fleet = file.parent / "fleet.json"
    if foreground:
        Supervisor(folder, commands_of(file, folder, fleet)).run()
        return
    running = holder_of(folder)
    if attach and running is None:
        raise InputError(f"{file}: nothing runs; `lapiswing up {file}` starts it")
    if running is None:
        from lapiswing.settings import load_text

        read_settings(file, load_text)  # faults are told here, not only in a log
        begin(file, folder, fleet)
    if no_console or not sys.stdout.isatty():
        click.echo(
            f"Running: {file}\nState, logs and sockets: {folder}\n"
            f"  lapiswing status --at {folder / 'gateway.sock'}\n  lapiswing up {file} --attach\n  lapiswing down {file}"
        )
        return
    from lapiswing.console.app import run_console

    run_console(str(folder / "control.sock"), may_act=True, mono="NO_COLOR" in os.environ)
    click.echo(f"The gateway goes on. Back to it: lapiswing up {file} --attach; end it: lapiswing down {file}")


def begin(file, folder, fleet):
    """Starts the supervisor in a session of its own and waits until the gateway answers."""
    from lapiswing.admin.client import AdminError, ask

    os.makedirs(folder, mode=0o700, exist_ok=True)
    args = [sys.executable, "-m", "lapiswing", "up", str(file), "--foreground", *(["--fleet", str(fleet)] if fleet else [])]
    with open(folder / "supervisor.log", "ab") as log:
        process = subprocess.Popen(args, stdin=subprocess.DEVNULL, stdout=log, stderr=log, start_new_session=True)
    end = time.monotonic() + 20
    while time.monotonic() < end:
        try:
            ask(str(folder / "gateway.sock"), "GET", "/v1/verdict", timeout=1.0)
            return
        except AdminError:
            pass
        if process.poll() is not None:
            break
        try:
            rows = json.loads((folder / "status.json").read_text())["children"]
            if any(r["state"] == "bad settings" or r["deaths"] > 2 for r in rows):
                break
        except (OSError, ValueError, KeyError):
            pass
        time.sleep(0.05)
    from lapiswing.appliance.supervise import last_words

    words = "\n".join(last_words(folder / "gateway.log")[-5:])
    raise InputError(f"the gateway did not start; its last words:\n{words}\nLogs: {folder}")


def demo_files(port):
    from lapiswing.standin.demo import write_demo

    return write_demo(port, 5)


@click.command()
@click.argument("file", type=click.Path(dir_okay=False))
@click.option("--within-s", default=40.0, show_default=True)
def down(file, within_s):
    """End the appliance: running reqs finish first."""
    from lapiswing.appliance.supervise import holder_of

    folder = state_of(Path(file).resolve())
    pid = holder_of(folder)
    if pid is None:
        raise InputError(f"{file}: nothing runs")
    os.kill(pid, signal.SIGTERM)
    end = time.monotonic() + within_s
    while holder_of(folder) is not None:
        if time.monotonic() > end:
            raise click.ClickException(f"still running after {within_s:g} s: process {pid}")
        time.sleep(0.05)
    click.echo("Ended.")
