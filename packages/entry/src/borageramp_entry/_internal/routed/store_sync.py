"""What an entry reads from the store, and its own registration there."""

import asyncio
import random
from collections.abc import Callable

from borageramp_core.routing import FleetState, Instance, RelayPlan, StateItem
from borageramp_entry._internal.logs import to_ms
from borageramp_entry._internal.routed.change_source import ChangeSource
from borageramp_entry._internal.routed.fleet_state import FleetStateTask
from borageramp_entry._internal.routed.instance_directory import InstanceDirectory
from borageramp_entry._internal.routed.instance_registration import (
    InstanceRegistrationTask,
    compute_lease_s,
)
from borageramp_entry._internal.routed.interfaces import Platform
from borageramp_entry._internal.routed.records import decode_record
from borageramp_entry._internal.store.base import Item, Store
from borageramp_settings import RoutedSettings

__all__ = ["StoreSync"]


class StoreSync:
    """Keeps the fleet state, the list of instances and the registration up to date.

    Parameters
    ----------
    platform : Platform
        Adapter of the platform that the entry runs on.
    settings : RoutedSettings
        Settings of the process.
    store : Store
        Store to read from and register in.
    own : Instance
        This instance.
    is_stopping : callable
        Returns whether this instance is shutting down.
    on_change : callable
        Called after each change of the fleet state.
    on_gone : callable
        Called when an instance whose registration lapsed turns out to be gone.
    on_restored : callable
        Called once the store has come back from an older copy.
    rng : random.Random
        Source of randomness.
    clock : callable
        Returns the current time in seconds.

    Attributes
    ----------
    source : ChangeSource
        Source of changes, for other instances as well.
    task : FleetStateTask
        Task that follows the changes.
    registration : InstanceRegistrationTask
        Task that registers this instance.
    directory : InstanceDirectory
        Instances that callers may use.
    """

    def __init__(
        self,
        *,
        platform: Platform,
        settings: RoutedSettings,
        store: Store,
        own: Instance,
        is_stopping: Callable[[], bool],
        on_change: Callable[[], None],
        on_gone: Callable[[], None],
        on_restored: Callable[[], None],
        rng: random.Random,
        clock: Callable[[], float],
    ) -> None:
        self._platform = platform
        self._on_store_restored = on_restored
        self._relays = RelayPlan(own=own)
        self.source = ChangeSource(
            store=store,
            prefix=platform.watched_prefix,
            plan=self._relays,
            gather_s=settings.gather_s,
            rng=rng,
            clock=clock,
            on_watch_started=lambda: self.registration.renew_now(),
        )
        self.task = FleetStateTask(
            store=store,
            prefix=platform.watched_prefix,
            read_item=self._read_item,
            rejoin_s=settings.rejoin_s,
            source=self.source,
            on_change=on_change,
            on_restored=self._on_restored,
            rng=rng,
            clock=clock,
        )
        lease_s = compute_lease_s(
            absence_s=settings.absence_s, gather_s=settings.gather_s
        )
        self.registration = InstanceRegistrationTask(
            store=store,
            instance=own,
            lease_s=lease_s,
            # Does not require a configuration: listed instances agree on relays,
            # so that only a few read the first configuration from the store.
            ready=lambda: not is_stopping() and self.task.initial_sync_done,
            is_relay=lambda: self.source.is_relay,
            on_store_checked=lambda answered: self.task.on_store_checked(
                answered=answered
            ),
            rng=rng,
        )
        self.directory = InstanceDirectory(
            own=own,
            ready_path=platform.directory.ready_path,
            lease_s=lease_s,
            store_age_s=self.task.age_s,
            on_gone=on_gone,
            rng=rng,
            clock=clock,
        )

    @property
    def fleet_state(self) -> FleetState:
        """Configuration, upstreams and instances as last read."""
        return self.task.fleet_state

    def _on_restored(self) -> None:
        self.registration.on_store_restored()
        self._on_store_restored()

    def _read_item(self, item: Item) -> StateItem | None:
        return decode_record(item) or self._platform.read_item(item)

    def apply_instances(self) -> list[Instance]:
        """Apply the list of instances; return it."""
        instances = list(self.fleet_state.instances())
        self.directory.update(instances)
        self._relays.update(instances)
        self.registration.on_instances_changed({i.name for i in instances})
        return instances

    def describe_knowledge(self) -> dict[str, object]:
        """Return log fields on the configuration in force and how fresh it is."""
        config = self.fleet_state.config
        return dict(
            config_version=config.version if config is not None else None,
            config_age_ms=to_ms(self.task.config_age_s()),
            revision=self.fleet_state.position.revision,
            era=self.fleet_state.position.era,
            source=self.source.source_name,
            unconfirmed_ms=to_ms(self.source.unconfirmed_s()),
            source_age_ms=to_ms(self.source.source_age_s),
        )

    def start(self) -> list[asyncio.Task[None]]:
        """Start the tasks; the first one registers this instance."""
        return [
            asyncio.ensure_future(task.run())
            for task in (self.registration, self.task, self.directory)
        ]
