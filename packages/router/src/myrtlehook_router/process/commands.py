"""The command line of ``myrtlehookd``."""

import argparse
import sys
from pathlib import Path

from result import Err

from myrtlehook_core import load_settings
from myrtlehook_router.process.daemons import Daemon

EXIT_BAD_SETTINGS = 2


def run_command() -> None:
    """Read the settings named on the command line and run the router."""
    parser = argparse.ArgumentParser(
        prog="myrtlehookd",
        description="Router of a myrtlehook fleet.",
        epilog="Example: myrtlehookd --settings vm-1.json",
    )
    parser.add_argument("--settings", required=True, type=Path, help="JSON with comments")
    parser.add_argument("--check", action="store_true", help="check the settings and stop")
    arguments = parser.parse_args()
    try:
        text = arguments.settings.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        print(f"{arguments.settings}: {error}", file=sys.stderr)
        sys.exit(EXIT_BAD_SETTINGS)
    loaded = load_settings(text, arguments.settings.name)
    if isinstance(loaded, Err):
        for finding in loaded.err_value:
            print(finding, file=sys.stderr)
        sys.exit(EXIT_BAD_SETTINGS)
    if not arguments.check:
        Daemon(loaded.ok_value).run()
    sys.exit(0)
