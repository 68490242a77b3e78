"""Output tables of ``chicory-check``."""

from collections.abc import Iterable, Sequence

from rich.console import Console
from rich.table import Table

from chicoryproxy.commands.comparison import Comparison, ServiceChange
from chicoryproxy.configuration.configuration import EffectiveValue
from chicoryproxy.configuration.layers import format_value


def print_effective_values(console: Console, values: Iterable[EffectiveValue]) -> None:
    """Print effective values and the origin of each."""
    table = Table("of", "key", "value", "from", box=None, pad_edge=False)
    for item in values:
        text = format_value(item.key, item.value.value)
        table.add_row(str(item.target), item.key, text, str(item.value.layer))
    console.print(table)


def print_comparison(console: Console, comparison: Comparison) -> None:
    """Print the effect of a change."""
    columns = ("service", "slots", "moved", "contested", "given up", "flows contested")
    table = Table(*columns, "flows given up", "starting cold", box=None, pad_edge=False)
    for change in comparison.services:
        table.add_row(
            change.service,
            f"{change.slots}",
            f"{change.moved}",
            f"{change.contested}",
            f"{change.given_up}",
            f"{change.contested_flows}",
            f"{change.given_up_flows}",
            ", ".join(change.cold) or "none",
        )
    if len(comparison.services) > 1:
        table.add_section()
        table.add_row(*_build_total_row(comparison.services))
    if comparison.services:
        console.print(table)
    else:
        console.print("no slot moves, and no upstream starts cold")
    addresses = [f"{item.host} port {item.port}" for item in comparison.removed_addresses]
    _print_names(console, "services added", comparison.added)
    _print_names(console, "services removed", comparison.removed)
    _print_names(console, "addresses removed, their flows end", addresses)
    _print_names(console, "services with other values changed", comparison.adjusted)
    console.print(
        f"control: {comparison.value_bytes} bytes of values to read; hints of at most "
        f"{comparison.hint_bytes} bytes per entry, {comparison.hint_s:.1f} s at the control rate"
    )


def _build_total_row(changes: Sequence[ServiceChange]) -> tuple[str, ...]:
    return (
        "total",
        f"{sum(change.slots for change in changes)}",
        f"{sum(change.moved for change in changes)}",
        f"{sum(change.contested for change in changes)}",
        f"{sum(change.given_up for change in changes)}",
        f"{sum(change.contested_flows for change in changes)}",
        f"{sum(change.given_up_flows for change in changes)}",
        f"{sum(len(change.cold) for change in changes)}",
    )


def _print_names(console: Console, label: str, names: Sequence[str]) -> None:
    if names:
        console.print(f"{label}: {', '.join(names)}")
