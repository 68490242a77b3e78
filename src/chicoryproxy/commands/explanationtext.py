"""Formats explanations of routing decisions as sentences."""

from chicoryproxy.routing.explanation import (
    ConditionStep,
    Explanation,
    GenerationStep,
    HoldReason,
    HoldStep,
    HomeStep,
    OutcomeKind,
    OutcomeStep,
    PacketKind,
    RecordStep,
    ServiceStep,
    SlotStep,
    Step,
    ViewStep,
)

_HOLD_TEXTS = {
    HoldReason.CLEAN: "clean: any entry decides alone",
    HoldReason.SEVERAL_CANDIDATES: "contested: versions place it on different upstreams",
    HoldReason.AWAITS_RELEASE: "contested: its home has not released it yet",
    HoldReason.UPSTREAM_LIMITED: "contested: its upstream limits openings",
}
_PACKET_TEXTS = {PacketKind.OPENING: "an opening packet", PacketKind.LATER: "any other packet"}
_OUTCOME_TEXTS = {
    OutcomeKind.FORWARD: "is forwarded to {target} ({reason})",
    OutcomeKind.PASS: "is passed to the home {target} ({reason})",
    OutcomeKind.ASK_PEERS: "waits until the peers have sent their records of the slot",
    OutcomeKind.ASK_OWNER: "needs a grant for {target}, which is {reason}",
    OutcomeKind.ELSEWHERE: "goes to another upstream, since {target} is {reason}",
    OutcomeKind.REFUSE: "is refused with a reset ({reason})",
    OutcomeKind.DROP: "is dropped ({reason})",
}


def describe_explanation(explanation: Explanation) -> list[str]:
    """Return one sentence per step."""
    return [describe_step(step) for step in explanation.steps]


def describe_step(step: Step) -> str:
    """Return a step as a sentence."""
    match step:
        case ViewStep():
            return _describe_view(step)
        case ServiceStep():
            return _describe_service(step)
        case SlotStep():
            return f"slot: {step.slot} of {step.size}, by the flow key {step.flow:016x}"
        case GenerationStep():
            suffix = "" if step.is_relevant else " (released, no longer relevant)"
            return f"placement: version {step.version} gives {step.upstream or 'none'}{suffix}"
        case HoldStep():
            return _describe_hold(step)
        case HomeStep():
            return _describe_home(step)
        case RecordStep():
            return _describe_record(step)
        case ConditionStep():
            return _describe_condition(step)
        case OutcomeStep():
            return _describe_outcome(step)


def _describe_view(step: ViewStep) -> str:
    behind = ", behind its peers or stale" if step.is_behind else ""
    versions = f"version {step.version}, new flows by {step.placed}, highest known {step.highest}"
    return f"view: {step.instance} has {versions}{behind}"


def _describe_service(step: ServiceStep) -> str:
    address = f"{step.address.host} port {step.address.port}"
    if step.service is None or step.return_path is None:
        return f"service: none has the address {address}"
    return f"service: {step.service} at {address}, answers by path {step.return_path.value}"


def _describe_hold(step: HoldStep) -> str:
    candidates = ", ".join(step.candidates) or "none"
    since = f", for {step.contested_s:.1f} s" if step.contested_s else ""
    return f"state: {_HOLD_TEXTS[step.reason]}{since}; candidates {candidates}"


def _describe_home(step: HomeStep) -> str:
    if step.home is None:
        return "home: no live instance"
    own = " (this entry)" if step.is_own else ""
    silent = "" if step.reacts else ", does not process packets: the successor is used"
    return f"home: {step.home}{own}, successor {step.successor or 'none'}{silent}"


def _describe_record(step: RecordStep) -> str:
    if step.upstream is None:
        return "record: none at this entry"
    state = "half-open" if step.is_half_open else "closing" if step.is_closing else "established"
    source = "decided here" if step.is_decided_here else "learned from a peer or the base"
    return f"record: {step.upstream}, {state}, {source}"


def _describe_condition(step: ConditionStep) -> str:
    reason = step.refusal or step.drop
    sent = f"; nothing is sent to it ({reason.value})" if reason is not None else ""
    owner = step.owner or "no live instance"
    return (
        f"upstream: {step.upstream} is {step.state.value}, epoch {step.epoch}, owner {owner}{sent}"
    )


def _describe_outcome(step: OutcomeStep) -> str:
    reason = step.route or step.refusal or step.drop or step.state
    text = _OUTCOME_TEXTS[step.kind].format(
        target=step.target, reason=reason.value if reason is not None else ""
    )
    return f"now: {_PACKET_TEXTS[step.packet]} {text}"
