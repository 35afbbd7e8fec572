"""What every HTTP front's listener shares: its exchange, and the ties between it and the core."""


class Listener:
    def __init__(self, exchange):
        self.exchange, self.core, self.req = exchange, None, None

    def attach(self, core, req):
        self.core, self.req = core, req
        if req is not None and not self.exchange.over:
            self.exchange.on_left = self.left
            self.exchange.on_drained = self.drained

    def look(self):
        self.exchange.poll_client()

    def left(self):
        self.core.left(self.req, self)

    def drained(self):
        self.core.drained(self.req)

    @property
    def full(self):
        return self.exchange.full
