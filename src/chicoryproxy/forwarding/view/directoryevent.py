"""Changes of the directory, for the log and for what follows from them."""

from enum import Enum, unique

from msgspec import Struct

from chicoryproxy.forwarding.view.lifetime import Lifetime


@unique
class DirectoryEventKind(Enum):
    """Type of a change in the directory."""

    UPSTREAM_NEW = "upstream_new"
    UPSTREAM_PHASE = "upstream_phase"
    UPSTREAM_UNREADABLE = "upstream_unreadable"
    UPSTREAM_OUTDATED = "upstream_outdated"
    MARK_COLLISION = "mark_clash"
    ADDRESS_CONFLICT = "address_conflict"
    VERSION = "version"
    VERSION_UNREADABLE = "version_unreadable"
    VERSION_OLDER = "version_older"
    DOMAIN_OUT = "domain_out"
    DOMAIN_BACK = "domain_back"


class DirectoryEvent(Struct, frozen=True):
    """Change of the directory, for the log.

    :param subject: upstream, failure domain or version.
    :param detail: the new state or the reason.
    :param lifetime: lifetime whose phase changed, if any.
    """

    kind: DirectoryEventKind
    subject: str
    detail: str
    revision: int
    lifetime: Lifetime | None = None


def create_phase_event(lifetime: Lifetime, reason: str, revision: int) -> DirectoryEvent:
    """Create the event of a lifetime that is in a new phase, or whose end has a new reason."""
    detail = f"{lifetime.phase.value}: {reason}"
    return DirectoryEvent(
        DirectoryEventKind.UPSTREAM_PHASE, lifetime.entry.id, detail, revision, lifetime
    )
