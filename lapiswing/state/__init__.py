"""What a gateway remembers across a restart.

records   converts between records and bytes, and decides which stored records still apply; pure
memory    connects the gateway core, the operators' actions and the store"""

from lapiswing.state.memory import Memory

__all__ = ["Memory"]
