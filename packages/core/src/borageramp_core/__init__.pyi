from ._internal.addresses import (
    Address,
    AddressList,
    choose_addresses,
)
from ._internal.admission import (
    Join,
    KeptAnswer,
    Reject,
    Replay,
    Run,
)
from ._internal.attempts import AttemptPlan, GiveUp, Retry
from ._internal.balancer import Balancer
from ._internal.budget import RatioBudget, TokenBucket
from ._internal.candidate_search import UpstreamState
from ._internal.claims import Claim, ClaimState, ClaimTable
from ._internal.configuration import (
    RevisionState,
    ServingLease,
    confirmed_by_majority,
    is_majority,
)
from ._internal.decisions import Decision, DecisionLog
from ._internal.errors import (
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
from ._internal.keys import (
    BoundKey,
    key_prefix,
    parse_key,
    plain_key_id,
)
from ._internal.latency import LatencyWindow
from ._internal.limits import ConcurrencyLimit
from ._internal.load import UpstreamLoad
from ._internal.membership import ListedEntry, Member, Membership
from ._internal.messages import (
    AttemptResult,
    Finished,
    Forward,
    LoadReport,
    Notice,
    Placed,
    PlacementDecision,
    Queued,
    Refused,
    Repair,
    Submit,
)
from ._internal.model import (
    CallerWorkspace,
    ConfigurationSnapshot,
    DataCentre,
    Lifecycle,
    Service,
    ServicePolicy,
    Upstream,
)
from ._internal.outliers import Outliers
from ._internal.ownership import (
    Ownership,
    rendezvous_order,
    rendezvous_owner,
)
from ._internal.peer_attempts import PeerAttempts, SuspectAttempt
from ._internal.placement import (
    Candidate,
    Choice,
    LeastExpectedWait,
    PlacementPolicy,
    PowerOfTwoChoices,
    UniformRandom,
)
from ._internal.queueing import ClassQueue
from ._internal.reasons import Reason
from ._internal.suspects import Suspects, fingerprint
from ._internal.verdict import Verdict
from ._internal.warmup import WarmUp

__all__ = [
    "CallerWorkspace",
    "Address",
    "AddressList",
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
    "LeastExpectedWait",
    "Lifecycle",
    "ListedEntry",
    "LoadReport",
    "Member",
    "Membership",
    "Notice",
    "OutcomeUnknownError",
    "Outliers",
    "Ownership",
    "Forward",
    "PeerAttempts",
    "Placed",
    "PlacementDecision",
    "PlacementPolicy",
    "Queued",
    "RatioBudget",
    "Reason",
    "Refused",
    "RefusedError",
    "Reject",
    "Repair",
    "Replay",
    "AttemptResult",
    "Retry",
    "RevisionState",
    "Run",
    "Service",
    "ServicePolicy",
    "ServingLease",
    "SettingsError",
    "SettingsFault",
    "ConfigurationSnapshot",
    "StoreError",
    "StoreUnavailableError",
    "Submit",
    "SuspectAttempt",
    "Suspects",
    "TokenBucket",
    "PowerOfTwoChoices",
    "UniformRandom",
    "Upstream",
    "UpstreamLoad",
    "UpstreamState",
    "Verdict",
    "WarmUp",
    "choose_addresses",
    "confirmed_by_majority",
    "fingerprint",
    "is_majority",
    "key_prefix",
    "parse_key",
    "plain_key_id",
    "rendezvous_order",
    "rendezvous_owner",
]
