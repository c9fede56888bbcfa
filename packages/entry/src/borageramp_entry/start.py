"""How an adapter to a platform starts an entry."""

from borageramp_entry._internal.routed.main import run_routed

__all__ = ["run_routed"]
