"""Grants of openings to a cold upstream: leases, change of owner, pauses and concurrent owners.

Covers R10. Two instances of the upstream's failure domain may each act as its owner; two entries
hold leases and request them from either. Grants may be lost, delayed and duplicated. Instances
pause at any time, and a holder may pause between any two of its steps. A crash of the owner is
modelled as the end of its ownership, and a replacement as an instance that becomes owner.

Time is counted in ticks. A lease is valid for ``LEASE_TICKS``. The bound is one opening in any
window of ``WINDOW_TICKS``. Of two running owners that can reach each other, one gives up ownership
within ``MARGIN_TICKS``.

Not modelled: a bound above one, the warm-up ramp (the bound is constant), clock drift, an upstream
that turns cold again and is not yet known to be cold, and a pause between a holder's check of its
lease and the departure of the packet.
"""

from enum import unique

import z3

from spec.specification import Assumption, Mutant, Specification
from spec.system import (
    Action,
    Assignment,
    Label,
    Property,
    PropertyName,
    Rule,
    State,
    System,
    Variable,
    assign,
    index_name,
)

OWNERS = range(2)
HOLDERS = range(2)
LEASE_TICKS = 2
WINDOW_TICKS = 1
MARGIN_TICKS = 1
SPAN_TICKS = LEASE_TICKS + WINDOW_TICKS
WAIT_TICKS = SPAN_TICKS + MARGIN_TICKS
CLOCK_BITS = 3


@unique
class GrantRule(Rule):
    """The rules of the model; each mutant removes one of them."""

    BUDGET = "an owner counts all leases that may still be used against the bound"
    WINDOW = "an owner counts a lease for its lifetime plus one window"
    NEW_OWNER_WAITS = "a new owner waits before its first grant"
    MARGIN = "the wait includes the time for which a replaced owner may still grant"
    PAUSED_OWNER_WAITS = "an owner that was paused waits like a new one"
    FROM_REQUEST = "a holder measures the lifetime from when it sent its request"
    EXPIRY = "a holder does not use an expired lease"
    NUMBER = "a holder accepts only the grant for its outstanding request, and only once"


@unique
class GrantStep(Label):
    """Labels of the actions."""

    TICK = "time passes"
    BECOME_OWNER = "an instance becomes owner"
    STOP_OWNING = "an owner gives up ownership or crashes"
    PAUSE = "an instance pauses"
    RESUME = "a paused instance resumes"
    ASK = "an entry requests a lease for one opening"
    GRANT = "an owner grants the request"
    RECEIVE = "an entry receives the grant"
    LOSE = "the grant is lost"
    OPEN = "an entry uses its lease to open a flow"


@unique
class GrantProperty(PropertyName):
    """Names of the properties."""

    BOUND = "openings to a cold upstream never exceed its bound"


