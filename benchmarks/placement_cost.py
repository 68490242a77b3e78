"""Processor time of choosing the upstream of an opening.

Run with ``python -m benchmarks.placement_cost``.
"""

import argparse
import time

from benchmarks.placement_fleet import ROUTE, create_directory, name_domain
from chicoryproxy.forwarding.balancing.placement import Opening
from chicoryproxy.forwarding.forwarder import create_forwarder
from chicoryproxy.forwarding.model import FlowId, Revision
from chicoryproxy.forwarding.peers.peermessages import Heartbeat, LoadReport, PeerAddress
from chicoryproxy.forwarding.trafficobserver import TrafficObserver
from chicoryproxy.forwarding.view.lifetime import Lifetime

PEERS = 24
LOADS = 28


class _NullObserver(TrafficObserver):
    def record_handshake(self, duration_s: float) -> None:
        pass

    def record_response(self, duration_s: float) -> None:
        pass

    def record_suspicion(self, upstream: Lifetime, failures: int) -> None:
        pass

    def record_upstream_change(self, flow: FlowId, former: Lifetime, upstream: Lifetime) -> None:
        pass


def measure(upstreams: int, openings: int) -> float:
    """Return the microseconds of processor time of an opening."""
    directory = create_directory(upstreams)
    forwarder = create_forwarder(name_domain(0), directory, 0.0, _NullObserver())
    marks = [item.mark for item in directory.iterate_present()]
    for peer in range(PEERS):
        loads = tuple(
            LoadReport(marks[(peer * 7 + item) % upstreams], 2, 1)
            for item in range(min(LOADS, upstreams))
        )
        address = PeerAddress(peer + 1, 0)
        heartbeat = Heartbeat(address, Revision(1), 0.0, False, loads, (), ())
        forwarder.flows.peer_loads.handle_heartbeat(heartbeat, 0.0)
    started_s = time.process_time()
    for number in range(openings):
        flow_id = FlowId(number.to_bytes(12, "little"))
        upstream = forwarder.policy.choose(Opening(ROUTE, flow_id, (), ()), 1.0)
        assert upstream is not None
        flow = forwarder.flows.touch(flow_id, 1.0)
        forwarder.flows.assign(flow, upstream)
    return (time.process_time() - started_s) / openings * 1e6


def main() -> None:
    """Print the time for two numbers of candidates."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--openings", type=int, default=3000)
    options = parser.parse_args()
    print("| candidates | us an opening |")
    print("|---:|---:|")
    for upstreams in (60, 117):
        best = min(measure(upstreams, options.openings) for _ in range(5))
        print(f"| {upstreams} | {best:.1f} |")


if __name__ == "__main__":
    main()
