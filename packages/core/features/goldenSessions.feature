Feature: Recorded sessions exchange the same messages as before

    Scenario Outline: The session <session>
        # Guards against unintended changes of messages, of their order and of their number.
        When the golden session "<session>" runs
        Then its messages equal its golden file

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
