"""The planned changes and failures that ``benchmarks.changes`` applies to a fleet under load."""

from collections.abc import Callable, Sequence

import msgspec

from benchmarks.changefleet import INSTANCES, ChangeFleet, CoreKind
from chicoryproxy.ids import DomainId, InstanceId, UpstreamId
from chicoryproxy.model import Service, Upstream
from chicoryproxy.states import DomainState
from chicoryproxy.testing import (
    change_upstreams,
    create_instances,
    create_tenggara,
    create_upstream,
    set_domain,
)

SETTLE_S = 4.0
LOAD_S = 24.0
CHANGE_AFTER_S = 8.0
ROUNDS = 3
INTERVAL_S = 2.5
DOMAIN_OUT_S = 8.0
PAUSE_S = 5.0
CHANGED_INSTANCE = InstanceId("entry-3")
CHANGED_DOMAIN = DomainId("port-klang")


class Trial:
    """A simulated fleet under load, and the changes that a case makes to it.

    :param kind: the packet core that the instances run.
    :param seed: seed of every random choice.
    :param flows: number of flows to open.
    :ivar given_up_upstreams: upstreams of which operators gave up the flows opened before
        ``given_up_before_s`` by taking the failure domain out.
    :ivar changed: upstreams that the case changed.
    """

    def __init__(self, kind: CoreKind, seed: int, flows: int) -> None:
        deployment = create_tenggara(INSTANCES)
        self.service: Service = deployment.configuration.services[0]
        self.instances = deployment.instances
        self.fleet = ChangeFleet(kind, deployment, seed)
        self.given_up_upstreams: set[UpstreamId] = set()
        self.given_up_before_s = 0.0
        self.changed: set[UpstreamId] = set()
        self.fleet.run(SETTLE_S)
        self.fleet.open_flows(self.service, flows, LOAD_S, ROUNDS, INTERVAL_S)
        self.fleet.run(CHANGE_AFTER_S)

    def add_upstream(self) -> None:
        """Publish a configuration with an additional upstream."""
        new = create_upstream("qa-desk", 1, 7, self.service.upstreams[1].domain)
        self._publish_upstreams((*self.service.upstreams, new), new.id)

    def drain_upstream(self) -> None:
        """Publish a configuration in which an upstream drains."""
        drained = self.service.upstreams[2]
        upstreams = tuple(
            msgspec.structs.replace(item, draining=True) if item is drained else item
            for item in self.service.upstreams
        )
        self._publish_upstreams(upstreams, drained.id)

    def take_domain_out(self) -> None:
        """Publish a configuration in which a failure domain is out."""
        self.given_up_upstreams = {
            item.id for item in self.service.upstreams if item.domain == CHANGED_DOMAIN
        }
        self.given_up_before_s = self.fleet.now + DOMAIN_OUT_S
        self.changed |= self.given_up_upstreams
        self.fleet.publish(set_domain(self.fleet.platform.served, CHANGED_DOMAIN, DomainState.OUT))

    def bring_domain_back(self) -> None:
        """Publish a configuration in which the failure domain is in again."""
        self.fleet.publish(set_domain(self.fleet.platform.served, CHANGED_DOMAIN, DomainState.IN))

    def replace_entry(self) -> None:
        """Start a new instance and shut an old one down gracefully."""
        domains = [domain.id for domain in self.fleet.platform.served.domains]
        region = self.instances[0].region
        (new_instance,) = create_instances(domains, region, 1, first=INSTANCES + 1)
        self.fleet.platform.publish_instances((*self.fleet.platform.instances, new_instance))
        self.fleet.start_node(new_instance)
        self.fleet.run(2.0)
        self.fleet.stop(CHANGED_INSTANCE)
        self.fleet.run(1.0)
        self.fleet.unlist(CHANGED_INSTANCE)
        self.fleet.run(1.0)
        self.fleet.kill(CHANGED_INSTANCE)

    def _publish_upstreams(self, upstreams: Sequence[Upstream], changed: UpstreamId) -> None:
        self.changed.add(changed)
        configuration = change_upstreams(
            self.fleet.platform.served, self.service.id, tuple(upstreams)
        )
        self.fleet.publish(configuration)


def _keep_configuration(trial: Trial) -> None:
    pass


def _take_domain_out_and_back(trial: Trial) -> None:
    trial.take_domain_out()
    trial.fleet.run(DOMAIN_OUT_S)
    trial.bring_domain_back()


def _kill_entry(trial: Trial) -> None:
    trial.fleet.kill(CHANGED_INSTANCE)


def _pause_entry(trial: Trial) -> None:
    trial.fleet.pause(CHANGED_INSTANCE, PAUSE_S)


def _pause_entry_and_drain(trial: Trial) -> None:
    trial.fleet.pause(CHANGED_INSTANCE, PAUSE_S)
    trial.drain_upstream()


def _drain_with_delayed_configuration(trial: Trial) -> None:
    trial.fleet.delayed_configuration_instance = CHANGED_INSTANCE
    trial.drain_upstream()


def _drain_with_delayed_view(trial: Trial) -> None:
    trial.fleet.delayed_view_instance = CHANGED_INSTANCE
    trial.drain_upstream()


def _drain_while_platform_down(trial: Trial) -> None:
    trial.fleet.platform.is_down = True
    trial.fleet.run(2.0)
    trial.drain_upstream()
    trial.fleet.run(6.0)
    trial.fleet.platform.is_down = False


CASES: dict[str, Callable[[Trial], None]] = {
    "no change": _keep_configuration,
    "upstream added": Trial.add_upstream,
    "upstream drained": Trial.drain_upstream,
    "domain out and back": _take_domain_out_and_back,
    "entry replaced": Trial.replace_entry,
    "entry killed": _kill_entry,
    "entry paused 5 s": _pause_entry,
    "entry paused 5 s, upstream drained": _pause_entry_and_drain,
    "uneven versions": _drain_with_delayed_configuration,
    "entry behind its view": _drain_with_delayed_view,
    "platform down": _drain_while_platform_down,
}
