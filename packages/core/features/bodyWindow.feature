Feature: The request bodies that a host receives at a time are limited by the bandwidth of its link

    # Guards against a link that queues data, against bodies that are never received, and against bodies of a lower
    # priority that overtake others.
    Scenario: Whatever bodies are added and removed, the window is kept and each remaining body is received
        Then 500 random sequences of 40 bodies stay within the window of a link of 8 Mbit/s
        And in each of them the queued bodies are received by priority and then in order of arrival

    # Guards against large bodies that are always refused because their own transfer takes long on a slow link.
    Scenario Outline: A body waits for those ahead of it, and its own transfer time does not count
        Then a body behind <ahead> bodies of 50000 bytes waits <ms> ms on a link of 8 Mbit per second

        Examples:
            | ahead | ms  |
            | 0     | 0   |
            | 1     | 50  |
            | 4     | 200 |

    Scenario: A full queue refuses further bodies
        Then the body after 2 that are being received and 256 that are queued is refused
