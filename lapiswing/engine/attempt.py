"""The part of an attempt that does not depend on the protocol: pausing, cancelling and ending it."""

UNCOUNTED_BYTES = 4096  # each attempt may keep this much, whatever the others do


class HttpAttempt:
    """An attempt that is one exchange of the HTTP pool. Subclasses set `exchange`, and the code, remark and load report
    that are passed to the owner with the outcome."""

    over, exchange = False, None
    code = remark = report = None
    why = None  # what was wrong with the answer, for the log
    event_count = 0  # whole events that have come and bring the answer on
    received_bytes = 0  # of the answer's body
    kept_bytes = 0  # of the answer, as counted in the budget

    def __init__(self, owner, budget):
        """`budget`: a ByteBudget of what all attempts keep of answers that can't be passed on yet."""
        self.owner, self.budget = owner, budget

    def count_kept(self, size):
        """This attempt now keeps `size` bytes. Breaks it off if all attempts together keep too much."""
        size = max(0, size - UNCOUNTED_BYTES)
        more = size - self.kept_bytes
        if more > 0 and not self.budget.take(more):
            return self.break_off("reset", "answers without an event use up their memory")
        if more < 0:
            self.budget.give_back(-more)
        self.kept_bytes = size

    @property
    def unsent(self):
        """Whether the kernel has not been given the whole request yet, so that it can't have run."""
        return not self.over and self.exchange.unsent

    @property
    def partly_sent(self):
        """Whether there is a connection that has not taken the whole request."""
        return self.unsent and self.exchange.connected

    def poll(self):
        """Takes what has arrived of the response by now."""
        if not self.over:
            self.exchange.poll()

    def pause(self):
        """Stops reading the response."""
        self.exchange.pause()

    def resume(self):
        """Reads the response again."""
        self.exchange.resume()

    def cancel(self):
        """Ends the attempt without calling the owner."""
        if not self.over:
            self.exchange.cancel()
            self.end()

    def break_off(self, code, why):
        """Aborts the exchange and reports the outcome `code`."""
        if not self.over:
            self.why = why
            self.exchange.cancel()
            self.finish(code)

    def finish(self, code):
        """Ends the attempt and reports the outcome `code`."""
        if not self.over:
            self.end().on_outcome(self, code, self.remark, self.report)

    def end(self):
        """Marks the attempt as over and returns its owner, which gets no further calls. The references are dropped so
        that no reference cycle remains."""
        self.over = True
        self.budget.give_back(self.kept_bytes)
        self.kept_bytes = 0
        owner, self.owner, self.exchange = self.owner, None, None
        return owner
