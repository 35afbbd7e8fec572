"""What callers may rely on, for each kind of thing that comes in several makes."""

import pytest


def those(makes, *can, **are):
    """The makes that can do this and are so, as a fixture's parameters."""
    fit = [m for m in makes if all(hasattr(m, c) for c in can) and all(getattr(m, k) == v for k, v in are.items())]
    return pytest.fixture(params=fit, ids=lambda m: m.__name__)
