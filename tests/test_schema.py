"""Validation errors of configuration files, with their positions and remedies."""

from datetime import date

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from chicoryproxy.configuration.configuration import create_configuration
from chicoryproxy.configuration.document import Document, DocumentFault
from chicoryproxy.configuration.yamlreader import read_yaml
from chicoryproxy.errors import ConfigurationError
from chicoryproxy.finding import FindingList
from chicoryproxy.ids import Version

TODAY = date(2026, 12, 3)

FLEET = """\
defaults: {capacity: {slots: 2}}
exceptions:
  - cover: {upstream: a-1}
    change: {weight: 2}
    reason: larger server
domains:
  north: {region: r}
  south: {region: r}
services:
  a:
    addresses: ["203.0.113.1:443"]
    upstreams:
      a-1: {domain: north, address: 10.0.0.1:6080}
      a-2: {domain: south, address: 10.0.0.2:6080}
  b:
    addresses: ["203.0.113.2:443"]
    upstreams:
      b-1: {domain: north, address: 10.0.0.3:6080}
"""


def create(text):
    findings = FindingList()
    document = read_yaml(text, "fleet.yaml", findings)
    assert not isinstance(document, DocumentFault)
    return create_configuration(document, Version(1), TODAY, findings)


def collect(text):
    with pytest.raises(ConfigurationError) as caught:
        create(text)
    return [str(finding) for finding in caught.value.findings]


@pytest.mark.parametrize(
    ("old", "new", "line", "message", "remedy"),
    [
        ("reason: larger server", "until: 2027-01-01", 3, "`reason` is missing", "add `reason`"),
        ("reason: larger server", 'reason: ""', 5, "invalid value", "a value such as server is"),
        ("larger server", "x\n    until: 2026-12-02", 6, "ended on 2026-12-02", "remove"),
        ("larger server", "x\n    until: 2026-13-02", 6, "a date", "2027-03-31"),
        ("weight: 2", "weight: 1", 4, "`weight` changes nothing", "remove it"),
        ("{weight: 2}", "{}", 4, "changes nothing", "remove it"),
        ("weight: 2", "weight: 0", 4, "a positive integer", "write a value such as 1"),
        ("weight: 2", "state: out", 4, "applies to a failure domain", "`region` or `domain`"),
        ("weight: 2", "return_path: entry", 4, "applies to a service", "cover `service` alone"),
        ("{upstream: a-1}", "{}", 3, "covers nothing", "or use `defaults`"),
        ("upstream: a-1", "upstream: a-3", 3, "there is no upstream `a-3`", "write `a-"),
        ("upstream: a-1", "domain: nort", 3, "there is no domain `nort`", "write `north`"),
        ("upstream: a-1", "upstream: a-1, domain: south", 3, "covers nothing that", "correct"),
        ("slots: 2", "slot: 2", 1, "unknown key `slot`", "write `slots`"),
        ("slots: 2", "slots: two", 1, "invalid value `two`", "write a value such as 1"),
        ("slots: 2", "slots: null", 1, "`slots` is empty", "or remove the key"),
        ("capacity: {slots: 2}", "limits: {idle_timeout: 300}", 1, "a duration", "300s"),
        ("capacity: {slots: 2}", "limits: {idle_timeout: 0s}", 1, "is zero", "greater than zero"),
        ("capacity: {slots: 2}", "limits: {retry_ratio: 101%}", 1, "a percentage", "10%"),
        ("capacity: {slots: 2}", "fleet: {control_rate: 4kb}", 1, "a size", "4KB"),
        (
            "capacity: {slots: 2}",
            "warm_up: {cold_openings: 900}",
            1,
            "higher for a cold upstream",
            "raise",
        ),
        ("domain: south, a", "domain: sout, a", 14, "is not a failure domain", "write `south`"),
        ("10.0.0.2:6080", "10.0.0.256:6080", 14, "is not an IP address", "10.0.0.7:6080"),
        ("10.0.0.2:6080", "224.0.0.1:6080", 14, "is not a unicast address", "of one host"),
        ("10.0.0.2:6080", "203.0.113.2:6080", 14, "packets would loop", "own IP address"),
        (
            "10.0.0.3:6080",
            "10.0.0.1:6080",
            18,
            "already used at fleet.yaml:13:28",
            "a different value",
        ),
        (
            "203.0.113.2:443",
            "203.0.113.1:443",
            16,
            "already used at fleet.yaml:11:17",
            "a different value",
        ),
        ("b-1:", "a-1:", 18, "`a-1` is already used at fleet.yaml:13:7", "a different value"),
        ("b-1:", "b 1:", 18, "invalid value `b 1`", "a name of letters"),
        ('["203.0.113.2:443"]', "[]", 16, "`b` has no address", "add one"),
        ('["203.0.113.2:443"]', "203.0.113.2:443", 16, "is a string, not a list", "after a `-`"),
    ],
)
def test_errors_are_reported_with_position_and_remedy(old, new, line, message, remedy):
    assert old in FLEET
    findings = collect(FLEET.replace(old, new, 1))
    matching = [text for text in findings if message in text]
    assert len(matching) == 1, findings
    assert matching[0].startswith(f"fleet.yaml:{line}:")
    assert remedy in matching[0]


def test_overlapping_exceptions_are_a_finding():
    second = "  - cover: {service: a}\n    change: {weight: 3}\n    reason: y\ndomains:"
    (finding,) = collect(FLEET.replace("domains:", second, 1))
    assert (
        "`weight` of upstream `a-1` is also changed by the exception at fleet.yaml:3:5" in finding
    )


def test_all_errors_are_reported_together():
    text = FLEET.replace("weight: 2", "wieght: 2").replace("domain: south, a", "domain: x, a")
    text = text.replace("10.0.0.3:6080", "10.0.0.3").replace("reason: larger server", "until: x")
    assert len(collect(text)) >= 5


DATA = read_yaml(FLEET, "fleet.yaml", FindingList()).data
VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text(max_size=8) | st.just("10.0.0.1:80"),
    lambda inner: st.lists(inner, max_size=3)
    | st.dictionaries(
        st.sampled_from(
            ["defaults", "exceptions", "domains", "services", "cover", "change", "weight", "a-1"]
        ),
        inner,
        max_size=4,
    ),
    max_leaves=12,
)


@settings(derandomize=True, max_examples=300, deadline=None, database=None)
@given(VALUES, st.sampled_from(["defaults", "exceptions", "domains", "services", ""]))
def test_arbitrary_data_gives_findings_or_a_configuration(value, key):
    findings = FindingList()
    data = {**DATA, key: value} if key else value
    wrong = Document("fleet.yaml", data, {})
    try:
        create_configuration(wrong, Version(1), TODAY, findings)
    except ConfigurationError as error:
        assert error.findings
