"""Checks that the domains, services and upstreams of a configuration are consistent."""

from collections.abc import Mapping
from typing import TypeVar

from msgspec import UNSET, Struct

from chicoryproxy.address import EndpointProblem, is_http_url, is_unicast, parse_endpoint
from chicoryproxy.configuration.conversion import suggest_name
from chicoryproxy.configuration.document import Document, KeyPath
from chicoryproxy.configuration.schema import WrittenConfiguration, WrittenProtocol, WrittenService
from chicoryproxy.finding import FindingList
from chicoryproxy.ids import ServiceId, UpstreamId
from chicoryproxy.model import Endpoint, ServiceAddress
from chicoryproxy.states import Protocol

T = TypeVar("T")

PROTOCOLS: Mapping[WrittenProtocol, Protocol] = {
    WrittenProtocol.TCP: Protocol.TCP,
    WrittenProtocol.UDP: Protocol.UDP,
}


class Inventory(Struct, frozen=True):
    """The valid endpoints of a configuration.

    :param addresses: addresses of each service, in the order of the file.
    :param upstreams: endpoint of each upstream.
    """

    addresses: Mapping[ServiceId, tuple[ServiceAddress, ...]]
    upstreams: Mapping[UpstreamId, Endpoint]


def check_inventory(
    written: WrittenConfiguration, document: Document, findings: FindingList
) -> Inventory:
    """Check all services and upstreams; invalid endpoints are omitted from the result.

    :param findings: list that errors are added to.
    """
    return _InventoryChecker(written, document, findings).check()


class _InventoryChecker:
    """Checks all services and records the first use of each endpoint and name."""

    def __init__(
        self, written: WrittenConfiguration, document: Document, findings: FindingList
    ) -> None:
        self._written = written
        self._document = document
        self._findings = findings
        self._address_paths: dict[ServiceAddress, KeyPath] = {}
        self._endpoint_paths: dict[Endpoint, KeyPath] = {}
        self._upstream_paths: dict[str, KeyPath] = {}
        self._addresses: dict[ServiceId, tuple[ServiceAddress, ...]] = {}
        self._upstreams: dict[UpstreamId, Endpoint] = {}

    def check(self) -> Inventory:
        for name, service in self._written.services.items():
            self._addresses[ServiceId(name)] = self._check_addresses(name, service)
            self._check_upstreams(name, service)
        self._check_routing_loops()
        return Inventory(self._addresses, self._upstreams)

    def _check_addresses(self, name: str, service: WrittenService) -> tuple[ServiceAddress, ...]:
        path: KeyPath = ("services", name, "addresses")
        if not service.addresses and path in self._document.places:
            self._add(path, f"`{name}` has no address", "add one, or remove the service")
        addresses = []
        for index, text in enumerate(service.addresses):
            endpoint = self._check_endpoint((*path, index), text)
            if endpoint is None:
                continue
            address = ServiceAddress(endpoint.host, endpoint.port, PROTOCOLS[service.protocol])
            self._check_unique(self._address_paths, address, (*path, index), text)
            addresses.append(address)
        return tuple(addresses)

    def _check_upstreams(self, name: str, service: WrittenService) -> None:
        path: KeyPath = ("services", name, "upstreams")
        if not service.upstreams and path in self._document.places:
            self._add(path, f"`{name}` has no upstream", "add one, or remove the service")
        for upstream, written in service.upstreams.items():
            upstream_path: KeyPath = (*path, upstream)
            self._check_unique(self._upstream_paths, upstream, upstream_path, upstream)
            self._check_domain(upstream_path, written.domain)
            if written.health is not UNSET and not is_http_url(str(written.health)):
                message = f"`{written.health}` is not an HTTP or HTTPS URL"
                self._add(
                    (*upstream_path, "health"),
                    message,
                    "write a value such as http://10.0.0.7:9000/",
                )
            endpoint = self._check_endpoint((*upstream_path, "address"), written.address)
            if endpoint is None:
                continue
            self._check_unique(
                self._endpoint_paths, endpoint, (*upstream_path, "address"), written.address
            )
            self._upstreams[UpstreamId(upstream)] = endpoint

    def _check_domain(self, path: KeyPath, domain: str) -> None:
        # An empty string was already reported as missing.
        if domain and domain not in self._written.domains:
            message = f"`{domain}` is not a failure domain in `domains`"
            self._add((*path, "domain"), message, suggest_name(domain, self._written.domains))

    def _check_endpoint(self, path: KeyPath, text: str) -> Endpoint | None:
        if not text:
            return None
        endpoint = parse_endpoint(text)
        if isinstance(endpoint, EndpointProblem):
            remedy = "write a value such as 10.0.0.7:6080 or '[2001:db8::7]:6080'"
            self._add(path, f"invalid endpoint `{text}`: {endpoint.value}", remedy)
            return None
        if not is_unicast(endpoint.host):
            message = f"invalid endpoint `{text}`: the IP address is not a unicast address"
            self._add(path, message, "write the IP address of one host")
            return None
        return endpoint

    def _check_unique(
        self, first_paths: dict[T, KeyPath], value: T, path: KeyPath, text: str
    ) -> None:
        """Add a finding if a value was already used."""
        if value not in first_paths:
            first_paths[value] = path
            return
        place = self._document.get_place(first_paths[value])
        self._add(path, f"`{text}` is already used at {place}", "use a different value for each")

    def _check_routing_loops(self) -> None:
        """Add findings for upstreams whose packets the fabric would route back to an entry."""
        hosts = {address.host for address in self._address_paths}
        for endpoint, path in self._endpoint_paths.items():
            if endpoint.host in hosts:
                self._add(
                    path,
                    f"`{endpoint.host}` is an address of a service, so packets would loop",
                    "write the upstream's own IP address",
                )

    def _add(self, path: KeyPath, message: str, remedy: str) -> None:
        self._findings.add(self._document.get_place(path), message, remedy)
