"""Names and bounds of the HTTP interface of the platform's service.

=======================================  ===================================
request                                  answer
=======================================  ===================================
``GET /keys/KEY``                        200 with the value, or 404
``GET /keys/KEY?after=N&wait_ms=N``      200 once the key's revision is above
                                         ``after``, or 204 after the wait
``PUT /keys/KEY?expected=N[&lease=ID]``  200, or 409 on another revision
``DELETE /keys/KEY?expected=N``          200, or 409 on another revision
``POST /leases?ttl_ms=N``                200
``PUT /leases/ID``                       200, or 404 when it has lapsed
=======================================  ===================================

Revisions and leases travel in the headers named here. A refusal carries a
JSON body with ``code`` and ``message``.
"""

import re

__all__ = [
    "HEADER_LEASE",
    "HEADER_REVISION",
    "HEADER_TTL_MS",
    "KEY_PATTERN",
    "MAX_ANSWER_BYTES",
    "MAX_TTL_S",
    "MAX_VALUE_BYTES",
    "MAX_WAIT_S",
    "MIN_TTL_S",
]

HEADER_LEASE = "Platform-Lease"
HEADER_REVISION = "Platform-Revision"
HEADER_TTL_MS = "Platform-Ttl-Ms"
KEY_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._:/-]{0,199}")
MAX_VALUE_BYTES = 1_000_000
MAX_ANSWER_BYTES = MAX_VALUE_BYTES
MAX_WAIT_S = 60.0
MIN_TTL_S = 0.1
MAX_TTL_S = 7 * 86_400.0
