"""What several commands use."""
from pathlib import Path

import click


class Stop(click.ClickException):
    """A bad argument, file or setting."""
    exit_code = 2


def read_settings(path, load):
    """The checked settings in a file, by `load(text, name)`; every fault is told. Raises Stop."""
    from lapiswing.settings import SettingsError
    try:
        return load(Path(path).read_text(), str(path))
    except (OSError, UnicodeDecodeError) as problem:
        raise Stop(f"{path}: {problem}") from None
    except SettingsError as problem:
        for fault in problem.faults:
            click.echo(str(fault), err=True)
        raise Stop(f"{len(problem.faults)} fault{'s' * (len(problem.faults) != 1)} in {path}") from None
