"""`lapiswing dns` and `lapiswing boxes`."""

import json
import random

import click

from lapiswing.cli.common import InputError, at_option, key_option, print_rows

server = click.option(
    "--server", "servers", multiple=True, required=True, help="host:port of a name server; several may be given."
)


def resolver_of(servers):
    from lapiswing.dns.resolver import Resolver
    from lapiswing.loop import Clock, Loop, address_of

    try:
        addresses = [address_of(s) for s in servers]
    except ValueError as problem:
        raise InputError(f"--server: {problem}") from None
    return Resolver(Loop(Clock()), addresses, random.SystemRandom())


@click.group("dns")
def dns_group():
    """Ask name servers what a gateway would ask."""


@dns_group.command()
@click.argument("name")
@click.argument("kind", default="A", type=click.Choice(["A", "AAAA", "CNAME", "PTR", "SRV", "TXT"]))
@server
def query(name, kind, servers):
    """One question."""
    resolver, out = resolver_of(servers), []
    resolver.ask(name, kind, lambda answer, why: out.append((answer, why)))
    resolver.loop.run_until(lambda: out, 60_000_000)
    answer, why = out[0]
    if answer is None:
        raise click.ClickException(f"{name}: {why}")
    if not answer.records:
        raise click.ClickException(f"{name}: {answer.rcode}, no {kind} records, for {answer.ttl} s")
    from lapiswing.console.text import clean

    for record in answer.records:
        click.echo(
            clean(
                " ".join(str(r.decode(errors="replace") if isinstance(r, bytes) else r) for r in record)
                if isinstance(record, tuple)
                else record
            )
        )
    click.echo(f"for {answer.ttl} s", err=True)


@dns_group.command()
@click.argument("service")
@server
@click.option("--srv", is_flag=True, help="A plain SRV name without DNS-SD.")
@click.option("--json", "as_json", is_flag=True)
def browse(service, servers, srv, as_json):
    """The boxes of a service, as a gateway would see them, and those that it would refuse."""
    from lapiswing.console.text import clean
    from lapiswing.dns.browse import Browser
    from lapiswing.dns.cache import Cache

    resolver = resolver_of(servers)
    loop, browser = resolver.loop, Browser(service, Cache(), sd=not srv)

    def ask():
        for name, kind in browser.wants(loop.clock.now_us()):
            resolver.ask(
                name,
                kind,
                lambda answer, why, name=name, kind=kind: (browser.told(name, kind, answer, loop.clock.now_us(), why), ask()),
            )

    ask()
    loop.run_until(lambda: not browser.asking, 30_000_000)
    view = browser.view(loop.clock.now_us())
    if view.state == "none":
        raise click.ClickException(f"{service}: {browser.problem or 'nothing is known'}")
    rows = [b._asdict() for b in view.boxes]
    if as_json:
        return click.echo(json.dumps({"boxes": rows, "refused": view.refused}))
    print_rows(
        [{k: clean(v) if isinstance(v, str) else v for k, v in row.items()} for row in rows],
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
    """The boxes as merged from all sources, with each source's word and who won."""
    from lapiswing.admin.client import ask
    from lapiswing.console.text import clean

    snap = ask(where, "GET", "/v1/snapshot?parts=boxes,records", key=key)
    if as_json:
        return click.echo(json.dumps({"boxes": snap["boxes"], "records": snap["records"]}))
    print_rows(
        [
            {
                "box": b["box"],
                "role": b["role"],
                "mode": b["mode"],
                "why": clean(b["why"] or "-"),
                "words": clean(", ".join(f"{s}: {w}" for s, w in (b["words"] or {}).items())),
            }
            for b in snap["boxes"]
        ],
        False,
        ("box", "role", "mode", "why", "words"),
    )
    for source in (snap["records"] or {}).get("sources", ()):
        click.echo(
            clean(
                f"{source['source']}: {source['state']}, {source['boxes']} boxes"
                + (f" ({source['problem']})" if source["problem"] else "")
            )
        )
    for row in (snap["records"] or {}).get("refused", ()):
        click.echo(clean(f"refused: {row['name']}: {row['why']}"))
    return None
