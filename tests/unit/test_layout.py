"""The layout that newcomers rely on."""

import ast
from collections import defaultdict
from collections.abc import Iterator
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parents[2]
PACKAGES = ROOT / "packages"
MAX_LINES = 400
# What the core may import besides itself: nothing that does input or output.
CORE_MAY_IMPORT = {
    "collections",
    "dataclasses",
    "enum",
    "hashlib",
    "random",
    "re",
    "typing",
    "borageramp_core",
}


def modules(package: str = "*") -> Iterator[Path]:
    for path in sorted(PACKAGES.glob(f"{package}/src/**/*.py")):
        if "_generated" not in path.parts:
            yield path


def imports(path: Path, *, at_run_time: bool = True) -> Iterator[str]:
    """Yield what a module imports, except under ``TYPE_CHECKING``."""
    tree = ast.parse(path.read_text())
    skipped: set[ast.AST] = set()
    for node in ast.walk(tree):
        if isinstance(node, ast.If) and "TYPE_CHECKING" in ast.dump(node.test):
            skipped |= set(ast.walk(node))
    for node in ast.walk(tree):
        if at_run_time and node in skipped:
            continue
        if isinstance(node, ast.Import):
            yield from (alias.name for alias in node.names)
        elif isinstance(node, ast.ImportFrom) and node.module:
            yield node.module


def name_of(path: Path) -> str:
    relative = path.relative_to(PACKAGES).with_suffix("")
    parts = relative.parts[2:]
    return ".".join(p for p in parts if p != "__init__")


@pytest.mark.parametrize("path", list(modules("core")), ids=name_of)
def test_core_does_no_input_or_output(path: Path) -> None:
    tops = {name.partition(".")[0] for name in imports(path, at_run_time=False)}
    may_import = set(CORE_MAY_IMPORT)
    if name_of(path) == "borageramp_core":
        # Loads the core's own modules, when their names are first used.
        may_import.add("lazy_loader")
    assert tops <= may_import


def test_no_file_is_long() -> None:
    files = [
        *modules(),
        *(ROOT / "tests").rglob("*.py"),
        *(ROOT / "features").rglob("*.py"),
    ]
    long = {
        p.name: n for p in files if (n := len(p.read_text().splitlines())) > MAX_LINES
    }
    assert long == {}


def test_modules_import_each_other_without_cycles() -> None:
    names = {name_of(p): p for p in modules()}
    graph = {n: {i for i in imports(p) if i in names} for n, p in names.items()}
    state: dict[str, int] = defaultdict(int)

    def visit(name: str, trail: tuple[str, ...]) -> None:
        assert state[name] != 1, " -> ".join((*trail, name))
        if state[name] == 2:
            return
        state[name] = 1
        for following in graph[name]:
            visit(following, (*trail, name))
        state[name] = 2

    for name in graph:
        visit(name, ())


def test_every_package_says_what_it_exports() -> None:
    for path in modules():
        if path.name not in ("__init__.py", "__main__.py"):
            assert "__all__" in path.read_text() or "def main" in path.read_text(), path


def test_timeouts_do_not_lose_cancellations() -> None:
    # In Python 3.11 ``asyncio.wait_for`` drops a cancellation that comes in
    # the instant of the answer; ``asyncio.timeout`` never does.
    users = [p.name for p in modules("entry") if "wait_for(" in p.read_text()]
    assert users == []
