"""`lapiswing store`: looking at what a gateway remembers, and mending it, while no gateway runs on it."""

import json
import sys

import click

folder = click.argument("folder", type=click.Path(exists=True, file_okay=False))


@click.group()
def store():
    """Look at what a gateway remembers, and mend it, while no gateway runs on it."""


@store.command()
@folder
@click.option("--json", "as_json", is_flag=True)
def verify(folder, as_json):
    """Read everything; exit with 1 where something can't be read. Changes nothing."""
    from lapiswing.store.tools import verify

    found, counts = verify(folder)
    bad = any(f.bad for f in found)
    if as_json:
        click.echo(json.dumps({"ok": not bad, "findings": [f._asdict() for f in found], **counts}))
    else:
        for f in found:
            click.echo(f"{'BAD ' if f.bad else ''}{f.file}: {f.text}")
        click.echo(f"{'not good' if bad else 'good'}: " + ", ".join(f"{n} {name}" for name, n in counts.items()))
    sys.exit(1 if bad else 0)


@store.command()
@folder
@click.option("--prefix", default="", help="Keys that begin so: k/ idempotency keys, d/ drains, c/ caps.")
def dump(folder, prefix):
    """A JSON line for each key: its value where it is known to this program, else in hex."""
    import msgspec

    from lapiswing.state.records import CapRecord, KeyRecord
    from lapiswing.store.tools import dump

    for key, value, expires in dump(folder):
        if not key.startswith(prefix.encode()):
            continue
        kind = {b"k/": KeyRecord, b"c/": CapRecord}.get(key[:2])
        try:
            shown = msgspec.to_builtins(msgspec.msgpack.decode(value, type=kind)) if kind else value.decode()
            if kind:
                shown = dict(zip(kind.__struct_fields__, shown))
            text = json.dumps({"key": key.decode(errors="replace"), "expires_unix_ms": expires or None, "value": shown})
        except (msgspec.DecodeError, UnicodeDecodeError):
            text = json.dumps({"key": key.decode(errors="replace"), "expires_unix_ms": expires or None, "hex": value.hex()})
        click.echo(text)


@store.command()
@folder
def compact(folder):
    """Rewrite it without what no longer counts."""
    from lapiswing.store.tools import compact

    before, after = compact(folder)
    click.echo(f"{before} bytes before, {after} after")


@store.command()
@folder
@click.option("--keep", required=True, type=click.Path(), help="A new folder on the same disk that keeps all files as they were.")
def repair(folder, keep):
    """Make it open again with all that can be read, in order, up to the first byte that can't. Never invents anything.

    What was acknowledged after that byte is lost: calls with a key whose record is lost can run twice."""
    from lapiswing.store.tools import repair

    for line in repair(folder, keep) or ["nothing was left out"]:
        click.echo(line)
    click.echo(f"as it was: {keep}")
