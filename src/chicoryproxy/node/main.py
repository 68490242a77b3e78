"""Entry point of the process that carries packets on the platform."""

import signal

# A signal to reload that arrives during the imports must not end the process.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

import sys  # noqa: E402

from chicoryproxy.node.early import bind_packet_socket  # noqa: E402


def main() -> int:
    """Run an entry until SIGTERM; return the exit code."""
    packets = bind_packet_socket()
    # Loaded only now, since the libraries take most of a start.
    from chicoryproxy.node.process import run

    return run(packets)


if __name__ == "__main__":
    sys.exit(main())
