"""A gateway of the platform as a real process, in front of the stand-ins of a PlatformHarness."""

import json
import os
import subprocess
import sys
from pathlib import Path

from lapiswing.loop import free_ports

BYTES_PER_KB = 1024


class GatewayProgram:
    """Use: `with GatewayProgram(harness, folder) as program`; clients of the harness then connect to the program."""

    def __init__(self, harness, folder, settings=None, **limits):
        """`settings` and `limits` replace entries of the harness's configuration."""
        self.harness, self.log_path = harness, Path(folder) / "program.log"
        (self.port,) = free_ports(1)
        config = {**harness.config, "listen": f"127.0.0.1:{self.port}", "settings": settings or harness.config["settings"]}
        config["limits"] = {**config["limits"], **limits}
        self.path = Path(folder) / "program.json"
        self.path.write_text(json.dumps(config))
        with open(self.log_path, "w") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "lapiswing.node"],
                env={**os.environ, "RELAY_CONFIG": str(self.path), "OPENBLAS_NUM_THREADS": "1"},
                stderr=log,
            )

    def __enter__(self):
        harness = self.harness
        try:
            harness.until(lambda: "event=listening" in self.log_path.read_text(), 30_000_000)
            self.harness_port, harness.port = harness.port, self.port
            harness.wait_ready()
        except BaseException:
            self.process.kill()
            raise
        return self

    def __exit__(self, *_):
        self.harness.port = self.harness_port
        self.process.kill()
        self.process.wait()

    def memory_mb(self, name="VmHWM"):
        """-> its peak resident memory, or another figure of its status file."""
        for line in Path(f"/proc/{self.process.pid}/status").read_text().splitlines():
            if line.startswith(name + ":"):
                return int(line.split()[1]) * BYTES_PER_KB / 1e6
        raise LookupError(name)
