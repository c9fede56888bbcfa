"""Earlier builds, from the history of the repository."""

import subprocess
from pathlib import Path

__all__ = ["checkout_build"]

ROOT = Path(__file__).resolve().parents[2]


def checkout_build(commit: str, folder: Path) -> Path | None:
    """Write what an entry runs from of a commit into a folder.

    Returns
    -------
    Path or None
        The root of the build; ``None`` if the history doesn't reach back to it, as in
        a shallow clone.
    """
    git = ["git", "-C", str(ROOT)]
    found = subprocess.run(
        [*git, "rev-parse", "--quiet", "--verify", f"{commit}^{{commit}}"],
        check=False,
        capture_output=True,
    )
    if found.returncode != 0:
        return None
    archive = folder / f"{commit}.tar"
    command = [*git, "archive", f"--output={archive}", commit, "packages", "platform"]
    subprocess.run(command, check=True)
    root = folder / commit
    root.mkdir()
    subprocess.run(["tar", "-xf", str(archive), "-C", str(root)], check=True)
    return root
