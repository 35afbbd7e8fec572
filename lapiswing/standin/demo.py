"""Writes the files of the demo: settings of a gateway and a fleet of stand-in servers, on free ports of this machine."""

import tempfile
from pathlib import Path

import orjson

from lapiswing.loop import free_ports

SETTINGS = """\
# The demo's settings. docs/settings.md explains each field.
gateway {{ name: "demo" gateways: 1 }}
listen {{ host: "127.0.0.1" port: {port} }}
group {{ name: "menu-question" effect: REPLAYABLE target_ms: 1200 target_per_1000_ms: 40 deadline_ms: 10000
        resume: true }}
group {{ name: "order-set" model: "order-set" effect: KEYED repeat_scope: ALL repeat_window_ms: 5000
        target_ms: 1500 deadline_ms: 15000 importance: 2 }}
tenant {{ name: "demo" api_key: "demo" }}
kind {{ name: "prefill" role: READ memory_tokens: 200000 }}
kind {{ name: "decode" role: WRITE memory_tokens: 200000 }}
{boxes}"""


def write_demo(port, count):
    """Writes both files to a new folder. Returns the paths of the settings and the fleet file."""
    readers = max(1, count * 2 // 5)
    servers = [
        (f"127.0.0.1:{server_port}", "read" if i < readers else "write") for i, server_port in enumerate(free_ports(count))
    ]
    folder = Path(tempfile.mkdtemp(prefix="lapiswing-demo-"))
    fleet = {
        "boxes": [{"id": address, "role": role, "step_ms": 25} for address, role in servers],
        "models": {"order-set": {"scope": "all", "window_ms": 5000}},
    }
    (folder / "fleet.json").write_bytes(orjson.dumps(fleet))
    text = SETTINGS.format(
        port=port,
        boxes="".join(
            f'box {{ id: "{address}" kind: "{"prefill" if role == "read" else "decode"}" zone: "a" cell: "a" }}\n'
            for address, role in servers
        ),
    )
    (folder / "settings.txtpb").write_text(text)
    return folder / "settings.txtpb", folder / "fleet.json"
