Feature: Whole sessions keep their messages

    Scenario Outline: The session <session>
        # Guards against a change of messages, their order or their number that nobody intended.
        When the golden session "<session>" runs
        Then its messages are those of its golden file

        Examples:
            | session            |
            | operator-change    |
            | operator-race      |
            | operator-reject    |
            | operator-roll-back |
            | operator-outage    |
            | host-join-eager    |
            | host-join-lazy     |
            | host-update-eager  |
            | host-update-lazy   |
            | host-restart       |
