"""Console of the commands that print tables."""

import sys

from rich.console import Console

REDIRECTED_WIDTH_COLUMNS = 240


def create_console() -> Console:
    """Create a console on standard output, with a fixed width if that is not a terminal."""
    return Console(
        width=None if sys.stdout.isatty() else REDIRECTED_WIDTH_COLUMNS,
        highlight=False,
        markup=False,
    )
