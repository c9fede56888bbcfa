"""Where crash suspects run, so that each death points at one request.

A suspect runs only where no other suspect does. Its owner places it so, but
it can't see the tries that began elsewhere before anybody was a suspect, a
hedge above all. So entries tell each other which tries of suspects they have
under way.
"""

from collections.abc import Mapping

from borageramp_core._internal.in_flight import InFlightAttempt
from borageramp_core._internal.messages import Submit
from borageramp_core._internal.model import Upstream
from borageramp_core._internal.peer_attempts import SuspectAttempt
from borageramp_core._internal.suspects import Suspects

__all__ = ["Isolation"]


class Isolation:
    """The suspects among the tries of one service, here and at peers.

    Parameters
    ----------
    suspects : Suspects
        Who is a suspect, and which tries of suspects peers have.
    running : mapping of str to InFlightAttempt
        Tries that upstreams have from this entry, by request.
    """

    def __init__(
        self,
        *,
        suspects: Suspects,
        running: Mapping[str, InFlightAttempt],
    ) -> None:
        self._suspects = suspects
        self._running = running

    def is_suspect(self, fingerprint: str, *, now_s: float) -> bool:
        """Tell whether an upstream died under a request."""
        return self._suspects.crashes(fingerprint, now_s=now_s) > 0

    def is_suspect_attempt(self, request_id: str, *, now_s: float) -> bool:
        """Tell whether a try under way is one of a suspect."""
        attempt = self._running.get(request_id)
        if attempt is None:
            return False
        return self.is_suspect(attempt.request.fingerprint, now_s=now_s)

    def attempts(self, *, now_s: float) -> list[SuspectAttempt]:
        """Return the tries of suspects that this entry has under way."""
        return [
            SuspectAttempt(
                fingerprint=attempt.request.fingerprint, upstream=attempt.upstream.id
            )
            for attempt in self._running.values()
            if self.is_suspect(attempt.request.fingerprint, now_s=now_s)
        ]

    def has_attempt_in_flight(self, request: Submit, *, now_s: float) -> bool:
        """Tell whether a suspect has another try under way anywhere."""
        fingerprint = request.fingerprint
        if not self.is_suspect(fingerprint, now_s=now_s):
            return False
        here = any(
            attempt.request.fingerprint == fingerprint
            for attempt in self._running.values()
        )
        return here or self._suspects.peer_attempts.has_attempt(
            fingerprint, now_s=now_s
        )

    def suspect_upstreams(self, *, now_s: float) -> frozenset[str]:
        """Return the upstreams that have a suspect."""
        here = frozenset(t.upstream for t in self.attempts(now_s=now_s))
        return here | self._suspects.peer_attempts.upstreams(now_s=now_s)

    def hedge_conflicts(self, request_id: str) -> frozenset[str]:
        """Return where a hedge would make two requests look alike.

        Two requests that have the same two upstreams couldn't be told apart
        if both upstreams died.

        Parameters
        ----------
        request_id : str
            Identifier of the hedge.

        Returns
        -------
        frozenset of str
            Upstreams with another try of a request that shares an upstream
            with a try of this one.
        """
        own = self.attempt_upstreams(request_id)
        if not own:
            return frozenset()
        others: dict[str, set[str]] = {}
        for name, attempt in self._running.items():
            others.setdefault(_base_request_id(name), set()).add(attempt.upstream.id)
        alike = [upstreams for upstreams in others.values() if upstreams & own]
        return frozenset().union(*alike) - own

    def attempt_upstreams(self, request_id: str) -> frozenset[str]:
        """Return the upstreams that have a try of the same request."""
        base = _base_request_id(request_id)
        return frozenset(
            attempt.upstream.id
            for name, attempt in self._running.items()
            if _base_request_id(name) == base
        )

    def on_crash(self, upstream: Upstream, *, now_s: float) -> tuple[str, ...]:
        """Record that an upstream died, with all that it was running here.

        Returns
        -------
        tuple of str
            Fingerprints of the requests that it was running.
        """
        affected = [r for r in self._running.values() if r.upstream.id == upstream.id]
        by_start: dict[str, list[str]] = {}
        for attempt in affected:
            by_start.setdefault(attempt.start_key, []).append(
                attempt.request.fingerprint
            )
        for start, names in by_start.items():
            self._suspects.on_crash(names, upstream=start, now_s=now_s)
        return tuple(r.request.fingerprint for r in affected)


def _base_request_id(request_id: str) -> str:
    """Return the request of a try."""
    return request_id.partition("#")[0]
