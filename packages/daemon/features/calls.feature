Feature: Calls are forwarded completely, repeated only if that is safe, and never reported as "not run" after they ran

    @not-run-is-true @at-most-once
    Scenario Outline: A call whose first run breaks is repeated only if that is safe
        Given a call deployment of 3 hosts where the entry host has no backend server
        When a "<method>" call breaks its backend connection at "<point>"
        Then the broken call ends as "<result>" after <runs> runs
        And the ledgers of callers and backend servers agree

        Examples: A connection that breaks before the response head leads to a retry of repeatable operations
            | method | point         | result    | runs |
            | GET    | no-head       | completed | 2    |
            | PUT    | no-head       | completed | 2    |
            | PUT    | half-body     | completed | 2    |
            | POST   | no-head       | unknown   | 1    |
            | POST   | half-body     | unknown   | 1    |

        Examples: "Not run" from the second backend server does not cover the first run
            | method | point        | result  | runs |
            | GET    | then-refuses | unknown | 2    |

        Examples: A response that breaks after its head resets the caller's connection
            | method | point         | result    | runs |
            | GET    | after-head    | reset     | 1    |
            | GET    | half-response | reset     | 1    |
            | POST   | half-response | reset     | 1    |

    Scenario: A repeatable call is repeated on the only host when its backend connection breaks
        Given a call deployment of 1 hosts
        When a "GET" call breaks its backend connection at "no-head"
        Then the broken call ends as "completed" after 2 runs

    @not-run-is-true @leaving-gets-no-work
    Scenario: A call that a host refuses as not run is retried on another host
        Given a call deployment of 3 hosts where the entry host has no backend server
        When the backend server of host 1 drains without the other hosts knowing and 12 calls are made
        Then all 12 calls ran on host 2
        And the ledgers of callers and backend servers agree

    Scenario: A host that is down is skipped, and its calls run elsewhere
        Given a call deployment of 3 hosts where the entry host has no backend server
        When the listeners of host 1 are closed and 20 "POST" calls are made
        Then all 20 calls ran on host 2
        And the ledgers of callers and backend servers agree

    Scenario Outline: Bodies arrive unchanged in both directions
        Given a call deployment of 2 hosts where the entry host has no backend server
        When a <length> body of <bytes> bytes is uploaded and a 20 MB response is downloaded
        Then both bodies have the hash that their sender computed

        Examples:
            | length   | bytes    |
            | declared | 100      |
            | chunked  | 70000    |
            | declared | 20971520 |
            | chunked  | 20971520 |

    Scenario: An upload that is refused before admission is sent again to another host, completely
        Given a call deployment of 3 hosts where the entry host has no backend server
        When the backend server of host 1 drains and 6 uploads of 1000000 bytes are made
        Then every upload arrived whole at host 2

    Scenario Outline: Bodies above the operation's limit are refused, with and without a declared length
        Given a call deployment of 1 hosts
        When a "<length>" body of 70000 bytes is sent to an operation that allows 1000
        Then the caller of the oversized call gets status <status>

        Examples:
            | length   | status |
            | declared | 413    |
            | chunked  | 413    |

    Scenario: A caller that disconnects cancels its call at the backend server
        Given a call deployment of 2 hosts where the entry host has no backend server
        When a caller disconnects while its call is in progress
        Then the backend server sees the cancelled call within 2 s

    Scenario: A call that takes longer than the silence limit of a hop does not fail
        Given a call deployment of 2 hosts where the entry host has no backend server
        When a "POST" call gets its response after 3.6 s
        Then the late response arrives after 1 run

    Scenario: A caller that reads slowly exerts backpressure on the backend server
        Given a call deployment of 2 hosts where the entry host has no backend server
        When a caller stops reading a response of 128 MB
        Then the backend server has written less than half of it

    Scenario: A deadline that passes cancels the call, and the caller is told that the outcome is unknown
        Given a call deployment of 2 hosts where the entry host has no backend server
        When a "POST" call with a deadline of 300 ms gets no answer
        Then the caller gets "unknown" and the backend server saw the cancellation

    @not-run-is-true
    Scenario: A call whose deadline passed in the socket of a paused daemon is not sent
        Given a call deployment of 1 hosts
        When a call with a deadline of 300 ms waits in the socket of a daemon that is paused for 700 ms
        Then the call is refused as "deadlinePassed" and no backend server ran it

    # Guards against calls that wait behind others in a busy daemon and are sent after their callers have disconnected.
    @not-run-is-true
    Scenario: A call whose deadline passed during one busy turn of the event loop is not sent
        Given a call deployment of 1 hosts
        When a call with a deadline of 80 ms waits in the socket of a daemon that is paused for 140 ms
        Then the call is refused as "deadlinePassed" and no backend server ran it

    # Guards against an overloaded daemon that runs calls after their callers have given up.
    @not-run-is-true
    Scenario: A call that a busy daemon reads after a quarter of its deadline is refused immediately
        Given a call deployment of 1 hosts
        When a call with a deadline of 400 ms waits in the socket of a daemon that is paused for 140 ms
        Then the call is refused as "overloaded" and no backend server ran it

    # Guards against deadlines that are counted from the read of a connection, although it first waited to be accepted.
    @not-run-is-true
    Scenario: The first request of a connection counts as arrived before the connection was accepted
        Given an event loop that is always busy, with turns that end at 100 and 200 ms
        When a connection is accepted at 210 ms and the turn ends at 300 ms
        Then its first request, read at 310 ms, counts as arrived at 100 ms, and the next one at 200 ms

    # Guards against late calls of a process that is throttled while it waits for events: 101 calls were sent late.
    @not-run-is-true
    Scenario: A request counts as late by as much as the last clock tick was
        When the last tick of the clock came 150 ms late
        Then a request that the loop says has just arrived counts as arrived 150 ms before

    # Guards against calls that are read after a pause but before the clock tick that detects it.
    @not-run-is-true
    Scenario: A request counts as late by as much as the clock tick that is due
        When the last tick of the clock came 250 ms ago
        Then a request that the loop says has just arrived counts as arrived 150 ms before

    # Guards against connections that wait in a queue of which a listener accepts one per turn of the event loop.
    @not-run-is-true
    Scenario: A connection may have arrived before those that were accepted just before it
        Given an event loop that is always busy, with turns that end at 100 and 200 ms
        When a connection is accepted at 210 ms and the turn ends at 300 ms
        And a connection is accepted at 310 ms and the turn ends at 400 ms
        And a connection is accepted at 410 ms and the turn ends at 500 ms
        Then its first request, read at 510 ms, counts as arrived at 100 ms, and the next one at 400 ms

    # Guards against a process under load that counts every new connection as having waited since the process started.
    @not-run-is-true
    Scenario: A connection in a long queue counts as having waited for at most one second
        Given an event loop that is always busy, with turns that end at 100 and 200 ms
        When connections are accepted in each turn of 100 ms until 4000 ms
        Then its first request, read at 4010 ms, counts as arrived at 2950 ms, and the next one at 3900 ms

    @not-run-is-true
    Scenario: A connection that arrives after a wait of the event loop was not queued behind others
        Given an event loop that is always busy, with turns that end at 100 and 200 ms
        When a connection is accepted at 210 ms and the turn ends at 300 ms
        And the loop waits from 300 ms for 50 ms
        And a connection is accepted at 352 ms and the turn ends at 400 ms
        Then its first request, read at 410 ms, counts as arrived at 350 ms, and the next one at 350 ms

    # Guards against idle daemons that count the first request of a connection as having waited since the last clock tick.
    Scenario: A connection that ends a wait of the event loop, and its first request, arrived after that wait
        Given an event loop that is always busy, with turns that end at 100 and 200 ms
        When the loop waits from 200 ms for 90 ms
        And a connection is accepted at 291 ms and the turn ends at 292 ms
        Then its first request, read at 293 ms, counts as arrived at 290 ms, and the next one at 290 ms

    # Guards against a client that sends its first call 250 to 500 ms after it connected, and is refused as read late.
    @not-run-is-true
    Scenario: A first request that ends a wait of the event loop did not arrive with its connection
        Given an event loop that is always busy, with turns that end at 100 and 200 ms
        When a connection is accepted at 210 ms and the turn ends at 300 ms
        And the loop waits from 300 ms for 250 ms
        Then its first request, read at 552 ms, counts as arrived at 550 ms, and the next one at 550 ms

    # Guards against a second daemon that starts a call later than the entry daemon, which read it late, would have.
    @not-run-is-true
    Scenario: A call from another daemon is not started after the time limit of the entry daemon
        When a call arrives at 1000 ms with a deadline of 400 ms that its entry daemon would forward for 90 ms more
        Then it may be started until 1090 ms and run until 1400 ms

    @not-run-is-true
    Scenario: A request that ends a wait of the event loop arrived after that wait
        Given an event loop that is always busy, with turns that end at 100 and 200 ms
        When the loop waits from 200 ms for 500 ms
        Then a request that is read at 705 ms counts as arrived at 700 ms

    @graceful-shutdown
    Scenario: Calls in flight finish while the daemon drains, and new calls are refused as not run
        Given a call deployment of 1 hosts
        When the daemon shuts down with 5 calls in flight
        Then the 5 calls in flight finish
        And a new call on a keep-alive connection gets "not-run" and its connection is closed

    # Guards against a connection that is closed while a body still arrives: the reset would discard the refusal.
    @graceful-shutdown @not-run-is-true
    Scenario: Uploads that reach a draining daemon are refused as not run
        Given a call deployment of 1 hosts
        When 12 uploads of 8000000 bytes are sent to a daemon that shuts down
        Then each of the uploads gets "not-run" and no backend server ran it

    Scenario: Calls in flight on a draining backend server are aborted at the drain limit
        Given a call deployment of 1 hosts
        When the backend server drains with one finishing call and one that never ends
        Then the finishing call completes and the other ends as unknown

    # Guards against calls that are accepted late in the grace period of a planned stop and aborted at its end.
    @graceful-shutdown @not-run-is-true
    Scenario Outline: A call late in the grace period is <taken> when <ms> ms are left for an objective of 8000 ms
        Given a call deployment whose calls run on <where> host
        When host <stopping> stops, accepts calls for 10000 ms and aborts them after <ms> ms
        Then a new call is <taken>

        Examples:
            | where   | stopping | ms   | taken     |
            | its own | 0        | 9000 | completed |
            | its own | 0        | 7900 | not-run   |
            | another | 0        | 7900 | not-run   |
            | another | 1        | 9000 | completed |
            | another | 1        | 7900 | not-run   |

    # Guards against callers that get no answer at the end of the grace period, because their daemon is still asking
    # the other one for the fate of the call.
    @graceful-shutdown
    Scenario Outline: A call that is still running at the end of the grace period is answered, on <where> host
        Given a call deployment whose calls run on <where> host
        When the daemon stops with <calls> calls in flight that never end
        Then each of these calls is answered as unknown

        Examples:
            | where   | calls |
            | its own | 3     |
            | another | 3     |

    Scenario: A silent backend connection fails only the calls on it
        Given a call deployment of 1 hosts
        When idle backend connections stop responding and a call with a deadline of 300 ms uses one
        Then the next 20 calls complete

    Scenario Outline: Ambiguous or invalid requests reach no backend server
        Given a call deployment of 1 hosts
        When the raw request "<kind>" is sent
        Then the raw request is refused and no backend server ran it

        Examples:
            | kind                     |
            | length and encoding      |
            | two lengths              |
            | list of lengths          |
            | unknown encoding         |
            | nominated length         |
            | nominated caller         |
            | two callers              |
            | space before colon       |
            | dot segments             |
            | encoded dot segments     |
            | absolute target          |
            | no caller                |
            | caller that may not call |
            | malformed call id        |
            | malformed deadline       |

    # Guards against an answer to unparsable bytes that the caller mistakes for the answer to its call.
    @own-answer @not-run-is-true
    Scenario Outline: Unparsable bytes are not answered in place of a call in progress
        Given a call deployment of 2 hosts where the entry host has no backend server
        When a call in progress is followed by <bytes>
        Then the call was run once, and its connection ends without an answer

        Examples:
            | bytes             |
            | garbage           |
            | an oversized head |
            | a broken chunk    |

    Scenario: Unparsable bytes on an idle connection are refused
        Given a call deployment of 1 hosts
        When a call that was answered is followed by garbage
        Then the call got its answer, and the garbage 400

    Scenario: Hop-by-hop headers and headers of the daemons are not forwarded
        Given a call deployment of 2 hosts where the entry host has no backend server
        When a call carries hop-by-hop headers, nominated headers and forged daemon headers
        Then the backend server sees none of them, but the validated caller, call id and deadline

    Scenario: A hop without a valid signature is refused
        Given a call deployment of 1 hosts
        Then hops with a missing, forged, stale or transferred signature are refused, and both keys are accepted

    # Guards against "not run" for a call that ran until its deadline, because the other daemon removed it at the deadline.
    @not-run-is-true @at-most-once
    Scenario Outline: The fate of a call is known beyond its deadline
        Given a daemon that started a call with a deadline after <deadline> ms
        When the call ends at its deadline, and another daemon asks for its fate <later> ms later
        Then the other daemon learns that it "finished"

        Examples:
            | deadline | later |
            | 5000     | 1500  |
            | 60000    | 1500  |
            | 600000   | 20000 |

    # Guards against a barred call that starts anyway, because its daemon was paused until the bar expired.
    @not-run-is-true @at-most-once
    Scenario Outline: A barred call does not start after a pause of the process
        Given a daemon that has read a call
        When another daemon asks for its fate, and the process is paused for <paused> ms
        Then the other daemon learns that it "barred"
        And the call does not start

        Examples:
            | paused |
            | 0      |
            | 29000  |
            | 40000  |

    @not-run-is-true @at-most-once @silent-connection
    Scenario: A call whose hop is lost is barred at the other daemon and then safely sent to another host
        Given a call deployment of 3 hosts where the entry host has no backend server
        When host 1 accepts hops and never answers, and 4 "POST" calls are made
        Then all 4 calls ran on host 2
        And the ledgers of callers and backend servers agree

    @own-answer @at-most-once
    Scenario: Each caller gets the answer to its own request
        Given a call deployment of 3 hosts
        When 200 calls are made at once
        Then each answer belongs to its call, and no call ran twice

    Scenario: A response of a backend server is never mistaken for a refusal by the daemon
        Given a call deployment of 3 hosts
        When a backend server answers 503 with its own refusal
        Then the caller gets that response after 1 run

    Scenario: Spans of a call share its trace
        Given a call deployment of 2 hosts where the entry host has no backend server
        When a call with a trace context is made
        Then the entry and hop spans and the backend server continue that trace
