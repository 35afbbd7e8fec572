"""`lapiswing transfer` and the parts of `lapiswing keys` that belong to it."""

import json
import os
import sys
import time
from pathlib import Path

import click

from lapiswing.cli.common import InputError, print_rows, read_settings
from lapiswing.errors import CantListen

MB = 1 << 20


def address(_context, _parameter, value):
    from lapiswing.loop import address_of

    try:
        return [address_of(v) for v in value] if isinstance(value, tuple) else address_of(value)
    except ValueError as problem:
        raise click.BadParameter(str(problem)) from None


def identity(command):
    """Options of who we are towards other agents."""
    for option in (
        click.option("--as", "name", default="operator", show_default=True, help="Our name, as in the certificate."),
        click.option("--key-file", type=click.Path(dir_okay=False), help="A file with a key of the fleet."),
        click.option(
            "--tls",
            "folder",
            type=click.Path(file_okay=False),
            help="A folder with NAME.crt, NAME.key and authority.crt, as `lapiswing keys` makes them.",
        ),
    ):
        command = option(command)
    return command


def agent_of(name, key_file, folder, memory=1 << 40):
    from lapiswing.loop import Clock, Loop
    from lapiswing.transfer.agent import Agent
    from lapiswing.transfer.certificates import Tls

    keys, tls = [], None
    if key_file:
        try:
            keys = [line.encode() for line in Path(key_file).read_text().split()]
        except (OSError, UnicodeDecodeError) as problem:
            raise InputError(f"{key_file}: {problem}") from None
        if not keys:
            raise InputError(f"{key_file}: holds no key")
    if folder:
        tls = Tls(Path(folder, f"{name}.crt"), Path(folder, f"{name}.key"), Path(folder, "authority.crt"), name)
    return Agent(Loop(Clock()), name, keys, memory, tls=tls)


class Progress:
    """A line on standard error: rewritten on a terminal, now and then elsewhere."""

    def __init__(self, quiet=False):
        self.tty, self.quiet, self.told, self.last = sys.stderr.isatty(), quiet, 0.0, None

    def tell(self, done, total, text=""):
        now = time.monotonic()
        if self.quiet or not total or now - self.told < (0.1 if self.tty else 2.0):
            return
        rate = ""
        if self.last and now > self.last[0]:
            rate = f"  {(done - self.last[1]) / MB / (now - self.last[0]):.0f} MB/s"
        self.told, self.last = now, (now, done)
        bar = "#" * round(30 * done / total)
        line = f"[{bar:<30}] {100 * done / total:3.0f} %  {done / MB:.1f} of {total / MB:.1f} MB{rate}  {text}"
        click.echo(("\r\x1b[K" if self.tty else "") + line, err=True, nl=not self.tty)

    def end(self):
        if self.tty and self.last:
            click.echo("", err=True)


@click.group()
def transfer():
    """Move read states between boxes, and look at agents that do."""


@transfer.command("agent")
@click.argument("file", type=click.Path(dir_okay=False))
def run_agent(file):
    """Run the transfer agent of one box in the foreground.

    FILE holds its settings (message TransferAgent, see docs/transfer.md). SIGTERM lets running moves end; SIGHUP reads keys
    and certificates again."""
    from lapiswing.observe import start_logs
    from lapiswing.settings import load_agent
    from lapiswing.transfer.serve import Program

    def read():
        return load_agent(Path(file).read_text(), str(file))

    settings = read_settings(file, load_agent)
    log = start_logs(settings.log.level, settings.log.format, agent=settings.name)
    try:
        program = Program(settings, log, base=str(Path(file).parent), reload_settings=read)
        program.watch_signals()  # before it says that it listens: a signal then must find its handler
        program.start()
    except OSError as problem:
        if problem.filename:
            raise InputError(f"{file}: {problem.filename}: {problem.strerror}") from None
        raise CantListen(f"{file}: listen or control", problem) from None
    program.loop.run()
    program.close()


