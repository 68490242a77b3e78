"""The call by which the platform's routers ask whether an entry takes packets."""

from chicoryproxy.eventloop.http import HttpReply

READY_PATH = "/-/ready"


def answer_readiness(path: str, is_ready: bool) -> HttpReply:
    """Answer a call of the routers.

    :param path: of the call.
    """
    if path.partition("?")[0] != READY_PATH:
        return HttpReply(404)
    return HttpReply(200 if is_ready else 503)
