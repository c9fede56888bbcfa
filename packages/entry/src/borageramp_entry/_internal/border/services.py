"""What the borders of the process may ask of its inside."""

import random
from collections.abc import Callable
from dataclasses import dataclass

from borageramp_core import (
    AddressList,
    ClaimTable,
    ConfigurationSnapshot,
    Reason,
    RefusedError,
    ServingLease,
    Verdict,
    choose_addresses,
)
from borageramp_entry._internal.border.parsing import ParsedRequest
from borageramp_entry._internal.control.configuration import ConfigurationTask
from borageramp_entry._internal.control.status import FleetState
from borageramp_entry._internal.reporting import Reporter
from borageramp_entry._internal.serving.delivery import Delivered
from borageramp_entry._internal.serving.dispatcher import Dispatcher
from borageramp_entry._internal.serving.keyed import KeyedRequests
from borageramp_entry._internal.serving.requests import AnswerSink

__all__ = ["EntryServices"]

RETRY_AFTER_S = 0.5


@dataclass(kw_only=True, slots=True)
class EntryServices:
    """The inside of an entry.

    Attributes
    ----------
    fleet : FleetState
        State shared with peers.
    configuration : ConfigurationTask
        Holds the configuration.
    lease : ServingLease
        Whether this entry may take work.
    dispatcher : Dispatcher
        Runs requests.
    keyed : KeyedRequests
        Runs requests with a key.
    reporter : Reporter
        Logs, metrics and decisions.
    address_ttl_s : float
        How long callers may keep addresses.
    rng : random.Random
        Source of randomness.
    clock : callable
        Returns the present time in seconds.
    closing : callable
        Tells whether connections should end after their next answer.
    """

    fleet: FleetState
    configuration: ConfigurationTask
    lease: ServingLease
    dispatcher: Dispatcher
    keyed: KeyedRequests
    reporter: Reporter
    address_ttl_s: float
    rng: random.Random
    clock: Callable[[], float]
    closing: Callable[[], bool]

    @property
    def claims(self) -> ClaimTable:
        """The keys that this entry answers for."""
        return self.fleet.claims

    def snapshot(self) -> ConfigurationSnapshot:
        """Return the configuration in force."""
        return self.configuration.held.snapshot

    def may_serve(self) -> bool:
        """Tell whether this entry may take work now."""
        if self.configuration.held.revision == 0:
            return False
        return self.lease.is_valid(self.fleet.membership.voters(), now_s=self.clock())

    def addresses(self, data_centre: str) -> AddressList:
        """Return the addresses for a caller."""
        membership = self.fleet.membership
        membership.own.serving = self.may_serve()
        return choose_addresses(
            membership=membership,
            snapshot=self.snapshot(),
            data_centre=data_centre,
            ttl_s=self.address_ttl_s,
            rng=self.rng,
            now_s=self.clock(),
        )

    async def serve(self, parsed: ParsedRequest, sink: AnswerSink) -> Delivered:
        """Serve a checked request.

        Raises
        ------
        RefusedError
            If there is no answer; nothing was written to the sink.
        """
        if not self.may_serve():
            raise self._not_serving(parsed)
        if parsed.policy.idempotent:
            return await self.dispatcher.run(parsed.request, sink)
        return await self.keyed.serve(parsed.request, sink, parsed.policy)

    def _not_serving(self, parsed: ParsedRequest) -> RefusedError:
        # Of a keyed request an earlier try may have run elsewhere.
        keyed = not parsed.policy.idempotent
        return RefusedError(
            verdict=Verdict.MAY_HAVE_RUN if keyed else Verdict.NOT_RUN,
            reason=Reason.NOT_SERVING,
            detail="this entry is cut off, or has no configuration yet",
            retry_after_s=RETRY_AFTER_S,
        )
