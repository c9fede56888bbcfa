"""Metrics by OpenTelemetry, scraped in the Prometheus text format."""

from collections.abc import Callable, Iterable, Mapping

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import CallbackOptions, Observation
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.resources import Resource
from prometheus_client import REGISTRY, generate_latest

__all__ = ["Metrics"]


class Metrics:
    """The instruments of an entry.

    Parameters
    ----------
    name, data_centre : str
        Of this entry, as labels of every metric.
    """

    def __init__(self, *, name: str, data_centre: str) -> None:
        # Not Resource.create: it searches all installed packages for detectors.
        resource = Resource(
            {"service.name": "borageramp-entry", "service.instance.id": name}
        )
        provider = MeterProvider(
            resource=resource, metric_readers=[PrometheusMetricReader()]
        )
        self._meter = provider.get_meter("borageramp")
        self._base = {"entry": name, "data_centre": data_centre}
        counter = self._meter.create_counter
        self._requests = counter(
            "borageramp_requests", description="Requests by final outcome."
        )
        self._tries = counter(
            "borageramp_tries", description="Tries on upstreams by result."
        )
        self._extra = counter(
            "borageramp_extra_tries", description="Retries, hedges and hops."
        )
        self._probes = counter("borageramp_probes", description="Probes sent.")
        self._repairs = counter(
            "borageramp_repairs", description="Repairs made without an operator."
        )
        self._latency = self._meter.create_histogram(
            "borageramp_request_duration",
            unit="s",
            description="Time from a request to the end of its answer.",
        )

    def request(
        self, *, service: str, class_name: str, outcome: str, duration_s: float
    ) -> None:
        """Count a request that got its final answer."""
        labels = {"service": service, "class": class_name}
        self._requests.add(1, labels | {"outcome": outcome})
        self._latency.record(duration_s, labels)

    def tried(self, *, service: str, result: str) -> None:
        """Count a try on an upstream."""
        self._tries.add(1, {"service": service, "result": result})

    def extra(self, *, service: str, kind: str) -> None:
        """Count a retry, a hedge or a hop to a peer."""
        self._extra.add(1, {"service": service, "kind": kind})

    def probed(self, *, service: str) -> None:
        """Count a probe."""
        self._probes.add(1, {"service": service})

    def repaired(self, *, kind: str) -> None:
        """Count a repair."""
        self._repairs.add(1, {"kind": kind})

    def gauge(self, name: str, description: str, read: Callable[[], float]) -> None:
        """Add a gauge that is read when scraped."""

        def observe(_: CallbackOptions) -> Iterable[Observation]:
            return [Observation(read(), self._base)]

        self._meter.create_observable_gauge(
            name, callbacks=[observe], description=description
        )

    def gauge_by(
        self,
        name: str,
        description: str,
        *,
        label: str,
        read: Callable[[], Mapping[str, float]],
    ) -> None:
        """Add a gauge with one value for each value of a label."""

        def observe(_: CallbackOptions) -> Iterable[Observation]:
            return [
                Observation(value, self._base | {label: key})
                for key, value in read().items()
            ]

        self._meter.create_observable_gauge(
            name, callbacks=[observe], description=description
        )

    def text(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(REGISTRY)
