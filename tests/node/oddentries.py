"""Odd entries: what another writer may leave among the registrations of the servers."""

import json
import random

from tests.node.fakestore import create_server_entry

VALUE_BYTES = 1_048_576
"""Most bytes of a value in the store."""

KEY_BYTES = 200
"""Most bytes of a key in the store."""

DEEP = 100_000
MANY_DIGITS = "9" * 5_000
NUMBER_FIELDS = ("Concurrency", "ColdRemainingMs", "Sequence", "born")
TEXT_FIELDS = ("Service", "Address", "Zone", "Version", "State")
ODD_PORTS = ("0", "-1", "99999", "65536", MANY_DIGITS, "٨٠٨٠", "+80", " 80", "8_0", "0x50", "1e3")
ODD_HOSTS = (
    "0.0.0.0",
    "255.255.255.255",
    "224.0.0.1",
    "127.0.0.1",
    "010.128.0.09",
    "١٠.128.0.9",
    f"10.128.0.{'0' * 4_000}9",
    f"10.128.0.{MANY_DIGITS}",
    "10.128.0.²",
    "localhost",
    "::1",
    "",
)
ODD_NUMBERS = (
    "9" * 400,
    MANY_DIGITS,
    "9" * 100_000,
    "1e999",
    "-1e999",
    "1e300",
    "1e-400",
    "-1",
    "0.5",
    "18446744073709551616",
    "9223372036854775807",
    "-9223372036854775809",
    "NaN",
    "Infinity",
    '"2"',
    "null",
    "true",
    "[]",
    "{}",
)
HUGE_NUMBERS = ("1e300", "9223372036854775807", "9007199254740993", MANY_DIGITS, "1e999")
ODD_TEXTS = ("4", "null", "[]", "{}", "true", '"\\ud800"', '"\\u0000"', '""', '"none of these"')
ODD_BYTES = (
    b"",
    b"\xff\xfe\x00",
    b"\xef\xbb\xbf{}",
    b"null",
    b"[]",
    b"{}",
    b'"text"',
    b"{",
    b"[" * DEEP,
    b'{"a":' * DEEP,
    b'{"Note": ' + b"[" * DEEP + b"]" * DEEP + b"}",
    b'{"Service": ' + b"[" * DEEP,
)
ODD_KEYS = (
    "servers/",
    "servers/-",
    "servers/a/b",
    "servers//",
    "servers/%zz%00%",
    "servers/?Prefix=op&after=1#x",
    "servers/i-1 2\t3\r\n4",
    "servers/i-\x00",
    "servers/i-٣",
    "servers/\U0001f600\ufffd",
    "servers/" + "é" * ((KEY_BYTES - len("servers/")) // 2),
    "servers/i-" + "f" * (KEY_BYTES - len("servers/i-")),
    "servers/i-" + "g" * (KEY_BYTES - len("servers/i-")),
    "servers",
    "servers0",
    "other",
    "op/other",
)


def write_field(name, text, **fields):
    """Return a registration in which one field has a value that is given as JSON text."""
    own = create_server_entry(**fields)
    own.pop(name)
    return json.dumps(own)[:-1].encode() + f', "{name}": {text}}}'.encode()


def list_small_values(**fields):
    """Return odd values of every kind.

    :param fields: fields of the registration that is changed in one place.
    """
    numbers = [write_field(name, text, **fields) for name in NUMBER_FIELDS for text in ODD_NUMBERS]
    texts = [write_field(name, text, **fields) for name in TEXT_FIELDS for text in ODD_TEXTS]
    addresses = [f"10.128.0.9:{port}" for port in ODD_PORTS]
    addresses += [f"{host}:8080" for host in ODD_HOSTS]
    odd = [write_field("Address", json.dumps(item), **fields) for item in addresses]
    return [*ODD_BYTES, *numbers, *texts, *odd]


def list_large_values(**fields):
    """Return odd values of the largest size, whose text doesn't compress well."""
    room = VALUE_BYTES - 1_000
    rng = random.Random(1)
    text = "".join(rng.choices("abcdefghijklmnopqrstuvwxyz0123456789", k=room))
    control = "\x7f" * room
    return [
        b"[" * VALUE_BYTES,
        rng.randbytes(VALUE_BYTES),
        write_field("Service", json.dumps(text), **fields),
        write_field("State", json.dumps(text), **fields),
        write_field("State", json.dumps(control, ensure_ascii=False), **fields),
        write_field("Zone", json.dumps(text), **fields),
        write_field("Address", json.dumps(f"{text}:80"), **fields),
        write_field("Address", json.dumps(f"10.0.0.9:{text}"), **fields),
        write_field("Concurrency", "9" * room, **fields),
    ]
