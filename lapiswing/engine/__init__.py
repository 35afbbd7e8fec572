"""Requests from the gateway to model servers, and the interpretation of their responses. docs/boxes.md has the protocol."""

from lapiswing.engine.client import Engine
from lapiswing.engine.outcomes import of_failure, of_status, report_of

__all__ = ["Engine", "of_failure", "of_status", "report_of"]
