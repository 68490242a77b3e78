"""Selection of a control upstream, whose probe shows whether connections work at all.

A timed-out connection proves nothing about an upstream unless a connection to another one succeeds
at the same time. Many probes may time out at once, so that the selection must not iterate over the
whole fleet each time.
"""

from collections.abc import Callable

from chicoryproxy.forwarding.view.directory import Directory
from chicoryproxy.forwarding.view.lifetime import Lifetime
from chicoryproxy.ids import DomainId

MIN_SEARCH_INTERVAL_S = 0.25
"""Minimum interval between searches over all upstreams while the last control is usable."""

MIN_FAILED_SEARCH_INTERVAL_S = 0.05
"""Minimum interval between these searches while the last control itself times out."""

RECENT_ANSWER_S = 1.0
"""A control that answered a caller this recently is kept."""


class ControlProbeSelector:
    """Selects upstreams that are probably reachable.

    :param domain: failure domain of this entry.
    :param is_failing: returns whether the last probe of an upstream timed out.
    """

    def __init__(
        self,
        directory: Directory,
        domain: DomainId,
        is_failing: Callable[[Lifetime], bool] = lambda upstream: False,
    ) -> None:
        self._directory = directory
        self._domain = domain
        self._is_failing = is_failing
        self._last: Lifetime | None = None
        self._searched_s = float("-inf")

    def choose(self, suspected: Lifetime, now: float) -> Lifetime | None:
        """Choose a control for an upstream whose probe timed out.

        :returns: ``None`` if there is no other upstream.
        """
        last = self._last
        if (
            last is None
            or not self._is_independent(last, suspected)
            or not self._is_reusable(last, now)
        ):
            self._last = self._search(suspected)
            self._searched_s = now
        return self._last

    def _is_independent(self, upstream: Lifetime, suspected: Lifetime) -> bool:
        """Return whether a failure of the suspected upstream does not affect this one."""
        if not upstream.can_open or upstream is suspected:
            return False
        domain = upstream.entry.domain
        return domain == self._domain or domain != suspected.entry.domain

    def _is_reusable(self, upstream: Lifetime, now: float) -> bool:
        if self._is_failing(upstream):
            return now - self._searched_s < MIN_FAILED_SEARCH_INTERVAL_S
        return (
            now - upstream.answered_s < RECENT_ANSWER_S
            or now - self._searched_s < MIN_SEARCH_INTERVAL_S
        )

    def _search(self, suspected: Lifetime) -> Lifetime | None:
        candidates = [
            upstream
            for upstream in self._directory.iterate_present()
            if upstream.can_open and upstream is not suspected
        ]
        # Upstreams that died together have answered last, and would be each other's control.
        candidates = [item for item in candidates if not self._is_failing(item)] or candidates
        if self._last is not None and self._is_failing(self._last):
            failed = self._last.entry.domain
            elsewhere = [item for item in candidates if item.entry.domain != failed]
            candidates = elsewhere or candidates
        # A network partition may affect the whole domain of the suspected one; the own is nearest.
        near = [item for item in candidates if item.entry.domain == self._domain]
        best = near or [item for item in candidates if self._is_independent(item, suspected)]
        return max(best or candidates, key=lambda item: item.answered_s, default=None)
