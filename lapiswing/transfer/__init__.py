"""Moves of read states between boxes: chunks, flow control, checksums, resumption. docs/transfer.md is the protocol.

frames    bytes <-> frames, and the manifest; pure
machine   what one receiver and one connection's sender do; pure
decide    order, windows, what to do when a move stalls or breaks; pure
agent     the doing part: serves states, fetches them, on the project's loop"""
