"""The process of a borageramp entry instance."""

__all__ = ["main"]


def main() -> None:
    """Run the command ``borageramp-entry``."""
    # Imported late: an adapter to a platform needs other parts only.
    from borageramp_entry._internal.main import main as run

    run()
