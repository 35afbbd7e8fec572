"""Logs by structlog to standard error: one line per event, as text (logfmt) or JSON."""

import logging
import sys

import structlog

from lapiswing.observe.sink import LogSink


def drop_empty(_logger, _method, fields):
    """A structlog processor that removes fields without a value."""
    return {k: v for k, v in fields.items() if v is not None}


def start_logs(level="info", form="text", sink=None, **bound):
    """-> a logger that adds the fields `bound` to each line."""
    renderer = (
        structlog.processors.JSONRenderer()
        if form == "json"
        else structlog.processors.LogfmtRenderer(key_order=["timestamp", "level", "event"], bool_as_flag=False)
    )
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            drop_empty,
            structlog.processors.format_exc_info,
            renderer,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(getattr(logging, level.upper())),
        logger_factory=structlog.WriteLoggerFactory(LogSink(sink or sys.stderr)),
    )
    return structlog.get_logger(**bound)
