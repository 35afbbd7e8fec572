"""`lapiswing transfer`, and the commands of `lapiswing keys` for transfer agents."""

import json
import os
import sys
import time
from pathlib import Path

import click

from lapiswing.cli.common import InputError, print_rows, read_settings
from lapiswing.errors import CantListen

BYTES_PER_MB = 1 << 20


def address(_context, _parameter, value):
    """Callback of options: host:port, or each of a tuple of them, -> addresses. Raises click.BadParameter."""
    from lapiswing.loop import address_of

    try:
        return [address_of(text) for text in value] if isinstance(value, tuple) else address_of(value)
    except ValueError as problem:
        raise click.BadParameter(str(problem)) from None


def identity(command):
    """Adds the options that say how this command identifies itself to agents."""
    for option in (
        click.option("--as", "name", default="operator", show_default=True, help="Name of this agent, as in its certificate."),
        click.option("--key-file", type=click.Path(dir_okay=False), help="File with the fleet's keys."),
        click.option(
            "--tls",
            "folder",
            type=click.Path(file_okay=False),
            help="Folder with NAME.crt, NAME.key and authority.crt, as `lapiswing keys` makes them.",
        ),
    ):
        command = option(command)
    return command


def make_agent(name, key_file, folder, memory_bytes=1 << 40):
    """-> a transfer agent on a loop of its own, identified as the options say. Raises InputError."""
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
    return Agent(Loop(Clock()), name, keys, memory_bytes, tls=tls)


class Progress:
    """A progress line on standard error: rewritten in place on a terminal, repeated every 2 s elsewhere."""

    def __init__(self, quiet=False):
        self.tty, self.quiet, self.printed_s, self.last = sys.stderr.isatty(), quiet, 0.0, None

    def update(self, done, total, text=""):
        """Prints the progress, `done` of `total` bytes, and the rate since the last line, unless one was printed lately."""
        now = time.monotonic()
        if self.quiet or not total or now - self.printed_s < (0.1 if self.tty else 2.0):
            return
        rate = ""
        if self.last and now > self.last[0]:
            rate = f"  {(done - self.last[1]) / BYTES_PER_MB / (now - self.last[0]):.0f} MB/s"
        self.printed_s, self.last = now, (now, done)
        bar = "#" * round(30 * done / total)
        line = (
            f"[{bar:<30}] {100 * done / total:3.0f} %  {done / BYTES_PER_MB:.1f} of {total / BYTES_PER_MB:.1f} MB{rate}  {text}"
        )
        click.echo(("\r\x1b[K" if self.tty else "") + line, err=True, nl=not self.tty)

    def end(self):
        """Ends the rewritten line on a terminal."""
        if self.tty and self.last:
            click.echo("", err=True)


@click.group()
def transfer():
    """Move read (prefill) states between servers, and inspect the agents that do so."""


@transfer.command("agent")
@click.argument("file", type=click.Path(dir_okay=False))
def run_agent(file):
    """Run the transfer agent of one server in the foreground.

    FILE holds its settings (message TransferAgent, see docs/transfer.md). SIGTERM lets running transfers finish; SIGHUP
    reads keys and certificates again."""
    from lapiswing.observe import start_logs
    from lapiswing.settings import load_agent
    from lapiswing.transfer.serve import Program

    def reload_settings():
        return load_agent(Path(file).read_text(), str(file))

    settings = read_settings(file, load_agent)
    log = start_logs(settings.log.level, settings.log.format, agent=settings.name)
    try:
        program = Program(settings, log, base=str(Path(file).parent), reload_settings=reload_settings)
        program.watch_signals()  # before it reports that it listens: from then on, signals must be handled
        program.start()
    except OSError as problem:
        if problem.filename:
            raise InputError(f"{file}: {problem.filename}: {problem.strerror}") from None
        raise CantListen(f"{file}: listen or control", problem) from None
    program.loop.run()
    program.close()


