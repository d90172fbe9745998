"""Reads the configuration that the platform publishes; never writes it."""

from dataclasses import dataclass

from result import Err, Ok, Result

from myrtlehook_core import (
    Finding,
    ManifestDocument,
    PartDocument,
    digest_text,
    join_parts,
    parse_document,
)
from myrtlehook_operator.connection.reads import STATUS_OK, read_answer

READ_TIMEOUT_S = 5.0
STATUS_ABSENT = 404


@dataclass(frozen=True, slots=True)
class Published:
    """The published configuration, joined from its parts, with its version and digests."""

    number: int
    digest: str
    part: PartDocument
    part_digests: frozenset[str] = frozenset()


NOTHING_PUBLISHED = Published(0, "", PartDocument())


@dataclass(frozen=True, slots=True)
class Unreachable:
    """The platform gave no usable answer."""

    message: str


ReadFailure = Unreachable | list[Finding]


def read_published(platform: str) -> Result[Published, ReadFailure]:
    """Read the manifest and its parts from the platform.

    :param platform: IP number and port of the configuration service.
    """
    manifest = _read_value(platform, "manifest")
    if isinstance(manifest, Err):
        return manifest
    if manifest.ok_value is None:
        return Ok(NOTHING_PUBLISHED)
    parsed = parse_document(ManifestDocument, manifest.ok_value, "published manifest")
    if isinstance(parsed, Err):
        return parsed
    parts: list[PartDocument] = []
    for reference in parsed.ok_value.parts:
        part = _read_part(platform, reference.key, reference.digest)
        if isinstance(part, Err):
            return part
        parts.append(part.ok_value)
    return Ok(
        Published(
            number=parsed.ok_value.version,
            digest=digest_text(manifest.ok_value),
            part=join_parts(parts),
            part_digests=frozenset(item.digest for item in parsed.ok_value.parts),
        )
    )


def _read_part(platform: str, key: str, digest: str) -> Result[PartDocument, ReadFailure]:
    text = _read_value(platform, key)
    if isinstance(text, Err):
        return text
    if text.ok_value is None or digest_text(text.ok_value) != digest:
        return Err(Unreachable(f"part {key} does not match its manifest; try again shortly"))
    return parse_document(PartDocument, text.ok_value, f"published part {key}")


def _read_value(platform: str, key: str) -> Result[str | None, ReadFailure]:
    read = read_answer(platform, f"/v1/values/{key}", READ_TIMEOUT_S)
    if isinstance(read, Err):
        return Err(Unreachable(f"no answer from the platform at {platform}: {read.err_value}"))
    answer = read.ok_value
    if answer.status == STATUS_ABSENT:
        return Ok(None)
    if answer.status != STATUS_OK:
        return Err(Unreachable(f"the platform at {platform} answered {answer.status}"))
    return Ok(answer.content.decode())
