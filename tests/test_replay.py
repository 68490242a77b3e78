"""Replays the counterexamples of the specification's mutants on real packet cores."""

import pytest
from replay_net import ReplayNet

from spec.catalog import list_specifications
from spec.check import find_counterexample
from spec.routingrules import RoutingRule
from spec.trace import format_finding

MUTANTS = [
    pytest.param(specification, mutant, id=mutant.rule.name)
    for specification in list_specifications()
    if specification.rules is RoutingRule
    for mutant in specification.mutants
]


@pytest.mark.parametrize(("specification", "mutant"), MUTANTS)
def test_cores_send_flow_to_one_upstream_in_counterexample_of_mutant(specification, mutant):
    finding = find_counterexample(specification, mutant)
    start = {change.name: change.value for change in finding.start}
    net = ReplayNet([start[f"place_{v}"] for v in (1, 2, 3)])
    net.prepare(finding)
    for step in finding.steps:
        net.apply_step(step)
    net.send_probes()
    assert len(set(net.reached)) == 1, f"{net.reached}\n{format_finding(finding)}"
