"""Measures the opening rate at a cold upstream: ``PYTHONPATH=src python -m benchmarks.cold_start``.

Seven entries under load send openings to one cold upstream in simulated time. For each method of
limiting openings, prints the most openings in any second and the used share of the limit. The
lease method uses ``GrantOwner`` and ``GrantHolder`` of chicoryproxy itself.
"""

import random
from abc import ABC, abstractmethod
from bisect import bisect_left
from collections import deque
from collections.abc import Sequence

from msgspec import Struct

from chicoryproxy.ids import DomainId, InstanceId, UpstreamId
from chicoryproxy.model import Endpoint, Upstream, UpstreamCondition, WarmUp
from chicoryproxy.network.codec import encode
from chicoryproxy.protocol.messages import Grant, GrantRequest, OpeningOutcomes
from chicoryproxy.routing.grants import GrantHolder, GrantOwner
from chicoryproxy.states import UpstreamState

ENTRY_COUNT = 7
STEP_S = 0.002
LATENCY_S = 0.0015
JITTER_S = 0.001
OPENING_TIMEOUT_S = 3.0
SETTLE_S = 10.0
MEASURED_S = 60.0
SEEDS = (1, 2, 3)
RATE_LIMITS_PER_S = (2.0, 20.0, 200.0)
LEASES_S = (1.0, 0.5, 0.25, 0.1)
SKEWED_ENTRY_SHARE = 0.9
UPSTREAM_ID = UpstreamId("qa-desk-1")
WARM_UP = WarmUp(cold_openings=2.0, full_openings=200.0, duration_s=30.0)
REPORT_INTERVAL_S = 1.0


class OpeningLimiter(ABC):
    """A method by which entries limit the openings that they send to the upstream."""

    messages = 0
    message_bytes = 0

    @abstractmethod
    def allow(self, entry: int, now: float) -> bool:
        """Return whether an entry may forward an opening now, and count it if so."""

    @abstractmethod
    def advance(self, now: float) -> None:
        """Deliver messages and send reports that are due."""

    @abstractmethod
    def record_forwarded(self, entry: int) -> None:
        """Record a forwarded opening; the upstream answers all of them."""


class _LocalLimiter(OpeningLimiter):
    """A limiter that sends no messages."""

    def advance(self, now: float) -> None:
        pass

    def record_forwarded(self, entry: int) -> None:
        pass


class _EqualShares(_LocalLimiter):
    """Gives each entry an equal share of the limit, without coordination."""

    def __init__(self, rate_limit: float) -> None:
        self._gap_s = ENTRY_COUNT / rate_limit
        self._next_s = [0.0] * ENTRY_COUNT

    def allow(self, entry: int, now: float) -> bool:
        if now < self._next_s[entry]:
            return False
        self._next_s[entry] = now + self._gap_s
        return True


class _SlowStartLimiter(_LocalLimiter):
    """Forwards a share of the openings that grows linearly with the time since the start."""

    def __init__(self, seed: int) -> None:
        self._random = random.Random(seed)

    def allow(self, entry: int, now: float) -> bool:
        return self._random.random() < (now - SETTLE_S) / WARM_UP.duration_s


