"""Reloads the settings file on a signal, or when polling shows that it has changed."""

import os
from collections.abc import Callable

from chicoryproxy.errors import SettingsError
from chicoryproxy.eventloop.loop import Loop
from chicoryproxy.forwarding.model import EntrySettings
from chicoryproxy.node.journal import Journal
from chicoryproxy.platform.settings import read_settings

CHECK_INTERVAL_S = 2.0
"""Polling interval; the platform may change the file without sending a signal."""

RESTART_FIELDS = ("instance", "domain", "packets", "readiness", "peers", "metrics")
"""Settings that take effect only after a restart."""


class SettingsReloader:
    """Reloads the settings file when it has changed.

    :param settings: the settings in force.
    :param apply: called with the reloaded settings.
    """

    def __init__(
        self,
        loop: Loop,
        journal: Journal,
        path: str,
        settings: EntrySettings,
        apply: Callable[[EntrySettings], None],
    ) -> None:
        self._loop = loop
        self._journal = journal
        self._path = path
        self._settings = settings
        self._apply = apply
        self._file_state = _read_file_state(path)

    def start(self) -> None:
        """Start polling the file."""
        self._loop.call_repeatedly(lambda: CHECK_INTERVAL_S, self._check)

    def reload(self) -> None:
        """Read the file now; invalid settings are logged and not applied."""
        self._file_state = _read_file_state(self._path)
        try:
            settings = read_settings(self._path)
        except SettingsError as error:
            self._journal.write("reload_failed", reason=error.format_message())
            return
        changed = _list_changed(self._settings, settings)
        needs_restart = [name for name in changed if name in RESTART_FIELDS]
        self._journal.write("reload", changed=changed, needs_restart=needs_restart)
        self._settings = settings
        self._apply(settings)

    def _check(self) -> None:
        if _read_file_state(self._path) != self._file_state:
            self.reload()


def _read_file_state(path: str) -> tuple[int, int] | None:
    """Return modification time in nanoseconds and size, or ``None`` without access to the file."""
    try:
        status = os.stat(path)
    except OSError:
        return None
    return status.st_mtime_ns, status.st_size


def _list_changed(old: EntrySettings, new: EntrySettings) -> list[str]:
    return [name for name in old.__struct_fields__ if getattr(old, name) != getattr(new, name)]
