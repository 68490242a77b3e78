"""Entry point of the process that carries packets on the platform."""

import signal

# A signal to reload that arrives during the imports below must not end the process.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

import sys  # noqa: E402
import time  # noqa: E402

from chicoryproxy.errors import SettingsError  # noqa: E402
from chicoryproxy.eventloop.loop import Loop  # noqa: E402
from chicoryproxy.node.entry import Entry  # noqa: E402
from chicoryproxy.node.journal import Journal  # noqa: E402
from chicoryproxy.node.reload import SettingsReloader  # noqa: E402
from chicoryproxy.platform.settings import get_settings_path, read_settings  # noqa: E402

EXIT_OK = 0
EXIT_SETTINGS = 2


def main() -> int:
    """Run an entry until SIGTERM; return the exit code."""
    try:
        path = get_settings_path()
        settings = read_settings(path)
    except SettingsError as error:
        error.show()
        return EXIT_SETTINGS
    loop = Loop()
    journal = Journal(settings.instance, time.time, loop.read_clock)
    journal.write("start", domain=settings.domain)
    entry = Entry(loop, settings, journal, seed=time.time_ns())
    reloader = SettingsReloader(loop, journal, path, settings, entry.apply_settings)
    loop.handle_signal(signal.SIGTERM, entry.leave)
    loop.handle_signal(signal.SIGHUP, reloader.reload)
    entry.start()
    reloader.start()
    loop.run()
    loop.close()
    return EXIT_OK


if __name__ == "__main__":
    sys.exit(main())
