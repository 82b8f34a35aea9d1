"""The command line: lists the experiments, sweeps one over its sizes, shows a result, runs soak tests."""

from __future__ import annotations

import asyncio
import sys
from collections import Counter
from pathlib import Path

import click
import msgspec
import uvloop

from ingress_testbed.experiments import ALL
from ingress_testbed.results import Point, Result, ResultError, read
from ingress_testbed.slopes import MIN_SIZES
from ingress_testbed.slow_peers import run as slow_peers_run
from ingress_testbed.slow_peers.judge import judge as judge_slow_peers
from ingress_testbed.soak import run as soak_run
from ingress_testbed.soak.judge import figures, judge
from ingress_testbed.sweep import ProgramError, Sweep, SweepInterruptedError, play
from ingress_testbed.worker import WorkerError

INTERRUPTED_EXIT_CODE = 130
MAX_EXAMPLE_LENGTH = 900  # characters


@click.group(help=__doc__)
def main() -> None:
    """Groups the commands."""


@main.command("list")
def list_experiments() -> None:
    """Lists the experiments, what their sizes count, and their options."""
    for experiment in ALL.values():
        options = " ".join(f"{name}={value:g}" for name, value in experiment.options.items())
        click.echo(f"{experiment.name:14} over {experiment.size_name}: {experiment.description} [{options}]")


def _parse_sizes(context: click.Context, parameter: click.Parameter, text: str) -> list[int]:
    try:
        sizes = sorted({int(part) for part in text.split(",")})
    except ValueError:
        raise click.BadParameter(f"{text!r} is not a comma-separated list of whole numbers") from None
    if sizes[0] < 1 or len(sizes) < MIN_SIZES:
        raise click.BadParameter(f"expected {MIN_SIZES} different sizes or more, each over 0, got {text!r}")
    return sizes


@main.command()
@click.argument("name", type=click.Choice(sorted(ALL)))
@click.option(
    "--over", "sizes", required=True, callback=_parse_sizes, help="three or more sizes, separated by commas"
)
@click.option("--repeat", type=click.IntRange(1, 100), default=3, show_default=True)
@click.option("--seed", type=click.IntRange(0), default=1, show_default=True)
@click.option("--set", "overrides", multiple=True, help="overrides an option of the experiment: NAME=NUMBER")
@click.option("--program", "commit", help="measures the ingress of this commit [default: the work tree]")
@click.option(
    "--out", type=click.Path(path_type=Path, dir_okay=False), help="the result file [default: NAME.json]"
)
def sweep(
    name: str,
    sizes: list[int],
    repeat: int,
    seed: int,
    overrides: tuple[str, ...],
    commit: str | None,
    out: Path | None,
) -> None:
    """Plays experiment NAME at each size, and fits a line to each figure."""
    options = _override_options(name, overrides)
    path = out or Path(f"{name}.json")
    if not path.absolute().parent.is_dir():
        raise click.BadParameter(f"the parent folder of {path} does not exist", param_hint="--out")
    over = ",".join(map(str, sizes))
    command_words = [f"python -m ingress_testbed sweep {name} --over {over} --repeat {repeat} --seed {seed}"]
    command_words += [f"--set {override}" for override in overrides] + (
        [f"--program {commit}"] if commit else []
    )
    command = " ".join(command_words)
    try:
        result = play(Sweep(ALL[name], sizes, repeat, seed, options, commit, command), path, _print_point)
    except ProgramError as error:
        raise click.BadParameter(str(error), param_hint="--program") from None
    except (WorkerError, RuntimeError, OSError) as error:
        raise click.ClickException(f"{error}; {path.name} holds the results so far") from None
    except SweepInterruptedError:
        click.echo(f"interrupted: {path.name} holds the results so far", err=True)
        sys.exit(INTERRUPTED_EXIT_CODE)
    _print_result(result)


def _override_options(name: str, overrides: tuple[str, ...]) -> dict[str, float]:
    """Returns the options of experiment `name` with the command line's overrides.

    Raises:
        click.BadParameter: An override names an unknown option, or its value is not a number.
    """
    options = dict(ALL[name].options)
    for override in overrides:
        key, _, value = override.partition("=")
        if key not in options:
            known = ", ".join(options)
            raise click.BadParameter(
                f"{key!r} is not an option of {name}; its options: {known}", param_hint="--set"
            )
        try:
            options[key] = float(value)
        except ValueError:
            raise click.BadParameter(f"{key}: {value!r} is not a number", param_hint="--set") from None
    return options


