"""Detects failure domains that this instance is cut off from.

If no member of a domain answers, only the health endpoints of its upstreams can distinguish a
partition from a failure of its instances. A small sample of the domain's upstreams is read then.
The result applies to this instance only and is not gossiped.
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
    """Return the failure domains whose members are all hidden."""
    domains: set[DomainId] = set()
    answering: set[DomainId] = set()
    for member in members:
        domains.add(member.instance.domain)
        if member.state is not MemberState.HIDDEN:
            answering.add(member.instance.domain)
    return frozenset(domains - answering)


class DomainReachability:
    """Reads a sample of the upstreams in silent domains.

    :param own: this instance; each instance samples different upstreams.
    :param outbox: receives the read requests and the log lines.

    ``revision`` increases when a domain is cut off or becomes reachable again.
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
        """Failure domains in which neither an instance nor a sampled upstream answers."""
        return self._cut_off

    def update(
        self, silent: frozenset[DomainId], upstreams: Mapping[DomainId, Collection[Upstream]]
    ) -> None:
        """Set the silent domains.

        :param upstreams: listed upstreams by failure domain.
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
        """Handle the reading of a sampled upstream; others are ignored."""
        if reading.upstream in self._samples:
            self._sample_results[reading.upstream] = reading.reachable
            self._update_cut_off()

    def tick(self, now: float) -> None:
        """Request reads of the sampled upstreams when due."""
        if not self._samples or now < self._due_at:
            return
        self._due_at = now + SAMPLE_INTERVAL_S
        for upstream in self._samples.values():
            self._outbox.add(ReadHealth(upstream.id, upstream.health_url))

    def _update_cut_off(self) -> None:
        cut_off = frozenset(domain for domain in self._silent if not self._is_reached(domain))
        for domain in sorted(cut_off - self._cut_off):
            self._outbox.log("reach", "domain is unreachable", domain)
        for domain in sorted(self._cut_off - cut_off):
            self._outbox.log("reach", "domain is reachable again", domain)
        if cut_off != self._cut_off:
            self._cut_off = cut_off
            self.revision += 1

    def _is_reached(self, domain: DomainId) -> bool:
        """Return whether a sampled upstream answers or has not been read yet.

        Without samples, the silence of the members is the only evidence.
        """
        samples = [sample.id for sample in self._samples.values() if sample.domain == domain]
        return any(self._sample_results.get(sample, True) for sample in samples)

    def _choose_sample(self, upstreams: Collection[Upstream]) -> list[Upstream]:
        readable = [upstream for upstream in upstreams if upstream.health_url]
        key = f"sample/{self._own}"
        return sorted(readable, key=lambda upstream: score(key, upstream.id))[:SAMPLE_SIZE]
