"""Logging: one JSON object per line on standard output."""

import sys
from collections.abc import MutableMapping
from typing import TYPE_CHECKING, Any, TextIO

from myrtlehook_router.process.imports import import_without

if TYPE_CHECKING:
    import structlog
else:
    # It would import rich for output on a console, and with it dozens of modules.
    structlog = import_without("structlog", "rich")

EventDict = MutableMapping[str, Any]


def set_up_logs(vm: str, stream: TextIO | None = None) -> None:
    """Make every log line a JSON object that names this VM."""

    def add_vm(logger: object, method: str, event: EventDict) -> EventDict:
        # A context variable would not carry over from one green thread to another.
        event["vm"] = vm
        return event

    structlog.configure(
        processors=[
            add_vm,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.dict_tracebacks,
            structlog.processors.JSONRenderer(),
        ],
        # WriteLogger writes a line and its newline in one call. With a logger that writes the
        # newline separately, a bounded stream would count, and drop, half lines.
        logger_factory=structlog.WriteLoggerFactory(file=stream or sys.stdout),
        cache_logger_on_first_use=True,
    )


def get_logger(name: str) -> "structlog.typing.FilteringBoundLogger":
    """Return a logger whose lines carry the name of a part of the router."""
    return structlog.get_logger(part=name)
