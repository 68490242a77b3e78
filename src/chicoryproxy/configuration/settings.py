"""Settings of one instance, from a YAML file, environment variables and flags.

Each key can be set in the file, by an environment variable (``CHICORY_`` followed by the key in
capital letters) and by a flag; the later of these takes precedence. Values of all three sources
are validated in the same way, and all errors are reported together.
"""

from collections.abc import Mapping
from typing import Annotated

from msgspec import Meta, Struct, structs

from chicoryproxy.address import EndpointProblem, is_http_url, parse_endpoint
from chicoryproxy.configuration.conversion import (
    convert_document,
    get_hints,
    strip_optional,
    suggest_name,
)
from chicoryproxy.configuration.document import Data, Document, DocumentFault, KeyPath
from chicoryproxy.configuration.files import load_document
from chicoryproxy.configuration.logformat import LogFormat
from chicoryproxy.configuration.notation import Count, DurationText, EndpointText, Name, UrlText
from chicoryproxy.configuration.quantity import QuantityFault, parse_duration
from chicoryproxy.errors import SettingsError
from chicoryproxy.finding import FindingList, Place
from chicoryproxy.ids import DomainId, InstanceId, RegionId
from chicoryproxy.model import Endpoint

ENVIRONMENT_PREFIX = "CHICORY_"

_PLACEHOLDER_ENDPOINT = Endpoint("0.0.0.0", 0)


