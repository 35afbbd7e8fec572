"""The simulator's line protocol on standard input and output."""
