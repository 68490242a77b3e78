"""The link between view and entry."""

import asyncio

import pytest

from chicoryproxy.ids import ServiceId, Version
from chicoryproxy.model import Configuration
from chicoryproxy.network.link import LinkClient, LinkServer
from chicoryproxy.protocol.messages import EntryReport, ServiceClean, ViewUpdate
from chicoryproxy.telemetry.metrics import Metrics

REPORT = EntryReport((ServiceClean(ServiceId("qa-desk"), Version(3)),))


def create_update(number):
    configuration = Configuration(Version(number), (), ())
    return ViewUpdate(number, configuration, (), (), (), Version(number), Version(number), False)


class Ends:
    """A server and a client, with what they received."""

    def __init__(self, endpoint):
        self.updates = asyncio.Queue()
        self.reports = asyncio.Queue()
        self.server = LinkServer(endpoint, self.reports.put_nowait, Metrics(None))
        self.client = LinkClient(endpoint, self.updates.put_nowait, Metrics(None), 1)

    async def wait_for_update(self, number):
        while (await self.updates.get()).number != number:
            pass


@pytest.fixture
def create_ends(pick_endpoint):
    return lambda: Ends(pick_endpoint())


def test_update_and_report(run, serve, create_ends):
    async def check():
        ends = create_ends()
        ends.server.publish(create_update(1))
        await serve(ends.server)
        await serve(ends.client)
        await ends.wait_for_update(1)
        ends.server.publish(create_update(2))
        await ends.wait_for_update(2)
        ends.client.report(REPORT)
        assert await ends.reports.get() == REPORT

    run(check())


def test_client_before_server(run, serve, create_ends):
    async def check():
        ends = create_ends()
        await serve(ends.client)
        ends.client.report(REPORT)
        ends.server.publish(create_update(1))
        await serve(ends.server)
        await ends.wait_for_update(1)
        assert ends.reports.empty()

    run(check())


def test_view_that_restarts(run, serve, create_ends):
    async def check():
        ends = create_ends()
        ends.server.publish(create_update(5))
        task = await serve(ends.server)
        await serve(ends.client)
        await ends.wait_for_update(5)
        task.cancel()
        await ends.server.stop()
        after = LinkServer(ends.server._endpoint, ends.reports.put_nowait, Metrics(None))
        after.publish(create_update(1))
        await serve(after)
        await ends.wait_for_update(1)

    run(check())


@pytest.mark.parametrize("data", [b"\xff\xff\xff\xff", b"\x00\x00\x00\x04abcd", b"\x00"])
def test_foreign_input(run, serve, create_ends, data):
    async def check():
        ends = create_ends()
        ends.server.publish(create_update(1))
        await serve(ends.server)
        endpoint = ends.server._endpoint
        reader, writer = await asyncio.open_connection(endpoint.host, endpoint.port)
        writer.write(data)
        writer.write_eof()
        await reader.read()
        writer.close()
        await serve(ends.client)
        await ends.wait_for_update(1)
        assert ends.reports.empty()

    run(check())
