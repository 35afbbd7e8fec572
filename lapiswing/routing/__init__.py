"""Decisions on requests, in modules of one job each, and the state that they work on."""
