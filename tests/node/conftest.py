"""Fixtures of the tests of the process around the core."""

import json

import pytest

from chicoryproxy.eventloop.loop import Loop
from tests.adapter.test_settings import create_node
from tests.node.entryprocess import EntryProcess
from tests.node.fakestore import HOST, FakeStore, pick_port


@pytest.fixture
def loop():
    """A loop."""
    loop = Loop()
    yield loop
    loop.close()


@pytest.fixture
def store(loop):
    """A store on the loop."""
    return FakeStore(loop)


@pytest.fixture
def node_file(tmp_path):
    """The settings file of an entry whose store does not answer."""
    packets, readiness, internal = (pick_port() for _ in range(3))
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
    """An entry process whose libraries are not loaded yet."""
    folder = tmp_path / "held"
    folder.mkdir()
    process = EntryProcess(node_file, folder)
    yield process
    process.kill()


@pytest.fixture
def process(blocked_process):
    """An entry process whose store does not answer."""
    blocked_process.load_libraries()
    return blocked_process
