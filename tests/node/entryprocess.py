"""A real entry process whose import of the libraries blocks until the test releases it."""

import json
import signal
import subprocess
import time

from tests.childprocess import has_signal, start_entry

WAIT_TIMEOUT_S = 20.0
BLOCKING_LIBRARY = """
import os, sys, time
while not os.path.exists({flag!r}):
    time.sleep(0.01)
sys.path.remove({folder!r})
del sys.modules["msgspec"]
import msgspec
sys.modules["msgspec"] = msgspec
"""


class EntryProcess:
    """An entry process.

    :param settings: path of its settings file.
    :param folder: an empty folder for the module that blocks the import of the libraries.
    """

    def __init__(self, settings, folder):
        self._flag = folder / "go"
        library = BLOCKING_LIBRARY.format(flag=str(self._flag), folder=str(folder))
        (folder / "msgspec.py").write_text(library)
        self._process = start_entry(settings, folder, stdout=subprocess.PIPE)

    def load_libraries(self):
        """Release the blocked import."""
        self._flag.touch()

    def wait_for(self, event):
        """Read log lines up to the first with the given event, and return its fields."""
        for line in self._process.stdout:
            fields = json.loads(line)
            if fields["event"] == event:
                return fields
        raise AssertionError(f"the process ended without logging {event}")

    def ignores(self, number):
        """Return whether the process ignores a signal."""
        return has_signal(self._process, number, "SigIgn")

    def send_signal(self, number=signal.SIGHUP):
        """Send a signal."""
        self._process.send_signal(number)

    def has_ended(self):
        """Return whether the process has ended."""
        return self._process.poll() is not None

    def wait(self, timeout_s):
        """Wait until the process ends, and return its exit code."""
        return self._process.wait(timeout=timeout_s)

    def kill(self):
        """Kill the process and wait until it has ended."""
        self._process.kill()
        self._process.wait()


def wait_until(condition):
    """Wait until a condition holds; fail after a timeout."""
    deadline = time.monotonic() + WAIT_TIMEOUT_S
    while not condition():
        assert time.monotonic() < deadline
        time.sleep(0.01)
