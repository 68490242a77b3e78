"""Simulated upstreams and the demand of a fleet, for the comparison of placement policies."""

import math
import random
from collections import deque

from msgspec import Struct

from chicoryproxy.forwarding.model import (
    Bounds,
    Change,
    Revision,
    Route,
    RouteKey,
    UpstreamEntry,
    UpstreamListed,
    WeightedService,
)
from chicoryproxy.forwarding.view.directory import Directory
from chicoryproxy.forwarding.view.replica import get_upstream_key
from chicoryproxy.ids import DomainId, ServiceId, UpstreamId
from chicoryproxy.model import Endpoint

SLOTS = 2
WORK_S = 0.05
WORK_SPREAD = 0.5
LATENCY_TARGET_S = 0.5
DOMAIN_COUNT = 3
SPEEDS = (0.6, 1.0, 1.6)
SWING = 0.5
SWING_PERIOD_S = 8.0
TAIL_FACTOR = 7.0
SERVICE = ServiceId("service")
ROUTE = Route("route", RouteKey(1, 443), (WeightedService(SERVICE, 1.0),))


class Shape(Struct, frozen=True):
    """Size and load of a simulated fleet.

    :param load: share of the slots that are busy on average.
    :param is_unequal: a tenth of the entries get half of the requests.
    :param is_swinging: the demand of each failure domain swings by half, out of phase.
    :param has_speeds: the upstreams differ in speed.
    :param tail: share of the requests that take ``TAIL_FACTOR`` times as long.
    """

    entries: int
    upstreams: int
    load: float
    is_unequal: bool = False
    is_swinging: bool = False
    has_speeds: bool = False
    tail: float = 0.0

    def get_speed(self, upstream: int) -> float:
        """Return the speed of an upstream; every failure domain has the same mix."""
        return SPEEDS[upstream // DOMAIN_COUNT % len(SPEEDS)] if self.has_speeds else 1.0

    def compute_rate(self) -> float:
        """Return the requests per second of the fleet."""
        capacity = sum(map(self.get_speed, range(self.upstreams))) * SLOTS / WORK_S
        return self.load * capacity / (1.0 + self.tail * (TAIL_FACTOR - 1.0))

    def draw_work(self, upstream: int, rng: random.Random) -> float:
        """Draw how long an upstream works on a request, in seconds."""
        work_s = WORK_S * rng.lognormvariate(-(WORK_SPREAD**2) / 2, WORK_SPREAD)
        if self.tail and rng.random() < self.tail:
            work_s *= TAIL_FACTOR
        return work_s / self.get_speed(upstream)

    def choose_entry(self, now: float, rng: random.Random) -> int:
        """Draw the entry at which a request arrives."""
        domain = self._choose_domain(now, rng)
        count = len(range(domain, self.entries, DOMAIN_COUNT))
        if self.is_unequal and rng.random() < 0.5:
            count = max(1, count // 10)
        return domain + DOMAIN_COUNT * rng.randrange(count)

    def _choose_domain(self, now: float, rng: random.Random) -> int:
        if not self.is_swinging:
            return rng.randrange(DOMAIN_COUNT)
        turn = now / SWING_PERIOD_S
        weights = [
            1.0 + SWING * math.sin(2 * math.pi * (turn + domain / DOMAIN_COUNT))
            for domain in range(DOMAIN_COUNT)
        ]
        return rng.choices(range(DOMAIN_COUNT), weights)[0]


class Request(Struct):
    """A request at an upstream.

    :param arrived_s: when it arrived there.
    """

    entry: int
    upstream: int
    arrived_s: float


class Upstreams:
    """Upstreams with slots and a queue in order of arrival."""

    def __init__(self, count: int) -> None:
        self.present = [0] * count
        self.arrivals = [0] * count
        self._queues: list[deque[Request]] = [deque() for _ in range(count)]
        self._busy = [0] * count

    def add(self, request: Request) -> bool:
        """Add a request; return whether its work begins at once."""
        upstream = request.upstream
        self.present[upstream] += 1
        self.arrivals[upstream] += 1
        if self._busy[upstream] < SLOTS:
            self._busy[upstream] += 1
            return True
        self._queues[upstream].append(request)
        return False

    def finish(self, upstream: int) -> Request | None:
        """Remove a finished request; return the one whose work begins now."""
        self.present[upstream] -= 1
        if self._queues[upstream]:
            return self._queues[upstream].popleft()
        self._busy[upstream] -= 1
        return None


def name_upstream(number: int) -> UpstreamId:
    """Return the id of an upstream."""
    return UpstreamId(f"i-{number:04x}")


def name_domain(number: int) -> DomainId:
    """Return the failure domain of an entry or upstream."""
    return DomainId(f"domain-{number % DOMAIN_COUNT}")


def create_directory(upstreams: int) -> Directory:
    """Create a directory of warm upstreams, spread over the failure domains."""
    directory = Directory(Bounds())
    for number in range(upstreams):
        entry = UpstreamEntry(
            name_upstream(number),
            number,
            SERVICE,
            Endpoint(f"10.0.{number // 250}.{number % 250 + 1}", 80),
            name_domain(number),
            SLOTS,
            False,
            0.0,
            1,
        )
        change = Change(get_upstream_key(entry.id), Revision(number + 1), UpstreamListed(entry))
        directory.apply(change, 0.0)
    return directory
