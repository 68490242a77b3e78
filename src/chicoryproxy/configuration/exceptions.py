"""Resolves the objects that each exception covers and detects conflicts between exceptions."""

from collections.abc import Mapping
from datetime import date
from typing import Any

from msgspec import UNSET, Struct

from chicoryproxy.configuration.conversion import suggest_name
from chicoryproxy.configuration.document import Document, KeyPath
from chicoryproxy.configuration.layers import (
    KEYS,
    Layer,
    LayeredValue,
    LayeredValues,
    LayerKind,
    Scope,
    list_values,
)
from chicoryproxy.configuration.schema import Cover, WrittenConfiguration, WrittenException
from chicoryproxy.finding import FindingList

ALLOWED_COVERS: Mapping[Scope, str] = {
    Scope.INSTANCE: "`instance` alone",
    Scope.DOMAIN: "`region` or `domain`",
    Scope.SERVICE: "`service` alone",
    Scope.UPSTREAM: "`region`, `domain`, `service` or `upstream`",
}
"""Keys of ``cover`` that are allowed for a change of a key of each scope."""


class Target(Struct, frozen=True):
    """An object whose values an exception can change."""

    scope: Scope
    name: str

    def __str__(self) -> str:
        return f"{self.scope.value.partition(' ')[2]} `{self.name}`"


class _ExceptionValue(Struct):
    """The value that an exception sets for one key.

    :param index: position of the exception in the list of exceptions.
    :param path: path of the value in the document.
    :param changed: whether the value differs from the base value of at least one target.
    """

    index: int
    path: KeyPath
    value: LayeredValue
    changed: bool = False


class ExceptionIndex:
    """Index of the exceptions by the targets that they change.

    :param written: configuration that contains the exceptions.
    :param document: document that the configuration was converted from.
    :param today: date that ``until`` is compared with.
    :param findings: list that errors are added to.
    """

    def __init__(
        self,
        written: WrittenConfiguration,
        document: Document,
        today: date,
        findings: FindingList,
    ) -> None:
        self._written = written
        self._document = document
        self._findings = findings
        self._exception_values: list[_ExceptionValue] = []
        self._by_target: dict[Target, dict[str, _ExceptionValue]] = {}
        self._names = _NameIndex(written)
        for index, exception in enumerate(written.exceptions):
            self._check_expiry(index, exception, today)
            self._add_exception(index, exception)

    def apply(self, target: Target, base_values: LayeredValues) -> LayeredValues:
        """Return the values of a target with its exceptions applied.

        :param base_values: values of the target without exceptions.
        """
        by_key = self._by_target.get(target)
        if not by_key:
            return base_values
        values = dict(base_values)
        for key, change in by_key.items():
            change.changed |= base_values[key].value != change.value.value
            values[key] = change.value
        return values

    def list_targets(self, scope: Scope) -> list[Target]:
        """Return the targets of a scope that an exception changes, sorted by name."""
        targets = (target for target in self._by_target if target.scope is scope)
        return sorted(targets, key=lambda target: target.name)

    def check_ineffective_values(self) -> None:
        """Add a finding for each value that has no effect.

        Call this after ``apply`` was called for all targets.
        """
        for item in self._exception_values:
            if not item.changed:
                self._add(
                    item.path,
                    f"`{item.path[-1]}` changes nothing: its value is the same without the change",
                    "remove it",
                )

    def _check_expiry(self, index: int, exception: WrittenException, today: date) -> None:
        if isinstance(exception.until, date) and exception.until < today:
            self._add(
                ("exceptions", index, "until"),
                f"the exception ended on {exception.until.isoformat()}",
                "remove the exception, or set a later date if its reason still applies",
            )

    def _add_exception(self, index: int, exception: WrittenException) -> None:
        path: KeyPath = ("exceptions", index)
        values = list_values(exception.change)
        if not values and (*path, "change") in self._document.places:
            self._add((*path, "change"), "the exception changes nothing", "remove it")
        if not self._check_cover(path, exception.cover):
            return
        layer = Layer(
            LayerKind.EXCEPTION,
            self._document.get_place(path),
            exception.reason,
            exception.until.isoformat() if isinstance(exception.until, date) else "",
        )
        for key, value in values.items():
            self._add_value(index, exception.cover, key, LayeredValue(value, layer))

    def _check_cover(self, path: KeyPath, cover: Cover) -> bool:
        """Check that a cover is not empty and that the names in it exist."""
        cover_path: KeyPath = (*path, "cover")
        cover_names = get_cover_names(cover)
        if not cover_names:
            if cover_path in self._document.places:
                remedy = (
                    "specify a region, domain, service, upstream or instance, or use `defaults`"
                )
                self._add(cover_path, "the exception covers nothing", remedy)
            return False
        known = True
        for key, name in cover_names.items():
            names = self._names.list_names(key)
            if key != "instance" and name not in names:
                known = False
                self._add(
                    (*cover_path, key), f"there is no {key} `{name}`", suggest_name(name, names)
                )
        return known

    def _add_value(self, index: int, cover: Cover, key: str, value: LayeredValue) -> None:
        path: KeyPath = ("exceptions", index, "change", *key.split("."))
        scope = KEYS[key].scope
        if not _can_cover(cover, scope):
            message = f"`{key}` applies to {scope.value}, which the exception doesn't cover"
            self._add(path, message, f"cover {ALLOWED_COVERS[scope]}")
            return
        names = self._names.list_covered(cover, scope)
        if not names:
            message = f"the exception covers nothing that has `{key}`"
            self._add(("exceptions", index, "cover"), message, "correct `cover`")
            return
        exception_value = _ExceptionValue(index, path, value)
        self._exception_values.append(exception_value)
        overlaps: dict[int, list[Target]] = {}
        for name in names:
            target = Target(scope, name)
            first = self._by_target.setdefault(target, {}).setdefault(key, exception_value)
            if first is not exception_value:
                overlaps.setdefault(first.index, []).append(target)
        self._add_overlap_findings(exception_value, key, overlaps)

    def _add_overlap_findings(
        self, exception_value: _ExceptionValue, key: str, overlaps: Mapping[int, list[Target]]
    ) -> None:
        for first, targets in overlaps.items():
            exception_value.changed = True
            place = self._document.get_place(("exceptions", first))
            more = f" and {len(targets) - 1} more" if len(targets) > 1 else ""
            self._add(
                exception_value.path,
                f"`{key}` of {targets[0]}{more} is also changed by the exception at {place}",
                "narrow `cover` of one of the exceptions, or merge them",
            )

    def _add(self, path: KeyPath, message: str, remedy: str) -> None:
        self._findings.add(self._document.get_place(path), message, remedy)


