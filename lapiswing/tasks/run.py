"""Runs generators in slices at the end of the loop's turns. A generator yields after each slice of its work; a number that it yields
counts as bytes that it moved, and `False` says that it waits for something and has nothing to do just now.

    job = tasks.add("compaction", engine.compact(), priority=7, share=0.1, done=told)
    job.cancel()"""

from lapiswing.tasks import decide


class Running:
    def __init__(self, tasks, job, work, done):
        self.tasks, self.job, self.work, self.done = tasks, job, work, done

    def cancel(self):
        """Its generator is closed; `done` is not called."""
        if self in self.tasks.running:
            self.tasks.running.remove(self)
            self.done = None
            self.work.close()


class Tasks:
    def __init__(self, loop):
        self.loop, self.running, self.timer, self.finished, self.faults = loop, [], None, [], 0
        self.counts = {"slices": 0, "held up": 0}
        loop.after.append(self.turn)

    def add(self, name, work, priority=5, share=1.0, bytes_s=None, due_us=None, done=None):
        """`done(problem)` at its end: None, or what it raised."""
        one = Running(self, decide.Job(name, priority, self.loop.clock.now_us(), share, bytes_s, due_us), work, done)
        self.running.append(one)
        self.wake(0)
        return one

    def wake(self, after_us):
        if self.timer is not None:
            self.timer.cancel()
        self.timer = self.loop.call_later(after_us, self.woken)

    def woken(self):
        self.timer = None  # the end of this turn does the work

    def turn(self):
        if not self.running or self.timer is not None:
            return
        now = self.loop.clock.now_us()
        budget = decide.budget_us(now - self.loop.now)
        self.counts["held up"] += budget < decide.BUDGET_US
        end, waiting = now + budget, set()
        while True:
            jobs = {id(r.job): r for r in self.running if r not in waiting}
            job = decide.choose([r.job for r in jobs.values()], now, end - now)
            if job is None:
                break
            one, start = jobs[id(job)], now
            moved, over, problem = 0, False, None
            try:
                moved = next(one.work)
            except StopIteration:
                over = True
            except Exception as error:  # a fault in background work ends that work only
                over, problem = True, error
                self.faults += 1
                if self.loop.on_error:
                    self.loop.on_error(error)
            now = self.loop.clock.now_us()
            if moved is False:
                waiting.add(one)
            decide.ran(job, now, now - start, moved or 0)
            self.counts["slices"] += 1
            if over:
                self.end(one, problem)
            if now >= end:
                break
        if self.running:
            rest = [r.job for r in self.running if r not in waiting]
            self.wake(0 if any(j.may() for j in rest) and budget else decide.next_look_us(rest, now) if rest else 2000)

    def end(self, one, problem):
        if one in self.running:
            self.running.remove(one)
        self.finished = [
            *self.finished[-19:],
            {
                "name": one.job.name,
                "slices": one.job.slices,
                "ms": one.job.spent_us // 1000,
                "bytes": one.job.moved,
                "problem": str(problem) if problem else None,
            },
        ]
        if one.done:
            one.done(problem)

    def rows(self):
        now = self.loop.clock.now_us()
        return [
            {
                "name": r.job.name,
                "priority": r.job.priority,
                "slices": r.job.slices,
                "ms": r.job.spent_us // 1000,
                "bytes": r.job.moved,
                "age_ms": (now - r.job.added_us) // 1000,
            }
            for r in self.running
        ]

    def close(self):
        for one in list(self.running):
            one.cancel()
        if self.timer is not None:
            self.timer.cancel()
