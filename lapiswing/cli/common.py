"""What several commands use. The other modules of this package know this one only; `main` alone knows
them."""

import gc
import json
from pathlib import Path

import click

from lapiswing.errors import CantListen, OperatorError

at = click.option(
    "--at",
    "where",
    envvar="LAPISWING_ADMIN",
    default="gateway.sock",
    show_default=True,
    help="Admin socket: a Unix path or host:port.",
)
key_option = click.option("--key", envvar="LAPISWING_ADMIN_KEY", help="Where host:port wants one.")


class Stop(click.ClickException):
    """A bad argument, file or setting."""

    exit_code = 2


class Told(click.ClickException):
    """An OperatorError on its way out: what failed and where, then what to do."""

    def __init__(self, problem):
        super().__init__(str(problem))
        self.problem, self.exit_code = problem, problem.exit_code

    def show(self, file=None):
        from lapiswing.console.text import clean

        for line in self.message.split("\n"):
            click.echo(f"Error: {clean(line)}", file=file, err=True)
        if self.problem.advice:
            click.echo(f"To do: {self.problem.advice}", file=file, err=True)


class Commands(click.Group):
    """The outermost group: whatever a command meets that is for operators is told in two lines."""

    def invoke(self, context):
        try:
            return super().invoke(context)
        except OperatorError as problem:
            raise Told(problem) from None


def read_settings(path, load):
    """The checked settings in a file, by `load(text, name)`. Raises Stop, SettingsError with every fault."""
    try:
        return load(Path(path).read_text(), str(path))
    except (OSError, UnicodeDecodeError) as problem:
        raise Stop(f"{path}: {problem}") from None


def tell(rows, as_json, fields):
    """Rows (dicts) as a table of these fields, or as JSON."""
    if as_json:
        return click.echo(json.dumps(rows))
    if not rows:
        return click.echo("none")
    widths = {f: max(len(f), *(len(str(r[f])) for r in rows)) for f in fields}
    for row in [dict(zip(fields, fields)), *rows]:
        click.echo("  ".join(f"{'-' if row[f] is None else row[f]!s:{widths[f]}}" for f in fields).rstrip())


def run_gateway(gateway):
    """Runs it until a signal ends it. Raises StoreError, CantListen."""
    gateway.watch_signals()  # before it says that it listens: a signal then must find its handler
    try:
        gateway.start()
    except OSError as problem:
        listen = gateway.settings.listen
        raise CantListen(problem.filename or f"{listen.host}:{listen.port}", problem) from None
    # What was loaded at start is never garbage, and a full collection over thousands of open streams stops
    # all of them for tens of milliseconds: it is made rare. What a req leaves behind is freed by counting,
    # cycles by the young ones.
    gc.collect()
    gc.freeze()
    gc.set_threshold(20000, 20, 200)
    gateway.loop.run()
    if gateway.store is not None:
        gateway.store.close()  # what waits is written
