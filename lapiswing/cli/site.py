"""Commands for the operators of a site: status, console, act, up, down."""

import json
import os
import signal
import subprocess
import sys
import time
from pathlib import Path

import click

from lapiswing.cli.common import InputError, at_option, key_option, read_settings

EXIT_CODE_BY_LEVEL = {0: 0, 1: 0, 2: 3, 3: 4}  # of the verdict
EXIT_CODE_NO_ANSWER = 5


@click.command()
@at_option
@key_option
@click.option("--json", "as_json", is_flag=True)
def status(where, key, as_json):
    """Print the state of the gateway and its findings once.

    Exit codes: 0 good, 3 a warning, 4 something serious, 5 no answer."""
    from lapiswing.admin.client import AdminError, ask
    from lapiswing.console.text import age, clean

    try:
        verdict = ask(where, "GET", "/v1/verdict", key=key)
    except AdminError as problem:
        if as_json:
            click.echo(json.dumps({"error": str(problem)}))
        else:
            click.echo(f"No answer: {clean(problem)}\nTo do: {problem.advice}", err=True)
        sys.exit(EXIT_CODE_NO_ANSWER)
    if as_json:
        click.echo(json.dumps(verdict))
    else:
        click.echo(clean(verdict["verdict"]["text"]))
        for finding in verdict["findings"]:
            subject = f"{clean(finding['subject'])}: " if finding["subject"] else ""
            click.echo(
                f"- {subject}{clean(finding['cause'])}, for {age(verdict['unix_ms'] - finding['since_unix_ms'])}. "
                f"{clean(finding['evidence'])}.\n"
                f"  do: {clean(finding['do'])}"
            )
    sys.exit(EXIT_CODE_BY_LEVEL[verdict["verdict"]["level"]])


@click.command()
@at_option
@key_option
@click.option("--mono", is_flag=True, help="No colours, plain characters.")
@click.option("--read-only", is_flag=True, help="Don't use the control socket next to the admin socket.")
def console(where, key, mono, read_only):
    """Watch a gateway on the terminal. It can be opened and closed at any time; `?` lists its keys."""
    control = where
    if "/" in where or not where.rpartition(":")[2].isdigit():
        control_socket = Path(where).with_name("control.sock")
        if not read_only and Path(where).name == "gateway.sock" and os.access(control_socket, os.W_OK):
            control = str(control_socket)
        if not os.path.exists(control) and not os.path.exists(where):
            raise InputError(f"{where}: no such socket; `admin.path` in the settings names it")
    if not sys.stdout.isatty():
        raise InputError("the console needs a terminal; `lapiswing status` works without one")
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
    """Act on a running gateway; each action is written to its audit log."""
    context.obj = where, key


def send_action(context, action):
    """Sends an action to the gateway of `act` and prints its answer. Raises AdminError."""
    from lapiswing.admin.client import ask

    where, key = context.obj
    click.echo(ask(where, "POST", "/v1/actions", action, key)["done"])


@act.command()
@click.argument("box")
@click.pass_context
def drain(context, box):
    """Send no new requests to a server; those that it has begun finish."""
    send_action(context, {"act": "drain", "what": box})


@act.command("take-back")
@click.argument("box")
@click.pass_context
def take_back(context, box):
    """End an operator's drain."""
    send_action(context, {"act": "take-back", "what": box})


@act.command()
@click.argument("tenant")
@click.argument("rps", type=float)
@click.option("--minutes", default=60.0, show_default=True)
@click.pass_context
def cap(context, tenant, rps, minutes):
    """Limit a tenant to RPS requests per second at this gateway, for --minutes."""
    send_action(context, {"act": "cap", "what": tenant, "rps": rps, "minutes": minutes})


@act.command()
@click.argument("tenant")
@click.pass_context
def uncap(context, tenant):
    """Lift a cap."""
    send_action(context, {"act": "uncap", "what": tenant})


@act.command("acknowledge")
@click.argument("kind")
@click.argument("subject", default="")
@click.pass_context
def acknowledge(context, kind, subject):
    """List a finding after the others until it ends."""
    send_action(context, {"act": "acknowledge", "kind": kind, "what": subject})


@act.command("drain-gateway")
@click.pass_context
def drain_gateway(context):
    """Drain the gateway and end it: it takes no new requests, and running ones finish."""
    send_action(context, {"act": "drain-gateway"})


# ---- the appliance


def state_folder(file):
    """-> the folder of the appliance's state, logs and sockets, next to its settings file."""
    path = Path(file)
    return path.with_name(path.name + ".state")


def process_commands(file, folder, fleet=None):
    """-> (name, command line, settings file or None) of each process that the supervisor keeps running."""
    program = [sys.executable, "-m", "lapiswing"]
    commands = [("gateway", [*program, "serve", str(file), "--admin-folder", str(folder)], str(file))]
    if fleet:
        commands.insert(0, ("stand-ins", [*program, "standin", str(fleet)], None))
    return commands


