"""Failure domains that this instance is cut off from.

When no member of a domain answers, only the health endpoints of its upstreams can tell a
partition from the loss of its instances. A few upstreams of such a domain are read as a sample.
The result holds for this instance alone and is not spread.
"""

from collections.abc import Collection, Iterable, Mapping

from chicoryproxy.control.outbox import Outbox
from chicoryproxy.ids import DomainId, InstanceId, UpstreamId
from chicoryproxy.model import Upstream
from chicoryproxy.protocol.actions import ReadHealth
from chicoryproxy.protocol.events import HealthReading
from chicoryproxy.protocol.messages import Member
from chicoryproxy.rendezvous import score
from chicoryproxy.states import MemberState

SAMPLE_SIZE = 4
SAMPLE_INTERVAL_S = 2.0


def find_silent_domains(members: Iterable[Member]) -> frozenset[DomainId]:
    """Return the domains all of whose members are hidden."""
    domains: set[DomainId] = set()
    answering: set[DomainId] = set()
    for member in members:
        domains.add(member.instance.domain)
        if member.state is not MemberState.HIDDEN:
            answering.add(member.instance.domain)
    return frozenset(domains - answering)


class DomainReachability:
    """Samples the upstreams of silent domains.

    :param own: this instance; each samples different upstreams.
    :param outbox: takes the reads and the log lines.

    ``revision`` rises when a domain is cut off or reached again.
    """

    def __init__(self, own: InstanceId, outbox: Outbox) -> None:
        self._own = own
        self._outbox = outbox
        self._silent: frozenset[DomainId] = frozenset()
        self._samples: dict[UpstreamId, Upstream] = {}
        self._sample_results: dict[UpstreamId, bool] = {}
        self._cut_off: frozenset[DomainId] = frozenset()
        self._due_at = 0.0
        self.revision = 0

    @property
    def cut_off(self) -> frozenset[DomainId]:
        """Domains of which neither an instance nor a sampled upstream answers."""
        return self._cut_off

    def update(
        self, silent: frozenset[DomainId], upstreams: Mapping[DomainId, Collection[Upstream]]
    ) -> None:
        """Follow the silent domains.

        :param upstreams: listed upstreams by domain.
        """
        if silent != self._silent:
            self._due_at = 0.0
        self._silent = silent
        self._samples = {
            upstream.id: upstream
            for domain in silent
            for upstream in self._choose_sample(upstreams.get(domain, ()))
        }
        self._sample_results = {
            sample: reached
            for sample, reached in self._sample_results.items()
            if sample in self._samples
        }
        self._update_cut_off()

    def receive_reading(self, reading: HealthReading) -> None:
        """Take in the reading of a sampled upstream."""
        if reading.upstream in self._samples:
            self._sample_results[reading.upstream] = reading.reachable
            self._update_cut_off()

    def tick(self, now: float) -> None:
        """Ask for the reads of the samples when they are due."""
        if not self._samples or now < self._due_at:
            return
        self._due_at = now + SAMPLE_INTERVAL_S
        for upstream in self._samples.values():
            self._outbox.add(ReadHealth(upstream.id, upstream.health_url))

    def _update_cut_off(self) -> None:
        cut_off = frozenset(domain for domain in self._silent if not self._is_reached(domain))
        for domain in sorted(cut_off - self._cut_off):
            self._outbox.log("reach", "cut off from the domain", domain)
        for domain in sorted(self._cut_off - cut_off):
            self._outbox.log("reach", "reaches the domain", domain)
        if cut_off != self._cut_off:
            self._cut_off = cut_off
            self.revision += 1

    def _is_reached(self, domain: DomainId) -> bool:
        """Without a sample the silence of the members is all the evidence there is."""
        samples = [sample.id for sample in self._samples.values() if sample.domain == domain]
        return any(self._sample_results.get(sample, True) for sample in samples)

    def _choose_sample(self, upstreams: Collection[Upstream]) -> list[Upstream]:
        readable = [upstream for upstream in upstreams if upstream.health_url]
        key = f"sample/{self._own}"
        return sorted(readable, key=lambda upstream: score(key, upstream.id))[:SAMPLE_SIZE]
