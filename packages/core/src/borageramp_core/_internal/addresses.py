"""Selection of entry addresses for callers."""

import random
from dataclasses import dataclass

from borageramp_core._internal.membership import Member, Membership
from borageramp_core._internal.model import ConfigurationSnapshot, DataCentre, Lifecycle

__all__ = ["Address", "AddressList", "choose_addresses"]


@dataclass(frozen=True, kw_only=True, slots=True)
class Address:
    """Address of an entry for callers.

    Attributes
    ----------
    address : str
        The address as ``host:port``.
    data_centre : str
        Data centre of the entry.
    """

    address: str
    data_centre: str


@dataclass(frozen=True, kw_only=True, slots=True)
class AddressList:
    """Addresses in the order in which a caller should try them.

    Attributes
    ----------
    ttl_s : float
        Time for which the caller may cache the list.
    addresses : tuple of Address
        The addresses, most preferred first.
    """

    ttl_s: float
    addresses: tuple[Address, ...]


def choose_addresses(
    *,
    membership: Membership,
    snapshot: ConfigurationSnapshot,
    data_centre: str,
    ttl_s: float,
    rng: random.Random,
    now_s: float,
) -> AddressList:
    """Choose the addresses for a caller.

    Parameters
    ----------
    membership : Membership
        Known entries of the fleet.
    snapshot : ConfigurationSnapshot
        Configuration in force.
    data_centre : str
        Data centre nearest to the caller; empty if unknown.
    ttl_s : float
        Time for which the caller may cache the list.
    rng : random.Random
        Source of randomness; shuffling spreads callers over the entries.
    now_s : float
        Present time.

    Returns
    -------
    AddressList
        Addresses of serving entries, those in the caller's data centre first.
    """
    eligible = [
        m
        for m in membership.all_entries()
        if _accepts_callers(m, membership=membership, snapshot=snapshot, now_s=now_s)
    ]
    rng.shuffle(eligible)
    eligible.sort(key=lambda m: m.listed.data_centre != data_centre)
    addresses = tuple(
        Address(address=m.listed.caller_address, data_centre=m.listed.data_centre)
        for m in eligible
    )
    return AddressList(ttl_s=ttl_s, addresses=addresses)


def _accepts_callers(
    member: Member,
    *,
    membership: Membership,
    snapshot: ConfigurationSnapshot,
    now_s: float,
) -> bool:
    location = snapshot.data_centres.get(
        member.listed.data_centre, DataCentre(name=member.listed.data_centre)
    )
    if member.leaving or not member.serving or location.state is Lifecycle.OUT:
        return False
    return membership.is_alive(member, now_s=now_s)
