"""chicoryproxy: a layer-4 load balancer whose entry instances route alike without shared state.

The names below are the public API; all other modules may change between versions. They are
imported lazily, so that a program loads only the modules that it uses.
"""

from importlib import import_module

# Defined here because importing ``typing`` would add to the start time.
TYPE_CHECKING = False

if TYPE_CHECKING:
    from chicoryproxy.control.core import ControlCore as ControlCore
    from chicoryproxy.control.core import create_control_core as create_control_core
    from chicoryproxy.errors import ChicoryError as ChicoryError
    from chicoryproxy.errors import ConfigurationError as ConfigurationError
    from chicoryproxy.errors import SettingsError as SettingsError
    from chicoryproxy.model import Configuration as Configuration
    from chicoryproxy.model import Endpoint as Endpoint
    from chicoryproxy.model import Instance as Instance
    from chicoryproxy.model import Service as Service
    from chicoryproxy.model import Upstream as Upstream
    from chicoryproxy.routing.router import PacketCore as PacketCore
    from chicoryproxy.routing.router import create_packet_core as create_packet_core

__version__ = "0.1.0"

_MODULES = {
    "ControlCore": "control.core",
    "create_control_core": "control.core",
    "ChicoryError": "errors",
    "ConfigurationError": "errors",
    "SettingsError": "errors",
    "Configuration": "model",
    "Endpoint": "model",
    "Instance": "model",
    "Service": "model",
    "Upstream": "model",
    "PacketCore": "routing.router",
    "create_packet_core": "routing.router",
}


def __getattr__(name: str) -> object:
    """Import a public name on first use (PEP 562)."""
    module = _MODULES.get(name)
    if module is None:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    value: object = getattr(import_module(f"chicoryproxy.{module}"), name)
    globals()[name] = value
    return value
