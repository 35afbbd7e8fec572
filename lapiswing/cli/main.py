"""ErrorReportingGroup for operators. Exit codes: 0 well, 1 something ran and went wrong, 2 a bad argument, file or setting."""

import json
import sys
from pathlib import Path

import click

from lapiswing import __version__
from lapiswing.cli.common import ErrorReportingGroup, InputError, read_settings, run_gateway
from lapiswing.cli.dns import boxes, dns_group
from lapiswing.cli.site import act, console, down, status, up
from lapiswing.cli.store import store
from lapiswing.cli.transfer import add_keys, transfer
from lapiswing.errors import CantListen


@click.group(cls=ErrorReportingGroup, context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(__version__, message="lapiswing %(version)s")
def main():
    """A router for language-model servers that read prompts and write answers on separate engines.

    \b
    New here?      lapiswing demo
    Own boxes?     write a settings file (docs/settings.md), then
                   lapiswing check FILE && lapiswing serve FILE
    """


@main.command()
@click.argument("file", type=click.Path(dir_okay=False))
@click.option("--json", "as_json", is_flag=True, help="One JSON object instead of text.")
def check(file, as_json):
    """Check a settings file; print every fault with its line and field."""
    from lapiswing.settings import SettingsError, load_boxes, load_text

    faults = []
    try:
        settings = load_text(Path(file).read_text(), file)
        if settings.boxes_file:
            boxes = Path(file).parent / settings.boxes_file
            try:
                load_boxes(boxes.read_text(), str(boxes), [k.name for k in settings.kind])
            except OSError as problem:
                raise InputError(f"{boxes}: {problem.strerror}") from None
    except (OSError, UnicodeDecodeError) as problem:
        raise InputError(f"{file}: {problem}") from None
    except SettingsError as problem:
        faults = problem.faults
    if as_json:
        click.echo(json.dumps({"file": file, "ok": not faults, "faults": [f._asdict() for f in faults]}))
    elif faults:
        for fault in faults:
            click.echo(str(fault), err=True)
    else:
        click.echo(f"{file}: good")
    sys.exit(2 if faults else 0)


@main.command()
@click.argument("file", type=click.Path(dir_okay=False))
@click.option(
    "--admin-folder",
    type=click.Path(file_okay=False),
    help="Where the admin sockets and the audit log go, if the settings do not say.",
)
def serve(file, admin_folder):
    """Run one gateway in the foreground.

    SIGTERM or Ctrl-C drains it: no new reqs, running ones end. A second one stops it at once. SIGHUP reads the
    boxes file again."""
    from lapiswing.gateway.serve import Gateway
    from lapiswing.observe import start_logs
    from lapiswing.settings import load_text

    settings = read_settings(file, load_text)
    if admin_folder:
        for field, name in (("path", "gateway.sock"), ("control_path", "control.sock"), ("audit_file", "audit.jsonl")):
            if not getattr(settings.admin, field):
                setattr(settings.admin, field, str(Path(admin_folder).resolve() / name))
        settings.store.folder = settings.store.folder or str(Path(admin_folder).resolve() / "store")
    log = start_logs(settings.log.level, settings.log.format, gateway=settings.gateway.name)
    gateway = Gateway(settings, log, base=str(Path(file).parent))
    run_gateway(gateway)


@main.command()
@click.argument("file", type=click.Path(dir_okay=False))
def standin(file):
    """Run stand-ins for boxes from a fleet file (JSON, see lapiswing/standin/fleet.py)."""
    from lapiswing.standin import Fleet, load_fleet

    try:
        value, specs = load_fleet(Path(file).read_bytes(), file)
    except OSError as problem:
        raise InputError(f"{file}: {problem}") from None
    run_fleet(value, specs, Fleet)


def run_fleet(value, specs, kind):
    import signal

    from lapiswing.loop import Clock, Loop
    from lapiswing.standin.record import Record

    loop = Loop(Clock())
    fleet = kind(loop, specs, value.get("seed", 1), value.get("models"), Record(loop, value.get("record")))
    try:
        fleet.start()
    except OSError as problem:
        raise CantListen("a box of the fleet", problem) from None
    fleet.play(value.get("script") or [], value.get("t0_us") or loop.clock.now_us())
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.on_signal(number, loop.stop)
    click.echo(json.dumps({"ready": sorted(fleet.boxes)}))
    sys.stdout.flush()
    loop.run()


@main.command()
@click.option("--port", default=8080, show_default=True, help="Where the gateway listens, on 127.0.0.1.")
@click.option("--boxes", default=5, show_default=True, help="Stand-in boxes: two in five read.")
def demo(port, boxes):
    """Start a gateway with stand-in boxes on this machine, and print a curl line that works."""
    from lapiswing.cli.demo import run_demo

    run_demo(port, boxes)


@main.command()
@click.option("--script", "names", default="all", show_default=True, help="A script's name, several with commas, or all.")
@click.option("--seed", default=1, show_default=True)
@click.option("--seeds", default=1, show_default=True, help="How many seeds, from --seed on.")
@click.option(
    "--router",
    default="module",
    show_default=True,
    help="What decides: the module, or a baseline (random, round-robin) to measure against.",
)
@click.option("--jobs", default=1, show_default=True, help="Days played at once.")
@click.option("--json", "as_json", is_flag=True, help="One JSON object a day.")
@click.option("--keep", type=click.Path(file_okay=False), help="A folder for the records of each day.")
def badday(names, seed, seeds, router, jobs, as_json, keep):
    """Play scripted bad days on loopback and judge the five rules from the traffic.

    Starts gateways, stand-in boxes and clients, injects the script, records what clients and boxes saw, and prints
    for each rule the cases seen, the worst figure, the limit and what broke. Exits with 1 where a rule broke, where a
    script's own trouble was not seen, or where a process died unasked."""
    from lapiswing.lab.doubles import ROUTERS
    from lapiswing.lab.scripts import SCRIPTS

    chosen = list(SCRIPTS) if names == "all" else names.split(",")
    for name in chosen:
        if name not in SCRIPTS:
            raise InputError(f"--script: {name!r} is none of {', '.join(SCRIPTS)}")
    if router not in ROUTERS:
        raise InputError(f"--router: {router!r} is none of {', '.join(ROUTERS)}")
    play_days([(SCRIPTS[name], n) for n in range(seed, seed + seeds) for name in chosen], router, jobs, as_json, keep)


def play_days(days, router, jobs, as_json, keep):
    from concurrent.futures import ProcessPoolExecutor

    from lapiswing.lab.play import play_one
    from lapiswing.lab.run import format_result, passed

    bad = 0
    with ProcessPoolExecutor(max(1, jobs)) as pool:
        for result in pool.map(play_one, [(make, n, router, keep) for make, n in days]):
            click.echo(json.dumps(result) if as_json else result if isinstance(result, str) else format_result(result))
            bad += isinstance(result, str) or not passed(result)
    if not as_json:
        click.echo(f"{len(days)} days, {bad} bad")
    sys.exit(1 if bad else 0)


@main.command()
@click.argument("files", nargs=-1, required=True, type=click.Path(dir_okay=False))
@click.option("--speed", default=1.0, show_default=True, type=click.FloatRange(0.1, 20), help="Times faster than the day.")
@click.option("--scale", default=1.0, show_default=True, type=click.FloatRange(0.05, 1), help="Part of boxes and traffic.")
@click.option("--seed", default=1, show_default=True, help="Of the traffic, which is drawn from the day's figures.")
@click.option("--router", default="module", show_default=True, help="The module, or a baseline: random, round-robin.")
@click.option("--jobs", default=1, show_default=True, help="Days played at once.")
@click.option("--json", "as_json", is_flag=True, help="One JSON object a day.")
@click.option("--keep", type=click.Path(file_okay=False), help="A folder for the records.")
def replay(files, speed, scale, seed, router, jobs, as_json, keep):
    """Play day files of the operators' bench through real sockets.

    Fleet, traffic, clients and troubles are mapped onto stand-ins; what can't be mapped is named. Prints the audit of
    the five rules and the service figure."""
    from functools import partial

    from lapiswing.lab.doubles import ROUTERS
    from lapiswing.lab.replay import load_day

    if router not in ROUTERS:
        raise InputError(f"--router: {router!r} is none of {', '.join(ROUTERS)}")
    days = []
    for file in files:
        try:
            text = Path(file).read_bytes()
            load_day(text, speed, scale, seed, file)
        except OSError as problem:
            raise InputError(f"{file}: {problem}") from None
        days.append((partial(load_day, text, speed, scale), seed))
    play_days(days, router, jobs, as_json, keep)


@main.group()
def keys():
    """Make keys for settings."""


@keys.command("session")
def session_key():
    """Print a new key for `sessions.token_key`.

    To rotate: put the new key in front and restart the gateways one by one; take the old one out when the longest
    session is over."""
    from cryptography.fernet import Fernet

    click.echo(Fernet.generate_key().decode())


add_keys(keys)
for command in (transfer, status, console, act, up, down, store, boxes, dns_group):
    main.add_command(command)


@main.command()
@click.argument("url", default="ws://127.0.0.1:8080/v1/chat/sessions")
@click.option("--key", default="demo", show_default=True, help="API key.")
@click.option("--model", default="menu-question", show_default=True)
@click.option("--raw", is_flag=True, help="Print each message as it comes.")
def session(url, key, model, raw):
    """Try a WebSocket session by hand: each line typed is a call.

    \b
    /drop     cut the connection and come back with the token
    /cancel   cancel the running call
    /quit     close the session"""
    from lapiswing.cli.session import run_session

    run_session(url, key, model, raw)
