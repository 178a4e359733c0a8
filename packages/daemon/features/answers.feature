Feature: Each answer is the own and whole answer of its call, whatever a backend server writes

    # Guards against a response that is delivered to another call, and against "not run" for a call that ran.
    @own-answer @not-run-is-true @at-most-once
    Scenario Outline: Faulty answers in many orders
        Given a backend server with faults <where> its callers
        When 60 sequences of 8 calls meet its faults in orders drawn from a fixed seed
        Then the backend server has run at least 100 calls

        Examples:
            | where        |
            | beside       |
            | one hop from |

    # Guards against treating the end or reset of a connection as the end of a response.
    @own-answer
    Scenario Outline: An answer that is cut at any byte is never whole
        Given a backend server with faults <where> its callers
        When its answer is cut at every byte, by the end and by a reset of the connection
        Then no caller takes it for a whole answer

        Examples:
            | where        |
            | beside       |
            | one hop from |

    # Guards against accepting a response without a call id, or with that of another call, on a reused connection.
    @own-answer @not-run-is-true
    Scenario Outline: An answer that cannot be told to be that of its call
        Given a backend server with faults <where> its callers
        When a call meets <first>, and <second> after it
        Then the second call ends as "<result>"
        And a rejected answer is noted with "<cause>" after 1 exchange

        Examples:
            | where        | first   | second         | result  | cause         |
            | beside       | whole   | repeated       | unknown | otherExchange |
            | one hop from | whole   | repeated       | unknown | otherExchange |
            | beside       | refused | repeated       | unknown | otherExchange |
            | beside       | whole   | merged         | unknown | otherExchange |
            | beside       | whole   | unnamed        | unknown | unnamed       |
            | one hop from | whole   | unnamed        | unknown | unnamed       |
            | beside       | whole   | refusedUnnamed | unknown | unnamed       |

    # Guards against a truncated head that is completed by the head of another response: the status or "not run" of the first
    # would then be applied to the call whose id is in the second.
    @own-answer @not-run-is-true
    Scenario Outline: Two heads in one are no answer
        Given a backend server with faults <where> its callers
        When a call meets whole, and <second> after it
        Then the second call ends as "unknown"
        And a rejected answer is noted with "merged" after 1 exchange

        Examples:
            | where        | second        |
            | beside       | refusalStops  |
            | one hop from | refusalStops  |
            | beside       | statusStops   |
            | one hop from | statusStops   |
            | beside       | headAgain     |
            | beside       | refusalBehind |

    # Guards against responses whose end depends on the parser, and against truncated ones.
    @own-answer @at-most-once
    Scenario Outline: An answer that is malformed or cut is not whole
        Given a backend server on another host that answers with <kind>
        When a call that may not be repeated meets that answer
        Then its caller gets no whole answer, and it ran once

        Examples:
            | kind                           |
            | a length and a coding          |
            | a coding and a length          |
            | two lengths                    |
            | the same length twice          |
            | a list of lengths              |
            | a negative length              |
            | an empty length                |
            | a length beyond 64 bits        |
            | line feeds alone               |
            | a folded header                |
            | a folded length                |
            | a NUL in a header              |
            | a carriage return in a header  |
            | a space before a colon         |
            | another protocol               |
            | a continue                     |
            | a status below 100             |
            | a body behind early hints      |
            | a last chunk that is cut       |
            | no last chunk                  |
            | a wrong chunk size             |
            | a body shorter than its length |
            | an old version and a cut body  |

    # Guards against rejecting valid responses that use rare HTTP features.
    @own-answer
    Scenario Outline: An answer of a rare form is whole
        Given a backend server on another host that answers with <kind>
        When a call that may not be repeated meets that answer
        Then its caller gets the whole answer, and it ran once

        Examples:
            | kind                           |
            | blank lines in front           |
            | early hints in front           |
            | an extension of a chunk        |
            | an old version and no length   |

    # Guards against treating the response to an earlier hop as that of the next one.
    @own-answer
    Scenario Outline: A response of another daemon that does not name the hop is not passed on
        Given a faulty server in place of the daemon of the only other host
        When a call meets <first>, and <second> after it
        Then the second call gets no answer of another, for "<cause>"

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
    Scenario Outline: A backend server that names no calls is called on new connections
        Given a backend server with faults <where> its callers
        When a call meets unnamed, and unnamed after it
        Then the second call ends as "completed"

        Examples:
            | where        |
            | beside       |
            | one hop from |

    # Guards against a failed assertion of the client library that terminates the process.
    Scenario: A reset of a connection whose answer is paused costs that call alone
        Given a backend server with faults beside its callers
        When an answer without a length is paused and its connection is reset
        Then its exchange ends as "truncated"

    # Guards against closing the connection of a truncated response without a reset: an HTTP/1.0 client would treat the
    # response as complete.
    @own-answer @graceful-shutdown
    Scenario: An answer that is cut at the drain limit is not whole for a client that knows no chunks
        Given a call deployment of 1 hosts
        And its backend server sends one chunk and stalls
        When a client without chunked encoding has received it and the daemon stops
        Then its connection is reset
