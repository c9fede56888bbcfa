"""Isolation of crash suspects, so that a crash points at one request.

A suspect is placed only on upstreams that run no other suspect. The entry
that owns the upstream ensures this, but it cannot see attempts (in particular
hedges) that started at other entries before the request became a suspect.
Entries therefore publish their in-flight attempts of suspects to each other.
"""

from collections.abc import Mapping

from borageramp_core._internal.in_flight import InFlightAttempt
from borageramp_core._internal.messages import Submit
from borageramp_core._internal.model import Upstream
from borageramp_core._internal.peer_attempts import SuspectAttempt
from borageramp_core._internal.suspects import Suspects

__all__ = ["Isolation"]


class Isolation:
    """In-flight attempts of crash suspects of one service.

    Includes the attempts reported by peers.

    Parameters
    ----------
    suspects : Suspects
        Crash suspects, and their attempts reported by peers.
    in_flight : mapping of str to InFlightAttempt
        In-flight attempts of this entry, by request identifier.
    """

    def __init__(
        self,
        *,
        suspects: Suspects,
        in_flight: Mapping[str, InFlightAttempt],
    ) -> None:
        self._suspects = suspects
        self._in_flight = in_flight

    def is_suspect(self, fingerprint: str, *, now_s: float) -> bool:
        """Return whether an upstream crashed while it ran a request."""
        return self._suspects.crashes(fingerprint, now_s=now_s) > 0

    def is_suspect_attempt(self, request_id: str, *, now_s: float) -> bool:
        """Return whether an in-flight attempt belongs to a suspect."""
        attempt = self._in_flight.get(request_id)
        if attempt is None:
            return False
        return self.is_suspect(attempt.request.fingerprint, now_s=now_s)

    def attempts(self, *, now_s: float) -> list[SuspectAttempt]:
        """Return the in-flight attempts of suspects at this entry."""
        return [
            SuspectAttempt(
                fingerprint=attempt.request.fingerprint, upstream=attempt.upstream.id
            )
            for attempt in self._in_flight.values()
            if self.is_suspect(attempt.request.fingerprint, now_s=now_s)
        ]

    def has_attempt_in_flight(self, request: Submit, *, now_s: float) -> bool:
        """Return whether a suspect has an attempt in flight at any entry."""
        fingerprint = request.fingerprint
        if not self.is_suspect(fingerprint, now_s=now_s):
            return False
        local = any(
            attempt.request.fingerprint == fingerprint
            for attempt in self._in_flight.values()
        )
        return local or self._suspects.peer_attempts.has_attempt(
            fingerprint, now_s=now_s
        )

    def suspect_upstreams(self, *, now_s: float) -> frozenset[str]:
        """Return the upstreams that run a suspect."""
        local = frozenset(a.upstream for a in self.attempts(now_s=now_s))
        return local | self._suspects.peer_attempts.upstreams(now_s=now_s)

    def hedge_conflicts(self, request_id: str) -> frozenset[str]:
        """Return the upstreams to avoid for a hedge.

        If two requests run on the same two upstreams and both upstreams
        crash, the crashes cannot be attributed to one of the requests.

        Parameters
        ----------
        request_id : str
            Identifier of the hedge.

        Returns
        -------
        frozenset of str
            Upstreams of requests that share an upstream with this request,
            without the upstreams of this request.
        """
        own = self.attempt_upstreams(request_id)
        if not own:
            return frozenset()
        by_request: dict[str, set[str]] = {}
        for name, attempt in self._in_flight.items():
            by_request.setdefault(_base_request_id(name), set()).add(
                attempt.upstream.id
            )
        overlapping = [
            upstreams for upstreams in by_request.values() if upstreams & own
        ]
        return frozenset().union(*overlapping) - own

    def attempt_upstreams(self, request_id: str) -> frozenset[str]:
        """Return the upstreams that run an attempt of the same request."""
        base = _base_request_id(request_id)
        return frozenset(
            attempt.upstream.id
            for name, attempt in self._in_flight.items()
            if _base_request_id(name) == base
        )

    def on_crash(self, upstream: Upstream, *, now_s: float) -> tuple[str, ...]:
        """Record the crash of an upstream for the attempts it was running.

        Returns
        -------
        tuple of str
            Fingerprints of the requests of these attempts.
        """
        affected = [a for a in self._in_flight.values() if a.upstream.id == upstream.id]
        by_start_key: dict[str, list[str]] = {}
        for attempt in affected:
            by_start_key.setdefault(attempt.start_key, []).append(
                attempt.request.fingerprint
            )
        for start_key, fingerprints in by_start_key.items():
            self._suspects.on_crash(fingerprints, upstream=start_key, now_s=now_s)
        return tuple(a.request.fingerprint for a in affected)


def _base_request_id(request_id: str) -> str:
    """Return the identifier of the request that an attempt belongs to."""
    return request_id.partition("#")[0]
