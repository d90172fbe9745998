"""Starts the router from the files that ``deploy/build`` has put under ``target/``."""

import sys
import warnings
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "target" / "app"))
# eventlet warns at every start that it is deprecated; docs/design/runtime.md says why it is kept.
warnings.filterwarnings("ignore", message=r"\s*Eventlet is deprecated")

from myrtlehook_platform import main  # noqa: E402

main()
