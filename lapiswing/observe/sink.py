"""The destination of log lines: a text stream that may fail or block without affecting the program.

A full disk, a pipe whose reader has gone and one whose reader has stopped only affect the log. A line that can't be written at
once is dropped and counted, and the count is logged once lines can be written again."""

import os
import select
import stat

MAX_LINE_BYTES = select.PIPE_BUF  # what a writable pipe accepts without blocking


class LogSink:
    """A file for `structlog.WriteLoggerFactory`. Never raises OSError and never waits for a pipe's reader."""

    def __init__(self, stream):
        self.stream, self.dropped = stream, 0
        self.pipe = self.pipe_of(stream)

    @staticmethod
    def pipe_of(stream):
        """-> the descriptor if the stream writes to a pipe; None for all others, which never block."""
        try:
            descriptor = stream.fileno()
            return descriptor if stat.S_ISFIFO(os.fstat(descriptor).st_mode) else None
        except (AttributeError, OSError, ValueError):
            return None

    def ready(self):
        """Whether a line can be written without blocking."""
        if self.pipe is None:
            return True
        poller = select.poll()
        poller.register(self.pipe, select.POLLOUT)
        return bool(poller.poll(0))

    def write(self, text):
        try:
            if not self.ready():
                raise BlockingIOError
            if self.dropped:
                text = f'event="log lines dropped" count={self.dropped}\n{text}'
            self.put(text)
            self.dropped = 0
        except (OSError, ValueError):  # ValueError: the stream has been closed
            self.dropped += 1

    def put(self, text):
        """Writes one line."""
        if self.pipe is None:
            self.stream.write(text)
            return self.stream.flush()
        # Bypasses the stream's own buffer, where the rest of a failed line would precede or block the next one.
        data = text.encode("utf-8", "backslashreplace")
        if len(data) > MAX_LINE_BYTES:
            data = data[: MAX_LINE_BYTES - 1] + b"\n"
        os.write(self.pipe, data)

    def flush(self):
        """Nothing to do: each line is flushed when it is written."""
