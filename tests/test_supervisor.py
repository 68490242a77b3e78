"""Tests of the supervisor of a process and of its backoff."""

import asyncio

import aiomisc
import pytest

from chicoryproxy.network.backoff import Backoff, BackoffLimits
from chicoryproxy.processes import supervisor
from chicoryproxy.processes.supervisor import Child, Supervisor
from chicoryproxy.telemetry.metrics import Metric, Metrics


class FailingService(aiomisc.Service):
    """Fails to start a given number of times, then serves."""

    def __init__(self, state):
        super().__init__()
        self.state = state

    async def start(self):
        self.state["starts"] += 1
        if self.state["starts"] <= self.state["failures"]:
            raise OSError("the port is in use")
        self.state["serving"].set()
        await asyncio.get_running_loop().create_future()

    async def stop(self, exception=None):
        self.state["stops"] += 1


@pytest.fixture
def create_state():
    return lambda failures: {
        "starts": 0,
        "stops": 0,
        "failures": failures,
        "serving": asyncio.Event(),
    }


@pytest.fixture(autouse=True)
def short_delays(monkeypatch):
    monkeypatch.setattr(supervisor, "RESTART_LIMITS", BackoffLimits(0.0001, 0.001))


def test_failed_child_is_restarted(run, serve, create_state):
    async def check():
        state = create_state(3)
        other = create_state(0)
        metrics = Metrics(None)
        children = [
            Child("failing", lambda: FailingService(state)),
            Child("other", lambda: FailingService(other)),
        ]
        task = await serve(Supervisor(children, metrics, 1))
        await state["serving"].wait()
        assert metrics.get_totals()[Metric.CHILD_RESTARTS.value] == 3
        assert (state["starts"], state["stops"], other["starts"]) == (4, 3, 1)
        task.cancel()
        await asyncio.wait((task,))
        assert (state["stops"], other["stops"]) == (4, 1)

    run(check())


def test_supervisor_fails_with_its_essential_child(run, serve, create_state):
    async def check():
        state = create_state(10_000)
        children = [Child("failing", lambda: FailingService(state), is_essential=True)]
        task = await serve(Supervisor(children, Metrics(None), 1))
        await asyncio.wait((task,))
        assert isinstance(task.exception(), ExceptionGroup)
        assert state["starts"] == supervisor.MAX_FAILURES

    run(check())


def test_other_child_is_restarted_without_limit(run, serve, create_state):
    async def check():
        state = create_state(supervisor.MAX_FAILURES + 5)
        task = await serve(
            Supervisor([Child("x", lambda: FailingService(state))], Metrics(None), 1)
        )
        await state["serving"].wait()
        task.cancel()

    run(check())


def test_backoff_doubles_up_to_its_limit():
    backoff = Backoff(7, BackoffLimits(0.1, 0.8))
    delays = [backoff.next_delay() for _ in range(6)]
    for delay, bound in zip(delays, (0.1, 0.2, 0.4, 0.8, 0.8, 0.8), strict=True):
        assert bound / 2 <= delay <= bound
    assert delays[3:] != [delays[3]] * 3
    backoff.reset()
    assert backoff.next_delay() <= 0.1
    assert [Backoff(7, BackoffLimits(0.1, 0.8)).next_delay()] == delays[:1]
