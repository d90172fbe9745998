"""Parses an operator's documents into validated models, with all findings at once."""

import json
from typing import Any, TypeVar

import jsonc
from pydantic import BaseModel, ValidationError
from result import Err, Ok, Result

from myrtlehook_core.version.findings import Finding, make_excerpt

Model = TypeVar("Model", bound=BaseModel)


def parse_document(model: type[Model], text: str, source: str) -> Result[Model, list[Finding]]:
    """Parse JSON with comments into a validated model.

    :param source: name of the document in the findings, usually a file name.
    :returns: the model, or every finding at once.
    """
    try:
        content = jsonc.loads(text)
    except (json.JSONDecodeError, RecursionError) as error:
        return Err([_make_syntax_finding(error, source)])
    return validate_content(model, content, source)


def validate_content(model: type[Model], content: Any, source: str) -> Result[Model, list[Finding]]:
    """Validate decoded JSON, and collect every finding with its place."""
    try:
        return Ok(model.model_validate(content))
    except ValidationError as error:
        return Err([_make_field_finding(detail, source) for detail in error.errors()])


def _make_syntax_finding(error: Exception, source: str) -> Finding:
    line = getattr(error, "lineno", 0)
    column = getattr(error, "colno", 0)
    return Finding(
        place=f"{source}: line {line}, column {column}",
        seen=str(error),
        expected="JSON, with comments allowed",
        advice="correct the syntax there",
    )


def _make_field_finding(detail: Any, source: str) -> Finding:
    path = ".".join(str(step) for step in detail["loc"]) or "the whole document"
    missing = detail["type"] == "missing"
    return Finding(
        place=f"{source}: {path}",
        seen="nothing" if missing else make_excerpt(detail.get("input")),
        expected=detail["msg"],
        advice="add the field" if missing else "correct or remove the value",
    )
