"""Tests of the description of a packet core."""

from chicoryproxy.testing import change_upstreams, create_upstream


def test_counts_contested_slots_and_records(tenggara):
    fleet = tenggara.create_fleet(1)
    service = tenggara.configuration.services[0]
    fleet.run(4.0)
    fleet.open_flows(service, 100, 1.0)
    fleet.run(1.5)
    new = create_upstream("qa-desk", 1, 7, service.upstreams[1].domain)
    changed = change_upstreams(fleet.platform.served, service.id, (*service.upstreams, new))
    fleet.publish(changed)
    fleet.run(2.0)
    for node in fleet.nodes.values():
        described = node.core.describe()
        assert described.version == changed.version
        assert not described.is_behind
        (slots,) = described.services
        assert slots.service == service.id
        assert slots.generations == (1, 2)
        assert 0 < slots.changed <= slots.held
        assert 0 < len(slots.contested) <= slots.held
    assert sum(node.core.describe().records for node in fleet.nodes.values()) > 0
