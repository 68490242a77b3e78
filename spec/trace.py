"""Formats counterexamples as text."""

from spec.finding import Change, Finding, Step


def format_finding(finding: Finding) -> str:
    """Return a finding as text, with one line for each step of its counterexample.

    :param finding: the result of a check.
    """
    lines = [f"{finding.verdict.value}, {finding.depth} steps"]
    if finding.property_name is not None:
        lines.append(f"breaks: {finding.property_name.value}")
    if finding.start:
        lines.append(f"   0  start: {_format_changes(_drop_zeros(finding.start))}")
    lines += [_format_step(number, step) for number, step in enumerate(finding.steps, start=1)]
    return "\n".join(lines)


def _format_step(number: int, step: Step) -> str:
    arguments = ", ".join(map(str, step.arguments))
    changes = _format_changes(step.changes)
    return f"{number:4}  {step.label.name}({arguments}): {step.label.value}; {changes}"


def _format_changes(changes: tuple[Change, ...]) -> str:
    return ", ".join(f"{change.name}={change.value}" for change in changes) or "no change"


def _drop_zeros(changes: tuple[Change, ...]) -> tuple[Change, ...]:
    return tuple(change for change in changes if change.value)
