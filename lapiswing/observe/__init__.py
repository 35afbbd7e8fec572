"""What operators see of a running program: its logs and metrics."""

from lapiswing.observe.logs import start_logs

__all__ = ["start_logs"]  # metrics are imported where they are served, as that takes a fifth of a gateway's start-up time
