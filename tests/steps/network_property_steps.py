"""Properties of several decision cores over a faulty network."""

import random
from typing import Any

from behave import then
from hypothesis import given, settings
from hypothesis import strategies as st

from bench.core_drive import Drive, Load
from myrtlehook_core import (
    CoreOptions,
)

OPTIONS = CoreOptions()
FAULTY_EXAMPLES = 12

LOADS = [
    Load("w0", 1.0, 30.0, (0, 1, 2)),
    Load("w1", 2.0, 100.0, (0,)),
    Load("w2", 1.0, 60.0, (1, 2)),
    Load("w3", 1.0, 150.0, (2,)),
]
SERVERS, SLOTS = 3, 4
CAPACITY_UNITS_PER_S = SERVERS * SLOTS * 100.0


def _faulty_drive(
    seed: int, loss_probability: float, duplicate_probability: float, max_delay_s: float
) -> Drive:
    drive = Drive(3, SERVERS, SLOTS, LOADS, OPTIONS, seed)
    draw = random.Random(seed)

    def delays_s(sender: str, receiver: str) -> tuple[float, ...]:
        if draw.random() < loss_probability:
            return ()
        times = 2 if draw.random() < duplicate_probability else 1
        return tuple(0.001 + draw.random() * max_delay_s for _ in range(times))

    drive.delays_s = delays_s
    return drive


def _for_any_network(check: Any) -> None:
    probability = st.floats(0, 0.3)
    wrapped = given(st.integers(0, 10_000), probability, probability, st.floats(0, 0.1))(check)
    settings(max_examples=FAULTY_EXAMPLES)(wrapped)()


@then("for any faulty network, the gap stays under its formula and everyone is served")
def check_gap_bound(context: Any) -> None:
    def check(
        seed: int, loss_probability: float, duplicate_probability: float, max_delay_s: float
    ) -> None:
        drive = _faulty_drive(seed, loss_probability, duplicate_probability, max_delay_s)
        result = drive.run(5.0, 1.0)
        # Each owner may start work, and miss service, that is not reported until the next
        # refresh; of the refreshes a fraction (1 - loss_probability) arrives.
        unreported_s = 3 * OPTIONS.refresh_interval_s / (1 - loss_probability) + max_delay_s
        bound = 4 * drive.largest_cost_units + CAPACITY_UNITS_PER_S * unreported_s
        assert result.largest_gap_units <= bound, (result.largest_gap_units, bound)
        assert min(result.served_units.values()) > 0, result.served_units

    _for_any_network(check)


def _find_unused_leases(drive: Drive) -> set[int]:
    """Return the leases that an owner counts although no router runs a request on them."""
    used_grants = {
        run.grant_id for core in drive.cores.values() for run in core.ingress.running.values()
    }
    held_grants = {
        grant_id
        for core in drive.cores.values()
        for server in core.owner.servers.values()
        for grant_id in server.holds
    }
    return held_grants - used_grants


@then("for any faulty network, a lease on nothing ends in time and no server is overrun")
def check_leases(context: Any) -> None:
    def check(
        seed: int, loss_probability: float, duplicate_probability: float, max_delay_s: float
    ) -> None:
        drive = _faulty_drive(seed, loss_probability, duplicate_probability, max_delay_s)
        drive.fill_queues()
        # After a lost release or hold list, a slot stays taken, at most until its lease ends.
        allowed_s = OPTIONS.hold_lease_s + max_delay_s + 0.1
        since_s: dict[int, float] = {}
        while drive.now_s < 10.0:
            drive.advance(drive.now_s + 0.05)
            idle = _find_unused_leases(drive)
            since_s = {grant: since_s.get(grant, drive.now_s) for grant in idle}
            for grant, start_s in since_s.items():
                assert drive.now_s - start_s < allowed_s, (grant, drive.now_s - start_s)

    _for_any_network(check)


@then("for any load, without loss, every server is full again within one refresh")
def check_full_servers(context: Any) -> None:
    @settings(max_examples=FAULTY_EXAMPLES)
    @given(st.integers(0, 10_000))
    def check(seed: int) -> None:
        drive = _faulty_drive(seed, 0.0, 0.0, 0.0)
        drive.fill_queues()
        drive.advance(1.0)
        idle_since_s: dict[str, float] = {}
        while drive.now_s < 8.0:
            drive.advance(drive.now_s + 0.01)
            for server, running in drive.running_on.items():
                assert running <= SLOTS, (server, running)
                if running == SLOTS:
                    idle_since_s.pop(server, None)
                    continue
                since_s = idle_since_s.setdefault(server, drive.now_s)
                assert drive.now_s - since_s <= OPTIONS.refresh_interval_s, (server, running)

    check()


@then("for any faulty network, every request is dispatched once")
def check_dispatched_once(context: Any) -> None:
    def check(
        seed: int, loss_probability: float, duplicate_probability: float, max_delay_s: float
    ) -> None:
        drive = _faulty_drive(seed, loss_probability, duplicate_probability, max_delay_s)
        drive.run(3.0, 0.5)
        assert drive.dispatched, "nothing ran"
        assert max(drive.dispatched.values()) == 1

    _for_any_network(check)
