"""Serves an emulated site until stopped: ``python -m emulator --ip 127.0.0.1 --engines 2``."""

import argparse
import json

import eventlet

from emulator.control import make_control
from emulator.engines import EngineSpeed
from emulator.sites import make_configuration, serve, start_site


def main() -> None:
    """Start the site, print its addresses as one line of JSON, and serve."""
    parser = argparse.ArgumentParser(description="Emulator of the users' platform.")
    parser.add_argument("--ip", default="127.0.0.1")
    parser.add_argument("--engines", type=int, default=2)
    parser.add_argument("--services", type=int, default=1)
    parser.add_argument("--empty", action="store_true", help="start without a configuration")
    arguments = parser.parse_args()
    eventlet.monkey_patch(thread=False)
    site = start_site(arguments.ip, arguments.engines, arguments.services, EngineSpeed())
    if not arguments.empty:
        site.store.put("op/config", json.dumps(make_configuration(1)))
    site.addresses["control"] = serve(arguments.ip, make_control(site))
    print(json.dumps(site.addresses), flush=True)
    while True:
        eventlet.sleep(3600.0)


main()
