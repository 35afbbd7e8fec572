"""What the gateway says to model servers (boxes), and what their answers mean. The protocol is docs/boxes.md."""

from lapiswing.engine.client import Engine
from lapiswing.engine.outcomes import of_failure, of_status, report_of

__all__ = ["Engine", "of_failure", "of_status", "report_of"]
