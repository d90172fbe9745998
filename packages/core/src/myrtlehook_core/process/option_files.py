"""Applies option files to the core's options, for operators and for experiments.

An option file is JSON with comments, whose keys are fields of ``CoreOptions``; the other fields
keep their values. All fields are checked, so that every finding is reported at once.
"""

from dataclasses import fields, replace
from typing import Any

import msgspec
from result import Err, Ok, Result

from myrtlehook_core.process.options import CoreOptions
from myrtlehook_core.version import bounds
from myrtlehook_core.version.findings import Finding, make_excerpt


def change_options(
    options: CoreOptions, content: Any, source: str
) -> Result[CoreOptions, list[Finding]]:
    """Return the options with the file's fields changed, or all findings.

    :param content: the decoded file.
    :param source: the place that findings name, usually the file name.
    """
    if not isinstance(content, dict):
        seen = make_excerpt(content)
        return Err([Finding(source, seen, "a JSON object of options", "write options as its keys")])
    types_by_name = {field.name: field.type for field in fields(options)}
    changes: dict[str, Any] = {}
    findings = []
    for name, value in content.items():
        place = f"{source}: {name}"
        if name not in types_by_name:
            expected = "an option of docs/operators/options.md"
            findings.append(Finding(place, make_excerpt(value), expected, "correct or remove it"))
            continue
        try:
            changes[name] = msgspec.convert(value, types_by_name[name])
        except (msgspec.ValidationError, UnicodeEncodeError) as error:
            findings.append(Finding(place, make_excerpt(value), str(error), "correct the value"))
            continue
        if isinstance(value, int | float) and not abs(value) <= bounds.MAX_INTEGER:
            expected = f"a number of at most {bounds.MAX_INTEGER}"
            findings.append(Finding(place, make_excerpt(value), expected, "correct the value"))
    return Err(findings) if findings else Ok(replace(options, **changes))
