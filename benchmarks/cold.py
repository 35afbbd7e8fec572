"""Load that a fleet of gateways sends to cold servers, in 200 simulated mixtures of faults (`lapiswing/lab/coldfleet.py`).

.venv/bin/python benchmarks/cold.py [seeds]
"""

import sys
from multiprocessing import Pool

from lapiswing.lab.coldfleet import Fleet, random_case


def simulate(seed):
    """-> seed, worst window of a cold server, part of the requests served, utilization of cold servers, and the case"""
    fleet = Fleet(seed, random_case(seed)).play()
    return seed, fleet.worst_window(), fleet.served_count / fleet.original_requests, fleet.cold_utilization(), fleet.case


def main(seeds):
    """Simulates seeds 0 to `seeds` - 1 and prints the windows over the limit and a summary."""
    with Pool() as pool:
        rows = pool.map(simulate, range(seeds), chunksize=1)
    for seed, (part, server, work, limit), _, _, case in rows:
        if part > 1:
            print(f"seed {seed}: {server} {work:.1f} in a window, N {limit:.1f}: {part:.2f} of the bound; {case}")
    parts = sorted(row[1][0] for row in rows)
    print(
        f"{sum(part <= 1 for part in parts)} of {seeds} within the bound; "
        f"maximum {parts[-1]:.2f}, 90th percentile {parts[seeds * 9 // 10]:.2f}"
    )
    print(
        f"served {sum(row[2] for row in rows) / seeds:.3f}; cold servers were sent {sum(row[3] for row in rows) / seeds:.3f} of N"
    )


if __name__ == "__main__":
    main(int(sys.argv[1]) if len(sys.argv) > 1 else 200)
