"""Background tasks on the event loop, run in slices by priority and within time budgets.

decide   which task runs next, and whether there is time for it; no I/O
run      runs the tasks"""

from lapiswing.tasks.run import Tasks

__all__ = ["Tasks"]
