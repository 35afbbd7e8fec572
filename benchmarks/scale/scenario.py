"""A scenario of the test rig: fleet size, load, faults and seed. It is read from a TOML file and validated before any
process starts."""

import os
import tomllib
from enum import StrEnum
from typing import Annotated

import msgspec
from msgspec import Meta

from lapiswing.errors import OperatorError

MAX_PROCESSES = 300
MAX_MEMORY_MB = 16 * 1024
REAL_GATEWAY_MB, WORKER_MB, HOLLOW_GATEWAY_MB, HOLLOW_SERVER_MB = 48, 40, 4, 0.3  # resident memory, rounded up
HOLLOW_GATEWAYS_PER_PROCESS, SERVERS_PER_PROCESS = 52, 107
Count = Annotated[int, Meta(ge=0)]
PositiveCount = Annotated[int, Meta(ge=1)]
Fraction = Annotated[float, Meta(ge=0, le=1)]
Rate = Annotated[float, Meta(ge=0)]
Seconds = Annotated[float, Meta(ge=0)]


class ScenarioError(OperatorError, ValueError):
    """The scenario file cannot be read, or one of its fields is invalid."""

    exit_code = 2
    advice = "Correct the named field of the scenario, or choose a smaller size."

    def __init__(self, path, field, reason):
        super().__init__(str(path), f"{field}: {reason}")


class FaultKind(StrEnum):
    """Faults that a scenario can inject; each value names a method of `Rig`."""

    MACHINE = "machine"  # `count` model servers die: connections are reset, and discovery reports it late
    RACK = "rack"  # the servers of `count` racks stop answering, and return with empty caches
    ZONE = "zone"  # the servers of one zone stop answering, and return with empty caches
    CUT = "cut"  # the servers of one zone stop answering for a while; discovery does not report it
    CHANGE = "change"  # `count` servers start to drain, one after the other
    SILENCE = "silence"  # discovery stops answering; it delivers the changes made meanwhile when it returns
    RELEASE = "release"  # all real gateways are restarted, a tenth of them at a time
    ROLES = "roles"  # half of the prefill servers become decode servers


class Fault(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One injected fault: its kind, start, duration and the number of servers or racks."""

    kind: FaultKind
    at_s: Seconds
    for_s: Seconds = 0.0
    count: PositiveCount = 1


class FleetSize(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Numbers of model servers, gateways and zones."""

    servers: PositiveCount
    real_gateways: Count = 0
    hollow_gateways: Count = 0
    told_gateways: Count = 0  # the number of gateways in the settings of each; 0: the actual number
    prefill_part: Fraction = 0.31
    zones: PositiveCount = 6


class Load(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Duration and rate of the requests, and the shape of their responses."""

    seconds: Seconds
    requests_a_gateway: Rate = 0.0  # per second, at each real gateway
    tokens_a_request: PositiveCount = 260
    tokens_an_event: PositiveCount = 8
    token_gap_ms: Rate = 20.0


class ServerModel(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Connection limit and response times of a hollow model server."""

    connections: PositiveCount = 4096  # open at one server; further ones are closed
    prefill_ms: Rate = 80.0
    first_token_ms: Rate = 40.0


class Scenario(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The whole scenario; field names are the keys of the TOML file."""

    fleet: FleetSize
    load: Load
    server: ServerModel = ServerModel()
    fault: list[Fault] = []
    seed: Count = 1

    @property
    def server_processes(self):
        return -(-self.fleet.servers // SERVERS_PER_PROCESS)

    @property
    def hollow_processes(self):
        return -(-self.fleet.hollow_gateways // HOLLOW_GATEWAYS_PER_PROCESS)

    @property
    def processes(self):
        return 2 + self.server_processes + self.hollow_processes + self.fleet.real_gateways  # 2: the rig and discovery

    @property
    def memory_mb(self):
        fleet = self.fleet
        workers = self.processes - fleet.real_gateways
        return (
            workers * WORKER_MB
            + fleet.real_gateways * REAL_GATEWAY_MB
            + fleet.hollow_gateways * HOLLOW_GATEWAY_MB
            + fleet.servers * HOLLOW_SERVER_MB
        )


def load(path):
    """Reads and validates the scenario at `path`. Raises ScenarioError."""
    try:
        with open(path, "rb") as file:
            fields = tomllib.load(file)
    except OSError as error:
        raise ScenarioError(path, "file", error.strerror) from None
    except tomllib.TOMLDecodeError as error:
        raise ScenarioError(path, "file", f"not TOML: {error}") from None
    try:
        scenario = msgspec.convert(fields, Scenario)
    except msgspec.ValidationError as error:
        reason, _, field = str(error).partition(" - at `$.")
        raise ScenarioError(path, field.strip("`") or "top level", reason) from None
    check_size(path, scenario)
    return scenario


def check_size(path, scenario, machine_mb=None):
    """Checks the scenario against the limits of the rig and the memory of this machine. Raises ScenarioError."""
    if machine_mb is None:
        machine_mb = os.sysconf("SC_PHYS_PAGES") * os.sysconf("SC_PAGE_SIZE") >> 20
    if scenario.processes > MAX_PROCESSES:
        raise ScenarioError(path, "fleet", f"{scenario.processes} processes, {MAX_PROCESSES} at most")
    limit_mb = min(MAX_MEMORY_MB, machine_mb)
    if scenario.memory_mb > limit_mb:
        raise ScenarioError(path, "fleet", f"{scenario.memory_mb:.0f} MB, {limit_mb} at most")
    if scenario.load.requests_a_gateway and not scenario.fleet.real_gateways:
        raise ScenarioError(path, "load.requests_a_gateway", "there is no real gateway to send requests to")
    for index, fault in enumerate(scenario.fault):
        if fault.at_s + fault.for_s > scenario.load.seconds:
            raise ScenarioError(path, f"fault[{index}]", "ends after the load")
        if fault.kind in (FaultKind.MACHINE, FaultKind.CHANGE) and fault.count > scenario.fleet.servers:
            raise ScenarioError(path, f"fault[{index}].count", f"{fault.count} of {scenario.fleet.servers} servers")
