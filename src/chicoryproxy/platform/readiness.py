"""The call by which the platform's routers ask whether an entry takes packets."""

from chicoryproxy.eventloop.http import ServerResponse

READY_PATH = "/-/ready"


def answer_readiness(path: str, is_ready: bool) -> ServerResponse:
    """Answer a call of the routers.

    :param path: of the call.
    """
    if path.partition("?")[0] != READY_PATH:
        return ServerResponse(404)
    return ServerResponse(200 if is_ready else 503)
