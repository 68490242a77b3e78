"""Steps of the scenarios in ``features``: an operator's words over a fleet of real cores."""

import pytest
from pytest_bdd import given, parsers, scenarios, then, when
from scenario_trial import Trial

from chicoryproxy.ids import InstanceId
from chicoryproxy.model import WarmUp
from chicoryproxy.states import UpstreamState
from chicoryproxy.testing import Deployment, FlowOutcome

SEED = 1

scenarios("features")


@pytest.fixture
def deployments(tenggara: Deployment, al_batinah: Deployment) -> dict[str, Deployment]:
    """The deployments by the name of their user."""
    return {"Tenggara Kilang": tenggara, "Al Batinah": al_batinah}


@given(parsers.parse("the deployment of {user}"), target_fixture="deployment")
def choose_deployment(deployments, user):
    return deployments[user]


@given(
    parsers.parse("upstreams that bear {cold:g} openings a second cold and {full:g} after {s:g} s"),
    target_fixture="trial",
)
def start_trial(deployment, cold, full, s):
    return Trial(deployment, SEED, WarmUp(cold, full, s))


@given(parsers.parse("{count:d} flows that open over {s:g} s"))
@when(parsers.parse("{count:d} flows open over {s:g} s"))
def open_flows(trial, count, s):
    trial.open_flows(count, s)


@when(parsers.parse("{count:d} flows of {service} open over {s:g} s"))
def open_flows_of(trial, count, service, s):
    chosen = next(item for item in trial.published.services if item.id == service)
    trial.fleet.open_flows(chosen, count, s)


@given(parsers.re(r"(?P<s>[\d.]+) s pass(es)?"), converters={"s": float})
@when(parsers.re(r"(?P<s>[\d.]+) s pass(es)?"), converters={"s": float})
def pass_time(trial, s):
    trial.run(s)


@when(parsers.parse("upstream {name} drains"))
def drain(trial, name):
    trial.drain(name)


@when(parsers.parse("upstream {name} no longer drains"))
def undrain(trial, name):
    trial.drain(name, draining=False)


@when(parsers.parse("an upstream is added in {domain}"))
def add_upstream(trial, domain):
    trial.add_upstream(domain)


@when(parsers.parse("upstream {name} goes cold"))
def reset_warm_up(trial, name):
    trial.upstream(name).reset_warm_up()


@when(parsers.parse("upstream {name} sheds"))
def shed(trial, name):
    trial.upstream(name).refuses_openings = True
    trial.upstream(name).reported_state = UpstreamState.SHEDDING


@when("every upstream refuses openings")
def refuse_all(trial):
    for upstream in trial.fleet.upstreams.values():
        upstream.refuses_openings = True


@when(parsers.parse("health of {name} lags {s:g} s"))
def lag_health(trial, name, s):
    trial.upstream(name).health_delay_s = s


@when(parsers.parse("health of {name} says {state}"))
def mislead(trial, name, state):
    trial.upstream(name).reported_state = UpstreamState(state)


@when(parsers.parse("failure domain {domain} is taken out"))
def take_out(trial, domain):
    trial.take_out(domain)


@when(parsers.parse("failure domain {domain} is brought back"))
def bring_back(trial, domain):
    trial.bring_back(domain)


@when(parsers.parse("failure domain {domain} is cut off"))
def cut_off(trial, domain):
    trial.cut_off(domain)


@when(parsers.parse("callers do not reach failure domain {domain}"))
def cut_callers(trial, domain):
    trial.fleet.caller_partitions.add(domain)


@when("the network heals")
def heal(trial):
    trial.fleet.heal()


@when(parsers.parse("an instance joins in {domain}"))
def join(trial, domain):
    trial.join(domain)


@when(parsers.parse("instance {name} is killed"))
def kill(trial, name):
    trial.fleet.kill(InstanceId(name))


@when(parsers.parse("the home of {name} is killed"))
def kill_home(trial, name):
    trial.fleet.kill(trial.find_home(name))


