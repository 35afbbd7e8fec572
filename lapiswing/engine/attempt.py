"""What every kind of forward shares: how it is held up, taken back and ended, for whichever protocol."""


class HttpAttempt:
    """A forward that is one exchange of the HTTP pool. It sets `exchange`, and what is to be told of its outcome."""

    over, exchange = False, None
    code = remark = report = None

    def __init__(self, owner):
        self.owner = owner

    @property
    def unsent(self):
        return not self.over and self.exchange.unsent

    def pause(self):
        self.exchange.pause()

    def resume(self):
        self.exchange.resume()

    def cancel(self):
        if not self.over:
            self.exchange.cancel()
            self.end()

    def break_off(self, code):
        if not self.over:
            self.exchange.cancel()
            self.finish(code)

    def finish(self, code):
        if not self.over:
            self.end().on_outcome(self, code, self.remark, self.report)

    def end(self):
        """-> the owner, which hears nothing after this. No cycle is left behind."""
        self.over = True
        owner, self.owner, self.exchange = self.owner, None, None
        return owner
