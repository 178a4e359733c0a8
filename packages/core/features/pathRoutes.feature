Feature: Routes by host name and path prefix

    Scenario Outline: The longest matching prefix of the host name selects the route
        Given path routes "/", "/a/" and "/a/b/" of host "one.example", and "/a/" of host "two.example"
        Then a call to "<host>" and "<path>" takes route <route>

        Examples: A shorter prefix, or that of another host, would send a call to the wrong service
            | host        | path     | route  |
            | one.example | /a/b/c   | one-2  |
            | one.example | /a/b     | one-1  |
            | one.example | /a/      | one-1  |
            | one.example | /ab/c    | one-0  |
            | one.example | /        | one-0  |
            | ONE.example | /a/x     | one-1  |
            | two.example | /a/b/c   | two    |
            | two.example | /b/      | none   |
            | six.example | /a/      | none   |
            | one.example | a        | none   |

    Scenario: Calls are distributed over the destinations in proportion to their weights
        Then for any weights the shares of 10000 calls are within 0.03 of the weights, and weight 0 gets none

    Scenario: Routes and limits from the answers are part of the configuration
        Given answers with a path route and limits
        Then the generated configuration holds the route with its defaults and the limits, needed on every host

    Scenario Outline: Invalid routes in the answers are reported with their location
        Given answers with a path route and limits
        When <change>
        Then the answers are rejected at "<place>"

        Examples:
            | change                                 | place                                |
            | the prefix lacks its last slash        | routes.items.prefix                  |
            | a destination names an unknown service | routes.items.destinations.stok       |
            | every weight is 0                      | routes.items.destinations            |
            | a second route has the same prefix     | routes.more.prefix                   |
            | the repetition is unknown              | routes.items.repetition              |

    Scenario: The retry budget limits the retries of a host
        Then for any sequence of calls and retries the retries stay within the ratio of the calls and the burst

    Scenario: The retries of all hosts together stay within the limit of the deployment
        Then 24 hosts that join and restart at random retry at most a fifth of the calls plus 64 in any 10 s
