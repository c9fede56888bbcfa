"""Keys of workspaces, kept as keyed digests."""

from collections import Counter
from collections.abc import Iterable, Iterator, Mapping
from hashlib import blake2b

__all__ = ["KeyTable"]

# Guesses at a rate of 10^6 a second hit one of 10^6 keys once in 10^19 years.
DIGEST_BYTES = 16
INDEX_BYTES = 4
RECORD_BYTES = DIGEST_BYTES + INDEX_BYTES
INDEX_BITS = 8 * INDEX_BYTES


class KeyTable:
    """Finds the workspace that holds a key, in constant expected time.

    Of each key it keeps 20 bytes: a digest (BLAKE2b, RFC 7693, keyed with the secret)
    and the number of its workspace, sorted by digest, and 1 to 2 bytes of an index by
    the leading bits of the digests. The time of a look-up tells nothing of a key to
    those who don't have the secret.

    Parameters
    ----------
    keys_by_workspace : mapping of str to iterable of bytes
        Keys of each workspace by its name.
    secret : bytes
        Random secret of this process, of at most 64 bytes.

    Attributes
    ----------
    shared : mapping of tuple of str to int
        Number of keys that several workspaces hold, by the names of these. Such a
        key identifies none of them, and is left out.
    """

    __slots__ = (
        "_bucket_bits",
        "_bucket_starts",
        "_names",
        "_records",
        "_secret",
        "shared",
    )

    def __init__(
        self, *, keys_by_workspace: Mapping[str, Iterable[bytes]], secret: bytes
    ) -> None:
        self._secret = secret
        self._names = tuple(keys_by_workspace)
        records = sorted(
            {
                self._digest(key) + index.to_bytes(INDEX_BYTES, "big")
                for index, keys in enumerate(keys_by_workspace.values())
                for key in keys
            }
        )
        repeated = {
            record[:DIGEST_BYTES]
            for record, following in zip(records, records[1:], strict=False)
            if record[:DIGEST_BYTES] == following[:DIGEST_BYTES]
        }
        self.shared: Mapping[tuple[str, ...], int] = {}
        if repeated:
            self.shared = self._count_shared(records, repeated)
            records = [r for r in records if r[:DIGEST_BYTES] not in repeated]
        self._records = b"".join(records)
        # Two to four records a bucket.
        self._bucket_bits = max(0, len(records).bit_length() - 2)
        self._bucket_starts = self._index(records)

    def _count_shared(
        self, records: list[bytes], repeated: set[bytes]
    ) -> Mapping[tuple[str, ...], int]:
        """Return the number of repeated keys by the names of their holders."""
        holders: dict[bytes, list[str]] = {}
        for record in records:
            if record[:DIGEST_BYTES] in repeated:
                names = holders.setdefault(record[:DIGEST_BYTES], [])
                names.append(self._name(record[DIGEST_BYTES:]))
        return Counter(tuple(names) for names in holders.values())

    def _name(self, index: bytes) -> str:
        return self._names[int.from_bytes(index, "big")]

    def _index(self, records: list[bytes]) -> bytes:
        """Return the position of each bucket's first record, and that of the end."""
        starts = [0] * ((1 << self._bucket_bits) + 1)
        for record in records:
            starts[self._bucket(record) + 1] += 1
        for bucket in range(1, len(starts)):
            starts[bucket] += starts[bucket - 1]
        return b"".join(start.to_bytes(INDEX_BYTES, "big") for start in starts)

    def _digest(self, key: bytes) -> bytes:
        return blake2b(key, digest_size=DIGEST_BYTES, key=self._secret).digest()

    def _bucket(self, digest: bytes) -> int:
        leading = int.from_bytes(digest[:INDEX_BYTES], "big")
        return leading >> (INDEX_BITS - self._bucket_bits)

    def _bucket_start(self, bucket: int) -> int:
        at = bucket * INDEX_BYTES
        return int.from_bytes(self._bucket_starts[at : at + INDEX_BYTES], "big")

    def find(self, key: bytes) -> str | None:
        """Return the name of the workspace that holds a key; ``None`` if none does."""
        digest = self._digest(key)
        bucket = self._bucket(digest)
        for position in range(
            self._bucket_start(bucket), self._bucket_start(bucket + 1)
        ):
            at = position * RECORD_BYTES
            if self._records[at : at + DIGEST_BYTES] == digest:
                return self._name(self._records[at + DIGEST_BYTES : at + RECORD_BYTES])
        return None

    def count_by_workspace(
        self, *, missing_from: "KeyTable | None" = None
    ) -> Mapping[str, int]:
        """Return the number of keys of each workspace that has any.

        Parameters
        ----------
        missing_from : KeyTable, optional
            Count only keys that don't identify the same workspace in this table.

        Raises
        ------
        ValueError
            If the other table has another secret, so that digests differ.
        """
        if missing_from is None:
            return Counter(name for _, name in self._holdings())
        if missing_from._secret != self._secret:
            raise ValueError("tables with different secrets can't be compared")
        others = set(missing_from._holdings())
        return Counter(name for _, name in set(self._holdings()) - others)

    def _holdings(self) -> Iterator[tuple[bytes, str]]:
        """Return the digest of each key, with the name of its workspace."""
        for at in range(0, len(self._records), RECORD_BYTES):
            record = self._records[at : at + RECORD_BYTES]
            yield record[:DIGEST_BYTES], self._name(record[DIGEST_BYTES:])

    def __len__(self) -> int:
        return len(self._records) // RECORD_BYTES

    def __repr__(self) -> str:
        return f"KeyTable(keys={len(self)}, workspaces={len(self._names)})"
