"""The specifications that are checked."""

from spec import versions
from spec.system import Specification


def list_specifications() -> tuple[Specification, ...]:
    """Return all specifications."""
    return (versions.create_specification(),)
