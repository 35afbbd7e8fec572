"""Findings from simulated symptoms: the counters of a gateway, second by second."""

import copy

import pytest

from lapiswing.admin.diagnosis import Diagnosis, verdict

S = 1_000_000


class Site:
    """A healthy site whose counters grow each second. A test changes the counters that its fault affects."""

    def __init__(self, readers=2, writers=3, tenants=("kiosk", "app")):
        self.diagnosis, self.now, self.changes = Diagnosis(), 100 * S, []
        names = [(f"r{i}", "read") for i in range(readers)] + [(f"w{i}", "write") for i in range(writers)]
        self.servers = {
            n: {
                "role": role,
                "mode": "ready",
                "why": None,
                "out": 0,
                "codes": {},
                "first_us": None if role == "read" else 20_000,
                "fail_us": None,
                "starts": 0,
                "cold": False,
                "suspect": False,
                "memory": 0.3,
            }
            for n, role in names
        }
        self.facts = {
            "boxes": self.servers,
            "counts": {"taken": 0, "pushed back": 0, "faults": 0, "backstop": 0, "capped": 0},
            "tenants": {t: {"taken": 0, "capped": 0} for t in tenants},
            "open": 3,
            "open_limit": 1000,
            "holds": 0,
            "oldest_hold_us": 0,
            "hold_limit_us": S // 2,
            "draining": False,
            "lag_us": 2000,
            "read_wait_us": 10_000,
            "write_wait_us": 5000,
            "first_p50_ms": 40,
            "first_p99_ms": 90,
            "list_fault": None,
            "disks": {"/": 0.5},
            "wall_us": 7,
            "starts_unix_ms": [1],
            "unix_ms": 10_000_000,
            "last_end": "",
            "store": ("good", None),
            "doubts": [],
            "records": [],
        }

    def run_seconds(self, n=1, **faults):
        """Simulates `n` seconds. `faults`: functions of the site that are called in each of them."""
        for _ in range(n):
            self.now += S
            self.facts["now_us"] = self.now
            for server in self.servers.values():
                if server["mode"] == "ready" and not server["suspect"]:
                    self.count_outcome(server, "read" if server["role"] == "read" else "done", 2)
            self.count_accepted("kiosk", 3)
            self.count_accepted("app", 3)
            for fault in faults.values():
                fault(self)
            for what, finding in self.diagnosis.observe(copy.deepcopy(self.facts)):
                self.changes.append((round((self.now - 100 * S) / S), what, finding.kind, finding.subject))
        return self

    def count_outcome(self, server, code, n):
        """`server`: its name or its row."""
        server = self.servers[server] if isinstance(server, str) else server
        server["codes"][code] = server["codes"].get(code, 0) + n

    def count_accepted(self, tenant, n):
        self.facts["counts"]["taken"] += n
        self.facts["tenants"][tenant]["taken"] += n

    def count_rejected(self, n):
        self.facts["counts"]["pushed back"] += n

    def open_kinds(self):
        return [(f.kind, f.subject) for f in self.diagnosis.findings]

    def verdict(self):
        return verdict(self.diagnosis.findings, self.facts)


def fails(name, code, n=1):
    """A fault: a server ends `n` attempts a second with `code`, and none successfully unless it is ejected."""

    def replace_successes(site):
        site.servers[name]["codes"].update(
            {
                success: count - 2
                for success, count in site.servers[name]["codes"].items()
                if success in ("done", "read") and not site.servers[name]["suspect"]
            }
        )
        site.count_outcome(name, code, n)

    return replace_successes


def test_healthy_site_has_no_findings():
    site = Site().run_seconds(120)
    assert not site.changes and site.verdict() == (0, "All well; first tokens after 0.04 s (slow ones 0.09 s).")


def test_single_failures_are_no_finding():
    """One lost answer, one slow turn of the loop or one rejection also happens on a healthy site."""
    site = Site().run_seconds(20)
    site.count_outcome("w0", "reset", 1)
    site.count_rejected(1)
    site.facts["lag_us"] = 200_000
    site.run_seconds()
    site.facts["lag_us"] = 1000
    site.run_seconds(30)
    assert not site.changes


