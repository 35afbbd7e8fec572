"""What a gateway remembers across a restart.

records   records <-> bytes, and what of them is still to be believed; pure
memory    the doing part: between the core, the operators' acts and the store"""

from lapiswing.state.memory import Memory

__all__ = ["Memory"]
