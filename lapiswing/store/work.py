"""Where what blocks is done: at once (tools, tests), or by one worker thread beside a loop.

`submit(job, done)`: `job()` runs, then `done(result, problem)` is called, in the order of submission; `problem` is the OSError that it
raised, or None. The worker's queue is bounded by its users: the store submits one job at a time."""

import queue
import selectors
import socket
import threading


class InlineWorker:
    def submit(self, job, done):
        try:
            result, problem = job(), None
        except OSError as error:
            result, problem = None, error
        done(result, problem)

    def close(self):
        pass


class Worker:
    """One thread. It touches files only: nothing of the loop's, no state that the loop reads while a job runs."""

    def __init__(self, loop, most=64):
        self.loop, self.jobs, self.results = loop, queue.Queue(most), queue.SimpleQueue()
        self.near, self.far = socket.socketpair()
        self.near.setblocking(False)
        loop.watch(self.near, selectors.EVENT_READ, self.on_ready)
        self.thread = threading.Thread(target=self.run, name="disk", daemon=True)
        self.thread.start()

    def submit(self, job, done):
        self.jobs.put_nowait((job, done))

    def run(self):
        while True:
            job, done = self.jobs.get()
            if job is None:
                return
            try:
                result, problem = job(), None
            except OSError as error:
                result, problem = None, error
            except Exception as error:  # a fault in a job must not end the thread with others waiting
                result, problem = None, OSError(5, f"{type(error).__name__}: {error}")
            self.results.put((done, result, problem))
            try:
                self.far.send(b"x")
            except OSError:
                return  # closed

    def on_ready(self, _mask):
        try:
            self.near.recv(4096)
        except OSError:
            return
        while not self.results.empty():
            done, result, problem = self.results.get()
            self.loop.guard(None, done, result, problem)

    def close(self):
        """Waits for what was submitted."""
        self.jobs.put((None, None))
        self.thread.join(10)
        self.on_ready(0)
        self.loop.watch(self.near, 0, None)
        self.near.close()
        self.far.close()
