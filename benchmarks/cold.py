"""What cold servers are sent by whole fleets: 200 mixtures of trouble, simulated (`lapiswing/lab/coldfleet.py`).

.venv/bin/python benchmarks/cold.py [seeds]
"""

import sys
from multiprocessing import Pool

from lapiswing.lab.coldfleet import Fleet, random_case


def play(seed):
    fleet = Fleet(seed, random_case(seed)).play()
    return seed, fleet.worst_window(), fleet.served_count / fleet.original_requests, fleet.cold_utilization(), fleet.case


def main(seeds):
    with Pool() as pool:
        rows = pool.map(play, range(seeds), chunksize=1)
    for seed, (part, server, work, n), _, _, case in rows:
        if part > 1:
            print(f"seed {seed}: {server} {work:.1f} in a window, N {n:.1f}: {part:.2f} of the bound; {case}")
    parts = sorted(row[1][0] for row in rows)
    print(
        f"{sum(p <= 1 for p in parts)} of {seeds} within the bound; most {parts[-1]:.2f}, ninth tenth {parts[seeds * 9 // 10]:.2f}"
    )
    print(
        f"served {sum(row[2] for row in rows) / seeds:.3f}; cold servers were sent {sum(row[3] for row in rows) / seeds:.3f} of N"
    )


if __name__ == "__main__":
    main(int(sys.argv[1]) if len(sys.argv) > 1 else 200)
