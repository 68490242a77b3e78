"""Finds what each exception covers, and checks exceptions against each other."""

from collections.abc import Mapping
from datetime import date
from typing import Any

from msgspec import UNSET, Struct

from chicoryproxy.configuration.conversion import suggest_name
from chicoryproxy.configuration.document import Document, Path
from chicoryproxy.configuration.layers import (
    KEYS,
    Layer,
    LayeredValue,
    LayeredValues,
    LayerKind,
    Level,
    list_values,
)
from chicoryproxy.configuration.schema import Cover, WrittenConfiguration, WrittenException
from chicoryproxy.finding import FindingList

COVER_KEYS: Mapping[Level, str] = {
    Level.INSTANCE: "`instance` alone",
    Level.DOMAIN: "`region` or `domain`",
    Level.SERVICE: "`service` alone",
    Level.UPSTREAM: "`region`, `domain`, `service` or `upstream`",
}
"""What an exception may cover to change a key of a level."""


class Target(Struct, frozen=True):
    """Something that an exception changes."""

    level: Level
    name: str

    def __str__(self) -> str:
        return f"{self.level.value.partition(' ')[2]} `{self.name}`"


class _Applied(Struct):
    """An exception's value of one key.

    :param changed: whether it differs from the value below on any target.
    """

    index: int
    path: Path
    value: LayeredValue
    changed: bool = False


