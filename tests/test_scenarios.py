"""Steps of the scenarios in ``features``, run on a simulated fleet of real cores."""

import pytest
from fleet_simulation import FleetSimulation
from pytest_bdd import given, parsers, scenarios, then, when

from chicoryproxy.ids import InstanceId
from chicoryproxy.model import WarmUp
from chicoryproxy.states import UpstreamState
from chicoryproxy.testing import Deployment, FlowOutcome

SEED = 1

scenarios("features")


@pytest.fixture
def deployments(tenggara: Deployment, al_batinah: Deployment) -> dict[str, Deployment]:
    """The deployments by the name of their operator."""
    return {"Tenggara Kilang": tenggara, "Al Batinah": al_batinah}


@given(parsers.parse("the deployment of {operator}"), target_fixture="deployment")
def choose_deployment(deployments, operator):
    return deployments[operator]


@given(
    parsers.parse(
        "upstreams that can take {cold:g} openings a second when cold and {full:g} after {s:g} s"
    ),
    target_fixture="simulation",
)
def start_simulation(deployment, cold, full, s):
    return FleetSimulation(deployment, SEED, WarmUp(cold, full, s))


@given(parsers.parse("{count:d} flows that open over {s:g} s"))
@when(parsers.parse("{count:d} flows open over {s:g} s"))
def open_flows(simulation, count, s):
    simulation.open_flows(count, s)


@when(parsers.parse("{count:d} flows of {service} open over {s:g} s"))
def open_flows_of(simulation, count, service, s):
    chosen = next(item for item in simulation.published.services if item.id == service)
    simulation.fleet.open_flows(chosen, count, s)


@given(parsers.re(r"(?P<s>[\d.]+) s pass(es)?"), converters={"s": float})
@when(parsers.re(r"(?P<s>[\d.]+) s pass(es)?"), converters={"s": float})
def pass_time(simulation, s):
    simulation.run(s)


@when(parsers.parse("upstream {name} drains"))
def drain(simulation, name):
    simulation.drain(name)


@when(parsers.parse("upstream {name} no longer drains"))
def undrain(simulation, name):
    simulation.drain(name, draining=False)


@when(parsers.parse("an upstream is added in {domain}"))
def add_upstream(simulation, domain):
    simulation.add_upstream(domain)


@when(parsers.parse("upstream {name} goes cold"))
def reset_warm_up(simulation, name):
    simulation.get_upstream(name).reset_warm_up()


@when(parsers.parse("upstream {name} sheds load"))
def shed(simulation, name):
    simulation.get_upstream(name).refuses_openings = True
    simulation.get_upstream(name).reported_state = UpstreamState.SHEDDING


@when("every upstream refuses openings")
def refuse_openings(simulation):
    for upstream in simulation.fleet.upstreams.values():
        upstream.refuses_openings = True


@when(parsers.parse("the health endpoint of {name} responds {s:g} s late"))
def delay_health(simulation, name, s):
    simulation.get_upstream(name).health_delay_s = s


@when(parsers.parse("the health endpoint of {name} reports {state}"))
def set_reported_state(simulation, name, state):
    simulation.get_upstream(name).reported_state = UpstreamState(state)


@when(parsers.parse("failure domain {domain} is taken out"))
def take_out(simulation, domain):
    simulation.take_out(domain)


@when(parsers.parse("failure domain {domain} is brought back"))
def bring_back(simulation, domain):
    simulation.bring_back(domain)


@when(parsers.parse("failure domain {domain} is isolated"))
def isolate_domain(simulation, domain):
    simulation.isolate_domain(domain)


@when(parsers.parse("callers cannot reach failure domain {domain}"))
def isolate_callers(simulation, domain):
    simulation.fleet.caller_partitions.add(domain)


@when("the network recovers")
def heal(simulation):
    simulation.fleet.heal()


@when(parsers.parse("an instance joins in {domain}"))
def join(simulation, domain):
    simulation.join(domain)


@when(parsers.parse("instance {name} is killed"))
def kill(simulation, name):
    simulation.fleet.kill(InstanceId(name))


@when(parsers.parse("the home of {name} is killed"))
def kill_home(simulation, name):
    simulation.fleet.kill(simulation.find_home(name))


