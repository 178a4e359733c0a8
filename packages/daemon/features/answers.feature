Feature: Callers get only complete responses to their own calls, whatever a backend server sends

    # Guards against a response that is delivered to another call, and against "not run" for a call that ran.
    @own-answer @not-run-is-true @at-most-once
    Scenario Outline: Faulty responses in many orders
        Given a faulty backend server <where> its callers
        When 60 sequences of 8 calls trigger its faults in random orders with a fixed seed
        Then the backend server has run at least 100 calls

        Examples:
            | where               |
            | on the same host as |
            | one hop from        |

    # Guards against treating the end or reset of a connection as the end of a response.
    @own-answer
    Scenario Outline: A response that is truncated at any point is never complete
        Given a faulty backend server <where> its callers
        When its response is truncated at each percent of its length, by the end and by a reset of the connection
        Then no caller takes it for a complete response

        Examples:
            | where               |
            | on the same host as |
            | one hop from        |

    # Guards against accepting a response without a call id, or with that of another call, on a reused connection.
    @own-answer @not-run-is-true
    Scenario Outline: A response that cannot be attributed to its call is rejected
        Given a faulty backend server <where> its callers
        When one call gets a <first> response and the next call a <second> response
        Then the second call ends as "<result>"
        And a rejected response is logged with the cause "<cause>" after 1 exchange

        Examples:
            | where               | first   | second         | result  | cause         |
            | on the same host as | whole   | repeated       | unknown | otherExchange |
            | one hop from        | whole   | repeated       | unknown | otherExchange |
            | on the same host as | refused | repeated       | unknown | otherExchange |
            | on the same host as | whole   | merged         | unknown | otherExchange |
            | on the same host as | whole   | unnamed        | unknown | unnamed       |
            | one hop from        | whole   | unnamed        | unknown | unnamed       |
            | on the same host as | whole   | refusedUnnamed | unknown | unnamed       |

    # Guards against a truncated head that is completed by the head of another response: the status or "not run" of the first
    # would then be applied to the call whose id is in the second.
    @own-answer @not-run-is-true
    Scenario Outline: Two response heads that are merged into one are rejected
        Given a faulty backend server <where> its callers
        When one call gets a whole response and the next call a <second> response
        Then the second call ends as "unknown"
        And a rejected response is logged with the cause "merged" after 1 exchange

        Examples:
            | where               | second        |
            | on the same host as | refusalStops  |
            | one hop from        | refusalStops  |
            | on the same host as | statusStops   |
            | one hop from        | statusStops   |
            | on the same host as | headAgain     |
            | on the same host as | refusalBehind |

    # Guards against responses whose end depends on the parser, and against truncated ones.
    @own-answer @at-most-once
    Scenario Outline: A malformed or truncated response is not complete
        Given a backend server on another host that responds with <kind>
        When a non-repeatable call gets that response
        Then its caller gets no complete response, and the call ran once

        Examples:
            | kind                                |
            | a length and a transfer coding      |
            | a transfer coding and a length      |
            | two lengths                         |
            | the same length twice               |
            | a list of lengths                   |
            | a negative length                   |
            | an empty length                     |
            | a length beyond 64 bits             |
            | bare line feeds                     |
            | a folded header                     |
            | a folded length                     |
            | a NUL in a header                   |
            | a carriage return in a header       |
            | a space before a colon              |
            | another protocol                    |
            | a 100 Continue                      |
            | a status below 100                  |
            | a body after early hints            |
            | a truncated last chunk              |
            | no last chunk                       |
            | a wrong chunk size                  |
            | a body shorter than its length      |
            | an old version and a truncated body |

    # Guards against rejecting valid responses that use rare HTTP features.
    @own-answer
    Scenario Outline: A valid response that uses rare HTTP features is complete
        Given a backend server on another host that responds with <kind>
        When a non-repeatable call gets that response
        Then its caller gets the complete response, and the call ran once

        Examples:
            | kind                         |
            | blank lines before the head  |
            | early hints before the head  |
            | a chunk extension            |
            | an old version and no length |

    # Guards against treating the response to an earlier hop as that of the next one.
    @own-answer
    Scenario Outline: A response of another daemon that does not identify the hop is not passed on
        Given a faulty server in place of the daemon of the only other host
        When one call gets a <first> response and the next call a <second> response
        Then the second call gets no foreign response, with cause "<cause>"

        Examples:
            | first | second   | cause         |
            | whole | repeated | otherExchange |
            | whole | merged   | otherExchange |
            | whole | unnamed  | unnamed       |

        # Another program listens on the address of a stopped daemon; its response is not one of the service.
        Examples:
            | first   | second  | cause   |
            | unnamed | unnamed | unnamed |

    # Guards against reusing connections to a server that does not echo call ids: a late duplicate would look like the next
    # response.
    @own-answer
    Scenario Outline: A backend server that does not echo call ids is called on new connections
        Given a faulty backend server <where> its callers
        When one call gets an unnamed response and the next call an unnamed response
        Then the second call ends as "completed"

        Examples:
            | where               |
            | on the same host as |
            | one hop from        |

    # Guards against a failed assertion of the client library that terminates the process.
    Scenario: A reset of a connection whose response is paused affects only that call
        Given a faulty backend server on the same host as its callers
        When a response without a length is paused and its connection is reset
        Then its exchange ends as "truncated"

    # Guards against closing the connection of a truncated response without a reset: an HTTP/1.0 client would treat the
    # response as complete.
    @own-answer @graceful-shutdown
    Scenario: A response truncated at the drain limit is not complete for a client without chunked encoding
        Given a call deployment of 1 hosts
        And its backend server sends one chunk and stalls
        When a client without chunked encoding has received it and the daemon stops
        Then its connection is reset
