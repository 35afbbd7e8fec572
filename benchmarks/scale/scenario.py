"""A scenario of the rig: sizes, load, faults and seed, read from a TOML file and checked before any process starts."""

import os
import tomllib
from enum import StrEnum
from typing import Annotated

import msgspec
from msgspec import Meta

from lapiswing.errors import OperatorError

MOST_PROCESSES = 300
MOST_MEMORY_MB = 16 * 1024
REAL_GATEWAY_MB, WORKER_MB, HOLLOW_GATEWAY_MB, HOLLOW_SERVER_MB = 48, 40, 4, 0.3  # resident, rounded up
HOLLOW_GATEWAYS_A_PROCESS, SERVERS_A_PROCESS = 52, 107
Count = Annotated[int, Meta(ge=0)]
Some = Annotated[int, Meta(ge=1)]
Part = Annotated[float, Meta(ge=0, le=1)]
Rate = Annotated[float, Meta(ge=0)]
Seconds = Annotated[float, Meta(ge=0)]


class ScenarioError(OperatorError, ValueError):
    exit_code = 2
    advice = "Mend the named field of the scenario, or choose a smaller size."

    def __init__(self, path, field, reason):
        super().__init__(str(path), f"{field}: {reason}")


class FaultKind(StrEnum):
    MACHINE = "machine"  # `count` model servers die: connections are reset, discovery tells of it late
    RACK = "rack"  # the servers of `count` racks fall silent, and come back cold
    ZONE = "zone"  # the servers of one zone fall silent, and come back cold
    CUT = "cut"  # the servers of one zone are silent for a while; discovery says nothing of it
    CHANGE = "change"  # `count` servers begin to drain, one after the other
    SILENCE = "silence"  # of discovery; changes made meanwhile are told at its return
    RELEASE = "release"  # all real gateways are restarted in tenths
    ROLES = "roles"  # half of the prefill servers become decode servers


class Fault(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    kind: FaultKind
    at_s: Seconds
    for_s: Seconds = 0.0
    count: Some = 1


class FleetSize(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    servers: Some
    real_gateways: Count = 0
    hollow_gateways: Count = 0
    told_gateways: Count = 0  # what each is told; 0: as many as there are
    prefill_part: Part = 0.31
    zones: Some = 6


class Load(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    seconds: Seconds
    requests_a_gateway: Rate = 0.0  # a second, at each real gateway
    tokens_a_request: Some = 260
    tokens_an_event: Some = 8
    token_gap_ms: Rate = 20.0


class ServerModel(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    connections: Some = 4096  # that one holds; further ones are closed
    prefill_ms: Rate = 80.0
    first_token_ms: Rate = 40.0


class Scenario(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    fleet: FleetSize
    load: Load
    server: ServerModel = ServerModel()
    fault: list[Fault] = []
    seed: Count = 1

    @property
    def server_processes(self):
        return -(-self.fleet.servers // SERVERS_A_PROCESS)

    @property
    def hollow_processes(self):
        return -(-self.fleet.hollow_gateways // HOLLOW_GATEWAYS_A_PROCESS)

    @property
    def processes(self):
        return 2 + self.server_processes + self.hollow_processes + self.fleet.real_gateways  # the rig and discovery

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
    """Raises ScenarioError."""
    try:
        with open(path, "rb") as file:
            raw = tomllib.load(file)
    except OSError as problem:
        raise ScenarioError(path, "file", problem.strerror) from None
    except tomllib.TOMLDecodeError as problem:
        raise ScenarioError(path, "file", f"not TOML: {problem}") from None
    try:
        scenario = msgspec.convert(raw, Scenario)
    except msgspec.ValidationError as problem:
        reason, _, field = str(problem).partition(" - at `$.")
        raise ScenarioError(path, field.strip("`") or "top level", reason) from None
    check_size(path, scenario)
    return scenario


def check_size(path, scenario, machine_mb=None):
    """Holds the scenario against the rig's own bounds and the machine, before anything starts."""
    if machine_mb is None:
        machine_mb = os.sysconf("SC_PHYS_PAGES") * os.sysconf("SC_PAGE_SIZE") >> 20
    if scenario.processes > MOST_PROCESSES:
        raise ScenarioError(path, "fleet", f"{scenario.processes} processes, {MOST_PROCESSES} at most")
    most_mb = min(MOST_MEMORY_MB, machine_mb)
    if scenario.memory_mb > most_mb:
        raise ScenarioError(path, "fleet", f"{scenario.memory_mb:.0f} MB, {most_mb} at most")
    if scenario.load.requests_a_gateway and not scenario.fleet.real_gateways:
        raise ScenarioError(path, "load.requests_a_gateway", "there is no real gateway to ask")
    for i, fault in enumerate(scenario.fault):
        if fault.at_s + fault.for_s > scenario.load.seconds:
            raise ScenarioError(path, f"fault[{i}]", "ends after the load")
        if fault.kind in (FaultKind.MACHINE, FaultKind.CHANGE) and fault.count > scenario.fleet.servers:
            raise ScenarioError(path, f"fault[{i}].count", f"{fault.count} of {scenario.fleet.servers} servers")
