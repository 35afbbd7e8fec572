"""Options, errors and helpers that several commands share.

The other modules of this package import no module of it but this one, and only `main` imports them, so that no import cycle
can arise."""

import gc
import json
from pathlib import Path

import click

from lapiswing.errors import CantListen, OperatorError

at_option = click.option(
    "--at",
    "where",
    envvar="LAPISWING_ADMIN",
    default="gateway.sock",
    show_default=True,
    help="Admin socket: a Unix path or host:port.",
)
key_option = click.option("--key", envvar="LAPISWING_ADMIN_KEY", help="Key of the admin port, where host:port requires one.")


class InputError(click.ClickException):
    """A bad argument, file or setting. Ends the command with exit code 2."""

    exit_code = 2


class Told(click.ClickException):
    """Prints an OperatorError: what failed and where, then the advice on what to do."""

    def __init__(self, problem):
        super().__init__(str(problem))
        self.problem, self.exit_code = problem, problem.exit_code

    def show(self, file=None):
        from lapiswing.console.text import clean

        for line in self.message.split("\n"):
            click.echo(f"Error: {clean(line)}", file=file, err=True)
        if self.problem.advice:
            click.echo(f"To do: {self.problem.advice}", file=file, err=True)


class ErrorReportingGroup(click.Group):
    """The top-level command group: prints any OperatorError of a command as an error and an advice, without a traceback."""

    def invoke(self, context):
        try:
            return super().invoke(context)
        except OperatorError as problem:
            raise Told(problem) from None


def read_settings(path, load):
    """-> the checked settings of a file, loaded by `load(text, name)`. Raises InputError, SettingsError with every fault."""
    try:
        return load(Path(path).read_text(), str(path))
    except (OSError, UnicodeDecodeError) as problem:
        raise InputError(f"{path}: {problem}") from None


def print_rows(rows, as_json, fields):
    """Prints rows (dicts) as a table of these fields, or as JSON with all their fields."""
    if as_json:
        return click.echo(json.dumps(rows))
    if not rows:
        return click.echo("none")
    widths = {field: max(len(field), *(len(str(row[field])) for row in rows)) for field in fields}
    for row in [dict(zip(fields, fields)), *rows]:
        click.echo("  ".join(f"{'-' if row[field] is None else row[field]!s:{widths[field]}}" for field in fields).rstrip())


def run_gateway(gateway):
    """Runs a gateway until a signal ends it. Raises StoreError, CantListen."""
    gateway.watch_signals()  # before it reports that it listens: from then on, signals must be handled
    try:
        gateway.start()
    except OSError as problem:
        listen = gateway.settings.listen
        raise CantListen(problem.filename or f"{listen.host}:{listen.port}", problem) from None
    # Objects loaded at start never become garbage, and a full collection over thousands of open streams stops all of them
    # for tens of milliseconds, so full collections are made rare. Objects of finished requests are freed by reference counting,
    # or as cycles by collections of the young generations.
    gc.collect()
    gc.freeze()
    gc.set_threshold(20000, 20, 200)
    gateway.loop.run()
    if gateway.store is not None:
        gateway.store.close()  # writes what is still queued
