"""Experiment files: variants, days and seeds, validated before anything is run."""

from pathlib import Path
from typing import Annotated, Any

import jsonc
import msgspec
from result import Err, Ok, Result

from myrtlehook_core import CoreOptions, Finding, change_options, read_record

Name = Annotated[str, msgspec.Meta(pattern=r"^[a-z0-9][a-z0-9-]*$")]


class Variant(msgspec.Struct, frozen=True):
    """One version of the product: a commit and options."""

    name: Name
    commit: str = ""
    """Empty for the commit that is checked out."""
    options: dict[str, Any] = msgspec.field(default_factory=dict)
    """Options of the core that differ from their defaults."""


class Experiment(msgspec.Struct, frozen=True):
    """Variants to be run on the same days; the first one is the baseline of the others."""

    question: Annotated[str, msgspec.Meta(min_length=1)]
    variants: Annotated[tuple[Variant, ...], msgspec.Meta(min_length=1)]
    sites: Annotated[tuple[Name, ...], msgspec.Meta(min_length=1)]
    days: Annotated[tuple[str, ...], msgspec.Meta(min_length=1)]
    seeds: tuple[int, ...] = ()
    """Empty to use each day's own seed."""
    charged: bool = False
    """Whether processor time is charged. Results repeat best if it is not."""


def load_experiment(path: Path) -> Result[Experiment, list[Finding]]:
    """Read and validate an experiment file; all findings are returned together."""
    try:
        content = jsonc.loads(path.read_text(encoding="utf-8"))
    except (OSError, ValueError) as error:
        finding = Finding(path.name, str(error), "JSON, with comments allowed", "correct it")
        return Err([finding])
    read = read_record(Experiment, content, path.name)
    if isinstance(read, Err):
        return read
    findings: list[Finding] = []
    for variant in read.ok_value.variants:
        changed = change_options(CoreOptions(), variant.options, f"{path.name}: {variant.name}")
        findings += changed.err() or []
    return Err(findings) if findings else Ok(read.ok_value)
