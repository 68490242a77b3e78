"""Simulation of a fleet under changes and faults, for scenarios and random histories."""

from collections.abc import Iterable, Sequence

import msgspec

from chicoryproxy.ids import NO_VERSION, DomainId, InstanceId, UpstreamId, Version
from chicoryproxy.model import Configuration, Instance, Service, Upstream, WarmUp
from chicoryproxy.states import DomainState
from chicoryproxy.testing import (
    Deployment,
    FakeFlow,
    FakeUpstream,
    FlowOutcome,
    change_upstreams,
    create_instances,
    create_upstream,
    set_domain,
)

STARTUP_S = 4.0
APPLY_BOUND_S = 8.0
NOTICE_BOUND_S = 2.0
"""Time until a cold start without notice is known, as in the scenarios of failures."""

UNLIST_DELAY_S = 1.0
ROUNDS_PER_FLOW = 6
ROUND_INTERVAL_S = 0.8


class FleetSimulation:
    """A simulated fleet with methods to change it and to count the outcomes of flows.

    :param deployment: deployment to start the fleet from.
    :param seed: seed of all random choices.
    :param warm_up: warm-up of every upstream instead of that of the deployment.
    :ivar published: configuration that was published last.
    :ivar versions: version that each instance had at the last check.
    :ivar reverted_instances: instances whose version went back.
    """

    def __init__(
        self, deployment: Deployment, seed: int = 1, warm_up: WarmUp | None = None
    ) -> None:
        if warm_up is not None:
            deployment = _replace_warm_up(deployment, warm_up)
        self.deployment = deployment
        self.fleet = deployment.create_fleet(seed)
        self.published = deployment.configuration
        self.versions: dict[InstanceId, Version] = {}
        self.reverted_instances: list[InstanceId] = []
        self.isolated_at = 0.0
        self.service_id = deployment.configuration.services[0].id
        self._abandoned: set[UpstreamId] = set()
        self._out_versions: dict[DomainId, Version] = {}
        self._recorded_counts: dict[UpstreamId, tuple[int, int]] = {}
        self.run(STARTUP_S)

    @property
    def service(self) -> Service:
        """The service that flows go to, in the published configuration."""
        return next(item for item in self.published.services if item.id == self.service_id)

    @property
    def domains(self) -> list[DomainId]:
        """The failure domains."""
        return [domain.id for domain in self.published.domains]

    def run(self, seconds: float) -> None:
        """Advance the simulated time and record the versions of all instances."""
        end = self.fleet.now + seconds
        while self.fleet.now < end:
            self.fleet.run(min(0.5, end - self.fleet.now))
            self._record_versions()

    def open_flows(
        self, count: int, duration_s: float, rounds: int = ROUNDS_PER_FLOW
    ) -> list[FakeFlow]:
        """Open flows to the service."""
        return self.fleet.open_flows(self.service, count, duration_s, rounds, ROUND_INTERVAL_S)

    def get_upstream(self, name: str) -> FakeUpstream:
        """Return an upstream by its id."""
        return self.fleet.upstreams[UpstreamId(name)]

    def list_upstreams_in(self, domain: str) -> list[FakeUpstream]:
        """Return the upstreams of all services in a failure domain."""
        return [item for item in self.fleet.upstreams.values() if item.upstream.domain == domain]

    def list_instances_in(self, domain: str) -> list[Instance]:
        """Return the instances in a failure domain."""
        return [
            node.instance for node in self.fleet.nodes.values() if node.instance.domain == domain
        ]

    def list_live_instances(self) -> list[InstanceId]:
        """Return the instances that run and are not leaving."""
        return [
            name
            for name, node in self.fleet.nodes.items()
            if not node.is_dead and not node.is_leaving
        ]

    def find_home(self, name: str) -> InstanceId:
        """Return the instance that is the home of most slots of an upstream."""
        node = next(node for node in self.fleet.nodes.values() if not node.is_dead)
        slots = next(s for s in node.core.built_slots() if s.service == self.service_id)
        homes = [
            node.core._context.directory.homes_of(slots.name(slot))[0]
            for slot in range(slots.size)
            if name in slots.candidates(slot)
        ]
        return max(sorted(set(homes)), key=homes.count)

    def find_owner(self, name: str) -> InstanceId:
        """Return the instance that grants openings to an upstream."""
        node = next(node for node in self.fleet.nodes.values() if not node.is_dead)
        domain = self.get_upstream(name).upstream.domain
        owner = node.core._context.directory.owner_of(UpstreamId(name), domain)
        assert owner is not None
        return owner

    def publish(self, configuration: Configuration) -> None:
        """Publish a configuration."""
        self.published = configuration
        self.fleet.publish(configuration)

    def drain(self, name: str, draining: bool = True) -> None:
        """Publish whether an upstream drains."""
        self._publish_upstreams(
            msgspec.structs.replace(item, draining=draining) if item.id == name else item
            for item in self.service.upstreams
        )

    def add_upstream(self, domain: str) -> UpstreamId:
        """Publish an additional upstream, which starts cold."""
        number = len(self.service.upstreams)
        template = self.service.upstreams[0]
        new = create_upstream(self.service_id, 1, number, DomainId(domain))
        new = msgspec.structs.replace(new, warm_up=template.warm_up, capacity=template.capacity)
        self._publish_upstreams((*self.service.upstreams, new))
        self.get_upstream(new.id).reset_warm_up()
        return new.id

    def remove_upstream(self, name: str) -> None:
        """Publish the service without an upstream; its flows may break."""
        self._abandoned.add(UpstreamId(name))
        self._publish_upstreams(item for item in self.service.upstreams if item.id != name)

    def take_out(self, domain: str) -> None:
        """Publish that a failure domain is out; its flows may break."""
        self._abandoned.update(item.id for item in self.list_upstreams_in(domain))
        self.publish(set_domain(self.published, DomainId(domain), DomainState.OUT))
        self._out_versions[DomainId(domain)] = self.published.version

    def bring_back(self, domain: str) -> None:
        """Publish that a failure domain is in again; its upstreams start cold.

        If an instance has no version yet in which the domain is out, the upstreams have started
        cold without notice.
        """
        has_notice = self._is_in_force(self._out_versions.pop(DomainId(domain)))
        self.publish(set_domain(self.published, DomainId(domain), DomainState.IN))
        for item in self.list_upstreams_in(domain):
            item.reset_warm_up()
            if not has_notice:
                item.overloads_counted_from_s = self.fleet.now + NOTICE_BOUND_S

    def join(self, domain: str) -> InstanceId:
        """Start an additional instance."""
        number = len(self.fleet.nodes)
        region = self.published.domains[0].region
        instance = create_instances([DomainId(domain)], region, 1, first=100 + number)[0]
        self.fleet.platform.publish_instances((*self.fleet.platform.instances, instance))
        self.fleet.start_node(instance)
        return instance.id

    def stop(self, name: str) -> None:
        """Stop an instance gracefully; the platform unlists it after ``UNLIST_DELAY_S``."""
        instance = InstanceId(name)
        fleet = self.fleet
        fleet.stop(instance)
        fleet.schedule.call_later(UNLIST_DELAY_S, lambda: fleet.unlist(instance))
        fleet.schedule.call_later(2 * UNLIST_DELAY_S, lambda: self._mark_dead(instance))

    def isolate_domain(self, domain: str) -> None:
        """Isolate a failure domain from all others."""
        self.isolated_at = self.fleet.now
        for other in self.domains:
            if other != domain:
                self.fleet.partition(DomainId(domain), other)

    def restart(self, name: str) -> None:
        """Restart an upstream, which loses its connections and is cold."""
        self._abandoned.add(UpstreamId(name))
        self.get_upstream(name).restart()
        self.get_upstream(name).reset_warm_up()

    def record_counts(self) -> None:
        """Record the counts of openings and packets that each upstream has so far."""
        self._recorded_counts = {
            item.id: (item.accepted, sum(item.segments_by_service.values()))
            for item in self.fleet.upstreams.values()
        }

    def count_accepted(self, name: str) -> int:
        """Return the openings that an upstream accepted since ``record_counts``."""
        return self.get_upstream(name).accepted - self._recorded_counts[UpstreamId(name)][0]

    def count_received(self, name: str) -> int:
        """Return the packets that an upstream received since ``record_counts``."""
        received = sum(self.get_upstream(name).segments_by_service.values())
        return received - self._recorded_counts[UpstreamId(name)][1]

    def list_broken_flows(self) -> list[FakeFlow]:
        """Return the broken flows, without upstreams that were removed, taken out or restarted."""
        return [
            flow
            for flow in self.fleet.flows
            if flow.outcome is FlowOutcome.BROKEN and flow.accepted_by not in self._abandoned
        ]

    def list_refused_flows(self) -> list[FakeFlow]:
        """Return the flows that were refused."""
        return [flow for flow in self.fleet.flows if flow.outcome is FlowOutcome.REFUSED]

    def list_unanswered_flows(self) -> list[FakeFlow]:
        """Return the flows whose opening was never answered."""
        return [flow for flow in self.fleet.flows if flow.outcome is FlowOutcome.UNANSWERED]

    def list_refused_but_accepted_flows(self) -> list[FakeFlow]:
        """Return the refused flows that an upstream accepted nevertheless."""
        accepted_connections = {
            key for item in self.fleet.upstreams.values() for key in item.accepted_connections
        }
        return [flow for flow in self.list_refused_flows() if flow.source in accepted_connections]

    def count_duplicate_runs(self) -> int:
        """Return the number of requests that two upstreams ran."""
        seen: set[object] = set()
        twice = 0
        for item in self.fleet.upstreams.values():
            twice += len(seen & item.served_data)
            seen |= item.served_data
        return twice

    def overloads(self) -> dict[UpstreamId, int]:
        """Return the number of openings above its capacity for each overloaded upstream."""
        found = {item.id: item.overloads for item in self.fleet.upstreams.values()}
        return {name: count for name, count in found.items() if count}

    def count_contested_slots(self) -> int:
        """Return the number of slots with several candidates, over all running instances."""
        return sum(
            slots.changed_count
            for node in self.fleet.nodes.values()
            if not node.is_dead
            for slots in node.core.built_slots()
        )

    def _publish_upstreams(self, upstreams: Iterable[Upstream]) -> None:
        chosen: Sequence[Upstream] = tuple(upstreams)
        self.publish(change_upstreams(self.published, self.service_id, chosen))

    def _is_in_force(self, version: Version) -> bool:
        """Return whether all instances that forward packets have a version or a later one."""
        nodes = (self.fleet.nodes[name] for name in self.list_live_instances())
        versions = [node.core._context.view.version for node in nodes]
        return min(item for item in versions if item != NO_VERSION) >= version

    def _mark_dead(self, name: InstanceId) -> None:
        self.fleet.nodes[name].is_dead = True

    def _record_versions(self) -> None:
        for name, node in self.fleet.nodes.items():
            version = node.core._context.view.version
            if version < self.versions.get(name, version):
                self.reverted_instances.append(name)
            self.versions[name] = version


def _replace_warm_up(deployment: Deployment, warm_up: WarmUp) -> Deployment:
    services = tuple(
        msgspec.structs.replace(
            service,
            upstreams=tuple(
                msgspec.structs.replace(item, warm_up=warm_up) for item in service.upstreams
            ),
        )
        for service in deployment.configuration.services
    )
    configuration = msgspec.structs.replace(deployment.configuration, services=services)
    return msgspec.structs.replace(deployment, configuration=configuration)
