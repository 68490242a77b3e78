"""Tables that ``chicory-check`` prints."""

from collections.abc import Iterable

from rich.console import Console
from rich.table import Table

from chicoryproxy.comparison import Comparison
from chicoryproxy.configuration import EffectiveValue
from chicoryproxy.layers import format_value


def print_effective(console: Console, values: Iterable[EffectiveValue]) -> None:
    """Print effective values with their origins."""
    table = Table("of", "key", "value", "from", box=None, pad_edge=False)
    for item in values:
        shown = format_value(item.key, item.value.value)
        table.add_row(str(item.target), item.key, shown, str(item.value.layer))
    console.print(table)


def print_comparison(console: Console, comparison: Comparison) -> None:
    """Print what a change does."""
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
    if comparison.services:
        console.print(table)
    else:
        console.print("no slot moves, and no upstream starts cold")
    for label, names in (("added", comparison.added), ("removed", comparison.removed)):
        if names:
            console.print(f"services {label}: {', '.join(names)}")
    if comparison.removed:
        console.print("the flows of removed services end")
    console.print(
        f"control: {comparison.value_bytes} bytes of values to read; hints of at most "
        f"{comparison.hint_bytes} bytes per entry, {comparison.hint_s:.1f} s at the control rate"
    )
