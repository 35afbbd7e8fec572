"""Where log lines go: a text stream that may fail or stand still without the program noticing.

A disk that is full, a pipe whose reader has gone and one whose reader has stopped are troubles of the log alone. A line
that can't be written at once is dropped and counted, and the count is told once lines can be written again."""

import os
import select
import stat

LONGEST_BYTES = select.PIPE_BUF  # what a pipe that is ready takes without waiting


class LogSink:
    """A file for `structlog.WriteLoggerFactory`. Never raises OSError, and never waits for a pipe's reader."""

    def __init__(self, stream):
        self.stream, self.dropped = stream, 0
        self.pipe = self.pipe_of(stream)

    @staticmethod
    def pipe_of(stream):
        """The descriptor of a stream that writes to a pipe; None for all others, which never keep a writer waiting."""
        try:
            descriptor = stream.fileno()
            return descriptor if stat.S_ISFIFO(os.fstat(descriptor).st_mode) else None
        except (AttributeError, OSError, ValueError):
            return None

    def ready(self):
        if self.pipe is None:
            return True
        waits = select.poll()
        waits.register(self.pipe, select.POLLOUT)
        return bool(waits.poll(0))

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
        if self.pipe is None:
            self.stream.write(text)
            return self.stream.flush()
        # Past the stream's own buffer: what that keeps of a failed line would come with the next one, or block it.
        data = text.encode("utf-8", "backslashreplace")
        if len(data) > LONGEST_BYTES:
            data = data[: LONGEST_BYTES - 1] + b"\n"
        os.write(self.pipe, data)

    def flush(self):
        """Each line is flushed as it is written."""
