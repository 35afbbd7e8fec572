"""The doing part of finding boxes by records: asks what its browsers want, and tells the merge what they see."""

MS = 1000
LOOK_US = 200 * MS
ASKS_S = 300  # questions a second, and at once: each costs about a millisecond of the loop
FIRST_US = 2_000 * MS  # the first sight is told whole, if it is so within this
SOON_US = 10 * MS  # answers that come together are looked at together


class Discovery:
    def __init__(self, loop, resolver, browsers, row_of, tell, tick, log):
        """`browsers`: {source: Browser}; `row_of(found)` -> row, or raises ValueError; `tell(source, rows)`; `tick()` each look."""
        self.loop, self.resolver, self.browsers, self.log = loop, resolver, browsers, log
        self.row_of, self.tell, self.tick = row_of, tell, tick
        self.last, self.states, self.refused, self.closed, self.soon = {}, {}, {}, False, set()
        self.left, self.left_us, self.start_us = float(ASKS_S), loop.clock.now_us(), loop.clock.now_us()
        self.look()

    def look(self):
        if self.closed:
            return
        self.timer = self.loop.call_later(LOOK_US, self.look)
        for source, browser in self.browsers.items():
            self.ask(browser)
            self.see(source, browser)
        self.tick()

    def ask(self, browser):
        self.soon.discard(browser)
        if self.closed:
            return
        now = self.loop.clock.now_us()
        self.left, self.left_us = min(float(ASKS_S), self.left + (now - self.left_us) * ASKS_S / 1e6), now
        for name, kind in browser.next_queries(now, int(self.left)) if self.left >= 1 else ():
            self.left -= 1
            self.resolver.ask(name, kind, lambda answer, why, name=name, kind=kind: self.told(browser, name, kind, answer, why))

    def told(self, browser, name, kind, answer, why):
        if not self.closed:
            browser.on_answer(name, kind, answer, self.loop.clock.now_us(), why)
            if browser not in self.soon:  # an instance leads to its records, these to addresses
                self.soon.add(browser)
                # With many names a look over all of them costs: it is taken less often then.
                self.loop.call_later(SOON_US + 50 * len(browser.cache.entries), self.ask, browser)

    def see(self, source, browser):
        now = self.loop.clock.now_us()
        if browser.in_flight and source not in self.last and now - self.start_us < FIRST_US:
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
            self.tell(source, rows)

    def rows(self):
        return {
            "sources": [
                {"source": s, "state": self.states.get(s, "none"), "boxes": len(self.last.get(s, ())), "problem": b.problem}
                for s, b in self.browsers.items()
            ],
            "servers": [
                {"server": f"{u.address[0]}:{u.address[1]}", "fails": u.fails, "answers": u.answers, "lost": u.lost}
                for u in self.resolver.servers
            ],
            "refused": [{"source": s, "name": n, "why": w} for (s, n), w in self.refused.items()][:100],
            "counts": self.resolver.counts,
        }

    def close(self):
        self.closed = True
        self.timer.cancel()
        self.resolver.close()
