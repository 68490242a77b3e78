from hypothesis import given, settings
from hypothesis import strategies as st

from chicoryproxy.configuration.document import Document
from chicoryproxy.configuration.jsonreader import read_json
from chicoryproxy.finding import FindingList, Place


def test_values_keep_their_types_and_the_positions_of_their_topmost_keys():
    findings = FindingList()
    document = read_json('{"a": {"b": [NaN, 1e999, 1.5, true]}}', "x.json", findings)
    assert document.data == {"a": {"b": ["NaN", "1e999", 1.5, True]}}
    assert document.get_place(("a", "b", 3)) == Place("x.json a.b")
    assert not findings


def test_a_duplicate_key_is_a_finding():
    findings = FindingList()
    assert read_json('{"a": 1, "a": 2}', "x.json", findings).data == {"a": 1}
    assert len(findings) == 1


@settings(derandomize=True, max_examples=200, deadline=None, database=None)
@given(st.text(alphabet='{}[]":,0123eE+-.\\ua tfn\n', max_size=30))
def test_any_text_gives_a_document_or_a_finding(text):
    findings = FindingList()
    document = read_json(text, "x.json", findings)
    assert isinstance(document, Document) or findings
