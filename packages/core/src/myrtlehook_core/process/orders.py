"""Orders to backend servers, derived from the current configuration and fenced by its number."""

from myrtlehook_core.process.actions import SendOrder
from myrtlehook_core.process.events import LoadReported
from myrtlehook_core.version.configurations import Configuration


def find_order(configuration: Configuration, report: LoadReported) -> SendOrder | None:
    """Return the order to send if a server's report differs from the configuration.

    A server that has applied a higher fence than this router's configuration number gets no
    order: another router has a later configuration.
    """
    server = configuration.backend_servers.get(report.backend_server)
    if server is None or server.order is None:
        return None
    if report.applied_fence > configuration.version.number:
        return None
    order = server.order
    seen = (report.role, report.model, report.model_version)
    if seen == (order.role, order.model, order.model_version):
        return None
    return SendOrder(
        backend_server=server.name,
        address=server.address,
        order=order,
        fence=configuration.version.number,
        server_checks_fence=server.checks_orders,
    )
