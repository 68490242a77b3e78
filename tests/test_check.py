import json

import pytest

from chicoryproxy.commands.check import ExitCode, main
from chicoryproxy.configuration.keytable import list_rows, render_rows
from chicoryproxy.configuration.schema import WrittenConfiguration
from chicoryproxy.configuration.settings import WrittenSettings

FLEET = "examples/fleet-albatinah.yaml"
DAY = "--day=2026-12-03"


@pytest.fixture
def run(capsys):
    def run_check(*argv):
        try:
            code = main([str(item) for item in argv])
        except SystemExit as exit_request:
            code = exit_request.code
        output = capsys.readouterr()
        return code, output.out + output.err

    return run_check


@pytest.fixture
def change(tmp_path):
    def write_changed_fleet(*changes):
        with open(FLEET) as file:
            text = file.read()
        for old, new in changes:
            assert old in text
            text = text.replace(old, new, 1)
        path = tmp_path / "changed.yaml"
        path.write_text(text)
        return path

    return write_changed_fleet


@pytest.fixture
def domain_out(change):
    exception = (
        "exceptions:\n  - cover: {domain: barka-b}\n    change: {state: out}\n    reason: flood\n"
    )
    return change(("exceptions:\n", exception))


def test_all_findings_are_printed_and_the_exit_code_is_1(run, change):
    path = change(("slots: 3", "slot: 3"), ("domain: sohar-a", "domain: sohar-x"))
    code, output = run("config", path, DAY)
    assert code == ExitCode.FINDINGS
    assert f"{path}:9:5: unknown key `slot`" in output
    assert "`sohar-x` is not a failure domain" in output
    assert "2 findings" in output


@pytest.mark.parametrize(
    "argv",
    [
        ("config", "examples/none.yaml"),
        ("settings", "examples/none.yaml"),
        ("config", FLEET, "--effective", "recovery"),
        ("config", FLEET, "--day", "tomorrow"),
        ("diff", FLEET, FLEET, "--flows-per-upstream", "-1"),
        ("publish", FLEET, "examples/instance.yaml"),
        ("bogus",),
        (),
    ],
)
def test_usage_errors_exit_with_code_2(run, argv):
    code, _ = run(*argv)
    assert code == ExitCode.USAGE_ERROR


def test_effective_values_are_shown_with_their_origin(run):
    code, output = run("config", FLEET, "--effective", "report-archive", DAY)
    assert code == ExitCode.SUCCESS
    line = next(line for line in output.splitlines() if "report-archive-4`  draining" in line)
    assert "true" in line and "moved to another rack (until 2027-03-31)" in line
    assert f"default at {FLEET}:5:5" in output


def test_an_expired_exception_is_a_finding_in_the_new_file_only(run, change):
    path = change(("slots: 3", "slots: 4"))
    assert run("diff", FLEET, path, "--day=2027-04-01")[0] == ExitCode.FINDINGS
    renewed = change(("2027-03-31", "2027-05-31"))
    assert run("diff", FLEET, renewed, "--day=2027-04-01")[0] == ExitCode.SUCCESS


def parse_row(output, service):
    line = next(line for line in output.splitlines() if line.startswith(service))
    name, *numbers, cold = line.split(maxsplit=7)
    return [int(number) for number in numbers], cold.strip()


def test_diff_of_a_domain_taken_out_of_service_and_brought_back(run, domain_out):
    _, output = run("diff", FLEET, domain_out, DAY, "--flows-per-upstream=100")
    (slots, moved, contested, given_up, _, flows_given_up), cold = parse_row(output, "recovery")
    assert moved == contested + given_up
    assert 0 < given_up < slots
    assert flows_given_up == 100
    assert cold == "none"
    # The draining upstream has no slot, but its remaining flows are given up.
    (*_, flows_given_up), _ = parse_row(output, "report-archive")
    assert flows_given_up == 100

    _, output = run("diff", domain_out, FLEET, DAY, "--flows-per-upstream=100")
    (_, _, _, given_up, _, _), cold = parse_row(output, "recovery")
    assert given_up == 0
    assert cold == "recovery-log-4"


