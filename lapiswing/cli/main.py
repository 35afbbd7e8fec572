"""Commands for operators.

Exit codes: 0 success, 1 the command ran and failed, 2 a bad argument, file or setting; `status` has codes of its own."""

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
    """A router for language-model serving with separate prefill and decode servers.

    \b
    New here?      lapiswing demo
    Own servers?   write a settings file (docs/settings.md), then
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
            boxes_file = Path(file).parent / settings.boxes_file
            try:
                load_boxes(boxes_file.read_text(), str(boxes_file), [kind.name for kind in settings.kind])
            except OSError as problem:
                raise InputError(f"{boxes_file}: {problem.strerror}") from None
    except (OSError, UnicodeDecodeError) as problem:
        raise InputError(f"{file}: {problem}") from None
    except SettingsError as problem:
        faults = problem.faults
    if as_json:
        click.echo(json.dumps({"file": file, "ok": not faults, "faults": [fault._asdict() for fault in faults]}))
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
    help="Folder of the admin sockets, the audit log and the store where the settings name none.",
)
def serve(file, admin_folder):
    """Run one gateway in the foreground.

    SIGTERM or Ctrl-C drains it: it takes no new requests, and running ones finish. A second signal stops it at once.
    SIGHUP reads the boxes file again."""
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
    """Run stand-ins for model servers from a fleet file (JSON, see lapiswing/standin/fleet.py)."""
    from lapiswing.standin import Fleet, load_fleet

    try:
        description, specs = load_fleet(Path(file).read_bytes(), file)
    except OSError as problem:
        raise InputError(f"{file}: {problem}") from None
    run_fleet(description, specs, Fleet)


def run_fleet(description, specs, fleet_class):
    """Runs stand-ins until a signal stops them; prints one JSON line when all listen. Raises CantListen."""
    import signal

    from lapiswing.loop import Clock, Loop
    from lapiswing.standin.record import Record

    loop = Loop(Clock())
    fleet = fleet_class(
        loop, specs, description.get("seed", 1), description.get("models"), Record(loop, description.get("record"))
    )
    try:
        fleet.start()
    except OSError as problem:
        raise CantListen("a server of the fleet", problem) from None
    fleet.play(description.get("script") or [], description.get("t0_us") or loop.clock.now_us())
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.on_signal(signal_number, loop.stop)
    click.echo(json.dumps({"ready": sorted(fleet.boxes)}))
    sys.stdout.flush()
    loop.run()


@main.command()
@click.option("--port", default=8080, show_default=True, help="The gateway's port on 127.0.0.1.")
@click.option("--boxes", default=5, show_default=True, help="Number of stand-in servers, two in five of them readers (prefill).")
def demo(port, boxes):
    """Start a gateway with stand-in servers on this machine, and print a curl command to try."""
    from lapiswing.cli.demo import run_demo

    run_demo(port, boxes)


@main.command()
@click.option("--script", "names", default="all", show_default=True, help="Names of scripts, separated by commas, or all.")
@click.option("--seed", default=1, show_default=True)
@click.option("--seeds", default=1, show_default=True, help="Number of seeds, counted up from --seed.")
@click.option(
    "--router",
    default="module",
    show_default=True,
    help="What routes: the routing module, or a baseline for comparison (random, round-robin).",
)
@click.option("--jobs", default=1, show_default=True, help="Days played in parallel.")
@click.option("--json", "as_json", is_flag=True, help="One JSON object per day.")
@click.option("--keep", type=click.Path(file_okay=False), help="Folder that keeps the records of each day.")
def badday(names, seed, seeds, router, jobs, as_json, keep):
    """Play scripted bad days on loopback and check the five rules on the recorded traffic.

    Starts gateways, stand-in servers and clients, injects the script's faults, records what clients and servers saw, and
    prints for each rule the cases seen, the worst figure, the limit and the violations. Exits with 1 if a rule was
    violated, if a fault that the script injects did not show in the records, or if a process ended unexpectedly."""
    from lapiswing.lab.doubles import ROUTERS
    from lapiswing.lab.scripts import SCRIPTS

    chosen = list(SCRIPTS) if names == "all" else names.split(",")
    for name in chosen:
        if name not in SCRIPTS:
            raise InputError(f"--script: {name!r} is none of {', '.join(SCRIPTS)}")
    if router not in ROUTERS:
        raise InputError(f"--router: {router!r} is none of {', '.join(ROUTERS)}")
    play_days(
        [(SCRIPTS[name], day_seed) for day_seed in range(seed, seed + seeds) for name in chosen], router, jobs, as_json, keep
    )


def play_days(days, router, jobs, as_json, keep):
    """Plays days, each (function of the seed that builds it, seed); prints the results and exits with 1 if one failed."""
    from concurrent.futures import ProcessPoolExecutor

    from lapiswing.lab.play import play_one
    from lapiswing.lab.run import format_result, passed

    failed = 0
    with ProcessPoolExecutor(max(1, jobs)) as pool:
        for result in pool.map(play_one, [(build_day, seed, router, keep) for build_day, seed in days]):
            click.echo(json.dumps(result) if as_json else result if isinstance(result, str) else format_result(result))
            failed += isinstance(result, str) or not passed(result)
    if not as_json:
        click.echo(f"{len(days)} days, {failed} bad")
    sys.exit(1 if failed else 0)


@main.command()
@click.argument("files", nargs=-1, required=True, type=click.Path(dir_okay=False))
@click.option(
    "--speed", default=1.0, show_default=True, type=click.FloatRange(0.1, 20), help="How many times faster than real time."
)
@click.option(
    "--scale", default=1.0, show_default=True, type=click.FloatRange(0.05, 1), help="Fraction of the day's servers and traffic."
)
@click.option("--seed", default=1, show_default=True, help="Seed of the traffic, which is drawn from the day's figures.")
@click.option("--router", default="module", show_default=True, help="The routing module, or a baseline: random, round-robin.")
@click.option("--jobs", default=1, show_default=True, help="Days played in parallel.")
@click.option("--json", "as_json", is_flag=True, help="One JSON object per day.")
@click.option("--keep", type=click.Path(file_okay=False), help="Folder that keeps the records of each day.")
def replay(files, speed, scale, seed, router, jobs, as_json, keep):
    """Play day files of the platform's simulator through real sockets.

    Fleet, traffic, clients and faults are mapped onto stand-ins; what can't be mapped is listed. Prints the audit of
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

    To rotate: put the new key first and restart the gateways one by one; remove the old key when the longest session
    is over."""
    from cryptography.fernet import Fernet

    click.echo(Fernet.generate_key().decode())


add_keys(keys)
for command in (transfer, status, console, act, up, down, store, boxes, dns_group):
    main.add_command(command)


@main.command()
@click.argument("url", default="ws://127.0.0.1:8080/v1/chat/sessions")
@click.option("--key", default="demo", show_default=True, help="API key.")
@click.option("--model", default="menu-question", show_default=True)
@click.option("--raw", is_flag=True, help="Print each message as it arrives.")
def session(url, key, model, raw):
    """Try a WebSocket session by hand: each line that you type is sent as a call.

    \b
    /drop     cut the connection and resume with the token
    /cancel   cancel the running call
    /quit     close the session"""
    from lapiswing.cli.session import run_session

    run_session(url, key, model, raw)
