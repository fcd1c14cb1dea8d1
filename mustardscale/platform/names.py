"""Header names, paths and topics of the platform's protocols."""

from __future__ import annotations

REQUEST_ID = 'X-Request-Id'
REQUEST_DEADLINE = 'X-Request-Deadline'
EXPECT_INSTANCE = 'X-Expect-Instance'
INSTANCE_ID = 'X-Instance-Id'
NOT_EXECUTED = 'X-Not-Executed'
SIGNATURE = 'X-Response-Signature'
TOKEN_USAGE = 'X-Token-Usage'
LENGTH_HINT = 'X-Length-Hint'
PROMPT_PREFIX = 'X-Prompt-Prefix'
LAST_EVENT_ID = 'Last-Event-Id'
RESUMES = 'Resumes'
WEIGHT_VERSIONS = 'X-Weight-Versions'
SERVING_PHASE = 'X-Serving-Phase'
KV_SOURCE = 'X-Kv-Source'
REQUEST_PRIORITY = 'X-Request-Priority'
KV_BACKUP = 'X-Kv-Backup'
RETRY_AFTER = 'Retry-After'
CREDENTIAL = 'X-Credential'
TENANT_ID = 'X-Tenant-Id'
SERVER_LEAVING = 'Server-Leaving'
SERVER_LIMIT = 'Server-Limit'
STORE_ERA = 'Store-Era'

READY_STATE = 'ready'
DRAINING_STATE = 'draining'

# Headers, in lower case, that only the system sets: those of a caller are
# dropped.
SYSTEM_HEADERS = frozenset(
    {
        'kv-fetch',
        'last-event-id',
        'x-expect-instance',
        'x-expect-version',
        'x-instance-id',
        'x-kv-backup',
        'x-kv-hold',
        'x-kv-source',
        'x-not-executed',
        'x-pin-duration',
        'x-request-deadline',
        'x-request-priority',
        'x-response-signature',
        'x-serving-phase',
    }
)
# Headers, in lower case, by which a caller identifies itself. They are only
# forwarded where the configuration has no customers.
IDENTITY_HEADERS = frozenset({CREDENTIAL.lower(), TENANT_ID.lower()})
# Headers, in lower case, that are forwarded even if a caller lists them in
# the Connection header.
NEVER_HOP_BY_HOP_HEADERS = frozenset(
    {
        'host',
        'x-length-hint',
        'x-model-name',
        'x-prompt-prefix',
        'x-request-id',
        'x-token-usage',
    }
)

READY_PATH = '/mustardscale/ready'
REPORT_PATH = '/mustardscale/report'
ORDER_PATH = '/mustardscale/order'
HANDLE_PATH = '/mustardscale/kv-handle/'
APPEND_PATH = '/mustardscale/log-append'
READ_PATH = '/mustardscale/log-read'
NEWEST_PATH = '/mustardscale/log-newest'

# Keyed topics of the operator, the workers, the entry hosts, what crashes
# workers and their software versions; the prefix and the key are those of the
# router's own streams and of the configuration.
OPERATOR_TOPIC = 'keyed.op'
WORKERS_TOPIC = 'keyed.servers'
HOSTS_TOPIC = 'keyed.hosts'
QUARANTINE_TOPIC = 'keyed.quarantine'
VERSIONS_TOPIC = 'keyed.versions'
STREAM_TOPIC_PREFIX = 'keyed.'
CONFIG_KEY = 'config'
