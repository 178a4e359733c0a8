Feature: Calls are matched with operations and routed to hosts

    Scenario Outline: A path matches by segment
        Then routing pattern "<pattern>" applied to path "<path>" gives <matches>

        Examples: A wildcard that matches too much would allow calls outside the operations
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
        Then each tier contains only its usable hosts

    Scenario: Calls leave a tier only when its hosts are saturated or ejected
        Given routing targets of 2 hosts in the own failure domain and 2 in another region
        Then 1000 selections stay in the own failure domain
        When one host of the own failure domain is saturated
        Then 1000 selections go to the other host of the own failure domain
        When both hosts of the own failure domain are saturated
        Then 1000 selections go to the other region
        When every host is saturated
        Then 1000 selections stay in the own failure domain

    Scenario: Calls leave a tier whose delay exceeds the cost of a farther one, and return later
        Given routing targets of 2 hosts in the own failure domain and 2 in another region
        When calls take 60 ms in the own failure domain and 54 ms elsewhere
        Then 1000 selections stay in the own failure domain
        When calls take 900 ms in the own failure domain and 54 ms elsewhere
        Then 1000 selections go to the other region
        When 20 s pass without a call to the own failure domain
        Then 1000 selections stay in the own failure domain

    # Guards against calls that cross regions for a faster host although a nearer one would answer well within the
    # objective: the caller gains nothing, and the traffic is billed.
    Scenario Outline: A faster host of a farther tier is chosen only when the objective is at risk
        Given routing targets of 2 hosts in the own failure domain and 2 in another region
        When hosts report service times of 300 ms in the own failure domain and 200 ms elsewhere
        Then 1000 selections with <left> ms left until the objective choose "<hosts>"

        Examples:
            | left | hosts       |
            | 2000 | near1,near2 |
            | 600  | near1,near2 |
            | 300  | far1,far2   |
            | -100 | far1,far2   |

    # Guards against a choice that costs more with each further host of the service: 152 us with 90 hosts, 48 us with 6.
    Scenario: The choice among 300 hosts looks at no more of them than the choice among 30
        Then a choice looks up at most 40 observations with 30 and with 300 hosts of a tier

    # Guards against a bias of the random draws, for example towards hosts next to excluded ones.
    Scenario: Random draws choose each host as often as a choice over all pairs of eligible hosts
        Then 20 random tiers of 9 to 20 hosts are chosen from as often as all pairs of their eligible hosts

    Scenario Outline: The better of two random hosts is chosen
        Given routing targets of 2 hosts in the own failure domain and 2 in another region
        When the first host has <trait>
        Then 1000 selections go to the other host of the own failure domain

        Examples:
            | trait             |
            | calls in flight   |
            | a higher latency  |
            | recent refusals   |
            | a high load       |

    Scenario: A load report decays with age
        Given routing targets of 2 hosts in the own failure domain and 2 in another region
        When the first host reported a high load long ago and the second has one more call in flight
        Then 1000 selections go to the first host

    Scenario: Failing hosts are ejected for increasing times, and one success ends the ejection
        Given a routing observation of a host
        Then 2 failures do not eject the host, the third ejects it for 1 s and the next ones for 2, 4 and 8 s
        And the host receives no second call while its trial call runs
        And one success ends the ejection

    Scenario: At most half of the hosts of a tier are ejected
        Then when all of 0 to 9 hosts of a tier fail, at most half of them are ejected

    Scenario: A starting host receives an increasing share of the calls
        Then a host that is 25%, 50% and 100% through its cold start counts with that share of its slots

    # Guards against calls that try every host of an overloaded service and are refused by each.
    Scenario: A host that refused an operation because of its wait receives no calls of it for a short time
        Given routing targets of 2 hosts in the own failure domain and 2 in another region
        When "near1" and "near2" refuse "read" calls because of waits of 300 and 200 ms
        Then "read" calls go to "far1,far2" and "write" calls to "near1,near2"
        And when the others refuse "read" calls too, no host is chosen, and the shortest wait is 200 ms
        And 150 ms later "read" calls go to "near1,near2" again
