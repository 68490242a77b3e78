import pytest

from chicoryproxy.configuration.settings import load_settings
from chicoryproxy.errors import SettingsError
from chicoryproxy.model import Endpoint

EXAMPLE = "examples/instance.yaml"


def write(tmp_path, text):
    path = tmp_path / "instance.yaml"
    path.write_text(text)
    return str(path)


def collect_findings(path, environ=None, overrides=None):
    with pytest.raises(SettingsError) as caught:
        load_settings(path, environ or {}, overrides or {})
    return list(caught.value.findings)


def test_units_of_the_example_are_converted():
    settings = load_settings(EXAMPLE, {"HOME": "/"}, {})
    assert settings.instance == "entry-sa-1"
    assert settings.data == Endpoint("10.1.0.11", 6080)
    assert settings.statsd == Endpoint("10.1.0.3", 8125)
    assert settings.log_sample == 100
    assert settings.drain_timeout_s == 30.0


def test_environment_overrides_file_and_flags_override_environment():
    environ = {"CHICORY_LOG_SAMPLE": "7", "CHICORY_DRAIN_TIMEOUT": "5s"}
    settings = load_settings(EXAMPLE, environ, {"drain_timeout": "1500ms"})
    assert settings.log_sample == 7
    assert settings.drain_timeout_s == 1.5


def test_all_keys_can_be_set_by_the_environment():
    keys = {"instance": "a", "domain": "d", "region": "r", "platform": "http://[::1]:80/"}
    endpoints = {"data": "[::1]:1", "peer": "[::1]:2", "view": "[::1]:3", "fabric": "[::1]:4"}
    environ = {f"CHICORY_{key.upper()}": value for key, value in (keys | endpoints).items()}
    settings = load_settings("", environ, {})
    assert settings.view == Endpoint("::1", 3)
    assert settings.platform == "http://[::1]:80"
    assert settings.statsd is None


def test_all_errors_are_reported_together_with_position_and_remedy(tmp_path):
    path = write(
        tmp_path,
        "instance: 7\ndomian: a\nregion: r\ndata: 10.0.0.1\npeer: 10.0.0.1:70000\n"
        "view: ten:80\nlink: 127.0.0.1:7105\nplatform: ftp://x\nlog_sample: 0\n"
        "log_format: jsn\ndrain_timeout: 30\nprevious_key_file: /k\n",
    )
    findings = collect_findings(path, {"CHICORY_STATS": "x"}, {"statsd": "nowhere"})
    texts = "\n".join(str(finding) for finding in findings)
    for line in (1, 2, 4, 5, 6, 8, 9, 10, 11, 12):
        assert f"instance.yaml:{line}:1: " in texts
    assert "unknown key `domian`" in texts and "write `domain`" in texts
    assert "`domain` is missing" in texts and "`fabric` is missing" in texts
    assert 'put it in quotation marks: "7"' in texts
    assert "`control` and `link` are the same endpoint" in texts
    assert "write `json`" in texts
    assert "write a value such as 300s" in texts
    assert "environment variable CHICORY_STATS: unknown setting" in texts
    assert "write `CHICORY_STATSD`" in texts
    assert "flag --statsd: invalid endpoint `nowhere`" in texts
    assert len(findings) == 15


@pytest.mark.parametrize("text", ["- 1\n", "", "a: [", "x: \x00\n", "data: {}\n"])
def test_a_file_with_invalid_structure_is_a_finding(tmp_path, text):
    assert collect_findings(write(tmp_path, text))


def test_an_unreadable_file_is_a_finding(tmp_path):
    (finding,) = collect_findings(str(tmp_path / "none.yaml"))
    assert "can't be read" in finding.message
