Feature: Calls stay within the capacity of the backend servers, and partners share it fairly

    Scenario: The lower of the announced and the configured limits applies
        Then admission capacities are 3 by slots, 2 by connections and 5 by configuration

    Scenario Outline: A backend server that accepts no calls gets none
        When admission is requested with a backend server that is <state>
        Then the admission is refused as "noBackendServer" with a retry delay

        Examples:
            | state    |
            | draining |
            | silent   |
            | unknown  |

    Scenario: Slots are never exceeded, whatever the order of requests and releases
        Then random admissions and releases never exceed the slots and lose no call

    Scenario: The partner with the fewest slots in use relative to its share goes first
        Given an admission state with 4 slots in use by partner "east" of share 1
        When partner "east" queues 20 calls and then partner "west" of share 3 queues 20 calls
        Then of the next 8 admitted calls 6 are from "west" and 2 from "east" while none ends

    Scenario: A full queue drops a call of the partner with the most waiting calls for its share
        Given an admission state with 4 slots in use by partner "east" of share 1
        When partner "east" fills the queue and then partner "west" requests a slot
        Then a waiting call of "east" is dropped and the call of "west" waits
        And a further call of "east" is refused as "overShare"

    Scenario: A call whose expected wait exceeds its deadline is refused at once
        Given an admission state with 4 slots in use by partner "east" of share 1
        When 100 calls wait and a call has 50 ms left where calls take 10 ms
        Then the admission is refused as "waitTooLong" with a retry delay

    Scenario: Waiting calls of one partner do not cause the calls of another to be refused
        Given an admission state with 4 slots in use by partner "east" of share 1
        When 100 calls of "east" wait and a call of "west" has 50 ms left where calls take 10 ms
        Then the call of "west" waits and a call of "east" is refused as "waitTooLong"

    Scenario: A call is refused when its wait leaves no time to serve it
        Given an admission state with 4 slots in use by partner "east" of share 1
        When 10 calls of "east" wait and a call of "east" has 1000 ms left where calls take 10 ms
        Then a call with 50 ms left is refused and one with 70 ms left waits where calls take 10 ms

    Scenario: Under overload most calls are answered within the objective because the others are refused at once
        When calls at 125% of the capacity arrive for 20 s with an objective of 400 ms and a deadline of 2500 ms
        Then at least 65% of all calls are answered within the objective
        And without an objective less than 30% are

    # Guards against calls that stay in the queue although they can no longer be served before their deadline.
    Scenario: A waiting call expires once less than half of the service time of its operation is left
        Given an admission state with 4 slots in use by partner "east" of share 1
        Then a waiting call with 300 ms left of an operation that takes 200 ms expires after 200 ms and not after 199 ms

    # Guards against a queueing time that is within the objective only while the service time is left out.
    Scenario: Under overload calls whose service time takes most of the objective wait only for the rest of it
        When calls at 125% of the capacity arrive for 20 s with work of 260 ms, an objective of 400 ms and a deadline of 2500 ms
        Then at least 50% of all calls are answered within the objective

    # Guards against calls with a short objective that are refused because of a queue of calls with a long one. The
    # backend servers that made the refused calls have then done their own work for nothing (incident SHORT).
    Scenario: Calls with a short objective are not starved by a queue of calls with a long one
        When orders at 120% of the capacity and calls of other services at 15% arrive for 20 s
        Then at least 50% of the orders and 95% of the calls of other services are answered within the objective

    Scenario: Waiting calls are admitted by priority, and calls of lower priority do not count for the expected wait
        Given an admission state with 4 slots in use by partner "east" of share 1
        Then calls of priority 2, 1, 2 and 0 are admitted in the order 0, 1, 2, 2

    Scenario: Waiting calls leave the queue when their deadline passes or their caller disconnects
        Given an admission state with 4 slots in use by partner "east" of share 1
        Then expired and cancelled calls are removed and the others stay

    # Guards against a call that is started although its entry daemon cannot know whether the caller has left, and against a
    # slot that stands idle for it.
    @not-run-is-true
    Scenario: A waiting call that may not start keeps its place, and the next one that may gets the slot
        Given an admission state with 4 slots in use by partner "east" of share 1
        Then of three waiting calls, the second and the third are admitted while the first may not start, and then the first

    # Guards against calls that are refused behind a call that takes no slot, and against one that waits in vain.
    Scenario: A waiting call whose caller is not confirmed does not delay other calls
        Then a waiting call whose caller is not confirmed leaves the free slot to the next call, and is refused when its entry daemon did not confirm it

    # Guards against signs of a caller that come from other connections of its entry daemon while that does not read from it.
    @not-run-is-true
    Scenario: A sign of a caller counts for a limited time
        Then a caller counts as confirmed for 450 ms, by its entry daemon only from the time on at which that reads from it

    Scenario Outline: Announcements are validated
        Then an announcement with <field> of <value> is <verdict>

        Examples: A malformed announcement must not become an address that calls are sent to
            | field       | value                  | verdict |
            | id          | "s1"                   | valid   |
            | id          | ""                     | invalid |
            | id          | "a/b"                  | invalid |
            | address     | "127.0.0.1:80"         | valid   |
            | address     | "[::1]:80"             | valid   |
            | address     | "127.0.0.1:70000"      | invalid |
            | address     | "127.0.0.1:80/x"       | invalid |
            | address     | "user@127.0.0.1:80"    | invalid |
            | state       | "gone"                 | invalid |
            | incarnation | -1                     | invalid |
            | counter     | 1.5                    | invalid |
            | slots       | "4"                    | invalid |
            | load        | 2                      | invalid |
            | load        | 0.5                    | valid   |

    # Guards against forwarding calls whose callers have mostly given up, and against needless refusals.
    @not-run-is-true
    Scenario Outline: A call that is read late is refused when a quarter of its time has passed
        When a call with a deadline of <deadline> ms is read <late> ms after its arrival
        Then the call that was read late is <outcome>

        Examples:
            | deadline | late | outcome                              |
            | 1200     | 0    | accepted                             |
            | 1200     | 300  | accepted                             |
            | 1200     | 301  | refused as overloaded for 301 ms     |
            | 400      | 140  | refused as overloaded for 140 ms     |
            | 400      | 400  | refused as deadlinePassed for 200 ms |
            | 30000    | 1000 | accepted                             |

    # Guards against a saturated daemon that reads every call after its caller has given up (incident RECOVER).
    Scenario Outline: A daemon with a saturated processor spends its processor time mostly on calls that are served
        When calls at <load>% of the processor capacity of a daemon arrive for 30 s
        Then at least 50% of the processor time goes to calls that are served
        And without refusals of calls that are read late less than 25% does

        Examples:
            | load |
            | 150  |
            | 200  |
            | 300  |
