"""The command line: list the experiments, sweep one over its sizes, show a result, play soak tests."""

from __future__ import annotations

import asyncio
import sys
from collections import Counter
from pathlib import Path

import click
import msgspec

from ingress_testbed.experiments import ALL
from ingress_testbed.results import Point, Result, ResultError, read
from ingress_testbed.slopes import MIN_SIZES
from ingress_testbed.soak import run as soaks
from ingress_testbed.soak.judge import figures, judge
from ingress_testbed.sweep import ProgramError, Stopped, play
from ingress_testbed.worker import WorkerError

STOPPED = 130


@click.group(help=__doc__)
def main() -> None: ...


@main.command("list")
def list_all() -> None:
    """The experiments, what their sizes count, and their options."""
    for e in ALL.values():
        options = " ".join(f"{k}={v:g}" for k, v in e.options.items())
        click.echo(f"{e.name:14} over {e.over}: {e.about} [{options}]")


def _sizes(context: click.Context, parameter: click.Parameter, text: str) -> list[int]:
    try:
        sizes = sorted({int(part) for part in text.split(",")})
    except ValueError:
        raise click.BadParameter(f"{text!r} is not a list of whole numbers") from None
    if sizes[0] < 1 or len(sizes) < MIN_SIZES:
        raise click.BadParameter(f"{MIN_SIZES} different sizes or more, each over 0")
    return sizes


@main.command()
@click.argument("name", type=click.Choice(sorted(ALL)))
@click.option("--over", "sizes", required=True, callback=_sizes, help="sizes: three or more, with commas")
@click.option("--repeat", type=click.IntRange(1, 100), default=3, show_default=True)
@click.option("--seed", type=click.IntRange(0), default=1, show_default=True)
@click.option("--set", "changes", multiple=True, help="another value for an option: NAME=NUMBER")
@click.option("--program", "commit", help="the commit whose ingress is measured [this tree's]")
@click.option("--out", type=click.Path(path_type=Path, dir_okay=False), help="the result [NAME.json]")
def sweep(
    name: str,
    sizes: list[int],
    repeat: int,
    seed: int,
    changes: tuple[str, ...],
    commit: str | None,
    out: Path | None,
) -> None:
    """Plays experiment NAME at each size, and fits slopes."""
    options = dict(ALL[name].options)
    for change in changes:
        key, _, value = change.partition("=")
        if key not in options:
            known = ", ".join(options)
            raise click.BadParameter(f"{key!r} is no option of {name}: {known}", param_hint="--set")
        try:
            options[key] = float(value)
        except ValueError:
            raise click.BadParameter(f"{key}: {value!r} is not a number", param_hint="--set") from None
    path = out or Path(f"{name}.json")
    if not path.absolute().parent.is_dir():
        raise click.BadParameter(f"there is no folder for {path.name}", param_hint="--out")
    over = ",".join(map(str, sizes))
    words = [f"python -m ingress_testbed sweep {name} --over {over} --repeat {repeat} --seed {seed}"]
    words += [f"--set {change}" for change in changes] + ([f"--program {commit}"] if commit else [])
    command = " ".join(words)
    try:
        result = play(ALL[name], sizes, repeat, seed, options, path, commit, command, _report)
    except ProgramError as error:
        raise click.BadParameter(str(error), param_hint="--program") from None
    except (WorkerError, RuntimeError, OSError) as error:
        raise click.ClickException(f"{error}; {path.name} holds what was played") from None
    except Stopped:
        click.echo(f"stopped: {path.name} holds what was played", err=True)
        sys.exit(STOPPED)
    _show(result)


@main.command()
@click.argument("path", type=click.Path(path_type=Path, dir_okay=False))
def show(path: Path) -> None:
    """A result's medians and slopes."""
    try:
        _show(read(path))
    except ResultError as error:
        raise click.BadParameter(str(error), param_hint="PATH") from None


@main.command()
@click.option("--seed", type=click.IntRange(0), default=1, show_default=True, help="of the first run")
@click.option("--runs", type=click.IntRange(1, 1000), default=1, show_default=True, help="a seed each")
@click.option("--seconds", type=click.FloatRange(8, 3600), default=30.0, show_default=True)
@click.option("--nodes", type=click.IntRange(1, 60), default=12, show_default=True)
@click.option("--backends", type=click.IntRange(6, 200), default=24, show_default=True)
@click.option("--rate", type=click.FloatRange(1, 2000), default=250.0, show_default=True, help="requests a s")
@click.option("--gap", type=click.FloatRange(0.02), default=0.3, show_default=True, help="s between faults")
@click.option("--out", type=click.Path(path_type=Path, file_okay=False), help="keeps the records")
def soak(
    seed: int, runs: int, seconds: float, nodes: int, backends: int, rate: float, gap: float, out: Path | None
) -> None:
    """Plays real ingresses under overlapping faults; exit code 1 if an invariant is broken."""
    broken = 0
    for number in range(seed, seed + runs):
        run, problems = asyncio.run(soaks.play(number, soaks.RunSize(seconds, nodes, backends, rate, gap)))
        found = judge(run)
        broken += bool(found)
        totals = "  ".join(f"{name} {value:g}" for name, value in sorted(figures(run).items()))
        click.echo(f"seed {number}: {len(found)} breaks  {totals}")
        for rule, count in Counter(rule for rule, _ in found).items():
            click.echo(f"  {rule}: {count}, such as {next(why for r, why in found if r == rule)[:900]}")
        for problem in problems:
            click.echo(f"  the run itself: {problem}")
        if out:
            out.mkdir(parents=True, exist_ok=True)
            (out / f"soak-{number}.json").write_bytes(msgspec.json.encode(run))
    sys.exit(1 if broken else 0)


def _report(point: Point, took: float) -> None:
    figures = "  ".join(f"{name} {value:.4g}" for name, value in point.figures.items())
    click.echo(f"size {point.size:g} ({took:.0f} s): {figures}")


def _show(result: Result) -> None:
    click.echo(f"{result.command}  (program {result.program}{', changed' if result.is_modified else ''})")
    for name, by_size in result.medians.items():
        line = "  ".join(f"{size}: {value:.4g}" for size, value in by_size.items())
        if slope := result.slopes.get(name):
            line += f"   slope {slope.slope:.4g} +- {slope.error:.2g}, at 0 {slope.intercept:.4g}"
            line += f", {slope.fit}" + (f" ({slope.why})" if slope.why else "")
        click.echo(f"{name}: {line}")


if __name__ == "__main__":
    main()