@main.command()
@click.argument("path", type=click.Path(path_type=Path, dir_okay=False))
def show(path: Path) -> None:
    """Shows a result's medians and slopes."""
    try:
        _print_result(read(path))
    except ResultError as error:
        raise click.BadParameter(str(error), param_hint="PATH") from None


@main.command()
@click.option("--seed", type=click.IntRange(0), default=1, show_default=True, help="seed of the first run")
@click.option(
    "--runs",
    type=click.IntRange(1, 1000),
    default=1,
    show_default=True,
    help="number of runs, each with the next seed",
)
@click.option("--seconds", type=click.FloatRange(8, 3600), default=30.0, show_default=True)
@click.option("--nodes", type=click.IntRange(1, 60), default=12, show_default=True)
@click.option("--backends", type=click.IntRange(6, 200), default=24, show_default=True)
@click.option(
    "--rate", type=click.FloatRange(1, 2000), default=250.0, show_default=True, help="requests per s"
)
@click.option(
    "--gap", type=click.FloatRange(0.02), default=0.3, show_default=True, help="mean s between faults"
)
@click.option("--out", type=click.Path(path_type=Path, file_okay=False), help="folder for the runs' records")
def soak(
    seed: int, runs: int, seconds: float, nodes: int, backends: int, rate: float, gap: float, out: Path | None
) -> None:
    """Runs real ingresses under overlapping faults; exit code 1 if an invariant is violated."""
    failed_runs = 0
    for number in range(seed, seed + runs):
        run, problems = asyncio.run(
            soak_run.play(number, soak_run.RunSize(seconds, nodes, backends, rate, gap))
        )
        violations = judge(run)
        failed_runs += bool(violations)
        totals = "  ".join(f"{name} {value:g}" for name, value in sorted(figures(run).items()))
        click.echo(f"seed {number}: {len(violations)} violations  {totals}")
        _print_violations(violations)
        for problem in problems:
            click.echo(f"  error of the run itself: {problem}")
        if out:
            out.mkdir(parents=True, exist_ok=True)
            (out / f"soak-{number}.json").write_bytes(msgspec.json.encode(run))
    sys.exit(1 if failed_runs else 0)


@main.command("slow-peers")
@click.option("--seed", type=click.IntRange(0), default=1, show_default=True)
@click.option(
    "--runs", type=click.IntRange(1), default=1, show_default=True, help="with seeds from --seed on"
)
@click.option("--seconds", type=click.FloatRange(1), default=8.0, show_default=True)
@click.option(
    "--logs",
    type=click.Path(path_type=Path, file_okay=False),
    help="a folder for the ingress's log, with each event",
)
def slow_peers(seed: int, runs: int, seconds: float, logs: Path | None) -> None:
    """Runs a real ingress among slow clients and backends; exit code 1 if a rule is broken."""
    failed_runs = 0
    for number in range(seed, seed + runs):
        scenario, record = uvloop.run(slow_peers_run.play(number, seconds, traces=logs is not None))
        violations = judge_slow_peers(record)
        failed_runs += bool(violations)
        statuses = Counter(call.status for call in record.calls)
        click.echo(
            f"seed {number}: {len(violations)} violations  {record.peak_mb:.1f} of {record.memory_mb} MB  "
            f"statuses {dict(sorted(statuses.items()))}  late {record.lag:.2f} s  {scenario}"
        )
        _print_violations(violations)
        if logs:
            logs.mkdir(parents=True, exist_ok=True)
            (logs / f"slow-peers-{number}.log").write_text("\n".join(record.log) + "\n")
    sys.exit(1 if failed_runs else 0)


def _print_violations(violations: list[tuple[str, str]]) -> None:
    for rule, count in Counter(rule for rule, _ in violations).items():
        example = next(why for r, why in violations if r == rule)
        click.echo(f"  {rule}: {count}, for example {example[:MAX_EXAMPLE_LENGTH]}")


def _print_point(point: Point, seconds: float) -> None:
    figures = "  ".join(f"{name} {value:.4g}" for name, value in point.figures.items())
    click.echo(f"size {point.size:g} ({seconds:.0f} s): {figures}")


def _print_result(result: Result) -> None:
    click.echo(f"{result.command}  (program {result.program}{', changed' if result.is_modified else ''})")
    for name, by_size in result.medians.items():
        line = "  ".join(f"{size}: {value:.4g}" for size, value in by_size.items())
        if slope := result.slopes.get(name):
            line += f"   slope {slope.slope:.4g} +- {slope.error:.2g}, at 0 {slope.intercept:.4g}"
            line += f", {slope.fit}" + (f" ({slope.why})" if slope.why else "")
        click.echo(f"{name}: {line}")


if __name__ == "__main__":
    main()
