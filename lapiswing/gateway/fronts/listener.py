"""The common part of the listeners of HTTP fronts: they connect an HTTP exchange with its request in the core."""


class Listener:
    """Tells the core when the client leaves, and when it can take more after its buffer was full."""

    def __init__(self, exchange):
        self.exchange, self.core, self.req = exchange, None, None

    def attach(self, core, req):
        """Follows `req`, which is None if the call was answered at once."""
        self.core, self.req = core, req
        if req is not None and not self.exchange.over:
            self.exchange.on_left = self.client_left
            self.exchange.on_drained = self.client_ready

    def check_client(self):
        """Checks at once whether the client has gone."""
        self.exchange.poll_client()

    def client_left(self):
        self.core.listener_left(self.req, self)

    def client_ready(self):
        self.core.listener_ready(self.req)

    @property
    def full(self):
        """Whether the client's buffer is full."""
        return self.exchange.full
