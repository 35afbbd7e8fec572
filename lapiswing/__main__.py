"""Runs the command line: python -m lapiswing."""

from lapiswing.cli.main import main

main(prog_name="lapiswing")
