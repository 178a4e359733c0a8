Feature: Backend servers that leave some requests unanswered

    # Guards against callers that wait until their deadline for a backend server that is full and answers nothing.
    Scenario Outline: A repeatable call that is left unanswered runs on another host long before its deadline
        Given a call deployment of 3 hosts where the entry host has no backend server
        And 80 "GET" calls that were answered
        When a backend server leaves a "<method>" call unanswered that has 3000 ms left
        Then the unanswered call ends as "<result>" after <runs> runs, <least> to <most> ms after its start

        Examples: A call that may not run twice waits for its answer
            | method | result    | runs | least | most |
            | GET    | completed | 2    | 150   | 1500 |
            | POST   | unknown   | 1    | 2500  | 4000 |

    # Guards against an attempt that is given up for silence before it is known that another host takes the call: with the
    # slots of the others full, the caller got 502 although its backend server was about to answer.
    @graceful-shutdown
    Scenario Outline: A repeatable call whose backend server is slow is answered by it if <others>
        Given a call deployment of <hosts> hosts with 1 slot each where the entry host has no backend server
        And 80 "GET" calls that were answered
        And <held> calls that hold a slot
        When a backend server answers a "GET" call to "/slow" slowly
        Then the unanswered call ends as "completed" after 1 runs, 500 to 4500 ms after its start
        And its first run was not cancelled

        Examples:
            | others              | hosts | held |
            | the others are full | 3     | 1    |
            | there is no other   | 2     | 0    |

        @known-red
        Examples: The second held call may be sent to the host that holds the first one
            | others              | hosts | held |
            | the others are full | 4     | 2    |

    # Guards against a slow answer that is passed on beside that of another host, or that ends its response.
    @own-answer
    Scenario: Of two answers to a call only the first one is passed on
        Given a call deployment of 3 hosts where the entry host has no backend server
        And 80 "GET" calls that were answered
        When a backend server leaves a "GET" call unanswered that has 3000 ms left
        Then the unanswered call ends as "completed" after 2 runs, 150 to 1500 ms after its start
        And its first run was cancelled

    # Guards against slow work that is given up for silence, and so adds load when there is the least room for it.
    Scenario: Slow work is not repeated beyond the retry budget, and every call is answered
        Given a call deployment of 3 hosts where the entry host has no backend server
        And 80 "GET" calls that were answered
        When 40 "GET" calls to "/slow" are made at once
        Then all of them are answered, after at most 58 runs

    # Guards against a pool that is replaced because of one unanswered call, while its other connections work.
    Scenario: The connections that answer stay in use
        Given a call deployment of 2 hosts where the entry host has no backend server
        And 80 "GET" calls that were answered
        When a backend server leaves a "GET" call unanswered that has 3000 ms left, beside 20 calls that it answers
        Then no pool was replaced

    # Guards against less and less being sent to a backend server under load, when calls start with little time left.
    Scenario: Calls that started too late to be answered do not lower the concurrency of a backend server
        Given a call deployment of 1 hosts
        And 80 "POST" calls that were answered
        When 4 "POST" calls with 100 ms left are left unanswered, one after another
        Then no call was recorded as unanswered

    # Guards against a deadline that this process notices late, which gave the backend server no more time.
    Scenario: A pause of the process at the deadline of a call does not count as time to answer
        Given a call deployment of 1 hosts
        And 80 "POST" calls that were answered
        When a "POST" call with 100 ms left is left unanswered while the process is paused for 400 ms
        Then no call was recorded as unanswered
