"""Path of one packet: passed and forwarded at most once each, and only to its own service.

Covers the single hop of R4, and R15. One of two entries, entry 0, receives the packet from the
fabric. The network may lose, delay and duplicate the message that passes it to the other entry. A
packet may be queued between the decision and its departure. Version 2 gives the packet's address to
another service, whose upstream is 2 instead of 1; records of version 1 are still in the tables.

Not modelled: how an entry decides (see ``spec.routing``), and duplication by the fabric itself,
which makes two packets.
"""

from enum import unique

import z3

from spec.specification import Mutant, Specification
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

ENTRIES = range(2)
BITS = 2
MAX_COUNT = 3
NONE = 0


@unique
class PacketRule(Rule):
    """The rules of the model; each mutant removes one of them."""

    ONE_HOP = "a packet that a peer passed is not passed again (R4)"
    REPLAY_WINDOW = "a message of a peer is accepted at most once"
    HELD_ONCE = "a held packet is removed from the queue when it is sent"
    CHOKE = "a packet is sent only to an upstream that its service lists at that time (R15)"


@unique
class PacketStep(Label):
    """Labels of the actions."""

    LEARN = "an entry learns version 2"
    PASS = "an entry passes the packet to its peer"
    DELIVER = "an entry receives the passed packet"
    LOSE = "the passed packet is lost"
    HOLD = "an entry holds the packet for an upstream"
    SEND = "an entry sends the packet"
    SEND_HELD = "an entry sends the held packet"


@unique
class PacketProperty(PropertyName):
    """Names of the properties."""

    ONE_HOP = "a packet is passed at most once"
    SENT_ONCE = "a packet is forwarded at most once"
    OWN_SERVICE = "a packet is never sent to an upstream of another service"


