"""Rules, steps and properties of the specification of routing."""

from enum import unique

from spec.system import Label, PropertyName, Rule


@unique
class RoutingRule(Rule):
    """The rules of the model; each mutant removes one of them."""

    CONTESTED = "an entry decides alone only if the slot has a single candidate (R3)"
    ONLY_HOME = "in a contested slot only the home decides on unknown flows (R4)"
    RECORDS = "a home records its decisions (R4)"
    PEER_RECORDS = "a home asks its peers for records before it uses the base (R4)"
    BASE = "a flow without any record goes to the oldest candidate (R4)"
    STALE = "a stale entry does not decide on unknown flows (R7)"
    TAKE_OVER = "a new home asks its peers for records before it decides (R6)"
    WAIT = "a version places new flows only once every live peer has it (R8)"
    HANDOVER = "a leaving home hands its records over to its successor (R6)"
    IDLE_WAIT = "a home waits for the idle timeout before it releases a slot (R9)"
    RELEASE_ASKS = "a home releases only if no peer has a record of an older candidate (R9)"
    GENERATIONS = (
        "peers must have the generation itself, not just a higher version (found by model checking)"
    )
    SETTLED = "a version waits until no earlier opening can be repeated (found by model checking)"
    YIELD = "an entry that answers a take-over stops being home (found by model checking)"
    TAKE_RELEASES = "a new home also adopts the releases of its peers (found by model checking)"
    RELEASE_FORCES = (
        "a release as of a version puts that version in force (found by model checking)"
    )
    RELEASE_ACKED = "a home applies a release once its successor has it (found by model checking)"
    HANDOVER_RELEASES = "a leaving entry hands over its releases (found by model checking)"
    PAUSED_HOME = "an entry that was paused is no longer home (R6, R7)"


@unique
class RoutingStep(Label):
    """Labels of the actions."""

    LEARN = "an entry learns a generation"
    ENFORCE = "an entry starts to place new flows by a generation"
    OPENING = "an entry receives an opening packet of the flow"
    DATA = "an entry receives a later packet of the flow"
    OPENED = "the opening is complete, and its packets are not repeated"
    HINT = "an entry receives a hint from another entry"
    EXPIRE = "the record of the flow expires at an entry"
    TAKE_OVER = "an entry takes over as home"
    RELEASE = "a home releases the slot"
    RELEASED = "an entry receives a release"
    PAUSE = "an entry pauses"
    RESUME = "a paused entry resumes"
    CONFIRM = "a peer answers a stale entry"
    CRASH = "an entry crashes"
    LEAVE = "an entry leaves after its handover"
    JOIN = "a replacement joins"


@unique
class RoutingProperty(PropertyName):
    """Names of the properties."""

    ONE_UPSTREAM = "all packets of a flow go to one upstream"
