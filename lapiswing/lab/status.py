"""A listener of the HTTP client for those who only want an answer's status."""


class StatusOnly:
    """`status` once the head is in, `over` once the answer has ended or failed."""

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
