"""HTTP client for the control endpoints of instances, used by the operators' programs."""

import asyncio
from collections.abc import Sequence
from typing import TypeVar
from urllib.parse import quote

import aiohttp
import msgspec
from msgspec import Struct

from chicoryproxy.address import format_endpoint
from chicoryproxy.model import Endpoint
from chicoryproxy.processes.entry import CONTROL_PORT_OFFSET
from chicoryproxy.processes.processstate import EntryState, ViewState
from chicoryproxy.routing.explanation import Explanation
from chicoryproxy.routing.flowname import FlowName

TIMEOUT_S = 3.0

Answer = TypeVar("Answer")


class Unanswered(Struct, frozen=True):
    """Returned in place of an answer when a request failed or the answer was invalid."""

    reason: str


class InstanceReport(Struct, frozen=True):
    """State of one instance as its two processes report it.

    :param control: control endpoint of the view; the entry listens on the next port.
    """

    control: Endpoint
    view: ViewState | Unanswered
    entry: EntryState | Unanswered

    @property
    def name(self) -> str:
        """Name of the instance, or its endpoint if neither process answered."""
        for state in (self.view, self.entry):
            if not isinstance(state, Unanswered):
                return state.instance
        return format_endpoint(self.control)


class ExplanationReport(Struct, frozen=True):
    """Explanation of a flow's routing by one instance."""

    control: Endpoint
    explanation: Explanation | Unanswered


async def fetch_states(endpoints: Sequence[Endpoint]) -> list[InstanceReport]:
    """Fetch the state of both processes of each instance concurrently."""
    async with _create_session() as session:
        return list(await asyncio.gather(*(_fetch_state(session, item) for item in endpoints)))


async def fetch_explanations(
    endpoints: Sequence[Endpoint], flow: FlowName
) -> list[ExplanationReport]:
    """Fetch the explanation of a flow from each instance's entry concurrently."""
    async with _create_session() as session:
        requests = (_fetch_explanation(session, endpoint, flow) for endpoint in endpoints)
        return list(await asyncio.gather(*requests))


async def _fetch_state(session: aiohttp.ClientSession, control: Endpoint) -> InstanceReport:
    view, entry = await asyncio.gather(
        _fetch(session, control, "/state", ViewState),
        _fetch(session, _get_entry_endpoint(control), "/state", EntryState),
    )
    return InstanceReport(control, view, entry)


async def _fetch_explanation(
    session: aiohttp.ClientSession, control: Endpoint, flow: FlowName
) -> ExplanationReport:
    path = f"/explain?flow={quote(str(flow))}"
    answer = await _fetch(session, _get_entry_endpoint(control), path, Explanation)
    return ExplanationReport(control, answer)


async def _fetch(
    session: aiohttp.ClientSession, endpoint: Endpoint, path: str, answer_type: type[Answer]
) -> Answer | Unanswered:
    url = f"http://{format_endpoint(endpoint)}{path}"
    try:
        async with session.get(url) as response:
            response.raise_for_status()
            return msgspec.json.decode(await response.read(), type=answer_type)
    except TimeoutError:
        return Unanswered(f"{format_endpoint(endpoint)}: no answer within {TIMEOUT_S:g} s")
    except aiohttp.ClientConnectorError as error:
        return Unanswered(f"{format_endpoint(endpoint)}: {error.strerror}")
    except (aiohttp.ClientError, msgspec.MsgspecError) as error:
        return Unanswered(f"{format_endpoint(endpoint)}: {error}")


def _get_entry_endpoint(control: Endpoint) -> Endpoint:
    return Endpoint(control.host, control.port + CONTROL_PORT_OFFSET)


def _create_session() -> aiohttp.ClientSession:
    return aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=TIMEOUT_S))
