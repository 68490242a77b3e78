"""Entries of other writers among those of the servers: real entry processes go on as before."""

import itertools

import pytest

from chicoryproxy.eventloop.loop import Loop
from tests.node.fakestore import (
    FakeStore,
    create_config,
    create_server_entry,
    pick_ports,
    run_until,
)
from tests.node.oddentries import ODD_KEYS, list_large_values, list_small_values
from tests.soak.deployment import ZONES
from tests.soak.entry import Entry

START_BOUND_S = 12.0
"""Traffic starts 12 s after the machines do."""

APPLY_BOUND_S = 3.0
"""``ConfigApplyMs`` of the sites."""

SLOW_ANSWER_S = 0.8

MEMORY_BOUND_KB = 139 * 1024 // 2
"""Half of the memory of the smallest machine."""

SERVERS = ("i-0a", "i-0b", "i-0c")
OWN = {"service": "desk", "zone": ZONES[0]}


class Deployment:
    """A store with living servers, and entry processes that are watched for their end.

    :ivar violations: ends of entry processes, each with its cause.
    """

    def __init__(self, folder):
        self.loop = Loop()
        self.folder = folder
        self.packet_port, self.ready_port, self.peer_port = pick_ports(3)
        self.store = FakeStore(self.loop)
        self.invariants = self
        self.violations = []
        self.entries = []
        self._version = 0
        self._keys = (f"servers/x-{number:04x}" for number in itertools.count())
        self.write_servers()
        self.publish_version()

    def record_violation(self, text):
        """Record that a process ended."""
        self.violations.append(text)

    def start_entry(self):
        """Start an entry process and wait until it is ready."""
        entry = Entry(self, len(self.entries))
        self.entries.append(entry)
        run_until(self.loop, lambda: entry.is_ready, START_BOUND_S)

    def write_servers(self):
        """Write the entries of the living servers."""
        for number, name in enumerate(SERVERS):
            own = create_server_entry(**OWN, Address=f"10.128.0.{number + 1}:8080")
            self.store.put(f"servers/{name}", own)

    def write_odd(self, values):
        """Write values under new ids."""
        for value in values:
            self.store.put(next(self._keys), value)

    def write_odd_keys(self):
        """Write values that can and can't be read under odd keys."""
        for key, value in itertools.product(ODD_KEYS, (create_server_entry(**OWN), b"\xff")):
            self.store.put(key, value)

    def write_under_ids_of_servers(self, values):
        """Write values under the ids of the living servers, which then write again."""
        for value, name in zip(values, itertools.cycle(SERVERS)):
            self.store.put(f"servers/{name}", value)
        self.write_servers()

    def slow_down_store(self, write):
        """Write while the store answers slowly, which it does for a while."""
        self.store.delay_s = SLOW_ANSWER_S
        end_s = self.loop.read_clock() + 2 * SLOW_ANSWER_S
        write()
        run_until(self.loop, lambda: self.loop.read_clock() > end_s)
        self.store.delay_s = 0.0

    def publish_version(self):
        """Publish the next version of the configuration."""
        self._version += 3
        self.store.put("op/config", create_config(self._version, service="desk"))

    def has_seen(self, kind, subject):
        """Return whether every entry has logged a change of its view."""
        return all(
            any(
                line["event"] == "belief" and (line["kind"], line["subject"]) == (kind, subject)
                for line in entry.read_log()
            )
            for entry in self.entries
        )

    def wait_for_large_values(self):
        """Wait until all entries have read what was written so far, as after a start.

        The bounds of a version don't hold while tens of megabytes are on their way to an entry, and
        reads may time out meanwhile.
        """
        self.publish_version()
        run_until(self.loop, lambda: self.has_seen("version", str(self._version)), START_BOUND_S)

    def check_following(self):
        """Check that a version, an evacuation and its end are in force everywhere in time."""
        self.publish_version()
        run_until(self.loop, lambda: self.has_seen("version", str(self._version)), APPLY_BOUND_S)
        zone = f"{ZONES[1]}-{self._version}"
        self.store.put(f"op/evacuate/{zone}", {})
        run_until(self.loop, lambda: self.has_seen("domain_out", zone), APPLY_BOUND_S)
        self.store.delete(f"op/evacuate/{zone}")
        run_until(self.loop, lambda: self.has_seen("domain_back", zone), APPLY_BOUND_S)

    def check_processes(self, reasons=frozenset()):
        """Check that no process ended, logged an error or needed much memory.

        :param reasons: reasons for which a read of the store may have failed.
        """
        assert self.violations == []
        for entry in self.entries:
            lines = entry.read_log()
            assert [line for line in lines if line["event"] == "error"] == []
            assert {line["reason"] for line in lines if line["event"] == "store_lost"} <= reasons
            assert len([line for line in lines if line["event"] == "start"]) == 1
            assert entry.read_peak_memory_kb() < MEMORY_BOUND_KB

    def stop(self):
        """End the processes."""
        for entry in self.entries:
            entry.stop()
        self.loop.close()


@pytest.fixture
def deployment(tmp_path):
    """A store with living servers, and no entry process yet."""
    created = Deployment(tmp_path)
    yield created
    created.stop()


# CONFIG, LOST: an entry of another writer that ends the processes or keeps them from following.
def test_processes_follow_the_store_among_odd_entries(deployment):
    values = list_small_values(**OWN)
    deployment.write_odd(values)
    deployment.write_odd_keys()
    deployment.start_entry()
    deployment.start_entry()
    deployment.check_following()
    deployment.write_odd(values)
    deployment.write_odd_keys()
    deployment.write_under_ids_of_servers(values)
    deployment.check_following()
    deployment.start_entry()
    deployment.check_following()
    deployment.slow_down_store(lambda: deployment.write_odd(values))
    deployment.check_following()
    deployment.check_processes()


# CONFIG, LOST: large values that use up the memory, the log, or the time of a reply to a peer.
def test_processes_follow_the_store_among_large_odd_entries(deployment):
    values = list_large_values(**OWN)
    deployment.write_odd(values)
    deployment.start_entry()
    deployment.start_entry()
    deployment.check_following()
    deployment.write_odd(values)
    deployment.write_under_ids_of_servers(values)
    deployment.wait_for_large_values()
    deployment.check_following()
    deployment.start_entry()
    deployment.check_following()
    deployment.check_processes({"too_large", "timeout"})
