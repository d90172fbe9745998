"""Logs: one JSON object a line on standard output."""

import sys
from typing import TextIO

import structlog
from structlog.typing import EventDict


def set_up_logs(vm: str, stream: TextIO | None = None) -> None:
    """Make every log line a JSON object that names this VM."""

    def add_vm(logger: object, method: str, event: EventDict) -> EventDict:
        # Context variables would be lost from one green thread to the next.
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
        # It writes a line at once; another one that writes the line's end by itself would
        # have a bounded stream count, and drop, half lines.
        logger_factory=structlog.WriteLoggerFactory(file=stream or sys.stdout),
        cache_logger_on_first_use=True,
    )


def get_logger(name: str) -> structlog.typing.FilteringBoundLogger:
    """Return a logger whose lines name the part that they come from."""
    return structlog.get_logger(part=name)
