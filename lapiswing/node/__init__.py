"""Adapter to the operators' platform: its configuration, discovery, client front and model servers, hosted by the same
`gateway.core`. The platform's protocol is described in docs/node.md; no routing decision is made here.

The stages and server roles `read` and `write` are prefill and decode."""
