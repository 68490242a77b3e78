"""Throughput of a forwarder's process."""

import resource
import time
from collections.abc import Callable

from msgspec import Struct

US_PER_S = 1e6


class Throughput(Struct, frozen=True):
    """Results of a forwarder in one round.

    :param packets_per_s: packets forwarded per second.
    :param user_us: user processor time per packet, in microseconds.
    :param system_us: system processor time per packet, in microseconds.
    :param lines: log lines written per second.
    :param lost: log lines dropped per second because the queue was full.
    """

    packets_per_s: float
    user_us: float
    system_us: float
    lines: float = 0.0
    lost: float = 0.0


class _Sample(Struct, frozen=True):
    """Counters at one moment.

    :param time_s: time of the sample, in seconds.
    :param user_s: user processor time so far, in seconds.
    :param system_s: system processor time so far, in seconds.
    :param packets: packets forwarded so far.
    :param lost: log lines dropped so far.
    """

    time_s: float
    user_s: float
    system_s: float
    packets: int
    lost: int


class ThroughputMeter:
    """Computes the throughput of this process from counters.

    :param count: returns the packets forwarded so far.
    :param count_lost: returns the log lines dropped so far.
    """

    def __init__(self, count: Callable[[], int], count_lost: Callable[[], int]) -> None:
        self._count = count
        self._count_lost = count_lost
        self._last = self._sample()

    def read(self) -> Throughput:
        """Return the throughput since the last call, or since the start."""
        last, sample = self._last, self._sample()
        self._last = sample
        packets = max(1, sample.packets - last.packets)
        seconds = sample.time_s - last.time_s
        return Throughput(
            packets / seconds,
            (sample.user_s - last.user_s) / packets * US_PER_S,
            (sample.system_s - last.system_s) / packets * US_PER_S,
            lost=(sample.lost - last.lost) / seconds,
        )

    def _sample(self) -> _Sample:
        time_s = time.perf_counter()
        usage = resource.getrusage(resource.RUSAGE_SELF)
        return _Sample(time_s, usage.ru_utime, usage.ru_stime, self._count(), self._count_lost())
