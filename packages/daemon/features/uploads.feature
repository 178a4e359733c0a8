Feature: Uploads take only what they use

    # Guards against backend servers that stand idle while the bodies of their calls cross a full link.
    Scenario Outline: A body that arrives slowly holds no slot, on <where> host
        Given a call deployment with 1 slot whose calls run on <where> host
        When an upload of 40000 bytes arrives over 800 ms, and 5 reads come one after the other meanwhile
        Then the reads are served before the upload has arrived
        And the upload is served whole and ran once

        Examples:
            | where   |
            | its own |
            | another |

    # Guards against links that are filled by bodies of calls which the other host then refuses.
    @not-run-is-true
    Scenario Outline: An upload of <bytes> bytes that another host refuses has not crossed the link
        Given a call deployment with 1 slot whose calls run on another host
        When the other host has no backend server any more, and an upload of <bytes> bytes comes
        Then the upload is refused as not run, and the other host received at most 8000 bytes for it

        Examples:
            | bytes  |
            | 60000  |
            | 300000 |

    # Guards against bodies that were received for a refused attempt on the own host and are then sent to the next one
    # before that has admitted the call.
    @not-run-is-true
    Scenario: An upload that its own host refuses once it has arrived does not cross the link for another refusal
        Given a call deployment with 1 slot whose calls run on its own host before another
        When the backend servers of both hosts go while an upload of 60000 bytes arrives over 400 ms
        Then the upload is refused as not run, and the other host received at most 8000 bytes for it

    # Guards against a link that stands idle because the callers whose bodies have their turn send slowly.
    Scenario: Uploads of slow callers do not hold back those of others
        Given a call deployment with 1 slot and links of 8 Mbit/s whose calls run on another host
        When 4 uploads of 40000 bytes arrive over 4000 ms, and 3 uploads of 40000 bytes come meanwhile
        Then the later uploads are served before the slow ones have arrived
        And the uploads are served whole and ran once

    # Guards against an upload that no host takes because it takes longer on the link than a call may wait.
    Scenario: A large upload over a narrow link is taken
        Given a call deployment with 1 slot and links of 0.5 Mbit/s whose calls run on another host
        When 1 uploads of 400000 bytes come at once
        Then the uploads are served whole and ran once

    Scenario: Uploads that come together are received one after the other, and all are served
        Given a call deployment with 1 slot whose calls run on another host
        When 12 uploads of 200000 bytes come at once
        Then the uploads are served whole and ran once
