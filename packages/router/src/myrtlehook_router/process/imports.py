"""Imports of libraries without parts that a router does not use, so that it starts sooner."""

import importlib
import sys
from types import ModuleType


def import_without(name: str, omitted: str) -> ModuleType:
    """Import a module while an optional dependency of it appears not to be installed.

    The dependency can be imported as usual afterwards.
    """
    known = sys.modules.get(omitted)
    sys.modules[omitted] = None  # type: ignore[assignment]
    try:
        return importlib.import_module(name)
    finally:
        del sys.modules[omitted]
        if known is not None:
            sys.modules[omitted] = known
