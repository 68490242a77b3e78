"""Sets up the entry process on the platform and runs its event loop."""

import signal
import socket
import time

from chicoryproxy.errors import SettingsError
from chicoryproxy.eventloop.loop import Loop
from chicoryproxy.node.entry import Entry
from chicoryproxy.node.journal import Journal
from chicoryproxy.node.reload import SettingsReloader
from chicoryproxy.platform.settings import get_settings_path, read_settings

EXIT_OK = 0
EXIT_SETTINGS = 2


def run(packets: socket.socket | None) -> int:
    """Run an entry until SIGTERM; reload its settings on SIGHUP.

    :param packets: the socket for callers' packets, if it is already bound.
    :returns: the exit code.
    """
    try:
        path = get_settings_path()
        settings = read_settings(path)
    except SettingsError as error:
        error.show()
        return EXIT_SETTINGS
    loop = Loop()
    journal = Journal(settings.instance, time.time, loop.read_clock)
    journal.write("start", domain=settings.domain, bound_early=packets is not None)
    entry = Entry(loop, settings, journal, time.time_ns(), packets)
    reloader = SettingsReloader(loop, journal, path, settings, entry.apply_settings)
    loop.add_signal_handler(signal.SIGTERM, entry.leave)
    loop.add_signal_handler(signal.SIGHUP, reloader.reload)
    loop.on_error = entry.handle_error
    entry.start()
    reloader.start()
    loop.run()
    loop.close()
    return EXIT_OK
