"""How service is charged while a request's cost is still unknown.

A request is charged its workspace's running mean when it is dispatched, more as
its stream outgrows that estimate, and its true cost when it ends. Without the
early charge a workspace takes every slot before its first bill arrives.
"""

import math
from dataclasses import dataclass, field

INITIAL_MEAN_UNITS = 100.0
"""Estimate for a workspace that has finished nothing yet, in service units."""

MEAN_WEIGHT = 0.1
"""Weight of the newest cost in the running mean (exponential average)."""


@dataclass(slots=True)
class RunningMean:
    """Exponential average of request costs, in service units."""

    mean_units: float = INITIAL_MEAN_UNITS
    samples: int = 0

    def add(self, cost_units: float) -> None:
        """Take one finished request's cost into the mean."""
        self.samples += 1
        weight = max(MEAN_WEIGHT, 1.0 / self.samples)
        self.mean_units += weight * (cost_units - self.mean_units)


@dataclass(slots=True)
class ServiceAccount:
    """What this router alone has served one workspace in one pool.

    ``served_units`` is virtual service: service units divided by the share that
    was in force when they were charged, so a changed share never rewrites history.
    """

    row_id: int
    """Names this account's row in the ledgers; a new account takes a new row."""
    served_units: float = 0.0
    report_sequence: int = 0
    cost: RunningMean = field(default_factory=RunningMean)
    charges: dict[str, "Charge"] = field(default_factory=dict)
    changed: bool = False
    standby_changed: bool = False
    """Changed since the standing-by ledgers last heard."""
    last_active_s: float = 0.0
    waiting_since_s: float = -math.inf
    """When the workspace last came back from idle at this router."""
    waiting_seen_s: float = -math.inf


@dataclass(slots=True)
class Charge:
    """What one dispatched request has been charged so far."""

    charged_units: float
    share: float


def charge_early(account: ServiceAccount, request_id: str, share: float) -> float:
    """Charge the running mean for a request that is being dispatched.

    :returns: the charge in service units.
    """
    estimate_units = account.cost.mean_units
    charge_known(account, request_id, estimate_units, share)
    return estimate_units


def charge_known(
    account: ServiceAccount, request_id: str, estimate_units: float, share: float
) -> None:
    """Charge an estimate that the request itself tells."""
    account.charges[request_id] = Charge(charged_units=estimate_units, share=share)
    _add_virtual_service(account, estimate_units / share)


def grow_charge(account: ServiceAccount, request_id: str, observed_units: float) -> None:
    """Raise the charge of a running request once its stream outgrows the estimate."""
    charge = account.charges.get(request_id)
    if charge is None or observed_units <= charge.charged_units:
        return
    _add_virtual_service(account, (observed_units - charge.charged_units) / charge.share)
    charge.charged_units = observed_units


def settle_charge(account: ServiceAccount, request_id: str, cost_units: float) -> None:
    """Replace the charge of an ended request by its true cost."""
    charge = account.charges.pop(request_id, None)
    if charge is None:
        return
    _add_virtual_service(account, (cost_units - charge.charged_units) / charge.share)
    account.cost.add(cost_units)


def cancel_charge(account: ServiceAccount, request_id: str) -> None:
    """Take back the whole charge of a request that certainly was not run."""
    charge = account.charges.pop(request_id, None)
    if charge is None:
        return
    _add_virtual_service(account, -charge.charged_units / charge.share)


def _add_virtual_service(account: ServiceAccount, virtual_units: float) -> None:
    account.served_units += virtual_units
    account.changed = True
