"""Splits a configuration into small parts, most of which keep their digests in a change."""

import hashlib
import json
from dataclasses import dataclass

from myrtlehook_core import ManifestDocument, PartDocument, PartReference, digest_text

TARGET_PART_BYTES = 128 * 1024
"""Target size of a part. Small, as a change makes every router read the changed part again."""


@dataclass(frozen=True, slots=True)
class PartText:
    """One part as published."""

    key: str
    digest: str
    text: str


def split_into_parts(part: PartDocument) -> list[PartText]:
    """Split a configuration by kind, and each kind by a hash of the items' names.

    An item stays in its part while the number of parts stays, so that a small change makes one
    new part and the others keep their digests.
    """
    texts = []
    for kind in ("pools", "workspaces", "backend_servers"):
        items = [item.model_dump(mode="json") for item in getattr(part, kind)]
        for index, bucket in enumerate(_split_into_buckets(items)):
            if bucket:
                texts.append(_make_part(kind, index, bucket))
    return texts


def make_manifest(number: int, parts: list[PartText], base_digest: str) -> str:
    """Return the text of a manifest."""
    references = tuple(PartReference(key=part.key, digest=part.digest) for part in parts)
    manifest = ManifestDocument(version=number, parts=references, base_digest=base_digest)
    return manifest.model_dump_json(indent=1) + "\n"


def _make_part(kind: str, index: int, items: list[dict[str, object]]) -> PartText:
    text = json.dumps({kind: items}, indent=1, sort_keys=True) + "\n"
    digest = digest_text(text)
    return PartText(f"{kind}-{index}-{digest[:16]}", digest, text)


def _split_into_buckets(items: list[dict[str, object]]) -> list[list[dict[str, object]]]:
    size = sum(len(json.dumps(item)) for item in items)
    count = 1
    while size / count > TARGET_PART_BYTES:
        count *= 2
    buckets: list[list[dict[str, object]]] = [[] for _ in range(count)]
    for item in items:
        digest = hashlib.sha256(str(item["name"]).encode()).digest()
        buckets[int.from_bytes(digest[:4], "big") % count].append(item)
    return buckets
