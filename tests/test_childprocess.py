"""Two concurrent test runs on one machine reserve different networks."""

from tests.childprocess import FIRST_NETWORK, NET_COUNT, reserve_network


def test_two_runs_use_different_networks():
    first, lock = reserve_network(NET_COUNT - 1)
    second, other = reserve_network(first - FIRST_NETWORK)
    with lock, other:
        assert first != second
        assert FIRST_NETWORK <= second < FIRST_NETWORK + NET_COUNT
