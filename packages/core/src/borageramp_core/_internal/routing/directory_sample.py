"""Choice of the instances that an answer of the directory names.

Callers spread their requests evenly over the addresses that they have, so that how
often an instance is named decides how many requests it gets.
"""

import random
from collections.abc import Sequence

from borageramp_core._internal.routing.model import Instance

__all__ = ["sample_instances"]

# Callers need other addresses while some of those named don't answer.
MIN_NAMED = 8


def sample_instances(
    usable: Sequence[Instance], *, max_count: int, weighted: bool, rng: random.Random
) -> list[Instance]:
    """Return the instances to name, each at most once.

    Parameters
    ----------
    usable : sequence of Instance
        Instances that callers may use.
    max_count : int
        Most that fit an answer. Of more, those are drawn that have the largest keys
        of weighted sampling by capacity (Efraimidis and Spirakis, 2006).
    weighted : bool
        Whether fewer are also drawn: each with a probability of its capacity over the
        mean, at most 1.
    rng : random.Random
        Source of randomness.
    """
    if len(usable) <= MIN_NAMED or (len(usable) <= max_count and not weighted):
        return list(usable)
    keys = {i.name: rng.random() ** (1.0 / i.capacity) for i in usable}
    by_key = sorted(usable, key=lambda i: keys[i.name], reverse=True)
    if len(usable) > max_count:
        return by_key[:max_count]
    mean = sum(i.capacity for i in usable) / len(usable)
    certain = by_key[:MIN_NAMED]
    drawn = [i for i in by_key[MIN_NAMED:] if rng.random() * mean <= i.capacity]
    return [*certain, *drawn]