def test_diff_of_a_drained_upstream_gives_up_no_flows(run, change):
    exception = (
        "exceptions:\n  - cover: {upstream: recovery-log-1}\n    change: {draining: true}\n"
        "    reason: new disk\n"
    )
    path = change(("exceptions:\n", exception))
    _, output = run("diff", FLEET, path, DAY, "--flows-per-upstream=700")
    (_, moved, contested, given_up, flows, _), cold = parse_row(output, "recovery-log")
    assert moved == contested >= 512 // 7
    assert given_up == 0 and flows >= 700
    assert f"hints of at most {flows * 30} bytes" in output


def test_diff_of_an_upstream_with_a_new_address_gives_up_its_flows(run, change):
    path = change(("10.2.1.11:6080", "10.2.1.99:6080"))
    _, output = run("diff", FLEET, path, DAY)
    (_, moved, contested, _, _, flows_given_up), cold = parse_row(output, "recovery-log")
    assert (moved, contested, flows_given_up, cold) == (0, 0, 2000, "recovery-log-1")


def test_diff_reports_that_no_slot_moves(run, change):
    _, output = run("diff", FLEET, FLEET, DAY)
    assert "no slot moves" in output and "changed" not in output
    _, output = run("diff", FLEET, change(("idle_timeout: 10m", "idle_timeout: 9m")), DAY)
    assert "no slot moves" in output
    assert "services with other values changed: recovery-log, report-archive" in output


def test_diff_lists_added_and_removed_services_and_addresses(run, change):
    _, output = run(
        "diff",
        FLEET,
        change(
            ("  recovery-log:\n", "  log:\n"),
            ("service: recovery-log", "service: log"),
            ("198.51.100.20:8443", "198.51.100.22:8443"),
        ),
        DAY,
    )
    assert "services added: log" in output and "services removed: recovery-log" in output
    assert "addresses removed, their flows end: 198.51.100.20 port 8443" in output


def test_publish_increments_the_version_and_writes_only_changed_parts(run, domain_out, tmp_path):
    folder = tmp_path / "values"
    assert "version 1, 5 parts written" in run("publish", FLEET, folder, DAY)[1]
    assert "version 2, 0 parts written, 5 unchanged" in run("publish", domain_out, folder, DAY)[1]
    code, output = run("publish", FLEET, folder, DAY, "--number", "2")
    assert code == ExitCode.USAGE_ERROR and "isn't above" in output
    assert run("publish", FLEET, folder, DAY, "--number", "9")[0] == ExitCode.SUCCESS


def test_settings_are_validated_without_the_environment(run, monkeypatch):
    monkeypatch.setenv("CHICORY_DATA", "nowhere")
    assert run("settings", "examples/instance.yaml")[0] == ExitCode.SUCCESS
    code, output = run("settings", FLEET)
    assert code == ExitCode.FINDINGS and "unknown key `services`" in output


def test_schema_covers_all_keys_and_forbids_additional_ones(run):
    for flags, kind in ([], WrittenConfiguration), (["--settings"], WrittenSettings):
        schema = json.loads(run("schema", *flags)[1])
        definitions = schema["$defs"]
        assert definitions[kind.__name__]["additionalProperties"] is False
        keys = {key for item in definitions.values() for key in item.get("properties", {})}
        assert {row.key.split(".")[-1].removesuffix("[]") for row in list_rows(kind)} == keys


def test_every_key_is_documented_and_the_page_contains_the_tables(run):
    with open("docs/operations/configuration.md") as file:
        page = file.read()
    for flags, kind in ([], WrittenConfiguration), (["--settings"], WrittenSettings):
        assert all(row.description for row in list_rows(kind))
        assert run("keys", *flags)[1].strip() == render_rows(kind)
        assert render_rows(kind) in page


@pytest.mark.parametrize(
    "command", [(), ("config",), ("diff",), ("settings",), ("schema",), ("keys",), ("publish",)]
)
def test_help_shows_an_example_and_the_exit_codes(run, command):
    code, output = run(*command, "--help")
    assert code == 0
    assert "Example: chicory-check" in output
    assert "Exit codes:" in output


def test_the_version_is_printed(run):
    assert run("--version") == (0, "0.1.0\n")
