"""Builds the view that is sent to the entry of this instance."""

import msgspec

from chicoryproxy.control.conditions import ConditionStore, index_upstreams
from chicoryproxy.control.membership import Membership
from chicoryproxy.control.outbox import Outbox
from chicoryproxy.control.reachability import DomainReachability
from chicoryproxy.control.versions import VersionStore
from chicoryproxy.ids import DomainId
from chicoryproxy.model import UpstreamCondition
from chicoryproxy.protocol.actions import UpdateEntry
from chicoryproxy.protocol.messages import ViewUpdate
from chicoryproxy.states import UpstreamState


class _ImmediateKey(msgspec.Struct, frozen=True):
    versions: int
    is_stale: bool


class _DeferredKey(msgspec.Struct, frozen=True):
    members: int
    conditions: int
    reachability: int


class ViewBuilder:
    """Sends a new view to the entry when the state has changed.

    Changes of versions or staleness are sent immediately. Changes of members, conditions and
    reachability are deferred to the next tick, so that a burst of them results in one view.

    :param membership: provides the members.
    :param versions: provides the configuration and the generations.
    :param conditions: provides the conditions of the upstreams.
    :param reachability: provides the domains that this instance is cut off from.
    :param outbox: receives the view.
    """

    def __init__(
        self,
        membership: Membership,
        versions: VersionStore,
        conditions: ConditionStore,
        reachability: DomainReachability,
        outbox: Outbox,
    ) -> None:
        self._membership = membership
        self._versions = versions
        self._conditions = conditions
        self._reachability = reachability
        self._outbox = outbox
        self._number = 0
        self._immediate_key: _ImmediateKey | None = None
        self._deferred_key: _DeferredKey | None = None
        self._is_deferred_due = False

    def release_deferred(self) -> None:
        """Let the next update send deferred changes."""
        self._is_deferred_due = True

    def update(self, is_stale: bool) -> None:
        """Send a view if it differs from the last one."""
        immediate_key = _ImmediateKey(self._versions.revision, is_stale)
        deferred_key = _DeferredKey(
            self._membership.revision, self._conditions.revision, self._reachability.revision
        )
        has_deferred = deferred_key != self._deferred_key and self._is_deferred_due
        self._is_deferred_due = False
        if immediate_key == self._immediate_key and not has_deferred:
            return
        self._immediate_key = immediate_key
        self._deferred_key = deferred_key
        self._number += 1
        self._outbox.add(UpdateEntry(self._build(is_stale)))

    def _build(self, is_stale: bool) -> ViewUpdate:
        return ViewUpdate(
            number=self._number,
            configuration=self._versions.configuration,
            generations=self._versions.list_generations(),
            members=self._membership.build_members(),
            conditions=self._list_conditions(),
            highest=self._versions.highest,
            placed=self._versions.placed,
            stale=is_stale,
        )

    def _list_conditions(self) -> tuple[UpstreamCondition, ...]:
        conditions = self._conditions.list_conditions()
        cut_off = self._reachability.cut_off
        if not cut_off:
            return conditions
        domains = self._index_domains()
        return tuple(
            (
                msgspec.structs.replace(condition, state=UpstreamState.UNREACHABLE)
                if domains[condition.upstream] in cut_off
                else condition
            )
            for condition in conditions
        )

    def _index_domains(self) -> dict[str, DomainId]:
        upstreams = index_upstreams(self._versions.configuration)
        return {upstream.id: upstream.domain for upstream in upstreams.values()}
