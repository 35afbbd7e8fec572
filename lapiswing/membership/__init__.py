"""Which servers exist, according to several sources. The merging itself is done in `merge`, without I/O."""

from lapiswing.membership.merge import Membership

__all__ = ["Membership"]
