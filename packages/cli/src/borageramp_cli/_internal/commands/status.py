"""``borageramp status``: the fleet at a glance."""

from typing import Any

from borageramp_cli._internal.client import OperatorClient, OutputFormat
from borageramp_cli._internal.exits import Exit
from borageramp_cli._internal.output import print_json, print_table

__all__ = ["status"]


def status(*, entry: str = "", format: OutputFormat = OutputFormat.text) -> int:
    """Show entries, data centres, upstreams, limits and repairs.

    Parameters
    ----------
    entry
        Operator addresses, separated by commas.
    format
        How to print the result.
    """
    value = OperatorClient(entry).get("/v1/status").value
    if format is OutputFormat.json:
        print_json(value)
        return Exit.OK
    _print_entries(value)
    _print_services(value)
    _print_repairs(value)
    return Exit.OK


def _print_entries(value: dict[str, Any]) -> None:
    store = "reachable" if value["store_reachable"] else "out of reach"
    print(f"seen by {value['entry']}: revision {value['revision']}, store {store}\n")
    rows = [
        (
            e["name"],
            e["data_centre"],
            e["revision"],
            _entry_state(e),
            e["in_flight"],
            e["incarnation"],
        )
        for e in value["entries"]
    ]
    print_table(
        ("ENTRY", "DATA CENTRE", "REVISION", "STATE", "IN FLIGHT", "INCARNATION"), rows
    )
    print()
    centres = list(value["data_centres"].items())
    print_table(("DATA CENTRE", "STATE"), centres)


def _entry_state(entry: dict[str, Any]) -> str:
    if entry["leaving"]:
        return "leaving"
    if entry["heard_s_ago"] is None:
        return "not heard"
    if entry["heard_s_ago"] > 5:
        return f"silent for {entry['heard_s_ago']:.0f} s"
    return "serving" if entry["serving"] else "not serving"


def _print_services(value: dict[str, Any]) -> None:
    for name, service in value["services"].items():
        print(
            f"\nservice {name}: {service['running']} running,"
            f" {service['queued']} waiting, limit {service['limit']},"
            f" {service['retries_spent']} retries, {service['hedges_spent']} hedges"
        )
        rows = [
            (u, s["data_centre"], s["state"], s["in_flight"], s["why"])
            for u, s in service["upstreams"].items()
        ]
        print_table(("UPSTREAM", "DATA CENTRE", "STATE", "IN FLIGHT", "WHY"), rows)


def _print_repairs(value: dict[str, Any]) -> None:
    print(f"\nkeys held: {value['keys']}")
    for name, upstreams in value["suspects"].items():
        print(f"suspect {name}: died {', '.join(upstreams)}")
    for repair in value["repairs"][-20:]:
        print(f"repaired {repair}")
