"""Order of workspaces that compete for the same upstreams.

Requests of one rank are ordered by the share of its quota that their workspace uses
over the fleet, the smallest first. That approximates weighted max-min fairness [1]_
with the quotas as weights: what a workspace leaves of its part goes to those that ask
for more, and one that asks for several times its usual rate can't take the room of the
others. The shares come with the tokens of quotas, so that instances need not tell each
other.

References
----------
.. [1] D. Bertsekas and R. Gallager, "Data Networks", 2nd edition, section 6.5.2, 1992.
"""

import random

__all__ = ["fair_share_class"]

# Quotas leave room for about 1.6 times the usual rate, of which a calm workspace uses
# some 0.6.
USUAL_SHARE = 0.75
# A workspace that uses this much of its quota is held back by it.
FULL_SHARE = 0.9
# Requests of a busy workspace that are ordered as those of a calm one. Without any, it
# would get nothing while the others alone need more than there is.
EXEMPT_SHARE = 0.25


def fair_share_class(share_used: float, *, rng: random.Random) -> int:
    """Return the class by which a request is ordered within its rank.

    Parameters
    ----------
    share_used : float
        Share of its quota that its workspace uses over the fleet; 0 without a quota.
    rng : random.Random
        Source of randomness.

    Returns
    -------
    int
        0 goes first.
    """
    if share_used < USUAL_SHARE or rng.random() < EXEMPT_SHARE:
        return 0
    return 1 if share_used < FULL_SHARE else 2
