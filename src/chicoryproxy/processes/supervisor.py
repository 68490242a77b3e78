"""Supervisor of the services of a process.

A child whose service fails or returns is created and started again after a backoff. If an
essential child fails ``MAX_FAILURES`` times within ``FAILURE_WINDOW_S``, the supervisor fails and
the process exits, so that the service manager can replace the instance. This limit corresponds to
the restart intensity of Erlang/OTP supervisors.
"""

import asyncio
import os
import signal
from collections import deque
from collections.abc import Awaitable, Callable, Sequence
from enum import IntEnum, unique

import aiomisc
import uvloop
from msgspec import Struct

from chicoryproxy.network.backoff import Backoff, BackoffLimits
from chicoryproxy.telemetry.logs import PartLogger
from chicoryproxy.telemetry.metrics import Metric, Metrics

RESTART_LIMITS = BackoffLimits(first_s=0.05, longest_s=10.0)
BACKOFF_RESET_S = 30.0
"""Run time of a child after which its restart delay starts from the lowest value again."""

MAX_FAILURES = 20
FAILURE_WINDOW_S = 60.0
PART = "supervisor"


@unique
class ExitCode(IntEnum):
    """Exit codes of the processes."""

    STOPPED = 0
    FAILED = 1
    INVALID_SETTINGS = 2
    FORCED = 128 + signal.SIGTERM


class Child(Struct, frozen=True):
    """A supervised service.

    :param name: name for the log.
    :param create: creates a new service, whose ``start`` returns only when the service ends.
    :param is_essential: whether the process exits when the child keeps failing.
    """

    name: str
    create: Callable[[], aiomisc.Service]
    is_essential: bool = False


class Supervisor(aiomisc.Service):
    """Starts its children and restarts those that fail.

    :param seed: seed of the backoff jitter.
    """

    def __init__(self, children: Sequence[Child], metrics: Metrics, seed: int) -> None:
        super().__init__()
        self._children = children
        self._metrics = metrics
        self._seed = seed
        self._log = PartLogger(PART)

    async def start(self) -> None:
        """Run all children until an essential one reaches the failure limit.

        :raises ExceptionGroup: with the last error of that child.
        """
        self.start_event.set()
        async with asyncio.TaskGroup() as group:
            for number, child in enumerate(self._children):
                group.create_task(
                    self._supervise(child, Backoff(self._seed + number, RESTART_LIMITS))
                )

    async def _supervise(self, child: Child, backoff: Backoff) -> None:
        failures: deque[float] = deque(maxlen=MAX_FAILURES)
        while True:
            started = self.loop.time()
            error = await self._run_child(child)
            now = self.loop.time()
            failures.append(now)
            self._metrics.count(Metric.CHILD_RESTARTS)
            if child.is_essential and _reached_failure_limit(failures, now):
                self._log.error(
                    "Essential child failed too often; stopping the process.",
                    child=child.name,
                    error=repr(error),
                )
                raise error
            if now - started >= BACKOFF_RESET_S:
                backoff.reset()
            delay_s = backoff.next_delay()
            self._log.warning(
                "Child failed; restarting it after a delay.",
                child=child.name,
                error=repr(error),
                restart_in_s=round(delay_s, 3),
            )
            await asyncio.sleep(delay_s)

    async def _run_child(self, child: Child) -> Exception:
        """Run a child once and return the error that ended it."""
        service: aiomisc.Service | None = None
        try:
            service = child.create()
            service.set_loop(self.loop)
            await service.start()
            return RuntimeError("service ended without an error")
        except Exception as error:
            return error
        finally:
            if service is not None:
                await self._stop_child(child, service)

    async def _stop_child(self, child: Child, service: aiomisc.Service) -> None:
        try:
            await service.stop()
        except Exception as error:
            self._log.warning(
                "Child raised an exception while stopping.", child=child.name, error=repr(error)
            )


class _StopSignals:
    """Handles ``SIGTERM`` and ``SIGINT``: the first requests a graceful stop, the second exits."""

    def __init__(self) -> None:
        self.stop_requested = asyncio.Event()

    def install(self, loop: asyncio.AbstractEventLoop) -> None:
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._receive)

    def _receive(self) -> None:
        if self.stop_requested.is_set():
            os._exit(ExitCode.FORCED)
        self.stop_requested.set()


def run_process(
    name: str,
    create_supervisor: Callable[[], Supervisor],
    drain: Callable[[], Awaitable[None]],
) -> ExitCode:
    """Run the supervisor of a process until a signal stops it or the supervisor fails.

    :param name: name of the process for the log.
    :param create_supervisor: creates the supervisor; called on the running event loop.
    :param drain: called after the first signal while the children still serve; returns when the
        process may stop.
    :returns: the exit code of the process.
    """
    return aiomisc.run(
        _serve(name, create_supervisor, drain),
        loop_factory=uvloop.new_event_loop,
        log_config=False,
        catch_signals=(),
        pool_size=2,
    )


async def _serve(
    name: str, create_supervisor: Callable[[], Supervisor], drain: Callable[[], Awaitable[None]]
) -> ExitCode:
    loop = asyncio.get_running_loop()
    log = PartLogger(PART)
    signals = _StopSignals()
    signals.install(loop)
    supervisor = create_supervisor()
    supervisor.set_loop(loop)
    serving = loop.create_task(supervisor.start())
    stop_requested = loop.create_task(signals.stop_requested.wait())
    log.info("Process started.", program=name)
    await asyncio.wait((serving, stop_requested), return_when=asyncio.FIRST_COMPLETED)
    if serving.done():
        stop_requested.cancel()
        log.error("Process failed; exiting.", program=name, error=repr(serving.exception()))
        return ExitCode.FAILED
    log.info("Signal received; stopping gracefully.", program=name)
    await drain()
    serving.cancel()
    await asyncio.wait((serving,))
    log.info("Process stopped.", program=name)
    return ExitCode.STOPPED


def _reached_failure_limit(failures: deque[float], now: float) -> bool:
    return len(failures) == MAX_FAILURES and now - failures[0] <= FAILURE_WINDOW_S
