"""Decides what a gateway does from its start until discovery has sent it a list of servers. No I/O.

Where changes are pushed, the agent on the gateway's machine may hold changes that came while no process was running, and they
bind the new process from its first moment. A list that an earlier process saved is then out of date by an unknown time: a
server that it has as ready may be draining, gone or cold. It is not used, and requests are rejected until discovery has sent
a list. Drawback: while discovery is down, a gateway that has just started serves nothing, though most of its old list holds.
Where lists are asked for, a change binds a process only some time after it could have asked, so the saved list is used until
then."""

MS = 1000
# A gateway without a list is not ready, so that clients go to others. This limit leaves most of the 10 s in which a restarted
# process has to be ready to its loading; after it, requests are rejected at once with a retry time.
MAX_UNREADY_US = 3000 * MS


class Startup:
    """The start of one process."""

    def __init__(self, changes_are_pushed, has_saved_list, now_us):
        """`has_saved_list`: whether an earlier process has left a list."""
        self.changes_are_pushed, self.has_saved_list, self.started_us = changes_are_pushed, has_saved_list, now_us

    @property
    def uses_saved_list(self):
        """Whether requests may go by the saved list until discovery has sent one."""
        return self.has_saved_list and not self.changes_are_pushed

    def is_ready(self, has_servers, now_us):
        """Whether the gateway reports that it is ready. `has_servers`: whether it knows servers that requests may go to."""
        return has_servers or self.has_saved_list and now_us - self.started_us >= MAX_UNREADY_US
