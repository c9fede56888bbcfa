"""Items of the platform's store and its settings file, decoded."""

from dataclasses import replace
from typing import Any

import pytest
import yaml

from borageramp_core import SettingsError
from borageramp_core.routing import (
    EvacuatedDataCentre,
    MalformedItem,
    Registration,
    RolloutOrder,
    RolloutPhase,
    RoutingConfig,
    StopSchedule,
    first_record,
)
from borageramp_entry.routed import Item
from borageramp_platform.boot import settings_from
from borageramp_platform.documents import encode_rollout_status, read_item
from tests.lib.routed import (
    as_bytes,
    boot_document,
    config_document,
    upstream_document,
)


def read(key: str, document: Any) -> Any:
    return read_item(Item(key=key, value=as_bytes(document), revision=1))


def test_a_configuration() -> None:
    config = read("op/config", config_document(7, kind="download"))
    assert isinstance(config, RoutingConfig)
    (route,) = config.routes
    assert config.version == 7
    assert route.idempotent and route.path_prefix == "/r/"
    assert (route.timeout_s, route.objective_s, route.rank) == (1.0, 0.25, 2)
    assert config.services["records"].ramp_hz == 20.0
    assert config.limits.idle_timeout_s == 20.0


def test_weighted_services_and_unsafe_requests() -> None:
    split = [{"backend": "a", "weight": 9}, {"backend": "b", "weight": 0}]
    document = config_document(kind="unsafe", backend=None, weighted_backends=split)
    (route,) = read("op/config", document).routes
    assert not route.idempotent
    assert [(s.service, s.weight) for s in route.shares] == [("a", 9.0)]


def test_a_kind_that_is_not_known_runs_at_most_once() -> None:
    (route,) = read("op/config", config_document(kind="novel")).routes
    assert not route.idempotent


def test_an_upstream() -> None:
    status = {"state": "draining", "seq": 3, "slow_start_s_time": 1.5}
    found = read("servers/i-1", upstream_document(status=status))
    assert isinstance(found, Registration)
    assert found.id == "i-1" and found.port == 8080 and found.leaving
    assert found.warmup_left_s == 1.5


@pytest.mark.parametrize(
    "fields",
    [
        {"address": 5},
        {"address": "nowhere"},
        {"address": "host.example:80"},
        {"info": {}},
        {"info": {"backend": "records", "zone": "north", "slots": "4"}},
        {"info": {"backend": "records", "zone": "north", "slots": 0}},
        {"status": {"state": "resting"}},
        {"status": {"state": "ready", "slow_start_s_time": "soon"}},
        {"born": "yesterday"},
        {"born": 1.5},
    ],
)
def test_an_upstream_that_makes_no_sense_is_not_used(fields: dict[str, Any]) -> None:
    found = read("servers/i-1", upstream_document(**fields))
    assert isinstance(found, MalformedItem)
    assert next(iter(fields)) in found.problem


@pytest.mark.parametrize("value", [b"", b"\xff\xfe", b"[]", b"null", b"{"])
def test_bytes_that_are_no_document(value: bytes) -> None:
    for key in ("servers/i-1", "op/config"):
        found = read_item(Item(key=key, value=value, revision=1))
        assert isinstance(found, MalformedItem)


def test_a_data_centre_that_is_taken_out() -> None:
    found = read("op/evacuate/north", {})
    assert found == EvacuatedDataCentre(data_centre="north")


def test_other_items_say_nothing() -> None:
    assert read("status/x", {}) is None


def test_the_settings_file() -> None:
    boot = boot_document(limits={"pipelined_requests": 2})
    settings = settings_from(yaml.safe_dump(boot))
    assert settings.pipelined_requests == 2
    assert settings.caller_address == "10.1.0.18:8381"
    assert settings.metrics_address == "10.1.0.18:7215"
    assert settings.directory_ttl_s == 1.0
    assert settings.stop_timeout_s == 6.0
    schedule = StopSchedule.within(settings.stop_timeout_s)
    assert settings.leave_s < schedule.requests_end_s
    assert settings.bounds.retry_slack == 58
    assert settings.watch_wait_s == 1.5


# Guards against budgets that don't get the machine's memory, or get one that the
# platform doesn't name.
def test_the_memory_of_the_machine_is_read() -> None:
    named = boot_document(limits={"memory_mb": 200, "link_mbps": 5})
    assert settings_from(yaml.safe_dump(named)).memory_mb == 200
    assert settings_from(yaml.safe_dump(boot_document())).memory_mb is None


def test_faults_of_the_settings_file_have_their_paths() -> None:
    with pytest.raises(SettingsError) as caught:
        settings_from(yaml.safe_dump(boot_document(platform={}, zone=5)))
    paths = {fault.path for fault in caught.value.faults}
    assert paths == {"platform.address", "zone"}


ROLLOUT = {"backend": "records", "to_version": "v2", "duration_s": 12, "novel": 1}


def test_an_order_to_roll_out_a_version_and_its_status() -> None:
    order = read("op/rollout/records", ROLLOUT)
    assert order == RolloutOrder(
        service="records", to_version="v2", duration_s=12.0, revision=1
    )
    record = first_record(order, None)
    put = encode_rollout_status(record)
    assert put.key == "status/rollout/records"
    assert put.value == b'{"state":"active","to_version":"v2"}'
    put = encode_rollout_status(replace(record, phase=RolloutPhase.ROLLED_BACK))
    assert put.value == b'{"state":"rolled_back","to_version":"v2"}'
    # The status is for operators alone.
    assert read("status/rollout/records", {"state": "active"}) is None


@pytest.mark.parametrize(
    "fault",
    [
        {"backend": "other"},
        {"to_version": ""},
        {"to_version": 2},
        {"duration_s": 0},
        {"duration_s": "12"},
        {"duration_s": None},
    ],
)
def test_an_invalid_order_is_malformed_alone(fault: dict[str, Any]) -> None:
    # Guards against a typing error that stops an instance, or starts a rollout.
    assert isinstance(read("op/rollout/records", ROLLOUT | fault), MalformedItem)