@when(parsers.parse("the home of {name} stops"))
def stop_home(trial, name):
    trial.stop(trial.find_home(name))


@when(parsers.parse("the home of {name} stops and is killed {s:g} s later"))
def kill_stopping_home(trial, name, s):
    home = trial.find_home(name)
    trial.stop(home)
    trial.run(s)
    trial.fleet.kill(home)


@when(parsers.parse("instance {name} pauses for {s:g} s"))
def pause(trial, name, s):
    trial.fleet.pause(InstanceId(name), s)


@when(parsers.parse("the owner of {name} pauses for {s:g} s"))
def pause_owner(trial, name, s):
    trial.fleet.pause(trial.find_owner(name), s)


@when("the platform is down")
def stop_platform(trial):
    trial.fleet.platform.is_down = True


@when("the platform serves the first version")
def serve_first_version(trial):
    trial.fleet.platform.publish(trial.deployment.configuration)


@when(parsers.parse("messages are lost in {lost:d} and doubled in {doubled:d} of 100 cases"))
def lose_messages(trial, lost, doubled):
    trial.fleet.loss = lost / 100
    trial.fleet.duplication = doubled / 100


@when(parsers.parse("messages are delayed by up to {s:g} s"))
def delay_messages(trial, s):
    trial.fleet.max_extra_delay_s = s


@when(parsers.parse("answers are delayed by up to {s:g} s"))
def delay_answers(trial, s):
    trial.fleet.max_response_delay_s = s


@when("what upstreams receive is counted from now")
def mark(trial):
    trial.mark()


@when("openings above what upstreams bear are counted from now")
def mark_overloads(trial):
    for upstream in trial.fleet.upstreams.values():
        upstream.overloads = 0


@then("every flow is done")
def check_done(trial):
    assert trial.fleet.count() == {FlowOutcome.DONE: len(trial.fleet.flows)}


@then(parsers.parse("at least {share:d} of 100 flows are done"))
def check_share(trial, share):
    done = trial.fleet.count()[FlowOutcome.DONE]
    assert done * 100 >= share * len(trial.fleet.flows)


@then("no flow is broken")
def check_broken(trial):
    assert trial.broken() == []


@then("no flow from before the cut is broken")
def check_broken_before_cut(trial):
    cut_at = trial.cut_at
    assert [flow for flow in trial.broken() if flow.answered_at < cut_at] == []


@then("no flow is refused")
def check_refused(trial):
    assert trial.refused() == []


@then("some flows are refused")
def check_some_refused(trial):
    assert trial.refused()


@then("no refused flow was accepted by an upstream")
def check_not_run(trial):
    assert trial.refused_but_accepted() == []


@then("no request ran at two upstreams")
def check_run_once(trial):
    assert any(upstream.served_data for upstream in trial.fleet.upstreams.values())
    assert trial.run_twice() == 0


@then("no packet reached another service's upstream")
def check_service(trial):
    assert all(node.forwarded for node in trial.fleet.nodes.values())
    assert trial.fleet.misrouted_segments == 0


@then("no upstream got more openings than it bears")
def check_overloads(trial):
    assert trial.overloads() == {}


@then(parsers.parse("failure domain {domain} received no packet"))
def check_domain(trial, domain):
    assert [item.id for item in trial.upstreams_in(domain) if trial.received_since(item.id)] == []


@then(parsers.parse("{name} accepted nothing"))
def check_accepted_nothing(trial, name):
    assert trial.accepted_since(name) == 0


@then(parsers.parse("{name} accepted openings"))
def check_accepted(trial, name):
    assert trial.upstream(name).accepted > 0


@then("every instance has the published version")
def check_versions(trial):
    version = trial.published.version
    assert {trial.versions[name] for name in trial.live_nodes()} == {version}


@then("no version reverts")
def check_no_revert(trial):
    assert trial.reverted == []


@then("no slot is contested")
def check_contested(trial):
    assert trial.contested() == 0
