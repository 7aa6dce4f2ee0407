"""Names that the platform uses: headers, paths and an environment variable."""

REQUEST_ID = "x-request-id"
DEADLINE = "x-request-deadline"
"""Milliseconds that the sender waits for the answer, counted from the time of sending."""
PROMPT_PARTS = "x-prompt-prefix"
"""All parts of the prompt, including the last one, in spite of the name."""
MODEL = "x-model"
TOKEN_USAGE = "x-token-usage"
"""Tokens of the prompt and maximum number of tokens to generate; not the tokens used."""
LENGTH_HINT = "length-hint"
WORKSPACE = "x-tenant"
EXPECTED_VERSION = "expect-version"
EXPECTED_INSTANCE = "x-expected-replica"
INSTANCE = "x-replica-id"
LOAD = "x-replica-load"
COLD = "x-cold-remaining"
"""Remaining milliseconds for which an instance is cold, counted from its answer."""
LIMIT = "server-limit"
"""Requests a second that an instance accepts from all entries together."""
LEAVING = "server-leaving"
"""1 in each answer of an instance that is leaving."""
BRITTLE = "server-brittle"
"""Rejections in a second beyond which an instance crashes."""
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
"""0 is the most urgent, in spite of the name."""

SYSTEM_HEADERS = frozenset(
    {WORKSPACE, EXPECTED_INSTANCE, RESUME_FROM, BACKUP_TO, FETCH_FROM, PIN, HOLD, URGENCY}
)
"""Headers that only the system sets; they are removed from callers' requests."""

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
"""Hop-by-hop headers, which concern one connection only and are not passed on."""

READY_PATH = "/spoolhead/readyz"
TABLE_PATH = "/spoolhead/config"
EVACUATION_PATH = "/spoolhead/evacuations/"
"""Prefix of the path; the name of a hall follows."""
LIST_PATH = "/replicas"
MOVE_PATH = "/spoolhead/kv-move"
COPY_PATH = "/spoolhead/kv-handle/"

SETTINGS_VARIABLE = "SPOOLHEAD_NODE_FILE"
