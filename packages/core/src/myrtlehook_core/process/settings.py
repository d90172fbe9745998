"""The settings of one router process: JSON with comments, validated as a whole."""

from typing import Annotated

from pydantic import Field
from result import Err, Result

from myrtlehook_core.process.options import CoreOptions
from myrtlehook_core.version import bounds
from myrtlehook_core.version.documents import Document
from myrtlehook_core.version.findings import Finding
from myrtlehook_core.version.validation import parse_document

IP_PATTERN = r"^[0-9]{1,3}(\.[0-9]{1,3}){3}$"
Ip = Annotated[str, Field(pattern=IP_PATTERN)]
Endpoint = Annotated[str, Field(pattern=r"^[0-9]{1,3}(\.[0-9]{1,3}){3}:[0-9]{1,5}$")]
VmName = Annotated[str, Field(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$")]

DEFAULTS = CoreOptions()
MIN_CLIENT_MEMORY_BYTES = 4 * 1024 * 1024


class ListenSettings(Document):
    """An IP address and port: to listen on or, for statsd, to send to."""

    address: Ip
    port: int = Field(ge=1, le=65535)


class SeedSettings(Document):
    """A router known when this VM was created, to reach while the platform is down."""

    vm: VmName
    address: Endpoint


class LimitSettings(Document):
    """Resource limits of this process; each has a refusal reason and a counter."""

    body_bytes: int = Field(default=8 * 1024 * 1024, ge=1, le=bounds.MAX_COUNT)
    header_bytes: int = Field(default=32 * 1024, ge=1024, le=bounds.MAX_COUNT)
    connections: int = Field(default=4096, ge=1, le=bounds.MAX_COUNT)
    queued_requests: int = Field(default=20_000, ge=1, le=bounds.MAX_COUNT)
    queued_bytes: int = Field(default=512 * 1024 * 1024, ge=1, le=bounds.MAX_COUNT)
    client_memory_bytes: int = Field(
        default=512 * 1024 * 1024, ge=MIN_CLIENT_MEMORY_BYTES, le=bounds.MAX_COUNT
    )
    """What clients may make this process hold: bodies, and responses that they do not take."""
    idle_connection_s: float = Field(default=60.0, gt=0, le=bounds.MAX_WAIT_S)


class TimingSettings(Document):
    """Intervals of the exchange between routers; all routers must use the same values."""

    refresh_interval_s: float = Field(default=DEFAULTS.refresh_interval_s, gt=0, le=5)
    probe_interval_s: float = Field(default=DEFAULTS.probe_interval_s, gt=0, le=5)
    load_interval_s: float = Field(default=DEFAULTS.load_interval_s, gt=0, le=5)


class TestHookSettings(Document):
    """Switches for failure tests; not for use in production."""

    cut: bool = False
    """Whether ``POST /test/cut`` may cut this router off from its peers or the platform."""
    policy: str = Field(default="fleet", pattern="^(fleet|local)$")


class Settings(Document):
    """All settings that a router process starts with."""

    vm: VmName
    availability_zone: VmName
    callers: ListenSettings
    operators: ListenSettings
    peers: ListenSettings
    fleet_key: str = Field(min_length=16)
    """The secret that authenticates messages between routers."""
    platform: tuple[Endpoint, ...] = Field(min_length=1)
    seeds: tuple[SeedSettings, ...] = ()
    statsd: ListenSettings | None = None
    limits: LimitSettings = LimitSettings()
    timing: TimingSettings = TimingSettings()
    test_hooks: TestHookSettings = TestHookSettings()


def load_settings(text: str, source: str) -> Result[Settings, list[Finding]]:
    """Parse and validate settings; on failure, return all findings at once."""
    parsed = parse_document(Settings, text, source)
    if isinstance(parsed, Err):
        return parsed
    findings = _find_duplicate_endpoints(parsed.ok_value, source)
    return Err(findings) if findings else parsed


def make_core_options(settings: Settings) -> CoreOptions:
    """Return the core's options that correspond to these settings."""
    return CoreOptions(
        refresh_interval_s=settings.timing.refresh_interval_s,
        probe_interval_s=settings.timing.probe_interval_s,
        load_interval_s=settings.timing.load_interval_s,
        router_requests=settings.limits.queued_requests,
        router_bytes=settings.limits.queued_bytes,
        exchange_totals=settings.test_hooks.policy == "fleet",
    )


def _find_duplicate_endpoints(settings: Settings, source: str) -> list[Finding]:
    findings = []
    listeners = {
        "callers": settings.callers,
        "operators": settings.operators,
        "peers": settings.peers,
    }
    used_by: dict[tuple[str, int], str] = {}
    for name, listener in listeners.items():
        endpoint = (listener.address, listener.port)
        if endpoint in used_by:
            findings.append(
                Finding(
                    place=f"{source}: {name}",
                    seen=f"{listener.address}:{listener.port}, the same as {used_by[endpoint]}",
                    expected="an address and port of its own",
                    advice="give each listener its own port",
                )
            )
        used_by[endpoint] = name
    return findings
