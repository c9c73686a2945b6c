"""Metrics of an entry VM, exported through OpenTelemetry."""

import typing

from opentelemetry import metrics as api
from opentelemetry.sdk import metrics, resources
from opentelemetry.sdk.metrics import export

from eelgrasswick import message
from eelgrasswick.homes import engine

PREFIX: typing.Final = "eelgrasswick."


class MetricValue(typing.NamedTuple):
    """The present value of one metric.

    Attributes:
        name: Name of the metric, with ``PREFIX``.
        value: Its value.
    """

    name: str
    value: int | float


class Meter:
    """Exports an engine's counters and gauges as metrics."""

    def __init__(
        self,
        observed: engine.Engine,
        readers: typing.Sequence[export.MetricReader] = (),
    ) -> None:
        """Register an instrument for each counter and gauge of an engine.

        Args:
            observed: Engine whose counters and gauges are exported.
            readers: Further readers, for example one that exports by OTLP.
        """
        self._engine = observed
        self._reader = export.InMemoryMetricReader()
        resource = resources.Resource({"service.name": "eelgrasswick"})
        provider = metrics.MeterProvider([self._reader, *readers], resource)
        meter = provider.get_meter("eelgrasswick")
        for counter in message.Counter:
            meter.create_observable_counter(
                PREFIX + counter.value, [self._observe_counter(counter)]
            )
        meter.create_observable_gauge(PREFIX + "flows_open", [self._observe_open_flows])
        meter.create_observable_gauge(PREFIX + "hints", [self._observe_hints])

    def collect(self) -> list[MetricValue]:
        """Return the present value of each metric."""
        data = self._reader.get_metrics_data()
        if data is None:
            return []
        values = []
        for resource in data.resource_metrics:
            for scope in resource.scope_metrics:
                for metric in scope.metrics:
                    for point in metric.data.data_points:
                        value = getattr(point, "value", 0)
                        values.append(MetricValue(metric.name, value))
        return values

    def _observe_counter(
        self, counter: message.Counter
    ) -> typing.Callable[[api.CallbackOptions], list[api.Observation]]:
        def observe(options: api.CallbackOptions) -> list[api.Observation]:
            return [api.Observation(self._engine.outbox.counts[counter])]

        return observe

    def _observe_open_flows(
        self, options: api.CallbackOptions
    ) -> list[api.Observation]:
        counts = self._engine.tables.flows.open_by_service
        return [api.Observation(sum(counts.values()))]

    def _observe_hints(self, options: api.CallbackOptions) -> list[api.Observation]:
        return [api.Observation(len(self._engine.tables.hints))]
