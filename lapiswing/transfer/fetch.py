"""One state on its way to us: which holder it is asked from, where it lands, how it ends."""

import mmap
import os
from errno import EDQUOT, ENOSPC

from lapiswing.transfer import decide
from lapiswing.transfer.machine import Receiver
from lapiswing.transfer.states import NOTE, PART, Part, file_name, read_note

MS = 1000
PAUSES_US = (0, 20 * MS, 60 * MS, 150 * MS, 400 * MS)  # before trying a holder again, by breaks in a row
RATE_US = 150 * MS  # over which a move's own rate is taken


class Fetch:
    """`done(fetch)` comes once. `why` is None and `memory` whole and verified (with a folder: `path` too), or `why` says what
    went wrong, `advice` what its caller had better do ('read anew' or 'elsewhere'), and nothing is held any more."""

    def __init__(self, agent, name, holders, due_us, expires_us, done, priority=5, alternatives=None, folder=None, keep=False):
        self.agent, self.name, self.holders, self.done = agent, name, list(holders), done
        self.due_us, self.expires_us, self.priority, self.alternatives = due_us, expires_us, priority, alternatives or {}
        self.folder, self.keep, self.part, self.path = folder, keep, None, None
        self.receiver = Receiver(name, self.allocate)
        self.link = self.why = self.memory = self.advice = self.buffer = self.why_not = self.checking = None
        self.transfer, self.opened, self.is_finished, self.reserved = 0, False, False, 0
        self.fails, self.corrupt, self.out = {}, {}, set()  # out: holders that have it no more
        self.breaks = self.leaves = self.gained = 0
        self.start_us = self.joined_us = agent.loop.clock.now_us()
        self.seen = self.start_us, 0
        self.timer = agent.loop.call_at(expires_us, self.end, "too late")
        self.pause = None

    # ---- where it lands

    def allocate(self, manifest):
        """Room for a state, within the agent's bound: from what was freed where that fits, for fresh memory costs a page
        fault every 4 KiB."""
        agent, length = self.agent, manifest.length
        self.give_back()
        if self.folder is not None:
            if agent.used_bytes + length > agent.memory_bytes:
                return None
            try:
                return self.land(Part(self.base(), manifest))
            except OSError as problem:
                if problem.errno not in (ENOSPC, EDQUOT):
                    agent.log("part file", why=str(problem))
                return None
        buffer = min((b for b in agent.spare if length <= len(b) <= 2 * length), key=len, default=None)
        if buffer is not None:
            agent.spare.remove(buffer)
        else:
            while agent.spare and agent.used_bytes + agent.kept() + length > agent.memory_bytes:
                agent.spare.pop(0)
            if agent.used_bytes + length > agent.memory_bytes:
                return None
            buffer = mmap.mmap(-1, length)  # pages come as chunks do; a bytearray would be cleared now, all at once
        self.buffer, self.reserved = buffer, len(buffer)
        agent.used_bytes += self.reserved
        return memoryview(buffer)[:length]

    def base(self):
        return os.path.join(self.folder, file_name(self.name))

    def land(self, part):
        self.part, self.reserved = part, part.manifest.length
        self.agent.used_bytes += self.reserved
        return memoryview(part.map)

    def place(self, index):
        """Where a chunk goes, or None: it is not wanted, or there is no room any more."""
        if self.part is not None and not self.part.reserve(index):
            self.end("no room")
            return None
        return self.receiver.place(index)

    def give_back(self):
        self.agent.used_bytes -= self.reserved
        self.reserved = 0
        if self.buffer is not None:
            self.agent.spare.append(self.buffer)
            self.buffer = None
        if self.part is not None:
            self.receiver.memory = None
            self.part.close() if self.keep else self.part.delete()
            self.part = None

    # ---- its way

    def start(self):
        """Takes up what an earlier agent left, then the way that `choose` gives."""
        if self.is_finished:
            return None
        left = read_note(self.base() + PART + NOTE) if self.folder is not None else None
        if left is None or left.name != self.name or self.agent.used_bytes + left.length > self.agent.memory_bytes:
            return self.go_on()
        try:
            memory = self.land(Part(self.base(), left))
        except OSError:
            return self.go_on()
        self.checking = self.agent.loop.call_later(0, self.check, memory)

    def check(self, memory):
        if not self.part.step():
            self.checking = self.agent.loop.call_later(0, self.check, memory)
            return
        self.checking = None
        self.receiver.restore(self.part.manifest, memory, self.part.found)
        self.agent.counts["chunks found again"] += self.part.found.count(1)
        if not self.receiver.missing:
            return self.whole()
        self.go_on()

    def go_on(self):
        way = self.choose()
        if way is None or way.holder is None:
            return self.end(self.why_not or "no holder can give it in time", way and way.what)
        fails = self.fails.get(way.holder, 0)
        self.pause = self.agent.loop.call_later(PAUSES_US[min(fails, len(PAUSES_US) - 1)], self.go, way.holder)
        return None

    def ways(self, but=None):
        """The holders that are open, but for one, and what the caller could do."""
        agent, left, ways = self.agent, self.receiver.left(), []
        for holder in self.holders:
            if holder in self.out or holder == but or self.corrupt.get(holder, 0) >= decide.BREAKS:
                continue
            window = agent.windows.get(holder)
            ways.append(
                decide.Way(
                    "resume",
                    left or 0,
                    window.rate if window else None,
                    0 if holder in agent.links else 2 * MS,
                    self.fails.get(holder, 0),
                    holder,
                )
            )
        if self.breaks or but is not None:  # a holder is tried first: what is left is not known before
            worst = max(self.fails, key=self.fails.get, default=None) if but is None else but
            length = self.receiver.manifest.length if self.receiver.manifest else 0
            ways += decide.other_ways(self.alternatives, length, "holder" if self.gone() else agent.paths.whose(worst))
        return ways

    def gone(self):
        """No holder has it any more."""
        return all(h in self.out for h in self.holders)

    def choose(self):
        return decide.next_step(self.ways(), self.agent.loop.clock.now_us(), self.expires_us)

    def go(self, holder):
        if not self.is_finished:
            self.agent.attach_to_holder(holder, self)

    def on_link_ready(self, link):
        link.add(self)

    def look(self, now):
        """Now and then: is it so slow that another way is better?"""
        seen_us, had = self.seen
        if self.link is None or not self.opened or now - max(seen_us, self.joined_us) < RATE_US:
            return
        rate = (self.gained - had) * 1e6 / (now - seen_us)
        self.seen = now, self.gained
        if self.leaves >= decide.LEAVES or not self.receiver.missing:
            return
        way = decide.next_step(self.ways(but=self.link.address), now, self.expires_us)
        left_us = self.receiver.left() * 1e6 / max(1.0, rate)
        if way is None or not decide.worth_leaving(left_us, decide.cost_us(way)):
            return
        if way.holder is None and now + left_us < self.expires_us:
            return  # slow, but in time: refusing it would throw away what is here, and may lead to the same path again
        self.leaves += 1
        self.agent.counts["left for another way"] += 1
        self.agent.log(
            "left a slow path",
            state=self.name,
            way=way.what,
            left_ms=round(left_us / MS),
            other_ms=round(decide.cost_us(way) / MS),
        )
        self.agent.paths.told(self.link.address, False)
        if way.holder is None:
            return self.end(f"slow path: {way.what}", way.what)
        self.link.drop(self)
        self.go(way.holder)

    def on_link_failed(self, holder, why, final=False):
        if self.is_finished:
            return
        self.breaks += 1
        self.why_not = why
        if self.agent.plain:
            self.receiver = Receiver(self.name, self.allocate)
        self.fails[holder] = self.fails.get(holder, 0) + 1
        if final:
            self.out.add(holder)
        else:
            self.agent.paths.told(holder, False)
        self.agent.counts["breaks"] += 1
        self.go_on()

    # ---- its end

    def whole(self):
        if self.part is not None:
            try:
                self.path = self.part.whole()
            except OSError as problem:
                return self.end(f"part file: {problem.strerror}")
        self.memory = self.receiver.memory
        self.end(None)

    def cancel(self):
        """Nothing more is heard of it; its memory is given back."""
        self.done = None
        self.end("cancelled")

    def end(self, why, advice=None):
        if self.is_finished:
            return
        self.is_finished, self.why = True, why
        self.timer.cancel()
        for timer in (self.pause, self.checking):
            if timer:
                timer.cancel()
        if self.link is not None:
            self.link.drop(self)
        agent = self.agent
        for line in agent.waiting.values():
            if self in line:
                line.remove(self)
        if why is not None:
            # Where nobody has it any more, or its holder is in trouble, only another read helps.
            own = not self.gone() and (why == "no room" or any(agent.paths.whose(h) == "own" for h in self.holders))
            self.advice = advice or ("elsewhere" if own else "read anew")
            self.free()
            self.receiver = Receiver(self.name, lambda manifest: None)
        agent.counts["done" if why is None else "failed"] += 1
        agent.ended(self)
        done, self.done = self.done, None
        if done:
            done(self)

    def free(self):
        """The memory is no longer counted; whoever got a whole state calls this when it is done with it. A file stays."""
        self.memory = None
        if self.path is not None:
            self.receiver.memory = None
            self.part.close()
            self.part = None
        self.give_back()
