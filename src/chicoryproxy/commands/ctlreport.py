"""Output tables of ``chicory-ctl``."""

from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator, Sequence

from rich.console import Group, RenderableType
from rich.padding import Padding
from rich.table import Table

from chicoryproxy.control.health import SignalEvidence
from chicoryproxy.control.signals import Verdict
from chicoryproxy.ids import UpstreamId, Version
from chicoryproxy.processes.controlclient import InstanceReport, Unanswered
from chicoryproxy.processes.processstate import EntryState, ViewState
from chicoryproxy.telemetry.metrics import Metric

ALL_OBSERVERS = "all"
NO_ANSWER_TEXT = "no answer"
MAX_LISTED_SLOTS = 6
_TABLE_PADDING = (0, 0, 1, 0)
_METRICS_WITH_REASON = (Metric.REFUSALS, Metric.PACKETS_DROPPED)


def build_state(reports: Sequence[InstanceReport]) -> RenderableType:
    """Return all tables that describe a set of instances."""
    views = [report.view for report in reports if isinstance(report.view, ViewState)]
    entries = [report.entry for report in reports if isinstance(report.entry, EntryState)]
    tables = (
        _build_instance_table(reports),
        _build_member_table(views),
        _build_upstream_table(views),
        _build_slot_table(entries),
        _build_reason_table(entries),
    )
    padded_tables = [Padding(table, _TABLE_PADDING) for table in tables if table.row_count]
    return Group(*padded_tables, *_describe_unanswered(reports))


def _describe_unanswered(reports: Iterable[InstanceReport]) -> Iterator[str]:
    for report in reports:
        for state in (report.view, report.entry):
            if isinstance(state, Unanswered):
                yield f"no answer: {state.reason}"


def _build_instance_table(reports: Iterable[InstanceReport]) -> Table:
    table = _create_table("instance", "version", "for", "places by", "highest", "view", "platform")
    for column in ("domains out", "cut off from", "entry", "records"):
        table.add_column(column)
    for report in reports:
        table.add_row(
            report.name, *_format_view_cells(report.view), *_format_entry_cells(report.entry)
        )
    return table


def _format_view_cells(view: ViewState | Unanswered) -> tuple[str, ...]:
    if isinstance(view, Unanswered):
        return "?", "?", "?", "?", NO_ANSWER_TEXT, "?", "?", "?"
    core = view.core
    states = [core.catch_up.value]
    states += ["stale"] * core.is_stale + ["leaving"] * view.is_leaving
    states += [] if view.is_entry_connected else ["no entry"]
    age = _format_age(core.version_age_s)
    versions = (f"{core.version}", age, f"{core.placed}", f"{core.highest}")
    platform = f"{core.watch.value}, {core.unread} failed reads"
    domains = (_join(core.domains_out) or "none", _join(core.cut_off) or "none")
    return *versions, _join(states), platform, *domains


def _format_entry_cells(entry: EntryState | Unanswered) -> tuple[str, str]:
    if isinstance(entry, Unanswered):
        return NO_ANSWER_TEXT, "?"
    states = [f"version {entry.version}"]
    states += ["behind"] * entry.core.is_behind + ["leaving"] * entry.is_leaving
    states += [] if entry.is_view_connected else ["no view"]
    return ", ".join(states), f"{entry.core.records} of {entry.core.records_limit}"


def _build_member_table(views: Sequence[ViewState]) -> Table:
    table = _create_table("member", "domain", "state", "for", "version", "seen by")
    observations = defaultdict(list)
    for view in views:
        for peer in view.core.peers:
            key = (peer.member.instance.id, peer.member.instance.domain, peer.member.state)
            observations[key].append((view.instance, peer))
    for (name, domain, state), items in sorted(observations.items(), key=lambda item: item[0][:2]):
        versions: set[Version] = {peer.version for _, peer in items}
        age = _format_age(min(peer.since_s for _, peer in items))
        # An instance is not in its own peer list.
        others = sum(view.instance != name for view in views)
        observers = _format_observers([observer for observer, _ in items], others)
        table.add_row(name, domain, state.value, age, _join(sorted(versions)), observers)
    return table


def _build_upstream_table(views: Sequence[ViewState]) -> Table:
    table = _create_table("upstream", "state", "for", "epoch", "seen by", "evidence of its owner")
    evidence = _describe_evidence_by_upstream(views)
    observations = defaultdict(list)
    for view in views:
        for item in view.core.conditions:
            age_s = view.core.now_s - item.since_s
            observations[(item.upstream, item.state, item.epoch)].append((view.instance, age_s))
    for (name, state, epoch), items in sorted(observations.items(), key=lambda item: item[0][0]):
        age = _format_age(min(age_s for _, age_s in items))
        observers = _format_observers([observer for observer, _ in items], len(views))
        evidence_text = evidence.get(name, "owner not asked")
        table.add_row(name, state.value, age, f"{epoch}", observers, evidence_text)
    return table


def _describe_evidence_by_upstream(views: Iterable[ViewState]) -> dict[UpstreamId, str]:
    return {
        item.condition.upstream: _describe_signals(view.instance, item.signals)
        for view in views
        for item in view.core.evidence
    }


def _describe_signals(owner: str, signals: Iterable[SignalEvidence]) -> str:
    evidence_text = [
        f"{item.signal} {item.verdict.value}" + " (distrusted)" * item.is_distrusted
        for item in signals
        if item.verdict is not Verdict.SILENT
    ]
    return f"{owner}: {', '.join(evidence_text) or 'none'}"


def _build_slot_table(entries: Iterable[EntryState]) -> Table:
    table = _create_table("service", "entry", "contested", "of", "several candidates", "versions")
    table.add_column("first contested slots")
    for entry in entries:
        for item in entry.core.services:
            first = _join(item.contested[:MAX_LISTED_SLOTS]) or "none"
            table.add_row(
                item.service,
                entry.instance,
                f"{item.held}",
                f"{item.size}",
                f"{item.changed}",
                _join(item.generations),
                first,
            )
    return table


def _build_reason_table(entries: Iterable[EntryState]) -> Table:
    table = _create_table("refusals and drops", "reason", "count", "entries")
    counts: Counter[tuple[str, str]] = Counter()
    names = defaultdict(list)
    for entry in entries:
        for kind, reason, count in _list_reasons(entry):
            counts[(kind, reason)] += count
            names[(kind, reason)].append(entry.instance)
    for (kind, reason), count in sorted(counts.items()):
        table.add_row(kind, reason, f"{count}", ", ".join(names[(kind, reason)]))
    return table


def _list_reasons(entry: EntryState) -> Iterator[tuple[str, str, int]]:
    for name, count in entry.counters.items():
        kind, _, reason = name.rpartition(".")
        if count and kind in {metric.value for metric in _METRICS_WITH_REASON}:
            yield kind, reason, count


def _format_observers(names: Sequence[str], possible_count: int) -> str:
    return ALL_OBSERVERS if len(names) == possible_count else ", ".join(names)


def _join(values: Iterable[object]) -> str:
    return ", ".join(map(str, values))


def _format_age(age_s: float) -> str:
    return f"{age_s:.1f} s"


def _create_table(*columns: str) -> Table:
    return Table(*columns, box=None, pad_edge=False)
