"""Commands of the scale benchmarks: `python -m benchmarks.scale --help`."""

import json
import os
import sys
from dataclasses import asdict
from multiprocessing import Pool
from pathlib import Path

import click

from benchmarks.scale import charts as chart_drawing
from benchmarks.scale import fleet as fleet_simulation
from benchmarks.scale import rig as rig_module
from benchmarks.scale import link_cost, process_cost, router_cost, scenario, tenants
from benchmarks.scale.target import TARGET
from lapiswing.errors import OperatorError


@click.group()
def main():
    """Cost of a fleet at its target size."""


def parse_sizes(_context, _parameter, value):
    """Parses a list of integers with commas between them."""
    return [int(size) for size in value.split(",")]


@main.command()
@click.option("--sizes", default="160,320,640,1024,1280", callback=parse_sizes, help="Servers in the list.")
@click.option("--seconds", default=20.0, help="Simulated seconds of each run.")
@click.option("--plays", default=3, help="Runs of each size, with different seeds.")
@click.option("--out", type=click.Path(path_type=Path), help="File for the record, as JSON.")
def router(sizes, seconds, plays, out):
    """Cost of the routing decisions alone, by number of servers."""
    table = router_cost.slope(sizes, seconds, plays)
    fields = router_cost.RouterCost._fields
    click.echo("  ".join(f"{name:>17}" for name in fields))
    for costs in table:
        spread = [(min(values), chart_drawing.median(values), max(values)) for values in zip(*costs)]
        click.echo("  ".join(f"{median:>17.4g}" for _, median, _ in spread))
        click.echo("  ".join(f"{f'{minimum:.3g}-{maximum:.3g}':>17}" for minimum, _, maximum in spread))
    save(out, [[cost._asdict() for cost in costs] for costs in table])


@main.command()
@click.argument("path", type=click.Path(path_type=Path))
@click.option("--out", type=click.Path(path_type=Path), help="File for the record, as JSON.")
def rig(path, out):
    """Runs a fleet on loopback sockets under the scenario in PATH."""
    try:
        loaded = scenario.load(path)
    except OperatorError as error:
        click.echo(error, err=True)
        sys.exit(error.exit_code)
    test_rig = rig_module.Rig(loaded, lambda text: click.echo(f"... {text}", err=True))
    try:
        test_rig.start()
        record = test_rig.run()
    finally:
        test_rig.close()
    for name, value in record.items():
        click.echo(f"{name:<16} {json.dumps(value)[:400]}")
    save(out, record)


def report(costs, out):
    """Prints rows of one type and saves them."""
    click.echo("  ".join(f"{name:>24}" for name in costs[0]._fields))
    for cost in costs:
        click.echo("  ".join(f"{value:>24.4g}" for value in cost))
    save(out, [cost._asdict() for cost in costs])


@main.command()
@click.option("--sizes", default="160,320,640,1280", callback=parse_sizes, help="Servers in the list.")
@click.option("--out", type=click.Path(path_type=Path), help="File for the record, as JSON.")
def process(sizes, out):
    """Cost of one idle gateway process, by number of servers."""
    report(process_cost.slope(sizes), out)


@main.command()
@click.option("--sizes", default="50,100,200,410", callback=parse_sizes, help="Members of the fleet link.")
@click.option("--out", type=click.Path(path_type=Path), help="File for the record, as JSON.")
def link(sizes, out):
    """Cost of an idle member of the fleet link, by number of members."""
    report(link_cost.slope(sizes), out)


@main.command("tenants")
@click.option("--gateways", default="1,4,41,410", callback=parse_sizes, help="Gateways that the tenant uses.")
@click.option("--out", type=click.Path(path_type=Path), help="File for the record, as JSON.")
def tenant_shares(gateways, out):
    """How a tenant fares that uses its whole share through few gateways."""
    report([tenants.measure(count) for count in gateways], out)


@main.command()
def target():
    """The target size, and the part of its load that one gateway sees."""
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


def simulate_fleet(arguments):
    """Runs one simulation in a process of the pool. -> the arguments and the result."""
    return arguments, asdict(fleet_simulation.ScaleFleet(*arguments).run().served())


@main.command()
@click.option("--gateways", default=TARGET.gateways)
@click.option("--servers", default=TARGET.servers)
@click.option("--faults", default=",".join(fleet_simulation.FleetFault), help="Names, separated by commas.")
@click.option("--seconds", default=16, help="Simulated seconds; the fault begins after 5 s.")
@click.option("--seeds", default=1, help="Runs of each fault, with different seeds.")
@click.option("--subset", default=0, help="Experimental: servers that each gateway uses; 0: all.")
@click.option("--processes", default=4, help="Runs at once; each takes some GB at the target size.")
@click.option("--out", type=click.Path(path_type=Path), help="File for the record, as JSON.")
def fleet(gateways, servers, faults, seconds, seeds, subset, processes, out):
    """Simulates all Routers of a fleet under each fault."""
    os.environ.setdefault("OPENBLAS_NUM_THREADS", "1")
    plays = [(seed, gateways, servers, fault, seconds, subset) for fault in faults.split(",") for seed in range(1, seeds + 1)]
    rows = []
    with Pool(min(processes, len(plays))) as pool:
        for (seed, _, _, fault, *_), served in pool.imap(simulate_fleet, plays, chunksize=1):
            rows.append({"fault": str(fault), "seed": seed, **served})
            click.echo(f"{fault:<8} seed {seed}  " + "  ".join(f"{name} {value:.3g}" for name, value in served.items()))
    save(out, rows)


@main.command()
def charts():
    """Draws the charts in docs/capacity from the records."""
    click.echo(chart_drawing.draw())


def save(out, record):
    """Writes the record as JSON, if an output file was given."""
    if out is not None:
        out.parent.mkdir(exist_ok=True)
        out.write_text(json.dumps(record, indent=1) + "\n")


if __name__ == "__main__":
    main()
