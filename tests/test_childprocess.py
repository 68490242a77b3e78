"""Two runs on one machine: the second one takes the next network."""

from tests.childprocess import FIRST_NET, NETS, reserve_net


def test_two_runs_use_different_networks():
    first, lock = reserve_net(NETS - 1)
    second, other = reserve_net(first - FIRST_NET)
    with lock, other:
        assert first != second
        assert FIRST_NET <= second < FIRST_NET + NETS
