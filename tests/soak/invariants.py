"""Invariants of the soak, checked against what callers and servers receive."""

from chicoryproxy.platform.header import FLAG_SYN
from tests.soak.traffic import DRAIN_BOUND_S, HEADER
from tests.soak.versions import REFUSED, EntryProgress, VersionHistory

QUIET_PERIOD_S = 4.5
CONFIG_BOUND_S = 3.0
REGRESSION_BOUND_S = 0.25
EVACUATION_BOUND_S = 5.0


class Invariants:
    """Checks packets and records violations.

    An invariant with a time bound is checked only if no fault hit the store, the entry or the
    server during the last ``QUIET_PERIOD_S``. A fault of one entry suspends the checks of the
    openings that it handles, not of those of others, and, unless it is planned work, the check of
    all open flows. That no process goes back to an older version is checked all the while: it needs
    no reading of the store. The rule's longer bound for slowed machines isn't used, since one
    process handles packets one after the other.

    :param loop: the event loop, for its clock.
    :param servers: all servers so far; the soak adds to the list.
    :ivar violations: violated invariants, each with its time.
    :ivar domains_out_since_s: time since which each failure domain that is out has been out.
    :ivar routes_dropped_s: time at which each removed route was removed.
    :ivar routes_added_s: time at which each added route was added.
    """

    def __init__(self, loop, servers):
        self.violations = []
        self.domains_out_since_s = {}
        self.routes_dropped_s = {}
        self.routes_added_s = {}
        self._versions = VersionHistory()
        self._progress = {}
        self._openings = {}
        self._entry_disturbed_s = {}
        self._loop = loop
        self._servers = servers
        self._sent = {}
        self._last_disturbance_s = loop.read_clock()
        self._last_unplanned_s = loop.read_clock()

    def record_disturbance(self, is_planned=False, entry=None):
        """Suspend checks with a time bound for ``QUIET_PERIOD_S``.

        :param is_planned: the check of open flows goes on.
        :param entry: name of the only entry that is disturbed, if it is one; openings that others
            handle are still checked.
        """
        now = self._loop.read_clock()
        if not is_planned:
            self._last_unplanned_s = now
        if entry is None:
            self._last_disturbance_s = now
        else:
            self._entry_disturbed_s[entry] = now

    def record_sent(self, packet, lifetime):
        """Record a packet of a caller, without its mark.

        :param lifetime: lifetime of the entry to which it is sent.
        """
        self._sent.setdefault(packet[8:20], set()).add(_remove_mark(packet))
        if packet[30] & FLAG_SYN:
            self._openings[_get_opening_key(packet)] = (lifetime, self._loop.read_clock())

    def record_version(self, services):
        """Record a version that the store has acknowledged.

        :param services: service of each route that is there.
        """
        self._versions.publish(services, self._loop.read_clock())

    def record_violation(self, text):
        """Record a violated invariant with its time."""
        self.violations.append(f"{self._loop.read_clock():.2f} {text}")

    def check_unchanged(self, packet, server):
        """Check that the caller sent exactly this packet, apart from its mark."""
        if _remove_mark(packet) not in self._sent.get(packet[8:20], ()):
            self.record_violation(
                f"{server.name} got a packet that differs from all that its caller sent"
            )

    def check_opening(self, server, packet):
        """Check that an opening reached a server of its service that may accept it."""
        now = self._loop.read_clock()
        route = HEADER.unpack_from(packet)[3:5]
        if self._versions.find_oldest(route, server.service) is None:
            self.record_violation(f"{server.name} of {server.service} got an opening of {route}")
        lifetime, sent_s = self._openings[_get_opening_key(packet)]
        self._check_progress(lifetime, route, server.service, sent_s)
        if self._is_disturbed(lifetime, now):
            return
        in_force = self._versions.get_index(sent_s - CONFIG_BOUND_S)
        if self._versions.find_oldest(route, server.service, in_force) is None:
            self.record_violation(
                f"{server.name} of {server.service} got an opening that {lifetime} ran as only a"
                f" version allows that was replaced over {CONFIG_BOUND_S} s before"
            )
        if server.state == "draining" and now - server.state_changed_s > DRAIN_BOUND_S:
            self.record_violation(
                f"{server.name} got an opening {now - server.state_changed_s:.1f} s after draining"
            )
        if (
            server.zone in self.domains_out_since_s
            and now - self.domains_out_since_s[server.zone] > EVACUATION_BOUND_S
        ):
            self.record_violation(f"{server.name} got an opening while {server.zone} was out")
        if route in self.routes_dropped_s and now - self.routes_dropped_s[route] > CONFIG_BOUND_S:
            self.record_violation(f"{server.name} got an opening of a removed route")

    def check_refusal(self, route, opened_s, lifetime=None):
        """Check that an entry did not refuse an opening although its route was added before.

        :param lifetime: lifetime of the entry that refused, if it is known.
        """
        now = self._loop.read_clock()
        if self._is_disturbed(lifetime, now):
            return
        if lifetime is not None and self._versions.find_oldest(route, REFUSED) is not None:
            self._check_progress(lifetime, route, REFUSED, opened_s)
        if route not in self.routes_added_s:
            return
        age_s = opened_s - self.routes_added_s[route]
        if age_s > CONFIG_BOUND_S:
            self.record_violation(f"an opening was refused {age_s:.1f} s after its route was added")

    def _is_disturbed(self, lifetime, now):
        """Return whether the store, a server or the entry was disturbed a short time ago.

        :param lifetime: lifetime of the entry, or ``None`` if any entry may be meant.
        """
        entries = self._entry_disturbed_s if lifetime is None else lifetime[:1]
        disturbed_s = [self._entry_disturbed_s.get(name, float("-inf")) for name in entries]
        return now - max((self._last_disturbance_s, *disturbed_s)) < QUIET_PERIOD_S

    def _check_progress(self, lifetime, route, outcome, sent_s):
        """Check that an entry did not handle an opening as only older versions than before allow.

        :param outcome: the service that ran it, or ``REFUSED``.
        """
        progress = self._progress.setdefault(lifetime, EntryProgress(self._versions))
        if progress.is_regression(route, outcome, sent_s, REGRESSION_BOUND_S):
            self.record_violation(
                f"{lifetime} went back to an older version: {route} was handled by {outcome}"
            )
        progress.record_outcome(route, outcome, self._loop.read_clock())

    def record_dropped_route(self, route):
        """Record that a route was removed."""
        self.routes_dropped_s[route] = self._loop.read_clock()
        self.routes_added_s.pop(route, None)

    def record_added_route(self, route):
        """Record that a route was added."""
        self.routes_added_s[route] = self._loop.read_clock()
        self.routes_dropped_s.pop(route, None)

    def check_reset(self, route, opened_s, server_name, state, now):
        """Check that a reset did not hit an open flow of a running server.

        A flow whose route was removed since it was opened is reset, also if the route is back; so
        is one that was opened while the removal was on its way to the entry.
        """
        if state not in ("waiting", "pausing") or server_name is None:
            return
        if (
            self._versions.find_oldest(route, REFUSED, self._versions.get_index(opened_s))
            is not None
        ):
            return
        living = [item for item in self._servers if item.name == server_name and item.is_alive]
        if not living or now - living[-1].state_changed_s < QUIET_PERIOD_S:
            return
        if now - self._last_unplanned_s > QUIET_PERIOD_S:
            self.record_violation(f"an open flow of {server_name} was reset")


def _get_opening_key(packet):
    """Return the bytes that tell the copies of all openings apart: their number and the flow."""
    return packet[4:20]


def _remove_mark(packet):
    return packet[:26] + packet[30:]
