"""Adapters of client protocols. A front makes a Spec of each call and listens for its events and final answer."""
