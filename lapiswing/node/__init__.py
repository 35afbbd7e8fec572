"""The door to the operators' platform: its configuration, discovery, clients' front and model servers, hosted
by the same `gateway.core`. What it says and hears is in docs/node.md; no decision on a req is made here."""