class _LeaseLimiter(OpeningLimiter):
    """Entries request openings from the upstream's owner, which grants them as leases."""

    def __init__(self, warm_up: WarmUp, lease_s: float, seed: int) -> None:
        self._random = random.Random(seed)
        self._upstream = Upstream(
            UPSTREAM_ID, DomainId("d"), Endpoint("127.0.0.1", 1), warm_up=warm_up
        )
        self._condition = UpstreamCondition(UPSTREAM_ID, UpstreamState.COLD, 1)
        self.owner = GrantOwner(lease_s)
        self.owner.begin_ownership(UPSTREAM_ID, 0.0)
        self._holders = [GrantHolder() for _ in range(ENTRY_COUNT)]
        self._answered = [0] * ENTRY_COUNT
        self._report_s = REPORT_INTERVAL_S
        self._in_flight: deque[tuple[float, int, GrantRequest | Grant]] = deque()

    def allow(self, entry: int, now: float) -> bool:
        holder = self._holders[entry]
        has_permit = holder.use_opening(UPSTREAM_ID, now) is not None
        request = holder.next_request(UPSTREAM_ID, now)
        if request is not None:
            self._send(entry, request, now)
        return has_permit

    def advance(self, now: float) -> None:
        due = [item for item in self._in_flight if item[0] <= now]
        self._in_flight = deque(item for item in self._in_flight if item[0] > now)
        for _, entry, message in due:
            if isinstance(message, Grant):
                self._holders[entry].receive(message, now)
            else:
                self._decide(entry, message, now)
        if now >= self._report_s:
            self._report_s = now + REPORT_INTERVAL_S
            self._report(now)

    def record_forwarded(self, entry: int) -> None:
        self._answered[entry] += 1

    def _decide(self, entry: int, request: GrantRequest, now: float) -> None:
        holder = InstanceId(f"entry-{entry}")
        openings = self.owner.request(
            self._upstream, self._condition, holder, request.openings, now
        )
        lifetime_s = self.owner.lease_s if openings else self.owner.retry_after_s(UPSTREAM_ID, now)
        self._send(entry, Grant(request.request, UPSTREAM_ID, openings, lifetime_s), now)

    def _report(self, now: float) -> None:
        for entry, answered in enumerate(self._answered):
            if answered:
                outcomes = OpeningOutcomes(UPSTREAM_ID, answered, 0, 0)
                self.owner.record_outcomes(outcomes, now)
                self.message_bytes += len(encode(outcomes))
                self.messages += 1
            self._answered[entry] = 0

    def _send(self, entry: int, message: GrantRequest | Grant, now: float) -> None:
        delay = LATENCY_S + self._random.expovariate(1.0 / JITTER_S)
        self._in_flight.append((now + delay, entry, message))
        self.messages += 1
        self.message_bytes += len(encode(message))


class Result(Struct):
    """Results of one run.

    :ivar forwarded: times of the forwarded openings in seconds, ascending.
    :ivar rate_limits: pairs of time and the limit in openings per second.
    """

    forwarded: list[float]
    rate_limits: list[tuple[float, float]]
    messages_per_s: float
    bytes_per_s: float


class Load:
    """Openings that arrive at the entries and time out after ``OPENING_TIMEOUT_S``.

    :param rate: openings per second over all entries.
    :param is_skewed: whether one entry receives the share ``SKEWED_ENTRY_SHARE`` of them.
    """

    def __init__(self, rate: float, is_skewed: bool, seed: int) -> None:
        self._random = random.Random(seed)
        self._rate = rate
        self._weights = [1.0] * ENTRY_COUNT
        if is_skewed:
            self._weights[0] = SKEWED_ENTRY_SHARE / (1.0 - SKEWED_ENTRY_SHARE) * (ENTRY_COUNT - 1)
        self._next_s = 0.0
        self.pending: list[deque[float]] = [deque() for _ in range(ENTRY_COUNT)]

    def advance(self, now: float) -> None:
        """Add new openings and drop those that have timed out."""
        while self._next_s <= now:
            entry = self._random.choices(range(ENTRY_COUNT), self._weights)[0]
            self.pending[entry].append(now)
            self._next_s += self._random.expovariate(self._rate)
        for pending in self.pending:
            while pending and pending[0] < now - OPENING_TIMEOUT_S:
                pending.popleft()


def run(limiter: OpeningLimiter, load: Load, duration_s: float) -> Result:
    """Run a limiter under load."""
    forwarded: list[float] = []
    rate_limits: list[tuple[float, float]] = []
    now = 0.0
    while now < SETTLE_S + duration_s:
        now += STEP_S
        limiter.advance(now)
        load.advance(now)
        for entry, pending in enumerate(load.pending):
            while pending and limiter.allow(entry, now):
                pending.popleft()
                limiter.record_forwarded(entry)
                forwarded.append(now)
        if isinstance(limiter, _LeaseLimiter):
            rate_limits.append((now, limiter.owner.level(UPSTREAM_ID)))
    total_s = SETTLE_S + duration_s
    return Result(
        forwarded, rate_limits, limiter.messages / total_s, limiter.message_bytes / total_s
    )


def count_peak_openings(times: Sequence[float]) -> int:
    """Return the most openings in any window of one second."""
    return max(
        (index + 1 - bisect_left(times, at - 1.0 + 1e-9) for index, at in enumerate(times)),
        default=0,
    )


