"""Tables that ``chicory-ctl`` prints."""

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

ALL = "all"
NO_ANSWER = "no answer"
MAX_NAMED_SLOTS = 6
_SPACE_BELOW = (0, 0, 1, 0)
_REASONED = (Metric.REFUSALS, Metric.PACKETS_DROPPED)


def build_state(reports: Sequence[InstanceReport]) -> RenderableType:
    """Return all tables about a set of instances."""
    views = [report.view for report in reports if isinstance(report.view, ViewState)]
    entries = [report.entry for report in reports if isinstance(report.entry, EntryState)]
    tables = (
        _tabulate_instances(reports),
        _tabulate_members(views),
        _tabulate_upstreams(views),
        _tabulate_slots(entries),
        _tabulate_reasons(entries),
    )
    shown = [Padding(table, _SPACE_BELOW) for table in tables if table.row_count]
    return Group(*shown, *_list_unanswered(reports))


def _list_unanswered(reports: Iterable[InstanceReport]) -> Iterator[str]:
    for report in reports:
        for state in (report.view, report.entry):
            if isinstance(state, Unanswered):
                yield f"no answer: {state.reason}"


def _tabulate_instances(reports: Iterable[InstanceReport]) -> Table:
    table = _create_table("instance", "version", "for", "places by", "highest", "view", "platform")
    for column in ("domains out", "cut off from", "entry", "records"):
        table.add_column(column)
    for report in reports:
        table.add_row(report.name, *_list_view(report.view), *_list_entry(report.entry))
    return table


def _list_view(view: ViewState | Unanswered) -> tuple[str, ...]:
    if isinstance(view, Unanswered):
        return "?", "?", "?", "?", NO_ANSWER, "?", "?", "?"
    core = view.core
    states = [core.catch_up.value]
    states += ["stale"] * core.is_stale + ["leaving"] * view.is_leaving
    states += [] if view.is_entry_connected else ["no entry"]
    age = _format_age(core.version_age_s)
    versions = (f"{core.version}", age, f"{core.placed}", f"{core.highest}")
    platform = f"{core.watch.value}, {core.unread} failed reads"
    domains = (_join(core.domains_out) or "none", _join(core.cut_off) or "none")
    return *versions, _join(states), platform, *domains


def _list_entry(entry: EntryState | Unanswered) -> tuple[str, str]:
    if isinstance(entry, Unanswered):
        return NO_ANSWER, "?"
    states = [f"version {entry.version}"]
    states += ["behind"] * entry.core.is_behind + ["leaving"] * entry.is_leaving
    states += [] if entry.is_view_connected else ["no view"]
    return ", ".join(states), f"{entry.core.records} of {entry.core.records_limit}"


def _tabulate_members(views: Sequence[ViewState]) -> Table:
    table = _create_table("member", "domain", "state", "for", "version", "seen by")
    seen = defaultdict(list)
    for view in views:
        for peer in view.core.peers:
            key = (peer.member.instance.id, peer.member.instance.domain, peer.member.state)
            seen[key].append((view.instance, peer))
    for (name, domain, state), items in sorted(seen.items(), key=lambda item: item[0][:2]):
        versions: set[Version] = {peer.version for _, peer in items}
        age = _format_age(min(peer.since_s for _, peer in items))
        # An instance does not list itself.
        others = sum(view.instance != name for view in views)
        observers = _name_observers([observer for observer, _ in items], others)
        table.add_row(name, domain, state.value, age, _join(sorted(versions)), observers)
    return table


def _tabulate_upstreams(views: Sequence[ViewState]) -> Table:
    table = _create_table("upstream", "state", "for", "epoch", "seen by", "evidence of its owner")
    evidence = _index_evidence(views)
    seen = defaultdict(list)
    for view in views:
        for item in view.core.conditions:
            age_s = view.core.now_s - item.since_s
            seen[(item.upstream, item.state, item.epoch)].append((view.instance, age_s))
    for (name, state, epoch), items in sorted(seen.items(), key=lambda item: item[0][0]):
        age = _format_age(min(age_s for _, age_s in items))
        observers = _name_observers([observer for observer, _ in items], len(views))
        told = evidence.get(name, "owner not asked")
        table.add_row(name, state.value, age, f"{epoch}", observers, told)
    return table


def _index_evidence(views: Iterable[ViewState]) -> dict[UpstreamId, str]:
    return {
        item.condition.upstream: _describe_signals(view.instance, item.signals)
        for view in views
        for item in view.core.evidence
    }


def _describe_signals(owner: str, signals: Iterable[SignalEvidence]) -> str:
    told = [
        f"{item.signal} {item.verdict.value}" + " (distrusted)" * item.is_distrusted
        for item in signals
        if item.verdict is not Verdict.SILENT
    ]
    return f"{owner}: {', '.join(told) or 'none'}"


def _tabulate_slots(entries: Iterable[EntryState]) -> Table:
    table = _create_table("service", "entry", "contested", "of", "several candidates", "versions")
    table.add_column("first contested slots")
    for entry in entries:
        for item in entry.core.services:
            first = _join(item.contested[:MAX_NAMED_SLOTS]) or "none"
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


def _tabulate_reasons(entries: Iterable[EntryState]) -> Table:
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
        if count and kind in {metric.value for metric in _REASONED}:
            yield kind, reason, count


def _name_observers(names: Sequence[str], possible: int) -> str:
    return ALL if len(names) == possible else ", ".join(names)


def _join(values: Iterable[object]) -> str:
    return ", ".join(map(str, values))


def _format_age(age_s: float) -> str:
    return f"{age_s:.1f} s"


def _create_table(*columns: str) -> Table:
    return Table(*columns, box=None, pad_edge=False)
