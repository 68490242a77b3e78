"""Command line options that both processes of an instance share."""

import os
from collections.abc import Sequence
from dataclasses import dataclass, fields
from typing import Annotated

import cappa

from chicoryproxy.configuration.settings import Settings, load_settings
from chicoryproxy.errors import SettingsError

VERSION = "0.1.0"


@dataclass
class InstanceOptions:
    """The settings file, and settings that override the file and the environment."""

    settings: Annotated[str, cappa.Arg(long=True, help="YAML file with the settings.")] = ""
    instance: Annotated[str, cappa.Arg(long=True, help="Name of this instance.")] = ""
    domain: Annotated[str, cappa.Arg(long=True, help="Failure domain of this instance.")] = ""
    region: Annotated[str, cappa.Arg(long=True, help="Region of this instance.")] = ""
    data: Annotated[str, cappa.Arg(long=True, help="IP:PORT for IP-in-UDP packets.")] = ""
    peer: Annotated[str, cappa.Arg(long=True, help="IP:PORT for messages of entries.")] = ""
    view: Annotated[str, cappa.Arg(long=True, help="IP:PORT for messages of views.")] = ""
    link: Annotated[str, cappa.Arg(long=True, help="IP:PORT between view and entry.")] = ""
    control: Annotated[str, cappa.Arg(long=True, help="IP:PORT that serves the state.")] = ""
    platform: Annotated[str, cappa.Arg(long=True, help="URL of the platform.")] = ""
    fabric: Annotated[str, cappa.Arg(long=True, help="IP:PORT that receives responses.")] = ""
    key_file: Annotated[str, cappa.Arg(long=True, help="File with the key.")] = ""
    previous_key_file: Annotated[
        str, cappa.Arg(long=True, help="File with a key that is also accepted.")
    ] = ""
    statsd: Annotated[str, cappa.Arg(long=True, help="IP:PORT of statsd.")] = ""
    log_format: Annotated[str, cappa.Arg(long=True, help="json or human.")] = ""
    log_sample: Annotated[
        str, cappa.Arg(long=True, help="Log one in this many repeated identical decisions.")
    ] = ""
    drain_timeout: Annotated[
        str, cappa.Arg(long=True, help="Maximum duration of a graceful stop, such as 30s.")
    ] = ""


def parse_settings(options: type[InstanceOptions], argv: Sequence[str] | None) -> Settings | None:
    """Parse the command line and load the settings.

    :param options: subclass that defines the name and description of the command.
    :param argv: arguments without the program name; ``None`` for those of the process.
    :returns: the settings; ``None`` if there were findings, which are printed.
    """
    parsed = cappa.parse(options, argv=None if argv is None else list(argv), version=VERSION)
    names = [field.name for field in fields(InstanceOptions) if field.name != "settings"]
    overrides = {name: getattr(parsed, name) for name in names if getattr(parsed, name)}
    try:
        return load_settings(parsed.settings, os.environ, overrides)
    except SettingsError as error:
        error.show()
        return None
