Feature: The daemon process stops without aborting requests in flight

    Scenario: A second SIGTERM does not abort a request in flight
        Given a running tanagertrayd with a request in flight
        When SIGTERM is sent to tanagertrayd twice
        Then the request in flight gets a complete response
        And tanagertrayd exits with 0 and logged "daemon.started" and "daemon.stopped"

    Scenario: A port in use leads to one log line and exit code 1
        Given a running tanagertrayd with a request in flight
        When a second tanagertrayd starts with the same settings
        Then the second tanagertrayd exits with 1 and one line with "process.startFailed"

    Scenario: An uncaught exception leads to one log line and exit code 1
        When a daemon process throws an uncaught exception
        Then the second tanagertrayd exits with 1 and one line with "process.uncaughtException"

    Scenario: A call that never ends does not delay the exit beyond the drain limit
        Given a blackboard with a service that drains within 50 ms
        When the daemon waits for a call that never ends
        Then the wait ended after the drain limit and a margin of 1000 ms
