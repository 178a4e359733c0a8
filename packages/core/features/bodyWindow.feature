Feature: Request bodies take turns on a link

    # Guards against a link that gets a queue of its own, against bodies that never get a turn, and against less urgent
    # ones that overtake.
    Scenario: Whatever bodies come and leave, the window holds and each body that stays gets its turn
        Then 500 random series of 40 bodies keep the window of a link of 8 Mbit/s
        And in each of them the bodies that wait get their turns by rank, and in the order of their arrival

    # Guards against large bodies that are refused for ever because their own transfer takes long on a narrow link.
    Scenario Outline: A body waits for those ahead of it, not for itself
        Then a body behind <ahead> bodies of 50000 bytes waits <ms> ms on a link of 8 Mbit per second

        Examples:
            | ahead | ms  |
            | 0     | 0   |
            | 1     | 50  |
            | 4     | 200 |

    Scenario: A full queue takes no body
        Then the body after 2 that arrive and 256 that wait is refused
