Feature: Log lines and metrics show where a call spent its time and why it failed

    # Guards against slow calls whose delay cannot be attributed to a daemon, a queue, a link or a backend server.
    Scenario: The spans of a call contain its stages at both daemons
        Given a call deployment of 2 hosts where the entry host has no backend server
        When a call that its backend server answers after 600 ms is made
        Then the span of the entry daemon has the stages "hop,read,send", none of 300 ms or more
        And the span of the other daemon has the stages "backend,queue,read,send"
        And its stage "backend" took 590 ms or more

    # Guards against slow calls whose log line does not show that the daemon read them late.
    Scenario: The log line of a refused call shows when it was read, and that it was never written
        Given a call deployment of 1 hosts
        When a call with a deadline of 80 ms waits in the socket of a daemon that is paused for 140 ms
        Then "call.unserved" of host 0 names the call and its caller, was read after 80 ms or more, and was not written

    # Guards against failures of backend servers without a log line, although a call of that server may be the cause.
    Scenario: A response with a server error of the backend server is logged with its trace and host
        Given a call deployment of 2 hosts where the entry host has no backend server
        When a backend server answers 503 with its own refusal
        Then "call.serverError" of host 1 names the call, its trace, its target and the status 503

    # Guards against calls that are refused as unreachable without a logged cause.
    Scenario: The error of a call that cannot be written to its backend server is logged
        Given a call deployment of 1 hosts
        When the backend server of host 0 is down and a call arrives there
        Then "call.unreachable" of host 0 names the call, the address and the error "ECONNREFUSED"

    # Guards against refusals by the second daemon that are logged only by the entry daemon.
    Scenario: A hop that gets no backend server is logged with the state of the queue
        Given a call deployment of 2 hosts where the entry host has no backend server
        When the backend server of host 1 drains and a call arrives at host 0
        Then "call.hopRefused" of host 1 names the call, its caller, the service and the reason "noBackendServer"

    Scenario: The metrics contain stages, waits by service, refusals by reason and unserved calls
        Given an admin listener on a board with configuration version 7
        When a span with a wait of 40 ms and an unserved and a refused call are appended to the board
        And the admin path "GET /metrics" is requested with the token ""
        Then every line of the metrics parses
        And the metrics hold 'tanagertray_call_stage_duration_seconds_count{span="entry",stage="queue"} 1'
        And the metrics hold 'tanagertray_call_queue_duration_seconds_sum{service="board"} 0.04'
        And the metrics hold 'tanagertray_call_refusals_total{at="entry",reason="noRoute"} 1'
        And the metrics hold 'tanagertray_calls_unserved_total{result="notRun",reason="waitTooLong"} 1'
        And the metrics hold 'tanagertray_event_loop_lag_seconds_count 1'
