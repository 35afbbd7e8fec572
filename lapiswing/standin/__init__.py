"""Stand-ins for model servers, with a fault script. They speak the protocol of docs/boxes.md and record what they receive."""

from lapiswing.standin.box import Box, BoxSpec
from lapiswing.standin.fleet import Fleet, load_fleet

__all__ = ["Box", "BoxSpec", "Fleet", "load_fleet"]
