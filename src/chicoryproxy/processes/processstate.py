"""State of the processes of an instance, as their control endpoints serve it."""

from msgspec import Struct

from chicoryproxy.control.core import ControlDescription
from chicoryproxy.ids import InstanceId, Version
from chicoryproxy.routing.description import EntryDescription


class EntryState(Struct, frozen=True):
    """State of the entry process.

    :param view_number: number of the last view update; zero before the first.
    :param counters: totals since the start of the process, by metric name.
    """

    instance: InstanceId
    is_leaving: bool
    is_view_connected: bool
    view_number: int
    version: Version
    highest: Version
    counters: dict[str, int]
    core: EntryDescription


class ViewState(Struct, frozen=True):
    """State of the view process.

    :param counters: totals since the start of the process, by metric name.
    """

    instance: InstanceId
    is_leaving: bool
    is_entry_connected: bool
    version: Version
    counters: dict[str, int]
    core: ControlDescription
