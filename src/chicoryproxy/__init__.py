"""chicoryproxy: a layer-4 load balancer whose entry instances agree without shared state.

The names below are the public interface; every other module may change between versions.
"""

from chicoryproxy.control import ControlCore as ControlCore
from chicoryproxy.control import create_control_core as create_control_core
from chicoryproxy.errors import ChicoryError as ChicoryError
from chicoryproxy.errors import ConfigurationError as ConfigurationError
from chicoryproxy.errors import SettingsError as SettingsError
from chicoryproxy.model import Configuration as Configuration
from chicoryproxy.model import Endpoint as Endpoint
from chicoryproxy.model import Instance as Instance
from chicoryproxy.model import Service as Service
from chicoryproxy.model import Upstream as Upstream
from chicoryproxy.router import PacketCore as PacketCore
from chicoryproxy.router import create_packet_core as create_packet_core

__version__ = "0.1.0"