class GrantSystem(System):
    """Transition system of two owners and two holders of leases.

    State per owner: ``owns``; ``paused``; ``wait``, the ticks since it became owner; and
    ``granted``, the ticks since its last grant. State per holder: ``asked``, whether a request is
    outstanding; ``request``, the ticks since that request; ``in_flight``, whether the network has a
    grant for it; ``matching``, whether that grant answers the outstanding request; ``held``,
    whether it has a lease; and ``lease``, the ticks counted against the lifetime of the lease.

    Shared state: ``opened``, the ticks since the last opening; ``both``, the ticks for which two
    owners have been running; and ``exceeded``, which marks a violation. Clocks stop at
    ``WAIT_TICKS``.

    :param rules: the rules that apply.
    :param linked: whether two owners can reach each other, so that only one remains after
        ``MARGIN_TICKS``.
    """

    def __init__(self, rules: frozenset[Rule] = frozenset(GrantRule), linked: bool = True) -> None:
        super().__init__(rules)
        self.linked = linked

    def list_variables(self) -> tuple[Variable, ...]:
        """Return the state variables."""
        result = [Variable("exceeded"), Variable("opened", CLOCK_BITS)]
        result.append(Variable("both", CLOCK_BITS))
        for i in OWNERS:
            result += [Variable(index_name(n, i)) for n in ("owns", "paused")]
            result += [Variable(index_name(n, i), CLOCK_BITS) for n in ("wait", "granted")]
        for h in HOLDERS:
            flags = ("asked", "in_flight", "matching", "held")
            result += [Variable(index_name(n, h)) for n in flags]
            result += [Variable(index_name(n, h), CLOCK_BITS) for n in ("request", "lease")]
        return tuple(result)

    def build_initial_condition(self, state: State) -> z3.BoolRef:
        """Return the condition that initial states fulfil: instance 0 is owner, without grants."""
        conditions = [z3.Not(state.get("exceeded")), state.get("opened") == WAIT_TICKS]
        conditions.append(state.get("both") == 0)
        for i in OWNERS:
            conditions += [state.get("owns", i) == (i == 0), z3.Not(state.get("paused", i))]
            conditions += [state.get(n, i) == WAIT_TICKS for n in ("wait", "granted")]
        for h in HOLDERS:
            flags = ("asked", "in_flight", "matching", "held")
            conditions += [z3.Not(state.get(n, h)) for n in flags]
            conditions += [state.get(n, h) == 0 for n in ("request", "lease")]
        return z3.And(conditions)

    def list_actions(self, state: State) -> tuple[Action, ...]:
        """Return the actions, with guards and values in terms of a state."""
        result = [self._build_tick(state)]
        for i in OWNERS:
            result += self._list_owner_actions(state, i)
        for h in HOLDERS:
            result += self._list_holder_actions(state, h)
        return tuple(result)

    def list_properties(self, state: State) -> tuple[Property, ...]:
        """Return the properties in terms of a state."""
        return (Property(GrantProperty.BOUND, z3.Not(state.get("exceeded"))),)

    def _build_tick(self, state: State) -> Action:
        both_run = z3.And(*(_is_granting(state, i) for i in OWNERS))
        both = state.get("both")
        guard = z3.BoolVal(True)
        if self.linked:
            guard = z3.Or(z3.Not(both_run), z3.ULT(both, MARGIN_TICKS))
        both_after = z3.If(both_run, _increment_saturating(both), z3.BitVecVal(0, CLOCK_BITS))
        assignments = [assign("both", to=both_after), _assign_advance(state, "opened")]
        for i in OWNERS:
            assignments += [_assign_advance(state, n, i) for n in ("wait", "granted")]
        for h in HOLDERS:
            assignments += [_assign_advance(state, n, h) for n in ("request", "lease")]
        return Action(GrantStep.TICK, (), guard, tuple(assignments))

    def _list_owner_actions(self, state: State, i: int) -> list[Action]:
        owns, paused = state.get("owns", i), state.get("paused", i)
        initial_wait = 0 if self.has(GrantRule.NEW_OWNER_WAITS) else WAIT_TICKS
        became = (
            assign("owns", i, to=True),
            assign("wait", i, to=initial_wait),
            assign("granted", i, to=WAIT_TICKS),
        )
        resumed = [assign("paused", i, to=False)]
        if self.has(GrantRule.PAUSED_OWNER_WAITS):
            resumed += [assign("wait", i, to=0), assign("granted", i, to=WAIT_TICKS)]
        running = z3.Not(paused)
        return [
            Action(GrantStep.BECOME_OWNER, (i,), z3.And(running, z3.Not(owns)), became),
            Action(GrantStep.STOP_OWNING, (i,), owns, (assign("owns", i, to=False),)),
            Action(GrantStep.PAUSE, (i,), running, (assign("paused", i, to=True),)),
            Action(GrantStep.RESUME, (i,), paused, tuple(resumed)),
        ]

    def _list_holder_actions(self, state: State, h: int) -> list[Action]:
        return [
            Action(
                GrantStep.ASK,
                (h,),
                z3.BoolVal(True),
                (
                    assign("asked", h, to=True),
                    assign("request", h, to=0),
                    assign("matching", h, to=False),
                ),
            ),
            *(self._build_grant(state, h, i) for i in OWNERS),
            self._build_receive(state, h),
            Action(
                GrantStep.LOSE, (h,), state.get("in_flight", h), (assign("in_flight", h, to=False),)
            ),
            self._build_open(state, h),
        ]

    def _build_grant(self, state: State, h: int, i: int) -> Action:
        span = SPAN_TICKS if self.has(GrantRule.WINDOW) else LEASE_TICKS
        wait = WAIT_TICKS if self.has(GrantRule.MARGIN) else SPAN_TICKS
        guards = [_is_granting(state, i), state.get("asked", h)]
        guards.append(z3.UGE(state.get("wait", i), wait))
        if self.has(GrantRule.BUDGET):
            guards.append(z3.UGE(state.get("granted", i), span))
        assignments = (
            assign("granted", i, to=0),
            assign("in_flight", h, to=True),
            assign("matching", h, to=True),
        )
        return Action(GrantStep.GRANT, (i, h), z3.And(guards), assignments)

    def _build_receive(self, state: State, h: int) -> Action:
        guard = state.get("in_flight", h)
        if self.has(GrantRule.NUMBER):
            guard = z3.And(guard, state.get("matching", h), state.get("asked", h))
        elapsed = state.get("request", h) if self.has(GrantRule.FROM_REQUEST) else 0
        assignments = (
            assign("held", h, to=True),
            assign("lease", h, to=elapsed),
            assign("matching", h, to=False),
            assign("asked", h, to=False),
        )
        return Action(GrantStep.RECEIVE, (h,), guard, assignments)

    def _build_open(self, state: State, h: int) -> Action:
        guard = state.get("held", h)
        if self.has(GrantRule.EXPIRY):
            guard = z3.And(guard, z3.ULT(state.get("lease", h), LEASE_TICKS))
        is_within_window = z3.ULE(state.get("opened"), WINDOW_TICKS)
        assignments = (
            assign("held", h, to=False),
            assign("opened", to=0),
            assign("exceeded", to=z3.Or(state.get("exceeded"), is_within_window)),
        )
        return Action(GrantStep.OPEN, (h,), guard, assignments)


def create_specification() -> Specification:
    """Return the system of this module and its checks."""
    return Specification(
        name="grants",
        create=GrantSystem,
        rules=GrantRule,
        property_names=GrantProperty,
        mutants=tuple(Mutant(rule, GrantProperty.BOUND) for rule in GrantRule),
        assumptions=(
            Assumption(
                "no link inside the upstream's failure domain is cut",
                lambda: GrantSystem(linked=False),
                GrantProperty.BOUND,
            ),
        ),
        quick_depth=12,
        full_depth=18,
    )


def _is_granting(state: State, i: int) -> z3.BoolRef:
    return z3.And(state.get("owns", i), z3.Not(state.get("paused", i)))


def _increment_saturating(clock: z3.BitVecRef) -> z3.BitVecRef:
    return z3.If(z3.UGE(clock, WAIT_TICKS), clock, clock + 1)


def _assign_advance(state: State, name: str, *indices: int) -> Assignment:
    return assign(name, *indices, to=_increment_saturating(state.get(name, *indices)))