def print_constant(is_skewed: bool) -> None:
    """Compare limiters at a constant limit under a load of ten times that limit."""
    print(f"constant bound, load of ten times the bound{', skewed' if is_skewed else ''}")
    print("way            bound  most in 1 s  used of bound  messages/s  bytes/s")
    for rate_limit in RATE_LIMITS_PER_S:
        steady = WarmUp(rate_limit, rate_limit, 30.0)
        lease_variants = [(f"lease {lease_s:4.2f} s", lease_s) for lease_s in LEASES_S]
        for name, lease_s in [*lease_variants, ("shares", 0.0)]:
            peak, limit_share, messages, bytes_per_s = 0, 0.0, 0.0, 0.0
            for seed in SEEDS:
                limiter = (
                    _LeaseLimiter(steady, lease_s, seed) if lease_s else _EqualShares(rate_limit)
                )
                result = run(limiter, Load(10 * rate_limit, is_skewed, seed), MEASURED_S)
                measured = [at for at in result.forwarded if at > SETTLE_S]
                peak = max(peak, count_peak_openings(measured))
                limit_share += len(measured) / (rate_limit * MEASURED_S) / len(SEEDS)
                messages += result.messages_per_s / len(SEEDS)
                bytes_per_s += result.bytes_per_s / len(SEEDS)
            print(
                f"{name:13} {rate_limit:6.0f} {peak:12} {limit_share:14.2f} "
                f"{messages:11.1f} {bytes_per_s:8.0f}"
            )


def compute_peak_to_limit_ratio(result: Result, lease_s: float) -> float:
    """Return the highest ratio of the openings in a second to the limit.

    The limit is the highest one in that second and the ``2 * lease_s`` before it, since openings
    may use a lease that was granted earlier.
    """
    times = result.forwarded
    limit_times = [at for at, _ in result.rate_limits]
    peak_ratio = 0.0
    for index, at in enumerate(times):
        openings = index + 1 - bisect_left(times, at - 1.0 + 1e-9)
        start = bisect_left(limit_times, at - 1.0 - 2 * lease_s)
        end = bisect_left(limit_times, at) + 1
        peak_ratio = max(
            peak_ratio, openings / max(level for _, level in result.rate_limits[start:end])
        )
    return peak_ratio


def print_warm_up(rate: float) -> None:
    """Compare limiters during a warm-up from 2 to 200 openings per second."""
    print(f"warm-up from 2 to 200 openings/s under {rate:.0f} openings/s")
    print("way            most in the 1st s  5 s  15 s  most/bound  full after s")
    for lease_s in LEASES_S:
        limiter = _LeaseLimiter(WARM_UP, lease_s, 1)
        result = run(limiter, Load(rate, False, 1), 180.0)
        start = next(at for at, level in result.rate_limits if level)
        start = min(result.forwarded, default=start)
        full = next(
            (at - start for at, level in result.rate_limits if level >= 200.0), float("nan")
        )
        print_times(
            f"lease {lease_s:4.2f} s",
            result,
            start,
            compute_peak_to_limit_ratio(result, lease_s),
            full,
        )
    result = run(_SlowStartLimiter(1), Load(rate, False, 1), WARM_UP.duration_s)
    result.rate_limits = [(at, _compute_warm_up_rate(at - SETTLE_S)) for at in result.forwarded]
    print_times(
        "slow start", result, SETTLE_S, compute_peak_to_limit_ratio(result, 0.0), WARM_UP.duration_s
    )


def _compute_warm_up_rate(age_s: float) -> float:
    """Return the rate that the upstream sustains at an age, in openings per second.

    The rate grows exponentially, as fast as the warm-up settings allow.
    """
    growth = WARM_UP.full_openings / WARM_UP.cold_openings
    return WARM_UP.cold_openings * growth ** min(1.0, age_s / WARM_UP.duration_s)


def print_times(name: str, result: Result, start: float, peak_ratio: float, full: float) -> None:
    """Print the peak openings per second in the first 1, 5 and 15 s for a limiter."""
    counts = [
        count_peak_openings([at for at in result.forwarded if start <= at < start + until])
        for until in (1.0, 5.0, 15.0)
    ]
    print(f"{name:13} {counts[0]:18} {counts[1]:4} {counts[2]:5} {peak_ratio:11.2f} {full:13.0f}")


def main() -> None:
    """Run all comparisons and print the results."""
    print_constant(False)
    print_constant(True)
    print_warm_up(400.0)
    print_warm_up(2000.0)


if __name__ == "__main__":
    main()
