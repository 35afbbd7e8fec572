"""What staff see of a running gateway, and do to it.

diagnosis   observations -> findings; pure
feed        a bounded list of changes with sequence numbers; pure
facts       reads a gateway's own counters, in slices
serve       the admin socket, on the project's loop
client      a small blocking client"""
