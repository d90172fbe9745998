"""A demo: a fleet under a flood of requests, and each workspace's share beside what it received."""

import threading
import time

from rich.console import Console
from rich.table import Table

from standins.callers import Caller, Result
from standins.fleets import Fleet, WorkspacePlan

WORKSPACES = (
    WorkspacePlan("hospital-desk", 1.0),
    WorkspacePlan("heating-planners", 2.0),
    WorkspacePlan("thesis-checks", 3.0),
)
FLOOD_S = 12.0
MEASURE_FROM_S = 2.0
FLOOD_CALLERS = {"hospital-desk": 12, "heating-planners": 24, "thesis-checks": 40}
TOKENS = {"hospital-desk": 20, "heating-planners": 40, "thesis-checks": 80}

OUT = Console()


class Flood:
    """Clients that send requests without pause, and what each workspace received."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.started_s = time.monotonic()
        self.served: dict[str, float] = dict.fromkeys(FLOOD_CALLERS, 0.0)
        self.answers: dict[str, int] = dict.fromkeys(FLOOD_CALLERS, 0)
        self.lock = threading.Lock()

    def run(self) -> None:
        """Send requests from every workspace at once, unevenly spread over the routers."""
        threads = []
        addresses = [program.address for program in self.fleet.routers.values()]
        for rank, (workspace, callers) in enumerate(FLOOD_CALLERS.items()):
            for index in range(callers):
                # The first workspace uses one router only, the last uses all.
                address = addresses[index % (rank + 1) % len(addresses)]
                thread = threading.Thread(target=self._ask, args=(workspace, address))
                threads.append(thread)
                thread.start()
        for thread in threads:
            thread.join()

    def _ask(self, workspace: str, address: str) -> None:
        caller = Caller(self.fleet.workspaces[workspace].key)
        tokens = TOKENS[workspace]
        while (now_s := time.monotonic() - self.started_s) < FLOOD_S:
            result = caller.chat(address, f"{workspace} asks", tokens)
            if result.status == 200 and now_s > MEASURE_FROM_S:
                with self.lock:
                    self.served[workspace] += tokens
                    self.answers[workspace] += 1


def main() -> None:
    """Run the demo, and stop everything that it started."""
    fleet = Fleet(WORKSPACES)
    try:
        OUT.print("starting platform, 3 engines, 1 plain service, 3 routers ...")
        fleet.start(routers=3, engines=3, services=1, slots=4)
        _print_answers(fleet)
        OUT.print(f"\nflooding for {FLOOD_S:.0f} s ...")
        flood = Flood(fleet)
        flood.run()
        OUT.print(_make_shares_table(flood))
    finally:
        fleet.stop()


def _print_answers(fleet: Fleet) -> None:
    addresses = [program.address for program in fleet.routers.values()]
    for index, plan in enumerate(WORKSPACES):
        caller = Caller(plan.key)
        whole = caller.chat(addresses[index], f"{plan.name} asks", 5)
        _print_result(f"{plan.name}, whole", whole, whole.text)
        streamed = caller.chat(addresses[index], f"{plan.name} streams", 5, stream=True)
        _print_result(f"{plan.name}, streamed in {streamed.pieces} pieces", streamed, streamed.text)
    path = "/services/terminal/valves/7"
    called = Caller(WORKSPACES[0].key).send(
        addresses[0], "POST", path, b"open", {"X-No-Repeat": "true"}
    )
    _print_result("plain service, not to be repeated", called, str(called.body["path"]))


def _print_result(title: str, result: Result, text: str) -> None:
    line = f"{title}: {result.status} {result.outcome} {text!r}"
    OUT.print(line, markup=False, highlight=False, soft_wrap=True)


def _make_shares_table(flood: Flood) -> Table:
    table = Table("workspace", "share", "entitled", "received", "tokens", "answers")
    shares = {plan.name: plan.share for plan in WORKSPACES}
    total_tokens = sum(flood.served.values()) or 1.0
    total_share = sum(shares.values())
    for name, share in shares.items():
        table.add_row(
            name,
            f"{share:g}",
            f"{share / total_share:.1%}",
            f"{flood.served[name] / total_tokens:.1%}",
            f"{flood.served[name]:.0f}",
            str(flood.answers[name]),
        )
    return table


if __name__ == "__main__":
    main()
