"""Fixtures that several test modules share."""

import asyncio
import itertools
import os
from pathlib import Path

import pytest
import uvloop

from chicoryproxy.model import Endpoint
from chicoryproxy.testing import Deployment, create_al_batinah, create_tenggara

RUN_TIMEOUT_S = 60
FIRST_PORT = 10_000
IDLE_TIMEOUT_S = 5.0

KNOWN_FAILURES = Path(__file__).parent.parent / "KNOWN-RED.txt"

_PORTS = itertools.count(FIRST_PORT)


def read_known_failures():
    """Return the ids of the known failures: lines of KNOWN-RED.txt that start with ``tests/``."""
    if not KNOWN_FAILURES.exists():
        return set()
    return {line for line in KNOWN_FAILURES.read_text().splitlines() if line.startswith("tests/")}


def pytest_collection_modifyitems(items):
    """Expect the tests in KNOWN-RED.txt to fail; a listed test that passes is an error."""
    known = read_known_failures()
    for item in items:
        if item.nodeid in known:
            item.add_marker(pytest.mark.xfail(reason="listed in KNOWN-RED.txt", strict=True))


def pytest_terminal_summary(terminalreporter):
    """Print the tests of KNOWN-RED.txt that failed as expected."""
    for report in terminalreporter.stats.get("xfailed", ()):
        terminalreporter.write_line(f"known failure: {report.nodeid}")


@pytest.fixture
def run():
    """Run a coroutine on a new event loop, with a timeout against hangs."""

    def run_with_timeout(coroutine):
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            return runner.run(asyncio.wait_for(coroutine, RUN_TIMEOUT_S))

    return run_with_timeout


@pytest.fixture
def serve():
    """Start a service on the running loop and return its task once it has started."""

    tasks = set()

    async def start(service):
        loop = asyncio.get_running_loop()
        service.set_loop(loop)
        task = loop.create_task(service.start())
        tasks.add(task)
        started = loop.create_task(service.start_event.wait())
        await asyncio.wait((task, started), return_when=asyncio.FIRST_COMPLETED)
        if task.done():
            task.result()
        return task

    return start


@pytest.fixture
def pick_endpoint():
    """Return loopback endpoints of this test process.

    The address depends on the process id and the ports are below the ephemeral range, so that
    neither a concurrent test run nor an outgoing connection can occupy an endpoint.
    """
    number = os.getpid() % (64 * 256)
    host = f"127.{64 + number // 256}.{number % 256}.1"
    return lambda: Endpoint(host, next(_PORTS))


@pytest.fixture
def tenggara() -> Deployment:
    """Tenggara Kilang's deployment with an idle timeout that is short enough for tests."""
    return create_tenggara(idle_timeout_s=IDLE_TIMEOUT_S)


@pytest.fixture
def al_batinah() -> Deployment:
    """Al Batinah's deployment with an idle timeout that is short enough for tests."""
    return create_al_batinah(idle_timeout_s=IDLE_TIMEOUT_S)
