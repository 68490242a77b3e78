"""Findings: what is wrong in an operator's file, where, and how to mend it."""

from collections.abc import Iterable, Iterator

from msgspec import Struct


class Place(Struct, frozen=True, order=True):
    """Where a value was written.

    :param source: file name, or the name of an environment variable or a flag.
    :param line: line from 1; 0 if the source has no lines.
    :param column: column from 1; 0 if the source has no lines.
    """

    source: str
    line: int = 0
    column: int = 0

    def __str__(self) -> str:
        if not self.line:
            return self.source
        return f"{self.source}:{self.line}:{self.column}"


class Finding(Struct, frozen=True, order=True):
    """One fault.

    :param place: where it is.
    :param message: what is wrong.
    :param remedy: what to write instead.
    """

    place: Place
    message: str
    remedy: str

    def __str__(self) -> str:
        return f"{self.place}: {self.message}\n    {self.remedy}"


class FindingList:
    """Collects findings so that they are reported together.

    A list is true when it holds a finding. Iteration gives the findings in the order of their
    places, each once.
    """

    def __init__(self) -> None:
        self._findings: set[Finding] = set()

    def add(self, place: Place, message: str, remedy: str) -> None:
        """Add a finding.

        :param place: where it is.
        :param message: what is wrong, without a full stop.
        :param remedy: what to write instead, without a full stop.
        """
        self._findings.add(Finding(place, message, remedy))

    def extend(self, findings: Iterable[Finding]) -> None:
        """Add several findings."""
        self._findings.update(findings)

    def render(self) -> str:
        """Return the findings as text, one after the other, and their number."""
        lines = [str(finding) for finding in self]
        noun = "finding" if len(self) == 1 else "findings"
        lines.append(f"{len(self)} {noun}")
        return "\n".join(lines)

    def __iter__(self) -> Iterator[Finding]:
        return iter(sorted(self._findings))

    def __len__(self) -> int:
        return len(self._findings)
