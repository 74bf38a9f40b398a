"""Names of the log's streams.

Each kind of state has a separate stream, so that the records of one kind never
delay the readers of another, and each stream can have its own retention.
"""

CONFIGURATION = "configuration"
CLAIMS = "claims"
MEMBERS = "members"
