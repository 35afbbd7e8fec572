"""`lapiswing dns` and `lapiswing boxes`: DNS discovery, and the list of model servers (called boxes in commands)."""

import json
import random

import click

from lapiswing.cli.common import InputError, at_option, key_option, print_rows

server_option = click.option(
    "--server", "servers", multiple=True, required=True, help="host:port of a name server; may be repeated."
)


def make_resolver(servers):
    """-> a resolver on a loop of its own. Raises InputError."""
    from lapiswing.dns.resolver import Resolver
    from lapiswing.loop import Clock, Loop, address_of

    try:
        addresses = [address_of(server) for server in servers]
    except ValueError as problem:
        raise InputError(f"--server: {problem}") from None
    return Resolver(Loop(Clock()), addresses, random.SystemRandom())


@click.group("dns")
def dns_group():
    """Send name servers the queries that a gateway sends."""


@dns_group.command()
@click.argument("name")
@click.argument("kind", default="A", type=click.Choice(["A", "AAAA", "CNAME", "PTR", "SRV", "TXT"]))
@server_option
def query(name, kind, servers):
    """Send one query and print its records."""
    resolver, results = make_resolver(servers), []
    resolver.ask(name, kind, lambda answer, why: results.append((answer, why)))
    resolver.loop.run_until(lambda: results, 60_000_000)
    answer, why = results[0]
    if answer is None:
        raise click.ClickException(f"{name}: {why}")
    if not answer.records:
        raise click.ClickException(f"{name}: {answer.rcode}, no {kind} records, for {answer.ttl} s")
    from lapiswing.console.text import clean

    for record in answer.records:
        click.echo(
            clean(
                " ".join(str(field.decode(errors="replace") if isinstance(field, bytes) else field) for field in record)
                if isinstance(record, tuple)
                else record
            )
        )
    click.echo(f"for {answer.ttl} s", err=True)


@dns_group.command()
@click.argument("service")
@server_option
@click.option("--srv", is_flag=True, help="A plain SRV name without DNS-SD.")
@click.option("--json", "as_json", is_flag=True)
def browse(service, servers, srv, as_json):
    """List the servers of a service as a gateway would see them, and those that it would refuse."""
    from lapiswing.console.text import clean
    from lapiswing.dns.browse import Browser
    from lapiswing.dns.cache import Cache

    resolver = make_resolver(servers)
    loop, browser = resolver.loop, Browser(service, Cache(), sd=not srv)

    def ask_wanted():
        for name, kind in browser.next_queries(loop.clock.now_us()):
            resolver.ask(
                name,
                kind,
                lambda answer, why, name=name, kind=kind: (
                    browser.on_answer(name, kind, answer, loop.clock.now_us(), why),
                    ask_wanted(),
                ),
            )

    ask_wanted()
    loop.run_until(lambda: not browser.in_flight, 30_000_000)
    view = browser.view(loop.clock.now_us())
    if view.state == "none":
        raise click.ClickException(f"{service}: {browser.problem or 'nothing is known'}")
    rows = [server._asdict() for server in view.servers]
    if as_json:
        return click.echo(json.dumps({"boxes": rows, "refused": view.refused}))
    print_rows(
        [{field: clean(value) if isinstance(value, str) else value for field, value in row.items()} for row in rows],
        False,
        ("id", "name", "role", "kind", "zone", "cell", "size", "gen_ms", "draining"),
    )
    for name, why in view.refused:
        click.echo(f"refused: {clean(name)}: {clean(why)}")
    return None


@click.command()
@at_option
@key_option
@click.option("--json", "as_json", is_flag=True)
def boxes(where, key, as_json):
    """List the servers as merged from all sources, with what each source says and which one decides."""
    from lapiswing.admin.client import ask
    from lapiswing.console.text import clean

    snapshot = ask(where, "GET", "/v1/snapshot?parts=boxes,records", key=key)
    if as_json:
        return click.echo(json.dumps({"boxes": snapshot["boxes"], "records": snapshot["records"]}))
    print_rows(
        [
            {
                "box": box["box"],
                "role": box["role"],
                "mode": box["mode"],
                "why": clean(box["why"] or "-"),
                "words": clean(", ".join(f"{source}: {word}" for source, word in (box["words"] or {}).items())),
            }
            for box in snapshot["boxes"]
        ],
        False,
        ("box", "role", "mode", "why", "words"),
    )
    for source in (snapshot["records"] or {}).get("sources", ()):
        click.echo(
            clean(
                f"{source['source']}: {source['state']}, {source['boxes']} boxes"
                + (f" ({source['problem']})" if source["problem"] else "")
            )
        )
    for row in (snapshot["records"] or {}).get("refused", ()):
        click.echo(clean(f"refused: {row['name']}: {row['why']}"))
    return None
