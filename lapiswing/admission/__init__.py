"""What is decided about a call before it becomes a req. `repeats` knows idempotency keys."""

from lapiswing.admission.repeats import Repeats

__all__ = ["Repeats"]
