"""``chicory-check``: validates configurations and settings, and previews changes."""

import sys
from collections.abc import Sequence
from dataclasses import dataclass
from datetime import date
from enum import IntEnum, unique
from pathlib import Path
from typing import Annotated

import cappa
import msgspec
from rich.console import Console

from chicoryproxy.commands.checkreport import print_comparison, print_effective_values
from chicoryproxy.commands.comparison import compare
from chicoryproxy.commands.console import create_console
from chicoryproxy.configuration.configuration import (
    EffectiveConfiguration,
    EffectiveValue,
    ServiceFault,
    create_configuration,
)
from chicoryproxy.configuration.conversion import suggest_name
from chicoryproxy.configuration.document import Document, DocumentFault
from chicoryproxy.configuration.files import load_document
from chicoryproxy.configuration.folder import FolderFault, read_version, write_publication
from chicoryproxy.configuration.keytable import render_rows
from chicoryproxy.configuration.options import VERSION
from chicoryproxy.configuration.published import PublishedFault
from chicoryproxy.configuration.schema import WrittenConfiguration
from chicoryproxy.configuration.settings import WrittenSettings, create_settings
from chicoryproxy.configuration.splitter import split_configuration
from chicoryproxy.errors import ChicoryError, ConfigurationError, FindingsError
from chicoryproxy.finding import FindingList
from chicoryproxy.ids import ServiceId, Version

SCHEMA_DIALECT = "https://json-schema.org/draft/2020-12/schema"
FIRST_VERSION = Version(1)

_EXIT_CODES_HELP = "Exit codes: 0 no findings, 1 findings, 2 usage error or unreadable file."


@unique
class ExitCode(IntEnum):
    """Exit codes of ``chicory-check``."""

    SUCCESS = 0
    FINDINGS = 1
    USAGE_ERROR = 2


class UsageError(ChicoryError):
    """An argument is invalid, or a file can't be read or written."""


_FileArgument = Annotated[
    str,
    cappa.Arg(value_name="FILE", help="YAML or JSON file of the fleet, or a folder of such files."),
]
_DayOption = Annotated[
    date | None,
    cappa.Arg(
        long="--day",
        help="Day that `until` is compared with, such as 2027-03-31; default: today.",
    ),
]


@cappa.command(
    name="config",
    help="Validate a configuration.",
    epilog=f"Example: chicory-check config fleet.yaml --effective qa-desk\n\n{_EXIT_CODES_HELP}",
)
@dataclass
class ConfigCommand:
    """Validates a configuration, or shows the effective values of a service."""

    file: _FileArgument
    effective: Annotated[
        str | None,
        cappa.Arg(
            long=True,
            value_name="SERVICE",
            help="Show the effective values of a service and their origins.",
        ),
    ] = None
    day: _DayOption = None

    def run(self, console: Console) -> None:
        """Validate the file and print the result."""
        effective = _load_configuration(self.file, self.day or date.today())
        if self.effective is not None:
            print_effective_values(
                console, _list_effective_values(effective, ServiceId(self.effective))
            )
            return
        services = effective.configuration.services
        upstreams = sum(len(service.upstreams) for service in services)
        console.print(f"{self.file}: no findings; {len(services)} services, {upstreams} upstreams")


@cappa.command(
    name="diff",
    help="Preview the effect of a change before it is published.",
    epilog=f"Example: chicory-check diff fleet.yaml changed.yaml\n\n{_EXIT_CODES_HELP}",
)
@dataclass
class DiffCommand:
    """Compares two configurations."""

    old: Annotated[
        str, cappa.Arg(value_name="OLD", help="File or folder of the current configuration.")
    ]
    new: Annotated[
        str, cappa.Arg(value_name="NEW", help="File or folder of the configuration to publish.")
    ]
    flows_per_upstream: Annotated[
        int,
        cappa.Arg(
            long=True,
            help="Open flows per upstream; 0 assumes its capacity in connections.",
        ),
    ] = 0
    day: _DayOption = None

    def run(self, console: Console) -> None:
        """Compare the configurations and print the result."""
        if self.flows_per_upstream < 0:
            raise UsageError("--flows-per-upstream can't be negative")
        # Exceptions of the current configuration apply even after their last day.
        old = _load_configuration(self.old, date.min)
        new = _load_configuration(self.new, self.day or date.today())
        comparison = compare(old.configuration, new.configuration, self.flows_per_upstream)
        print_comparison(console, comparison)


@cappa.command(
    name="settings",
    help="Validate the settings of an instance.",
    epilog=f"Example: chicory-check settings instance.yaml\n\n{_EXIT_CODES_HELP}",
)
@dataclass
class SettingsCommand:
    """Validates a settings file on its own, without environment variables."""

    file: Annotated[
        str, cappa.Arg(value_name="FILE", help="YAML file with the instance's settings.")
    ]

    def run(self, console: Console) -> None:
        """Validate the file and print the result."""
        findings = FindingList()
        settings = create_settings(_load_document(self.file, findings), {}, {}, findings)
        console.print(f"{self.file}: no findings; instance {settings.instance}")