@click.command()
@click.argument("file", required=False, type=click.Path(dir_okay=False))
@click.option("--demo", is_flag=True, help="Without FILE: run stand-in servers on this machine.")
@click.option("--port", default=8080, show_default=True, help="Port of the demo's gateway.")
@click.option("--attach", is_flag=True, help="Only open the console; fails if the appliance does not run.")
@click.option("--no-console", is_flag=True, help="Start, print where it runs, and return.")
@click.option("--foreground", is_flag=True, hidden=True)
@click.option("--fleet", type=click.Path(), hidden=True)
def up(file, demo, port, attach, no_console, foreground, fleet):
    """Run the appliance: a gateway that is restarted when it ends, and the console.

    Leaving the console or closing the terminal leaves the gateway running; `lapiswing up FILE --attach` opens the
    console again, `lapiswing down FILE` ends the appliance."""
    from lapiswing.appliance.supervise import Supervisor, holder_of

    if demo and not file:
        file, fleet = demo_files(port)
    if not file:
        raise InputError("a settings FILE or --demo is required")
    file = Path(file).resolve()
    if not file.exists():
        raise InputError(f"{file}: No such file or directory")
    folder = state_folder(file)
    if fleet is None and (file.parent / "fleet.json").exists() and file.parent.name.startswith("lapiswing-demo"):
        fleet = file.parent / "fleet.json"
    if foreground:
        Supervisor(folder, process_commands(file, folder, fleet)).run()
        return
    running = holder_of(folder)
    if attach and running is None:
        raise InputError(f"{file}: nothing runs; `lapiswing up {file}` starts it")
    if running is None:
        from lapiswing.settings import load_text

        read_settings(file, load_text)  # reports faults here, not only in the gateway's log
        start_appliance(file, folder, fleet)
    if no_console or not sys.stdout.isatty():
        click.echo(
            f"Running: {file}\nState, logs and sockets: {folder}\n"
            f"  lapiswing status --at {folder / 'gateway.sock'}\n  lapiswing up {file} --attach\n  lapiswing down {file}"
        )
        return
    from lapiswing.console.app import run_console

    run_console(str(folder / "control.sock"), may_act=True, mono="NO_COLOR" in os.environ)
    click.echo(
        f"The gateway keeps running. To open the console again: lapiswing up {file} --attach; to end it: lapiswing down {file}"
    )


def start_appliance(file, folder, fleet):
    """Starts the supervisor in a session of its own and waits until the gateway answers. Raises InputError."""
    from lapiswing.admin.client import AdminError, ask

    os.makedirs(folder, mode=0o700, exist_ok=True)
    args = [sys.executable, "-m", "lapiswing", "up", str(file), "--foreground", *(["--fleet", str(fleet)] if fleet else [])]
    with open(folder / "supervisor.log", "ab") as log:
        process = subprocess.Popen(args, stdin=subprocess.DEVNULL, stdout=log, stderr=log, start_new_session=True)
    deadline = time.monotonic() + 20
    while time.monotonic() < deadline:
        try:
            ask(str(folder / "gateway.sock"), "GET", "/v1/verdict", timeout=1.0)
            return
        except AdminError:
            pass
        if process.poll() is not None:
            break
        try:
            rows = json.loads((folder / "status.json").read_text())["children"]
            if any(row["state"] == "bad settings" or row["deaths"] > 2 for row in rows):
                break
        except (OSError, ValueError, KeyError):
            pass
        time.sleep(0.05)
    from lapiswing.appliance.supervise import last_words

    log_lines = "\n".join(last_words(folder / "gateway.log")[-5:])
    raise InputError(f"the gateway did not start; the last lines of its log:\n{log_lines}\nLogs: {folder}")


def demo_files(port):
    """-> the paths of settings and fleet of a demo with five stand-in servers."""
    from lapiswing.standin.demo import write_demo

    return write_demo(port, 5)


@click.command()
@click.argument("file", type=click.Path(dir_okay=False))
@click.option("--within-s", default=40.0, show_default=True)
def down(file, within_s):
    """End the appliance; running requests finish first."""
    from lapiswing.appliance.supervise import holder_of

    folder = state_folder(Path(file).resolve())
    pid = holder_of(folder)
    if pid is None:
        raise InputError(f"{file}: nothing runs")
    os.kill(pid, signal.SIGTERM)
    deadline = time.monotonic() + within_s
    while holder_of(folder) is not None:
        if time.monotonic() > deadline:
            raise click.ClickException(f"still running after {within_s:g} s: process {pid}")
        time.sleep(0.05)
    click.echo("Ended.")
