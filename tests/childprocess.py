"""Child processes of tests.

They end with the test run, and concurrent test runs on a machine use different addresses.
"""

import ctypes
import signal
import subprocess
import sys
from pathlib import Path

from chicoryproxy.platform.packetaddress import SETTINGS_VARIABLE
from chicoryproxy.testing.loopback import reserve_address

SOURCE = Path(__file__).resolve().parents[1] / "src"
PR_SET_PDEATHSIG = 1
FIRST_NETWORK = 16
NET_COUNT = 200
LOCK_PORT = 8998


def end_with_parent():
    """Have the kernel kill this process when its parent, the test run, dies."""
    ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


def reserve_network(start):
    """Reserve one of the networks 127.N.0.0 for this process.

    :param start: offset of the first network to try.
    :returns: the number N, and a socket that reserves the network while it is open.
    """
    networks = [FIRST_NETWORK + (start + number) % NET_COUNT for number in range(NET_COUNT)]
    lock = reserve_address([f"127.{network}.0.1" for network in networks], LOCK_PORT)
    return int(lock.getsockname()[0].split(".")[1]), lock


def start_entry(settings, *folders, **streams):
    """Start an entry process of the platform.

    :param settings: path of the settings file.
    :param folders: folders that precede the sources on the module path.
    :param streams: ``stdout`` and ``stderr`` of the process.
    """
    path = ":".join(str(folder) for folder in (*folders, SOURCE))
    return subprocess.Popen(
        [sys.executable, "-m", "chicoryproxy.node.main"],
        env={"PYTHONPATH": path, SETTINGS_VARIABLE: str(settings)},
        preexec_fn=end_with_parent,
        **streams,
    )


def has_signal(process, number, *masks):
    """Return whether one of a process's signal masks contains a signal.

    The result is false once the process has ended.

    :param masks: names in ``/proc/PID/status``: ``SigIgn`` for ignored, ``SigCgt`` for caught.
    """
    try:
        text = Path(f"/proc/{process.pid}/status").read_text()
    except OSError:
        return False
    values = [line.split()[1] for line in text.splitlines() if line.partition(":")[0] in masks]
    return any(int(value, 16) >> (number - 1) & 1 for value in values)