@pytest.mark.parametrize(
    "code,kind", [("unreachable", "unreachable"), ("error", "fails fast"), ("reset", "fails fast"), ("timed_out", "silent")]
)
def test_failing_server_is_found_and_its_recovery_ends_the_finding(code, kind):
    site = Site().run_seconds(20).run_seconds(8, failing=fails("w1", code))
    assert site.open_kinds() == [(kind, "w1")] and site.verdict()[0] == 2 and "w1" in site.verdict()[1]
    begun_s = site.changes[0][0]
    assert begun_s - 20 <= 5
    site.run_seconds(40)
    assert site.open_kinds() == [] and site.changes[-1][1:] == ("over", kind, "w1")


def test_ejected_server_without_attempts_keeps_its_finding():
    site = Site().run_seconds(20).run_seconds(4, failing=fails("w1", "error"))
    site.servers["w1"]["suspect"] = True
    site.run_seconds(60)
    assert site.open_kinds() == [("fails fast", "w1")] and len(site.changes) == 1
    assert site.diagnosis.findings[0].since_us < site.now - 55 * S


def test_only_writer_drains():
    site = Site(writers=1).run_seconds(5)
    site.servers["w0"].update(mode="draining", why="operator")
    site.run_seconds()
    assert site.open_kinds() == [("no box", "writer")]
    assert site.verdict()[0] == 3 and "1 of 1 writers drains" in site.verdict()[1]
    assert "operator" in site.diagnosis.findings[0].evidence


def test_one_of_three_writers_left():
    site = Site().run_seconds(5)
    for name in ("w0", "w1"):
        site.servers[name].update(mode="draining", why="list")
    site.run_seconds(3)
    assert site.open_kinds() == [("last box", "writer")]


def test_failures_of_all_servers_are_reported_as_one_network_problem():
    site = Site().run_seconds(20)
    site.run_seconds(8, **{name: fails(name, "reset") for name in site.servers})
    assert site.open_kinds() == [("answers lost", "")]
    assert "don't drain" in site.diagnosis.findings[0].remedy


def test_cause_of_load_shedding_is_reading_writing_or_memory():
    def shed_load(site):
        site.count_rejected(3)

    site = Site().run_seconds(5)
    site.facts["read_wait_us"] = 900_000
    assert site.run_seconds(5, shed_load=shed_load).open_kinds() == [("readers full", "")]
    site = Site().run_seconds(5)
    site.facts["write_wait_us"] = 900_000
    assert site.run_seconds(5, shed_load=shed_load).open_kinds() == [("writers full", "")]
    for name in ("r0", "r1"):  # reads look slow because states wait for writers
        site.servers[name]["memory"] = 0.97
    site.facts["read_wait_us"] = 2_000_000
    site.run_seconds(12, shed_load=shed_load)
    assert site.open_kinds() == [("reader memory", "")]


def test_rejections_without_a_writer_are_not_overload():
    site = Site(writers=1).run_seconds(5)
    site.servers["w0"]["mode"] = "draining"
    site.run_seconds(6, shed_load=lambda site: site.count_rejected(6))
    assert site.open_kinds() == [("no box", "writer")]


def test_independent_causes_are_all_reported_most_severe_first():
    site = Site().run_seconds(20)
    site.facts["list_fault"] = "boxes.txtpb:3: box: no such field"
    site.servers["r0"].update(mode="draining", why="list")
    site.servers["r1"].update(mode="draining", why="list")
    site.run_seconds(6, failing=fails("w2", "error"))
    assert site.open_kinds() == [("no box", "reader"), ("list stale", ""), ("fails fast", "w2")]


