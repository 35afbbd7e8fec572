"""The base of every error that an operator may meet. Each says what failed, where, and what the operator can
do.

    class StoreError(OperatorError):
        exit_code = 2
        advice = "One sentence, what to do."

`str(problem)` is the first line that the command line prints, `problem.advice` the second. docs/errors.md
lists all types; a test holds it against the classes."""


class OperatorError(Exception):
    """`where`: the file, address, folder or option; may be empty. `what`: what failed there. `advice`: one
    sentence on what the operator can do. `exit_code`: of the command that ends by it (1 something ran and
    went wrong, 2 a bad argument, file or setting, or something that has to be changed before a start)."""

    exit_code = 1
    advice = ""

    def __init__(self, where, what, advice=None):
        super().__init__(f"{where}: {what}" if where else what)
        self.where, self.what = str(where or ""), what
        if advice is not None:
            self.advice = advice


class CantListen(OperatorError):
    """An address can't be listened on. `problem`: the OSError."""

    exit_code = 2
    advice = "Free the address or name another one in the settings, and see that this user may use it."

    def __init__(self, where, problem):
        super().__init__(where, f"can't listen: {problem.strerror or problem}")
