"""Supervision of one site: keeps the gateway (and, in the demo, the stand-in servers) running.

decide      when a process that ended is restarted; pure
supervise   starts, watches and stops the processes; runs as a process in its own session"""