@transfer.command()
@click.argument("file", type=click.Path(dir_okay=False))
@click.option("--name", "state", help="The state's name; the file's own by default.")
@click.option("--listen", default="127.0.0.1:0", show_default=True, help="host:port; port 0 takes a free one.")
@click.option("--times", default=1, show_default=True, type=click.IntRange(1), help="Receivers to wait for.")
@click.option("--for-s", default=600.0, show_default=True, help="Seconds to wait for them.")
@click.option("--quiet", is_flag=True)
@identity
def send(file, state, listen, times, for_s, quiet, name, key_file, folder):
    """Offer one file as a state until it was taken."""
    host, _, port = listen.rpartition(":")
    if not host or not port.isdigit() or int(port) > 65535:
        raise InputError(f"--listen: {listen!r} is not host:port")
    agent = agent_of(name, key_file, folder)
    loop, state, taken, out = agent.loop, state or Path(file).name, [], []
    agent.put_file(state, file, lambda s, why: out.append((s, why)))
    loop.run_until(lambda: out, 1 << 50)
    if out[0][0] is None:
        raise InputError(f"{file}: {out[0][1]}")
    manifest, progress = out[0][0].manifest, Progress(quiet)
    try:
        where = agent.listen(host, int(port))
    except OSError as problem:
        raise InputError(f"--listen: {listen}: {problem.strerror}") from None
    agent.on_taken = taken.append
    click.echo(f"{state}: {manifest.length} bytes, root {manifest.root.hex()}, at {where[0]}:{where[1]}")
    sys.stdout.flush()

    def look():
        moves = [(t, s.peer_hello.agent) for s in agent.servers if s.ready for t in s.sender.transfers.values()]
        for one, to in moves[:1]:
            progress.tell(one.verified * manifest.chunk, manifest.length, f"to {to}")
        return len(taken) >= times

    done = loop.run_until(look, round(for_s * 1e6))
    progress.end()
    agent.close()
    if not done:
        raise click.ClickException(f"taken {len(taken)} of {times} times within {for_s:g} s")
    click.echo(f"taken {times} time{'s' * (times != 1)}")


@transfer.command()
@click.argument("state")
@click.option(
    "--from",
    "holders",
    multiple=True,
    required=True,
    callback=address,
    help="host:port of a holder; several may be given, the next goes on where one fails.",
)
@click.option(
    "--to", "folder_to", default=".", show_default=True, type=click.Path(file_okay=False), help="Folder where it lands."
)
@click.option("--within-s", default=600.0, show_default=True, help="Seconds that it may take.")
@click.option("--quiet", is_flag=True)
@identity
def fetch(state, holders, folder_to, within_s, quiet, name, key_file, folder):
    """Fetch a state into a folder; what an earlier try has left there is gone on with."""
    from lapiswing.transfer.states import file_name

    try:
        file_name(state)
    except ValueError as problem:
        raise InputError(str(problem)) from None
    if not os.path.isdir(folder_to):
        raise InputError(f"--to: {folder_to}: no such folder")
    agent = agent_of(name, key_file, folder)
    loop, progress, now = agent.loop, Progress(quiet), agent.loop.clock.now_us()
    move = agent.fetch(state, holders, now, now + round(within_s * 1e6), lambda f: None, folder=folder_to, keep=True)

    def look():
        manifest = move.receiver.manifest
        if manifest:
            done = manifest.length - min(move.receiver.left(), manifest.length)
            progress.tell(done, manifest.length, f"from {move.link.address[0]}:{move.link.address[1]}" if move.link else "")
        return move.is_finished

    try:
        loop.run_until(look, round(within_s * 1e6) + 1_000_000)
    except KeyboardInterrupt:
        agent.close()
        progress.end()
        raise click.ClickException("stopped; what is verified stays in the folder") from None
    progress.end()
    agent.close()
    if move.why is not None:
        raise click.ClickException(f"{state}: {move.why}; what is verified stays in {folder_to}")
    found = agent.counts["chunks found again"]
    seconds = (loop.clock.now_us() - move.start_us) / 1e6
    click.echo(
        f"{move.path}: {move.receiver.manifest.length} bytes in {seconds:.2f} s, breaks {move.breaks}"
        + (f", {found} chunks found from before" if found else "")
    )


@transfer.command()
@click.argument("what")
@click.option("--json", "as_json", is_flag=True)
@click.option("--within-s", default=3.0, show_default=True)
@identity
def inspect(what, as_json, within_s, name, key_file, folder):
    """Look at a folder of states, or, by host:port, at an agent: what it holds, and how far away it is."""
    if os.path.isdir(what):
        from lapiswing.transfer.serve import folder_rows

        rows = folder_rows(what)
        for row in rows:
            row["state"] = (
                "damaged manifest"
                if row["bytes"] is None
                else "on its way"
                if row["part"]
                else ("whole" if row["here"] == row["bytes"] else "file missing or of another length")
            )
        return print_rows(rows, as_json, ("name", "bytes", "state", "root"))
    from lapiswing.transfer.frames import MAX_LISTED_STATES
    from lapiswing.loop import address_of

    try:
        where = address_of(what)
    except ValueError:
        raise InputError(f"{what!r} is neither a folder nor host:port") from None
    agent = agent_of(name, key_file, folder)
    loop, out, start = agent.loop, [], time.monotonic()
    agent.attach_to_holder(where, Probe(out))
    if not loop.run_until(lambda: out, round(within_s * 1e6)):
        raise click.ClickException(f"{what}: no answer within {within_s:g} s")
    if isinstance(out[0], str):
        raise click.ClickException(f"{what}: {out[0]}")
    link, ready = out[0], time.monotonic()
    theirs = link.peer_hello
    head = {
        "agent": theirs.agent,
        "version": theirs.version,
        "features": theirs.features,
        "certificate": link.stream.peer_names() if agent.tls else None,
        "ready_ms": round((ready - start) * 1e3, 1),
    }
    states = []
    if "list" in theirs.features:
        asked = time.monotonic()
        link.ask_list(states.append)
        if loop.run_until(lambda: states or link.stream.closed, round(within_s * 1e6)) and states:
            head["round_trip_ms"] = round((time.monotonic() - asked) * 1e3, 1)
    agent.close()
    rows = [{"name": n, "bytes": size, "root": root.hex()} for n, size, root in states[0].states] if states else []
    if as_json:
        return click.echo(json.dumps(head | {"total": states[0].total if states else None, "states": rows}))
    for key, value in head.items():
        if value is not None:
            click.echo(f"{key.replace('_', ' '):14} {', '.join(value) if isinstance(value, list) else value}")
    print_rows(rows, False, ("name", "bytes", "root"))
    if states and states[0].total > MAX_LISTED_STATES:
        click.echo(f"... and {states[0].total - MAX_LISTED_STATES} more")


