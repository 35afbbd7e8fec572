"""Finds servers by DNS records: sends the queries that the browsers need and passes the results on to the merge."""

MS = 1000
POLL_US = 200 * MS
QUERIES_PER_S = 300  # rate and burst; each query costs about a millisecond of the loop
FIRST_RESULT_US = 2_000 * MS  # the first result is only passed on once it is complete, or after this time
BATCH_US = 10 * MS  # answers that arrive within this time are processed together


class Discovery:
    """Polls the browsers of all sources of records."""

    def __init__(self, loop, resolver, browsers, row_of, publish, tick, log):
        """`browsers`: {source: Browser}; `row_of(found)` -> row, or raises ValueError; `publish(source, rows)` passes a source's
        servers on; `tick()` is called at each poll."""
        self.loop, self.resolver, self.browsers, self.log = loop, resolver, browsers, log
        self.row_of, self.publish, self.tick = row_of, publish, tick
        self.last, self.states, self.refused, self.closed, self.scheduled = {}, {}, {}, False, set()
        self.query_tokens, self.tokens_refilled_us, self.start_us = float(QUERIES_PER_S), loop.clock.now_us(), loop.clock.now_us()
        self.poll()

    def poll(self):
        """Polls all sources."""
        if self.closed:
            return
        self.timer = self.loop.call_later(POLL_US, self.poll)
        for source, browser in self.browsers.items():
            self.send_queries(browser)
            self.update_source(source, browser)
        self.tick()

    def send_queries(self, browser):
        """Sends the queries that a browser needs, as far as the rate limit allows."""
        self.scheduled.discard(browser)
        if self.closed:
            return
        now = self.loop.clock.now_us()
        self.query_tokens, self.tokens_refilled_us = (
            min(float(QUERIES_PER_S), self.query_tokens + (now - self.tokens_refilled_us) * QUERIES_PER_S / 1e6),
            now,
        )
        for name, kind in browser.next_queries(now, int(self.query_tokens)) if self.query_tokens >= 1 else ():
            self.query_tokens -= 1
            self.resolver.ask(
                name, kind, lambda answer, why, name=name, kind=kind: self.on_answer(browser, name, kind, answer, why)
            )

    def on_answer(self, browser, name, kind, answer, why):
        if not self.closed:
            browser.on_answer(name, kind, answer, self.loop.clock.now_us(), why)
            if browser not in self.scheduled:  # answers lead to further queries: from an instance to its records to addresses
                self.scheduled.add(browser)
                # Searching many names is costly, so it is done less often when there are many.
                self.loop.call_later(BATCH_US + 50 * len(browser.cache.entries), self.send_queries, browser)

    def update_source(self, source, browser):
        """Passes on a source's servers if they have changed."""
        now = self.loop.clock.now_us()
        if browser.in_flight and source not in self.last and now - self.start_us < FIRST_RESULT_US:
            return
        view = browser.view(now)
        if view.state == "none" and source not in self.last:
            return
        if view.state != self.states.get(source):
            self.states[source] = view.state
            self.log.info("records", source=source, state=view.state, boxes=len(view.servers), why=browser.problem)
        rows, refused = [], list(view.refused)
        for found in view.servers:
            try:
                rows.append(self.row_of(found))
            except ValueError as problem:
                refused.append((found.name, str(problem)))
        for name, why in refused:
            if self.refused.get((source, name)) != why:
                self.log.warning("record refused", source=source, name=name[:100], why=why[:200])
        self.refused = {k: v for k, v in self.refused.items() if k[0] != source} | {(source, n): w for n, w in refused}
        if rows != self.last.get(source):
            self.last[source] = rows
            self.publish(source, rows)

    def rows(self):
        """-> the state of all sources and name servers, for the admin interface."""
        return {
            "sources": [
                {
                    "source": source,
                    "state": self.states.get(source, "none"),
                    "boxes": len(self.last.get(source, ())),
                    "problem": browser.problem,
                }
                for source, browser in self.browsers.items()
            ],
            "servers": [
                {
                    "server": f"{server.address[0]}:{server.address[1]}",
                    "fails": server.fails,
                    "answers": server.answers,
                    "lost": server.lost,
                }
                for server in self.resolver.servers
            ],
            "refused": [{"source": source, "name": name, "why": why} for (source, name), why in self.refused.items()][:100],
            "counts": self.resolver.counts,
        }

    def close(self):
        self.closed = True
        self.timer.cancel()
        self.resolver.close()
