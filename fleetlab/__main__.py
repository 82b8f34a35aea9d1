"""`python -m fleetlab`: list the experiments, sweep one over its sizes, show a result."""

from __future__ import annotations

import sys
from pathlib import Path

import click

from fleetlab.experiments import ALL
from fleetlab.results import Point, Result, ResultError, read
from fleetlab.slopes import LEAST_SIZES
from fleetlab.sweep import ProgramError, Stopped, play
from fleetlab.worker import WorkerError

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
    if sizes[0] < 1 or len(sizes) < LEAST_SIZES:
        raise click.BadParameter(f"{LEAST_SIZES} different sizes or more, each over 0")
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
    name: str, sizes: list[int], repeat: int, seed: int, changes: tuple[str, ...], commit: str | None,
    out: Path | None,
) -> None:  # fmt: skip
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
    words = [f"python -m fleetlab sweep {name} --over {over} --repeat {repeat} --seed {seed}"]
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


def _report(point: Point, took: float) -> None:
    figures = "  ".join(f"{name} {value:.4g}" for name, value in point.figures.items())
    click.echo(f"size {point.size:g} ({took:.0f} s): {figures}")


def _show(result: Result) -> None:
    click.echo(f"{result.command}  (program {result.program}{', changed' if result.changed else ''})")
    for name, by_size in result.medians.items():
        line = "  ".join(f"{size}: {value:.4g}" for size, value in by_size.items())
        if slope := result.slopes.get(name):
            line += f"   slope {slope.slope:.4g} +- {slope.error:.2g}, at 0 {slope.intercept:.4g}"
            line += f", {slope.fit}" + (f" ({slope.why})" if slope.why else "")
        click.echo(f"{name}: {line}")


if __name__ == "__main__":
    main()
