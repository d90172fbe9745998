"""Collects new configurations from the platform and from peers.

A router only ever moves to a greater version. Documents are identified by their
digest, so it does not matter who sent them. The router keeps the texts of the
active version in order to send them to peers.
"""

from collections.abc import Callable
from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING

from result import Err, Result

from myrtlehook_core.version.configurations import (
    EMPTY_CONFIGURATION,
    Configuration,
    ConfigurationVersion,
)
from myrtlehook_core.version.digests import digest_manifest, digest_text
from myrtlehook_core.version.findings import Finding

if TYPE_CHECKING:
    from myrtlehook_core.version.documents import PartDocument, PartReference

ConfigurationParser = Callable[[str], Result[Configuration, list[Finding]]]
"""Parses a configuration published as one text; leaves the digest of its version empty."""

MAX_QUERY_DIGESTS = 16
"""The most documents that one query asks a peer for."""


@dataclass(slots=True)
class Offer:
    """A newer configuration whose documents are being collected."""

    version: ConfigurationVersion
    source: str
    """Who is asked for the documents: the platform, or the peer that advertised it last."""
    manifest_text: str = ""
    parts: "tuple[PartReference, ...]" = ()
    texts: dict[str, str] = field(default_factory=dict)
    """Text by digest, of the parts that have arrived."""
    next_query_s: float = 0.0


@dataclass(slots=True)
class ConfigurationExchange:
    """The active configuration, its texts, and the offer being collected."""

    current: Configuration = EMPTY_CONFIGURATION
    texts: dict[str, str] = field(default_factory=dict)
    """Text by digest, of the active manifest and parts."""
    parsed_parts: "dict[str, PartDocument]" = field(default_factory=dict)
    source: str = "none"
    """Who sent the active configuration."""
    offer: Offer | None = None
    rejected: set[str] = field(default_factory=set)
    """Digests of the manifests, or of the whole configurations, that were rejected."""
    parser: ConfigurationParser | None = None
    """Set where a configuration is published as one text, without a manifest and parts."""


@dataclass(frozen=True, slots=True)
class Accepted:
    """A configuration has become active."""

    configuration: Configuration
    source: str


@dataclass(frozen=True, slots=True)
class Rejected:
    """A published configuration was rejected."""

    number: int
    findings: tuple[Finding, ...]
    source: str


def record_advertised_version(
    exchange: ConfigurationExchange, version: ConfigurationVersion, source: str
) -> bool:
    """Start or continue to collect a version that a peer advertises; False if not wanted."""
    if not _is_wanted(exchange, version):
        return False
    if exchange.offer is None or exchange.offer.version != version:
        exchange.offer = Offer(version, source)
    else:
        exchange.offer.source = source
    return True


def handle_manifest(
    exchange: ConfigurationExchange, text: str, source: str
) -> Accepted | Rejected | None:
    """Handle a manifest from the platform or a peer."""
    from myrtlehook_core.version.documents import ManifestDocument
    from myrtlehook_core.version.validation import parse_document

    digest = digest_manifest(text)
    if digest in exchange.texts or digest in exchange.rejected:
        return None
    parsed = parse_document(ManifestDocument, text, "manifest")
    if isinstance(parsed, Err):
        exchange.rejected.add(digest)
        return Rejected(0, tuple(parsed.err_value), source)
    manifest = parsed.ok_value
    version = ConfigurationVersion(manifest.version, digest)
    if not _is_wanted(exchange, version):
        return None
    offer = exchange.offer
    if offer is None or offer.version != version:
        offer = Offer(version, source)
        exchange.offer = offer
    offer.manifest_text = text
    offer.parts = manifest.parts
    for part in manifest.parts:
        if part.digest in exchange.texts:
            offer.texts[part.digest] = exchange.texts[part.digest]
    return _try_to_accept(exchange, offer)


def handle_document(
    exchange: ConfigurationExchange, text: str, source: str
) -> Accepted | Rejected | None:
    """Handle a requested document: a whole configuration, a manifest or a part."""
    if exchange.parser is not None:
        return handle_whole_configuration(exchange, exchange.parser, text, source)
    offer = exchange.offer
    if offer is None:
        return None
    if digest_manifest(text) == offer.version.digest:
        return handle_manifest(exchange, text, source)
    digest = digest_text(text)
    if digest not in {part.digest for part in offer.parts}:
        return None
    offer.texts[digest] = text
    return _try_to_accept(exchange, offer)


def handle_whole_configuration(
    exchange: ConfigurationExchange, parser: ConfigurationParser, text: str, source: str
) -> Accepted | Rejected | None:
    """Handle a configuration published as one text, from the platform or a peer."""
    digest = digest_manifest(text)
    if digest in exchange.texts or digest in exchange.rejected:
        return None
    parsed = parser(text)
    if isinstance(parsed, Err):
        exchange.rejected.add(digest)
        return Rejected(0, tuple(parsed.err_value), source)
    version = ConfigurationVersion(parsed.ok_value.version.number, digest)
    if version <= exchange.current.version:
        return None
    exchange.current = replace(parsed.ok_value, version=version)
    exchange.texts = {digest: text}
    exchange.source = source
    if exchange.offer is not None and exchange.offer.version <= version:
        exchange.offer = None
    return Accepted(exchange.current, source)


def list_missing_parts(exchange: ConfigurationExchange) -> "list[PartReference]":
    """Return the parts of the offer that have not arrived yet."""
    offer = exchange.offer
    if offer is None:
        return []
    return [part for part in offer.parts if part.digest not in offer.texts]


def list_missing_digests(exchange: ConfigurationExchange) -> tuple[str, ...]:
    """Return the digests of the documents to request from a peer."""
    offer = exchange.offer
    if offer is None:
        return ()
    if not offer.manifest_text:
        return (offer.version.digest,)
    return tuple(part.digest for part in list_missing_parts(exchange))[:MAX_QUERY_DIGESTS]


def _is_wanted(exchange: ConfigurationExchange, version: ConfigurationVersion) -> bool:
    if version <= exchange.current.version or version.digest in exchange.rejected:
        return False
    return exchange.offer is None or version >= exchange.offer.version


def _try_to_accept(exchange: ConfigurationExchange, offer: Offer) -> Accepted | Rejected | None:
    from myrtlehook_core.version.assembly import assemble_configuration

    if list_missing_parts(exchange):
        return None
    exchange.offer = None
    assembled = assemble_configuration(offer.manifest_text, offer.texts, exchange.parsed_parts)
    if isinstance(assembled, Err):
        exchange.rejected.add(offer.version.digest)
        return Rejected(offer.version.number, tuple(assembled.err_value), offer.source)
    exchange.current = assembled.ok_value
    exchange.texts = {offer.version.digest: offer.manifest_text, **offer.texts}
    exchange.source = offer.source
    return Accepted(exchange.current, offer.source)
