"""Decoding of JSON from outside raises one error, whatever is wrong."""

import pytest

from chicoryproxy.platform.jsonvalue import (
    UnreadableValueError,
    decode_json,
    replace_lone_surrogates,
)


def test_a_value_of_the_type_is_decoded():
    assert decode_json(b'{"a": 1}', dict[str, int]) == {"a": 1}


@pytest.mark.parametrize("data", [b"", b"\xff", b"[1]", b'{"a": "1"}', b'{"a":' + b"[" * 10_000])
def test_any_other_value_is_unreadable(data):
    with pytest.raises(UnreadableValueError):
        decode_json(data, dict[str, int])


def test_the_error_names_the_place():
    with pytest.raises(UnreadableValueError, match=r"\$\[\.\.\.\]"):
        decode_json(b'{"a": "1"}', dict[str, int])


@pytest.mark.parametrize(
    ("data", "replaced"),
    [
        (rb'"\ud800"', rb'"\ufffd"'),
        (rb'"a\udfffb"', rb'"a\ufffdb"'),
        (rb'"\uD83D\uDE00"', rb'"\uD83D\uDE00"'),
        (rb'"\ud800\ud83d\ude00"', rb'"\ufffd\ud83d\ude00"'),
        (rb'"\\ud800"', rb'"\\ud800"'),
        (rb'"\u00e9\n"', rb'"\u00e9\n"'),
    ],
)
def test_only_halves_of_characters_are_replaced(data, replaced):
    assert replace_lone_surrogates(data) == replaced
