"""What each mechanism is worth: ``python -m benchmarks.ablation --bench PROGRAM --work DIR SITE``.

Plays days on scratch copies of the working tree, each with one mechanism switched off, and prints
the difference to the unchanged code. A mechanism is switched off by a statement that is appended to
its module in the copy, so that the product has no switches for it.

The directory of the copies must be outside the temporary directory, which the bench hides.
"""

import argparse
import json
import shutil
import statistics
import subprocess
import sys
from collections.abc import Iterable
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from msgspec import Struct

PACKAGE = Path("src/chicoryproxy")
UNCHANGED = "(none)"
SPREAD_SEEDS = 2
"""Fewer results than this have no spread."""


class Mechanism(Struct, frozen=True):
    """A mechanism, and what switches it off.

    :param module: path of the module below the package.
    :param statement: appended to the module; one line.
    """

    name: str
    module: str
    statement: str


class Play(Struct, frozen=True):
    """One day to play with one mechanism off."""

    mechanism: str
    site: Path
    day: str
    seed: int


class Outcome(Struct, frozen=True):
    """Result of a play.

    :param worth: of the whole day, less prices.
    :param windows: share of the worth earned in the two worst windows.
    """

    worth: float
    windows: float


MECHANISMS = (
    Mechanism(
        "failure detector",
        "forwarding/health/failuredetector.py",
        "FailureDetector.is_suspected = lambda self, upstream, now: False",
    ),
    Mechanism(
        "active probes",
        "forwarding/health/reachability.py",
        "ReachabilityMonitor.pop_due = lambda self, now: []",
    ),
    Mechanism(
        "reports of peers",
        "forwarding/health/unreachablereports.py",
        "UnreachableReports.is_avoided = lambda self, upstream, now: False",
    ),
    Mechanism(
        "avoidance of domains",
        "forwarding/health/domainreachability.py",
        "DomainReachability.is_unreachable = lambda self, domain: False",
    ),
    Mechanism(
        "control probes",
        "forwarding/health/probecontrol.py",
        "ControlProbeSelector.choose = lambda self, suspected, now: None",
    ),
    Mechanism(
        "rerouting",
        "forwarding/health/isolation.py",
        "IsolationDetector.is_rerouting = lambda self, now: False",
    ),
    Mechanism(
        "isolation of a domain",
        "forwarding/health/isolation.py",
        "IsolationDetector.tick = lambda self, now: False",
    ),
    Mechanism("pause detection", "forwarding/pause.py", "PAUSE_S = float('inf')"),
    Mechanism("own domain preferred", "forwarding/balancing/placement.py", "REMOTE_COST = 0.0"),
    Mechanism(
        "peers' loads",
        "forwarding/balancing/peerloads.py",
        "PeerLoads.get = lambda self, mark: None",
    ),
    Mechanism(
        "response times",
        "forwarding/balancing/performance.py",
        "MeasuredPerformance.get_factor = lambda self, upstream: None",
    ),
    Mechanism(
        "slow start",
        "forwarding/balancing/slowstart.py",
        "AdaptiveSlowStart.begin = lambda self, upstream, cause, now: None",
    ),
    Mechanism(
        "overload detection",
        "forwarding/load/overload.py",
        "LateResponseDetector.is_overloaded = lambda self, now: False",
    ),
    Mechanism(
        "admission control",
        "forwarding/load/admission.py",
        "PriorityAdmission.admits = lambda self, route, flow, now: True",
    ),
    Mechanism(
        "pending openings spread",
        "forwarding/balancing/pending.py",
        "PendingResponses.list_pending = lambda self, flow_id, now: []",
    ),
    Mechanism("wait for a first answer", "forwarding/forwarder.py", "ANSWER_TIMEOUT_S = 0.0"),
    Mechanism("early binding", "node/early.py", "bind_packet_socket = lambda: None"),
)


def create_copy(source: Path, target: Path, mechanism: Mechanism | None) -> None:
    """Create a repository that holds the product with a mechanism switched off."""
    shutil.rmtree(target, ignore_errors=True)
    for folder in ("src", "deploy"):
        shutil.copytree(
            source / folder, target / folder, ignore=shutil.ignore_patterns("__pycache__")
        )
    if mechanism is not None:
        with (target / PACKAGE / mechanism.module).open("a") as module:
            module.write(f"\n{mechanism.statement}\n")
    git = ["git", "-C", str(target), "-c", "user.name=ablation", "-c", "user.email=ablation@local"]
    for command in (["init", "-q"], ["add", "-A"], ["commit", "-q", "-m", "Copy"]):
        subprocess.run([*git, *command], check=True)


