"""The auditor: rows laid by hand, and whole days with a gateway broken on purpose for each rule."""

from concurrent.futures import ProcessPoolExecutor
from dataclasses import replace

import pytest

from lapiswing.lab.audit import Limits, audit, service
from lapiswing.lab.play import play_one
from lapiswing.lab.run import passed
from lapiswing.lab.scripts import cold, drain, overload, quiet, several

MS = 1000
LIMITS = Limits(
    window_ms={"order": 5000},
    scope={"order": "ZONE"},
    effect={"question": "REPLAYABLE", "order": "KEYED", "pay": "NON_REPLAYABLE"},
    place={"r": {"zone": "a"}, "w": {"zone": "a"}, "v": {"zone": "b"}},
)


def rows(text):
    """'at ev field=value ...' a line -> rows; times are ms."""
    out = []
    for line in text.strip().splitlines():
        at, ev, *fields = line.split()
        row = {"t": int(float(at) * MS), "ev": ev}
        for field in fields:
            name, value = field.split("=")
            row[name] = (
                int(value)
                if value.lstrip("-").isdigit()
                else {"None": None, "True": True, "False": False}.get(value, value.replace("_", " "))
            )
        out.append(row)
    return out


def broken(clients="", boxes="", runner=""):
    found = audit(rows(clients), rows(boxes), rows(runner), LIMITS)
    return [r.name[0] for r in found["rules"] if r.broken]


TRY = "0 try call=c n=1 gateway=0 lab=c.1 deadline_ms=1000 key=None model={}\n"
END = "{} final call=c n=1 how={} status=200 fits={} come_back_us=0 begun=False tokens=1\n"
READ = (
    "10 arrive box=r name=lab-0-x.1.0 lab=c.1 stage=read\n20 state box=r name=lab-0-x.1.0 lab=c.1 tokens=9\n"
    "20 end box=r name=lab-0-x.1.0 lab=c.1 stage=read how=read\n"
)
WRITE = "{0} arrive box={1} name=lab-0-x.1.{2} lab=c.1 stage=write\n"
TAKEN = "35 let_go box=r name=lab-0-x.1.0 lab=c.1 how=taken\n"


def test_a_day_that_keeps_all_rules():
    boxes = (
        READ + WRITE.format(30, "w", 1) + TAKEN + "40 ran box=w name=lab-0-x.1.1 lab=c.1 key=None model=pay\n"
        "90 end box=w name=lab-0-x.1.1 lab=c.1 stage=write how=done\n"
    )
    assert broken(TRY.format("pay") + END.format(95, "done", "True"), boxes) == []


@pytest.mark.parametrize(
    "end",
    [
        END.format(1000, "gave_up", "None"),
        END.format(500, "cut", "None"),
        END.format(500, "two_ends", "None"),
        END.format(500, "done", "False"),
        END.format(500, "done", "True") * 2,
        "",
    ],
)
def test_rule_1(end):
    assert broken(TRY.format("question") + end) == ["1"]
    assert broken(TRY.format("question") + end, runner="400 killed gateway=0") == ([] if end else ["1"])


def test_rule_1_a_call_sent_as_its_drained_gateway_ends():
    clients = TRY.format("order") + END.format(300, "cut", "None")
    clients += TRY.format("order").replace("0 try", "380 try").replace("n=1 gateway=0", "n=2 gateway=1")
    clients += END.format(600, "done", "True").replace("n=1", "n=2")
    later = WRITE.format(400, "w", 1).replace("lab-0", "lab-1")  # of the same call's next try
    assert broken(clients, later, "10 stopped gateway=0") == broken(clients, "", "10 stopped gateway=0") == []
    assert broken(clients, WRITE.format(200, "w", 1), "10 stopped gateway=0") == ["1"]
    assert broken(clients, later, "200 stopped gateway=0") == ["1"]


def test_rule_1_nothing_more_is_sent():
    clients = TRY.format("question") + END.format(50, "pushed_back", "None")
    assert broken(clients, WRITE.format(60, "w", 0)) == []
    assert broken(clients, WRITE.format(90, "w", 0)) == ["1"]


def test_rule_2_non_replayable():
    end = END.format(500, "aborted", "None")
    refused = "45 end box=w name=lab-0-x.1.1 lab=c.1 stage=write how=refused\n"
    lost = "45 end box=w name=lab-0-x.1.1 lab=c.1 stage=write how=lost\n"
    twice = WRITE.format(30, "w", 1) + WRITE.format(60, "v", 2)
    assert broken(TRY.format("pay") + end, twice + refused) == []
    assert broken(TRY.format("pay") + end, twice + lost) == ["2"]
    assert broken(TRY.format("pay") + end, twice) == ["2"]  # hung: nobody knows
    back = END.format(500, "pushed_back", "None")
    assert broken(TRY.format("pay") + back, WRITE.format(30, "w", 1) + lost) == ["2"]


