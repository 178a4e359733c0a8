Feature: Calls are matched with operations and sent to the better host

    Scenario Outline: A path matches by segment
        Then routing pattern "<pattern>" and path "<path>" give <matches>

        Examples: A wildcard that matched too much would let a caller past its operations
            | pattern    | path         | matches |
            | /a/*       | /a/b         | true    |
            | /a/*       | /a/b/c       | false   |
            | /a/*       | /a/          | false   |
            | /a/**      | /a/b/c       | true    |
            | /a/**      | /a           | true    |
            | /a/**      | /ab          | false   |
            | /**        | /            | true    |
            | /a/*/c     | /a/b/c       | true    |
            | /a/*/c     | /a/b/d       | false   |
            | /a         | /A           | false   |

    Scenario: Only alive and suspect hosts that offer the service are targets, by tier
        Given routing records of hosts in each tier, some failed, left or without the service
        Then each tier names its usable hosts alone

    Scenario: A tier is left only when its hosts are saturated or ejected
        Given routing targets of 2 hosts in the own domain and 2 in another region
        Then a thousand choices stay in the own domain
        When one host of the own domain is saturated
        Then a thousand choices go to the other host of the own domain
        When both hosts of the own domain are saturated
        Then a thousand choices go to the other region
        When every host is saturated
        Then a thousand choices stay in the own domain

    Scenario: A tier is left when its wait exceeds the distance, and is tried again later
        Given routing targets of 2 hosts in the own domain and 2 in another region
        When calls take 60 ms in the own domain and 54 ms elsewhere
        Then a thousand choices stay in the own domain
        When calls take 900 ms in the own domain and 54 ms elsewhere
        Then a thousand choices go to the other region
        When 20 s pass without a call to the own domain
        Then a thousand choices stay in the own domain

    Scenario Outline: The better of two random hosts is chosen
        Given routing targets of 2 hosts in the own domain and 2 in another region
        When the first host has <trait>
        Then a thousand choices go to the other host of the own domain

        Examples:
            | trait             |
            | calls in flight   |
            | a higher latency  |
            | recent refusals   |
            | a high load       |

    Scenario: A load report loses its weight with age
        Given routing targets of 2 hosts in the own domain and 2 in another region
        When the first host reported a high load long ago and the second has one more call in flight
        Then a thousand choices go to the first host

    Scenario: Failing hosts are ejected for a growing time, and one good call brings a host back
        Given a routing observation
        Then 2 failures do not eject it, the third does for 1 s and the next failures for 2, 4 and 8 s
        And while its trial call runs it gets no second call
        And one success brings it back

    Scenario: At most half of the hosts of a tier are ejected
        Then with 0 to 9 hosts of a tier all failing, at most half of them are ejected

    Scenario: A starting host gets a growing share
        Then a host that is 25%, 50% and 100% through its cold start counts with that share of its slots

    # Guards against calls that go round all hosts of an overloaded service only to be refused by each.
    Scenario: A host that refused an operation for its wait is not asked for it again at once
        Given routing targets of 2 hosts in the own domain and 2 in another region
        When "near1" and "near2" refuse "read" calls for a wait of 300 and 200 ms
        Then "read" calls go to "far1,far2" and "write" calls to "near1,near2"
        And when the others refuse "read" calls too, no host is chosen, and the least wait is 200 ms
        And 150 ms later "read" calls go to "near1,near2" again
