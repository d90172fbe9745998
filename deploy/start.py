"""Starts the router from what the deploy build put under ``target/``."""

import sys
import warnings
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "target" / "app"))
# eventlet calls itself deprecated at every start; docs/design/runtime.md says why it stays.
warnings.filterwarnings("ignore", message=r"\s*Eventlet is deprecated")

from myrtlehook_platform import main  # noqa: E402

main()
