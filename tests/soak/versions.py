"""What each version of the configuration allows, to judge how an opening was handled."""

from collections import namedtuple

REFUSED = None
"""Outcome of an opening that no service has run, and the state of a route that is not there."""

Version = namedtuple("Version", ("published_s", "services"))
"""A version.

:ivar services: service of each route that is there.
"""


class VersionHistory:
    """The versions so far, in the order of their publication."""

    def __init__(self):
        self._versions = []

    def __len__(self):
        return len(self._versions)

    def publish(self, services, now):
        """Record a version.

        :param services: service of each route that is there.
        """
        self._versions.append(Version(now, dict(services)))

    def find_oldest(self, route, outcome, first=0):
        """Return the index of the oldest version that allows an outcome, from an index on."""
        for index in range(first, len(self._versions)):
            if self._versions[index].services.get(route, REFUSED) == outcome:
                return index
        return None

    def get_index(self, moment_s):
        """Return the index of the version in force at a moment, 0 before the first one."""
        published = [item.published_s <= moment_s for item in self._versions]
        return max(0, sum(published) - 1)


class EntryProgress:
    """The newest version of which an entry process has shown the effect, at each moment.

    A process that handles an opening as only a newer version allows has that version, and may
    handle no later opening as only an older one allows.
    """

    def __init__(self, history):
        self._history = history
        self._shown = [(float("-inf"), 0)]

    def record_outcome(self, route, outcome, now):
        """Record how an opening was handled. The oldest version that allows it counts as shown."""
        newest = self._shown[-1][1]
        index = self._history.find_oldest(route, outcome, newest)
        if index is not None and index > newest:
            self._shown.append((now, index))

    def is_regression(self, route, outcome, sent_s, bound_s):
        """Return whether only versions allow an outcome that are older than what was shown.

        :param sent_s: when the opening was sent.
        :param bound_s: time after which openings follow what was shown.
        """
        first = max(index for shown_s, index in self._shown if sent_s - shown_s > bound_s)
        return self._history.find_oldest(route, outcome, first) is None
