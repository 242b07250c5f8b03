"""Names of headers and paths of the native interface."""

HEADER_CODE = b"kumquat-code"
HEADER_CONTEXT = b"kumquat-context"
HEADER_IDEMPOTENCY_KEY = b"idempotency-key"
HEADER_NOT_RUN = b"kumquat-not-run"
HEADER_OUTCOME = b"kumquat-outcome"
HEADER_REQUEST_ID = b"kumquat-request-id"
HEADER_TICKET = b"kumquat-ticket"
HEADER_TIMEOUT_MS = b"kumquat-timeout-ms"

# Prefix reserved for the node's own paths; no entry can have this name.
OWN_PREFIX = "/kumquatwalk/"
PATH_FAULTS = "/kumquatwalk/faults"
PATH_TARGET = "/kumquatwalk/target"
PATH_TICKET = "/kumquatwalk/ticket"
