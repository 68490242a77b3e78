"""Tests of the platform client and the health probe against the platform stand-in."""

import asyncio
import time

import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st
from msgspec import structs

from chicoryproxy.configuration.splitter import split_configuration
from chicoryproxy.ids import DomainId, InstanceId, RegionId, ServiceId, UpstreamId, Version
from chicoryproxy.model import Configuration, Endpoint, Instance, Service, ServiceAddress
from chicoryproxy.processes import platformclient
from chicoryproxy.processes.platformclient import (
    CONFIGURATION_PATH,
    VALUES_PATH,
    PlatformValue,
    PlatformWatcher,
    ReadProblem,
)
from chicoryproxy.processes.probe import HealthAnswer
from chicoryproxy.processes.readings import ReadingService
from chicoryproxy.protocol.events import (
    ConfigurationRead,
    HealthReading,
    InstancesRead,
    PlatformReadFailed,
)
from chicoryproxy.states import Protocol, UpstreamState
from chicoryproxy.telemetry.metrics import Metrics
from chicoryproxy.testing.platform_standin import PlatformStandIn

UPSTREAM = UpstreamId("qa-desk-1")
LOCAL = Endpoint("127.0.0.1", 0)
INSTANCE = Instance(
    InstanceId("a"), DomainId("d"), RegionId("r"), LOCAL, LOCAL, LOCAL, leaving=True
)


def create_configuration(version):
    return Configuration(Version(version), (), ())


class ReadingHarness:
    """A platform stand-in, and the service that reads it into a queue of events."""

    def __init__(self):
        self.events = asyncio.Queue()
        self.platform = PlatformStandIn()

    async def start(self, serve):
        await self.platform.start(LOCAL)
        self.readings = ReadingService(self.platform.url, self.events.put_nowait, Metrics(None), 1)
        await serve(self.readings)

    async def stop(self):
        await self.readings.stop()
        await self.platform.stop()

    async def wait_for(self, kind):
        while not isinstance(event := await self.events.get(), kind):
            pass
        return event


@pytest.fixture
def with_harness(run, serve):
    def run_with_harness(check):
        async def run_check():
            harness = ReadingHarness()
            await harness.start(serve)
            try:
                await check(harness)
            finally:
                await harness.stop()

        run(run_check())

    return run_with_harness


def test_initial_values_and_changes_are_delivered(with_harness):
    async def check(harness):
        await harness.platform.publish_configuration(create_configuration(1))
        await harness.platform.publish_instances((INSTANCE,))
        harness.readings.watch(Version(0))
        first = {type(event): event for event in [await harness.events.get() for _ in range(2)]}
        assert first[ConfigurationRead].configuration == create_configuration(1)
        assert first[InstancesRead].instances == (INSTANCE,)
        await harness.platform.publish_configuration(create_configuration(2))
        assert await harness.events.get() == ConfigurationRead(create_configuration(2))

    with_harness(check)


def test_version_is_delivered_once_all_its_parts_are_read(with_harness):
    service = Service(ServiceId("s"), (ServiceAddress("203.0.113.1", 443, Protocol.TCP),), ())
    configuration = structs.replace(create_configuration(2), services=(service,))
    publication = split_configuration(configuration)
    ((name, part),) = publication.parts.items()

    async def check(harness):
        await harness.platform.publish_instances(())
        await harness.platform.publish_configuration(create_configuration(1))
        harness.readings.watch(Version(0))
        assert (await harness.wait_for(ConfigurationRead)).configuration.version == 1
        await harness.platform.publish(CONFIGURATION_PATH, publication.index)
        assert (await harness.wait_for(PlatformReadFailed)).reason == f"{name}: bad_status"
        await harness.platform.publish(VALUES_PATH + name, b"{}")
        while "index names" not in (event := await harness.events.get()).reason:
            assert event.reason == f"{name}: bad_status"
        await harness.platform.publish(VALUES_PATH + name, part)
        assert (await harness.wait_for(ConfigurationRead)).configuration == configuration

    with_harness(check)


def test_failed_read_is_reported_and_retried(with_harness):
    async def check(harness):
        harness.platform.is_down = True
        harness.readings.watch(Version(0))
        unread = await harness.wait_for(PlatformReadFailed)
        assert unread.reason.endswith("bad_status")
        harness.platform.is_down = False
        await harness.platform.publish_configuration(create_configuration(1))
        assert (await harness.wait_for(ConfigurationRead)).configuration.version == 1

    with_harness(check)


