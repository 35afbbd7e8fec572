"""What is decided about a call before it becomes a request: idempotency keys (`repeats`) and caps on tenants (`caps`)."""

from lapiswing.admission.repeats import Repeats

__all__ = ["Repeats"]
