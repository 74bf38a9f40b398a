"""Names of the log's streams that the system uses.

Each kind of state has a stream of its own, so that a reader of one is never
held up by the records of another, and each can be kept for its own time.
"""

CONFIGURATION = "configuration"
CLAIMS = "claims"
MEMBERS = "members"
