"""Benchmarks, run by hand. docs/performance.md records their results and the machine they ran on."""
