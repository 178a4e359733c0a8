Feature: The end of a connection is not taken for the end of a response

    # Guards against treating a truncated response as complete because its connection pool was replaced meanwhile.
    @own-answer
    Scenario: A response without a length that is reset after its connections were replaced is not complete
        Given a backend server that sends half a response without a length
        When its connections are replaced and the response is reset
        Then the exchange ends "truncated" with "first half"

    # Guards against a reset that the event loop reports as an end because it arrives together with data.
    @own-answer
    Scenario: A response without a length is not complete when its last bytes and a reset arrive together
        Given a backend server that sends half a response without a length
        When more of the response and a reset arrive together
        Then the exchange ends "truncated" with "first half, second half"

    # Guards against failing a complete response because another connection was reset.
    @own-answer
    Scenario: A response without a length is complete although another connection to its backend server was reset
        Given a backend server that sends half a response without a length
        When another connection is reset and the response ends
        Then the exchange ends "completed" with "first half, second half"

    # Guards against a crash of the daemon when a connection ends while its response is paused for a slow caller.
    @own-answer
    Scenario Outline: A response <framing> that <ends> while its caller reads slowly does not crash the process
        Given a backend server that sends half a response <framing>
        And the caller reads nothing yet
        When the response <ends>
        Then the exchange ends "<end>" with "<body>"

        Examples:
            | framing          | ends      | end       | body                    |
            | without a length | ends      | completed | first half, second half |
            | without a length | is reset  | truncated | first half              |
            | in chunks        | is broken | truncated | first half              |
            | in chunks        | is reset  | truncated | first half              |

    # Guards against a crash of the daemon when a connection cannot be opened.
    Scenario: A call whose connection is refused is reported as never written
        Given a backend server that no longer listens
        When a call is sent to it
        Then the exchange ends "neverWritten" with ""

    # Guards against treating a response as truncated because its head has a length although its status allows no body.
    @own-answer
    Scenario Outline: A response with status <status> and a length is complete
        Given a backend server that responds with status <status> and a length
        When a call is sent to it
        Then the exchange ends "completed" with ""
        And the end of the response was forwarded

        Examples:
            | status |
            | 204    |
            | 304    |
