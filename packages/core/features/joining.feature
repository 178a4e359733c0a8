@configuration
Feature: A restarted or paused host serves no outdated version

    @no-older-version @store-down
    Scenario Outline: A restarted host next to a lagging peer while the platform is down, <order>
        # Guards against a host that returns to the older version of a lagging peer, in either order of answers.
        Given a joining host while the platform is down
        When its lagging peer and its current peer answer in the order "<order>"
        And the joining host gets version 5 after 6000 ms
        Then the joining host is "joining" with floor 7
        And the joining host gets version 7 after 7000 ms
        And the joining host is "ready" with floor 7

        Examples:
            | order         |
            | lagging first |
            | current first |

    @no-older-version @stale-read
    Scenario: A stale head row does not admit a host below its high-water mark
        # Guards against serving a version from a stale read of the head row that arrives before the peers' answers.
        Given a joining host while the platform is down
        When the joining host reads head version 5 and gets version 5 after 50 ms
        Then the joining host is "joining" with floor 5
        When its lagging peer and its current peer answer in the order "lagging first"
        Then the joining host is "joining" with floor 7

    @no-older-version @stale-read @herd-death
    Scenario: Peers that hold nothing do not confirm a stale head row
        # Guards against hosts that restart together and take each other's empty answers to confirm a stale head row.
        Given a joining host while the platform is down
        When the joining host reads head version 5 and gets version 5 after 50 ms
        And its peers answer that they hold nothing
        Then the joining host is "joining" with floor 5
        When a peer of the joining host announces version 7
        Then the joining host is "joining" with floor 7

    @no-older-version @stale-read @herd-death
    Scenario: Peers that say that they hold nothing are given time to read the head row themselves
        # Guards against serving the version of a stale head row because the peers start more slowly than this host.
        Given a joining host while the platform is down
        When the joining host reads head version 5 and gets version 5 after 50 ms
        And its peers answer that they hold nothing
        And the joining host gets version 5 after 2500 ms
        Then the joining host is "joining" with floor 5
        When a peer of the joining host announces version 7
        Then the joining host is "joining" with floor 7

    @no-older-version @stale-read @herd-death
    Scenario: A stale head row does not admit a host before it has reached the peers that it knows of
        # Guards against an overloaded start in which the links open only after the time for the peers' answers.
        Given a joining host while the platform is down
        When the joining host has no link but knows addresses of other hosts
        And the joining host reads head version 5 and gets version 5 after 4000 ms
        Then the joining host is "joining" with floor 5
        When the joining host gets its links after 4200 ms
        And the joining host gets version 5 after 4900 ms
        Then the joining host is "joining" with floor 5
        When the joining host gets version 5 after 5000 ms
        Then the joining host is "ready" with floor 5

    Scenario: A host that holds the version of the head row becomes ready although no peer answers
        # Guards against a single host that never becomes ready.
        Given a joining host while the platform is down
        When the joining host reads head version 5 and gets version 5 after 1000 ms
        Then the joining host is "ready" with floor 5

    Scenario: A host without a version never serves
        # Guards against a host that admits calls without routes.
        Given a joining host while the platform is down
        When the joining host gets version 0 after 60000 ms
        Then the joining host is "joining" with floor 0

    @no-older-version @store-down
    Scenario: After 30 s the highest version found is used, but none below the own high-water mark
        # Guards against a host that waits forever for a version that no host holds, or that then returns to an older one.
        Given a joining host while the platform is down
        When its lagging peer and its current peer answer in the order "lagging first"
        And the joining host gets version 5 after 29900 ms
        Then the joining host is "joining" with floor 7
        When the joining host gets version 5 after 30000 ms
        Then the joining host is "joining" with floor 6
        When the joining host gets version 6 after 30100 ms
        Then the joining host is "ready" with floor 6

    Scenario: Watermark requests without an answer are repeated once a second
        # Guards against a lost request that is never repeated, and against a flood of requests.
        Given a joining host while the platform is down
        Then 11 watermark requests are sent by the joining host in 10 s when only one of two peers answers

    @no-older-version @lapsed-lease
    Scenario Outline: After a pause of <paused> ms and <word> the host is <state>
        # Guards against a host that serves an old version after it was paused, or stays fenced for ever.
        Given a ready host that holds version 5
        When it was paused for <paused> ms and then receives "<word>"
        Then the joining host is "<state>" with floor 5

        Examples:
            | paused | word                         | state  |
            | 3000   | nothing                      | ready  |
            | 3001   | nothing                      | fenced |
            | 3001   | a buffered heartbeat         | fenced |
            | 3001   | a heartbeat of version 5     | ready  |
            | 3001   | a heartbeat of version 6     | fenced |
            | 3001   | a watermark of version 5     | ready  |
            | 3001   | a head read of version 5     | ready  |
            | 3001   | a head read before the pause | fenced |
            | 3001   | nothing for 5 s              | ready  |
            | 3001   | a shutdown request           | draining |
