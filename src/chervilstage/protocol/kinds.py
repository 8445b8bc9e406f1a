"""The kinds of messages between the processes of the system."""

from __future__ import annotations

from enum import IntEnum


class Kind(IntEnum):
    """A message kind; each subject has its own range of numbers."""

    HEARTBEAT = 1
    LEAVE = 2

    VIEW_PREPARE = 20
    VIEW_PREPARED = 21
    VIEW_ACTIVATE = 22
    PIN_QUERY = 23
    PIN_ANSWER = 24
    PIN_LIST = 25
    PIN_LIST_REQUEST = 26
    PIN_TOLD = 27
    PIN_HELD_REQUEST = 28
    PIN_HELD = 29

    UPSTREAM_RECORDS = 40
    UPSTREAM_DIGEST = 41
    CAPACITY_REQUEST = 42
    CAPACITY_GRANT = 43
    UPSTREAM_FETCH = 44
    UPSTREAM_SILENT = 45

    RECORD_COPY = 60
    RECORD_PUSH = 61
    REQUEST_RELAY = 62
    EPOCH = 63

    VOTE = 80
    APPEND = 81
    SNAPSHOT = 82
    REPLICA_HELLO = 83
    OPERATOR_CALL = 84
    CHANGE = 85
    ROUTING_READ = 86

    CONFIGURATION_FETCH = 100
    STATUS = 101
    EXPLAIN_FLOW = 102

    UPSTREAM_FEED = 120
    ROUTING_FETCH = 121
