"""The commands of the scale rig: `python -m benchmarks.scale --help`."""

import json
import os
import sys
from dataclasses import asdict
from multiprocessing import Pool
from pathlib import Path

import click

from benchmarks.scale import charts as pictures
from benchmarks.scale import fleet as fleets
from benchmarks.scale import rig as rigs
from benchmarks.scale import link_cost, process_cost, router_cost, scenario, tenants
from benchmarks.scale.target import TARGET
from lapiswing.errors import OperatorError


@click.group()
def main():
    """What the fleet costs at the operators' size."""


def sizes(_context, _parameter, value):
    return [int(part) for part in value.split(",")]


@main.command()
@click.option("--sizes", default="160,320,640,1024,1280", callback=sizes, help="Servers in the list.")
@click.option("--seconds", default=20.0, help="Simulated, for each play.")
@click.option("--plays", default=3, help="Seeds, for the spread.")
@click.option("--out", type=click.Path(path_type=Path), help="Where the record goes, as JSON.")
def router(sizes, seconds, plays, out):
    """The cost of the decisions alone, by size of the list."""
    table = router_cost.slope(sizes, seconds, plays)
    fields = router_cost.RouterCost._fields
    click.echo("  ".join(f"{name:>17}" for name in fields))
    for costs in table:
        spread = [(min(v), pictures.middle(v), max(v)) for v in zip(*costs)]
        click.echo("  ".join(f"{middle:>17.4g}" for _, middle, _ in spread))
        click.echo("  ".join(f"{f'{least:.3g}-{most:.3g}':>17}" for least, _, most in spread))
    save(out, [[cost._asdict() for cost in costs] for costs in table])


@main.command()
@click.argument("path", type=click.Path(path_type=Path))
@click.option("--out", type=click.Path(path_type=Path), help="Where the record goes, as JSON.")
def rig(path, out):
    """A fleet on loopback sockets under the scenario in PATH."""
    try:
        plan = scenario.load(path)
    except OperatorError as problem:
        click.echo(problem, err=True)
        sys.exit(problem.exit_code)
    running = rigs.Rig(plan, lambda text: click.echo(f"... {text}", err=True))
    try:
        running.start()
        record = running.run()
    finally:
        running.close()
    for name, value in record.items():
        click.echo(f"{name:<16} {json.dumps(value)[:400]}")
    save(out, record)


def report(costs, out):
    """Prints rows of one kind and keeps them."""
    click.echo("  ".join(f"{name:>24}" for name in costs[0]._fields))
    for cost in costs:
        click.echo("  ".join(f"{value:>24.4g}" for value in cost))
    save(out, [cost._asdict() for cost in costs])


@main.command()
@click.option("--sizes", default="160,320,640,1280", callback=sizes, help="Servers in the list.")
@click.option("--out", type=click.Path(path_type=Path), help="Where the record goes, as JSON.")
def process(sizes, out):
    """One real gateway with nothing to do, by size of the list."""
    report(process_cost.slope(sizes), out)


@main.command()
@click.option("--sizes", default="50,100,200,410", callback=sizes, help="Copies on the link.")
@click.option("--out", type=click.Path(path_type=Path), help="Where the record goes, as JSON.")
def link(sizes, out):
    """A copy on the fleet link, idle, by number of copies."""
    report(link_cost.slope(sizes), out)


@main.command("tenants")
@click.option("--gateways", default="1,4,41,410", callback=sizes, help="Through how many a tenant comes.")
@click.option("--out", type=click.Path(path_type=Path), help="Where the record goes, as JSON.")
def tenant_shares(gateways, out):
    """What becomes of a tenant that asks for its whole share through few gateways."""
    report([tenants.measure(used) for used in gateways], out)


@main.command()
def target():
    """The operators' size, and how little one gateway sees of it."""
    for name in [
        *TARGET.__dataclass_fields__,
        "prefill_servers",
        "decode_servers",
        "requests_a_gateway",
        "tokens_a_request",
        "seconds_between_reads",
        "hours_between_pairs",
    ]:
        click.echo(f"{name:<26} {getattr(TARGET, name):.4g}")


def play_fleet(arguments):
    """In a process of its own. -> the arguments and what came of them."""
    return arguments, asdict(fleets.ScaleFleet(*arguments).play().served())


@main.command()
@click.option("--gateways", default=TARGET.gateways)
@click.option("--servers", default=TARGET.servers)
@click.option("--faults", default=",".join(fleets.FleetFault), help="Names, with commas.")
@click.option("--seconds", default=16, help="Simulated; a fault begins after 5 s.")
@click.option("--seeds", default=1, help="Plays of each.")
@click.option("--subset", default=0, help="Servers that each gateway works with, as a probe; 0: all.")
@click.option("--processes", default=4, help="Plays at once; each takes some GB at the target's size.")
@click.option("--out", type=click.Path(path_type=Path), help="Where the record goes, as JSON.")
def fleet(gateways, servers, faults, seconds, seeds, subset, processes, out):
    """All Routers of a fleet in simulated time, under each fault."""
    os.environ.setdefault("OPENBLAS_NUM_THREADS", "1")
    plays = [(seed, gateways, servers, fault, seconds, subset) for fault in faults.split(",") for seed in range(1, seeds + 1)]
    rows = []
    with Pool(min(processes, len(plays))) as pool:
        for (seed, _, _, fault, *_), served in pool.imap(play_fleet, plays, chunksize=1):
            rows.append({"fault": str(fault), "seed": seed, **served})
            click.echo(f"{fault:<8} seed {seed}  " + "  ".join(f"{name} {value:.3g}" for name, value in served.items()))
    save(out, rows)


@main.command()
def charts():
    """Draws docs/capacity from the records."""
    click.echo(pictures.draw())


def save(out, record):
    if out is not None:
        out.parent.mkdir(exist_ok=True)
        out.write_text(json.dumps(record, indent=1) + "\n")


if __name__ == "__main__":
    main()
