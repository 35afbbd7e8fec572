"""A listener of the HTTP client for callers that need only the status of a response."""


class StatusOnly:
    """`status` is set when the head has arrived, `over` when the response has ended or failed."""

    def __init__(self):
        self.status = self.over = None

    def on_head(self, status, fields):
        self.status = status

    def on_body(self, data):
        pass

    def on_end(self):
        self.over = True

    def on_fail(self, stage, why):
        self.over = True
