"""Intents: the changes that an operator wants, applied to the published configuration."""

from typing import Any

from pydantic import Field
from result import Err, Ok, Result

from myrtlehook_core import (
    Document,
    Finding,
    PartDocument,
    find_inconsistencies,
    parse_document,
    validate_content,
)

Item = dict[str, Any]


class RemovalDocument(Document):
    """Names of the items to remove."""

    workspaces: tuple[str, ...] = ()
    pools: tuple[str, ...] = ()
    backend_servers: tuple[str, ...] = ()


class IntentDocument(Document):
    """Items to add or change, by name; fields that are not given keep their values."""

    workspaces: tuple[Item, ...] = ()
    pools: tuple[Item, ...] = ()
    backend_servers: tuple[Item, ...] = ()
    remove: RemovalDocument = Field(default=RemovalDocument())


KINDS = ("workspaces", "pools", "backend_servers")


def load_intent(text: str, source: str) -> Result[IntentDocument, list[Finding]]:
    """Parse and check an intent; an error holds all findings at once."""
    parsed = parse_document(IntentDocument, text, source)
    if isinstance(parsed, Err):
        return parsed
    findings = [
        Finding(f"{source}: {kind}.{index}", "no name", "a name", "add the field 'name'")
        for kind in KINDS
        for index, item in enumerate(getattr(parsed.ok_value, kind))
        if not isinstance(item.get("name"), str)
    ]
    return Err(findings) if findings else parsed


def apply_intent(
    base: PartDocument, intent: IntentDocument, source: str
) -> Result[PartDocument, list[Finding]]:
    """Return the configuration that would be published with the intent."""
    findings: list[Finding] = []
    content = {kind: _apply_kind(base, intent, kind, source, findings) for kind in KINDS}
    validated = validate_content(PartDocument, content, f"{source} applied")
    if isinstance(validated, Err):
        return Err([*findings, *validated.err_value])
    findings += find_inconsistencies(validated.ok_value)
    return Err(findings) if findings else Ok(validated.ok_value)


def _apply_kind(
    base: PartDocument, intent: IntentDocument, kind: str, source: str, findings: list[Finding]
) -> list[Item]:
    items: dict[str, Item] = {
        item.name: item.model_dump(mode="json") for item in getattr(base, kind)
    }
    for name in getattr(intent.remove, kind):
        if name not in items:
            place = f"{source}: remove.{kind}"
            advice = "remove it from the intent"
            findings.append(Finding(place, repr(name), "a name that is published", advice))
        items.pop(name, None)
    for change in getattr(intent, kind):
        known = items.get(change["name"], {})
        items[change["name"]] = _merge(known, change)
    return [items[name] for name in sorted(items)]


def _merge(known: Item, change: Item) -> Item:
    merged = dict(known)
    for field, value in change.items():
        nested = known.get(field)
        if isinstance(value, dict) and isinstance(nested, dict):
            merged[field] = {**nested, **value}
        else:
            merged[field] = value
    return merged
