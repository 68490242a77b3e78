"""Enumerations of protocols, states and reasons."""

from enum import Enum, IntEnum, unique


@unique
class Protocol(IntEnum):
    """Transport protocols with their IP protocol numbers."""

    TCP = 6
    UDP = 17


@unique
class ReturnPath(Enum):
    """Path of the packets from an upstream to the caller."""

    DIRECT = "direct"
    ENTRY = "entry"


@unique
class DomainState(Enum):
    """Whether operators have put a failure domain in or out of service."""

    IN = "in"
    OUT = "out"


@unique
class UpstreamState(Enum):
    """How much traffic an upstream accepts.

    ``READY`` is the only state in which openings need no grant of its owner.
    """

    COLD = "cold"
    WARMING = "warming"
    READY = "ready"
    SHEDDING = "shedding"
    DRAINING = "draining"
    UNREACHABLE = "unreachable"
    GONE = "gone"


@unique
class MemberState(Enum):
    """State of a peer as this instance sees it.

    ``HIDDEN`` is a peer that stopped answering probes but is still in the published list.
    """

    ALIVE = "alive"
    SUSPECT = "suspect"
    HIDDEN = "hidden"
    LEAVING = "leaving"
    GONE = "gone"


@unique
class DropReason(Enum):
    """Why a packet was dropped."""

    TRUNCATED = "truncated"
    FRAGMENT = "fragment"
    FOREIGN = "foreign"
    UNKNOWN_SERVICE = "unknown_service"
    UNKNOWN_SOURCE = "unknown_source"
    NO_VIEW = "no_view"
    NO_HOME = "no_home"
    NO_CAPACITY = "no_capacity"
    PLACEMENT_SPREADING = "placement_spreading"
    QUEUE_FULL = "queue_full"
    NOT_LISTED = "not_listed"
    STALE_ANSWER = "stale_answer"
    WAITING = "waiting"
    FLOW_TABLE_FULL = "flow_table_full"


@unique
class RefusalReason(Enum):
    """Why the load balancer answered a caller with a reset."""

    DOMAIN_OUT = "domain_out"
    UPSTREAM_GONE = "upstream_gone"
    NO_CAPACITY = "no_capacity"
    NO_UPSTREAM = "no_upstream"
    UNREACHABLE = "unreachable"
    RETRY_BUDGET = "retry_budget"


@unique
class RouteReason(Enum):
    """Why the target of a packet was chosen."""

    CLEAN_SLOT = "clean_slot"
    KNOWN_FLOW = "known_flow"
    HOME_OPENING = "home_opening"
    HOME_BASE = "home_base"
    HOME_RECORD = "home_record"
    PEER_RECORD = "peer_record"
    GUESS = "guess"
    OVERFLOW = "overflow"
    RETRY = "retry"
    PASSED_CONTESTED = "passed_contested"
    PASSED_BEHIND = "passed_behind"
    RETURN = "return"
