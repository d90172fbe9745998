"""Assembles a configuration from a manifest and its parts, or reports findings."""

from collections import Counter
from collections.abc import Iterable, Mapping

from result import Err, Ok, Result

from myrtlehook_core.request.admission import QueueLimits
from myrtlehook_core.version.configurations import (
    BackendServer,
    Configuration,
    ConfigurationVersion,
    Pool,
    PoolKind,
    ServerOrder,
    Workspace,
)
from myrtlehook_core.version.digests import digest_manifest, digest_text
from myrtlehook_core.version.documents import (
    BackendServerDocument,
    ManifestDocument,
    PartDocument,
    PoolDocument,
    WorkspaceDocument,
)
from myrtlehook_core.version.findings import Finding
from myrtlehook_core.version.validation import parse_document


def assemble_configuration(
    manifest_text: str,
    part_texts: Mapping[str, str],
    parsed_parts: dict[str, PartDocument] | None = None,
) -> Result[Configuration, list[Finding]]:
    """Build a configuration from published texts.

    :param part_texts: part text by digest.
    :param parsed_parts: a cache of parsed parts by digest. Parts that are parsed now are
        added, and those that this manifest does not name are dropped, so that a change
        of one part does not require parsing them all.
    :returns: the configuration, or every finding in the manifest and all parts.
    """
    parsed = parse_document(ManifestDocument, manifest_text, "manifest")
    if isinstance(parsed, Err):
        return parsed
    manifest = parsed.ok_value
    findings: list[Finding] = []
    parts: dict[str, PartDocument] = {}
    cache = parsed_parts if parsed_parts is not None else {}
    for reference in manifest.parts:
        if reference.digest in cache:
            parts[reference.digest] = cache[reference.digest]
        else:
            _collect_part(reference.key, reference.digest, part_texts, parts, findings)
    if findings:
        return Err(findings)
    cache.clear()
    cache.update(parts)
    joined = join_parts(parts.values())
    findings = find_inconsistencies(joined)
    if findings:
        return Err(findings)
    version = ConfigurationVersion(manifest.version, digest_manifest(manifest_text))
    return Ok(build_configuration(version, joined))


def join_parts(parts: Iterable[PartDocument]) -> PartDocument:
    """Concatenate parts into one document."""
    all_parts = list(parts)
    return PartDocument(
        workspaces=tuple(item for part in all_parts for item in part.workspaces),
        pools=tuple(item for part in all_parts for item in part.pools),
        backend_servers=tuple(item for part in all_parts for item in part.backend_servers),
    )


def find_inconsistencies(part: PartDocument) -> list[Finding]:
    """Return faults that span fields: duplicate names and references to unknown pools."""
    findings: list[Finding] = []
    findings += _find_duplicates("workspaces", [item.name for item in part.workspaces])
    findings += _find_duplicates("pools", [item.name for item in part.pools])
    findings += _find_duplicates("backend_servers", [item.name for item in part.backend_servers])
    findings += _find_duplicates("models", [name for pool in part.pools for name in pool.models])
    digests = [digest for item in part.workspaces for digest in item.key_digests]
    findings += _find_duplicates("workspaces.key_digests", digests)
    pools = {pool.name for pool in part.pools}
    for workspace in part.workspaces:
        place = f"workspaces.{workspace.name}.pools"
        findings += [
            _make_unknown_pool_finding(place, name) for name in workspace.pools if name not in pools
        ]
    for server in part.backend_servers:
        if server.pool not in pools:
            findings.append(
                _make_unknown_pool_finding(f"backend_servers.{server.name}.pool", server.pool)
            )
    return findings


def build_configuration(version: ConfigurationVersion, part: PartDocument) -> Configuration:
    """Convert a validated document into the data classes that the router uses."""
    return Configuration(
        version=version,
        workspaces={item.name: _build_workspace(item) for item in part.workspaces},
        pools={item.name: _build_pool(item) for item in part.pools},
        backend_servers={item.name: _build_server(item) for item in part.backend_servers},
        served_pools=frozenset(item.pool for item in part.backend_servers),
        model_pools={
            model: pool.name
            for pool in part.pools
            if pool.kind is PoolKind.MODEL
            for model in pool.models
        },
        key_workspaces={
            digest: item.name for item in part.workspaces for digest in item.key_digests
        },
    )


def _collect_part(
    key: str,
    digest: str,
    part_texts: Mapping[str, str],
    parts: dict[str, PartDocument],
    findings: list[Finding],
) -> None:
    text = part_texts.get(digest)
    if text is None:
        findings.append(
            Finding(f"part {key}", "nothing", f"text of digest {digest}", "publish the part")
        )
        return
    seen_digest = digest_text(text)
    if seen_digest != digest:
        findings.append(
            Finding(f"part {key}", f"digest {seen_digest}", digest, "publish the planned text")
        )
        return
    parsed = parse_document(PartDocument, text, f"part {key}")
    if isinstance(parsed, Err):
        findings.extend(parsed.err_value)
        return
    parts[digest] = parsed.ok_value


def _find_duplicates(place: str, names: list[str]) -> list[Finding]:
    duplicates = [name for name, count in Counter(names).items() if count > 1]
    return [
        Finding(place, f"{name!r} more than once", "each name once", "remove the repeats")
        for name in duplicates
    ]


def _make_unknown_pool_finding(place: str, name: str) -> Finding:
    return Finding(place, repr(name), "the name of a declared pool", "declare it or correct it")


def _build_workspace(item: WorkspaceDocument) -> Workspace:
    limits = QueueLimits(
        queued_requests=item.limits.queued_requests,
        queued_bytes=item.limits.queued_bytes,
        requests_per_s=item.limits.requests_per_s,
        burst_requests=item.limits.burst_requests,
    )
    return Workspace(item.name, item.share, item.key_digests, frozenset(item.pools), limits)


def _build_pool(item: PoolDocument) -> Pool:
    return Pool(
        name=item.name,
        kind=item.kind,
        models=item.models,
        input_token_weight=item.input_token_weight,
        output_token_weight=item.output_token_weight,
        no_repeat=item.no_repeat,
        default_timeout_s=item.default_timeout_s,
    )


def _build_server(item: BackendServerDocument) -> BackendServer:
    order = None
    if item.order is not None:
        order = ServerOrder(item.order.role, item.order.model, item.order.model_version)
    return BackendServer(
        name=item.name,
        pool=item.pool,
        address=item.address,
        availability_zone=item.availability_zone,
        slots=item.slots,
        checks_orders=item.checks_orders,
        leaving=item.leaving,
        order=order,
    )