@transfer.command()
@click.argument("file", type=click.Path(dir_okay=False))
@click.option("--name", "state", help="Name of the state; the file's name by default.")
@click.option("--listen", default="127.0.0.1:0", show_default=True, help="host:port to listen on; port 0 takes a free port.")
@click.option("--times", default=1, show_default=True, type=click.IntRange(1), help="Number of receivers to wait for.")
@click.option("--for-s", default=600.0, show_default=True, help="Seconds to wait for them.")
@click.option("--quiet", is_flag=True)
@identity
def send(file, state, listen, times, for_s, quiet, name, key_file, folder):
    """Offer one file as a state until receivers have fetched it."""
    host, _, port = listen.rpartition(":")
    if not host or not port.isdigit() or int(port) > 65535:
        raise InputError(f"--listen: {listen!r} is not host:port")
    agent = make_agent(name, key_file, folder)
    loop, state, taken, results = agent.loop, state or Path(file).name, [], []
    agent.put_file(state, file, lambda held_state, why: results.append((held_state, why)))
    loop.run_until(lambda: results, 1 << 50)
    if results[0][0] is None:
        raise InputError(f"{file}: {results[0][1]}")
    manifest, progress = results[0][0].manifest, Progress(quiet)
    try:
        where = agent.listen(host, int(port))
    except OSError as problem:
        raise InputError(f"--listen: {listen}: {problem.strerror}") from None
    agent.on_taken = taken.append
    click.echo(f"{state}: {manifest.length} bytes, root {manifest.root.hex()}, at {where[0]}:{where[1]}")
    sys.stdout.flush()

    def report_progress():
        running = [
            (sending, link.peer_hello.agent) for link in agent.servers if link.ready for sending in link.sender.transfers.values()
        ]
        for sending, receiver in running[:1]:
            progress.update(sending.verified * manifest.chunk, manifest.length, f"to {receiver}")
        return len(taken) >= times

    done = loop.run_until(report_progress, round(for_s * 1e6))
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
    help="host:port of an agent that holds the state; may be repeated, the next is used when one fails.",
)
@click.option(
    "--to", "folder_to", default=".", show_default=True, type=click.Path(file_okay=False), help="Folder to store the state in."
)
@click.option("--within-s", default=600.0, show_default=True, help="Time limit in seconds.")
@click.option("--quiet", is_flag=True)
@identity
def fetch(state, holders, folder_to, within_s, quiet, name, key_file, folder):
    """Fetch a state into a folder; chunks that an earlier try left there are used again."""
    from lapiswing.transfer.states import file_name

    try:
        file_name(state)
    except ValueError as problem:
        raise InputError(str(problem)) from None
    if not os.path.isdir(folder_to):
        raise InputError(f"--to: {folder_to}: no such folder")
    agent = make_agent(name, key_file, folder)
    loop, progress, now = agent.loop, Progress(quiet), agent.loop.clock.now_us()
    running_fetch = agent.fetch(
        state, holders, now, now + round(within_s * 1e6), lambda _fetch: None, folder=folder_to, keep=True
    )

    def report_progress():
        manifest = running_fetch.receiver.manifest
        if manifest:
            done = manifest.length - min(running_fetch.receiver.left(), manifest.length)
            progress.update(
                done,
                manifest.length,
                f"from {running_fetch.link.address[0]}:{running_fetch.link.address[1]}" if running_fetch.link else "",
            )
        return running_fetch.is_finished

    try:
        loop.run_until(report_progress, round(within_s * 1e6) + 1_000_000)
    except KeyboardInterrupt:
        agent.close()
        progress.end()
        raise click.ClickException("stopped; what is verified stays in the folder") from None
    progress.end()
    agent.close()
    if running_fetch.why is not None:
        raise click.ClickException(f"{state}: {running_fetch.why}; what is verified stays in {folder_to}")
    reused_chunks = agent.counts["chunks found again"]
    seconds = (loop.clock.now_us() - running_fetch.start_us) / 1e6
    click.echo(
        f"{running_fetch.path}: {running_fetch.receiver.manifest.length} bytes in {seconds:.2f} s, breaks {running_fetch.breaks}"
        + (f", {reused_chunks} chunks found from before" if reused_chunks else "")
    )


@transfer.command()
@click.argument("what")
@click.option("--json", "as_json", is_flag=True)
@click.option("--within-s", default=3.0, show_default=True)
@identity
def inspect(what, as_json, within_s, name, key_file, folder):
    """Inspect a folder of states, or the agent at host:port: the states that it holds, and its round-trip time."""
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
    from lapiswing.loop import address_of
    from lapiswing.transfer.frames import MAX_LISTED_STATES

    try:
        where = address_of(what)
    except ValueError:
        raise InputError(f"{what!r} is neither a folder nor host:port") from None
    agent = make_agent(name, key_file, folder)
    loop, results, start = agent.loop, [], time.monotonic()
    agent.attach_to_holder(where, LinkWaiter(results))
    if not loop.run_until(lambda: results, round(within_s * 1e6)):
        raise click.ClickException(f"{what}: no answer within {within_s:g} s")
    if isinstance(results[0], str):
        raise click.ClickException(f"{what}: {results[0]}")
    link, ready = results[0], time.monotonic()
    peer_hello = link.peer_hello
    summary = {
        "agent": peer_hello.agent,
        "version": peer_hello.version,
        "features": peer_hello.features,
        "certificate": link.stream.peer_names() if agent.tls else None,
        "ready_ms": round((ready - start) * 1e3, 1),
    }
    listings = []
    if "list" in peer_hello.features:
        asked_s = time.monotonic()
        link.ask_list(listings.append)
        if loop.run_until(lambda: listings or link.stream.closed, round(within_s * 1e6)) and listings:
            summary["round_trip_ms"] = round((time.monotonic() - asked_s) * 1e3, 1)
    agent.close()
    rows = [{"name": state, "bytes": size, "root": root.hex()} for state, size, root in listings[0].states] if listings else []
    if as_json:
        return click.echo(json.dumps(summary | {"total": listings[0].total if listings else None, "states": rows}))
    for key, value in summary.items():
        if value is not None:
            click.echo(f"{key.replace('_', ' '):14} {', '.join(value) if isinstance(value, list) else value}")
    print_rows(rows, False, ("name", "bytes", "root"))
    if listings and listings[0].total > MAX_LISTED_STATES:
        click.echo(f"... and {listings[0].total - MAX_LISTED_STATES} more")


