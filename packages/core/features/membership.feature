@configuration
Feature: Hosts agree on the membership

    # Guards against an older record overriding a newer one when records arrive late, repeatedly or out of order.
    Scenario: Delayed and reordered host records do not replace newer ones
        When sets of records of one host are merged in random orders, with repetitions
        Then every order of host records results in the newest one

    # Guards against a healthy host being removed because one link failed.
    Scenario: A suspected host refutes the suspicion
        Given a host record of "a1" with incarnation 100 and counter 5
        When the host receives a suspicion of itself with counter 5
        Then its refutation has incarnation 100 and counter 6
        And the refutation is newer than the suspicion

    # Guards against records of a restarted host being ignored because its clock is behind that of its previous run.
    Scenario: A host that receives a higher incarnation of itself takes the next one
        Given a host record of "a1" with incarnation 100 and counter 5
        When the host receives its own record with incarnation 250
        Then its refutation has incarnation 251 and counter 0

    # Guards against a host that left being reported alive again by its own refutation.
    Scenario: A host that left does not refute, and delayed records do not replace its state
        Given a host record of "a1" with incarnation 100 and counter 5
        When the host leaves and is reported failed with counter 9
        Then there is no refutation
        And the left record is newer than every other record of the same incarnation

    # Guards against a dead neighbour that keeps receiving calls.
    Scenario: A neighbour without a link is suspected, then failed
        Given a host table of "a1", "a2" and "a3" in domain "a", and "b1" in domain "b"
        When host "a1" has had no link to its neighbours "a2" and "b1" for 1 s
        Then host "a1" suspects only "a2"
        And 2.9 s after the suspicion no host has failed, 3 s after it "a2" has failed

    # Guards against a storm of records when failure domains lose each other.
    Scenario: A partition between failure domains causes no suspicions
        Given a host table of "a1", "a2" and "a3" in domain "a", and "b1" in domain "b"
        When host "a1" has had no link to its neighbour "b1" for 3600 s
        Then host "a1" suspects no host

    # Guards against a refuted suspicion being raised again at once, in a loop.
    Scenario: A refuted suspicion is not repeated within 10 s
        Given a host table of "a1", "a2" and "a3" in domain "a", and "b1" in domain "b"
        When host "a2" refutes a suspicion of "a1" while the link stays down
        Then "a1" suspects "a2" again only after 10 s

    # Guards against unbounded memory use for failed and left hosts.
    Scenario: Tombstones are kept for 10 minutes and within their limit
        When 9000 hosts leave one after the other
        Then 8192 host tombstones remain, and none after 10 minutes

    # Guards against a sender that keeps reporting a failed host as alive.
    Scenario: A delayed live record of a failed host is answered with its tombstone
        When a failed host is reported alive with an older counter
        Then the merge returns a correction for the sender and leaves the table unchanged

    # Guards against lost records that are never sent again, and against sending more than the differing buckets.
    Scenario: Digests find the records that differ
        Given two host tables of 200 hosts that differ in one host
        Then one bucket of their digests differs and its records include that host
        And an empty table receives every bucket
        And a round of anti-entropy among 30000 hosts is limited to 2 buckets

    # Guards against hosts that start at once and send a message over each link for every sender of records.
    Scenario: Records of several hosts are combined for each link and not sent back to their senders
        When 3 hosts have each sent their own record and the record of "x"
        Then each of them receives one message with the own records of the others
        And all other links receive one message with 4 records

    # Guards against hosts that disagree on roles, and against a link graph that is not connected.
    Scenario: Roles and neighbours are derived from the membership
        Given a membership of 2 regions with 3 domains of 20 hosts each
        Then every domain has 1 head reader and 2 domain relays
        And every region has 2 region relays
        And the links of all hosts connect the whole membership
        And the hosts of a domain agree on the 3 that read the head row, which are linked
        And a host without a role has at most 3 neighbours, and one that may read the head row at most 5

    # Guards against a reassignment of all roles when one host is lost.
    Scenario: Rendezvous hashing reassigns only the keys of the lost host
        When one of 50 hosts is lost
        Then only the rendezvous choices that included it change

    # Guards against version records of all hosts exceeding the byte budget.
    Scenario: A change of only the version is delayed, other changes are not
        Given a publishing host among 30000 hosts
        Then a change of only the version is published after 1500 s
        And new offers are published at once
        And a lag of 2 s is published once

    # Guards against 30,000 records at once when a version is delayed everywhere.
    Scenario: A lag of all hosts is published over one minute
        Given a publishing host among 30000 hosts
        Then a lag is published 2 s to 62 s after its start, evenly over the hosts
        Given a publishing host among 24 hosts
        Then a lag is published 2 s to 2.2 s after its start, evenly over the hosts

    # Guards against a change that modifies an older copy of the table, and against a wrong number of hosts.
    Scenario: A change to a bucket map leaves its older copies unchanged
        When random changes are made to a bucket map and to a plain map
        Then both maps agree after every change and older copies stay as they were

    # Guards against a failure domain without the platform whose hosts all read at the same time, or not at all for long.
    @in-force-everywhere @store-down
    Scenario Outline: The turns of <places> hosts without the platform are evenly spread
        Given an order of <places> hosts that the platform answered 1000 ms ago, with a freshness limit of 2000 ms
        When each of them reads at its turns for 20 s
        Then the reads of all of them are at most <gap> ms apart
        And those of one host are at least 1500 ms apart

        Examples:
            | places | gap  |
            | 1      | 1500 |
            | 2      | 1000 |
            | 3      | 1000 |

    # Guards against failure domains that read in step because the last answer of all of them was the same change.
    @in-force-everywhere @store-down
    Scenario: The turns of different failure domains are spread as well
        Given an order of 3 hosts that the platform answered 1000 ms ago, with a freshness limit of 2000 ms
        When the hosts of 6 failure domains read at their turns for 20 s
        Then the reads of all of them are at most 500 ms apart
