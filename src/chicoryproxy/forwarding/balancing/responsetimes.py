"""Usual response times of services, as a quantile, by which slow responses are recognised in ramps.

``performance`` compares means instead.
"""

from chicoryproxy.ids import ServiceId

USUAL_QUANTILE = 0.75
"""Above the median, since the requests of one service may differ in their work."""

GAIN = 0.05
"""Relative change with one response; outliers have no more weight than others."""

SLOW_RATIO = 2.0
"""A response that takes more than this multiple of the usual time is slow: its request has probably
waited for longer than it was worked on."""

MIN_SLOW_S = 0.05
"""Shorter delays come from the network and from entries, and callers don't notice them."""


class ResponseTimes:
    """Running quantile of the response times of each service."""

    def __init__(self) -> None:
        self._usual: dict[ServiceId, float] = {}
        self._counts: dict[ServiceId, int] = {}

    def record(self, service: ServiceId, duration_s: float) -> None:
        """Record a response of an upstream that works as usual."""
        count = self._counts.get(service, 0) + 1
        self._counts[service] = count
        usual_s = self._usual.get(service)
        if usual_s is None:
            self._usual[service] = duration_s
            return
        gain = max(GAIN, 1.0 / count)
        step = gain * (USUAL_QUANTILE if duration_s > usual_s else USUAL_QUANTILE - 1.0)
        self._usual[service] = usual_s * (1.0 + step)

    def is_slow(self, service: ServiceId, duration_s: float) -> bool:
        """Return whether a response took much longer than usual.

        :returns: False if nothing is known of the service.
        """
        usual_s = self._usual.get(service)
        return usual_s is not None and duration_s > max(MIN_SLOW_S, SLOW_RATIO * usual_s)
