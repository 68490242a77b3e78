"""Findings: validation errors with their source location and a suggested fix."""

from collections.abc import Iterable, Iterator

from msgspec import Struct


class Place(Struct, frozen=True, order=True):
    """Source location of a value.

    :param source: name of a file, an environment variable or a command-line flag.
    :param line: line number, starting at 1; 0 if the source has no lines.
    :param column: column number, starting at 1; 0 if the source has no lines.
    """

    source: str
    line: int = 0
    column: int = 0

    def __str__(self) -> str:
        if not self.line:
            return self.source
        return f"{self.source}:{self.line}:{self.column}"


class Finding(Struct, frozen=True, order=True):
    """One validation error.

    :param place: source location of the invalid value.
    :param message: description of the error.
    :param remedy: suggested fix.
    """

    place: Place
    message: str
    remedy: str

    def __str__(self) -> str:
        return f"{self.place}: {self.message}\n    {self.remedy}"


class FindingList:
    """Collects findings, so that all of them are reported together.

    A list is true if it contains a finding. Iteration yields the findings sorted by source
    location, without duplicates.
    """

    def __init__(self) -> None:
        self._findings: set[Finding] = set()

    def add(self, place: Place, message: str, remedy: str) -> None:
        """Add a finding.

        :param place: source location of the invalid value.
        :param message: description of the error, without a trailing period.
        :param remedy: suggested fix, without a trailing period.
        """
        self._findings.add(Finding(place, message, remedy))

    def extend(self, findings: Iterable[Finding]) -> None:
        """Add all findings of an iterable."""
        self._findings.update(findings)

    def render(self) -> str:
        """Format all findings, followed by a line with their number."""
        lines = [str(finding) for finding in self]
        noun = "finding" if len(self) == 1 else "findings"
        lines.append(f"{len(self)} {noun}")
        return "\n".join(lines)

    def __iter__(self) -> Iterator[Finding]:
        return iter(sorted(self._findings))

    def __len__(self) -> int:
        return len(self._findings)
