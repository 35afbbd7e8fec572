"""Which boxes there are, by whose word. The deciding part is `merge`, without I/O."""

from lapiswing.membership.merge import Membership

__all__ = ["Membership"]
