"""Charges workspaces for service while the cost of their requests is still unknown.

When a request is dispatched, its workspace is charged the running mean of its request
costs. The charge is raised if the stream exceeds that estimate, and replaced by the true
cost when the request ends. Without the early charge a workspace could occupy every slot
before its first request is charged.
"""

import math
from dataclasses import dataclass, field

INITIAL_MEAN_UNITS = 100.0
"""Estimate for a workspace that has no finished request yet, in service units."""

MEAN_WEIGHT = 0.1
"""Weight of the newest cost in the running mean (exponential average)."""


@dataclass(slots=True)
class RunningMean:
    """Exponential average of request costs, in service units."""

    mean_units: float = INITIAL_MEAN_UNITS
    samples: int = 0

    def add(self, cost_units: float) -> None:
        """Add the cost of a finished request to the mean."""
        self.samples += 1
        weight = max(MEAN_WEIGHT, 1.0 / self.samples)
        self.mean_units += weight * (cost_units - self.mean_units)


@dataclass(slots=True)
class ServiceAccount:
    """The service of one workspace in one pool by this router alone.

    ``served_units`` is virtual service: service units divided by the share that was in
    force when they were charged, so that a changed share does not alter past charges.
    """

    row_id: int
    """Identifies this account's row in the ledgers; each new account gets a new row."""
    served_units: float = 0.0
    report_sequence: int = 0
    cost: RunningMean = field(default_factory=RunningMean)
    charges: dict[str, "Charge"] = field(default_factory=dict)
    changed: bool = False
    """Changed since the last report to any ledger."""
    standby_changed: bool = False
    """Has changes that were reported to the primary ledger but not to the standby ledgers yet."""
    last_active_s: float = 0.0
    returned_at_s: float = -math.inf
    """When the workspace last returned from being idle at this router."""
    last_waiting_s: float = -math.inf
    """When a report last found requests of the workspace waiting."""


@dataclass(slots=True)
class Charge:
    """The charge so far for one dispatched request."""

    charged_units: float
    share: float


def charge_early(account: ServiceAccount, request_id: str, share: float) -> float:
    """Charge the running mean of past costs for a request that is being dispatched.

    :returns: the charge in service units.
    """
    estimate_units = account.cost.mean_units
    charge_estimate(account, request_id, estimate_units, share)
    return estimate_units


def charge_estimate(
    account: ServiceAccount, request_id: str, estimate_units: float, share: float
) -> None:
    """Charge an estimate that is derived from the request itself, such as its tokens."""
    account.charges[request_id] = Charge(charged_units=estimate_units, share=share)
    _add_virtual_service(account, estimate_units / share)


def grow_charge(account: ServiceAccount, request_id: str, observed_units: float) -> None:
    """Raise the charge of a running request once its observed cost exceeds it."""
    charge = account.charges.get(request_id)
    if charge is None or observed_units <= charge.charged_units:
        return
    _add_virtual_service(account, (observed_units - charge.charged_units) / charge.share)
    charge.charged_units = observed_units


def settle_charge(account: ServiceAccount, request_id: str, cost_units: float) -> None:
    """Replace the charge of a finished request by its true cost, and update the mean."""
    charge = account.charges.pop(request_id, None)
    if charge is None:
        return
    _add_virtual_service(account, (cost_units - charge.charged_units) / charge.share)
    account.cost.add(cost_units)


def cancel_charge(account: ServiceAccount, request_id: str) -> None:
    """Refund the whole charge of a request that certainly was not run."""
    charge = account.charges.pop(request_id, None)
    if charge is None:
        return
    _add_virtual_service(account, -charge.charged_units / charge.share)


def _add_virtual_service(account: ServiceAccount, virtual_units: float) -> None:
    account.served_units += virtual_units
    account.changed = True
