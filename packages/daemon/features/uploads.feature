Feature: Upload scheduling

    # Guards against calls that occupy the slots of a backend server while their bodies cross a saturated link.
    Scenario Outline: A slow upload occupies no slot until it has arrived, on <where> host
        Given a call deployment with 1 slot whose calls run on <where> host
        When an upload of 40000 bytes is sent over 800 ms, and meanwhile 5 reads one after the other
        Then the reads are completed before the upload has arrived
        And the upload is completed unchanged and ran once

        Examples:
            | where   |
            | its own |
            | another |

    # Guards against links that are saturated by the bodies of calls that the other host then refuses.
    @not-run-is-true
    Scenario Outline: The body of an upload of <bytes> bytes is not sent to a host that refuses it
        Given a call deployment with 1 slot whose calls run on another host
        When the backend server of the other host drains, and an upload of <bytes> bytes is sent
        Then the upload is refused as not run, and the other host received at most 8000 bytes for it

        Examples:
            | bytes  |
            | 60000  |
            | 300000 |

    # Guards against a body that was received for a refused attempt on the entry host and is sent to the next host before
    # that host has admitted the call.
    @not-run-is-true
    Scenario: An upload that the entry host refused after receiving it is not sent to a host that refuses it, too
        Given a call deployment with 1 slot whose calls run on its own host or else on another
        When the backend servers of both hosts drain while an upload of 60000 bytes is sent over 400 ms
        Then the upload is refused as not run, and the other host received at most 8000 bytes for it

    # Guards against an upload that waits in vain on the next host: the head of a hop is sent with the first part of the
    # body, and the host admits the call only after it has read the head.
    Scenario: An upload that a backend server of the entry host refused starts on the next host
        Given an upload of 60000 bytes that was received and admitted on the entry host, and then refused by its backend server
        Then its next attempt sends 4096 bytes before it is admitted, and then the rest

    # Guards against a link that is idle because the callers whose bodies are scheduled on it send slowly.
    Scenario: Uploads of slow callers do not delay those of others
        Given a call deployment with 1 slot and links of 8 Mbit/s whose calls run on another host
        When 4 uploads of 40000 bytes are sent over 4000 ms, and meanwhile 3 uploads of 40000 bytes at once
        Then the later uploads are completed before the slow ones have arrived
        And the uploads are completed unchanged and ran once

    # Guards against an upload that every host refuses because its transfer takes longer than a call may wait.
    Scenario: A large upload over a slow link is accepted
        Given a call deployment with 1 slot and links of 0.5 Mbit/s whose calls run on another host
        When 1 upload of 400000 bytes is sent at once
        Then the uploads are completed unchanged and ran once

    # Guards against concurrent uploads that are refused, damaged or run twice while they share a link.
    Scenario: Concurrent uploads to one slot are all completed
        Given a call deployment with 1 slot whose calls run on another host
        When 12 uploads of 200000 bytes are sent at once
        Then the uploads are completed unchanged and ran once
