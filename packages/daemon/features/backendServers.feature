Feature: A host learns of its backend servers from their announcements

    Background:
        Given a backend server board

    Scenario: A silent backend server is dropped after its lease of 3 s
        When backend server "s1" announces itself at 0 ms
        Then backend servers "s1" are known at 3000 ms
        And no backend servers are known at 3001 ms
        And the backend server events are "changed, silent"

    Scenario: A late announcement does not replace a newer one
        When backend server "s1" announces itself with counter 5 as "draining"
        And backend server "s1" announces itself with counter 4 as "serving"
        Then backend server "s1" is "draining"

    Scenario: A drain lasts until the backend server restarts
        When backend server "s1" announces itself with counter 1 as "serving"
        And backend server "s1" is drained by command
        And backend server "s1" announces itself with counter 2 as "serving"
        Then backend server "s1" is "draining"
        When backend server "s1" restarts
        Then backend server "s1" is "serving"

    # Guards against calls to a backend server that was drained before the restarted daemon knew it.
    @leaving-gets-no-work
    Scenario: A backend server that left before its first announcement arrived is not used
        Given the clock reads 5000 ms
        When backend server "s1" is drained by command
        And backend server "s1" announces itself with counter 7 as "serving"
        Then backend server "s1" is "draining"
        When backend server "s1" restarts at 6000 ms
        Then backend server "s1" is "serving"

    # Guards against a delayed announcement that restores a backend server whose lease expired after it left.
    @leaving-gets-no-work
    Scenario Outline: A delayed announcement does not restore a backend server that <left>
        When backend server "s1" announces itself with counter 1 as "serving"
        And backend server "s1" <left>
        Then no backend servers are known at 3101 ms
        When backend server "s1" announces itself with counter 2 as "serving"
        Then backend server "s1" is "draining"

        Examples:
            | left                                           |
            | is drained by command                          |
            | announces itself with counter 3 as "draining"  |

    Scenario: A departure expires 30 s after the last message about the backend server
        Given the clock reads 5000 ms
        When backend server "s1" is drained by command
        Then no backend servers are known at 35001 ms
        When backend server "s1" announces itself with counter 1 as "serving"
        Then backend server "s1" is "serving"

    # Guards against a restarted daemon that acknowledges the drain of a backend server that it does not know, and ignores it.
    @leaving-gets-no-work @herd-death
    Scenario: A drain of a backend server that is not known yet applies to its later announcement
        Given no backend servers are known at 5000 ms
        When backend server "s1" is drained by command
        And backend server "s1" announces itself with counter 4 as "serving"
        Then backend server "s1" is "draining"

    # Guards against an announcement that arrives after the lease of a drained backend server expired.
    @leaving-gets-no-work
    Scenario: A drain outlasts the lease, until the backend server restarts
        When backend server "s1" announces itself at 0 ms
        And backend server "s1" is drained by command
        Then no backend servers are known at 3001 ms
        When backend server "s1" announces itself with counter 9 as "serving"
        Then backend server "s1" is "draining"
        When backend server "s1" restarts
        Then backend server "s1" is "serving"

    # Guards against a departure whose retention counts from its start: a drained backend server that was silent for a moment,
    # as while it was paused, got calls again.
    @leaving-gets-no-work
    Scenario: A drain that lasts longer than 30 s outlasts a silence of the backend server
        When backend server "s1" announces itself at 0 ms
        And backend server "s1" is drained by command
        And backend server "s1" announces itself as "serving" each second for 40 s
        Then no backend servers are known at 43101 ms
        And no backend servers are known at 45000 ms
        When backend server "s1" announces itself with counter 100 as "serving"
        Then backend server "s1" is "draining"

    # Guards against a lease that ends before the announcements of a long turn of the event loop are read: the backend server
    # was taken out, and came back as one that had just started.
    @herd-death
    Scenario: A backend server is not dropped before what arrived during a pause is read
        When backend server "s1" announces itself at 0 ms
        Then backend servers "s1" are known at 2000 ms
        And backend servers "s1" are known at 6000 ms after a pause of 3900 ms
        And no backend servers are known at 6100 ms

    # Guards against an announcement from before a departure that is applied although the departure has arrived, and waits to
    # be read.
    @leaving-gets-no-work @herd-death @lapsed-lease
    Scenario: A held announcement is not applied before what arrived during a pause is read
        Given the departures from before the start are not known yet
        When backend server "s1" announces itself at 0 ms
        Then no backend servers are known at 1000 ms
        And no backend servers are known at 7000 ms after a pause of 5900 ms
        When the departure of backend server "s1" is read
        Then backend server "s1" is "draining"

    # Guards against a departure that was acknowledged but not stored, because its announcement was not accepted.
    @leaving-gets-no-work
    Scenario Outline: The departure of a backend server is stored although <why>
        When <why>
        And backend server "s1" announces itself with counter 3 as "draining"
        Then no backend servers are known at 3101 ms
        When backend server "s1" announces itself with counter 2 as "serving"
        Then backend server "s1" is "draining"

        Examples:
            | why                                          |
            | a later backend server has its address       |
            | the maximum number of others is known        |

    Scenario: Malformed announcements and commands for unknown backend servers are reported and ignored
        When malformed backend server announcements arrive
        And backend server "s9" is drained by command
        Then no backend servers are known at 0 ms
        And the backend server events are "invalid, invalid, invalid, unknown"

    Scenario: The number of backend servers is bounded
        When 70 backend servers announce themselves
        Then 64 backend servers are known and 6 were reported as too many
