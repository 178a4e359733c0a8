Feature: Silence of backend servers is told from slow work, and lowers what is sent to them

    Scenario Outline: The limit for silence follows the times that the operation takes
        Given a backend server that answered <calls> calls in <times> ms
        Then with <left> ms left the limit for silence is <limit>

        Examples: A limit below slow work would repeat it; without room for another attempt the call waits
            | calls | times   | left  | limit           |
            | 10    | 160     | 5000  | none            |
            | 60    | 160     | 5000  | 200 to 300 ms   |
            | 60    | 80-240  | 5000  | 350 to 900 ms   |
            | 60    | 80-240  | 500   | none            |
            | 60    | 2       | 5000  | 200 to 200 ms   |

    # Guards against a backend server that stays full because the same number of calls is sent to it again and again.
    Scenario: Calls in a row without an answer lower the concurrency, and answers raise it step by step
        Given a backend server with 12 slots
        When it leaves 1 call unanswered
        Then 12 of its slots are used
        When it leaves 1 call unanswered
        Then 6 of its slots are used
        When it leaves 4 calls unanswered
        Then 1 of its slots are used
        When it answers 3 calls
        Then 3 of its slots are used
        When it answers 80 calls
        Then 12 of its slots are used
