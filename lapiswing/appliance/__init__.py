"""One command for a site: a supervisor that keeps the gateway (and, in the demo, stand-ins) running.

decide      when a process that ended is started again; pure
supervise   the doing part, a process of its own in a session of its own"""
