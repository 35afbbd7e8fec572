"""python -m lapiswing.lab.gateway ROUTER SETTINGS: a gateway with a test double in the module's place."""

import sys
from pathlib import Path

from lapiswing.cli.common import read_settings, run_gateway
from lapiswing.gateway.serve import Gateway
from lapiswing.lab.doubles import ROUTERS
from lapiswing.observe import start_logs
from lapiswing.settings import load_text

if __name__ == "__main__":
    settings = read_settings(sys.argv[2], load_text)
    router = ROUTERS[sys.argv[1]]
    gateway = Gateway(
        settings, start_logs(settings.log.level, settings.log.format), base=str(Path(sys.argv[2]).parent), router=router
    )
    gateway.core.guards.count_only = True  # the auditor has to see what the double does
    if getattr(router, "without_backstop", False):
        gateway.core.backstop_due = lambda req: None
    run_gateway(gateway)
