"""One day in a worker process."""

import shutil
from pathlib import Path

from lapiswing.lab.run import DayFailed, Run, passed


def play_one(args):
    """(make, seed, router, keep) -> result, or a text where the day could not be played."""
    make, seed, router, keep = args
    day = make(seed)
    run = Run(day, router, Path(keep) / f"{day.name}-{seed}-{router}" if keep else None)
    try:
        result = run.play()
    except DayFailed as problem:
        return f"{day.name}, seed {seed}: {problem}"
    if not keep and passed(result):
        shutil.rmtree(run.folder, ignore_errors=True)
    return result
