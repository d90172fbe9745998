"""Plans: the exact documents to publish, bound to the version that they were made from."""

from dataclasses import dataclass
from pathlib import Path

from result import Err, Ok, Result

from myrtlehook_core import Document, Finding, PartDocument, digest_text, parse_document
from myrtlehook_operator.version.capacities import (
    Entitlement,
    find_entitlements,
    find_warnings,
)
from myrtlehook_operator.version.partitions import make_manifest, split_into_parts
from myrtlehook_operator.version.published import Published


class PlannedPart(Document):
    """One document of the plan."""

    key: str
    text: str


class PlanDocument(Document):
    """The plan file."""

    base_number: int
    base_digest: str
    number: int
    manifest: str
    parts: tuple[PlannedPart, ...]
    changes: tuple[str, ...]
    warnings: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Plan:
    """A plan and the entitlements that it changes, for review before it is confirmed."""

    document: PlanDocument
    entitlements: tuple[Entitlement, ...]


def make_plan(base: Published, after: PartDocument) -> Plan:
    """Make a plan that replaces the published configuration."""
    parts = split_into_parts(after)
    number = base.number + 1
    document = PlanDocument(
        base_number=base.number,
        base_digest=base.digest,
        number=number,
        manifest=make_manifest(number, parts, base.digest),
        parts=tuple(
            PlannedPart(key=part.key, text=part.text)
            for part in parts
            if part.digest not in base.part_digests
        ),
        changes=tuple(find_changes(base.part, after)),
        warnings=tuple(find_warnings(base.part, after)),
    )
    return Plan(document, tuple(find_entitlements(base.part, after)))


def find_changes(before: PartDocument, after: PartDocument) -> list[str]:
    """Return a line for each item that is added, removed or changed."""
    changes: list[str] = []
    for kind in ("workspaces", "pools", "backend_servers"):
        old = {item.name: item.model_dump(mode="json") for item in getattr(before, kind)}
        new = {item.name: item.model_dump(mode="json") for item in getattr(after, kind)}
        for name in sorted(old.keys() | new.keys()):
            if name not in new:
                changes.append(f"remove {kind}.{name}")
            elif name not in old:
                changes.append(f"add {kind}.{name}")
            else:
                changes += [
                    f"change {kind}.{name}.{field}: {old[name][field]!r} -> {new[name][field]!r}"
                    for field in new[name]
                    if old[name][field] != new[name][field]
                ]
    return changes


def load_plan(text: str, source: str) -> Result[PlanDocument, list[Finding]]:
    """Parse and check a plan file."""
    return parse_document(PlanDocument, text, source)


def is_base_outdated(plan: PlanDocument, published: Published) -> bool:
    """Return whether another version was published since the plan was made."""
    return plan.base_digest != published.digest


def write_documents(plan: PlanDocument, folder: Path) -> Result[list[Path], str]:
    """Write the documents to commit for publishing: the parts first, the manifest last."""
    written: list[Path] = []
    try:
        (folder / "parts").mkdir(parents=True, exist_ok=True)
        for part in plan.parts:
            written.append(_write(folder / "parts" / f"{part.key}.json", part.text))
        written.append(_write(folder / "manifest.json", plan.manifest))
    except OSError as error:
        return Err(f"could not write {folder}: {error}")
    return Ok(written)


def compute_manifest_digest(plan: PlanDocument) -> str:
    """Return the digest that the plan's manifest will have once it is published."""
    return digest_text(plan.manifest)


def _write(path: Path, text: str) -> Path:
    path.write_text(text, encoding="utf-8")
    return path
