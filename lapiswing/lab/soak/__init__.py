"""Randomized fault soak. One run (a "day") starts real gateway processes on loopback together with stand-in prefill and
decode servers (roles `read` and `write`), stand-in discovery agents, and clients that disconnect early or send broken
requests, and injects two to four overlapping faults ("troubles") at a time. Everything except the scheduling of the host
follows from the seed. `oracle` checks the invariants using only what clients, servers and agents observed; a gateway's own
log is searched only for reported faults.

    python -m lapiswing.lab.soak --seeds 1-20
    python -m lapiswing.lab.soak --seeds 7 --keep /tmp/day7      # keeps logs and configurations
"""
