"""Changes that operators make to the configuration.

A change is written by compare-and-swap on the head of the configuration,
together with a record under its operation identifier. The record tells a
repeat from a new change, and settles a write whose answer was lost.
"""

import asyncio
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

from borageramp_core import (
    ConfigurationConflictError,
    ConfigurationInvalidError,
    OutcomeUnknownError,
    SettingsError,
    SettingsFault,
    StoreUnavailableError,
)
from borageramp_entry._internal.control.keyspace import (
    CONFIG,
    HEAD,
    OPERATIONS,
    TREE,
    decode,
    encode,
    from_tree,
    to_tree,
)
from borageramp_entry._internal.store import Commit, Condition, Put, Store
from borageramp_settings import (
    ChangeRequest,
    Resolver,
    apply_assignments,
    diff_trees,
)

__all__ = ["ChangeWriter", "Operation", "Written"]

MAX_RACES = 8
RESOLVE_TRIES = 5
RESOLVE_PAUSE_S = 0.4
OPERATION_TTL_S = 86_400.0
MAX_VALUE_BYTES = 1_000_000


@dataclass(frozen=True, kw_only=True, slots=True)
class Operation:
    """The record of an accepted change.

    Attributes
    ----------
    operation_id, author : str
        Of the change.
    changed : tuple of str
        Paths that it changed.
    at_s : float
        Seconds since the epoch.
    revision : int
        Revision that it was written at.
    """

    operation_id: str
    author: str
    changed: tuple[str, ...]
    at_s: float
    revision: int


@dataclass(frozen=True, kw_only=True, slots=True)
class Written:
    """A change is in the store.

    Attributes
    ----------
    revision : int
        Revision that it was written at.
    changed : tuple of str
        Paths that it changed.
    repeated : bool
        Whether an earlier try had already written it.
    """

    revision: int
    changed: tuple[str, ...]
    repeated: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class _Seen:
    raw: dict[str, Any]
    revision: int
    operation_id: str
    author: str
    changed: tuple[str, ...]


class ChangeWriter:
    """Writes operators' changes to the store.

    Parameters
    ----------
    store : Store
        The key-value service.
    """

    def __init__(self, *, store: Store) -> None:
        self._store = store
        self._resolver = Resolver()
        self._lease_id = 0
        self._lease_until_s = 0.0

    async def write(self, request: ChangeRequest) -> Written:
        """Write a change.

        Parameters
        ----------
        request : ChangeRequest
            The change.

        Returns
        -------
        Written
            Where it stands in the history.

        Raises
        ------
        ConfigurationInvalidError
            If the tree would be invalid; nothing was written.
        ConfigurationConflictError
            If the tree is not at the base revision; nothing was written.
        StoreUnavailableError
            If the store can't be reached; nothing was written.
        OutcomeUnknownError
            If the answer was lost and couldn't be settled.
        """
        for _ in range(MAX_RACES):
            done = await self.find(request.operation_id)
            if done is not None:
                return Written(
                    revision=done.revision, changed=done.changed, repeated=True
                )
            written = await self._write_once(request)
            if written is not None:
                return written
        raise ConfigurationConflictError(
            base_revision=0, current_revision=0, changed=(), author="many operators"
        )

    async def _write_once(self, request: ChangeRequest) -> Written | None:
        seen = await self._read()
        _check_base(request, seen)
        after = _changed_tree(request, seen, self._resolver)
        changed = tuple(diff_trees(seen.raw, after))
        if not changed:
            return Written(revision=seen.revision, changed=(), repeated=True)
        commit = await self._commit_for(request, seen, after, changed)
        outcome = await self._settle(
            lambda: self._store.commit([commit]), request.operation_id
        )
        if isinstance(outcome, Written):
            return outcome
        if outcome[0].succeeded:
            return Written(revision=outcome[0].revision, changed=changed)
        return None

    async def _settle(
        self, send: Callable[[], Awaitable[Any]], operation_id: str
    ) -> Any:
        """Send a commit until its outcome is known.

        The commit holds conditions that make a second one fail once the first
        took effect, so sending it again is safe.
        """
        lost: OutcomeUnknownError | None = None
        for _ in range(RESOLVE_TRIES):
            try:
                if lost is not None:
                    done = await self.find(operation_id)
                    if done is not None:
                        return Written(revision=done.revision, changed=done.changed)
                return await send()
            except OutcomeUnknownError as error:
                lost = error
            except StoreUnavailableError:
                if lost is None:
                    raise
            await asyncio.sleep(RESOLVE_PAUSE_S)
        raise OutcomeUnknownError(f"operation {operation_id} may take effect: {lost}")

    async def _read(self) -> _Seen:
        listing = await self._store.read(CONFIG)
        parts = {
            i.key: decode(i.value) for i in listing.items if i.key.startswith(TREE)
        }
        head = next((i for i in listing.items if i.key == HEAD), None)
        about = decode(head.value) if head is not None else {}
        return _Seen(
            raw=to_tree(parts),
            revision=head.revision if head is not None else 0,
            operation_id=str(about.get("operation_id", "")),
            author=str(about.get("author", "")),
            changed=tuple(about.get("changed", ())),
        )

    async def _commit_for(
        self,
        request: ChangeRequest,
        seen: _Seen,
        after: dict[str, Any],
        changed: tuple[str, ...],
    ) -> Commit:
        record = encode(
            {
                "operation_id": request.operation_id,
                "author": request.author,
                "changed": changed[:50],
                "at_s": time.time(),
            }
        )
        operation = f"{OPERATIONS}{request.operation_id}"
        puts = [
            Put(key=HEAD, value=record),
            Put(key=operation, value=record, lease_id=await self._lease()),
            *_tree_puts(from_tree(seen.raw), from_tree(after)),
        ]
        return Commit(
            conditions=(
                Condition(key=HEAD, revision=seen.revision),
                Condition(key=operation, revision=0),
            ),
            puts=tuple(puts),
        )

    async def _lease(self) -> int:
        now_s = time.monotonic()
        if now_s > self._lease_until_s:
            try:
                self._lease_id = await self._store.grant_lease(2 * OPERATION_TTL_S)
            except OutcomeUnknownError as error:
                raise StoreUnavailableError(f"no lease: {error}") from error
            self._lease_until_s = now_s + OPERATION_TTL_S
        return self._lease_id

    async def find(self, operation_id: str) -> Operation | None:
        """Look an operation up; ``None`` if it was not written."""
        listing = await self._store.read_key(f"{OPERATIONS}{operation_id}")
        if not listing.items:
            return None
        item = listing.items[0]
        return _operation(decode(item.value), item.revision)

    async def history(self) -> list[Operation]:
        """Return the changes of the last day, the newest first."""
        listing = await self._store.read(OPERATIONS)
        found = [_operation(decode(i.value), i.revision) for i in listing.items]
        return sorted(found, key=lambda o: o.revision, reverse=True)


