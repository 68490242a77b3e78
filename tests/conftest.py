"""Fixtures that several test modules share."""

import asyncio
import socket

import pytest
import uvloop

from chicoryproxy.model import Endpoint
from chicoryproxy.testing import Deployment, create_al_batinah, create_tenggara

HANG_GUARD_S = 120
IDLE_TIMEOUT_S = 5.0


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

    async def start(service):
        loop = asyncio.get_running_loop()
        service.set_loop(loop)
        task = loop.create_task(service.start())
        started = loop.create_task(service.start_event.wait())
        await asyncio.wait((task, started), return_when=asyncio.FIRST_COMPLETED)
        if task.done():
            task.result()
        return task

    return start


@pytest.fixture
def pick_endpoint():
    """Return loopback endpoints whose port is free for TCP and UDP."""
    held = []

    def pick(host="127.0.0.1"):
        while True:
            stream = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            stream.bind((host, 0))
            held.append(stream)
            endpoint = Endpoint(*stream.getsockname())
            with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as datagram:
                try:
                    datagram.bind((host, endpoint.port))
                except OSError:
                    continue
            # Ports stay held until the end of the pick, so that no two picks are the same.
            stream.close()
            if endpoint not in picked:
                picked.add(endpoint)
                return endpoint

    picked = set()
    yield pick
    for stream in held:
        stream.close()


@pytest.fixture
def tenggara() -> Deployment:
    """Tenggara Kilang's deployment, with an idle timeout that a test can wait for."""
    return create_tenggara(idle_timeout_s=IDLE_TIMEOUT_S)


@pytest.fixture
def al_batinah() -> Deployment:
    """Al Batinah's deployment, with an idle timeout that a test can wait for."""
    return create_al_batinah(idle_timeout_s=IDLE_TIMEOUT_S)
