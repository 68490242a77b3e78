"""Errors that end a program or an operation; expected failures are returned as sentinels."""

import sys
from typing import TextIO

from chicoryproxy.finding import FindingList


class ChicoryError(Exception):
    """Base class of the errors that are shown to the user.

    :param message: one sentence.
    """

    def __init__(self, message: str) -> None:
        super().__init__(message)
        self.message = message

    def format_message(self) -> str:
        """Return the text that is shown to the user."""
        return self.message

    def show(self, file: TextIO | None = None) -> None:
        """Print the error.

        :param file: output stream; standard error by default.
        """
        print(f"Error: {self.format_message()}", file=file or sys.stderr)


class FindingsError(ChicoryError):
    """Validation of a file or of settings found errors.

    :param message: one sentence that names the invalid input.
    :param findings: all validation errors.
    """

    def __init__(self, message: str, findings: FindingList) -> None:
        super().__init__(message)
        self.findings = findings

    def format_message(self) -> str:
        """Return the message followed by all findings."""
        return f"{self.message}\n{self.findings.render()}"


class ConfigurationError(FindingsError):
    """The configuration of the fleet is invalid."""

    def __init__(self, findings: FindingList) -> None:
        super().__init__("the configuration is invalid", findings)


class SettingsError(FindingsError):
    """The settings of an instance are invalid."""

    def __init__(self, findings: FindingList) -> None:
        super().__init__("the instance settings are invalid", findings)
