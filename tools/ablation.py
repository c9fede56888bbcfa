"""Plays days with and without single mechanisms, and tables what each is worth.

    tools/ablation.py --bench PROGRAM --work DIRECTORY --site FILE --day NAME

Sites, days, seeds and variants can be given several times.

Each variant is a patch in ``tools/ablations`` that switches off one mechanism; it
is applied to a copy of the committed sources in the work directory, in which
nobody edits while days are played. ``as-is`` is the copy without a patch, and
``--against NAME=REVISION`` adds another revision as a variant. Days that have a
result in the work directory are not played again, so that a run that was cut
goes on where it ended.
"""

import argparse
import json
import statistics
import subprocess
import sys
from collections import defaultdict
from collections.abc import Iterable, Iterator
from concurrent.futures import ThreadPoolExecutor
from dataclasses import asdict, dataclass
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
PATCHES = ROOT / "tools" / "ablations"
AS_IS = "as-is"
RESULTS = "results.jsonl"


@dataclass(frozen=True, kw_only=True, order=True)
class Play:
    """One day, played by one variant with one seed."""

    variant: str
    site: str
    day: str
    seed: int


@dataclass(frozen=True, kw_only=True)
class Result:
    """What a play was worth, and which rules it broke."""

    play: Play
    worth: float
    served: float
    windows: float
    broken: tuple[str, ...]


class Ablation:
    """Variants in copies of their own, and the results so far.

    Parameters
    ----------
    bench : str
        The program that plays days.
    work : Path
        Where copies, reports and results are kept.
    """

    def __init__(self, *, bench: str, work: Path) -> None:
        self._bench = bench
        self._work = work
        work.mkdir(parents=True, exist_ok=True)
        self.results = {r.play: r for r in _read_results(work / RESULTS)}

    def prepare(self, variant: str, *, revision: str) -> None:
        """Copy a revision, and switch off what the variant lacks."""
        copy = self._copy(variant)
        if copy.exists():
            return
        _run(["git", "clone", "-q", str(ROOT), str(copy)])
        _run(["git", "checkout", "-q", revision], cwd=copy)
        patch = PATCHES / f"{variant}.patch"
        if variant != AS_IS and patch.exists():
            _run(["git", "apply", str(patch)], cwd=copy)
        _run([self._bench, "build"], cwd=copy)

    def _copy(self, variant: str) -> Path:
        return self._work / variant

    def play(self, play: Play) -> None:
        """Play a day, unless there is a result of it."""
        if play in self.results:
            return
        report = self._work / f"{play.variant}-{Path(play.site).stem}"
        report = report.with_name(
            f"{report.name}-{Path(play.day).stem}-{play.seed}.json"
        )
        command = [self._bench, "run", play.site, play.day]
        if play.day.endswith(".toml"):
            command.append("--vary")
        if play.seed:
            command += ["--seed", str(play.seed)]
        why = f"ablation, {play.variant}"
        command += ["--report", str(report), "--why", why]
        _run(command, cwd=self._copy(play.variant))
        result = _read_report(play, report)
        self.results[play] = result
        with (self._work / RESULTS).open("a", encoding="utf-8") as file:
            file.write(json.dumps(asdict(result)) + "\n")
        print(
            f"{play.variant} {Path(play.site).stem} {Path(play.day).stem} "
            f"{play.seed}: {result.worth:.3f} {' '.join(result.broken)}",
            flush=True,
        )


def _run(command: list[str], *, cwd: Path | None = None) -> None:
    ended = subprocess.run(command, cwd=cwd, capture_output=True, text=True)
    if ended.returncode:
        raise RuntimeError(f"{' '.join(command)}: {ended.stdout}{ended.stderr}")


def _read_results(path: Path) -> Iterator[Result]:
    if not path.exists():
        return
    for line in path.read_text(encoding="utf-8").splitlines():
        raw = json.loads(line)
        raw["play"] = Play(**raw["play"])
        raw["broken"] = tuple(raw["broken"])
        yield Result(**raw)


def _read_report(play: Play, path: Path) -> Result:
    report = json.loads(path.read_text(encoding="utf-8"))
    parts = {name: share for name, _, share in report["parts"]}
    return Result(
        play=play,
        worth=report["G"],
        served=report["served"],
        windows=parts.get("worst windows", 1.0),
        broken=tuple(sorted(report["breaks"])),
    )


def table(results: Iterable[Result]) -> Iterator[str]:
    """Yield the rows of a table: worth by variant, site and day, with spreads."""
    plays: defaultdict[tuple[str, str, str], list[Result]] = defaultdict(list)
    for result in results:
        site, day = Path(result.play.site).stem, Path(result.play.day).stem
        plays[site, day, result.play.variant].append(result)
        plays[site, "all", result.play.variant].append(result)
    yield "| site | day | variant | plays | worth | least, most | served | broken |"
    yield "| --- | --- | --- | --- | --- | --- | --- | --- |"
    for (site, day, variant), found in sorted(plays.items()):
        worth = [r.worth for r in found]
        served = statistics.mean(r.served for r in found)
        broken = sorted({rule for r in found for rule in r.broken})
        yield (
            f"| {site} | {day} | {variant} | {len(found)} | "
            f"{statistics.mean(worth):.3f} | {min(worth):.3f}, {max(worth):.3f} | "
            f"{served:.3f} | {' '.join(broken) or 'none'} |"
        )


def _arguments() -> argparse.Namespace:
    parser = argparse.ArgumentParser(description="Plays days without one mechanism.")
    parser.add_argument("--bench", required=True)
    parser.add_argument("--work", required=True, type=Path)
    parser.add_argument("--site", required=True, action="append")
    parser.add_argument("--day", required=True, action="append")
    parser.add_argument("--seed", type=int, action="append")
    parser.add_argument("--only", nargs="*", help="patches; all by default")
    parser.add_argument("--against", action="append", default=[])
    parser.add_argument("--jobs", type=int, default=3)
    return parser.parse_args()


def main() -> int:
    """Play what has no result yet, and print the table."""
    arguments = _arguments()
    ablation = Ablation(bench=arguments.bench, work=arguments.work)
    revisions = dict(pair.split("=", 1) for pair in arguments.against)
    patches = sorted(p.stem for p in PATCHES.glob("*.patch"))
    chosen = [AS_IS, *patches] if arguments.only is None else arguments.only
    variants = [*chosen, *revisions]
    for variant in variants:
        ablation.prepare(variant, revision=revisions.get(variant, "HEAD"))
    plays = [
        Play(variant=variant, site=site, day=day, seed=seed)
        for seed in arguments.seed or [0]
        for site in arguments.site
        for day in arguments.day
        for variant in variants
    ]
    with ThreadPoolExecutor(arguments.jobs) as pool:
        list(pool.map(ablation.play, plays))
    wanted = set(plays)
    print("\n".join(table(r for p, r in ablation.results.items() if p in wanted)))
    return 0


if __name__ == "__main__":
    sys.exit(main())
