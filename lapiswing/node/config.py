"""Reads and checks the configuration file that the platform provides. Raises ConfigError with file, field and reason."""

from typing import Any

import msgspec

from lapiswing.errors import OperatorError
from lapiswing.loop import address_of
from lapiswing.translation import settings_of


class ConfigError(OperatorError, ValueError):
    """The configuration can't be used. `field` is the name of the faulty field, or "file" if the file can't be read."""

    exit_code = 2
    advice = "Mend the named field of the configuration that the platform gives, then start again or send SIGHUP."

    def __init__(self, path, field, reason):
        super().__init__(path, f"{field}: {reason}")
        self.field = field


class Limits(msgspec.Struct):
    """Resources that this process may use."""

    cores: float
    memory_mb: float
    sockets: int


class Config(msgspec.Struct):
    """The configuration file. `settings` are the router's settings in the platform's notation, `known` is a server list
    that was saved earlier."""

    name: str
    listen: str
    discovery: str
    seed: str
    limits: Limits
    settings: dict[str, Any]
    known: Any = None


MIN_SOCKETS = 64
REQUIRED_SETTINGS = {  # group of the settings -> fields without which the router can't run
    "limits": ("max_attempts",),
    "rules": ("cold_from", "ramp_time_us", "fall_multiple", "overload_for_us"),
    "penalties": (),
    "family_info": ("duty_by_kind", "kind_memory_tokens"),
}


def load(path):
    """-> (Config, the router's settings)"""
    try:
        with open(path, "rb") as file:
            data = file.read()
    except OSError as problem:
        raise ConfigError(path, "file", problem.strerror) from None
    return parse(path, data)


def parse(path, data):
    """Like `load`, from the file's bytes; `path` is for error messages only."""
    try:
        config = msgspec.json.decode(data, type=Config)
    except msgspec.ValidationError as problem:
        reason, _, field = str(problem).partition(" - at `$.")
        raise ConfigError(path, field.strip("`") or "top level", reason) from None
    except msgspec.DecodeError as problem:
        raise ConfigError(path, "file", f"not JSON: {problem}") from None
    for field in ("listen", "discovery"):
        try:
            address_of(getattr(config, field))
        except ValueError as problem:
            raise ConfigError(path, field, str(problem)) from None
    try:
        int(config.seed, 16)
    except ValueError:
        raise ConfigError(path, "seed", "not a hexadecimal number") from None
    if config.limits.sockets < MIN_SOCKETS:
        raise ConfigError(path, "limits.sockets", f"less than {MIN_SOCKETS}")
    return config, check_settings(path, config.settings)


def check_settings(path, raw):
    """Translates the platform's settings to the router's and checks them. -> the router's settings"""
    try:
        settings = settings_of(raw)
    except (TypeError, ValueError, AttributeError, IndexError) as problem:
        raise ConfigError(path, "settings", f"can't be read: {problem}") from None
    for group, names in REQUIRED_SETTINGS.items():
        if not isinstance(settings.get(group), dict):
            raise ConfigError(path, f"settings.{group}", "is missing")
        for name in names:
            if settings[group].get(name) is None:
                raise ConfigError(path, f"settings.{group}.{name}", "is missing")
    family, kinds = settings["family_info"], settings.get("kinds")
    if not isinstance(kinds, list) or not kinds or not all(isinstance(k, str) for k in kinds):
        raise ConfigError(path, "settings.kinds", "is not a list of names")
    for name in ("duty_by_kind", "kind_memory_tokens"):
        if not isinstance(family[name], list) or len(family[name]) != len(kinds):
            raise ConfigError(path, f"settings.family_info.{name}", "must have one value for each kind")
    if not all(role in ("read", "write", "both") for role in family["duty_by_kind"]):
        raise ConfigError(path, "settings.family_info.duty_by_kind", "may only contain read, write and both")
    if not settings["groups"] or not all(g.name for g in settings["groups"]):
        raise ConfigError(path, "settings.classes", "is empty or has a class without a name")
    if not isinstance(settings.get("zones"), list):
        raise ConfigError(path, "settings.zones", "is not a list of names")
    return settings