class ExceptionIndex:
    """The exceptions by what they change.

    :param written: the configuration that holds the exceptions.
    :param document: the document that it was read from.
    :param today: day that ``until`` is compared with.
    :param findings: takes what is wrong.
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
        self._applied: list[_Applied] = []
        self._by_target: dict[Target, dict[str, _Applied]] = {}
        self._catalogue = _Catalogue(written)
        for index, exception in enumerate(written.exceptions):
            self._check_day(index, exception, today)
            self._add_exception(index, exception)

    def apply(self, target: Target, below: LayeredValues) -> LayeredValues:
        """Return the values of a target with its exceptions in force.

        :param below: its values without exceptions.
        """
        applied = self._by_target.get(target)
        if not applied:
            return below
        values = dict(below)
        for key, change in applied.items():
            change.changed |= below[key].value != change.value.value
            values[key] = change.value
        return values

    def list_targets(self, level: Level) -> list[Target]:
        """Return the targets of a level that an exception changes, in the order of their names."""
        targets = (target for target in self._by_target if target.level is level)
        return sorted(targets, key=lambda target: target.name)

    def check_effect(self) -> None:
        """Add a finding for each value that changed nothing; call it after all ``apply``."""
        for applied in self._applied:
            if not applied.changed:
                self._add(
                    applied.path,
                    f"`{applied.path[-1]}` changes nothing: the value holds without the exception",
                    "remove it",
                )

    def _check_day(self, index: int, exception: WrittenException, today: date) -> None:
        if isinstance(exception.until, date) and exception.until < today:
            self._add(
                ("exceptions", index, "until"),
                f"the exception ended on {exception.until.isoformat()}",
                "remove the exception, or set a later day if its reason still holds",
            )

    def _add_exception(self, index: int, exception: WrittenException) -> None:
        path: Path = ("exceptions", index)
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

    def _check_cover(self, path: Path, cover: Cover) -> bool:
        """Check that the names of a cover exist and that it covers something."""
        here: Path = (*path, "cover")
        named = list_covered(cover)
        if not named:
            if here in self._document.places:
                remedy = "name a region, domain, service, upstream or instance, or use `defaults`"
                self._add(here, "the exception covers nothing", remedy)
            return False
        known = True
        for key, name in named.items():
            names = self._catalogue.list_names(key)
            if key != "instance" and name not in names:
                known = False
                self._add((*here, key), f"there is no {key} `{name}`", suggest_name(name, names))
        return known

    def _add_value(self, index: int, cover: Cover, key: str, value: LayeredValue) -> None:
        path: Path = ("exceptions", index, "change", *key.split("."))
        level = KEYS[key].level
        if not _can_cover(cover, level):
            message = f"`{key}` belongs to {level.value}, which the exception doesn't cover"
            self._add(path, message, f"cover {COVER_KEYS[level]}")
            return
        names = self._catalogue.list_covered(cover, level)
        if not names:
            message = f"the exception covers nothing that has `{key}`"
            self._add(("exceptions", index, "cover"), message, "correct the cover")
            return
        applied = _Applied(index, path, value)
        self._applied.append(applied)
        overlaps: dict[int, list[Target]] = {}
        for name in names:
            target = Target(level, name)
            first = self._by_target.setdefault(target, {}).setdefault(key, applied)
            if first is not applied:
                overlaps.setdefault(first.index, []).append(target)
        self._add_overlaps(applied, key, overlaps)

    def _add_overlaps(
        self, applied: _Applied, key: str, overlaps: Mapping[int, list[Target]]
    ) -> None:
        for first, targets in overlaps.items():
            applied.changed = True
            place = self._document.get_place(("exceptions", first))
            more = f" and {len(targets) - 1} more" if len(targets) > 1 else ""
            self._add(
                applied.path,
                f"`{key}` of {targets[0]}{more} is changed by the exception at {place} too",
                "narrow the cover of one of them, or merge them",
            )

    def _add(self, path: Path, message: str, remedy: str) -> None:
        self._findings.add(self._document.get_place(path), message, remedy)


def list_covered(cover: Cover) -> dict[str, str]:
    """Return the names that a cover gives, by their key."""
    named: dict[str, str] = {}
    for key in cover.__struct_fields__:
        name: Any = getattr(cover, key)
        if name is not UNSET:
            named[key] = str(name)
    return named


def _can_cover(cover: Cover, level: Level) -> bool:
    keys = list_covered(cover).keys()
    if level is Level.INSTANCE:
        return keys == {"instance"}
    if level is Level.SERVICE:
        return keys == {"service"}
    if level is Level.DOMAIN:
        return keys <= {"region", "domain"}
    return "instance" not in keys


class _Member(Struct, frozen=True):
    """An upstream with what surrounds it."""

    upstream: str
    service: str
    domain: str
    region: str


class _Catalogue:
    """All names of a configuration, and which upstreams a cover holds."""

    def __init__(self, written: WrittenConfiguration) -> None:
        self._regions = {name: domain.region for name, domain in written.domains.items()}
        self._services = written.services
        self._members = {
            upstream: _Member(upstream, service, item.domain, self._regions.get(item.domain, ""))
            for service, body in written.services.items()
            for upstream, item in body.upstreams.items()
        }

    def list_names(self, key: str) -> set[str]:
        """Return the names that a key of a cover may give."""
        names = {
            "region": self._regions.values(),
            "domain": self._regions,
            "service": self._services,
            "upstream": self._members,
        }
        return set(names.get(key, ()))

    def list_covered(self, cover: Cover, level: Level) -> list[str]:
        """Return the names of what a cover holds at a level."""
        named = list_covered(cover)
        if level is Level.INSTANCE or level is Level.SERVICE:
            return list(named.values())
        if level is Level.DOMAIN:
            wanted = (named.get("domain"), named.get("region"))
            return [
                name
                for name, region in self._regions.items()
                if wanted[0] in (None, name) and wanted[1] in (None, region)
            ]
        return [member.upstream for member in self._select(named) if _matches(member, named)]

    def _select(self, named: Mapping[str, str]) -> list[_Member]:
        """Return the few members that can match when a cover names a service or an upstream."""
        if "upstream" in named:
            return [self._members[named["upstream"]]]
        if "service" in named:
            upstreams = self._services[named["service"]].upstreams
            return [self._members[upstream] for upstream in upstreams]
        return list(self._members.values())


def _matches(member: _Member, named: Mapping[str, str]) -> bool:
    return all(getattr(member, key) == name for key, name in named.items())
