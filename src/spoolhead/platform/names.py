"""The platform's names for headers, paths, settings and fields."""

REQUEST_ID = "x-request-id"
DEADLINE = "x-request-deadline"
"""Milliseconds that the sender will wait, counted from the sending."""
PROMPT_PARTS = "x-prompt-prefix"
"""All parts of the prompt, the last one included, in spite of the name."""
MODEL = "x-model"
TOKEN_USAGE = "x-token-usage"
"""Tokens of the prompt and the most to generate, not what was used."""
LENGTH_HINT = "length-hint"
WORKSPACE = "x-tenant"
EXPECTED_INSTANCE = "x-expected-replica"
INSTANCE = "x-replica-id"
LOAD = "x-replica-load"
COLD = "x-cold-remaining"
"""Milliseconds for which an instance stays cold, counted from its answer."""
LIMIT = "server-limit"
"""Requests a second that an instance accepts from all entries together."""
LEAVING = "server-leaving"
"""1 in each answer of an instance that leaves."""
SIGNATURE = "x-response-signature"
NOT_RUN = "x-not-executed"
LAST_EVENT_ID = "last-event-id"
RETRY_AFTER = "retry-after"
RESUME_FROM = "kv-from"
BACKUP_TO = "kv-backup"
FETCH_FROM = "kv-fetch"
PIN = "pin-ms"
HOLD = "hold"
URGENCY = "priority"
"""0 is the most urgent, unlike what the name suggests."""

SYSTEM_HEADERS = frozenset(
    {WORKSPACE, EXPECTED_INSTANCE, RESUME_FROM, BACKUP_TO, FETCH_FROM, PIN, HOLD, URGENCY}
)
"""Headers that a caller may not pass on to an instance."""

HOP_BY_HOP = frozenset(
    {
        "connection",
        "content-length",
        "expect",
        "host",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
"""Headers that concern one connection only."""

READY_PATH = "/spoolhead/readyz"
TABLE_PATH = "/spoolhead/config"
EVACUATION_PATH = "/spoolhead/evacuations/"
"""Followed by the name of a hall."""
LIST_PATH = "/replicas"
MOVE_PATH = "/spoolhead/kv-move"
COPY_PATH = "/spoolhead/kv-handle/"

SETTINGS_VARIABLE = "SPOOLHEAD_NODE_FILE"
