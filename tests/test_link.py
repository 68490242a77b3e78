"""Tests of the link between the view and the entry."""

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


class LinkPair:
    """A link server and client that collect the messages they receive."""

    def __init__(self, endpoint):
        self.updates = asyncio.Queue()
        self.reports = asyncio.Queue()
        self.server = LinkServer(endpoint, self.reports.put_nowait, Metrics(None))
        self.client = LinkClient(endpoint, self.updates.put_nowait, Metrics(None), 1)

    async def wait_for_update(self, number):
        while (await self.updates.get()).number != number:
            pass


@pytest.fixture
def create_pair(pick_endpoint):
    return lambda: LinkPair(pick_endpoint())


def test_update_and_report(run, serve, create_pair):
    async def check():
        pair = create_pair()
        pair.server.publish(create_update(1))
        await serve(pair.server)
        await serve(pair.client)
        await pair.wait_for_update(1)
        pair.server.publish(create_update(2))
        await pair.wait_for_update(2)
        pair.client.report(REPORT)
        assert await pair.reports.get() == REPORT

    run(check())


def test_client_starts_before_server(run, serve, create_pair):
    async def check():
        pair = create_pair()
        await serve(pair.client)
        pair.client.report(REPORT)
        pair.server.publish(create_update(1))
        await serve(pair.server)
        await pair.wait_for_update(1)
        assert pair.reports.empty()

    run(check())


def test_server_restart(run, serve, create_pair):
    async def check():
        pair = create_pair()
        pair.server.publish(create_update(5))
        task = await serve(pair.server)
        await serve(pair.client)
        await pair.wait_for_update(5)
        task.cancel()
        await pair.server.stop()
        restarted = LinkServer(pair.server._endpoint, pair.reports.put_nowait, Metrics(None))
        restarted.publish(create_update(1))
        await serve(restarted)
        await pair.wait_for_update(1)

    run(check())


@pytest.mark.parametrize("data", [b"\xff\xff\xff\xff", b"\x00\x00\x00\x04abcd", b"\x00"])
def test_invalid_input(run, serve, create_pair, data):
    async def check():
        pair = create_pair()
        pair.server.publish(create_update(1))
        await serve(pair.server)
        endpoint = pair.server._endpoint
        reader, writer = await asyncio.open_connection(endpoint.host, endpoint.port)
        writer.write(data)
        writer.write_eof()
        await reader.read()
        writer.close()
        await serve(pair.client)
        await pair.wait_for_update(1)
        assert pair.reports.empty()

    run(check())
