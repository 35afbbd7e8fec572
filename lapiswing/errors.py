"""The base class of all errors shown to operators. Each says what failed, where, and what the operator can do.

    class StoreError(OperatorError):
        exit_code = 2
        advice = "One sentence, what to do."

The command line prints `str(problem)` and then `problem.advice`. docs/errors.md lists all types; a test compares it with the
classes."""


class OperatorError(Exception):
    """`where`: the file, address, folder or option; may be empty. `what`: what failed there. `advice`: one sentence on what the
    operator can do. `exit_code`: of a command that ends with this error (1: something failed while running; 2: an invalid
    argument, file or setting, or something else that must be changed before a start)."""

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
