"""A service that calls a function at a fixed interval."""

import asyncio
from collections.abc import Callable

import aiomisc


class Ticker(aiomisc.Service):
    """Calls a function again and again; an error of the function ends the service.

    :param interval_s: time between two calls, in seconds.
    """

    def __init__(self, interval_s: float, callback: Callable[[], object]) -> None:
        super().__init__()
        self._interval_s = interval_s
        self._callback = callback

    async def start(self) -> None:
        """Call the function until the service is stopped."""
        self.start_event.set()
        while True:
            self._callback()
            await asyncio.sleep(self._interval_s)
