"""Expressions over the state of the specification of routing."""

import z3

from spec.system import State

ENTRIES = range(3)
VERSIONS = range(1, 4)
LATER_VERSIONS = range(2, 4)
BITS = 2
NONE = 0
"""No upstream, in a record or as the upstream of the flow; upstreams are 1 to 3."""


def is_running(state: State, i: int) -> z3.BoolRef:
    """Return whether an entry is alive and not paused."""
    return z3.And(state.get("alive", i), z3.Not(state.get("paused", i)))


def holds_record(state: State, i: int) -> z3.BoolRef:
    """Return whether a running entry has a record of the flow."""
    return z3.And(is_running(state, i), state.get("record", i) != NONE)


def is_up_to_date(state: State, i: int) -> z3.BoolRef:
    """Return whether an entry has every release that was sent, unless it is stopped or stale."""
    is_exempt = z3.Or(z3.Not(is_running(state, i)), state.get("stale", i))
    received = [
        z3.Implies(state.get("released", v), z3.UGE(state.get("base", i), z3.BitVecVal(v, BITS)))
        for v in LATER_VERSIONS
    ]
    return z3.Or(is_exempt, z3.And(received))


def is_clean(state: State, i: int) -> z3.BoolRef:
    """Return whether the slot has a single candidate at an entry."""
    base = state.get("base", i)
    place = select_place(state, base)
    conditions = []
    for v in LATER_VERSIONS:
        retained = z3.And(state.get("know", i, v), z3.UGE(z3.BitVecVal(v, BITS), base))
        conditions.append(z3.Implies(retained, state.get("place", v) == place))
    return z3.And(conditions)


def select_newest(state: State, i: int) -> z3.BitVecRef:
    """Return the newest generation that an entry has."""
    result = z3.BitVecVal(1, BITS)
    for v in LATER_VERSIONS:
        result = z3.If(state.get("know", i, v), z3.BitVecVal(v, BITS), result)
    return result


def select_place(state: State, version: z3.BitVecRef) -> z3.BitVecRef:
    """Return the upstream of a generation."""
    result = state.get("place", 1)
    for v in LATER_VERSIONS:
        result = z3.If(version == v, state.get("place", v), result)
    return result


def select_record(state: State, entries: list[int], default: z3.BitVecRef) -> z3.BitVecRef:
    """Return the record of the last entry in a list that runs and has one, or a default."""
    result = default
    for j in entries:
        found = z3.And(is_running(state, j), state.get("record", j) != NONE)
        result = z3.If(found, state.get("record", j), result)
    return result


def choose_greater(left: z3.BitVecRef, right: z3.BitVecRef) -> z3.BitVecRef:
    """Return the greater of two unsigned integers."""
    return z3.If(z3.UGE(left, right), left, right)
