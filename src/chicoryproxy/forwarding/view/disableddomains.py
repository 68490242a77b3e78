"""Failure domains that operators have taken out of service."""

from chicoryproxy.forwarding.model import Revision
from chicoryproxy.ids import DomainId


class DisabledDomains:
    """The domains that are out, also while a store that was restored may have lost it.

    :param grace_s: time in which what a restored store has lost is written again, in seconds.
    """

    def __init__(self, grace_s: float) -> None:
        self._grace_s = grace_s
        self._out: set[DomainId] = set()
        self._removed: dict[DomainId, Revision] = {}
        self._restored_s = float("-inf")

    def __contains__(self, domain: DomainId) -> bool:
        return domain in self._out

    def record_restore(self, now: float) -> None:
        """Record that the store came back from an older copy."""
        self._restored_s = now

    def take_out(self, domain: DomainId) -> None:
        """Record that a domain was taken out."""
        self._out.add(domain)
        self._removed.pop(domain, None)

    def bring_back(self, domain: DomainId, revision: Revision, now: float) -> bool:
        """Record that the store no longer says that a domain is out.

        :returns: False if the store may only have lost it; ``pop_returned`` decides later.
        """
        if now - self._restored_s < self._grace_s:
            self._removed[domain] = revision
            return False
        self._out.discard(domain)
        return True

    def pop_returned(self, now: float) -> dict[DomainId, Revision]:
        """Bring back the domains that nobody took out again in time.

        :returns: the revision of the removal by domain.
        """
        if not self._removed or now - self._restored_s < self._grace_s:
            return {}
        returned, self._removed = self._removed, {}
        self._out -= returned.keys()
        return returned
