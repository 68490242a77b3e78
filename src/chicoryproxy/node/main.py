"""Main module of the entry process on the platform."""

import gc
import signal

# Until its handler is installed, a SIGHUP during the imports must not terminate the process.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

# During the imports a collection finds nothing; ``Entry`` enables it again.
gc.disable()

import sys  # noqa: E402

from chicoryproxy.node.early import bind_packet_socket  # noqa: E402


def main() -> int:
    """Run an entry until SIGTERM; return the exit code."""
    packets = bind_packet_socket()
    # Imported after the socket is bound, since the imports take most of the startup time.
    from chicoryproxy.node.process import run

    return run(packets)


if __name__ == "__main__":
    sys.exit(main())
