"""Runs blocking jobs: immediately on the calling thread (tools, tests), or on one worker thread beside an event loop.

`submit(job, done)` runs `job()` and then calls `done(result, problem)`, in the order of submission; `problem` is the OSError
that the job raised, or None."""

import queue
import selectors
import socket
import threading


class InlineWorker:
    """Runs each job at once, on the calling thread."""

    def submit(self, job, done):
        """Runs a job and calls `done` with its result."""
        try:
            result, problem = job(), None
        except OSError as error:
            result, problem = None, error
        done(result, problem)

    def close(self):
        """Nothing to wait for."""
        pass


class Worker:
    """Runs jobs on one thread and calls `done` on the loop. Jobs may only access files, and no state that the loop reads while
    they run. The queue holds `max_jobs`; the store submits few at a time."""

    def __init__(self, loop, max_jobs=64):
        self.loop, self.jobs, self.results = loop, queue.Queue(max_jobs), queue.SimpleQueue()
        self.wake_receiver, self.wake_sender = socket.socketpair()
        self.wake_receiver.setblocking(False)
        loop.watch(self.wake_receiver, selectors.EVENT_READ, self.on_ready)
        self.thread = threading.Thread(target=self.run, name="disk", daemon=True)
        self.thread.start()

    def submit(self, job, done):
        """Queues a job. Raises queue.Full."""
        self.jobs.put_nowait((job, done))

    def run(self):
        """Body of the thread: runs jobs until `close`."""
        while True:
            job, done = self.jobs.get()
            if job is None:
                return
            try:
                result, problem = job(), None
            except OSError as error:
                result, problem = None, error
            except Exception as error:  # a fault in one job must not end the thread while others wait
                result, problem = None, OSError(5, f"{type(error).__name__}: {error}")
            self.results.put((done, result, problem))
            try:
                self.wake_sender.send(b"x")
            except OSError:
                return  # the worker has been closed

    def on_ready(self, _mask):
        """Called on the loop when jobs have ended: delivers their results."""
        try:
            self.wake_receiver.recv(4096)
        except OSError:
            return
        while not self.results.empty():
            done, result, problem = self.results.get()
            self.loop.guard(None, done, result, problem)

    def close(self):
        """Waits for the submitted jobs, at most 10 s, and ends the thread."""
        self.jobs.put((None, None))
        self.thread.join(10)
        self.on_ready(0)
        self.loop.watch(self.wake_receiver, 0, None)
        self.wake_receiver.close()
        self.wake_sender.close()
