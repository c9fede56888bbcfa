"""Base of messages between instances, and of records that they share."""

import msgspec

__all__ = ["MessageStruct"]


class MessageStruct(msgspec.Struct, frozen=True, kw_only=True):
    """A message or record of an instance that may be of another build.

    Fields that this build doesn't know are ignored, so that later builds can add some.
    Fields that it needs, types and bounds are checked. See ``docs/compatibility.md``.
    """
