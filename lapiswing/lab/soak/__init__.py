"""A randomized fault soak: real gateway processes on loopback, stand-in model servers and discovery agents, impatient and
broken clients, and two or three troubles that overlap in time. Everything but the machine's scheduling follows from the
seed. `oracle` judges the standing rules from what clients, servers and agents saw, never from a gateway's own words.

    python -m lapiswing.lab.soak --seeds 1-20
    python -m lapiswing.lab.soak --seeds 7 --keep /tmp/day7      # with logs and records, to look into
"""