def _check_base(request: ChangeRequest, seen: _Seen) -> None:
    if request.base_revision in (None, seen.revision):
        return
    raise ConfigurationConflictError(
        base_revision=request.base_revision or 0,
        current_revision=seen.revision,
        changed=seen.changed,
        author=seen.author,
    )


def _changed_tree(
    request: ChangeRequest, seen: _Seen, resolver: Resolver
) -> dict[str, Any]:
    missing = tuple(
        SettingsFault(path=".".join(path), problem="does not exist")
        for path in request.must_exist
        if not _exists(seen.raw, path)
    )
    if missing:
        raise ConfigurationInvalidError(faults=missing)
    if request.tree is not None:
        after = to_tree(from_tree(request.tree))
        unknown = set(request.tree) - set(after)
    else:
        after = apply_assignments(seen.raw, request.assignments)
        unknown = set()
    try:
        resolver.resolve(
            after | {name: None for name in unknown}, revision=seen.revision
        )
    except SettingsError as error:
        raise ConfigurationInvalidError(faults=error.faults) from None
    return after


def _exists(raw: Any, path: tuple[str, ...]) -> bool:
    for part in path:
        if not isinstance(raw, dict) or part not in raw:
            return False
        raw = raw[part]
    return True


def _tree_puts(before: dict[str, Any], after: dict[str, Any]) -> list[Put]:
    puts = []
    for key, value in after.items():
        if before.get(key) != value:
            puts.append(Put(key=key, value=_checked(key, encode(value))))
    puts.extend(Put(key=key, value=None) for key in before if key not in after)
    return puts


def _checked(key: str, value: bytes) -> bytes:
    if len(value) > MAX_VALUE_BYTES:
        path = key.removeprefix(TREE).replace("/", ".")
        fault = SettingsFault(path=path, problem="larger than 1 MB")
        raise ConfigurationInvalidError(faults=(fault,))
    return value


def _operation(raw: dict[str, Any], revision: int) -> Operation:
    return Operation(
        operation_id=str(raw["operation_id"]),
        author=str(raw["author"]),
        changed=tuple(raw["changed"]),
        at_s=float(raw["at_s"]),
        revision=revision,
    )
