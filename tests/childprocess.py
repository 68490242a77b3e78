"""Processes that tests start: they end with the test run, and runs do not share addresses."""

import ctypes
import signal
import socket

PR_SET_PDEATHSIG = 1
FIRST_NET = 16
NETS = 200
LOCK_PORT = 8998


def end_with_parent():
    """Have the system end this process when the test run is killed."""
    ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


def reserve_net(start):
    """Reserve one of the networks 127.N.0.0 for this process.

    :param start: the first one to try.
    :returns: the number N and the socket that holds it.
    """
    for number in range(NETS):
        net = FIRST_NET + (start + number) % NETS
        lock = socket.socket()
        try:
            lock.bind((f"127.{net}.0.1", LOCK_PORT))
        except OSError:
            lock.close()
            continue
        return net, lock
    raise AssertionError("all networks are in use by other runs")
