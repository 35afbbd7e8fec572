"""Plays one day; called in worker processes."""

import shutil
from pathlib import Path

from lapiswing.lab.run import DayFailed, Run, passed


def play_one(args):
    """`args`: (function that makes the day, seed, router name, folder for records or None). Returns the result as a dict, or a
    text if the day could not be played."""
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