@when(parsers.parse("the home of {name} stops"))
def stop_home(simulation, name):
    simulation.stop(simulation.find_home(name))


@when(parsers.parse("the home of {name} stops and is killed {s:g} s later"))
def kill_stopping_home(simulation, name, s):
    home = simulation.find_home(name)
    simulation.stop(home)
    simulation.run(s)
    simulation.fleet.kill(home)


@when(parsers.parse("instance {name} pauses for {s:g} s"))
def pause(simulation, name, s):
    simulation.fleet.pause(InstanceId(name), s)


@when(parsers.parse("the owner of {name} pauses for {s:g} s"))
def pause_owner(simulation, name, s):
    simulation.fleet.pause(simulation.find_owner(name), s)


@when("the platform is down")
def fail_platform(simulation):
    simulation.fleet.platform.is_down = True


@when("the platform serves the first version")
def serve_first_version(simulation):
    simulation.fleet.platform.publish(simulation.deployment.configuration)


@when(parsers.parse("{lost:d}% of messages are lost and {duplicated:d}% are duplicated"))
def lose_messages(simulation, lost, duplicated):
    simulation.fleet.loss = lost / 100
    simulation.fleet.duplication = duplicated / 100


@when(parsers.parse("messages are delayed by up to {s:g} s"))
def delay_messages(simulation, s):
    simulation.fleet.max_extra_delay_s = s


@when(parsers.parse("answers are delayed by up to {s:g} s"))
def delay_answers(simulation, s):
    simulation.fleet.max_response_delay_s = s


@when("packets and openings of upstreams are counted from now")
def record_counts(simulation):
    simulation.record_counts()


@when("overload openings are counted from now")
def reset_overloads(simulation):
    for upstream in simulation.fleet.upstreams.values():
        upstream.overloads = 0


@then("every flow completes")
def check_all_done(simulation):
    assert simulation.fleet.count() == {FlowOutcome.DONE: len(simulation.fleet.flows)}


@then(parsers.parse("at least {percent:d}% of flows complete"))
def check_done_share(simulation, percent):
    done = simulation.fleet.count()[FlowOutcome.DONE]
    assert done * 100 >= percent * len(simulation.fleet.flows)


@then("no flow is broken")
def check_none_broken(simulation):
    assert simulation.list_broken_flows() == []


@then("no flow from before the isolation is broken")
def check_none_broken_before_isolation(simulation):
    isolated_at = simulation.isolated_at
    assert [flow for flow in simulation.list_broken_flows() if flow.answered_at < isolated_at] == []


@then("no flow is refused")
def check_none_refused(simulation):
    assert simulation.list_refused_flows() == []


@then("some flows are refused")
def check_some_refused(simulation):
    assert simulation.list_refused_flows()


@then("no refused flow was accepted by an upstream")
def check_refused_not_accepted(simulation):
    assert simulation.list_refused_but_accepted_flows() == []


@then("no request ran on two upstreams")
def check_no_duplicate_runs(simulation):
    assert any(upstream.served_data for upstream in simulation.fleet.upstreams.values())
    assert simulation.count_duplicate_runs() == 0


@then("no packet reached an upstream of another service")
def check_no_wrong_service(simulation):
    assert all(node.forwarded for node in simulation.fleet.nodes.values())
    assert simulation.fleet.misrouted_segments == 0


@then("no upstream is overloaded")
def check_overloads(simulation):
    assert simulation.overloads() == {}


@then(parsers.parse("failure domain {domain} received no packet"))
def check_domain_received_nothing(simulation, domain):
    assert [
        item.id
        for item in simulation.list_upstreams_in(domain)
        if simulation.count_received(item.id)
    ] == []


@then(parsers.parse("{name} accepted no openings"))
def check_accepted_nothing(simulation, name):
    assert simulation.count_accepted(name) == 0


@then(parsers.parse("{name} accepted openings"))
def check_accepted(simulation, name):
    assert simulation.get_upstream(name).accepted > 0


@then("every instance has the published version")
def check_versions(simulation):
    version = simulation.published.version
    assert {simulation.versions[name] for name in simulation.list_live_instances()} == {version}


@then("no version reverts")
def check_no_version_reverts(simulation):
    assert simulation.reverted_instances == []


@then("no slot is contested")
def check_none_contested(simulation):
    assert simulation.count_contested_slots() == 0
