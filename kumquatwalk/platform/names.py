"""Header names, paths, variables and store keys that the platform defines."""

HEADER_ATTEMPT_ID = b"attempt-id"
HEADER_AUTHORIZATION = b"authorization"
HEADER_CALLER_SERVICE = b"caller-service"
HEADER_DEADLINE_MS = b"deadline-ms"
# Identifier of one start of a target, not of its service or address.
HEADER_TARGET_ID_EXPECTED = b"expect-instance"
HEADER_TARGET_ID = b"instance-id"
# Numbers of running requests, queued requests and slots, and optionally how
# long work takes now, normally 100; comma-separated.
HEADER_TARGET_LOAD = b"instance-load"
# Requests a second that a target takes from all nodes together.
HEADER_RATE_LIMIT = b"server-limit"
# In the answers of a target that leaves.
HEADER_LEAVING = b"server-leaving"
HEADER_NOT_RUN = b"not-executed"
HEADER_RETRY_AFTER = b"retry-after"
HEADER_SIGNATURE = b"server-seal"
# Name of the team that sent a request; set by nodes, whatever the caller sent.
HEADER_TEAM = b"tenant"
# In the answers of the store; rises each time it is restored from a copy.
HEADER_STORE_ERA = b"store-era"

HEARTBEAT_PATH_PREFIX = "/instances/"
READY_PATH = "/ready"

SETTINGS_VARIABLE = "KUMQUATWALK_CONFIG"

# Configuration of the fleet; only operators may write it.
KEY_FLEET_CONFIG = "op/config"
PREFIX_OPERATORS = "op/"
