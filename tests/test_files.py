from chicoryproxy.configuration.document import DocumentFault
from chicoryproxy.configuration.files import load_document
from chicoryproxy.finding import FindingList, Place


def test_a_file_that_is_not_utf8_is_a_finding(tmp_path):
    path = tmp_path / "fleet.yaml"
    path.write_bytes(b"\xff\xfe\x00")
    findings = FindingList()
    assert load_document(str(path), findings) is DocumentFault.UNREADABLE
    assert len(findings) == 1


def test_the_files_of_a_folder_are_merged_into_one_document(tmp_path):
    (tmp_path / "a.yaml").write_text("defaults: {weight: 1}\nexceptions:\n  - {reason: x}\n")
    (tmp_path / "b.json").write_text('{"services": {"s": {"weight": 2}}, "exceptions": [{}]}')
    (tmp_path / "c.yml").write_text("services:\n  t: {}\nexceptions:\n  - {reason: y}\n")
    (tmp_path / "notes.txt").write_text("- not a part of the configuration")
    findings = FindingList()
    document = load_document(str(tmp_path), findings)
    assert not findings
    assert document.data == {
        "defaults": {"weight": 1},
        "exceptions": [{"reason": "x"}, {}, {"reason": "y"}],
        "services": {"s": {"weight": 2}, "t": {}},
    }
    assert document.get_place(("exceptions", 2, "reason")) == Place(f"{tmp_path}/c.yml", 4, 6)
    assert str(document.get_place(("services", "s", "weight"))) == f"{tmp_path}/b.json services.s"


def test_duplicate_keys_in_several_files_are_findings(tmp_path):
    (tmp_path / "a.yaml").write_text("services: {s: 1}\ndefaults: {}\n")
    (tmp_path / "b.json").write_text('{"services": {"s": 2, "s": 3}, "defaults": []}')
    (tmp_path / "c.json").write_text("[1]")
    findings = FindingList()
    document = load_document(str(tmp_path), findings)
    assert document.data["services"] == {"s": 1}
    messages = [finding.message for finding in findings]
    assert sorted(messages) == [
        "`defaults` is also defined in another file",
        "`services.s` is also defined in another file",
        "duplicate key `s`",
        "the file is not a mapping",
    ]


def test_invalid_json_and_empty_folders_are_findings(tmp_path):
    findings = FindingList()
    assert load_document(str(tmp_path), findings) is DocumentFault.UNREADABLE
    for number, text in enumerate(['{"a": }', "[" * 100_000, "9" * 5000]):
        (tmp_path / f"{number}.json").write_text(text)
    assert load_document(str(tmp_path), findings) is DocumentFault.SYNTAX
    assert len(findings) == 4