def run_play(bench: Path, copies: Path, play: Play) -> Outcome:
    """Play a day.

    :raises RuntimeError: if the bench gives no report.
    """
    copy = copies / _get_folder(play.mechanism)
    report = copies / f"{copy.name}-{play.site.stem}-{Path(play.day).stem}-{play.seed}.json"
    command = [bench, "run", play.site, play.day, "--seed", str(play.seed), "--no-cpu"]
    command += ["--report", report, "--why", f"ablation trial: without {play.mechanism}"]
    result = subprocess.run([str(word) for word in command], cwd=copy, capture_output=True)
    try:
        day = json.loads(report.read_text())
    except (OSError, ValueError) as error:
        raise RuntimeError(f"{play}: {error}; {result.stderr.decode()[-300:]}") from error
    windows = next(part[2] for part in day["parts"] if part[0] == "worst windows")
    return Outcome(day["G"], windows)


def print_table(plays: Iterable[Play], outcomes: Iterable[Outcome]) -> None:
    """Print what the unchanged code has more, for each mechanism and site."""
    results = dict(zip(plays, outcomes, strict=True))
    print("| without | site | worth lost | worst windows lost | spread of worth over the plays |")
    print("|---|---|---:|---:|---:|")
    groups: dict[tuple[str, str], list[Play]] = {}
    for play in results:
        if play.mechanism != UNCHANGED:
            groups.setdefault((play.mechanism, play.site.stem), []).append(play)
    for (mechanism, site), members in groups.items():
        pairs = [
            (results[Play(UNCHANGED, play.site, play.day, play.seed)], results[play])
            for play in members
        ]
        worth = [whole.worth - without.worth for whole, without in pairs]
        windows = [whole.windows - without.windows for whole, without in pairs]
        spread = statistics.stdev(worth) if len(worth) >= SPREAD_SEEDS else 0.0
        print(
            f"| {mechanism} | {site} | {statistics.mean(worth):+.4f} "
            f"| {statistics.mean(windows):+.4f} | {spread:.4f} |"
        )


def _get_folder(mechanism: str) -> str:
    return "ablation-" + "".join(c if c.isalnum() else "-" for c in mechanism)


def _parse_arguments() -> argparse.Namespace:
    parser = argparse.ArgumentParser(description="Play days with one mechanism off at a time.")
    parser.add_argument("sites", nargs="+", type=Path, help="site files")
    parser.add_argument("--bench", type=Path, required=True, help="program that plays a day")
    parser.add_argument("--work", type=Path, required=True, help="directory for the copies")
    parser.add_argument("--days", nargs="+", required=True, help="days of the site files")
    parser.add_argument("--seeds", nargs="+", type=int, default=[1, 2], help="seeds of each day")
    parser.add_argument("--only", nargs="+", help="mechanisms to switch off; all if none is given")
    parser.add_argument("--jobs", type=int, default=3, help="plays at a time")
    return parser.parse_args()


def main() -> int:
    """Run the command; return its exit code."""
    arguments = _parse_arguments()
    known = {mechanism.name: mechanism for mechanism in MECHANISMS}
    names = arguments.only or list(known)
    unknown = [name for name in names if name not in known]
    if unknown:
        print(f"unknown mechanism {unknown[0]!r}; known: {', '.join(known)}", file=sys.stderr)
        return 2
    for name in (UNCHANGED, *names):
        create_copy(Path.cwd(), arguments.work / _get_folder(name), known.get(name))
    plays = [
        Play(name, site.resolve(), day, seed)
        for site in arguments.sites
        for day in arguments.days
        for seed in arguments.seeds
        for name in (UNCHANGED, *names)
    ]

    def play_one(play: Play) -> Outcome:
        outcome = run_play(arguments.bench.resolve(), arguments.work.resolve(), play)
        print(f"{play.mechanism}, {play.site.stem} {play.day} {play.seed}: {outcome.worth:.4f}")
        return outcome

    with ThreadPoolExecutor(arguments.jobs) as executor:
        outcomes = list(executor.map(play_one, plays))
    print_table(plays, outcomes)
    return 0


if __name__ == "__main__":
    sys.exit(main())
