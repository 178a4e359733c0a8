Feature: The end of a connection is not taken for the end of an answer

    # Guards against treating a truncated response as complete because its connection pool was replaced meanwhile.
    @own-answer
    Scenario: An answer without a length that is reset after its connections were replaced is not whole
        Given a backend server that sends half an answer without a length
        When its connections are replaced and the answer is reset
        Then the exchange ends "truncated" with "first half"

    # Guards against a reset that the event loop reports as an end because it arrives together with data.
    @own-answer
    Scenario: An answer without a length is not whole when its last bytes and a reset arrive together
        Given a backend server that sends half an answer without a length
        When more of the answer and a reset arrive together
        Then the exchange ends "truncated" with "first half, second half"

    # Guards against failing a complete response because another connection was reset.
    @own-answer
    Scenario: An answer without a length is whole although another connection to its backend server was reset
        Given a backend server that sends half an answer without a length
        When another connection is reset and the answer ends
        Then the exchange ends "completed" with "first half, second half"

    # Guards against a crash of the daemon when a connection ends while its response is paused for a slow caller.
    @own-answer
    Scenario Outline: An answer <framing> that <ends> while its caller reads slowly leaves the process running
        Given a backend server that sends half an answer <framing>
        And the caller reads nothing yet
        When the answer <ends>
        Then the exchange ends "<end>" with "<body>"

        Examples:
            | framing          | ends      | end       | body                    |
            | without a length | ends      | completed | first half, second half |
            | without a length | is reset  | truncated | first half              |
            | in chunks        | is broken | truncated | first half              |
            | in chunks        | is reset  | truncated | first half              |

    # Guards against a crash of the daemon when a connection cannot be opened.
    Scenario: A call whose connection is refused was never written
        Given a backend server that is gone
        When a call is sent to it
        Then the exchange ends "neverWritten" with ""

    # Guards against treating a response as truncated because its head has a length although its status allows no body.
    @own-answer
    Scenario Outline: An answer <status> with a length is whole
        Given a backend server that answers <status> with a length
        When a call is sent to it
        Then the exchange ends "completed" with ""
        And the answer was ended

        Examples:
            | status |
            | 204    |
            | 304    |
