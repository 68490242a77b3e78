"""Fixtures that several test modules share."""

import asyncio
import itertools
import os

import pytest
import uvloop

from chicoryproxy.model import Endpoint
from chicoryproxy.testing import Deployment, create_al_batinah, create_tenggara

HANG_GUARD_S = 60
FIRST_PORT = 10_000
IDLE_TIMEOUT_S = 5.0

_PORTS = itertools.count(FIRST_PORT)


@pytest.fixture
def run():
    """Run a coroutine on a loop of its own; the time limit only guards against a hang."""

    def run_guarded(coroutine):
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            return runner.run(asyncio.wait_for(coroutine, HANG_GUARD_S))

    return run_guarded


@pytest.fixture
def serve():
    """Start a service on the running loop and return its task once it serves."""

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

    Their addresses are this process's own and their ports are below those that the system gives
    out, so that neither another test run nor an outgoing connection can hold one of them.
    """
    number = os.getpid() % (64 * 256)
    host = f"127.{64 + number // 256}.{number % 256}.1"
    return lambda: Endpoint(host, next(_PORTS))


@pytest.fixture
def tenggara() -> Deployment:
    """Tenggara Kilang's deployment, with an idle timeout that a test can wait for."""
    return create_tenggara(idle_timeout_s=IDLE_TIMEOUT_S)


@pytest.fixture
def al_batinah() -> Deployment:
    """Al Batinah's deployment, with an idle timeout that a test can wait for."""
    return create_al_batinah(idle_timeout_s=IDLE_TIMEOUT_S)
