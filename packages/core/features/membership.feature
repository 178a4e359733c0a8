@configuration
Feature: Hosts agree on the membership

    # Guards against an older record overriding a newer one when news arrives late, twice or crossed.
    Scenario: Late and crossed host records lose
        When sets of records of one host are merged in random orders, with repetitions
        Then every order of host records ends with the newest one

    # Guards against a healthy host being removed because one link failed.
    Scenario: A suspected host refutes the suspicion
        Given a host record of "a1" with incarnation 100 and counter 5
        When the host hears itself suspected with counter 5
        Then its refuting record has incarnation 100 and counter 6
        And the refuting record wins against the suspicion

    # Guards against a restarted host whose clock runs behind being taken for its former self.
    Scenario: A host that hears of a higher incarnation of itself takes the next one
        Given a host record of "a1" with incarnation 100 and counter 5
        When the host hears of its incarnation 250
        Then its refuting record has incarnation 251 and counter 0

    # Guards against a leaving host coming back to life through its own refutation.
    Scenario: A host that left refutes nothing, and late news does not revive it
        Given a host record of "a1" with incarnation 100 and counter 5
        When the host leaves and hears itself failed with counter 9
        Then there is no refuting record
        And the left record wins against every record of the same incarnation

    # Guards against a dead neighbour that keeps receiving calls.
    Scenario: A neighbour without a link is suspected, then failed
        Given a host table of "a1", "a2" and "a3" in domain "a", and "b1" in domain "b"
        When host "a1" has had no link to its neighbours "a2" and "b1" for 1 s
        Then host "a1" suspects only "a2"
        And after 2.9 s more nobody has failed, after 3 s more "a2" has failed

    # Guards against a storm of records when failure domains lose each other.
    Scenario: A partition between failure domains suspects nobody
        Given a host table of "a1", "a2" and "a3" in domain "a", and "b1" in domain "b"
        When host "a1" has had no link to its neighbour "b1" for 3600 s
        Then host "a1" suspects nobody

    # Guards against a refuted suspicion being raised again at once, in a loop.
    Scenario: A refuted suspicion is not repeated within 10 s
        Given a host table of "a1", "a2" and "a3" in domain "a", and "b1" in domain "b"
        When host "a2" refutes a suspicion of "a1" while the link stays down
        Then "a1" suspects "a2" again only after 10 s

    # Guards against unbounded memory for hosts that are gone.
    Scenario: Tombstones are kept for 10 minutes and within their bound
        When 9000 hosts leave one after the other
        Then 8192 host tombstones remain, and none after 10 minutes

    # Guards against a sender that keeps reviving a host that failed.
    Scenario: Late live news of a failed host is answered with its tombstone
        When a failed host is reported alive with an older counter
        Then the merge corrects the sender and changes nothing

    # Guards against lost records that are never repaired, and against repairing more than what differs.
    Scenario: Digests find the records that differ
        Given two host tables of 200 hosts that differ in one host
        Then one bucket of their digests differs and its records include that host
        And a table without hosts is given every bucket
        And a round of anti-entropy among 30000 hosts is limited to 2 buckets

    # Guards against a herd of starting hosts that sends a message over each link for every host it heard from.
    Scenario: Records of several hosts go over each link together, and not back to who sent them
        When 3 hosts have sent one record of their own each and all of them that of "x"
        Then each of them gets one message with what the others sent of themselves
        And all other links get one message with 4 records

    # Guards against hosts that disagree on roles, and a graph that falls apart.
    Scenario: Roles and neighbours follow from the membership
        Given a membership of 2 regions with 3 domains of 20 hosts each
        Then every domain has 1 head reader and 2 domain relays
        And every region has 2 region relays
        And the links of all hosts connect the whole membership
        And a host without a role has at most 3 neighbours

    # Guards against a rebuild of all roles when one host goes.
    Scenario: Rendezvous hashing reassigns only what the lost host held
        When one of 50 hosts is lost
        Then only the rendezvous choices that named it change

    # Guards against a fleet that spends its byte budget on reports of new versions.
    Scenario: A change of version alone waits its turn, other changes do not
        Given a publishing host among 30000 hosts
        Then a new version alone is published after 1500 s
        And new offers are published at once
        And a lag of 2 s is published once

    # Guards against 30,000 records in one moment when a version is delayed everywhere.
    Scenario: A lag that all hosts share is published over a minute
        Given a publishing host among 30000 hosts
        Then a lag is published 2 s to 62 s after its start, evenly over the hosts
        Given a publishing host among 24 hosts
        Then a lag is published 2 s to 2.2 s after its start, evenly over the hosts

    # Guards against a change that reaches an older copy of the table, or a wrong count of hosts.
    Scenario: A map of hosts changes without changing its older copies
        When random changes are made to a bucket map and to a plain map
        Then both maps agree after every change and older copies stay as they were
