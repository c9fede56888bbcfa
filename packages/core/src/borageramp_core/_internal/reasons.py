"""Machine-readable reasons for refusing a request."""

import enum

__all__ = ["Reason"]


class Reason(enum.StrEnum):
    """Why a request got no response from an upstream.

    The values are part of the callers' interface and stay the same across
    releases.
    """

    BAD_REQUEST = "bad_request"
    BODY_TOO_LARGE = "body_too_large"
    BODY_LATE = "body_late"
    UNKNOWN_SERVICE = "unknown_service"
    KEY_REQUIRED = "key_required"
    KEY_WITHOUT_ISSUE_TIME = "key_without_issue_time"
    KEY_EXPIRED = "key_expired"
    KEY_REUSED = "key_reused"
    CLAIM_UNAVAILABLE = "claim_unavailable"
    CLAIM_TABLE_FULL = "claim_table_full"
    OWNER_GONE = "owner_gone"
    OWNER_UNREACHABLE = "owner_unreachable"
    ANSWER_NOT_KEPT = "answer_not_kept"
    NOT_SERVING = "not_serving"
    LEAVING = "leaving"
    NO_UPSTREAM = "no_upstream"
    OVERLOADED = "overloaded"
    DEADLINE_UNREACHABLE = "deadline_unreachable"
    DEADLINE_PASSED = "deadline_passed"
    UPSTREAM_FAILED = "upstream_failed"
    UPSTREAM_SHED = "upstream_shed"
    UPSTREAMS_UNREACHABLE = "upstreams_unreachable"
    CRASHES_UPSTREAMS = "crashes_upstreams"
    UNAUTHENTICATED = "unauthenticated"
    QUOTA_EXCEEDED = "quota_exceeded"
    INTERNAL = "internal"
