"""The build ships exactly the parts of the package that the entry imports."""

import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).parents[2]
PROGRAM = """
import sys
import chicoryproxy.node.main
import chicoryproxy.node.process
print(*(name for name in sys.modules if name.startswith("chicoryproxy.")))
"""


def list_parts():
    """Return the modules and subpackages that the build ships."""
    return (ROOT / "deploy" / "parts.txt").read_text().split()


def list_loaded():
    """Return the modules and subpackages that the entry imports."""
    done = subprocess.run(
        [sys.executable, "-c", PROGRAM],
        cwd=ROOT / "src",
        capture_output=True,
        text=True,
        check=True,
        timeout=30,
    )
    return {name.split(".")[1] for name in done.stdout.split()}


def test_the_build_ships_what_the_entry_loads_and_nothing_else():
    shipped = {part.removesuffix(".py") for part in list_parts()} - {"__init__"}
    assert shipped == list_loaded()


def test_every_part_exists():
    assert all((ROOT / "src" / "chicoryproxy" / part).exists() for part in list_parts())
