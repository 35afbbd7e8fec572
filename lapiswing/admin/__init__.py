"""The admin interface of a running gateway: its state for operators, and the actions that they may take.

diagnosis   counters of the gateway -> findings; no I/O
feed        a bounded list of changes with sequence numbers; no I/O
facts       reads the gateway's counters and open requests, long lists in slices
serve       the admin sockets, served on the gateway's event loop
client      a small blocking client for commands"""