@pytest.mark.parametrize(
    ("body", "reason"),
    [
        (b"{", "configuration: malformed"),
        (b"[]", "configuration: malformed"),
        (bytes(platformclient.MAX_VALUE_BYTES + 1), "too_large"),
        (split_configuration(create_configuration(1)).index, "older than version 7"),
    ],
)
def test_unusable_value_is_reported(with_harness, body, reason):
    async def check(harness):
        await harness.platform.publish(CONFIGURATION_PATH, body)
        await harness.platform.publish_instances(())
        harness.readings.watch(Version(7))
        assert reason in (await harness.wait_for(PlatformReadFailed)).reason

    with_harness(check)


def test_stopped_watch_misses_changes_and_restarts_from_a_version(with_harness):
    async def check(harness):
        await harness.platform.publish_instances(())
        await harness.platform.publish_configuration(create_configuration(1))
        harness.readings.watch(Version(0))
        await harness.wait_for(ConfigurationRead)
        harness.readings.stop_watching()
        await harness.platform.publish_configuration(create_configuration(2))
        harness.readings.watch(Version(3))
        assert (await harness.wait_for(PlatformReadFailed)).reason.endswith("than version 3")

    with_harness(check)


# One value that was nested too deeply ended the task that watches the list of instances.
@settings(derandomize=True, deadline=None)
@given(st.binary(max_size=200))
@example(b'[{"note": ' + b"[" * 10_000)
def test_arbitrary_values_raise_no_error(body):
    watch = PlatformWatcher(None, None, Metrics(None), 1)
    for decode in (watch._read_index, watch._decode_instances):
        assert isinstance(decode(body), PlatformReadFailed | InstancesRead)


def test_health_reading(with_harness):
    async def check(harness):
        answer = HealthAnswer(UpstreamState.COLD, time.time(), 1, 20)
        harness.platform.set_health(UPSTREAM, answer)
        harness.readings.read_health(UPSTREAM, f"{harness.platform.url}/health/{UPSTREAM}")
        reading = await harness.wait_for(HealthReading)
        assert (reading.reachable, reading.state) == (True, UpstreamState.COLD)
        assert (reading.started_at_s, reading.slots_used) == (answer.started_at, 1)
        assert reading.connections == 20

    with_harness(check)


@pytest.mark.parametrize("path", ["/health/unknown", CONFIGURATION_PATH])
def test_unusable_health_answer_counts_as_unreachable(with_harness, path):
    async def check(harness):
        await harness.platform.publish(CONFIGURATION_PATH, b'{"state":"unheard of"}')
        harness.readings.read_health(UPSTREAM, harness.platform.url + path)
        assert await harness.wait_for(HealthReading) == HealthReading(UPSTREAM, False)

    with_harness(check)


# CONFIG: the platform answered each watch with "unchanged", or did not answer, although it had a
# newer version; no reader ever asked without a watch, and the version was never in force.
def test_a_version_that_watches_do_not_bring_is_read(run, monkeypatch):
    monkeypatch.setattr(platformclient, "MIN_READ_INTERVAL_S", 0.005)
    served = split_configuration(create_configuration(1))

    class SilentReader:
        """Serves the newest values, but tells watches that nothing has changed."""

        def __init__(self):
            self.watches = 0

        async def read(self, path, etag=""):
            if etag:
                self.watches += 1
                return ReadProblem.UNCHANGED
            if path == CONFIGURATION_PATH:
                return PlatformValue("1", served.index)
            if path.startswith(VALUES_PATH):
                return PlatformValue("1", served.parts[path.removeprefix(VALUES_PATH)])
            return PlatformValue("1", b"[]")

    async def check():
        nonlocal served
        reader, events = SilentReader(), []
        watcher = PlatformWatcher(reader, events.append, Metrics(None), 1)
        watcher.start(Version(0))
        while not any(isinstance(event, ConfigurationRead) for event in events):
            await asyncio.sleep(0.01)
        served = split_configuration(create_configuration(2))
        # As many answers as a watch gets in a minute from a platform that doesn't wait.
        while reader.watches < 120:
            await asyncio.sleep(0.01)
        watcher.stop()
        assert ConfigurationRead(create_configuration(2)) in events

    run(check())
