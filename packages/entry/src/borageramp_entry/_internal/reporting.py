"""One place that logs, counts and remembers what was decided."""

import time

from borageramp_core import DecisionLog
from borageramp_entry._internal.logs import get_logger
from borageramp_entry._internal.metrics import Metrics

__all__ = ["Reporter"]

_log = get_logger(__name__)


class Reporter:
    """Logs, metrics and the memory of decisions of one entry.

    Parameters
    ----------
    decisions : DecisionLog
        Memory of recent decisions.
    metrics : Metrics
        Instruments.
    """

    def __init__(self, *, decisions: DecisionLog, metrics: Metrics) -> None:
        self.decisions = decisions
        self.metrics = metrics

    def decided(self, request_id: str, event: str, **fields: object) -> None:
        """Report a decision on a request."""
        _log.info(event, request_id=request_id, **fields)
        told = ", ".join(f"{k}={v}" for k, v in fields.items() if v not in ("", None))
        text = f"{event}: {told}" if told else event
        self.decisions.record(request_id, text, at_s=time.time())

    def repaired(self, kind: str, **fields: object) -> None:
        """Report something that the fleet repaired by itself."""
        _log.warning("repair", kind=kind, **fields)
        told = ", ".join(f"{k}={v}" for k, v in fields.items())
        self.decisions.record_repair(f"{kind}: {told}", at_s=time.time())
        self.metrics.repaired(kind=kind)

    def failed(self, request_id: str, error: Exception) -> None:
        """Report a fault of this program, with its traceback, once."""
        _log.error("internal error", request_id=request_id, exc_info=error)
        self.decisions.record(
            request_id, f"internal error: {type(error).__name__}", at_s=time.time()
        )
