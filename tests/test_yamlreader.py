from hypothesis import given, settings
from hypothesis import strategies as st

from chicoryproxy.configuration.document import Document, DocumentFault
from chicoryproxy.configuration.yamlreader import read_yaml
from chicoryproxy.finding import FindingList, Place


def read(text):
    findings = FindingList()
    return read_yaml(text, "fleet.yaml", findings), list(findings)


def test_values_keep_their_types_and_positions():
    document, findings = read("a: 1\nb:\n  - x\n  - {c: 2.5, d: yes, e: true, f: 2027-01-02}\n")
    assert not findings
    inner = {"c": 2.5, "d": "yes", "e": True, "f": "2027-01-02"}
    assert document.data == {"a": 1, "b": ["x", inner]}
    assert document.get_place(("b", 1, "d")) == Place("fleet.yaml", 4, 14)
    assert document.get_place(("b", 0, "none", "deeper")) == Place("fleet.yaml", 3, 5)


def test_a_syntax_error_is_a_finding_with_its_position():
    fault, (finding,) = read("a: 1\nb: [1, 2\nc: 3\n")
    assert fault is DocumentFault.SYNTAX
    assert finding.place.line == 3


def test_duplicate_keys_and_aliases_are_findings():
    document, findings = read("a: &x [1]\nb: *x\na: 2\n? [1]\n: 3\n")
    assert document.data == {"a": [1], "b": None}
    assert [finding.place.line for finding in findings] == [2, 3, 4]


def test_numbers_that_are_not_finite_are_kept_as_strings():
    document, _ = read("[.inf, .nan, 1e999, 010, 0x10, 1_000, -3]")
    assert document.data == [".inf", ".nan", "1e999", 10, 16, 1000, -3]


def test_deep_nesting_and_aliases_are_findings():
    for text in ("[" * 600, "&a [*a]", "a: &a\n  b: *a\n", "[" * 40 + "]" * 40):
        _, findings = read(text)
        assert findings


@settings(derandomize=True, max_examples=300, deadline=None, database=None)
@given(st.text(alphabet="ab:-[]{}&*!%?|>#'\"\\,@`~ \n\t\x00\u2028xu0", max_size=40))
def test_any_text_gives_a_document_or_a_finding(text):
    document, findings = read(text)
    assert isinstance(document, Document) or findings


@settings(derandomize=True, max_examples=200, deadline=None, database=None)
@given(st.binary(max_size=40))
def test_any_bytes_give_a_document_or_a_finding(data):
    document, findings = read(data.decode("latin-1"))
    assert isinstance(document, Document) or findings
