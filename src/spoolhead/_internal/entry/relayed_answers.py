"""Headers for answers relayed from upstreams, and the token usage that answers report.

Performs no I/O.
"""

import json

from spoolhead._internal.entry import api, stream_token
from spoolhead._internal.models import requests

EVENT_STREAM = "text/event-stream"

_DROPPED_HEADERS = frozenset(
    {
        "connection",
        "content-length",
        "date",
        "keep-alive",
        "proxy-authenticate",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        api.REQUEST_ID_HEADER,
    }
)


def make_stream_headers(
    request: requests.CallerRequest, shared_key: str, *, upstream: str, generation: str
) -> requests.Headers:
    """Return the headers of a streamed answer, with a token to resume it through any entry.

    :param shared_key: the fleet's secret.
    :param upstream: name of the upstream that runs the generation.
    :param generation: id of the generation there.
    """
    token = stream_token.make_token(
        shared_key,
        stream_token.StreamToken(
            workspace=request.workspace,
            service=request.service_name,
            upstream=upstream,
            generation=generation,
        ),
    )
    return [
        ("Content-Type", EVENT_STREAM),
        ("Cache-Control", "no-cache"),
        (api.STREAM_HEADER, token),
        (api.REQUEST_ID_HEADER, request.request_id),
    ]


def make_whole_headers(headers: requests.Headers, request_id: str) -> requests.Headers:
    """Return the headers of an answer that was buffered until it was complete."""
    forwarded = [item for item in headers if item[0] not in _DROPPED_HEADERS]
    return [*forwarded, (api.REQUEST_ID_HEADER, request_id)]


def get_usage_tokens(body: bytes) -> int:
    """Return the generated tokens that an engine's answer reports; 0 if it reports none."""
    try:
        tokens = json.loads(body)["usage"]["completion_tokens"]
    except (ValueError, KeyError, TypeError):
        return 0
    return tokens if isinstance(tokens, int) else 0
