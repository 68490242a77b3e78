"""Tests of news that arrives late, out of order, or from a sender that lacks part of it."""

import msgspec

from chicoryproxy.model import MAX_GENERATIONS
from chicoryproxy.testing import (
    FlowOutcome,
    change_upstreams,
    create_tenggara,
)

START_S = 4.0


def test_idle_flows_stay_on_their_upstream_through_more_changes_than_generations_are_kept() -> None:
    deployment = create_tenggara(idle_timeout_s=300.0)
    service = deployment.configuration.services[0]
    fleet = deployment.create_fleet()
    fleet.run(START_S)
    flows = fleet.open_flows(service, 300, 4.0, rounds=1, interval_s=30.0)
    fleet.run(6.0)
    for change in range(MAX_GENERATIONS + 4):
        upstreams = [
            msgspec.structs.replace(item, weight=1 + (change + number) % 3)
            for number, item in enumerate(service.upstreams)
        ]
        fleet.publish(change_upstreams(fleet.platform.served, service.id, upstreams))
        fleet.run(1.0)
    fleet.run(45.0)
    assert fleet.count(flows) == {FlowOutcome.DONE: len(flows)}
