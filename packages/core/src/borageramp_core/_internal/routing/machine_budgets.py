"""Budgets of an instance that follow from the memory and the link of its machine."""

from dataclasses import dataclass

__all__ = ["MachineBudgets", "compute_capacity"]

INF = float("inf")

# Budgets of a machine that names no memory, or is large enough for all of them.
ANSWER_BYTES = 33_554_432
HELD_BYTES = 67_108_864
FORWARDED_REQUESTS = 128
POLLING_INSTANCES = 48

# A process takes 36 to 42 MB before its first request; the rest is for the fleet state
# and what else no budget counts.
BASE_MB = 60.0
# With this much memory, all budgets fit at their full size: answers of 34 MB, and 67 MB
# each for callers and other instances.
FULL_MEMORY_MB = 300.0
FULL_LINK_MBPS = 1000.0
# On a machine with hardly more than the base, something must still be served.
MIN_SCALE = 0.05

# Usual size of an answer, and of the changes that a relay passes on.
ANSWER_ESTIMATE_BYTES = 16_384
CHANGE_ESTIMATE_BYTES = 8192
# An instance that asks a relay goes to the next one after this time without an answer.
POLL_ANSWER_S = 0.3
# Half of a link for changes, and a quarter for requests of others: callers need it too.
CHANGES_SHARE = 0.5
FORWARDED_SHARE = 0.25
# Time in which a forwarded request is to be answered.
FORWARDED_S = 1.0
# Longest time that callers usually wait for an answer.
LONGEST_WAIT_S = 6.0
# Memory of a request in service, and of a connection.
REQUEST_BYTES = 65_536
CONNECTION_BYTES = 32_768
# Shares of the memory beyond the base for them.
REQUESTS_SHARE = 0.5
CONNECTIONS_SHARE = 0.25

# Descriptors for files, the store, logs and listening sockets.
RESERVED_DESCRIPTORS = 200
MAX_RESERVED_SHARE = 0.5
# Shares of the others for connections of callers, and to the other ports (directory,
# checks, other instances); the rest is for upstreams.
CALLERS_SHARE = 0.4
INTERNAL_SHARE = 0.25

# Bandwidth of the traffic that one core can handle. With less bandwidth per core, the
# network link is the bottleneck rather than the processor.
MBPS_PER_CORE = 50.0
# Memory of the requests that one core has in service under heavy load: 500 a second for
# 3 s, each of 64 KiB.
MB_PER_CORE = 100.0


@dataclass(frozen=True, kw_only=True, slots=True)
class MachineBudgets:
    """What an instance may hold and serve at the same time.

    Attributes
    ----------
    answer_bytes : int
        Bytes of answers that are held before any of them is passed on.
    held_bytes : int
        Bytes of requests and unsent answers that the connections of callers hold
        together, and those of other instances.
    forwarded_requests : int
        Requests of other instances.
    polling_instances : int
        Instances that wait for changes of the store.
    requests_in_flight : int or None
        Requests of callers without an answer; ``None`` if only other limits apply.
    caller_connections, internal_connections : int
        Connections of callers, and to the other ports.
    """

    answer_bytes: int = ANSWER_BYTES
    held_bytes: int = HELD_BYTES
    forwarded_requests: int = FORWARDED_REQUESTS
    polling_instances: int = POLLING_INSTANCES
    requests_in_flight: int | None = None
    caller_connections: int
    internal_connections: int

    @classmethod
    def of_machine(
        cls, *, memory_mb: float | None, link_mbps: float, max_descriptors: int
    ) -> "MachineBudgets":
        """Return the budgets of a machine.

        Parameters
        ----------
        memory_mb : float or None
            Memory of the process in MB; ``None`` leaves the budgets of memory and of
            the link at their full size.
        link_mbps : float
            Bandwidth of the machine in Mbit/s.
        max_descriptors : int
            Descriptors that the process may have open.
        """
        reserved = min(RESERVED_DESCRIPTORS, MAX_RESERVED_SHARE * max_descriptors)
        free = max_descriptors - reserved
        callers = max(1, int(CALLERS_SHARE * free))
        internal = max(1, int(INTERNAL_SHARE * free))
        if memory_mb is None:
            return cls(caller_connections=callers, internal_connections=internal)
        scale = _memory_scale(memory_mb)
        link_bytes_hz = link_mbps * 1e6 / 8
        polls = CHANGES_SHARE * POLL_ANSWER_S * link_bytes_hz / CHANGE_ESTIMATE_BYTES
        forwarded = (
            FORWARDED_SHARE * FORWARDED_S * link_bytes_hz / ANSWER_ESTIMATE_BYTES
        )
        in_flight = INF
        if link_mbps < FULL_LINK_MBPS:
            in_flight = LONGEST_WAIT_S * link_bytes_hz / ANSWER_ESTIMATE_BYTES
        if scale < 1.0:
            beyond_base_bytes = scale * (FULL_MEMORY_MB - BASE_MB) * 1e6
            in_flight = min(
                in_flight, REQUESTS_SHARE * beyond_base_bytes / REQUEST_BYTES
            )
            most = max(1, int(CONNECTIONS_SHARE * beyond_base_bytes / CONNECTION_BYTES))
            callers, internal = min(callers, most), min(internal, most)
        return cls(
            answer_bytes=int(scale * ANSWER_BYTES),
            held_bytes=int(scale * HELD_BYTES),
            forwarded_requests=_at_least_one(
                min(scale * FORWARDED_REQUESTS, forwarded), most=FORWARDED_REQUESTS
            ),
            polling_instances=_at_least_one(
                min(scale * POLLING_INSTANCES, polls), most=POLLING_INSTANCES
            ),
            requests_in_flight=None if in_flight == INF else max(1, int(in_flight)),
            caller_connections=callers,
            internal_connections=internal,
        )


def _memory_scale(memory_mb: float) -> float:
    """Return the share of the full budgets of memory that fits a machine."""
    scale = (memory_mb - BASE_MB) / (FULL_MEMORY_MB - BASE_MB)
    return min(1.0, max(MIN_SCALE, scale))


def _at_least_one(number: float, *, most: int) -> int:
    return max(1, min(most, int(number)))


def compute_capacity(
    *, cores: float, link_mbps: float, memory_mb: float | None
) -> float:
    """Return how much work a machine takes beside others, in cores.

    Parameters
    ----------
    cores : float
        Processor cores for the process.
    link_mbps : float
        Bandwidth of the machine in Mbit/s.
    memory_mb : float or None
        Memory of the process in MB; ``None`` if it isn't known to bind.
    """
    capacity = min(cores, link_mbps / MBPS_PER_CORE)
    if memory_mb is not None:
        free_mb = max(MIN_SCALE * BASE_MB, memory_mb - BASE_MB)
        capacity = min(capacity, free_mb / MB_PER_CORE)
    return capacity
