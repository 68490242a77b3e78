"""Fixtures for tests of the entry process and its parts."""

import json

import pytest

from chicoryproxy.eventloop.loop import Loop
from tests.adapter.test_settings import create_node
from tests.node.entryprocess import EntryProcess
from tests.node.fakestore import HOST, FakeStore, pick_ports


@pytest.fixture
def loop():
    """An event loop."""
    loop = Loop()
    yield loop
    loop.close()


@pytest.fixture
def store(loop):
    """A fake store on the event loop."""
    return FakeStore(loop)


@pytest.fixture
def node_file(tmp_path):
    """The settings file of an entry; nothing listens at the address of its store."""
    packets, readiness, internal = pick_ports(3)
    fields = create_node(
        IpAddress=HOST,
        ListenAddrs={"DatagramAddr": f"{HOST}:{packets}", "Ready": f"{HOST}:{readiness}"},
        InternalPorts=[internal, internal + 1],
        platform={"Address": f"{HOST}:1"},
    )
    path = tmp_path / "node.json"
    path.write_text(json.dumps(fields))
    return path


@pytest.fixture
def blocked_process(node_file, tmp_path):
    """An entry process that is blocked in the import of its libraries."""
    folder = tmp_path / "blocked"
    folder.mkdir()
    process = EntryProcess(node_file, folder)
    yield process
    process.kill()


@pytest.fixture
def process(blocked_process):
    """A running entry process; nothing listens at the address of its store."""
    blocked_process.load_libraries()
    return blocked_process
