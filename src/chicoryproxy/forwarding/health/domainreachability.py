"""Detects failure domains that this entry can't reach, from probes of a few of their upstreams.

One upstream that can't be reached may have failed alone, or its failure domain may be partitioned.
A sample of the domain's upstreams shows which: if probes of all of them time out and nothing from
the domain has answered since, openings avoid the whole domain. Thus neither the number of probes
nor the time until a partition is detected grows with the domain.
"""

from chicoryproxy.forwarding.model import UpstreamPhase
from chicoryproxy.forwarding.view.directory import Directory
from chicoryproxy.forwarding.view.lifetime import Lifetime
from chicoryproxy.ids import DomainId
from chicoryproxy.prng import Prng

SAMPLE_SIZE = 3
"""Number of unreachable upstreams that make their failure domain unreachable."""

MIN_SAMPLE_INTERVAL_S = 1.0
"""Minimum interval between samples of a failure domain."""

RECHECK_SIZE = 1
"""Size of a sample that shows whether an unreachable failure domain can be reached again."""


class DomainReachability:
    """Failure domains that are probably unreachable.

    :param seed: seed of the pseudo-random choices, so that entries probe different upstreams.
    """

    def __init__(self, directory: Directory, seed: int) -> None:
        self._directory = directory
        self._prng = Prng(seed, "domainreachability")
        self._failed: dict[DomainId, set[Lifetime]] = {}
        self._unreachable: set[DomainId] = set()
        self._sampled_s: dict[DomainId, float] = {}

    def is_unreachable(self, domain: DomainId) -> bool:
        """Return whether openings should avoid a failure domain."""
        return domain in self._unreachable

    def list_unreachable(self) -> list[DomainId]:
        """Return the failure domains that openings should avoid."""
        return list(self._unreachable)

    def record_success(self, domain: DomainId) -> bool:
        """Record that an upstream of a failure domain answered.

        :returns: True if the domain was unreachable until now.
        """
        if domain not in self._failed:
            return False
        del self._failed[domain]
        was_unreachable = domain in self._unreachable
        self._unreachable.discard(domain)
        return was_unreachable

    def record_timeout(self, upstream: Lifetime) -> bool:
        """Record that an upstream was proved unreachable by timeouts.

        :returns: True if its failure domain became unreachable.
        """
        domain = upstream.entry.domain
        failed = self._failed.setdefault(domain, set())
        failed.add(upstream)
        failed = {item for item in failed if item.phase is not UpstreamPhase.GONE}
        self._failed[domain] = failed
        others = sum(1 for item in self._iterate_domain(domain) if item not in failed)
        if domain in self._unreachable or len(failed) < min(SAMPLE_SIZE, len(failed) + others):
            return False
        self._unreachable.add(domain)
        return True

    def draw_sample(self, domain: DomainId, now: float) -> list[Lifetime]:
        """Choose upstreams of a failure domain to probe; none if it was sampled recently."""
        if now - self._sampled_s.get(domain, float("-inf")) < MIN_SAMPLE_INTERVAL_S:
            return []
        self._sampled_s[domain] = now
        candidates = [item for item in self._iterate_domain(domain) if not item.is_unreachable]
        size = RECHECK_SIZE if domain in self._unreachable else SAMPLE_SIZE
        return self._prng.draw_sample(candidates, size)

    def _iterate_domain(self, domain: DomainId) -> list[Lifetime]:
        present = self._directory.iterate_present()
        return [item for item in present if item.entry.domain == domain]
