"""Simulated platform."""

from collections.abc import Iterable, Sequence

from chicoryproxy.model import Configuration, Instance


class FakePlatform:
    """Serves a configuration and an instance list that instances watch.

    :ivar is_down: whether every read fails.
    :ivar served: the configuration that reads return; may be reset to an older version.
    """

    def __init__(self, configuration: Configuration, instances: Sequence[Instance]) -> None:
        self.served = configuration
        self.instances = tuple(instances)
        self.is_down = False
        self.reads = 0

    def publish(self, configuration: Configuration) -> None:
        """Replace the served configuration."""
        self.served = configuration

    def publish_instances(self, instances: Iterable[Instance]) -> None:
        """Replace the served instance list."""
        self.instances = tuple(instances)
