"""The command line: `lapiswing --help`."""