@cappa.command(
    name="schema",
    help="Print the JSON Schema of the fleet file, for editors.",
    epilog=(
        "Example: chicory-check schema > fleet.schema.json\n\n"
        "Exit codes: 0 success, 2 usage error."
    ),
)
@dataclass
class SchemaCommand:
    """Prints a JSON Schema."""

    settings: Annotated[
        bool, cappa.Arg(long=True, help="Print the schema of the instance settings instead.")
    ] = False

    def run(self, _console: Console) -> None:
        """Print the schema."""
        kind = WrittenSettings if self.settings else WrittenConfiguration
        schema = {"$schema": SCHEMA_DIALECT, **msgspec.json.schema(kind)}
        print(msgspec.json.format(msgspec.json.encode(schema), indent=2).decode())


@cappa.command(
    name="keys",
    help="Print a Markdown table that documents each key.",
    epilog="Example: chicory-check keys --settings\n\nExit codes: 0 success, 2 usage error.",
)
@dataclass
class KeysCommand:
    """Prints the documentation of the keys that the schema defines."""

    settings: Annotated[
        bool, cappa.Arg(long=True, help="Print the keys of the instance settings instead.")
    ] = False

    def run(self, _console: Console) -> None:
        """Print the table."""
        print(render_rows(WrittenSettings if self.settings else WrittenConfiguration))


@cappa.command(
    name="publish",
    help="Write the values of a configuration to a folder.",
    description=(
        "A deployment pipeline then copies the values to the platform: first the parts, and the "
        "value `configuration` last."
    ),
    epilog=f"Example: chicory-check publish fleet.yaml values/ --number 12\n\n{_EXIT_CODES_HELP}",
)
@dataclass
class PublishCommand:
    """Writes the published form of a configuration."""

    file: _FileArgument
    folder: Annotated[Path, cappa.Arg(value_name="FOLDER", help="Folder to write the values to.")]
    number: Annotated[
        int | None,
        cappa.Arg(long=True, help="Version number; default: the folder's version plus one."),
    ] = None
    day: _DayOption = None

    def run(self, console: Console) -> None:
        """Write the values and print a summary."""
        before = read_version(self.folder)
        if isinstance(before, FolderFault):
            raise UsageError(f"{self.folder}: {before.value}")
        version = Version(before + 1 if self.number is None else self.number)
        if version <= before:
            raise UsageError(f"version {version} isn't above the folder's current version {before}")
        effective = _load_configuration(self.file, self.day or date.today(), version)
        publication = split_configuration(effective.configuration)
        if isinstance(publication, PublishedFault):
            raise UsageError(f"{self.file} can't be published: {publication}")
        written = write_publication(publication, version, self.folder)
        if isinstance(written, FolderFault):
            raise UsageError(f"{self.folder}: {written.value}")
        console.print(
            f"{self.folder}: version {version}, {len(written.added)} parts written, "
            f"{len(publication.parts) - len(written.added)} unchanged, "
            f"{len(written.removed)} removed"
        )


@cappa.command(
    name="chicory-check",
    help="Validate configurations and settings, and preview changes.",
    epilog=f"Example: chicory-check config fleet.yaml\n\n{_EXIT_CODES_HELP}",
)
@dataclass
class CheckOptions:
    """Command-line options."""

    command: cappa.Subcommands[
        ConfigCommand | DiffCommand | SettingsCommand | SchemaCommand | KeysCommand | PublishCommand
    ]


def main(argv: Sequence[str] | None = None) -> int:
    """Run the program.

    :param argv: arguments without the program name; default: those of the process.
    :returns: an ``ExitCode``.
    """
    options = cappa.parse(CheckOptions, argv=None if argv is None else list(argv), version=VERSION)
    console = create_console()
    try:
        options.command.run(console)
    except FindingsError as error:
        error.show()
        return ExitCode.FINDINGS
    except ChicoryError as error:
        error.show()
        return ExitCode.USAGE_ERROR
    return ExitCode.SUCCESS


def _load_document(path: str, findings: FindingList) -> Document:
    document = load_document(path, findings)
    if document is DocumentFault.UNREADABLE:
        raise UsageError(findings.render())
    if isinstance(document, DocumentFault):
        raise ConfigurationError(findings)
    return document


def _load_configuration(
    path: str, day: date, version: Version = FIRST_VERSION
) -> EffectiveConfiguration:
    findings = FindingList()
    return create_configuration(_load_document(path, findings), version, day, findings)


def _list_effective_values(
    effective: EffectiveConfiguration, service: ServiceId
) -> tuple[EffectiveValue, ...]:
    values = effective.explain_service(service)
    if isinstance(values, ServiceFault):
        names = [item.id for item in effective.configuration.services]
        raise UsageError(f"{values.value} `{service}`; {suggest_name(service, names)}")
    return values


if __name__ == "__main__":
    sys.exit(main())
