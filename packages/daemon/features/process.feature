Feature: The daemon process stops without cutting requests in flight

    Scenario: A second SIGTERM does not cut a request in flight
        Given a running tanagertrayd with a request in flight
        When SIGTERM is sent to tanagertrayd twice
        Then the request in flight gets a complete response
        And tanagertrayd exits with 0 and logged "daemon.started" and "daemon.stopped"

    Scenario: An occupied port is one log line and exit code 1
        Given a running tanagertrayd with a request in flight
        When a second tanagertrayd starts with the same settings
        Then the second tanagertrayd exits with 1 and one line with "process.startFailed"
