"""Releases contested slots.

The home of a slot refreshes its flow records and releases the slot. Other entries ask the home
for releases that they missed.
"""

from collections.abc import Sequence

from chicoryproxy.ids import InstanceId
from chicoryproxy.protocol.actions import SendToPeer
from chicoryproxy.protocol.messages import (
    Priority,
    ReleaseQuery,
    SlotName,
    SlotQuestion,
    SlotRelease,
    SlotReleases,
)
from chicoryproxy.routing.agreement import ReleasableSlot, build_release_messages
from chicoryproxy.routing.context import Actions, EntryContext
from chicoryproxy.routing.egress import is_permitted
from chicoryproxy.routing.route import ServiceRoute
from chicoryproxy.routing.slots import ServiceSlots

AGREEMENT_INTERVAL_S = 0.25
REFRESH_IDLE_SHARE = 0.5
MIN_QUERY_INTERVAL_S = 1.0
MAX_SLOTS_PER_QUERY = 32


class SlotReleaser:
    """Releases the slots of this home, refreshes their records and asks for missed releases.

    :param context: state of the entry.
    """

    def __init__(self, context: EntryContext) -> None:
        self._context = context
        self._next_agreement_s = 0.0
        self._next_refresh_s = 0.0
        self._next_query_s = 0.0

    def tick(self, now: float) -> Actions:
        """Return the messages that are due."""
        return (
            self._start_agreements(now) + self._refresh_records(now) + self._ask_for_releases(now)
        )

    def finish(self, now: float) -> Actions:
        """Send the releases on which all peers agree to the successors of the slots.

        A home must not apply a release that no other entry knows. If the home failed, the next
        home would use an older candidate as the base of flows that began after the release. A
        release of a slot without a successor is applied immediately.
        """
        releases_by_successor: dict[InstanceId, list[SlotRelease]] = {}
        actions: Actions = []
        for release in self._context.agreement.finish_query(now):
            homes = self._context.directory.homes_of(release.slot)
            if len(homes) > 1:
                releases_by_successor.setdefault(homes[1], []).append(release)
            else:
                actions += self.apply_releases((release,))
        for successor, releases in releases_by_successor.items():
            actions += self._context.handovers.add(successor, (), releases, now)
        return actions

    def apply_releases(self, releases: Sequence[SlotRelease]) -> Actions:
        """Apply releases that the successors have received, and send them to all peers."""
        released = [release for release in releases if self._apply_release(release)]
        return list(build_release_messages(released, self._context.directory.listed_peers()))

    def releases_by_home(self) -> dict[InstanceId, list[SlotRelease]]:
        """Return the known releases, grouped by the current home of their slots."""
        found: dict[InstanceId, list[SlotRelease]] = {}
        for slots in self._context.view.built_slots():
            for release in slots.known_releases():
                homes = self._context.directory.homes_of(release.slot)
                if homes:
                    found.setdefault(homes[0], []).append(release)
        return found

    def answer_query(self, sender: InstanceId, query: ReleaseQuery) -> Actions:
        """Return the releases of those queried slots that are clean."""
        releases = [
            slots.release(slot.slot)
            for slot in query.slots
            if (slots := self._find_slots(slot)) is not None and slots.is_clean(slot.slot)
        ]
        if not releases:
            return []
        return [SendToPeer(sender, SlotReleases(tuple(releases)), Priority.HANDOVER)]

    def _find_slots(self, slot: SlotName) -> ServiceSlots | None:
        """Return the slots of a service if the table size is the same here, else ``None``."""
        route = self._context.view.find_service(slot.service)
        if route is None or route.slots is None or route.slots.size != slot.size:
            return None
        return route.slots

    def _apply_release(self, release: SlotRelease) -> bool:
        """Apply a release unless a flow on an older candidate has been recorded since."""
        slots = self._find_slots(release.slot)
        if slots is None or self._context.has_live_older_flow(release.slot):
            return False
        return slots.apply_release(release)

    def _start_agreements(self, now: float) -> Actions:
        if now < self._next_agreement_s or self._context.view.is_behind:
            return []
        self._next_agreement_s = now + AGREEMENT_INTERVAL_S
        ready = [
            item
            for slots in self._context.view.built_slots()
            for item in self._ready_slots(slots, now)
        ]
        return list(self._context.agreement.start_query(ready, now))

    def _ready_slots(self, slots: ServiceSlots, now: float) -> list[ReleasableSlot]:
        route = self._context.view.find_service(slots.service)
        if route is None or self._context.view.placed < slots.version:
            return []
        idle_timeout_s = route.service.limits.idle_timeout_s
        return [
            ReleasableSlot(slots.release(slot), idle_timeout_s)
            for slot in slots.pending()
            if self._is_ready(route, slots, slot, now)
        ]

    def _is_ready(self, route: ServiceRoute, slots: ServiceSlots, slot: int, now: float) -> bool:
        name = slots.name(slot)
        newest = slots.newest(slot)
        if newest is None or not self._context.directory.is_home(name):
            return False
        if not self._context.openings.is_ready(newest):
            return False
        since = slots.changed_since(slot)
        if since is not None and now - since < self._older_flow_timeout_s(route, slots, slot):
            return False
        return not self._context.has_live_older_flow(name)

    def _older_flow_timeout_s(self, route: ServiceRoute, slots: ServiceSlots, slot: int) -> float:
        """Return for how long an idle flow may still exist on an older candidate, in seconds."""
        egress_policy = self._context.view.egress_policy
        newest = slots.newest(slot)
        usable = [
            upstream
            for upstream in slots.candidates(slot)
            if upstream != newest and is_permitted(egress_policy, route.id, upstream)
        ]
        if usable:
            return route.service.limits.idle_timeout_s
        return self._context.view.fleet.spread_s

    def _refresh_records(self, now: float) -> Actions:
        """Ask peers again for records that could expire here while their flows are active there."""
        if now < self._next_refresh_s:
            return []
        is_first = self._next_refresh_s == 0.0
        changed = self._changed_slots()
        if not changed:
            return []
        self._next_refresh_s = now + self._shortest_idle_timeout_s(changed) * REFRESH_IDLE_SHARE
        if is_first:
            return []
        self._context.take_over.request_refresh(self._own_questions(changed))
        return list(
            self._context.take_over.start_query(self._context.directory.listed_peers(), now)
        )

    def _changed_slots(self) -> list[ServiceSlots]:
        return [slots for slots in self._context.view.built_slots() if slots.changed_count]

    def _shortest_idle_timeout_s(self, changed: list[ServiceSlots]) -> float:
        """Return the shortest idle timeout of the given services, in seconds."""
        routes = (self._context.view.find_service(slots.service) for slots in changed)
        timeouts = [route.service.limits.idle_timeout_s for route in routes if route is not None]
        return min(timeouts, default=MIN_QUERY_INTERVAL_S)

    def _own_questions(self, changed: list[ServiceSlots]) -> list[SlotQuestion]:
        return [
            SlotQuestion(slots.name(slot), slots.base_name(slot))
            for slots in changed
            for slot in slots.changed()
            if self._context.directory.is_home(slots.name(slot))
        ]

    def _ask_for_releases(self, now: float) -> Actions:
        """Ask homes about slots that have been contested for longer than a release should take."""
        if now < self._next_query_s:
            return []
        changed = self._changed_slots()
        interval_s = max(MIN_QUERY_INTERVAL_S, self._shortest_idle_timeout_s(changed))
        self._next_query_s = now + interval_s
        overdue_by_home: dict[InstanceId, list[SlotName]] = {}
        for slots in changed:
            for slot in slots.changed():
                self._add_if_overdue(overdue_by_home, slots, slot, now - interval_s)
        return [
            SendToPeer(home, ReleaseQuery(tuple(names[:MAX_SLOTS_PER_QUERY])), Priority.HANDOVER)
            for home, names in overdue_by_home.items()
        ]

    def _add_if_overdue(
        self,
        overdue_by_home: dict[InstanceId, list[SlotName]],
        slots: ServiceSlots,
        slot: int,
        contested_before_s: float,
    ) -> None:
        name = slots.name(slot)
        homes = self._context.directory.homes_of(name)
        since = slots.changed_since(slot)
        if (
            homes
            and homes[0] != self._context.own
            and since is not None
            and since <= contested_before_s
        ):
            overdue_by_home.setdefault(homes[0], []).append(name)


def create_slot_releaser(context: EntryContext) -> SlotReleaser:
    """Create the slot releaser of one entry."""
    return SlotReleaser(context)
