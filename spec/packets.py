"""One packet on its way: passed at most once, forwarded at most once, to its own service only.

Covers R4's single hop and R15. Two entries; the packet reaches entry 0 from the fabric. A passed
message may be lost, delayed and doubled by the network. A packet may be held in a queue between
the decision and its departure. Version 2 gives the packet's address to another service, whose
upstream is 2 instead of 1; records of version 1 stay behind.

Left out: how an entry decides (``spec.routing``), and a packet that the fabric itself doubles,
which counts as two packets.
"""

from enum import unique

import z3

from spec.system import (
    Action,
    Assignment,
    Label,
    Mutant,
    Property,
    PropertyName,
    Rule,
    Specification,
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
    """Rules that a mutant takes out."""

    ONE_HOP = "a packet that was passed is not passed again (R4)"
    REPLAY_WINDOW = "a message of a peer is accepted once"
    HELD_ONCE = "a held packet leaves the queue when it is sent"
    CHOKE = "an upstream must be listed for the packet's service when the packet leaves (R15)"


@unique
class PacketStep(Label):
    """Actions."""

    LEARN = "an entry learns version 2"
    PASS = "an entry passes the packet"
    DELIVER = "an entry receives the passed packet"
    LOSE = "the passed packet is lost"
    HOLD = "an entry holds the packet for an upstream"
    SEND = "an entry sends the packet"
    SEND_HELD = "an entry sends the held packet"


@unique
class PacketProperty(PropertyName):
    """Properties."""

    ONE_HOP = "a packet is passed at most once"
    SENT_ONCE = "a packet is forwarded at most once"
    OWN_SERVICE = "a packet never goes to an upstream of another service"


class PacketSystem(System):
    """The system of this module.

    State per entry: ``learnt`` version 2, ``record`` the recorded upstream, ``here`` when the
    packet is to be decided on, ``passed`` when it came from a peer, ``flying`` while a message
    for the entry is in the network, ``seen`` when it was accepted, ``held`` the upstream that a
    queued packet is for. ``sent`` and ``hops`` are counts, ``foreign`` is the violation.
    """

    def list_variables(self) -> tuple[Variable, ...]:
        """Return the variables."""
        result = [Variable("foreign"), Variable("sent", BITS), Variable("hops", BITS)]
        for i in ENTRIES:
            flags = ("learnt", "here", "passed", "flying", "seen")
            result += [Variable(index_name(n, i)) for n in flags]
            result += [Variable(index_name(n, i), BITS) for n in ("record", "held")]
        return tuple(result)

    def build_initial_condition(self, state: State) -> z3.BoolRef:
        """Return the condition on initial states: version 1, with or without a record."""
        conditions = [z3.Not(state.get("foreign")), state.get("sent") == 0]
        conditions.append(state.get("hops") == 0)
        for i in ENTRIES:
            conditions += [z3.Not(state.get(n, i)) for n in ("learnt", "passed", "flying", "seen")]
            conditions += [state.get("here", i) == (i == 0), state.get("held", i) == NONE]
            conditions.append(z3.ULE(state.get("record", i), 1))
        return z3.And(conditions)

    def list_actions(self, state: State) -> tuple[Action, ...]:
        """Return the actions that may follow a state."""
        result = []
        for i in ENTRIES:
            here, flying, held = (state.get(n, i) for n in ("here", "flying", "held"))
            learnt = (assign("learnt", i, to=True),)
            result.append(Action(PacketStep.LEARN, (i,), z3.BoolVal(True), learnt))
            result.append(self._build_pass(state, i, 1 - i))
            result.append(self._build_deliver(state, i))
            lost = (assign("flying", i, to=False),)
            result.append(Action(PacketStep.LOSE, (i,), flying, lost))
            hold = (assign("held", i, to=_select_upstream(state, i)), assign("here", i, to=False))
            result.append(Action(PacketStep.HOLD, (i,), here, hold))
            sent = (*self._send(state, i, _select_upstream(state, i)), assign("here", i, to=False))
            result.append(Action(PacketStep.SEND, (i,), here, sent))
            sent_held = self._send(state, i, held)
            if self.has(PacketRule.HELD_ONCE):
                sent_held += (assign("held", i, to=NONE),)
            result.append(Action(PacketStep.SEND_HELD, (i,), held != NONE, sent_held))
        return tuple(result)

    def list_properties(self, state: State) -> tuple[Property, ...]:
        """Return the properties."""
        return (
            Property(PacketProperty.ONE_HOP, z3.ULE(state.get("hops"), 1)),
            Property(PacketProperty.SENT_ONCE, z3.ULE(state.get("sent"), 1)),
            Property(PacketProperty.OWN_SERVICE, z3.Not(state.get("foreign"))),
        )

    def list_lemmas(self, state: State) -> tuple[z3.BoolRef, ...]:
        """Return further invariants that help k-induction: there is one copy of the packet."""
        copies = [z3.UGE(state.get("sent"), 1)]
        for i in ENTRIES:
            undelivered = z3.And(state.get("flying", i), z3.Not(state.get("seen", i)))
            copies += [state.get("here", i), state.get("held", i) != NONE, undelivered]
        passed = z3.UGE(state.get("hops"), 1)
        result = [z3.AtMost(*copies, 1)]
        for i in ENTRIES:
            result.append(z3.Implies(z3.Or(state.get("flying", i), state.get("passed", i)), passed))
            here_after = z3.And(state.get("here", i), passed)
            result.append(z3.Implies(here_after, state.get("passed", i)))
        return tuple(result)

    def _build_pass(self, state: State, i: int, j: int) -> Action:
        guard = state.get("here", i)
        if self.has(PacketRule.ONE_HOP):
            guard = z3.And(guard, z3.Not(state.get("passed", i)))
        assignments = (
            assign("here", i, to=False),
            assign("flying", j, to=True),
            assign("seen", j, to=False),
            assign("hops", to=_count_up(state.get("hops"))),
        )
        return Action(PacketStep.PASS, (i, j), guard, assignments)

    def _build_deliver(self, state: State, i: int) -> Action:
        guard = state.get("flying", i)
        if self.has(PacketRule.REPLAY_WINDOW):
            guard = z3.And(guard, z3.Not(state.get("seen", i)))
        flags = ("here", "passed", "seen")
        assignments = tuple(assign(n, i, to=True) for n in flags)
        return Action(PacketStep.DELIVER, (i,), guard, assignments)

    def _send(self, state: State, i: int, upstream: z3.BitVecRef) -> tuple[Assignment, ...]:
        listed = upstream == _select_listed(state, i)
        leaves = listed if self.has(PacketRule.CHOKE) else z3.BoolVal(True)
        foreign = z3.And(leaves, z3.Not(listed))
        sent = state.get("sent")
        return (
            assign("sent", to=z3.If(leaves, _count_up(sent), sent)),
            assign("foreign", to=z3.Or(state.get("foreign"), foreign)),
            assign("record", i, to=upstream),
        )


def create_specification() -> Specification:
    """Return the system of this module with its checks."""
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


def _count_up(count: z3.BitVecRef) -> z3.BitVecRef:
    return z3.If(count == MAX_COUNT, count, count + 1)
