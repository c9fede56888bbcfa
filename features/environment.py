"""One fleet for each feature, healed after each scenario."""

from typing import Any

from borageramp_bench.fleet import run_fleet
from features.fleets import PLANS


def before_feature(context: Any, feature: Any) -> None:
    """Start the fleet that the feature's tag names."""
    name = next(tag for tag in feature.tags if tag in PLANS)
    context.running = run_fleet(PLANS[name]())
    context.fleet = context.running.__enter__()
    context.fleet.wait_warm()


def after_scenario(context: Any, scenario: Any) -> None:
    """Heal what the scenario broke."""
    fleet = context.fleet
    fleet.store_control("fault")
    if fleet.links is not None:
        fleet.links.heal()
    for name, entry in fleet.entries.items():
        entry.process.thaw()
        if not entry.process.alive:
            entry.process.start()
            fleet.wait_live(name)
    for process in fleet.upstreams.values():
        if not process.alive:
            process.start()


def after_feature(context: Any, feature: Any) -> None:
    """Stop the fleet."""
    context.running.__exit__(None, None, None)
