"""The soak: entries, servers, callers and a store under random faults."""

import itertools
import random

from chicoryproxy.eventloop.loop import Loop
from chicoryproxy.forwarding.peers.hosts import format_host
from tests.node.fakestore import FakeStore, pick_ports
from tests.soak.deployment import (
    EXTRA_ROUTE,
    MOVING_ROUTE,
    ROUTES,
    SERVICES,
    ZONES,
    get_caller_host,
    get_server_host,
)
from tests.soak.entry import Entry
from tests.soak.faults import FaultInjector
from tests.soak.invariants import Invariants
from tests.soak.traffic import DRAIN_BOUND_S, Caller, Prober, Server

MOVE_SHARE = 0.5
"""Share of the versions with changed routes that also move a route to the other service."""

RECOVERY_S = 8.0
AFTER_RECOVERY_S = 4.0
MIN_ANSWERED_SHARE = 0.9

MAX_SERVER_NUMBER = 0xFFFF
PLANNED_FAULTS = ("config", "versions", "drain", "domain", "terminate", "reload", "malformed")
PLANNED_FAULTS += ("silen", "old_copy")
"""Words in the names of the faults during which all bounds hold: planned work, entries of other
writers, and watches and stale listings that lack changes of a store that answers all the while."""

FAULTS_OF_ENTRIES = ("kill", "pause", "store_connection")
"""Words in the names of the faults that hit single entries; the bounds hold for the others."""

REGISTRATION_LAPSE_S = 3.6
"""Time after which the registration of a server that has ended is removed."""


