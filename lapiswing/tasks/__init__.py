"""Background work on the loop, in slices, by priority and under budgets.

decide   whose slice is next, and whether there is time for one at all; pure
run      the doing part"""

from lapiswing.tasks.run import Tasks

__all__ = ["Tasks"]
