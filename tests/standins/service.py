"""Stand-in for a plain service: counts its runs by request id.

Tests set faults by ``POST /test/faults``: ``not_started`` (number of calls that are refused as
not started, with ``retry_after``), ``break_before_body`` and ``break`` (number of connections that
break before the body is read, or after the run), ``slow_ms``, ``leaving``.
"""

import argparse
import time
from typing import Any

import eventlet

from standins.programs import Body, break_connection, read_json, reply, serve


class Service:
    """The service's runs and faults."""

    def __init__(self) -> None:
        self.incarnation = int(time.time() * 1000)
        self.runs: dict[str, int] = {}
        self.running = 0
        self.faults: dict[str, Any] = {}


def make_application(service: Service) -> Any:
    """Make the WSGI application."""

    def application(environ: dict[str, Any], start_response: Any) -> Body:
        path = environ["PATH_INFO"]
        if path == "/load":
            return _report_load(service, start_response)
        if path == "/test/faults":
            service.faults = read_json(environ)
            return reply(start_response, 200, {}, [])
        if path == "/test/runs":
            return reply(start_response, 200, service.runs, [])
        return _run(service, environ, start_response)

    return application


def _report_load(service: Service, start_response: Any) -> Body:
    report = {
        "running": service.running,
        "incarnation": service.incarnation,
        "leaving": bool(service.faults.get("leaving")),
    }
    return reply(start_response, 200, report, [])


def _run(service: Service, environ: dict[str, Any], start_response: Any) -> Body:
    faults = service.faults
    if faults.get("not_started", 0) > 0:
        faults["not_started"] -= 1
        environ["wsgi.input"].read()
        headers = [("X-Run-State", "not-started")]
        if "retry_after" in faults:
            headers.append(("Retry-After", faults["retry_after"]))
        return reply(start_response, 503, {}, headers)
    request_id = environ.get("HTTP_X_REQUEST_ID", "")
    if faults.get("break_before_body", 0) > 0:
        faults["break_before_body"] -= 1
        break_connection(environ)
    body = environ["wsgi.input"].read()
    service.runs[request_id] = service.runs.get(request_id, 0) + 1
    service.running += 1
    eventlet.sleep(faults.get("slow_ms", 1) / 1000.0)
    service.running -= 1
    if faults.get("break", 0) > 0:
        faults["break"] -= 1
        break_connection(environ)
    content = {
        "method": environ["REQUEST_METHOD"],
        "path": environ["PATH_INFO"],
        "query": environ.get("QUERY_STRING", ""),
        "body": body.decode("latin-1"),
        "request_id": request_id,
        "authorization": environ.get("HTTP_AUTHORIZATION", ""),
    }
    return reply(start_response, 200, content, [("Content-Type", "application/json")])


def main() -> None:
    """Run the stand-in."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--port", type=int, default=0)
    serve(make_application(Service()), parser.parse_args().port)


if __name__ == "__main__":
    main()