class Soak:
    """Runs entries, servers, callers and a store under faults, and checks the invariants.

    :param faults: names of the faults to draw from; all by default.
    """

    def __init__(self, seed, folder, entries=4, servers=6, callers=24, faults=()):
        self.loop = Loop()
        self.folder = folder
        self.zones = ZONES
        self.packet_port, self.ready_port, self.peer_port, self.server_port = pick_ports(4)
        self.store = FakeStore(self.loop)
        self.attempted = self.answered = self.unanswered = self.refused = 0
        self.faults = []
        self._random = random.Random(seed)
        self._move_random = random.Random(f"{seed}/moves")
        # Random, since the store lists servers by id, and a newer one may come before an older.
        self._server_numbers = _draw_numbers(random.Random(f"{seed}/servers"))
        self._host_numbers = itertools.count(1)
        self._servers = []
        self.invariants = Invariants(self.loop, self._servers)
        self._version = 0
        self._services = dict(zip((*ROUTES, MOVING_ROUTE), (*SERVICES, SERVICES[0]), strict=True))
        for number in range(servers):
            self._add_server(SERVICES[number % 2], ZONES[number // 2 % len(ZONES)])
        self.change_config(False)
        self.entries = [Entry(self, number) for number in range(entries)]
        self._callers = [
            Caller(self, get_caller_host(number), f"{seed}/{number}") for number in range(callers)
        ]
        self._prober = Prober(self, get_caller_host(callers))
        self._fault_injector = FaultInjector(self, seed, faults)

    def run(self, seconds):
        """Inject faults for a time, then check that the system recovers."""
        self._schedule_fault(self.loop.read_clock() + seconds)
        self.loop.call_later(seconds + RECOVERY_S, self._record_counts_after_faults)
        self.loop.call_later(seconds + RECOVERY_S + AFTER_RECOVERY_S, self.loop.stop)
        self.loop.run()
        self._check_recovery()
        for entry in self.entries:
            entry.stop()

    def _check_recovery(self):
        attempted = self.attempted - self._attempted_before
        share = (self.answered - self._answered_before) / max(1, attempted)
        if share < MIN_ANSWERED_SHARE:
            self.invariants.record_violation(
                f"only {share:.2f} of {attempted} attempts were answered after the faults"
            )

    # Called by faults.

    def list_servers(self):
        """Return the running servers that do not drain."""
        return [item for item in self._servers if item.is_alive and item.state == "ready"]

    def crash(self, server, reuse=False):
        """Stop a server abruptly; its store entry expires later, and another server replaces it.

        :param reuse: whether a server of the other service takes over the address.
        """
        self.invariants.record_disturbance()
        server.end()
        self.loop.call_later(
            REGISTRATION_LAPSE_S, lambda: self.store.delete(f"servers/{server.name}")
        )
        service = SERVICES[server.service == SERVICES[0]] if reuse else server.service
        host = server.host if reuse else None
        self.loop.call_later(2.2, lambda: self._add_server(service, server.zone, host))
        if reuse:
            self.loop.call_later(2.5, lambda: self._add_server(server.service, server.zone))

    def restart(self, server):
        """Restart a server under the same id."""
        self.invariants.record_disturbance()
        server.end()
        args = (server.service, server.zone, server.host, server.name)
        self.loop.call_later(0.5, lambda: self._add_server(*args))

    def drain(self, server):
        """Replace a server gracefully: start a new one, then drain the old one."""
        self._add_server(server.service, server.zone)
        server.set_draining()
        self.store.put(f"servers/{server.name}", server.describe())
        self.loop.call_later(DRAIN_BOUND_S + 1.0, lambda: self._leave(server))

    def expire_half_of_servers(self):
        """Delete the store entries of every other server although the servers run."""
        for server in self.list_servers()[::2]:
            self.store.delete(f"servers/{server.name}")

    def publish_servers(self):
        """Write the store entries of all running servers."""
        for server in self._servers:
            self.publish_server(server)

    def restore_store(self, copy):
        """Let the store come back from a copy; what was written since is written again."""
        self.store.restore(copy)
        self.store.status = None
        self.store.put("op/config", self._build_config())
        for zone in self.zones:
            if zone in self.invariants.domains_out_since_s:
                self.store.put(f"op/evacuate/{zone}", {})
            else:
                self.store.delete(f"op/evacuate/{zone}")
        self.loop.call_later(0.5, self.publish_servers)
        self.loop.call_later(REGISTRATION_LAPSE_S, self._remove_ended_servers)

    def publish_server(self, server):
        """Write the store entry of a server if it still runs."""
        if server.is_alive:
            self.store.put(f"servers/{server.name}", server.describe())

    def change_config(self, toggles_route):
        """Publish the next configuration version, optionally with changed routes."""
        self._version += self._random.randint(1, 5)
        if toggles_route:
            self._toggle_extra_route()
            if self._move_random.random() < MOVE_SHARE:
                self._move_route()
        self.store.put("op/config", self._build_config())
        self.invariants.record_version(self._services)

    def _toggle_extra_route(self):
        if EXTRA_ROUTE in self.routes:
            del self._services[EXTRA_ROUTE]
            self.invariants.record_dropped_route(EXTRA_ROUTE)
        else:
            self._services[EXTRA_ROUTE] = SERVICES[0]
            self.invariants.record_added_route(EXTRA_ROUTE)

    def _move_route(self):
        is_first = self._services[MOVING_ROUTE] == SERVICES[0]
        self._services[MOVING_ROUTE] = SERVICES[is_first]

    def _build_config(self):
        services = [
            {"Name": name, "HealthCheckPath": "/health", "MaxConnections": 2000, "ColdPerS": 0.0}
            for name in SERVICES
        ]
        return {
            "Version": self._version,
            "Routes": [self._describe_route(*item) for item in enumerate(self.routes)],
            "Services": services,
            "Limits": {"IdleTimeoutMs": 15000},
        }

    def take_out(self, zone):
        """Take a failure domain out for some seconds, unless one is out already."""
        if self.invariants.domains_out_since_s:
            return
        self.invariants.domains_out_since_s[zone] = self.loop.read_clock()
        self.store.put(f"op/evacuate/{zone}", {})
        self.loop.call_later(self._random.uniform(6, 9), lambda: self._bring_back(zone))

    def record_fault(self, name):
        """Record a fault for the report."""
        self.faults.append(f"{self.loop.read_clock():.2f} {name}")
        if not any(word in name for word in PLANNED_FAULTS + FAULTS_OF_ENTRIES):
            self.invariants.record_disturbance()

    # Called by callers.

    @property
    def routes(self):
        """The routes that are there."""
        return list(self._services)

    def choose_entry(self, key):
        """Return the entry that routers in front choose for a flow by hash."""
        ready = [entry for entry in self.entries if entry.is_ready]
        chosen = ready if len(ready) * 2 >= len(self.entries) else self.entries
        return chosen[hash(key) % len(chosen)]

    def _describe_route(self, index, route):
        host, port = route
        return {
            "Name": f"r-{index}",
            "Hostname": format_host(host),
            "Prefix": f"/{port}/",
            "Service": self._services[route],
        }

    def _add_server(self, service, zone, host=None, name=None):
        host = host or get_server_host(next(self._host_numbers))
        name = name or f"i-{next(self._server_numbers):04x}"
        server = Server(self, name, host, self.server_port, service, zone)
        self._servers.append(server)
        self.store.put(f"servers/{name}", server.describe())

    def _remove_ended_servers(self):
        living = {server.name for server in self._servers if server.is_alive}
        for name in {server.name for server in self._servers} - living:
            self.store.delete(f"servers/{name}")

    def _leave(self, server):
        if server.is_alive:
            server.end()
            self.store.delete(f"servers/{server.name}")

    def _bring_back(self, zone):
        del self.invariants.domains_out_since_s[zone]
        self.store.delete(f"op/evacuate/{zone}")

    def _schedule_fault(self, end):
        if self.loop.read_clock() < end:
            self._fault_injector.inject()
            pause = self._random.choice((0.3, 1.0, 2.0, 6.0))
            self.loop.call_later(pause, lambda: self._schedule_fault(end))

    def _record_counts_after_faults(self):
        self._attempted_before, self._answered_before = self.attempted, self.answered


def _draw_numbers(rng):
    """Yield the numbers of the servers, none of them twice."""
    yield from rng.sample(range(1, MAX_SERVER_NUMBER), MAX_SERVER_NUMBER - 1)
