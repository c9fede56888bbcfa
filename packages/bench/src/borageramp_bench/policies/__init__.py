"""Placement policies side by side, in virtual time, against fake upstreams.

Run as ``python -m borageramp_bench.policies``. The core's own state machines
decide; only upstreams, the network and callers are fakes.
"""
