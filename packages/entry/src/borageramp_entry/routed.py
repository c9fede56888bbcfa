"""Interfaces and types for platform adapters."""

from borageramp_entry._internal.addresses import split_ip_address
from borageramp_entry._internal.logs import get_logger
from borageramp_entry._internal.routed.interfaces import (
    CallerDialect,
    DirectoryDialect,
    Platform,
    RefusalResponse,
    RequestMetadata,
)
from borageramp_entry._internal.serving.dialect import (
    HOP_BY_HOP,
    HeadOfAnswer,
    UpstreamDialect,
    pass_headers,
)
from borageramp_entry._internal.serving.http_client import (
    HttpClient,
    NotConnectedError,
)
from borageramp_entry._internal.serving.http_response import BrokenExchangeError
from borageramp_entry._internal.serving.requests import (
    AnswerHead,
    CallerRequest,
    Headers,
)
from borageramp_entry._internal.store.base import (
    Change,
    Commit,
    Condition,
    Item,
    Listing,
    Outcome,
    Put,
    Store,
)

__all__ = [
    "HOP_BY_HOP",
    "AnswerHead",
    "BrokenExchangeError",
    "CallerDialect",
    "CallerRequest",
    "RequestMetadata",
    "Change",
    "Commit",
    "Condition",
    "DirectoryDialect",
    "HeadOfAnswer",
    "Headers",
    "HttpClient",
    "Item",
    "Listing",
    "NotConnectedError",
    "Outcome",
    "Platform",
    "Put",
    "RefusalResponse",
    "Store",
    "UpstreamDialect",
    "get_logger",
    "pass_headers",
    "split_ip_address",
]
