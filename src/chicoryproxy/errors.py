"""The errors that end a program or an operation; expected failures are sentinels instead."""

import sys
from typing import TextIO

from chicoryproxy.finding import FindingList


class ChicoryError(Exception):
    """Base of the errors that are shown to a person.

    :param message: one sentence.
    """

    def __init__(self, message: str) -> None:
        super().__init__(message)
        self.message = message

    def format_message(self) -> str:
        """Return the text for a person."""
        return self.message

    def show(self, file: TextIO | None = None) -> None:
        """Print the error.

        :param file: where to print; standard error if not given.
        """
        print(f"Error: {self.format_message()}", file=file or sys.stderr)


class FindingsError(ChicoryError):
    """Something that an operator wrote has faults.

    :param message: one sentence that says what was read.
    :param findings: all faults.
    """

    def __init__(self, message: str, findings: FindingList) -> None:
        super().__init__(message)
        self.findings = findings

    def format_message(self) -> str:
        """Return the sentence followed by all findings."""
        return f"{self.message}\n{self.findings.render()}"


class ConfigurationError(FindingsError):
    """The fleet's configuration has faults."""

    def __init__(self, findings: FindingList) -> None:
        super().__init__("the configuration can't be used", findings)


class SettingsError(FindingsError):
    """The settings of an instance have faults."""

    def __init__(self, findings: FindingList) -> None:
        super().__init__("the instance settings can't be used", findings)
