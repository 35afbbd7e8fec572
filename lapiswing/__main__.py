"""python -m lapiswing: the command line."""

from lapiswing.cli.main import main

main(prog_name="lapiswing")
