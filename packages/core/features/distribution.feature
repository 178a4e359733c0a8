@configuration
Feature: Every host receives a version completely or not at all

    @no-older-version @no-dangling-route @no-partial-version @in-force-everywhere @crossed-updates
    Scenario Outline: Lost and reordered messages between hosts with <spread> spread
        # Guards against a host that moves to a lower version, holds a dangling reference or stays behind.
        Given distributing hosts in 2 regions with "<spread>" spread
        When 12 versions are delivered to them in random order with losses, 60 times
        Then no distributing host went to a lower version or held a dangling reference
        And every distributing host ended with the newest version

        Examples:
            | spread |
            | eager  |
            | lazy   |

    @no-dangling-route @no-partial-version
    Scenario Outline: A version with <fault> is rejected completely
        # Guards against a bad version that is applied partially or blocks the next good one.
        Given a distributing host that holds version 1
        When it receives version 2 with "<fault>"
        Then it still holds the complete version 1 and reports version 2 as rejected
        And it applies the good version 3

        Examples:
            | fault                    |
            | a wrong manifest hash    |
            | a dangling reference     |
            | an undeclared reference  |
            | an unparsable part       |
            | a resource of wrong shape |
            | a part of another name   |

    @no-partial-version @crossed-updates
    Scenario: An update with another base is not applied
        # Guards against a delta applied to a manifest that it was not computed from.
        Given a distributing host that holds version 1
        When it receives the step from version 2 to version 3
        Then it sends the sender a pull that names version 1

    Scenario: A corrupt part is requested from other neighbours, then from the object store
        # Guards against a host that keeps waiting for one bad neighbour, and against duplicate requests for a part.
        Given a distributing host that holds version 1
        When it receives version 2 with corrupt parts that no neighbour holds
        Then each neighbour was asked once for each part, then the object store
        And version 2 is applied after the object store has answered

    Scenario: Parts that a version shares with the held one are not validated again
        # Guards against hashing and decoding hundreds of unchanged parts for each of many versions in quick succession.
        Given a distributing host that holds version 1
        When it reads version 2 with all its parts from the object store
        Then version 2 reuses the byte arrays of version 1 for equal parts

    @no-partial-version @in-force-everywhere
    Scenario Outline: A bad version with <reference> reference directly follows a good one
        # Guards against a host that keeps an old version because the head row names a bad one.
        Given a distributing host that holds version 1
        When it reads a head row whose bad version 3 with "<reference>" reference follows version 2
        Then it holds version 2 and reports version 3 as rejected
        And it reads no object again when it reads the same head row

        Examples:
            | reference     |
            | a declared    |
            | an undeclared |

    Scenario: A step applied to the wrong base version is rejected
        # Guards against a manifest mixed from two versions when a caller does not check the base.
        When the step from version 2 to version 3 is applied to version 1
        Then the validation result is "wrongBase"

    @no-dangling-route
    Scenario: A manifest with a dangling reference is rejected before any part is fetched
        # Guards against a bad version that is rejected only by the hosts that need the resource.
        When a manifest with a declared dangling reference is checked
        Then the validation result is "danglingReference"

    Scenario Outline: A version is assembled from <parts>
        # Guards against an invalid version being assembled because a caller skipped a check.
        When version 2 is assembled from "<parts>"
        Then the validation result is "<code>"

        Examples:
            | parts           | code              |
            | whole parts     | assembled         |
            | a corrupt part  | hashMismatch      |
            | a missing part  | notFound          |
            | dangling routes | danglingReference |

    Scenario: A pull that a neighbour does not answer goes to another source after the deadline
        # Guards against a pull that waits forever on a silent link.
        Given a distributing host that holds version 1
        When two neighbours announce version 2 and do not answer
        Then each receives a pull in turn and the object store is read last

    Scenario: The number of snapshots in progress is limited
        # Guards against a relay that serves all hosts of a rejoining failure domain at once.
        Given a distributing host that holds version 1
        When 100 neighbours without a version pull from it
        Then 16 snapshots are sent, 64 wait and 20 are refused with an event
        And a further snapshot is sent when one of them is confirmed

    Scenario: The update log drops old steps beyond its limits
        # Guards against an update log that grows with the number of versions.
        When 200 steps with large parts are appended to the update log
        Then at most 64 steps and 8388608 bytes remain in the log, without a gap

    Scenario: A host fetches the missing parts when a new service starts on it
        # Guards against a held version that lacks the resources of a service started later.
        Given a distributing host that holds version 1
        When a backend server of another service starts on it
        Then it requests the missing parts and still holds version 1 meanwhile
        And it holds the resources of both services when the parts arrive

    @no-older-version
    Scenario: No version below the floor is applied
        # Guards against a restarted host that applies an older version from a lagging neighbour.
        Given a distributing host without a version and with floor 3
        When a neighbour sends it a snapshot of version 2
        Then it holds no version

    Scenario: The manifest hash is the hash of the canonical bytes
        # Guards against a manifest hash, computed from cached JSON, under which the object store holds nothing.
        Then the hash of random manifests, and of manifests that share entries with them, is that of their canonical bytes

    Scenario: Canonical JSON lists keys in their defined order
        # Guards against two releases of the daemon that compute different hashes for the same configuration.
        Then the canonical JSON of random values follows its definition

    # Guards against an idle host whose cost grows with its configuration: 1,120 routes added 0.07 ms to every input.
    Scenario: Ticks and messages do not make a host look up its resources again
        Given a distributing host whose resources count how often they are looked up
        When 100 ticks pass and 100 messages with host records arrive
        Then each resource was looked up at most once