def get_cover_names(cover: Cover) -> dict[str, str]:
    """Return the names in a cover by key."""
    names: dict[str, str] = {}
    for key in cover.__struct_fields__:
        name: Any = getattr(cover, key)
        if name is not UNSET:
            names[key] = str(name)
    return names


def _can_cover(cover: Cover, scope: Scope) -> bool:
    keys = get_cover_names(cover).keys()
    if scope is Scope.INSTANCE:
        return keys == {"instance"}
    if scope is Scope.SERVICE:
        return keys == {"service"}
    if scope is Scope.DOMAIN:
        return keys <= {"region", "domain"}
    return "instance" not in keys


class _UpstreamLocation(Struct, frozen=True):
    """The service, failure domain and region of an upstream."""

    upstream: str
    service: str
    domain: str
    region: str


class _NameIndex:
    """Index of all names in a configuration; resolves covers to names."""

    def __init__(self, written: WrittenConfiguration) -> None:
        self._regions = {name: domain.region for name, domain in written.domains.items()}
        self._services = written.services
        self._locations = {
            upstream: _UpstreamLocation(
                upstream, service, item.domain, self._regions.get(item.domain, "")
            )
            for service, body in written.services.items()
            for upstream, item in body.upstreams.items()
        }

    def list_names(self, key: str) -> set[str]:
        """Return the names that are valid for a key of a cover."""
        names = {
            "region": self._regions.values(),
            "domain": self._regions,
            "service": self._services,
            "upstream": self._locations,
        }
        return set(names.get(key, ()))

    def list_covered(self, cover: Cover, scope: Scope) -> list[str]:
        """Return the names of the objects of a scope that a cover selects."""
        cover_names = get_cover_names(cover)
        if scope is Scope.INSTANCE or scope is Scope.SERVICE:
            return list(cover_names.values())
        if scope is Scope.DOMAIN:
            selected = (cover_names.get("domain"), cover_names.get("region"))
            return [
                name
                for name, region in self._regions.items()
                if selected[0] in (None, name) and selected[1] in (None, region)
            ]
        return [
            location.upstream
            for location in self._select_candidates(cover_names)
            if _is_covered(location, cover_names)
        ]

    def _select_candidates(self, cover_names: Mapping[str, str]) -> list[_UpstreamLocation]:
        """Return the upstreams that can match.

        Only these are searched, because a cover that specifies a service or an upstream selects few
        upstreams of the fleet.
        """
        if "upstream" in cover_names:
            return [self._locations[cover_names["upstream"]]]
        if "service" in cover_names:
            upstreams = self._services[cover_names["service"]].upstreams
            return [self._locations[upstream] for upstream in upstreams]
        return list(self._locations.values())


def _is_covered(location: _UpstreamLocation, cover_names: Mapping[str, str]) -> bool:
    return all(getattr(location, key) == name for key, name in cover_names.items())
