"""Whom to tell something that any model server may be told, so that one of them hears it in time. No I/O, and
no word on reqs: it serves a release, which each server that runs passes on to whoever holds.

Guards against a holder that is cut off, alone or with its zone, against this gateway's own zone being cut
off, and against answers that get lost. Could harm by its messages where no server answers at all: `AT_ONCE`
bounds them."""

from lapiswing.routing.randomness import hash_fraction

AT_ONCE = 4  # servers told anew at the most each time
PARTS = 8  # of the time there is to let go: after each without an answer more servers are told


def more_at(wave):
    """How many servers are told anew at the start of this part of the time, counted from 0."""
    return min(AT_ONCE, 1 << wave)


class ReleaseTargets:
    """What was heard of servers, and when; times in us of one clock. `salt`: this gateway's own, so that
    gateways in one trouble do not all turn to the same server."""

    def __init__(self, zone, salt):
        self.zone, self.salt, self.zones = zone, salt, {}
        self.heard_us, self.silent_us = {}, {}
        self.draws = 0

    def listed(self, zones):
        """`zones`: of all servers of the list, by name."""
        self.zones = zones
        for known in (self.heard_us, self.silent_us):
            for name in [n for n in known if n not in zones]:
                del known[name]

    def heard(self, server, now_us):
        if server in self.zones:
            self.heard_us[server] = now_us

    def silent(self, server, now_us):
        """It was told something and did not answer, or can't be connected to."""
        if server in self.zones:
            self.silent_us[server] = now_us

    def quiet(self, name):
        """It was silent since it was last heard."""
        return self.silent_us.get(name, 0) > self.heard_us.get(name, 0)

    def first(self, holder):
        """Whom to tell first, in a line: mostly the holder, without a look at all the others."""
        return [holder] if holder in self.zones and not self.quiet(holder) else self.order(holder)

    def order(self, holder):
        """All servers. First the holder, unless it is known to be silent; then zone by zone in turn, so that
        the first few are not all behind one cut: zones that have answered since one of theirs was silent, the
        own one first of these; in each zone who was not silent since it was last heard, the last heard first,
        else by chance."""
        self.draws += 1
        draw = b"/%d/%d" % (self.salt, self.draws)
        chance = {name: hash_fraction(name.encode() + draw) for name in self.zones}
        by_zone, quiet = {}, self.quiet
        for name, zone in self.zones.items():
            by_zone.setdefault(zone, []).append(name)
        latest = {
            zone: [max(known.get(n, 0) for n in names) for known in (self.heard_us, self.silent_us)]
            for zone, names in by_zone.items()
        }
        for names in by_zone.values():
            names.sort(key=lambda n: (quiet(n), -self.heard_us.get(n, 0), chance[n]))
        zones = sorted(by_zone, key=lambda z: (latest[z][1] > latest[z][0], z != self.zone, chance[by_zone[z][0]]))
        line = [by_zone[z][at] for at in range(max(map(len, by_zone.values()), default=0)) for z in zones if at < len(by_zone[z])]
        line.sort(key=quiet)
        if holder in self.zones:
            line.remove(holder)
            others = sum(not quiet(n) for n in line)
            line.insert(others if quiet(holder) else 0, holder)
        return line
