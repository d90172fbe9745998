"""Makes the requests, the zone names and the configuration of the one pool of a history."""

from myrtlehook_core import (
    ColdStart,
    Configuration,
    ConfigurationVersion,
    EngineCapacity,
    IngressLimits,
    Pool,
    PoolKind,
    PromptPart,
    QueueLimits,
    RequestSpecification,
    Workspace,
    make_part_digests,
)

POOL = "model"
LIMITS = QueueLimits(1000, 1 << 30, 1e6, 1_000_000)


def name_zone(number: int) -> str:
    """Return the name of an availability zone."""
    return "z" if number == 0 else f"z{number}"


def make_request(
    request_id: str,
    workspace: str,
    session: int,
    tokens: int,
    now_s: float,
    repeatable: bool,
    fingerprint: bytes = b"",
) -> RequestSpecification:
    """Return a request whose prompt shares its first part with its session's other requests.

    :param fingerprint: of client, path and body; if empty, a unique one is made from the id.
    """
    parts = (PromptPart(f"s{session}", 500), PromptPart(f"own-{request_id}", tokens))
    return RequestSpecification(
        request_id=request_id,
        workspace=workspace,
        pool=POOL,
        body_bytes=100,
        arrived_at_s=now_s,
        deadline_s=now_s + 3.0,
        repeatable=repeatable,
        attempts=2,
        prompt_tokens=500 + tokens,
        output_tokens=30,
        prompt_parts=parts,
        aim_deadline_s=now_s + 0.6,
        fingerprint=fingerprint or request_id.encode(),
        part_digests=make_part_digests(POOL, parts),
    )


def make_configuration(tokens_per_s: float, cold_start: ColdStart | None = None) -> Configuration:
    """Return a configuration with one pool.

    :param tokens_per_s: the configured throughput of all engines together.
    """
    pool = Pool(
        name=POOL,
        kind=PoolKind.MODEL,
        models=(),
        input_token_weight=1.0,
        output_token_weight=2.0,
        no_repeat=False,
        default_timeout_s=10.0,
        engine_capacity=EngineCapacity(memory_tokens=100_000),
        cold_start=cold_start,
    )
    workspaces = {name: Workspace(name, 1.0, (), frozenset({POOL}), LIMITS) for name in "abcdefgh"}
    return Configuration(
        version=ConfigurationVersion(1, ""),
        workspaces=workspaces,
        pools={POOL: pool},
        limits=IngressLimits(tokens_per_s=tokens_per_s),
    )