def test_rule_2_keyed():
    end = END.format(8000, "done", "True")
    assert broken(TRY.format("order") + end, WRITE.format(30, "w", 1) + WRITE.format(60, "w", 2)) == []
    assert broken(TRY.format("order") + end, WRITE.format(30, "w", 1) + WRITE.format(60, "v", 2)) == ["2"]
    assert broken(TRY.format("order") + end, WRITE.format(30, "w", 1) + WRITE.format(5100, "w", 2)) == ["2"]
    ran = "{} ran box={} name=lab-0-x.1.{} lab=c.1 key=k model=order\n"
    assert broken(TRY.format("order") + end, WRITE.format(30, "w", 1) + ran.format(31, "w", 1) + ran.format(32, "w", 1)) == ["2"]


def test_rule_3():
    told = "100 list box=w mode=draining started=False\n"
    assert broken("", WRITE.format(1200, "w", 1), told) == []
    assert broken("", WRITE.format(1300, "w", 1), told) == ["3"]
    assert broken("", WRITE.format(1300, "w", 1), told + "1250 list box=w mode=ready started=False") == []
    own = "100 end box=w name=lab-0-x.0.1 lab=b stage=write how=refused why=draining\n"
    assert broken("", own + WRITE.format(1300, "w", 1)) == ["3"]
    assert broken("", own + WRITE.format(1300, "w", 1).replace("lab-0", "lab-1")) == []  # another gateway


def test_rule_4():
    up, told = "100 up box=w cold=True\n", "110 list box=w mode=ready started=True\n"
    sends = "".join(WRITE.format(500 + i, "w", i) for i in range(9))
    fell = "510 fell box=w sent=9 budget=5\n"
    assert broken("", up + sends + fell, told) == ["4"]
    assert broken("", up + sends + fell, told.replace("110", "505")) == []  # nobody had been told


def test_rule_5():
    assert broken("", READ + "400 let_go box=r name=lab-0-x.1.0 lab=c.1 how=released\n") == []
    late = "700 let_go box=r name=lab-0-x.1.0 lab=c.1 how=released\n"
    assert broken("", READ + late) == ["5"]
    out = WRITE.format(200, "w", 1) + "650 end box=w name=lab-0-x.1.1 lab=c.1 stage=write how=left\n"
    assert broken("", READ + late + out) == []  # a forward was out
    assert broken("", READ + late, "300 killed gateway=0") == []
    assert broken("", READ + "400 down box=r\n" + late) == []


def test_service_counts_importance_in_time():
    text = "".join(f"0 call call=c{i} model=m target_ms=100 importance={i} late=0 deadline_ms=9\n" for i in (1, 2, 3))
    text += "50 first call=c1 n=1 ms=50\n60 over call=c1 how=done\n200 first call=c2 n=1 ms=200\n"
    text += "300 over call=c2 how=done\n10 over call=c3 how=left\n"
    assert service(rows(text)) == (pytest.approx(1 / 3), {"done": 2, "left": 1})


def loses(seed):
    return overload(seed)


def doubles(seed):
    day = several(seed)
    return replace(
        day,
        script=[
            {
                "at_ms": 500,
                "for_ms": 5000,
                "do": "lost",
                "size": 0.6,
                "boxes": [b["id"] for b in day.boxes if b["role"] == "write"],
            }
        ],
        fates=[],
        lists=[],
        wants=[],
    )


def rushes(seed):
    day = cold(seed)
    return replace(
        day, boxes=[{**b, "rate": 8.0, "slack": 16.0} for b in day.boxes]
    )  # falls when it is pushed on after the list has told


BROKEN = [("loses", loses, "1"), ("doubles", doubles, "2"), ("deaf", drain, "3"), ("rushes", rushes, "4"), ("pins", quiet, "5")]


def test_each_gateway_broken_on_purpose_is_found_out_and_the_module_is_not():
    with ProcessPoolExecutor(3) as pool:
        jobs = [(make, 1, router, None) for router, make, _ in BROKEN] + [(quiet, 1, "module", None)]
        *bad, kept = list(pool.map(play_one, jobs))
    for (router, _, rule), result in zip(BROKEN, bad):
        assert not isinstance(result, str), result
        assert rule in [r["rule"][0] for r in result["rules"] if r["broken"]], (router, result["rules"])
    assert passed(kept), kept
