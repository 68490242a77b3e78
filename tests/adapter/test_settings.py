"""Decoding of the platform's settings file; errors name the file and the invalid value."""

import json

import pytest

from chicoryproxy.errors import SettingsError
from chicoryproxy.model import Endpoint
from chicoryproxy.platform.settings import SETTINGS_VARIABLE, get_settings_path, read_settings


def create_node(**fields):
    """Create the fields of a settings file."""
    return {
        "NodeName": "frontend-shah-alam-1",
        "IpAddress": "10.1.0.10",
        "Zone": "shah-alam",
        "Zones": {"shah-alam": "klang-valley", "cyberjaya": "klang-valley"},
        "ListenAddrs": {"DatagramAddr": "10.1.0.10:8172", "Ready": "10.1.0.10:8167"},
        "InternalPorts": [7720, 7735],
        "SeedNodes": ["10.1.0.10:8166", "10.2.0.40:8166"],
        "Contracts": ["base", "flows"],
        "Bounds": {"GracePeriodS": 6, "ConfigApplyMs": 5000, "Unheard": True},
        "platform": {"Address": "10.200.1.7:8169"},
        "NewField": 1,
        **fields,
    }


def read(tmp_path, text):
    """Write a settings file with the given content and read it."""
    path = tmp_path / "node.json"
    path.write_text(text)
    return read_settings(str(path))


def test_settings_are_converted(tmp_path):
    settings = read(tmp_path, json.dumps(create_node()))
    assert settings.packets == Endpoint("10.1.0.10", 8172)
    assert settings.peers == Endpoint("10.1.0.10", 7720)
    assert settings.seeds[1] == Endpoint("10.2.0.40", 7720)
    assert settings.bounds.config_apply_s == 5.0
    assert settings.bounds.drain_s == 3.0
    assert not settings.has_false_health


def test_false_health_follows_from_the_contracts(tmp_path):
    settings = read(tmp_path, json.dumps(create_node(Contracts=["base", "health"])))
    assert settings.has_false_health


@pytest.mark.parametrize(
    ("text", "place"),
    [
        ("{", "truncated"),
        (json.dumps(create_node(Zone=5)), "$.Zone"),
        (json.dumps({"NodeName": "a"}), "IpAddress"),
        (json.dumps(create_node(ListenAddrs={"DatagramAddr": "x", "Ready": "y"})), "''"),
    ],
)
def test_faults_name_the_file_and_the_place(tmp_path, text, place):
    with pytest.raises(SettingsError) as raised:
        read(tmp_path, text)
    message = raised.value.format_message()
    assert "node.json" in message
    assert place in message


def test_a_missing_file_or_variable_is_a_settings_error(tmp_path, monkeypatch):
    with pytest.raises(SettingsError):
        read_settings(str(tmp_path / "none.json"))
    monkeypatch.delenv(SETTINGS_VARIABLE, raising=False)
    with pytest.raises(SettingsError):
        get_settings_path()
