"""`lapiswing store`: commands that inspect and repair a gateway's store while no gateway uses it."""

import json
import sys

import click

folder = click.argument("folder", type=click.Path(exists=True, file_okay=False))


@click.group()
def store():
    """Inspect and repair a gateway's store while no gateway uses it."""


@store.command()
@folder
@click.option("--json", "as_json", is_flag=True)
def verify(folder, as_json):
    """Read the whole store; exit with 1 if something can't be read. Changes nothing."""
    from lapiswing.store.tools import verify

    findings, counts = verify(folder)
    is_damaged = any(finding.bad for finding in findings)
    if as_json:
        click.echo(json.dumps({"ok": not is_damaged, "findings": [finding._asdict() for finding in findings], **counts}))
    else:
        for finding in findings:
            click.echo(f"{'BAD ' if finding.bad else ''}{finding.file}: {finding.text}")
        click.echo(f"{'not good' if is_damaged else 'good'}: " + ", ".join(f"{count} {name}" for name, count in counts.items()))
    sys.exit(1 if is_damaged else 0)


@store.command()
@folder
@click.option("--prefix", default="", help="Only keys with this prefix: k/ idempotency keys, d/ drains, c/ caps.")
def dump(folder, prefix):
    """Print a JSON line for each key, with its value decoded where its format is known, else in hex."""
    import msgspec

    from lapiswing.state.records import CapRecord, KeyRecord
    from lapiswing.store.tools import dump

    for key, value, expires in dump(folder):
        if not key.startswith(prefix.encode()):
            continue
        record_type = {b"k/": KeyRecord, b"c/": CapRecord}.get(key[:2])
        try:
            decoded = msgspec.to_builtins(msgspec.msgpack.decode(value, type=record_type)) if record_type else value.decode()
            if record_type:
                decoded = dict(zip(record_type.__struct_fields__, decoded))
            text = json.dumps({"key": key.decode(errors="replace"), "expires_unix_ms": expires or None, "value": decoded})
        except (msgspec.DecodeError, UnicodeDecodeError):
            text = json.dumps({"key": key.decode(errors="replace"), "expires_unix_ms": expires or None, "hex": value.hex()})
        click.echo(text)


@store.command()
@folder
def compact(folder):
    """Rewrite the store without expired and overwritten records."""
    from lapiswing.store.tools import compact

    before, after = compact(folder)
    click.echo(f"{before} bytes before, {after} after")


@store.command()
@folder
@click.option("--keep", required=True, type=click.Path(), help="New folder on the same disk that keeps all files as they were.")
def repair(folder, keep):
    """Make a damaged store usable again: keep all records, in order, up to the first byte that can't be read, and add none.

    Records after that byte are lost though they were acknowledged: a call whose idempotency key is lost can run twice."""
    from lapiswing.store.tools import repair

    for line in repair(folder, keep) or ["nothing was left out"]:
        click.echo(line)
    click.echo(f"as it was: {keep}")
