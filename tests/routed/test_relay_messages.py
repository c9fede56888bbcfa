"""Messages with which instances ask relays for changes, beside other builds."""

from urllib.parse import parse_qs

import pytest

from borageramp_core.routing import StorePosition
from borageramp_entry._internal.routed.relay_messages import (
    RelayState,
    decode_query,
    decode_state,
    encode_query,
    encode_state,
)


def test_a_query_names_a_position_and_the_time_to_wait() -> None:
    position = StorePosition(era=3, revision=120)
    args = parse_qs(encode_query(position, wait_s=0.4).partition("?")[2])
    assert decode_query(args, own_era=9) == (position, 0.4)


# Guards against refusing the queries of builds that name no era.
def test_a_query_without_an_era_is_of_the_era_of_the_relay() -> None:
    args = parse_qs("after=120&wait_s=0.4&unknown=1")
    assert decode_query(args, own_era=9) == (StorePosition(era=9, revision=120), 0.4)


@pytest.mark.parametrize("query", ["wait_s=1", "after=x&wait_s=1", "after=1&era=x"])
def test_malformed_queries_are_an_error(query: str) -> None:
    with pytest.raises((KeyError, ValueError)):
        decode_query(parse_qs(query), own_era=1)


def test_the_state_of_a_relay_is_preserved() -> None:
    state = RelayState(era=3, watch_age_s=1.25)
    assert decode_state(encode_state(state)) == state


# Guards against refusing the answers of builds that name no era.
@pytest.mark.parametrize("value", [b"", b"x", b"-1", b"9" * 400])
def test_what_a_relay_does_not_say_is_unknown(value: bytes) -> None:
    nothing = RelayState(era=None, watch_age_s=None)
    assert decode_state(()) == nothing
    headers = (("borageramp-era", value), ("borageramp-watch-age-ms", value))
    assert decode_state(headers) == nothing