def test_dominant_tenant_is_reported_only_during_rejections():
    site = Site().run_seconds(5)
    site.run_seconds(12, burst=lambda site: (site.count_accepted("app", 40), site.count_rejected(5)))
    assert ("tenant", "app") in site.open_kinds()
    without_rejections = Site().run_seconds(5).run_seconds(12, burst=lambda site: site.count_accepted("app", 40))
    assert without_rejections.open_kinds() == []  # a tenant may send most of the load while no request is rejected


def test_long_holds_are_reported():
    site = Site().run_seconds(3)
    site.facts.update(holds=4, oldest_hold_us=300_000)
    site.run_seconds(2)
    assert site.open_kinds() == [("holds", "")] and "300 ms of 500; 4 held" in site.diagnosis.findings[0].evidence


def test_repeated_restarts_of_a_server():
    site = Site().run_seconds(5)
    for _ in range(3):
        site.servers["w0"]["starts"] += 1
        site.run_seconds(15)
    assert ("restarts", "w0") in site.open_kinds()
    site.run_seconds(400)
    assert site.open_kinds() == []


def test_problems_of_the_gateway_and_its_machine():
    site = Site().run_seconds(3)
    site.facts["wall_us"] += 5 * S
    assert site.run_seconds().open_kinds() == [("clock", "")]
    site = Site().run_seconds(3)
    site.facts["disks"]["/"] = 0.004
    assert site.run_seconds(2).open_kinds() == [("disk", "/")] and site.verdict()[0] == 3
    site = Site().run_seconds(3)
    site.facts["store"] = ("full", "No space left on device")
    assert site.run_seconds(2).open_kinds() == [("store", "")]
    site = Site().run_seconds(3)
    site.facts.update(doubts=["dns-sd a."], records=[("dns-sd a.", "stale", "no server answers"), ("srv b.", "good", None)])
    assert site.run_seconds(2).open_kinds() == [("records doubted", "dns-sd a."), ("records silent", "dns-sd a.")]
    site = Site().run_seconds(3)
    site.facts["lag_us"] = 80_000
    assert site.run_seconds(8).open_kinds() == [("overloaded", "")]
    site = Site().run_seconds(3)
    site.facts["counts"]["backstop"] += 1
    assert site.run_seconds().open_kinds() == [("fault", "")]
    site = Site().run_seconds(3)
    site.facts.update(starts_unix_ms=[9_700_000, 9_800_000, 9_900_000, 9_990_000], last_end="killed by signal 9")
    assert site.run_seconds().open_kinds() == [("gateway restarts", "")] and site.verdict()[0] == 2


def test_slowness_is_relative_to_servers_of_the_same_role():
    site = Site(writers=4).run_seconds(12)
    site.servers["w3"]["first_us"] = 400_000
    site.run_seconds(3)
    assert site.open_kinds() == [("slow", "w3")] and site.verdict()[0] == 1
    site = Site(writers=4).run_seconds(12)
    for name in ("w0", "w1", "w2", "w3"):
        site.servers[name]["first_us"] = 400_000
    assert site.run_seconds(5).open_kinds() == []


def test_recently_started_servers_are_a_notice():
    site = Site().run_seconds(3)
    for name in ("w0", "w1"):
        site.servers[name]["cold"] = True
    assert site.run_seconds().open_kinds() == [("cold", "writer")] and site.verdict()[1].startswith("Well, with a notice")


def test_acknowledged_findings_rank_last_until_they_are_over():
    site = Site().run_seconds(3)
    site.facts["list_fault"] = "x"
    site.run_seconds(2)
    site.servers["w0"].update(mode="draining", why="box")
    site.servers["w1"].update(mode="draining", why="box")
    site.run_seconds(2)
    assert not site.diagnosis.acknowledge("list stale", "other") and site.diagnosis.acknowledge("list stale", "")
    assert site.open_kinds() == [("last box", "writer"), ("list stale", "")]
    site.facts["list_fault"] = None
    site.run_seconds(6)
    site.facts["list_fault"] = "y"
    site.run_seconds(2)
    assert not site.diagnosis.acknowledged
