"""The history check rejects a bad history for each rule."""

import pytest

from borageramp_bench.history import (
    Accepted,
    Allowance,
    History,
    ProbeBudget,
    Revision,
    Run,
    Tried,
    check_history,
)

GOOD = History(
    tried=[
        Tried(request_id="r1", key="k1"),
        Tried(request_id="r2", status=503, verdict="not_run", right=False),
    ],
    runs=[Run(at_s=1.0, upstream="u1", key="k1", request_id="r1")],
    accepted=[Accepted(at_s=10.0, revision=5, out="north")],
    revisions=[
        Revision(at_s=11.0, entry="e1", incarnation="i1", revision=4),
        Revision(at_s=14.0, entry="e1", incarnation="i1", revision=5),
        Revision(at_s=14.0, entry="e2", incarnation="i2", revision=4, serving=False),
    ],
)

BAD = {
    "at_most_once": History(
        runs=[
            Run(at_s=1.0, upstream="u1", key="k1"),
            Run(at_s=2.0, upstream="u2", key="k1"),
        ]
    ),
    "true_refusals": History(
        tried=[Tried(request_id="r1", verdict="not_run", status=503)],
        runs=[Run(at_s=1.0, upstream="u1", request_id="r1")],
    ),
    "true_refusals of a key that ran before": History(
        tried=[Tried(request_id="r2", key="k1", verdict="not_run", ended_at_s=2.0)],
        runs=[Run(at_s=1.0, upstream="u1", request_id="r1", key="k1")],
    ),
    "whole_answers": History(tried=[Tried(request_id="r1", right=False)]),
    "quiet_after_out": History(
        accepted=[Accepted(at_s=10.0, out="north")],
        runs=[Run(at_s=13.5, upstream="u1", data_centre="north")],
    ),
    "quiet_after_out of an upstream": History(
        accepted=[Accepted(at_s=10.0, out="u1")],
        runs=[Run(at_s=13.5, upstream="u1", data_centre="north")],
    ),
    "revisions_hold, late": History(
        accepted=[Accepted(at_s=10.0, revision=5)],
        revisions=[Revision(at_s=13.5, entry="e1", incarnation="i1", revision=4)],
    ),
    "revisions_hold, reverted": History(
        revisions=[
            Revision(at_s=1.0, entry="e1", incarnation="i1", revision=5),
            Revision(at_s=2.0, entry="e1", incarnation="i1", revision=4),
        ]
    ),
    "cold_allowance": History(
        allowances=[Allowance(upstream="u1", requests=1)],
        runs=[Run(at_s=1.0, upstream="u1", in_flight=2, cold=True)],
    ),
    "probe_budget": History(
        probe_budget=ProbeBudget(interval_s=1.0, span_s=2.0),
        probes=[Run(at_s=0.1 * i, upstream="u1") for i in range(4)],
    ),
}


def test_good_history_passes() -> None:
    assert check_history(GOOD) == []


@pytest.mark.parametrize("name", BAD)
def test_bad_history_is_rejected(name: str) -> None:
    rule = name.split()[0].rstrip(",")
    assert [line for line in check_history(BAD[name]) if line.startswith(rule)]
