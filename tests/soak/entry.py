"""Entry processes of the soak."""

import json
import signal
from pathlib import Path

from chicoryproxy.eventloop.http import HttpClient, HttpResponse
from chicoryproxy.model import Endpoint
from tests.childprocess import has_signal, start_entry
from tests.soak.deployment import ZONES, get_entry_host
from tests.soak.faults import FaultProxy

MAX_STARTUP_S = 5.0


class Entry:
    """An entry process and its settings."""

    def __init__(self, soak, number):
        self.host = get_entry_host(number)
        self.zone = ZONES[number % len(ZONES)]
        self.is_ready = False
        self.proxy = FaultProxy(soak.loop, soak.store.address)
        self._soak = soak
        self._path = soak.folder / f"entry-{number}.json"
        self._log = soak.folder / f"entry-{number}.log"
        self._name = f"entry-{number}"
        self._process = None
        self._starts = 0
        self._is_exit_expected = False
        self._client = HttpClient(soak.loop, Endpoint(self.host, soak.ready_port))
        self.write_settings()
        self.start()
        self._poll()

    def write_settings(self, extra=0.0):
        """Write the settings file in the platform's format."""
        soak = self._soak
        fields = {
            "NodeName": self._name,
            "IpAddress": self.host,
            "Zone": self.zone,
            "Zones": dict.fromkeys(ZONES, "loop"),
            "ListenAddrs": {
                "DatagramAddr": f"{self.host}:{soak.packet_port}",
                "Ready": f"{self.host}:{soak.ready_port}",
            },
            "InternalPorts": [soak.peer_port, soak.peer_port + 15],
            "SeedNodes": [f"{get_entry_host(n)}:1" for n in range(len(ZONES))],
            "Bounds": {"GracePeriodS": 6, "ConfigApplyMs": 3000, "DrainTimeoutMs": 3000},
            "platform": {"Address": f"{self.proxy.address.host}:{self.proxy.address.port}"},
            "Extra": extra,
        }
        self._path.write_text(json.dumps(fields))

    def start(self):
        """Start the process."""
        with self._log.open("ab") as log:
            self._process = start_entry(self._path, stdout=log, stderr=log)
        self._starts += 1
        self._is_exit_expected = False
        self._is_early_sigterm = False
        self._started_s = self._soak.loop.read_clock()

    def kill(self):
        """Send SIGKILL; the next poll restarts the process."""
        self._is_exit_expected = True
        self.send_signal(signal.SIGKILL)

    def get_lifetime(self):
        """Return the name and the number of starts, which together name one lifetime."""
        return (self._name, self._starts)

    def get_age(self):
        """Return the seconds since the process was started."""
        return self._soak.loop.read_clock() - self._started_s

    def terminate(self):
        """Send SIGTERM, on which the entry leaves gracefully once it handles the signal."""
        self._is_exit_expected = True
        self._is_early_sigterm = not has_signal(self._process, signal.SIGTERM, "SigCgt")
        self.send_signal(signal.SIGTERM)

    def reload(self):
        """Send SIGHUP to reload the settings, once the process handles or ignores the signal.

        While the interpreter starts, no module can handle a signal yet. The startup time depends
        on the machine, so this reads the signal masks from the kernel instead of waiting.
        """
        if has_signal(self._process, signal.SIGHUP, "SigIgn", "SigCgt"):
            self.send_signal(signal.SIGHUP)
        elif self.get_age() > MAX_STARTUP_S:
            self._soak.invariants.record_violation(f"{self._name} still has no SIGHUP handler")

    def record_disturbance(self, is_planned=False):
        """Suspend the checks of openings with a time bound for those that this entry handles."""
        self._soak.invariants.record_disturbance(is_planned, self._name)

    def send_signal(self, number):
        """Send a signal to the process if it runs."""
        self.record_disturbance(is_planned=number in (signal.SIGTERM, signal.SIGHUP))
        if self._process.poll() is None:
            self._process.send_signal(number)

    def read_log(self):
        """Return the lines that the process has written; one that isn't JSON is an error."""
        return [json.loads(line) for line in self._log.read_text().splitlines()]

    def read_peak_memory_kb(self):
        """Return the most memory that the process has used so far, in KB."""
        text = Path(f"/proc/{self._process.pid}/status").read_text()
        return next(int(line.split()[1]) for line in text.splitlines() if "VmHWM" in line)

    def stop(self):
        """Kill the process at the end of the soak."""
        self._client.close()
        self._process.kill()
        self._process.wait()

    def _poll(self):
        code = self._process.poll()
        if code is not None:
            self._check_exit(code)
            self.is_ready = False
            self.start()
        self._client.get("/-/ready", 0.4, self._handle_readiness)

    def _check_exit(self, code):
        if not self._is_exit_expected:
            self._soak.invariants.record_violation(
                f"{self._name} exited unexpectedly with code {code}"
            )
        elif code not in self._list_allowed_exit_codes():
            self._soak.invariants.record_violation(f"{self._name} exited with code {code}")

    def _list_allowed_exit_codes(self):
        # SIGTERM kills a process that has not installed its handler yet.
        early = (-signal.SIGTERM,) if self._is_early_sigterm else ()
        return (0, -signal.SIGKILL, *early)

    def _handle_readiness(self, result):
        self.is_ready = isinstance(result, HttpResponse) and result.status == 200
        self._soak.loop.call_later(0.5, self._poll)
