"""Start-up shared by both processes of an instance: keys, seal, transport, metrics and log."""

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
    """The log, metrics and seal that the services of a process share.

    :param settings: settings of the instance.
    :param channel: channel on which the process exchanges messages with its peers.
    :raises SettingsError: if a key file is unreadable or holds an invalid key.

    :ivar output: log handler of the process.
    :ivar metrics: metrics of the process.
    :ivar seed: random seed of this run of the process.
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
            PartLogger("peer").warning("No key configured; peers are identified by address only.")

    def create_transport(self, receive: Receive) -> PeerTransport:
        """Create the transport for messages between peers."""
        endpoint = self._get_endpoint()
        return PeerTransport(endpoint, self._seal, receive, self.metrics, self.seed)

    def _get_endpoint(self) -> Endpoint:
        if self._channel is Channel.PEER:
            return self._settings.peer
        return self._settings.view
