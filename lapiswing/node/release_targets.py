"""Chooses the servers that a release is sent to, so that at least one of them receives it in time. No I/O. Any running server
may be chosen, because each passes a release on to the server that holds the state.

Tolerates a holder that is cut off, alone or with its zone, a cut-off zone of this gateway, and lost answers. If no server
answers at all, `MAX_CALLS_PER_WAVE` bounds the messages that are sent in vain."""

from lapiswing.routing.randomness import hash_fraction

MAX_CALLS_PER_WAVE = 4  # servers contacted in one wave
WAVES_IN_TIME = 8  # waves within the time for a release; each follows if the ones before it got no answer


def calls_in_wave(wave):
    """-> how many servers are contacted in this wave, counted from 0."""
    return min(MAX_CALLS_PER_WAVE, 1 << wave)


class ReleaseTargets:
    """When each server last answered and last failed to answer, in us of one clock. `salt` is unique to this gateway, so that
    gateways with the same problem do not all choose the same server."""

    def __init__(self, zone, salt):
        self.zone, self.salt, self.zones = zone, salt, {}
        self.answered_us, self.unanswered_us = {}, {}
        self.shuffles = 0

    def set_servers(self, zones):
        """`zones`: zone of each listed server, by name."""
        self.zones = zones
        for known in (self.answered_us, self.unanswered_us):
            for name in [n for n in known if n not in zones]:
                del known[name]

    def record_answer(self, server, now_us):
        """The server has answered a call."""
        if server in self.zones:
            self.answered_us[server] = now_us

    def record_silence(self, server, now_us):
        """The server did not answer a call, or could not be connected to."""
        if server in self.zones:
            self.unanswered_us[server] = now_us

    def is_silent(self, name):
        """Whether the server has failed to answer since its last answer."""
        return self.unanswered_us.get(name, 0) > self.answered_us.get(name, 0)

    def first_targets(self, holder):
        """-> servers to try in the first wave, in order: usually just the holder, which avoids ranking all others."""
        return [holder] if holder in self.zones and not self.is_silent(holder) else self.all_targets(holder)

    def all_targets(self, holder):
        """-> all servers in the order in which to try them. The holder comes first unless it is silent. The others alternate
        between zones, so that the first few are not all behind one cut: zones that have answered since their last failure
        first, this gateway's own zone first among these. Within a zone: servers that are not silent first, then by the
        latest answer, then at random."""
        self.shuffles += 1
        shuffle = b"/%d/%d" % (self.salt, self.shuffles)
        chance = {name: hash_fraction(name.encode() + shuffle) for name in self.zones}
        by_zone, is_silent = {}, self.is_silent
        for name, zone in self.zones.items():
            by_zone.setdefault(zone, []).append(name)
        last_us = {
            zone: [max(known.get(n, 0) for n in names) for known in (self.answered_us, self.unanswered_us)]
            for zone, names in by_zone.items()
        }
        for names in by_zone.values():
            names.sort(key=lambda n: (is_silent(n), -self.answered_us.get(n, 0), chance[n]))
        zones = sorted(by_zone, key=lambda z: (last_us[z][1] > last_us[z][0], z != self.zone, chance[by_zone[z][0]]))
        targets = [by_zone[z][i] for i in range(max(map(len, by_zone.values()), default=0)) for z in zones if i < len(by_zone[z])]
        targets.sort(key=is_silent)
        if holder in self.zones:
            targets.remove(holder)
            others = sum(not is_silent(n) for n in targets)
            targets.insert(others if is_silent(holder) else 0, holder)
        return targets