class LinkWaiter:
    """Waits for a link to an agent as a fetch does, but fetches no state. Appends the link, or why it failed, to a list."""

    link = None

    def __init__(self, results):
        self.results, self.receiver = results, self

    def on_link_failed(self, _holder, why, final=False):
        if not self.results:
            self.results.append(why)

    def on_link_ready(self, link):
        self.results.append(link)

    def connection_lost(self):
        pass


# ---- keys


def add_keys(keys):
    """Adds the commands for transfer agents to the group `keys`."""

    @keys.command("transfer")
    def transfer_key():
        """Print a new key for `key` of transfer agents.

        To rotate: add the new key after the old one on every agent, then put it first on every agent, then remove the old
        one; send SIGHUP after each step."""
        import secrets

        click.echo(secrets.token_urlsafe(32))

    @keys.command()
    @click.argument("folder", type=click.Path(file_okay=False))
    @click.option("--name", default="fleet", show_default=True)
    @click.option("--days", default=3650, show_default=True, type=click.IntRange(1))
    def authority(folder, name, days):
        """Make the fleet's certificate authority: FOLDER/authority.key and authority.crt.

        Keep the key off the servers; they need the certificate only. To replace the authority: append the new certificate
        to every agent's authority.crt, give the agents certificates of the new authority, then remove the old one."""
        from lapiswing.transfer.certificates import make_authority, write_secret

        key, certificate = make_authority(name, days)
        write_key_pair(folder, "authority", key, certificate, write_secret)

    @keys.command("agent")
    @click.argument("folder", type=click.Path(file_okay=False))
    @click.argument("name")
    @click.option("--days", default=90, show_default=True, type=click.IntRange(1))
    @click.option("--renew", is_flag=True, help="Replace the existing files.")
    def agent_key(folder, name, days, renew):
        """Make an agent's key and certificate, signed by the authority in FOLDER: FOLDER/NAME.key and NAME.crt."""
        from lapiswing.transfer.certificates import issue, write_secret

        if not name or not name.replace("-", "").replace(".", "").replace("_", "").isalnum() or name == "authority":
            raise InputError(f"{name!r} can't be an agent's name: only letters, digits, dot, dash and underscore are allowed")
        try:
            key, certificate = issue(
                Path(folder, "authority.key").read_bytes(), Path(folder, "authority.crt").read_bytes(), name, days
            )
        except OSError as problem:
            raise InputError(f"{problem.filename}: {problem.strerror}; `lapiswing keys authority {folder}` makes one") from None
        except ValueError as problem:
            raise InputError(f"{folder}: {problem}") from None
        if renew:
            for suffix in (".key", ".crt"):
                Path(folder, name + suffix).unlink(missing_ok=True)
        write_key_pair(folder, name, key, certificate, write_secret)

    @keys.command("check")
    @click.argument("folder", type=click.Path(file_okay=False))
    @click.argument("name")
    def check_keys(folder, name):
        """Check whether an agent NAME can run with the files in FOLDER, and for how many days."""
        from lapiswing.transfer.certificates import check

        days = check(Path(folder, f"{name}.crt"), Path(folder, f"{name}.key"), Path(folder, "authority.crt"), name)
        click.echo(f"{name}: good for {days} days")


def write_key_pair(folder, name, key, certificate, write):
    """Writes NAME.key and NAME.crt with `write(path, data)`; never overwrites a file. Raises InputError."""
    try:
        Path(folder).mkdir(parents=True, exist_ok=True)
        for suffix, _data in ((".key", key), (".crt", certificate)):
            if Path(folder, name + suffix).exists():
                raise InputError(f"{Path(folder, name + suffix)}: already exists")
        for suffix, data in ((".key", key), (".crt", certificate)):
            write(Path(folder, name + suffix), data)
            click.echo(str(Path(folder, name + suffix)))
    except OSError as problem:
        raise InputError(f"{problem.filename}: {problem.strerror}") from None
