"""The endpoint at which the platform's routers check whether an entry accepts packets."""

from chicoryproxy.eventloop.http import ServerResponse

READY_PATH = "/-/ready"


def answer_readiness(path: str, is_ready: bool) -> ServerResponse:
    """Return the response to a readiness check of the routers.

    :param path: path and query of the request.
    """
    if path.partition("?")[0] != READY_PATH:
        return ServerResponse(404)
    return ServerResponse(200 if is_ready else 503)
