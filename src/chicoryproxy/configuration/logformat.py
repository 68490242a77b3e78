"""Format of the log lines of ``chicory-entry`` and ``chicory-view``."""

from enum import Enum, unique


@unique
class LogFormat(Enum):
    """Format of the log lines; ``AUTO`` is ``HUMAN`` on a terminal and ``JSON`` elsewhere."""

    AUTO = "auto"
    HUMAN = "human"
    JSON = "json"
