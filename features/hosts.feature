@process
Feature: Daemon processes under faults

    # Guards against a failure domain that comes back on an older version, or does not come back.
    @no-older-version @in-force-everywhere @herd-death @reconnect-storm @store-down @two-faults
    Scenario: All daemons are killed at once and return while the platform is down
        Given daemon processes "a1,a2,b1" with spread "eager" on version 2
        When the platform goes down
        And every daemon process is killed and started again
        And 2000 ms pass
        And the platform returns
        Then every daemon process is ready on version 2 within 9000 ms
        And no daemon process was ready on a version below 2

    # Guards against a host that wakes from a pause and serves a version that the others have left.
    @no-older-version @in-force-everywhere @lapsed-lease
    Scenario: A daemon that was stopped during an accept serves no call before it has confirmed its version
        Given daemon processes "a1,a2,b1" with spread "eager" on version 1
        When daemon process "a2" is stopped for 5000 ms while version 2 is accepted and calls are sent to it
        Then every call that waited during the stop was refused as not ready
        And every daemon process is ready on version 2 within 3000 ms

    # Guards against a partition that stops a failure domain, or that it does not recover from.
    @no-older-version @in-force-everywhere @domain-partition @platform-partition @two-faults
    Scenario: A failure domain that is cut off keeps its version and gets the new one after the cut
        Given daemon processes "a1,a2,b1" with spread "eager" on version 1
        When the links are cut, and the platform for "b1"
        And version 2 is accepted through "a1"
        Then every daemon process but "b1" is ready on version 2 within 9000 ms
        And daemon process "b1" is ready on version 1
        When the cuts end
        Then every daemon process is ready on version 2 within 9000 ms

    # Guards against a link that delivers in one direction only and is taken for a working one.
    @in-force-everywhere @silent-connection @platform-partition @two-faults
    Scenario: A version passes a link that was silent in one direction
        Given daemon processes "a1,b1" with spread "eager" on version 1
        When the platform is cut for "b1"
        And the open links from "a1" to "b1" go silent in that direction
        And version 2 is accepted through "a1"
        Then every daemon process is ready on version 2 within 9000 ms

    # Guards against a restarted host that takes the older version of the only peer that it reaches.
    @no-older-version @store-down @silent-connection @two-faults
    Scenario: A restarted daemon does not take an older version from the only peer that it reaches
        Given daemon processes "a1,a2" with spread "lazy" on version 1
        When the platform is cut for "a2"
        And the open links from "a2" to "a1" go silent in that direction
        And version 2 is accepted through "a1"
        And 1500 ms pass
        And the platform goes down
        And daemon process "a1" is killed and started again
        And 6500 ms pass
        Then daemon process "a2" is ready on version 1
        And no restart of "a1" was ready on a version below 2
        When the platform returns
        Then every daemon process but "a2" is ready on version 2 within 9000 ms

    # Guards against calls that are sent on for clients that left while their connections waited to be accepted.
    @not-run-is-true
    Scenario Outline: A busy daemon sends on no call whose client has left
        Given daemon processes "a1,a2" that can be made busy for 2500 ms with turns of 40 ms, and a backend server at "a2"
        When "<busy>" are busy and 30 clients that leave at their deadline of 200 ms call "a1" at once
        Then within 2500 ms no call reached the backend server more than 500 ms after its client left
        And a patient client of "a1" is served

        Examples:
            | busy  |
            | a1    |
            | a2    |
            | a1,a2 |

    # Guards against calls that waited in the sockets of a stopped process, below and above the limit of a stall.
    @not-run-is-true
    Scenario Outline: A daemon that was stopped sends on no call whose client has left
        Given daemon processes "a1,a2" that can be made busy for 2500 ms with turns of 40 ms, and a backend server at "a2"
        When "<stopped>" is stopped for <ms> ms and 10 clients that leave at their deadline of 50 ms call "a1"
        Then within 1000 ms no call reached the backend server more than <late> ms after its client left
        And a patient client of "a1" is served

        Examples:
            | stopped | ms  | late |
            | a1      | 200 | 100  |
            | a2      | 200 | 100  |
            | a1      | 800 | 100  |
            | a2      | 800 | 100  |

    # Guards against calls that came and were given up while one turn of the event loop took long, as after a new version
    # of a large configuration: they are read before their close.
    @not-run-is-true
    Scenario Outline: A daemon that was busy in one turn sends on no call that came and was given up meanwhile
        Given daemon processes "a1,a2" that can be made busy for 900 ms with turns of 900 ms, and a backend server at "a2"
        When "<busy>" is busy while 18 clients call "<entry>" on <connections> connections and leave after 60 ms
        Then within 1500 ms no call reached the backend server more than 500 ms after its client left
        And a patient client of "a1" is served

        Examples:
            | busy | entry | connections |
            | a1   | a1    | new         |
            | a1   | a1    | kept        |
            | a2   | a1    | new         |
            | a2   | a1    | kept        |
            | a2   | a2    | new         |
            | a2   | a2    | kept        |

    # Guards against a call that got its slot in a late turn of the event loop, in which the close of its caller was read
    # after the answer that freed the slot.
    @not-run-is-true
    Scenario Outline: A call that waited for a slot while its daemon was busy is not sent on when its client has left
        Given daemon processes "a1,a2" that can be made busy for 900 ms with turns of 900 ms, and a backend server with 1 slot at "a2"
        When "a2" is busy while its only slot gets free and 3 clients of "<entry>" that wait for it leave
        Then within 1500 ms no call reached the backend server more than 500 ms after its client left
        And a patient client of "a1" is served

        Examples:
            | entry |
            | a1    |
            | a2    |

    # Guards against a call that is written to a connection at rest before the close of its caller is read.
    @not-run-is-true
    Scenario Outline: A call that waited for a slot is not sent on over a kept connection when its client has left
        Given daemon processes "a1,a2" that can be made busy for 900 ms with turns of 900 ms, and a backend server with 1 slot at "a2"
        And 3 clients of "<entry>" were served while they waited for each other
        When "a2" is busy while its only slot gets free and 3 clients of "<entry>" that wait for it leave
        Then within 1500 ms no call reached the backend server more than 500 ms after its client left
        And a patient client of "a1" is served

        Examples:
            | entry |
            | a1    |
            | a2    |

    # Guards against a version that only the killed daemons had, and against a stale read after the return.
    @no-older-version @in-force-everywhere @herd-death @reconnect-storm @stale-read @two-faults
    Scenario: All daemons lose power right after an accept, and the last to return reads a stale head row
        Given daemon processes "a1,a2,b1" with spread "eager" on version 1
        When version 2 is accepted through "a1"
        And every daemon process is killed, and all but "a1" start again
        And every daemon process but "a1" is ready on version 2 within 9000 ms
        And the platform serves stale rows
        And daemon process "a1" starts again
        Then every daemon process is ready on version 2 within 9000 ms
        And no daemon process was ready on a version below 2
