"""The specifications that are checked."""

from spec import grants, versions
from spec.system import Specification


def list_specifications() -> tuple[Specification, ...]:
    """Return all specifications."""
    return (versions.create_specification(), grants.create_specification())
