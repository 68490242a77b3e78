"""Headers of a server's health check response."""

from collections.abc import Mapping

from chicoryproxy.ids import UpstreamId

IDENTITY_HEADER = b"x-instance-id"


def read_identity(headers: Mapping[bytes, bytes]) -> UpstreamId:
    """Return the id of the server that sent the response, or an empty id.

    :param headers: values by lower-case header name.
    """
    return UpstreamId(headers.get(IDENTITY_HEADER, b"").decode("ascii", "replace"))
