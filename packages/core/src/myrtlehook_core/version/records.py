"""Converts decoded documents to validated msgspec records, with all findings at once.

For documents that are read while a router starts: msgspec validates like pydantic, but is
ready in a tenth of the time. Its decoder stops at the first fault, so a document that
fails is checked again field by field.
"""

import types
import typing
from collections.abc import Iterator
from itertools import islice
from typing import Any, TypeVar

import msgspec
from result import Err, Ok, Result

from myrtlehook_core.version.findings import Finding, make_excerpt

MAX_FINDINGS = 1000
"""The most findings that are collected of one document."""

Record = TypeVar("Record", bound=msgspec.Struct)


def read_record(record: type[Record], content: Any, source: str) -> Result[Record, list[Finding]]:
    """Validate decoded content, and collect every finding with its place.

    Numbers may be given as text, for settings files in which every value is text.

    :param source: name of the document in the findings, usually a file name.
    """
    try:
        return Ok(msgspec.convert(content, record, strict=False))
    except (msgspec.ValidationError, UnicodeEncodeError) as error:
        found = list(islice(find_faults(record, content, ""), MAX_FINDINGS))
        if not found:
            found = [Finding("", make_excerpt(content), str(error), "correct or remove the value")]
        return Err([_add_source(finding, source) for finding in found])


def _add_source(finding: Finding, source: str) -> Finding:
    place = finding.place or "the whole document"
    return Finding(f"{source}: {place}", finding.seen, finding.expected, finding.advice)


def find_faults(expected_type: Any, content: Any, place: str = "") -> Iterator[Finding]:
    """Yield the findings of one value, by descending into nested values."""
    if (
        isinstance(expected_type, type)
        and issubclass(expected_type, msgspec.Struct)
        and isinstance(content, dict)
    ):
        yield from _find_field_faults(expected_type, content, place)
        return
    if typing.get_origin(expected_type) is tuple and isinstance(content, list):
        inner, *others = typing.get_args(expected_type)
        if others == [Ellipsis]:
            for number, item in enumerate(content):
                yield from find_faults(inner, item, f"{place}.{number}")
            return
    if typing.get_origin(expected_type) is types.UnionType and isinstance(content, dict):
        for inner in typing.get_args(expected_type):
            if isinstance(inner, type) and issubclass(inner, msgspec.Struct):
                yield from find_faults(inner, content, place)
                return
    try:
        msgspec.convert(content, expected_type, strict=False)
    except (msgspec.ValidationError, UnicodeEncodeError) as error:
        # A text with half a character is encoded where a number may be given as text.
        yield Finding(place, make_excerpt(content), str(error), "correct or remove the value")


def _find_field_faults(
    record: type[msgspec.Struct], content: dict[str, Any], place: str
) -> Iterator[Finding]:
    for info in msgspec.structs.fields(record):
        inner_place = f"{place}.{info.encode_name}".removeprefix(".")
        if info.encode_name in content:
            yield from find_faults(info.type, content[info.encode_name], inner_place)
        elif info.required:
            yield Finding(inner_place, "nothing", "a value", "add the field")
