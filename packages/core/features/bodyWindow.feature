Feature: Request bodies take turns on a link

    # Guards against a link that gets a queue of its own, against bodies that never get a turn, and against less urgent
    # ones that overtake.
    Scenario: Whatever bodies come and leave, the window holds and each body that stays gets its turn
        Then 500 random series of 40 bodies keep the window of a link of 8 Mbit/s
        And in each of them the bodies that wait get their turns by rank, and in the order of their arrival

    Scenario Outline: A body of <bytes> bytes behind <ahead> of 50000 bytes is expected after <ms> ms at 8 Mbit per second
        Then a body of <bytes> bytes behind <ahead> bodies of 50000 bytes is expected after <ms> ms

        Examples:
            | bytes | ahead | ms  |
            | 50000 | 0     | 50  |
            | 10000 | 1     | 60  |
            | 50000 | 4     | 250 |

    Scenario: A full queue takes no body
        Then the body after 2 that arrive and 256 that wait is refused
