"""What an instance is, and may use, by the settings of its machine."""

import resource
import uuid

from borageramp_core.routing import Instance, MachineBudgets, compute_capacity
from borageramp_settings import RoutedSettings

__all__ = ["machine_budgets", "make_own_instance"]

# Where the system sets no limit.
MAX_DESCRIPTORS = 1_048_576


def make_own_instance(settings: RoutedSettings) -> Instance:
    """Return the record of this process, with a new incarnation."""
    return Instance(
        name=settings.name,
        incarnation=uuid.uuid4().hex[:12],
        data_centre=settings.data_centre,
        caller_address=settings.caller_address,
        check_address=settings.check_address or settings.caller_address,
        peer_address=settings.peer_address,
        capacity=compute_capacity(
            cores=settings.cores,
            link_mbps=settings.link_mbps,
            memory_mb=settings.memory_mb,
        ),
    )


def machine_budgets(settings: RoutedSettings) -> MachineBudgets:
    """Return the budgets of this process."""
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return MachineBudgets.of_machine(
        memory_mb=settings.memory_mb,
        link_mbps=settings.link_mbps,
        max_descriptors=MAX_DESCRIPTORS if soft == resource.RLIM_INFINITY else soft,
    )