class Probe:
    """Waits for a link as a fetch does, and wants no state of it."""

    link = None

    def __init__(self, out):
        self.out, self.receiver = out, self

    def on_link_failed(self, _holder, why, final=False):
        if not self.out:
            self.out.append(why)

    def on_link_ready(self, link):
        self.out.append(link)

    def connection_lost(self):
        pass


# ---- keys


def add_keys(keys):
    @keys.command("transfer")
    def transfer_key():
        """Print a new key for `key` of transfer agents.

        To rotate: add the new one behind the old everywhere, then put it in front everywhere, then take the old one out; SIGHUP
        after each step."""
        import secrets

        click.echo(secrets.token_urlsafe(32))

    @keys.command()
    @click.argument("folder", type=click.Path(file_okay=False))
    @click.option("--name", default="fleet", show_default=True)
    @click.option("--days", default=3650, show_default=True, type=click.IntRange(1))
    def authority(folder, name, days):
        """Make the fleet's own authority: FOLDER/authority.key and authority.crt.

        Keep the key away from the boxes; they need the certificate only. To change it: append the new certificate to every
        agent's authority.crt, give agents certificates of the new one, then take the old one out."""
        from lapiswing.transfer.certificates import make_authority, write_secret

        key, certificate = make_authority(name, days)
        write_pair(folder, "authority", key, certificate, write_secret)

    @keys.command("agent")
    @click.argument("folder", type=click.Path(file_okay=False))
    @click.argument("name")
    @click.option("--days", default=90, show_default=True, type=click.IntRange(1))
    @click.option("--renew", is_flag=True, help="Replace what is there.")
    def agent_key(folder, name, days, renew):
        """Make an agent's key and certificate, signed by the authority in FOLDER: FOLDER/NAME.key and NAME.crt."""
        from lapiswing.transfer.certificates import issue, write_secret

        if not name or not name.replace("-", "").replace(".", "").replace("_", "").isalnum() or name == "authority":
            raise InputError(f"{name!r} can't be an agent's name: letters, digits, dot, dash and underscore are taken")
        try:
            key, certificate = issue(
                Path(folder, "authority.key").read_bytes(), Path(folder, "authority.crt").read_bytes(), name, days
            )
        except OSError as problem:
            raise InputError(f"{problem.filename}: {problem.strerror}; `lapiswing keys authority {folder}` makes one") from None
        except ValueError as problem:
            raise InputError(f"{folder}: {problem}") from None
        if renew:
            for end in (".key", ".crt"):
                Path(folder, name + end).unlink(missing_ok=True)
        write_pair(folder, name, key, certificate, write_secret)

    @keys.command("check")
    @click.argument("folder", type=click.Path(file_okay=False))
    @click.argument("name")
    def check_keys(folder, name):
        """Say whether an agent NAME can be run with the files in FOLDER, and for how long."""
        from lapiswing.transfer.certificates import check

        days = check(Path(folder, f"{name}.crt"), Path(folder, f"{name}.key"), Path(folder, "authority.crt"), name)
        click.echo(f"{name}: good for {days} days")


def write_pair(folder, name, key, certificate, write):
    try:
        Path(folder).mkdir(parents=True, exist_ok=True)
        for end, data in ((".key", key), (".crt", certificate)):
            if Path(folder, name + end).exists():
                raise InputError(f"{Path(folder, name + end)}: is there already")
        for end, data in ((".key", key), (".crt", certificate)):
            write(Path(folder, name + end), data)
            click.echo(str(Path(folder, name + end)))
    except OSError as problem:
        raise InputError(f"{problem.filename}: {problem.strerror}") from None