class WrittenSettings(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Schema of the settings file; the descriptions of the keys document them."""

    instance: Annotated[Name, Meta(description="name of this instance, unique in the fleet")]
    domain: Annotated[Name, Meta(description="failure domain that this instance runs in")]
    region: Annotated[Name, Meta(description="region that the failure domain belongs to")]
    data: Annotated[
        EndpointText,
        Meta(description="address at which the entry receives IP-in-UDP packets (UDP)"),
    ]
    peer: Annotated[
        EndpointText,
        Meta(description="address at which the entry receives messages of other entries (UDP)"),
    ]
    view: Annotated[
        EndpointText,
        Meta(
            description="address at which the view receives messages of other views (UDP and TCP)"
        ),
    ]
    link: Annotated[
        EndpointText,
        Meta(description="address at which the view accepts the connection of its own entry (TCP)"),
    ] = "127.0.0.1:7104"
    control: Annotated[
        EndpointText,
        Meta(description="address at which `chicory-ctl` reads the state of this instance (TCP)"),
    ] = "127.0.0.1:7105"
    platform: Annotated[UrlText, Meta(description="URL of the platform's service")]
    fabric: Annotated[
        EndpointText,
        Meta(description="address that return packets through the entry are sent to, as IP-in-UDP"),
    ]
    key_file: Annotated[
        str,
        Meta(description="file with the key for messages between instances; empty for no key"),
    ] = ""
    previous_key_file: Annotated[
        str,
        Meta(description="file with a key that is also accepted during key rotation"),
    ] = ""
    statsd: Annotated[
        EndpointText | None,
        Meta(description="address that metrics are sent to (UDP); if not set, none are sent"),
    ] = None
    log_format: Annotated[
        LogFormat,
        Meta(
            description="format of log lines; `auto` is `human` on a terminal and `json` elsewhere"
        ),
    ] = LogFormat.AUTO
    log_sample: Annotated[
        Count,
        Meta(description="log one in this many repeated identical decisions"),
    ] = 1
    drain_timeout: Annotated[
        DurationText, Meta(description="maximum duration of a graceful stop")
    ] = "30s"


class Settings(Struct, frozen=True, kw_only=True):
    """Validated settings of one instance.

    :param data: address at which the entry receives IP-in-UDP packets.
    :param peer: address at which the entry receives messages of other entries.
    :param view: address at which the view receives messages of other views.
    :param link: address at which the view accepts the connection of its own entry.
    :param control: address at which ``chicory-ctl`` reads the state.
    :param platform: URL of the platform's service, without a trailing slash.
    :param fabric: address that return packets through the entry are sent to, as IP-in-UDP.
    :param key_file: file with the key for messages between instances; empty for no key.
    :param previous_key_file: file with a key that is also accepted; empty if none is.
    :param statsd: address that metrics are sent to; ``None`` if none are sent.
    :param log_format: format of the log lines.
    :param log_sample: one in this many repeated identical decisions is logged.
    :param drain_timeout_s: maximum duration of a graceful stop, in seconds.
    """

    instance: InstanceId
    domain: DomainId
    region: RegionId
    data: Endpoint
    peer: Endpoint
    view: Endpoint
    platform: str
    fabric: Endpoint
    link: Endpoint = Endpoint("127.0.0.1", 7104)
    control: Endpoint = Endpoint("127.0.0.1", 7105)
    key_file: str = ""
    previous_key_file: str = ""
    statsd: Endpoint | None = None
    log_format: LogFormat = LogFormat.AUTO
    log_sample: int = 1
    drain_timeout_s: float = 30.0


def load_settings(path: str, environ: Mapping[str, str], overrides: Mapping[str, str]) -> Settings:
    """Load and validate the settings of an instance.

    :param path: YAML file; if empty, all keys come from ``environ`` and ``overrides``.
    :param environ: environment variables; only those that start with ``CHICORY_`` are read.
    :param overrides: values of flags by key; they take precedence over the environment.
    :raises SettingsError: if there are findings; contains all of them.
    """
    findings = FindingList()
    document: Document | DocumentFault = Document(path or "settings", {}, {})
    if path:
        document = load_document(path, findings)
    if isinstance(document, DocumentFault):
        raise SettingsError(findings)
    return create_settings(document, environ, overrides, findings)


def create_settings(
    document: Document,
    environ: Mapping[str, str],
    overrides: Mapping[str, str],
    findings: FindingList,
) -> Settings:
    """Validate a document with its overrides.

    :param findings: errors found so far; further errors are added.
    :raises SettingsError: if there are findings; contains all of them.
    """
    document = _apply_overrides(document, _collect_overrides(environ, overrides, findings))
    written = convert_document(document, WrittenSettings, findings)
    settings = _SettingsChecker(document, findings).check(written)
    if findings:
        raise SettingsError(findings)
    return settings


class _Override(Struct, frozen=True):
    """A value from an environment variable or a flag."""

    key: str
    text: str
    place: Place


def _collect_overrides(
    environ: Mapping[str, str], overrides: Mapping[str, str], findings: FindingList
) -> list[_Override]:
    """Return the values of the environment, followed by those of the flags."""
    known = get_hints(WrittenSettings)
    collected = []
    for variable in sorted(environ):
        if not variable.startswith(ENVIRONMENT_PREFIX):
            continue
        key = variable.removeprefix(ENVIRONMENT_PREFIX).lower()
        place = Place(f"environment variable {variable}")
        if key not in known:
            variables = [ENVIRONMENT_PREFIX + name.upper() for name in known]
            findings.add(place, "unknown setting", suggest_name(variable, variables))
            continue
        collected.append(_Override(key, environ[variable], place))
    for key, text in overrides.items():
        place = Place(f"flag --{key.replace('_', '-')}")
        if key not in known:
            findings.add(place, "unknown setting", suggest_name(key, known))
            continue
        collected.append(_Override(key, text, place))
    return collected


def _apply_overrides(document: Document, overrides: list[_Override]) -> Document:
    """Return the document with the overrides applied."""
    if document.data is None:
        document = structs.replace(document, data={})
    if not isinstance(document.data, dict):
        return document
    hints = get_hints(WrittenSettings)
    data: dict[str, Data] = dict(document.data)
    places: dict[KeyPath, Place] = dict(document.places)
    for override in overrides:
        value: Data = override.text
        if strip_optional(hints[override.key]) is int and override.text.isdecimal():
            value = int(override.text)
        data[override.key] = value
        places[(override.key,)] = override.place
    return Document(document.source, data, places)


class _SettingsChecker:
    """Performs the checks that types can't express, and creates the settings."""

    def __init__(self, document: Document, findings: FindingList) -> None:
        self._document = document
        self._findings = findings

    def check(self, written: WrittenSettings) -> Settings:
        endpoints = {
            key: self._check_endpoint(key, getattr(written, key))
            for key in ("data", "peer", "view", "link", "control", "fabric")
        }
        self._check_distinct_endpoints(endpoints)
        self._check_platform(written.platform)
        if written.previous_key_file and not written.key_file:
            self._add("previous_key_file", "`key_file` is not set", "add `key_file`")
        drain_timeout_s = parse_duration(written.drain_timeout)
        assert not isinstance(drain_timeout_s, QuantityFault)
        return Settings(
            instance=InstanceId(written.instance),
            domain=DomainId(written.domain),
            region=RegionId(written.region),
            data=endpoints["data"],
            peer=endpoints["peer"],
            view=endpoints["view"],
            link=endpoints["link"],
            control=endpoints["control"],
            platform=written.platform.rstrip("/"),
            fabric=endpoints["fabric"],
            key_file=written.key_file,
            previous_key_file=written.previous_key_file,
            statsd=self._check_endpoint("statsd", written.statsd) if written.statsd else None,
            log_format=written.log_format,
            log_sample=written.log_sample,
            drain_timeout_s=drain_timeout_s,
        )

    def _check_endpoint(self, key: str, text: str) -> Endpoint:
        endpoint = parse_endpoint(text)
        if isinstance(endpoint, Endpoint):
            return endpoint
        # An empty string was already reported as missing.
        if text:
            self._add_endpoint_finding(key, text, endpoint)
        return _PLACEHOLDER_ENDPOINT

    def _add_endpoint_finding(self, key: str, text: str, fault: EndpointProblem) -> None:
        self._add(
            key,
            f"invalid endpoint `{text}`: {fault.value}",
            "write a value such as 10.0.0.7:6080 or '[2001:db8::7]:6080'",
        )

    def _check_distinct_endpoints(self, endpoints: Mapping[str, Endpoint]) -> None:
        """Add a finding if two sockets of this instance have the same address."""
        first_keys: dict[Endpoint, str] = {}
        for key, endpoint in endpoints.items():
            if key == "fabric" or endpoint == _PLACEHOLDER_ENDPOINT:
                continue
            if endpoint in first_keys:
                message = f"`{key}` and `{first_keys[endpoint]}` are the same endpoint"
                self._add(key, message, "use a different port for one of them")
            first_keys.setdefault(endpoint, key)

    def _check_platform(self, url: str) -> None:
        if url and not is_http_url(url):
            self._add(
                "platform",
                f"`{url}` is not an HTTP or HTTPS URL",
                "write a value such as http://10.0.0.2:8500",
            )

    def _add(self, key: str, message: str, remedy: str) -> None:
        self._findings.add(self._document.get_place((key,)), message, remedy)