class PacketSystem(System):
    """Transition system of two entries that handle one packet.

    State per entry: ``learnt``, whether it has version 2; ``record``, the recorded upstream;
    ``here``, whether it has the packet and has yet to decide on it; ``passed``, whether the packet
    came from its peer; ``in_flight``, whether the network has a message for it; ``seen``, whether
    it has accepted that message; and ``held``, the upstream that a queued packet is for.

    Shared state: ``sent`` and ``hops`` count how often the packet was forwarded and passed;
    ``foreign`` marks a violation.
    """

    def list_variables(self) -> tuple[Variable, ...]:
        """Return the state variables."""
        result = [Variable("foreign"), Variable("sent", BITS), Variable("hops", BITS)]
        for i in ENTRIES:
            flags = ("learnt", "here", "passed", "in_flight", "seen")
            result += [Variable(index_name(n, i)) for n in flags]
            result += [Variable(index_name(n, i), BITS) for n in ("record", "held")]
        return tuple(result)

    def build_initial_condition(self, state: State) -> z3.BoolRef:
        """Return the condition that initial states fulfil: version 1, with or without a record."""
        conditions = [z3.Not(state.get("foreign")), state.get("sent") == 0]
        conditions.append(state.get("hops") == 0)
        for i in ENTRIES:
            conditions += [
                z3.Not(state.get(n, i)) for n in ("learnt", "passed", "in_flight", "seen")
            ]
            conditions += [state.get("here", i) == (i == 0), state.get("held", i) == NONE]
            conditions.append(z3.ULE(state.get("record", i), 1))
        return z3.And(conditions)

    def list_actions(self, state: State) -> tuple[Action, ...]:
        """Return the actions, with guards and values in terms of a state."""
        result = []
        for i in ENTRIES:
            here, in_flight, held = (state.get(n, i) for n in ("here", "in_flight", "held"))
            learnt = (assign("learnt", i, to=True),)
            result.append(Action(PacketStep.LEARN, (i,), z3.BoolVal(True), learnt))
            result.append(self._build_pass(state, i, 1 - i))
            result.append(self._build_deliver(state, i))
            lost = (assign("in_flight", i, to=False),)
            result.append(Action(PacketStep.LOSE, (i,), in_flight, lost))
            hold = (assign("held", i, to=_select_upstream(state, i)), assign("here", i, to=False))
            result.append(Action(PacketStep.HOLD, (i,), here, hold))
            sent = (
                *self._assign_send(state, i, _select_upstream(state, i)),
                assign("here", i, to=False),
            )
            result.append(Action(PacketStep.SEND, (i,), here, sent))
            sent_held = self._assign_send(state, i, held)
            if self.has(PacketRule.HELD_ONCE):
                sent_held += (assign("held", i, to=NONE),)
            result.append(Action(PacketStep.SEND_HELD, (i,), held != NONE, sent_held))
        return tuple(result)

    def list_properties(self, state: State) -> tuple[Property, ...]:
        """Return the properties in terms of a state."""
        return (
            Property(PacketProperty.ONE_HOP, z3.ULE(state.get("hops"), 1)),
            Property(PacketProperty.SENT_ONCE, z3.ULE(state.get("sent"), 1)),
            Property(PacketProperty.OWN_SERVICE, z3.Not(state.get("foreign"))),
        )

    def list_lemmas(self, state: State) -> tuple[z3.BoolRef, ...]:
        """Return auxiliary invariants for k-induction: at most one copy of the packet."""
        copies = [z3.UGE(state.get("sent"), 1)]
        for i in ENTRIES:
            undelivered = z3.And(state.get("in_flight", i), z3.Not(state.get("seen", i)))
            copies += [state.get("here", i), state.get("held", i) != NONE, undelivered]
        passed = z3.UGE(state.get("hops"), 1)
        result = [z3.AtMost(*copies, 1)]
        for i in ENTRIES:
            result.append(
                z3.Implies(z3.Or(state.get("in_flight", i), state.get("passed", i)), passed)
            )
            here_after = z3.And(state.get("here", i), passed)
            result.append(z3.Implies(here_after, state.get("passed", i)))
        return tuple(result)

    def _build_pass(self, state: State, i: int, j: int) -> Action:
        guard = state.get("here", i)
        if self.has(PacketRule.ONE_HOP):
            guard = z3.And(guard, z3.Not(state.get("passed", i)))
        assignments = (
            assign("here", i, to=False),
            assign("in_flight", j, to=True),
            assign("seen", j, to=False),
            assign("hops", to=_increment_saturating(state.get("hops"))),
        )
        return Action(PacketStep.PASS, (i, j), guard, assignments)

    def _build_deliver(self, state: State, i: int) -> Action:
        guard = state.get("in_flight", i)
        if self.has(PacketRule.REPLAY_WINDOW):
            guard = z3.And(guard, z3.Not(state.get("seen", i)))
        flags = ("here", "passed", "seen")
        assignments = tuple(assign(n, i, to=True) for n in flags)
        return Action(PacketStep.DELIVER, (i,), guard, assignments)

    def _assign_send(self, state: State, i: int, upstream: z3.BitVecRef) -> tuple[Assignment, ...]:
        listed = upstream == _select_listed(state, i)
        leaves = listed if self.has(PacketRule.CHOKE) else z3.BoolVal(True)
        foreign = z3.And(leaves, z3.Not(listed))
        sent = state.get("sent")
        return (
            assign("sent", to=z3.If(leaves, _increment_saturating(sent), sent)),
            assign("foreign", to=z3.Or(state.get("foreign"), foreign)),
            assign("record", i, to=upstream),
        )


def create_specification() -> Specification:
    """Return the system of this module and its checks."""
    return Specification(
        name="packets",
        create=PacketSystem,
        rules=PacketRule,
        property_names=PacketProperty,
        mutants=(
            Mutant(PacketRule.ONE_HOP, PacketProperty.ONE_HOP),
            Mutant(PacketRule.REPLAY_WINDOW, PacketProperty.SENT_ONCE),
            Mutant(PacketRule.HELD_ONCE, PacketProperty.SENT_ONCE),
            Mutant(PacketRule.CHOKE, PacketProperty.OWN_SERVICE),
        ),
        assumptions=(),
        quick_depth=8,
        full_depth=16,
        induction_depth=3,
    )


def _select_listed(state: State, i: int) -> z3.BitVecRef:
    first, second = z3.BitVecVal(1, BITS), z3.BitVecVal(2, BITS)
    return z3.If(state.get("learnt", i), second, first)


def _select_upstream(state: State, i: int) -> z3.BitVecRef:
    record = state.get("record", i)
    return z3.If(record != NONE, record, _select_listed(state, i))


def _increment_saturating(count: z3.BitVecRef) -> z3.BitVecRef:
    return z3.If(count == MAX_COUNT, count, count + 1)
