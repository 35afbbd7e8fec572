"""Runs generators in slices at the end of the loop's turns. A generator yields after each slice of its work: a number of bytes
that it moved, or `False` if it waits for something and has nothing to do at present.

    task = tasks.add("compaction", engine.compact(), priority=7, share=0.1, done=on_done)
    task.cancel()"""

from lapiswing.tasks import decide


class RunningTask:
    """A task that has been added and has not ended."""

    def __init__(self, tasks, job, work, done):
        self.tasks, self.job, self.work, self.done = tasks, job, work, done

    def cancel(self):
        """Closes the generator; `done` is not called."""
        if self in self.tasks.running:
            self.tasks.running.remove(self)
            self.done = None
            self.work.close()


class Tasks:
    """The background tasks of a loop."""

    def __init__(self, loop):
        self.loop, self.running, self.timer, self.finished, self.faults = loop, [], None, [], 0
        self.counts = {"slices": 0, "held up": 0}
        loop.after.append(self.run_slices)

    def add(self, name, work, priority=5, share=1.0, bytes_per_s=None, due_us=None, done=None):
        """Adds a task. `work`: its generator; for the limits see decide. `done(problem)` is called at its end with None, or with
        the exception that it raised."""
        task = RunningTask(self, decide.Job(name, priority, self.loop.clock.now_us(), share, bytes_per_s, due_us), work, done)
        self.running.append(task)
        self.schedule(0)
        return task

    def schedule(self, after_us):
        """Makes the loop turn after this time at the latest."""
        if self.timer is not None:
            self.timer.cancel()
        self.timer = self.loop.call_later(after_us, self.on_timer)

    def on_timer(self):
        """The tasks run at the end of the turn that this timer has caused."""
        self.timer = None

    def run_slices(self):
        """Called at the end of each turn of the loop: runs slices within the budget."""
        if not self.running or self.timer is not None:
            return
        now = self.loop.clock.now_us()
        budget = decide.budget_us(now - self.loop.now)
        self.counts["held up"] += budget < decide.TURN_BUDGET_US
        end, waiting = now + budget, set()
        while True:
            jobs = {id(task.job): task for task in self.running if task not in waiting}
            job = decide.choose_job([task.job for task in jobs.values()], now, end - now)
            if job is None:
                break
            task, start = jobs[id(job)], now
            moved, ended, problem = 0, False, None
            try:
                moved = next(task.work)
            except StopIteration:
                ended = True
            except Exception as error:  # an exception ends only the task that raised it
                ended, problem = True, error
                self.faults += 1
                if self.loop.on_error:
                    self.loop.on_error(error)
            now = self.loop.clock.now_us()
            if moved is False:
                waiting.add(task)
            decide.record_slice(job, now, now - start, moved or 0)
            self.counts["slices"] += 1
            if ended:
                self.finish(task, problem)
            if now >= end:
                break
        if self.running:
            runnable = [task.job for task in self.running if task not in waiting]
            self.schedule(
                0
                if any(job.can_run() for job in runnable) and budget
                else decide.next_check_us(runnable, now)
                if runnable
                else 2000
            )

    def finish(self, task, problem):
        """A task has ended or failed."""
        if task in self.running:
            self.running.remove(task)
        self.finished = [
            *self.finished[-19:],
            {
                "name": task.job.name,
                "slices": task.job.slices,
                "ms": task.job.spent_us // 1000,
                "bytes": task.job.moved_bytes,
                "problem": str(problem) if problem else None,
            },
        ]
        if task.done:
            task.done(problem)

    def rows(self):
        """The running tasks, for the status API."""
        now = self.loop.clock.now_us()
        return [
            {
                "name": task.job.name,
                "priority": task.job.priority,
                "slices": task.job.slices,
                "ms": task.job.spent_us // 1000,
                "bytes": task.job.moved_bytes,
                "age_ms": (now - task.job.added_us) // 1000,
            }
            for task in self.running
        ]

    def close(self):
        """Cancels all tasks."""
        for task in list(self.running):
            task.cancel()
        if self.timer is not None:
            self.timer.cancel()
