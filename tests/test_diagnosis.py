"""Findings from traces of symptoms: counters as a gateway has them, second by second."""

import copy

import pytest

from lapiswing.admin.diagnosis import Diagnosis, verdict

S = 1_000_000


class Site:
    """A quiet site whose counters go on; a test changes what its trouble changes."""

    def __init__(self, readers=2, writers=3, tenants=("kiosk", "app")):
        self.diagnosis, self.now, self.news = Diagnosis(), 100 * S, []
        names = [(f"r{i}", "read") for i in range(readers)] + [(f"w{i}", "write") for i in range(writers)]
        self.boxes = {
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
            "boxes": self.boxes,
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

    def second(self, n=1, **change):
        """`change`: what happens in each of these seconds, as functions of the site."""
        for _ in range(n):
            self.now += S
            self.facts["now_us"] = self.now
            for box in self.boxes.values():
                if box["mode"] == "ready" and not box["suspect"]:
                    self.count(box, "read" if box["role"] == "read" else "done", 2)
            self.taken("kiosk", 3)
            self.taken("app", 3)
            for do in change.values():
                do(self)
            for what, found in self.diagnosis.observe(copy.deepcopy(self.facts)):
                self.news.append((round((self.now - 100 * S) / S), what, found.kind, found.subject))
        return self

    def count(self, box, code, n):
        box = self.boxes[box] if isinstance(box, str) else box
        box["codes"][code] = box["codes"].get(code, 0) + n

    def taken(self, tenant, n):
        self.facts["counts"]["taken"] += n
        self.facts["tenants"][tenant]["taken"] += n

    def pushed(self, n):
        self.facts["counts"]["pushed back"] += n

    def kinds(self):
        return [(f.kind, f.subject) for f in self.diagnosis.findings]

    def says(self):
        return verdict(self.diagnosis.findings, self.facts)


def fails(name, code, n=1):
    def do(site):
        site.boxes[name]["codes"].update(
            {c: v - 2 for c, v in site.boxes[name]["codes"].items() if c in ("done", "read") and not site.boxes[name]["suspect"]}
        )
        site.count(name, code, n)

    return do


def test_a_quiet_site_has_no_findings():
    site = Site().second(120)
    assert not site.news and site.says() == (0, "All well; first tokens after 0.04 s (slow ones 0.09 s).")


def test_luck_is_no_finding():
    """One lost answer, one slow turn, a pushback: each happens on a good day."""
    site = Site().second(20)
    site.count("w0", "reset", 1)
    site.pushed(1)
    site.facts["lag_us"] = 200_000
    site.second()
    site.facts["lag_us"] = 1000
    site.second(30)
    assert not site.news


@pytest.mark.parametrize(
    "code,kind", [("unreachable", "unreachable"), ("error", "fails fast"), ("reset", "fails fast"), ("timed_out", "silent")]
)
def test_a_box_that_fails_is_found_and_its_end_too(code, kind):
    site = Site().second(20).second(8, bad=fails("w1", code))
    assert site.kinds() == [(kind, "w1")] and site.says()[0] == 2 and "w1" in site.says()[1]
    begun = site.news[0][0]
    assert begun - 20 <= 5
    site.second(40)
    assert site.kinds() == [] and site.news[-1][1:] == ("over", kind, "w1")


def test_a_suspect_that_gets_nothing_any_more_keeps_its_finding():
    site = Site().second(20).second(4, bad=fails("w1", "error"))
    site.boxes["w1"]["suspect"] = True
    site.second(60)
    assert site.kinds() == [("fails fast", "w1")] and len(site.news) == 1
    assert site.diagnosis.findings[0].since_us < site.now - 55 * S


def test_the_only_writer_drains():
    site = Site(writers=1).second(5)
    site.boxes["w0"].update(mode="draining", why="operator")
    site.second()
    assert site.kinds() == [("no box", "writer")]
    assert site.says()[0] == 3 and "1 of 1 writers drains" in site.says()[1]
    assert "operator" in site.diagnosis.findings[0].evidence


def test_the_last_of_three_writers():
    site = Site().second(5)
    for name in ("w0", "w1"):
        site.boxes[name].update(mode="draining", why="list")
    site.second(3)
    assert site.kinds() == [("last box", "writer")]


def test_all_writers_look_bad_is_the_networks_trouble_not_theirs():
    site = Site().second(20)
    site.second(8, **{name: fails(name, "reset") for name in site.boxes})
    assert site.kinds() == [("answers lost", "")]
    assert "don't drain" in site.diagnosis.findings[0].remedy


def test_pushbacks_by_reading_by_writing_and_by_memory():
    def shed(site):
        site.pushed(3)

    site = Site().second(5)
    site.facts["read_wait_us"] = 900_000
    assert site.second(5, shed=shed).kinds() == [("readers full", "")]
    site = Site().second(5)
    site.facts["write_wait_us"] = 900_000
    assert site.second(5, shed=shed).kinds() == [("writers full", "")]
    for name in ("r0", "r1"):  # slow reads that are in truth states without writers
        site.boxes[name]["memory"] = 0.97
    site.facts["read_wait_us"] = 2_000_000
    site.second(12, shed=shed)
    assert site.kinds() == [("reader memory", "")]


def test_pushbacks_while_no_writer_is_left_are_no_load():
    site = Site(writers=1).second(5)
    site.boxes["w0"]["mode"] = "draining"
    site.second(6, shed=lambda s: s.pushed(6))
    assert site.kinds() == [("no box", "writer")]


def test_two_causes_at_once_are_both_told_the_worse_first():
    site = Site().second(20)
    site.facts["list_fault"] = "boxes.txtpb:3: box: no such field"
    site.boxes["r0"].update(mode="draining", why="list")
    site.boxes["r1"].update(mode="draining", why="list")
    site.second(6, bad=fails("w2", "error"))
    assert site.kinds() == [("no box", "reader"), ("list stale", ""), ("fails fast", "w2")]


def test_a_tenant_that_takes_all_while_others_are_pushed_back():
    site = Site().second(5)
    site.second(12, much=lambda s: (s.taken("app", 40), s.pushed(5)))
    assert ("tenant", "app") in site.kinds()
    calm = Site().second(5).second(12, much=lambda s: s.taken("app", 40))
    assert calm.kinds() == []  # it may, as long as nobody is turned away


def test_holds_near_their_limit():
    site = Site().second(3)
    site.facts.update(holds=4, oldest_hold_us=300_000)
    site.second(2)
    assert site.kinds() == [("holds", "")] and "300 ms of 500; 4 held" in site.diagnosis.findings[0].evidence


def test_a_box_that_starts_again_and_again():
    site = Site().second(5)
    for _ in range(3):
        site.boxes["w0"]["starts"] += 1
        site.second(15)
    assert ("restarts", "w0") in site.kinds()
    site.second(400)
    assert site.kinds() == []


def test_the_clock_the_disk_the_loop_and_the_gateway_itself():
    site = Site().second(3)
    site.facts["wall_us"] += 5 * S
    assert site.second().kinds() == [("clock", "")]
    site = Site().second(3)
    site.facts["disks"]["/"] = 0.004
    assert site.second(2).kinds() == [("disk", "/")] and site.says()[0] == 3
    site = Site().second(3)
    site.facts["store"] = ("full", "No space left on device")
    assert site.second(2).kinds() == [("store", "")]
    site = Site().second(3)
    site.facts.update(doubts=["dns-sd a."], records=[("dns-sd a.", "stale", "no server answers"), ("srv b.", "good", None)])
    assert site.second(2).kinds() == [("records doubted", "dns-sd a."), ("records silent", "dns-sd a.")]
    site = Site().second(3)
    site.facts["lag_us"] = 80_000
    assert site.second(8).kinds() == [("overloaded", "")]
    site = Site().second(3)
    site.facts["counts"]["backstop"] += 1
    assert site.second().kinds() == [("fault", "")]
    site = Site().second(3)
    site.facts.update(starts_unix_ms=[9_700_000, 9_800_000, 9_900_000, 9_990_000], last_end="killed by signal 9")
    assert site.second().kinds() == [("gateway restarts", "")] and site.says()[0] == 2


def test_slow_against_its_like_only():
    site = Site(writers=4).second(12)
    site.boxes["w3"]["first_us"] = 400_000
    site.second(3)
    assert site.kinds() == [("slow", "w3")] and site.says()[0] == 1
    site = Site(writers=4).second(12)
    for name in ("w0", "w1", "w2", "w3"):
        site.boxes[name]["first_us"] = 400_000
    assert site.second(5).kinds() == []


def test_cold_boxes_are_a_notice():
    site = Site().second(3)
    for name in ("w0", "w1"):
        site.boxes[name]["cold"] = True
    assert site.second().kinds() == [("cold", "writer")] and site.says()[1].startswith("Well, with a notice")


def test_acknowledged_findings_stand_behind_until_they_are_over():
    site = Site().second(3)
    site.facts["list_fault"] = "x"
    site.second(2)
    site.boxes["w0"].update(mode="draining", why="box")
    site.boxes["w1"].update(mode="draining", why="box")
    site.second(2)
    assert not site.diagnosis.acknowledge("list stale", "other") and site.diagnosis.acknowledge("list stale", "")
    assert site.kinds() == [("last box", "writer"), ("list stale", "")]
    site.facts["list_fault"] = None
    site.second(6)
    site.facts["list_fault"] = "y"
    site.second(2)
    assert not site.diagnosis.acknowledged
