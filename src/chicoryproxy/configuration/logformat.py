"""Form of the log lines of the product's processes."""

from enum import Enum, unique


@unique
class LogFormat(Enum):
    """Form of the log lines; ``AUTO`` is ``HUMAN`` on a terminal and ``JSON`` elsewhere."""

    AUTO = "auto"
    HUMAN = "human"
    JSON = "json"
