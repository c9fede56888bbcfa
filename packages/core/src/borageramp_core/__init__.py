"""Decisions of the borageramp load balancer, without input or output."""

from borageramp_core._internal.addresses import (
    Address,
    AddressAnswer,
    answer_addresses,
)
from borageramp_core._internal.admission import (
    Join,
    KeptAnswer,
    Reject,
    Replay,
    Run,
)
from borageramp_core._internal.attempts import AttemptPlan, GiveUp, Retry
from borageramp_core._internal.balancer import Balancer
from borageramp_core._internal.budget import RatioBudget, TokenBucket
from borageramp_core._internal.claims import Claim, ClaimState, ClaimTable
from borageramp_core._internal.configuration import (
    RevisionState,
    ServingLease,
    confirmed_by_majority,
    is_majority,
)
from borageramp_core._internal.decisions import Decision, DecisionLog
from borageramp_core._internal.errors import (
    BorageRampError,
    ConfigurationConflictError,
    ConfigurationInvalidError,
    HistoryLostError,
    LeaseLostError,
    OutcomeUnknownError,
    RefusedError,
    SettingsError,
    SettingsFault,
    StoreError,
    StoreUnavailableError,
)
from borageramp_core._internal.found import UpstreamState
from borageramp_core._internal.keys import (
    BoundKey,
    key_prefix,
    parse_key,
    plain_key_id,
)
from borageramp_core._internal.latency import LatencyWindow
from borageramp_core._internal.limits import ConcurrencyLimit
from borageramp_core._internal.load import UpstreamLoad
from borageramp_core._internal.membership import ListedEntry, Member, Membership
from borageramp_core._internal.messages import (
    Finished,
    LoadReport,
    PassOn,
    Placed,
    Placement,
    Queued,
    Refused,
    Repair,
    Result,
    Submit,
)
from borageramp_core._internal.model import (
    DataCentre,
    Lifecycle,
    Service,
    ServicePolicy,
    Snapshot,
    Upstream,
)
from borageramp_core._internal.outliers import Outliers
from borageramp_core._internal.ownership import (
    Ownership,
    rendezvous_order,
    rendezvous_owner,
)
from borageramp_core._internal.peer_tries import PeerTries, SuspectTry
from borageramp_core._internal.placement import (
    Candidate,
    Choice,
    LeastEstimate,
    PlacementPolicy,
    TwoChoices,
    UniformRandom,
)
from borageramp_core._internal.queueing import ClassQueue
from borageramp_core._internal.reasons import Reason
from borageramp_core._internal.suspects import Suspects, fingerprint
from borageramp_core._internal.verdict import Verdict
from borageramp_core._internal.warmup import WarmUp

__all__ = [
    "Address",
    "AddressAnswer",
    "AttemptPlan",
    "Balancer",
    "BorageRampError",
    "BoundKey",
    "Candidate",
    "Choice",
    "Claim",
    "ClaimState",
    "ClaimTable",
    "ClassQueue",
    "ConcurrencyLimit",
    "ConfigurationConflictError",
    "ConfigurationInvalidError",
    "DataCentre",
    "Decision",
    "DecisionLog",
    "Finished",
    "GiveUp",
    "HistoryLostError",
    "Join",
    "KeptAnswer",
    "LatencyWindow",
    "LeaseLostError",
    "LeastEstimate",
    "Lifecycle",
    "ListedEntry",
    "LoadReport",
    "Member",
    "Membership",
    "OutcomeUnknownError",
    "Outliers",
    "Ownership",
    "PassOn",
    "PeerTries",
    "Placed",
    "Placement",
    "PlacementPolicy",
    "Queued",
    "RatioBudget",
    "Reason",
    "Refused",
    "RefusedError",
    "Reject",
    "Repair",
    "Replay",
    "Result",
    "Retry",
    "RevisionState",
    "Run",
    "Service",
    "ServicePolicy",
    "ServingLease",
    "SettingsError",
    "SettingsFault",
    "Snapshot",
    "StoreError",
    "StoreUnavailableError",
    "Submit",
    "SuspectTry",
    "Suspects",
    "TokenBucket",
    "TwoChoices",
    "UniformRandom",
    "Upstream",
    "UpstreamLoad",
    "UpstreamState",
    "Verdict",
    "WarmUp",
    "answer_addresses",
    "confirmed_by_majority",
    "fingerprint",
    "is_majority",
    "key_prefix",
    "parse_key",
    "plain_key_id",
    "rendezvous_order",
    "rendezvous_owner",
]
