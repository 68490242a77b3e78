"""What both processes of an instance need to start: seal, transport, metrics and log."""

import secrets
import time

from chicoryproxy.configuration.settings import Settings
from chicoryproxy.model import Endpoint
from chicoryproxy.network.seal import Channel, Seal, create_seal
from chicoryproxy.network.transport import PeerTransport, Receive
from chicoryproxy.processes.keys import load_keys
from chicoryproxy.telemetry.logs import OutputHandler, PartLogger, configure_logs
from chicoryproxy.telemetry.metrics import Metrics, create_metrics

SEED_BITS = 63
NS_PER_MS = 1_000_000


class ProcessContext:
    """Parts that are made once for a process.

    :param settings: of the instance.
    :param channel: what the process speaks of with its peers.
    :raises SettingsError: when a key file cannot be used.

    :ivar seed: drawn anew for each process.
    """

    def __init__(self, settings: Settings, channel: Channel) -> None:
        keys = load_keys(settings)
        self.seed = secrets.randbits(SEED_BITS)
        self.output: OutputHandler = configure_logs(settings.log_format)
        self.metrics: Metrics = create_metrics(settings.statsd, settings.instance)
        self._settings = settings
        self._channel = channel
        self._seal: Seal = create_seal(
            settings.instance, time.time_ns() // NS_PER_MS, channel, keys
        )
        if not keys:
            PartLogger("peer").warning("No key is set; peers are told by their addresses only.")

    def create_transport(self, receive: Receive) -> PeerTransport:
        """Make the transport of the process."""
        endpoint = self._get_endpoint()
        return PeerTransport(endpoint, self._seal, receive, self.metrics, self.seed)

    def _get_endpoint(self) -> Endpoint:
        if self._channel is Channel.PEER:
            return self._settings.peer
        return self._settings.view
