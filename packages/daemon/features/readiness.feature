Feature: A starting daemon accepts calls when it knows the current version

    # Guards against serving the version of a stale head row while the domain rows are not read: until then, a host cannot
    # know whether it has peers with a newer version.
    @no-older-version @stale-read @herd-death
    Scenario Outline: A daemon that has <read> the domain rows is <state> <ms> ms after its start
        Given a starting daemon that has read a head row and has its version in force
        When it has <read> the domain rows, which list no other host, and <ms> ms pass
        Then the daemon is "<state>"

        Examples:
            | read     | ms   | state   |
            | not read | 1000 | joining |
            | not read | 4900 | joining |
            | not read | 5000 | ready   |
            | read     | 900  | joining |
            | read     | 1000 | ready   |

    # Guards against an answer that waited in the socket buffer during a pause, or was on its way, and was read in the first
    # long turn after it: it says nothing about versions that were accepted during the pause.
    @no-older-version @lapsed-lease
    Scenario: An answer to a read of the head row from before a pause does not confirm the version
        Given a ready daemon that waits for an answer of the platform
        When it is paused for 4000 ms and reads the answer 300 ms later
        Then the daemon is "fenced"
        When it reads the head row again and is answered after 10 ms
        Then the daemon is "ready"
