Feature: The admin listener authorizes requests, runs commands and reports status and metrics

    Background:
        Given an admin listener on a board with configuration version 7

    Scenario Outline: A request without a valid token is refused
        When the admin path "<request>" is requested with the token "<token>"
        Then the admin response has status <status> and code "<code>"

        Examples:
            | request                 | token               | status | code         |
            | GET /v1/status          |                     | 401    | unauthorized |
            | GET /v1/status          | backend-token-0001  | 401    | unauthorized |
            | GET /v1/status          | operator-token-000  | 401    | unauthorized |
            | POST /v1/drain          | backend-token-0001  | 401    | unauthorized |
            | POST /v1/backend-servers| operator-token-0001 | 401    | unauthorized |
            | GET /v1/nothing         | operator-token-0001 | 404    | notFound     |
            | DELETE /v1/status       | operator-token-0001 | 405    | notFound     |

    Scenario: Both operator tokens of a rotation are valid
        When the admin path "GET /v1/status" is requested with the token "operator-token-0001"
        Then the admin response has status 200 and code ""
        When the admin path "GET /v1/status" is requested with the token "operator-token-0002"
        Then the admin response has status 200 and code ""

    Scenario: A body over the limit is refused and no command is run
        When answers of 4194305 bytes are submitted to the admin listener
        Then the admin response has status 413 and code "tooLarge"
        And the revision controller received 0 commands

    Scenario: Answers with mistakes are refused with the full list and no command is run
        When the answers '{ "deployment": "A", "servces": {} }' are submitted to the admin listener
        Then the admin response has status 422 and code "invalidAnswer"
        And the admin response lists 4 mistakes
        And the revision controller received 0 commands

    Scenario: Correct answers reach the revision controller and its reply becomes the response
        When the answers '{ "deployment": "a", "services": { "s": { "slots": 1, "connections": 1, "operations": [{ "name": "r", "method": "GET", "path": "/", "repeatable": true }] } }, "callers": {} }' are submitted to the admin listener
        Then the admin response has status 200 and code ""
        And the revision controller received 1 commands

    Scenario: A drain of an unknown backend server is refused
        When the admin path "POST /v1/drain" is requested with the token "operator-token-0001" and the body '{ "backendServer": "s9" }'
        Then the admin response has status 404 and code "notFound"
        When the admin path "POST /v1/drain" is requested with the token "operator-token-0001" and the body '{ "backendServer": "s1" }'
        Then the admin response has status 202 and code ""

    Scenario Outline: An explanation names the first check that a call fails
        When the admin path "GET /v1/explain?<query>" is requested with the token "operator-token-0001"
        Then the explanation has carried <carried> and the first failed step "<step>" with "<detail>"

        Examples:
            | query                                                | carried | step      | detail                        |
            | service=board&caller=crews&method=GET&path=/ponds/3  | true    |           |                               |
            | service=bord&caller=crews&method=GET&path=/ponds/3   | false   | route     | did you mean "board"          |
            | service=board&caller=crews&method=PUT&path=/ponds/3  | false   | operation | GET /ponds/*                  |
            | service=board&caller=crew&method=GET&path=/ponds/3   | false   | caller    | did you mean "crews"          |

    Scenario: The metrics are Prometheus text with counters and durations
        When 3 events and 200 spans are appended to the board
        And the admin path "GET /metrics" is requested with the token ""
        Then every line of the metrics parses
        And the metrics hold 'tanagertray_events_total{event="test.event"} 3'
        And the metrics hold 'tanagertray_span_duration_seconds_count{span="call"} 200'
        And the metrics hold 'tanagertray_configuration_version 7'

    # Guards against traffic between daemons that operators pay for but cannot see in the metrics.
    Scenario: The metrics count bytes and messages on links by kind, direction and region
        When the links carried a digest of 300 bytes to another region
        And the admin path "GET /metrics" is requested with the token ""
        Then every line of the metrics parses
        And the metrics hold 'tanagertray_peer_bytes_total{kind="digest",direction="out",region="other"} 300'
        And the metrics hold 'tanagertray_peer_messages_total{kind="digest",direction="out",region="other"} 1'

    Scenario: Secrets appear in no log line and repeated events are limited
        When a log follows the board while operators and clients without a valid token send 40 requests
        Then no log line contains a token and each line is JSON with an event
        And the log omitted repeated events and reports how many

    Scenario: Spans reach the collector, and are counted as dropped when it fails
        When 5 spans are exported to a collector that answers with status 200
        Then the collector received 5 spans
        When 5 spans are exported to a collector that answers with status 500
        Then 5 spans are reported as dropped

    # Guards against a process that ends seconds late because its last spans wait for a connection to the collector.
    Scenario: A collector that accepts no connections delays the end by one export timeout at most
        When 5 spans are exported to a collector that accepts no connections, and the exporter is closed
        Then 5 spans are reported as lost within 6 s

    Scenario: Requests over the concurrency limit are refused, and health checks still work
        When 64 requests with unfinished bodies are open at the admin listener
        And the admin path "GET /v1/status" is requested with the token "operator-token-0001"
        Then the admin response has status 429 and code "overloaded"
        When the admin path "GET /healthz" is requested with the token ""
        Then the admin response has status 200 and code ""

    Scenario: Answers may be submitted as raw text with comments, with the operator in a header
        When the raw answers '{ /* new */ "deployment": "a", "services": { "s": { "slots": 1, "connections": 1, "operations": [{ "name": "r", "method": "GET", "path": "/", "repeatable": true }] } }, "callers": {} }' are submitted by "dana"
        Then the admin response has status 200 and code ""
        And the revision controller received a command of the operator "dana"

    Scenario: A chunked body over the limit is refused although it declares no length
        When a chunked body of 20000 bytes is sent to the admin path "POST /v1/drain"
        Then the admin response has status 413 and code "tooLarge"

    Scenario: The readiness endpoint returns 503 while the host is not ready
        When the readiness becomes "joining"
        And the admin path "GET /readyz" is requested with the token ""
        Then the admin response has status 503 and code ""
