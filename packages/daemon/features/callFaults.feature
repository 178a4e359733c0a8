Feature: Faults at each step of a call neither run it twice nor make a broken response look complete

    Each row injects the fault into the hop between daemons and into the connection to the backend server, for a repeatable
    and a non-repeatable call, with 200 bytes and with 20 MB in both directions.

    @own-answer @not-run-is-true @at-most-once
    Scenario Outline: A <fault> at "<step>" leaves the ledgers consistent
        Given calls to a daemon and to a backend server behind relays
        When a "<fault>" interrupts each end of calls at "<step>"
        Then no call ran twice or was falsely reported as not run, and every response is complete or clearly failed

        Examples: The process is stopped, or its connections are reset and new ones succeed
            | fault | step        |
            | kill  | connected   |
            | kill  | head-sent   |
            | kill  | half-body   |
            | kill  | waiting     |
            | kill  | half-answer |
            | cut   | connected   |
            | cut   | head-sent   |
            | cut   | half-body   |
            | cut   | waiting     |
            | cut   | half-answer |

        @silent-connection
        Examples: The process is paused until after the deadline, or only open connections are silent
            | fault   | step        |
            | pause   | connected   |
            | pause   | head-sent   |
            | pause   | half-body   |
            | pause   | waiting     |
            | pause   | half-answer |
            | silence | connected   |
            | silence | head-sent   |
            | silence | half-body   |
            | silence | waiting     |
            | silence | half-answer |
