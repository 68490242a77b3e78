"""A service that calls a function periodically."""

import asyncio
from collections.abc import Callable

import aiomisc


class Ticker(aiomisc.Service):
    """Calls a function periodically; an exception in the function ends the service.

    :param interval_s: delay between the end of a call and the next call, in seconds.
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
