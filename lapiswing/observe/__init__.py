"""What staff see of a running program: its log lines and metrics."""

from lapiswing.observe.logs import start_logs

__all__ = ["start_logs"]  # metrics are imported where they are served: they cost a fifth of a gateway's start
