Feature: The control plane of a fleet that starts at once, in virtual time

    # Guards against hosts that take the roles of relays before they know the others: each of 194 hosts opened 18 links,
    # and each of these carried every record, 19 MB of them between regions.
    Scenario: A common start costs each host a bounded number of bytes and requests
        Given an emulated fleet of 108 hosts that starts at once
        When the first version is accepted 1.1 s after the start
        Then all hosts are ready within 3 s and know each other within 4 s
        And within 12 s the hosts have sent at most 16 KB each between regions and 41 KB each between domains
        And the hosts have made at most 4 requests each to the table service

    # Guards against a host that waits for other members of its domain before the platform has told it of any.
    Scenario: A host that is alone in its domain becomes ready and finds the other domains
        Given an emulated fleet of 9 hosts that starts at once
        When the first version is accepted 1.1 s after the start
        Then all hosts are ready within 3 s and know each other within 8 s

    # Guards against a start that depends on single hosts: the first one of a domain, to which the others open their first
    # link, or the relays.
    Scenario Outline: Hosts that are killed during a common start do not keep the others apart
        Given an emulated fleet of 54 hosts that starts at once
        When the first version is accepted 1.1 s after the start
        And <killed> are killed <how> <seconds> s after the start
        Then the remaining hosts are ready within 8 s and know each other within 15 s

        Examples:
            | killed                  | how        | seconds |
            | the hosts in the rows   | noticeably | 0.8     |
            | the hosts in the rows   | silently   | 0.8     |
            | the hosts in the rows   | silently   | 1.6     |
            | the relays              | noticeably | 2.6     |
            | the relays              | silently   | 2.6     |
            | the relays              | silently   | 4       |

    # Guards against a failure domain whose members depend on links to other domains, or to the platform, to find each other.
    Scenario: A domain that is cut off during the start joins by itself and rejoins the others
        Given an emulated fleet of 54 hosts that starts at once
        When the first version is accepted 1.1 s after the start
        And domain 4 is cut off from all others, but not from the platform, from 0.2 s to 10 s
        Then within 9 s the hosts of domain 4 know each other and are ready
        And the remaining hosts are ready within 15 s and know each other within 20 s

    # Guards against news that waits behind other news: a host that leaves must get no more calls within 3 s.
    Scenario: A departure spreads at once while the fleet changes
        Given an emulated fleet of 108 hosts that starts at once
        When the first version is accepted 1.1 s after the start
        And the fleet has run for 5 s, and then 3 hosts restart every second
        And a host publishes the departure of its backend server 3 s later
        Then every other host knows of the departure within 2 s

    # Guards against a slow return of a fleet that lost its power, whose rows list hosts that restart as well.
    Scenario: A fleet that restarts at once is back within 3 s
        Given an emulated fleet of 108 hosts that starts at once
        When the first version is accepted 1.1 s after the start
        And all hosts lose their power at 14 s and restart at 15 s
        Then all hosts are ready within 3 s and know each other within 4 s of the restart

    # Guards against a handshake that ends at a bound for the whole of it, or before the answer in the socket buffer is read:
    # a host short of processor time never got a link, and so neither the configuration nor its peers' answers.
    @in-force-everywhere
    Scenario Outline: A host that restarts with turns of <turn> ms of its event loop gets its links and the next version
        Given an emulated fleet of 12 hosts that starts at once
        When the first version is accepted 1.1 s after the start
        And the last host restarts 14 s after the start with turns of <turn> ms of its event loop
        Then it is ready and linked to its neighbours within 15 s
        And a version that is accepted then is in force on it within 6 s

        Examples:
            | turn |
            | 300  |
            | 800  |
            | 1200 |
            | 1700 |
            | 2100 |
            | 2500 |

    # Guards against the same while the platform does not answer: the host never became ready.
    @herd-death @store-down
    Scenario Outline: A host that restarts with turns of <turn> ms becomes ready without the platform
        Given an emulated fleet of 12 hosts that starts at once
        When the first version is accepted 1.1 s after the start
        And the platform no longer answers the last host from 14 s on
        And the last host restarts 14 s after the start with turns of <turn> ms of its event loop
        Then it is ready and linked to its neighbours within 15 s

        Examples:
            | turn |
            | 800  |
            | 1200 |
            | 2500 |

    # Guards against a bound that each long turn of the event loop moves on: the link was kept for 37 s, or for good.
    @silent-connection
    Scenario Outline: A host with turns of <turn> ms of its event loop closes a silent link within <limit> s
        Given an emulated fleet of 12 hosts that starts at once
        When the first version is accepted 1.1 s after the start
        And the last host restarts 14 s after the start with turns of <turn> ms of its event loop
        Then it is ready and linked to its neighbours within 15 s
        When a neighbour of it loses its power
        Then it closes the link to that neighbour within <limit> s

        Examples:
            | turn | limit |
            | 300  | 4     |
            | 1200 | 8     |
            | 2000 | 10    |

    # Guards against faults in series that leave hosts apart, behind, or out of use: kills, losses of power, cut domains, an
    # unreachable platform, new versions. 15 s is the time that a recovery may take.
    Scenario Outline: A fleet is whole again after random faults
        When an emulated fleet goes through random faults with seed <seed>
        Then within 15 s of the last fault every host is ready with the newest version and knows all others

        Examples:
            | seed |
            | 1    |
            | 2    |
            | 3    |
            | 4    |
            | 5    |
            | 6    |
