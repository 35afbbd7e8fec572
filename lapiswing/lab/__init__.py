"""Fault scenarios ("days") played with real processes on loopback or simulated, and the audit that checks the five rules from
records of the traffic alone."""
