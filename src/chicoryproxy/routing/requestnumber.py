"""Numbers of requests to peers, which their answers repeat."""

NUMBERS_PER_S = 1000


def next_request_number(previous: int, now: float) -> int:
    """Return a number above the previous one and above those of a process before a restart.

    An answer to a request of that process is then never taken for the answer to one of this.

    :param previous: last number of the same kind; zero if there is none.
    :param now: time in seconds on a clock that continues through a restart of the process.
    """
    return max(previous + 1, int(now * NUMBERS_PER_S))
