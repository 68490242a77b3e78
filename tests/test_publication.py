"""Reading of the platform and of health endpoints."""

import asyncio
import time

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from msgspec import structs

from chicoryproxy.configuration.splitter import split_configuration
from chicoryproxy.ids import DomainId, InstanceId, RegionId, ServiceId, UpstreamId, Version
from chicoryproxy.model import Configuration, Endpoint, Instance, Service, ServiceAddress
from chicoryproxy.processes import publication
from chicoryproxy.processes.probe import HealthAnswer
from chicoryproxy.processes.publication import CONFIGURATION_PATH, VALUES_PATH, PlatformWatch
from chicoryproxy.processes.readings import Readings
from chicoryproxy.protocol.events import (
    ConfigurationRead,
    HealthReading,
    InstancesRead,
    PlatformUnread,
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


class Reader:
    """A platform stand-in and the readings of it."""

    def __init__(self):
        self.events = asyncio.Queue()
        self.platform = PlatformStandIn()

    async def start(self, serve):
        await self.platform.start(LOCAL)
        self.readings = Readings(self.platform.url, self.events.put_nowait, Metrics(None), 1)
        await serve(self.readings)

    async def stop(self):
        await self.readings.stop()
        await self.platform.stop()

    async def wait_for(self, kind):
        while not isinstance(event := await self.events.get(), kind):
            pass
        return event


@pytest.fixture
def with_reader(run, serve):
    def run_with_reader(check):
        async def wrap():
            reader = Reader()
            await reader.start(serve)
            try:
                await check(reader)
            finally:
                await reader.stop()

        run(wrap())

    return run_with_reader


def test_values_and_changes(with_reader):
    async def check(reader):
        await reader.platform.publish_configuration(create_configuration(1))
        await reader.platform.publish_instances((INSTANCE,))
        reader.readings.watch(Version(0))
        first = {type(event): event for event in [await reader.events.get() for _ in range(2)]}
        assert first[ConfigurationRead].configuration == create_configuration(1)
        assert first[InstancesRead].instances == (INSTANCE,)
        await reader.platform.publish_configuration(create_configuration(2))
        assert await reader.events.get() == ConfigurationRead(create_configuration(2))

    with_reader(check)


def test_a_version_is_handed_on_when_all_its_parts_are_there(with_reader):
    service = Service(ServiceId("s"), (ServiceAddress("203.0.113.1", 443, Protocol.TCP),), ())
    configuration = structs.replace(create_configuration(2), services=(service,))
    publication = split_configuration(configuration)
    ((name, part),) = publication.parts.items()

    async def check(reader):
        await reader.platform.publish_instances(())
        await reader.platform.publish_configuration(create_configuration(1))
        reader.readings.watch(Version(0))
        assert (await reader.wait_for(ConfigurationRead)).configuration.version == 1
        await reader.platform.publish(CONFIGURATION_PATH, publication.index)
        assert (await reader.wait_for(PlatformUnread)).reason == f"{name}: bad_status"
        await reader.platform.publish(VALUES_PATH + name, b"{}")
        while "index names" not in (event := await reader.events.get()).reason:
            assert event.reason == f"{name}: bad_status"
        await reader.platform.publish(VALUES_PATH + name, part)
        assert (await reader.wait_for(ConfigurationRead)).configuration == configuration

    with_reader(check)


def test_platform_that_is_down_from_the_start(with_reader):
    async def check(reader):
        reader.platform.is_down = True
        reader.readings.watch(Version(0))
        unread = await reader.wait_for(PlatformUnread)
        assert unread.reason.endswith("bad_status")
        reader.platform.is_down = False
        await reader.platform.publish_configuration(create_configuration(1))
        assert (await reader.wait_for(ConfigurationRead)).configuration.version == 1

    with_reader(check)


@pytest.mark.parametrize(
    ("body", "reason"),
    [
        (b"{", "configuration: malformed"),
        (b"[]", "configuration: malformed"),
        (bytes(publication.MAX_VALUE_BYTES + 1), "too_large"),
        (split_configuration(create_configuration(1)).index, "older than version 7"),
    ],
)
def test_value_that_cannot_be_used(with_reader, body, reason):
    async def check(reader):
        await reader.platform.publish(CONFIGURATION_PATH, body)
        await reader.platform.publish_instances(())
        reader.readings.watch(Version(7))
        assert reason in (await reader.wait_for(PlatformUnread)).reason

    with_reader(check)


def test_watch_that_ends(with_reader):
    async def check(reader):
        await reader.platform.publish_instances(())
        await reader.platform.publish_configuration(create_configuration(1))
        reader.readings.watch(Version(0))
        await reader.wait_for(ConfigurationRead)
        reader.readings.stop_watching()
        await reader.platform.publish_configuration(create_configuration(2))
        reader.readings.watch(Version(3))
        assert (await reader.wait_for(PlatformUnread)).reason.endswith("than version 3")

    with_reader(check)


@settings(derandomize=True, deadline=None)
@given(st.binary(max_size=200))
def test_foreign_values(body):
    watch = PlatformWatch(None, None, Metrics(None), 1)
    for take in (watch._take_index, watch._take_instances):
        assert isinstance(take(body), PlatformUnread | InstancesRead)


def test_health(with_reader):
    async def check(reader):
        answer = HealthAnswer(UpstreamState.COLD, time.time(), 1, 20)
        reader.platform.set_health(UPSTREAM, answer)
        reader.readings.read_health(UPSTREAM, f"{reader.platform.url}/health/{UPSTREAM}")
        reading = await reader.wait_for(HealthReading)
        assert (reading.reachable, reading.state) == (True, UpstreamState.COLD)
        assert (reading.started_at_s, reading.slots_used) == (answer.started_at, 1)
        assert reading.connections == 20

    with_reader(check)


@pytest.mark.parametrize("path", ["/health/unknown", CONFIGURATION_PATH])
def test_health_that_cannot_be_used(with_reader, path):
    async def check(reader):
        await reader.platform.publish(CONFIGURATION_PATH, b'{"state":"unheard of"}')
        reader.readings.read_health(UPSTREAM, reader.platform.url + path)
        assert await reader.wait_for(HealthReading) == HealthReading(UPSTREAM, False)

    with_reader(check)
