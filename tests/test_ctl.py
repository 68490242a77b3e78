"""Tests of the operators' program against real control endpoints with real cores behind them."""

import asyncio
from dataclasses import dataclass

import msgspec
import pytest

from chicoryproxy.commands import ctl
from chicoryproxy.ids import DomainId
from chicoryproxy.model import Endpoint
from chicoryproxy.processes.controlclient import Unanswered, fetch_states
from chicoryproxy.processes.entry import CONTROL_PORT_OFFSET
from chicoryproxy.processes.operations import OperationsServer
from chicoryproxy.processes.processstate import EntryState, ViewState
from chicoryproxy.states import DomainState
from chicoryproxy.testing import change_upstreams, create_upstream, set_domain

FLOW = ("tcp", "10.0.0.1:1024", "198.51.100.1:443")
DROPS = {"entry.packets.dropped.no_capacity": 3, "entry.packets.in": 9}


@dataclass
class Instance:
    """A control endpoint with the instance that it tells about."""

    control: Endpoint
    node: object
    fleet: object

    def describe_entry(self):
        core = self.node.core.describe()
        name = self.node.instance.id
        return EntryState(name, False, True, 1, core.version, core.highest, DROPS, core)

    def describe_view(self):
        core = self.node.control.describe()
        return ViewState(self.node.instance.id, False, True, core.version, {}, core)

    def explain(self, flow):
        return self.node.core.explain(flow, self.fleet.now)


@pytest.fixture
def instances(tenggara, pick_endpoint):
    """Two instances of a fleet that takes a new upstream in."""
    fleet = tenggara.create_fleet(1)
    service = tenggara.configuration.services[0]
    fleet.run(4.0)
    fleet.open_flows(service, 50, 1.0)
    fleet.run(1.5)
    new = create_upstream("qa-desk", 1, 7, service.upstreams[1].domain)
    fleet.publish(change_upstreams(fleet.platform.served, service.id, (*service.upstreams, new)))
    fleet.run(2.0)
    return [Instance(pick_endpoint(), node, fleet) for node in list(fleet.nodes.values())[:2]]


@pytest.fixture
def run_ctl(run, serve, instances, capsys):
    """Run the program against the instances and return its exit code and output."""

    async def start(instance):
        entry = Endpoint(instance.control.host, instance.control.port + CONTROL_PORT_OFFSET)
        await serve(OperationsServer(instance.control, instance.describe_view))
        await serve(OperationsServer(entry, instance.describe_entry, instance.explain))

    def run_command(*argv):
        async def wrap():
            for instance in instances:
                await start(instance)
            return await asyncio.to_thread(ctl.main, argv)

        code = run(wrap())
        return code, capsys.readouterr()

    return run_command


@pytest.fixture
def pick_endpoint(pick_endpoint):
    """Leave room for the entry's endpoint after each one."""

    def pick():
        endpoint = pick_endpoint()
        pick_endpoint()
        return endpoint

    return pick


def write(instance):
    return f"{instance.control.host}:{instance.control.port}"


def test_state_names_versions_members_upstreams_slots_and_reasons(run_ctl, instances):
    code, output = run_ctl("state", *map(write, instances))
    assert code == ctl.ExitCode.ANSWERED
    for expected in (
        "entry-1",
        "entry-7",
        "port-klang",
        "qa-desk-7",
        "no_capacity",
        "alive",
        "1, 2",
    ):
        assert expected in output.out
    assert "owner not asked" in output.out
    assert "load reading" in output.out


def test_domain_that_is_out_is_named(run_ctl, instances):
    fleet = instances[0].fleet
    fleet.publish(set_domain(fleet.platform.served, DomainId("port-klang"), DomainState.OUT))
    fleet.run(2.0)
    _, output = run_ctl("state", "--json", write(instances[0]))
    (report,) = msgspec.json.decode(output.out)
    assert report["view"]["core"]["domains_out"] == ["port-klang"]
    _, output = run_ctl("explain", *FLOW, "--at", write(instances[0]))
    assert "version 3" in output.out


def test_state_as_json(run_ctl, instances):
    code, output = run_ctl("state", "--json", *map(write, instances))
    assert code == ctl.ExitCode.ANSWERED
    reports = msgspec.json.decode(output.out)
    assert [report["view"]["version"] for report in reports] == [2, 2]


def test_explain_tells_every_step(run_ctl, instances):
    code, output = run_ctl("explain", *FLOW, "--at", write(instances[0]))
    assert code == ctl.ExitCode.ANSWERED
    for prefix in ("view", "service", "slot", "placement", "state", "home", "record", "upstream"):
        assert f". {prefix}: " in output.out
    assert output.out.count("now: ") == 2


def test_process_without_an_answer_is_told(run_ctl, instances, pick_endpoint):
    silent = pick_endpoint()
    code, output = run_ctl("state", write(instances[0]), f"{silent.host}:{silent.port}")
    assert code == ctl.ExitCode.UNANSWERED
    assert f"no answer: {silent.host}:{silent.port}" in output.out
    assert "entry-1" in output.out


@pytest.mark.parametrize(
    "argv",
    [
        ("state", "nowhere", "127.0.0.1"),
        ("explain", "tcp", "caller", "198.51.100.1:443", "--at", "127.0.0.1:1"),
        ("top", "127.0.0.1:1", "--interval", "0"),
    ],
)
def test_wrong_use_is_told(argv, capsys):
    assert ctl.main(argv) == ctl.ExitCode.WRONG_USE
    assert capsys.readouterr().err.startswith("Error: ")


def test_top_ends_after_its_rounds(run_ctl, instances):
    code, output = run_ctl("top", write(instances[0]), "--interval", "0.01", "--rounds", "2")
    assert code == ctl.ExitCode.ANSWERED
    assert "entry-1" in output.out


def test_answer_of_another_form_is_unanswered(run, serve, pick_endpoint):
    async def check():
        endpoint = pick_endpoint()
        await serve(OperationsServer(endpoint, lambda: 1))
        (report,) = await fetch_states([endpoint])
        assert isinstance(report.view, Unanswered)

    run(check())
